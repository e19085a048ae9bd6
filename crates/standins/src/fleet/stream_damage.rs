//! Damages the bytes of answers, in a share of the runs of an engine.
//!
//! Owns: the forms of damage, and which run has which. Relies on: events that were made in order.

use anyhow::{anyhow, Result};
use clap::{Args, ValueEnum};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use super::stream_engine::StreamEvent;

/// Most bytes that are lost in one place.
const MAX_LOST: usize = 60;
/// Most bytes that are replaced.
const MAX_REPLACED: usize = 4;
/// Most bytes of noise in one place.
const MAX_NOISE: usize = 12;
/// Places of noise at the end of an answer.
const NOISE_AT_END: usize = 10;
/// Name of streams that are none of the caller's.
const OTHER_STREAM: &str = "other";

/// What is wrong with the bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum, Serialize, Deserialize)]
pub enum StreamDamage {
    /// Nothing.
    Sound,
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

/// Options of an engine that damages some of its answers.
#[derive(Args, Clone, Debug)]
pub struct DamageOptions {
    /// Forms of damage, of which each damaged run has one; none is damaged without any.
    #[arg(long = "damage", value_delimiter = ',')]
    pub forms: Vec<StreamDamage>,
    /// Runs of which one is damaged.
    #[arg(long = "damage-every", default_value_t = 50)]
    pub every: u32,
    /// First run that may be damaged.
    #[arg(long = "damage-from", default_value_t = 1)]
    pub from: u64,
    /// Seed of what is damaged.
    #[arg(long = "damage-seed", default_value_t = 1)]
    pub seed: u64,
}

/// A run whose answer is damaged, as its engine records it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DamagedRun {
    /// Engine and number of the run.
    pub run: String,
    /// The attempt that began the stream.
    pub stream: String,
    /// What is wrong.
    pub damage: StreamDamage,
    /// Number of the last event that the caller had.
    pub after: u64,
    /// Bytes of the answer; what is not UTF-8 is replaced.
    pub text: String,
}

impl DamageOptions {
    /// Returns what is wrong with a run, and the source of its places; `None` if it is not damaged.
    pub fn of_run(&self, run: u64) -> Option<(StreamDamage, StdRng)> {
        let mut random = StdRng::seed_from_u64(self.seed << 32 | run);
        let is_damaged = run >= self.from && random.random_ratio(1, self.every.max(1));
        let form = self.forms.choose(&mut random).copied();
        form.filter(|_| is_damaged).map(|form| (form, random))
    }
}

impl StreamDamage {
    /// Returns all forms.
    pub fn all() -> Vec<StreamDamage> {
        StreamDamage::value_variants().to_vec()
    }

    /// Returns the name of the form on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_string()).unwrap_or_default()
    }

    /// Returns the form of a name.
    ///
    /// # Errors
    /// Fails if no form has the name.
    pub fn named(name: &str) -> Result<StreamDamage> {
        StreamDamage::from_str(name, true).map_err(|_| anyhow!("damage {name:?} does not exist"))
    }

    /// Writes the events of an answer, of which one is damaged.
    pub fn write(self, events: &[StreamEvent], random: &mut StdRng) -> Vec<u8> {
        let mut texts: Vec<String> = events.iter().map(StreamEvent::text).collect();
        if !texts.is_empty() {
            let place = random.random_range(0..texts.len());
            self.damage_event(&mut texts, place, random);
            self.damage_order(&mut texts, &events[place], place, random);
        }
        let mut bytes = texts.concat().into_bytes();
        self.damage_bytes(&mut bytes, random);
        bytes
    }

    /// Damages one event within.
    fn damage_event(self, texts: &mut [String], place: usize, random: &mut StdRng) {
        let text = &mut texts[place];
        let fields: Vec<&str> = text.lines().collect();
        let damaged = match self {
            StreamDamage::NoiseBeforeId => format!("{}{text}", noise(random)),
            StreamDamage::NoiseLine => format!("{}\n{text}", noise(random)),
            StreamDamage::IdLost => format!("{}\n\n", fields[1]),
            StreamDamage::DataLost => format!("{}\n\n", fields[0]),
            StreamDamage::BlankLineInside => format!("{}\n\n{}\n\n", fields[0], fields[1]),
            StreamDamage::BlankLineLost => format!("{}\n{}\n", fields[0], fields[1]),
            _ => return,
        };
        *text = damaged;
    }

    /// Loses, adds or moves events.
    fn damage_order(
        self,
        texts: &mut Vec<String>,
        event: &StreamEvent,
        place: usize,
        random: &mut StdRng,
    ) {
        let other = StreamEvent { stream: OTHER_STREAM.to_string(), ..event.clone() };
        match self {
            StreamDamage::NoiseToTheEnd => {
                texts.truncate(place);
                texts.push((0..NOISE_AT_END).map(|_| noise(random)).collect());
            }
            StreamDamage::Swapped if place > 0 => texts.swap(place - 1, place),
            StreamDamage::EventLost => drop(texts.remove(place)),
            StreamDamage::EventTwice => texts.insert(place, event.text()),
            StreamDamage::OtherStream => {
                // Other streams are elsewhere, but have no more events than twice as many.
                let number = random.random_range(1..=2 * texts.len() as u64);
                texts.insert(place, StreamEvent { number, ..other }.text());
            }
            StreamDamage::UnnumberedData => texts.insert(place, other.data_text()),
            _ => {}
        }
    }

    fn damage_bytes(self, bytes: &mut Vec<u8>, random: &mut StdRng) {
        match self {
            StreamDamage::RangeLost => lose_range(bytes, random),
            StreamDamage::RangesLost => {
                lose_range(bytes, random);
                lose_range(bytes, random);
            }
            StreamDamage::BytesReplaced if !bytes.is_empty() => {
                let place = random.random_range(0..bytes.len());
                let end = bytes.len().min(place + random.random_range(1..=MAX_REPLACED));
                bytes[place..end].fill_with(|| random.random());
            }
            _ => {}
        }
    }
}

fn lose_range(bytes: &mut Vec<u8>, random: &mut StdRng) {
    if bytes.is_empty() {
        return;
    }
    let begin = random.random_range(0..bytes.len());
    let end = bytes.len().min(begin + random.random_range(1..=MAX_LOST));
    bytes.drain(begin..end);
}

fn noise(random: &mut StdRng) -> String {
    let length = random.random_range(1..=MAX_NOISE);
    (0..length).filter_map(|_| ['x', 'q', '#', '7', '%'].choose(random)).collect()
}
