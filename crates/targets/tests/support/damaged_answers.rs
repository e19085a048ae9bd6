//! Damages the bytes of an answer.
//!
//! Owns: the forms of damage. Relies on: events that were written one by one.

use crate::random::Random;

/// Most bytes that are lost in one place.
const MAX_LOST: usize = 60;
/// Most bytes that are replaced.
const MAX_REPLACED: usize = 4;
/// Numbers of the events of other streams.
const OTHER_NUMBERS: usize = 42;

/// What is wrong with the bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerDamage {
    /// Nothing.
    None,
    /// Noise without a line end stands before an `id` field.
    NoiseBeforeId,
    /// A line of noise stands in an event.
    NoiseLine,
    /// The rest of the answer is noise.
    NoiseToTheEnd,
    /// The `id` field of an event is lost.
    IdLost,
    /// The `data` field of an event is lost.
    DataLost,
    /// A blank line stands within an event.
    BlankLineInside,
    /// The blank line behind an event is lost.
    BlankLineLost,
    /// Two events are swapped.
    Swapped,
    /// An event is lost.
    EventLost,
    /// An event comes twice.
    EventTwice,
    /// An event of another stream stands between two.
    OtherStream,
    /// An event with data and without a number stands between two.
    UnnumberedData,
    /// A range of bytes is lost.
    RangeLost,
    /// Two ranges of bytes are lost.
    RangesLost,
    /// Some bytes are other ones.
    BytesReplaced,
}

/// Writes an event of a stream; the first one has the index 0.
pub fn write_event(index: usize) -> String {
    format!("id: {}\ndata: event {index}\n\n", index + 1)
}

impl AnswerDamage {
    /// Writes the events of an answer, of which one is damaged.
    pub fn write(self, indexes: &[usize], random: &mut Random) -> Vec<u8> {
        let mut events: Vec<String> = indexes.iter().map(|index| write_event(*index)).collect();
        if !events.is_empty() {
            self.damage_events(&mut events, random);
        }
        let mut bytes = events.concat().into_bytes();
        self.damage_bytes(&mut bytes, random);
        bytes
    }

    fn damage_events(self, events: &mut Vec<String>, random: &mut Random) {
        let place = random.below(events.len());
        let event = events[place].clone();
        let fields: Vec<&str> = event.lines().collect();
        match self {
            AnswerDamage::NoiseBeforeId => events[place] = format!("{}{event}", noise(random)),
            AnswerDamage::NoiseLine => events[place] = format!("{}\n{event}", noise(random)),
            AnswerDamage::NoiseToTheEnd => {
                events.truncate(place);
                events.push((0..10).map(|_| noise(random)).collect());
            }
            AnswerDamage::IdLost => events[place] = format!("{}\n\n", fields[1]),
            AnswerDamage::DataLost => events[place] = format!("{}\n\n", fields[0]),
            AnswerDamage::BlankLineInside => {
                events[place] = format!("{}\n\n{}\n\n", fields[0], fields[1]);
            }
            AnswerDamage::BlankLineLost => drop(events[place].pop()),
            AnswerDamage::Swapped if place > 0 => events.swap(place - 1, place),
            AnswerDamage::EventLost => drop(events.remove(place)),
            AnswerDamage::EventTwice => events.insert(place, event),
            AnswerDamage::OtherStream => {
                let number = 1 + random.below(OTHER_NUMBERS);
                events.insert(place, format!("id: {number}\ndata: other {number}\n\n"));
            }
            AnswerDamage::UnnumberedData => {
                events.insert(place, "data: other\n\n".to_string());
            }
            _ => {}
        }
    }

    fn damage_bytes(self, bytes: &mut Vec<u8>, random: &mut Random) {
        match self {
            AnswerDamage::RangeLost => lose_range(bytes, random),
            AnswerDamage::RangesLost => {
                lose_range(bytes, random);
                lose_range(bytes, random);
            }
            AnswerDamage::BytesReplaced if !bytes.is_empty() => {
                let place = random.below(bytes.len());
                let end = bytes.len().min(place + 1 + random.below(MAX_REPLACED));
                bytes[place..end].fill_with(|| random.below(256) as u8);
            }
            _ => {}
        }
    }
}

fn lose_range(bytes: &mut Vec<u8>, random: &mut Random) {
    let begin = random.below(bytes.len());
    let end = bytes.len().min(begin + 1 + random.below(MAX_LOST));
    bytes.drain(begin..end);
}

fn noise(random: &mut Random) -> String {
    (0..1 + random.below(12)).map(|_| random.pick(&['x', 'q', '#', '7', '%'])).collect()
}
