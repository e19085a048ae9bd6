//! Faults in the numbers of a stream's events.
//!
//! Owns: nothing. Relies on: events that were made in order.

use clap::ValueEnum;

use super::stream_engine::StreamEvent;

/// What is wrong with the numbers that an engine writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum StreamFault {
    /// A number has a digit more.
    DigitMore,
    /// A number is that of an event before.
    Lower,
    /// All further numbers are that of the event before.
    RepeatedWithoutEnd,
    /// Events before the last one are missing.
    EndsAfterGap,
}

impl StreamFault {
    /// Returns the name of the fault on the command line.
    pub fn name(self) -> &'static str {
        match self {
            StreamFault::DigitMore => "digit-more",
            StreamFault::Lower => "lower",
            StreamFault::RepeatedWithoutEnd => "repeated-without-end",
            StreamFault::EndsAfterGap => "ends-after-gap",
        }
    }

    /// Applies the fault to the event at `place`, which is not the first one.
    pub fn apply(self, events: &mut Vec<StreamEvent>, place: usize) {
        let Some(before) = place.checked_sub(1).and_then(|before| events.get(before)) else {
            return;
        };
        let before = before.number;
        match self {
            StreamFault::DigitMore => events.iter_mut().skip(place).take(1).for_each(|event| {
                event.number = event.number * 10 + 3;
            }),
            StreamFault::Lower => events.iter_mut().skip(place).take(1).for_each(|event| {
                event.number = before;
            }),
            StreamFault::RepeatedWithoutEnd => {
                events.iter_mut().skip(place).for_each(|event| event.number = before);
            }
            StreamFault::EndsAfterGap if place + 1 < events.len() => {
                events.drain(place..events.len() - 1);
            }
            StreamFault::EndsAfterGap => {}
        }
    }
}
