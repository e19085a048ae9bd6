//! Judges what callers of damaged streams got against what the engines made.
//!
//! Owns: what is wrong with a stream. Relies on: engines that record their damaged runs.

use std::collections::{BTreeMap, BTreeSet};

use anyhow::Result;
use curlewcleat_standins::fleet::stream_damage::{DamagedRun, StreamDamage};
use curlewcleat_standins::fleet::stream_runs::run_of_line;

use crate::caller_events::CallerEvent;
use crate::damage_callers::PlayedStream;
use crate::sound_beginning::SoundBeginning;
use crate::support::event_streams::{EventFleet, StreamRoute, SERVICES};

/// Beginning of the data of events of other streams.
const OTHER_STREAM: &str = "other ";

/// Why no relay can tell a stream from a sound one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HiddenDamage {
    /// The last events are gone whole.
    EndLost,
    /// The bytes within the data of an event are other ones.
    DataReplaced,
    /// An event of another stream has the next number.
    OtherWithNextNumber,
    /// A lost range leaves the next number in its place.
    RangeBeforeNextNumber,
}

/// What a caller got against the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamFlaw {
    /// An event has no number.
    Unnumbered,
    /// An event comes twice, or a number goes back.
    Back,
    /// Events are missing.
    Missing,
    /// An event is of another stream.
    Foreign,
    /// An event has other data than its engine made.
    Altered,
    /// The stream is complete before its end.
    CompleteTooEarly,
    /// A stream that may not be repeated has events of two runs, or one of one service has those of two.
    Mixed,
    /// A stream has events of engines of two versions.
    OtherVersion,
    /// Engines ran a stream that may not be repeated twice.
    RunTwice,
}

/// What a caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamOutcome {
    /// The whole stream.
    Whole,
    /// Its beginning, and then a visible cut.
    Cut,
    /// No event, and no end.
    Refused,
    /// Something that no relay can tell from a sound stream.
    Hidden(HiddenDamage),
    /// Something else.
    Wrong(StreamFlaw),
}

/// The runs of a play.
#[derive(Default)]
pub struct DamageJudge {
    /// Damaged runs by their streams.
    pub runs: BTreeMap<String, Vec<DamagedRun>>,
    /// Numbers of runs that engines began, by their streams.
    pub begun: BTreeMap<String, usize>,
    /// Versions of all engines by their ids.
    pub versions: BTreeMap<String, String>,
}

impl DamageJudge {
    /// Reads the runs of engines from their output.
    pub fn read(fleet: &EventFleet) -> Result<DamageJudge> {
        let mut runs: BTreeMap<String, Vec<DamagedRun>> = BTreeMap::new();
        let mut begun: BTreeMap<String, usize> = BTreeMap::new();
        for id in &fleet.ids {
            let output = std::fs::read_to_string(fleet.folder.join(format!("{id}.log")))?;
            for stream in output.lines().filter_map(run_of_line) {
                *begun.entry(stream.to_string()).or_default() += 1;
            }
            // Other lines are messages of the process, and a kill may leave a line incomplete.
            for run in output.lines().filter_map(|line| serde_json::from_str(line).ok()) {
                let run: DamagedRun = run;
                runs.entry(run.stream.clone()).or_default().push(run);
            }
        }
        Ok(DamageJudge { runs, begun, versions: fleet.versions.clone() })
    }

    /// Returns the damaged runs of a stream.
    pub fn runs(&self, stream: &PlayedStream) -> &[DamagedRun] {
        self.runs.get(&stream.begun_as).map_or(&[], Vec::as_slice)
    }

    /// Judges a stream.
    pub fn judge(&self, stream: &PlayedStream) -> StreamOutcome {
        let runs = self.runs(stream);
        let (mut hidden, mut right) = (None, Vec::new());
        for (place, event) in stream.events.iter().enumerate() {
            let is_altered = runs.iter().any(|run| has_altered_run(run, event));
            let flaw = event_flaw(stream, place, event);
            let Some(flaw) = flaw.or(is_altered.then_some(StreamFlaw::Altered)) else {
                right.push(event);
                continue;
            };
            match runs.iter().find_map(|run| hidden_by(run, place, event)) {
                Some(damage) => hidden = hidden.or(Some(damage)),
                None => return StreamOutcome::Wrong(flaw),
            }
        }
        if is_mixed(stream.route, &right) {
            return StreamOutcome::Wrong(StreamFlaw::Mixed);
        }
        if !self.is_one_version(&right) {
            return StreamOutcome::Wrong(StreamFlaw::OtherVersion);
        }
        let begun = self.begun.get(&stream.begun_as).copied().unwrap_or_default();
        if begun > 1 && !stream.route.may_be_taken_up() {
            return StreamOutcome::Wrong(StreamFlaw::RunTwice);
        }
        if stream.is_complete() && stream.events.len() as u64 != stream.all_events() {
            let found = runs.iter().any(|run| ends_at(run, stream.events.len() as u64));
            return match found {
                true => StreamOutcome::Hidden(HiddenDamage::EndLost),
                false => StreamOutcome::Wrong(StreamFlaw::CompleteTooEarly),
            };
        }
        match hidden {
            Some(damage) => StreamOutcome::Hidden(damage),
            None if stream.is_complete() => StreamOutcome::Whole,
            None if stream.events.is_empty() => StreamOutcome::Refused,
            None => StreamOutcome::Cut,
        }
    }

    /// Returns whether events are of engines of one version, all known.
    fn is_one_version(&self, events: &[&CallerEvent]) -> bool {
        let version = |event: &&CallerEvent| {
            let run = event.data.split(' ').nth(2)?;
            self.versions.get(run.split('#').next()?)
        };
        let versions: BTreeSet<Option<&String>> = events.iter().map(version).collect();
        versions.len() <= 1 && !versions.contains(&None)
    }
}

/// Returns what is wrong with the event at a place of a stream.
fn event_flaw(stream: &PlayedStream, place: usize, event: &CallerEvent) -> Option<StreamFlaw> {
    let expected = place as u64 + 1;
    let number = event.id.as_ref().and_then(|id| id.parse::<u64>().ok());
    let Some(number) = number else { return Some(StreamFlaw::Unnumbered) };
    if number != expected {
        return Some(if number < expected { StreamFlaw::Back } else { StreamFlaw::Missing });
    }
    let fields: Vec<&str> = event.data.split(' ').collect();
    match fields[..] {
        [other, ..] if other != stream.begun_as => Some(StreamFlaw::Foreign),
        [_, service, _, piece, "end"]
            if SERVICES.contains(&service) && piece == expected.to_string() =>
        {
            None
        }
        _ => Some(StreamFlaw::Altered),
    }
}

/// Returns why no relay can tell that an event is wrong, if the damaged run up to it is as that of a sound engine.
fn hidden_by(run: &DamagedRun, place: usize, event: &CallerEvent) -> Option<HiddenDamage> {
    let beginning = SoundBeginning::of(run.text.as_bytes(), run.after);
    let is_next = event.id.as_ref() == Some(&(place + 1).to_string());
    if !is_next || !beginning.events.contains(event) {
        return None;
    }
    match run.damage {
        StreamDamage::BytesReplaced => Some(HiddenDamage::DataReplaced),
        StreamDamage::RangeLost | StreamDamage::RangesLost => {
            Some(HiddenDamage::RangeBeforeNextNumber)
        }
        StreamDamage::OtherStream if event.data.starts_with(OTHER_STREAM) => {
            Some(HiddenDamage::OtherWithNextNumber)
        }
        _ => None,
    }
}

/// Returns whether all of a damaged run is as that of a sound engine whose stream has this many events.
fn ends_at(run: &DamagedRun, events: u64) -> bool {
    let beginning = SoundBeginning::of(run.text.as_bytes(), run.after);
    let last = beginning
        .events
        .last()
        .map_or(Some(run.after), |event| event.id.as_ref().and_then(|id| id.parse::<u64>().ok()));
    beginning.is_all && last == Some(events)
}

/// Returns whether an event names another run than the damaged one that it is of, since bytes within its data are gone or
/// other ones.
fn has_altered_run(run: &DamagedRun, event: &CallerEvent) -> bool {
    let may_alter_data = matches!(
        run.damage,
        StreamDamage::BytesReplaced | StreamDamage::RangeLost | StreamDamage::RangesLost
    );
    may_alter_data
        && event.data.split(' ').nth(2) != Some(&run.run)
        && SoundBeginning::of(run.text.as_bytes(), run.after).events.contains(event)
}

/// Returns whether events of several runs or services stand in a stream that does not allow it.
fn is_mixed(route: StreamRoute, events: &[&CallerEvent]) -> bool {
    let made_by = events.iter().map(|event| event.data.split(' ').skip(1).take(2).collect());
    let made_by: Vec<Vec<&str>> = made_by.collect();
    let is_one = |field: usize| made_by.windows(2).all(|two| two[0][field] == two[1][field]);
    !is_one(0) || (route == StreamRoute::Plain && !is_one(1))
}
