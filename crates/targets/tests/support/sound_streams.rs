//! Streams as sound targets of many kinds write them.
//!
//! Owns: the kinds. Relies on: nothing.

use crate::random::Random;

/// Writes an event of a stream that counts by one.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: event {number}\n\n")
}

/// A kind of stream that a sound target may write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoundStream {
    /// Numbers count from one by one.
    Dense,
    /// The same with comments, of several lines and alone.
    Comments,
    /// The same with a last event without a number.
    UnnumberedEnd,
    /// The same, but only in some streams.
    UnnumberedEndAtTimes,
    /// The same with one to three `data` fields.
    DataLines,
    /// The same with a first line of another name in a few events.
    Titles,
    /// The same with a type of each event.
    Types,
    /// The same, but only of some events.
    TypesAtTimes,
    /// Numbers rise by one to three.
    Varying,
    /// Numbers rise by one, but once in a few hundred events by two.
    RareGaps,
    /// Numbers rise by seven.
    Wide,
    /// Ids are no numbers.
    OddIds,
    /// No event has an id.
    Unnumbered,
    /// Events with data stand between those with numbers.
    DataBetween,
    /// A stream has one event.
    Single,
}

impl SoundStream {
    /// Writes the events of a stream.
    pub fn write(self, random: &mut Random) -> Vec<String> {
        let count = if self == SoundStream::Single { 1 } else { random.pick(&[1, 3, 7, 20, 40]) };
        let mut number = 0;
        let mut events: Vec<String> = (1..=count)
            .map(|index| {
                number += self.step(random);
                self.event(index, number, random)
            })
            .collect();
        if self == SoundStream::UnnumberedEnd
            || self == SoundStream::UnnumberedEndAtTimes && random.one_in(2)
        {
            events.push("data: [DONE]\n\n".to_string());
        }
        events
    }

    fn step(self, random: &mut Random) -> u64 {
        match self {
            SoundStream::Varying => 1 + random.below(3) as u64,
            SoundStream::RareGaps if random.one_in(300) => 2,
            SoundStream::Wide => 7,
            _ => 1,
        }
    }

    fn event(self, index: u64, number: u64, random: &mut Random) -> String {
        match self {
            SoundStream::Comments if random.one_in(3) => {
                format!(": a comment\n\n{}", event(number))
            }
            SoundStream::DataLines => {
                let data: String = (0..1 + random.below(3)).map(|_| "data: x\n").collect();
                format!("id: {number}\n{data}\n")
            }
            SoundStream::Titles if random.one_in(20) => {
                format!("x-versions: {index}\n{}", event(number))
            }
            SoundStream::Types => format!("event: token\n{}", event(number)),
            SoundStream::TypesAtTimes if random.one_in(3) => {
                format!("event: token\n{}", event(number))
            }
            SoundStream::OddIds => format!("id: x{number}\ndata: event {index}\n\n"),
            SoundStream::Unnumbered => format!("data: event {index}\n\n"),
            SoundStream::DataBetween if random.one_in(3) => {
                format!("data: between\n\n{}", event(number))
            }
            _ => event(number),
        }
    }
}
