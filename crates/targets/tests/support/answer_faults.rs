//! Faults in the numbers of an answer's events.
//!
//! Owns: nothing. Relies on: events that were made in order.

use crate::random::Random;

/// A number that no integer type holds.
const ENDLESS_NUMBER: &str = "99999999999999999999999999";

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// A number has a digit more.
    DigitMore,
    /// A number is a little higher.
    Higher,
    /// A number is not higher than that of the event before.
    Lower,
    /// A number is that of the event before.
    Repeated,
    /// All further numbers are that of the event before.
    RepeatedWithoutEnd,
    /// A number is the highest one.
    Highest,
    /// A number is beyond what is represented.
    Endless,
    /// A continuation begins too far.
    BeginsTooFar,
    /// Events before the last one are missing.
    EndsAfterGap,
}

/// An event as a target writes it.
#[derive(Clone, Debug)]
pub struct WrittenEvent {
    /// Its number.
    pub id: String,
    /// Which event of its stream it is.
    pub index: usize,
}

impl AnswerFault {
    /// Returns whether the fault is contradicted by the rest of an answer whose numbers do not rise by one.
    pub fn is_seen_with_wide_steps(self) -> bool {
        !matches!(self, AnswerFault::BeginsTooFar | AnswerFault::EndsAfterGap)
    }

    /// Applies the fault to the events of an answer.
    pub fn apply(
        self,
        events: &mut Vec<WrittenEvent>,
        is_continuation: bool,
        step: u64,
        random: &mut Random,
    ) {
        // Nothing contradicts the first number of a stream.
        let first = usize::from(!is_continuation);
        if events.len() <= first {
            return;
        }
        let place = first + random.below(events.len() - first);
        let right: u64 = events[place].id.parse().expect("a number");
        let before = right.saturating_sub(step + random.below(3) as u64);
        match self {
            AnswerFault::DigitMore => events[place].id = format!("{right}{}", random.below(10)),
            AnswerFault::Higher => {
                events[place].id = (right + 1 + random.below(3) as u64).to_string()
            }
            AnswerFault::Lower => events[place].id = before.to_string(),
            AnswerFault::Repeated => repeat(&mut events[..=place]),
            AnswerFault::RepeatedWithoutEnd => {
                events[place..].iter_mut().for_each(|event| event.id = before.to_string());
            }
            AnswerFault::Highest => events[place].id = u64::MAX.to_string(),
            AnswerFault::Endless => events[place].id = ENDLESS_NUMBER.to_string(),
            AnswerFault::BeginsTooFar if is_continuation => drop(events.drain(..place)),
            AnswerFault::BeginsTooFar => {}
            AnswerFault::EndsAfterGap => drop(events.drain(place..events.len() - 1)),
        }
    }
}

/// Gives the last of some events the number of the one before.
fn repeat(events: &mut [WrittenEvent]) {
    if let [.., before, last] = events {
        last.id.clone_from(&before.id);
    }
}

/// Lets an answer begin again, once.
pub fn start_over(events: &mut Vec<WrittenEvent>, random: &mut Random) {
    let place = random.below(events.len());
    let again = events.clone();
    events.truncate(place);
    events.extend(again);
}
