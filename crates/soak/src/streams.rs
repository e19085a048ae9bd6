//! Streams over all attempts of their callers: which ones can be taken up, how many went on, and the check that none is
//! joined of two versions.

use std::collections::BTreeMap;
use std::time::Instant;

use curlewcleat_standins::fleet::EngineRun;

use crate::callers::{CallOutcome, CallRecord};
use crate::checks::{SoakViolation, NOT_RUN_STATUSES};
use crate::engines::EVENTS;
use crate::evidence::SoakEvidence;

/// A stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenUp {
    /// The attempt that brought the first event.
    pub begun_as: String,
    /// When this attempt was sent.
    pub begun: Instant,
    /// Number of the last event that the caller has.
    pub after: u64,
}

/// Numbers of streams that their callers may take up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounts {
    /// Streams that brought an event.
    pub begun: usize,
    /// Streams that went on at another engine within an answer.
    pub resumed: usize,
    /// Streams that their callers tried to take up.
    pub taken_up: usize,
    /// Streams that went on after they were taken up.
    pub went_on: usize,
    /// Refusals of attempts that an engine ran.
    pub refused_after_run: usize,
    /// Streams that were joined of several versions.
    pub joined: usize,
    /// Streams that brought an event and may not be resumed.
    pub plain: usize,
    /// Events that callers received, of all streams.
    pub events: u64,
}

/// The attempts of a caller for one stream, in their order, with the requests that reached engines.
struct StreamAttempts<'a> {
    begun_as: &'a str,
    attempts: Vec<(&'a CallRecord, Vec<&'a (String, EngineRun)>)>,
}

/// Returns the stream that a caller can take up after an attempt, `None` if the attempt brought no event of one, or all.
pub fn broken_stream(record: &CallRecord) -> Option<TakenUp> {
    let CallOutcome::Answer { status: 200, complete: false, .. } = &record.outcome else {
        return None;
    };
    let (begun_as, begun) = match &record.taken_up {
        Some(taken_up) => (&taken_up.begun_as, taken_up.begun),
        None => (&record.attempt, record.sent),
    };
    let after = event_before(record) + events_of(record);
    let events = record.kind.events().unwrap_or(EVENTS);
    let is_partial = record.kind.is_resumable() && (1..events).contains(&after);
    is_partial.then(|| TakenUp { begun_as: begun_as.clone(), begun, after })
}

/// Returns the number of the last event that a caller had before an attempt.
fn event_before(record: &CallRecord) -> u64 {
    record.taken_up.as_ref().map_or(0, |stream| stream.after)
}

/// Returns the number of complete events that an attempt brought.
fn events_of(record: &CallRecord) -> u64 {
    match &record.outcome {
        CallOutcome::Answer { status: 200, text, .. } => text.matches("\n\n").count() as u64,
        _ => 0,
    }
}

/// Checks that the engines that ran a stream, over the attempts of its caller, have one version. Reports each stream once.
pub fn check_versions(evidence: &SoakEvidence) -> Vec<SoakViolation> {
    let invariant = "streams go on at the version that began them";
    let joined = streams_of(evidence).into_iter().filter_map(|stream| stream.joined(evidence));
    joined.map(|detail| SoakViolation { invariant, detail }).collect()
}

/// Counts the streams of a run that callers may take up.
pub fn count_streams(evidence: &SoakEvidence) -> StreamCounts {
    let mut counts = StreamCounts::default();
    for stream in streams_of(evidence) {
        counts.events += stream.attempts.iter().map(|(record, _)| events_of(record)).sum::<u64>();
        let mut with_events = stream.attempts.iter().filter(|(record, _)| events_of(record) > 0);
        let Some((first, _)) = with_events.next() else { continue };
        if !first.kind.is_resumable() {
            counts.plain += usize::from(first.kind.is_stream());
            continue;
        }
        let went_on = |(record, _): &(&CallRecord, _)| {
            record.taken_up.is_some() && (events_of(record) > 0 || record.is_served())
        };
        counts.begun += 1;
        counts.resumed += usize::from(stream.attempts.iter().any(|(record, runs)| {
            runs.iter().any(|(_, run)| run.ran && run.after > event_before(record))
        }));
        counts.taken_up += usize::from(stream.attempts.len() > 1);
        counts.went_on += usize::from(stream.attempts.iter().any(went_on));
        counts.refused_after_run += stream.attempts.iter().filter(is_refused_after_run).count();
        counts.joined += usize::from(stream.joined(evidence).is_some());
    }
    counts
}

/// Returns whether an attempt was refused as not run although an engine ran it.
fn is_refused_after_run((record, runs): &&(&CallRecord, Vec<&(String, EngineRun)>)) -> bool {
    let CallOutcome::Answer { status, .. } = &record.outcome else { return false };
    NOT_RUN_STATUSES.contains(status) && runs.iter().any(|(_, run)| run.ran)
}

/// Returns the attempts of all callers by stream.
fn streams_of(evidence: &SoakEvidence) -> Vec<StreamAttempts<'_>> {
    let mut runs: BTreeMap<&str, Vec<&(String, EngineRun)>> = BTreeMap::new();
    for run in &evidence.runs {
        runs.entry(&run.1.attempt).or_default().push(run);
    }
    let mut streams: BTreeMap<&str, StreamAttempts<'_>> = BTreeMap::new();
    for record in &evidence.records {
        let begun_as = record.taken_up.as_ref().map_or(&record.attempt, |stream| &stream.begun_as);
        let runs = runs.get(record.attempt.as_str()).cloned().unwrap_or_default();
        let new = || StreamAttempts { begun_as, attempts: Vec::new() };
        streams.entry(begun_as).or_insert_with(new).attempts.push((record, runs));
    }
    streams.into_values().collect()
}

impl StreamAttempts<'_> {
    /// Describes the first attempt that went on at another version than the stream began at.
    fn joined(&self, evidence: &SoakEvidence) -> Option<String> {
        let version_of = |engine: &String| evidence.versions.get(engine);
        let mut begun_at = None;
        for (record, runs) in &self.attempts {
            let CallOutcome::Answer { sealed_by: Some(sealed_by), status: 200, .. } =
                &record.outcome
            else {
                continue;
            };
            let Some(version) = version_of(sealed_by) else { continue };
            let begun_at = *begun_at.get_or_insert(version);
            let continued =
                runs.iter().filter(|(_, run)| run.ran && run.after > event_before(record));
            let mut engines = continued.map(|(engine, _)| engine).chain([sealed_by]);
            if let Some(engine) = engines.find(|engine| version_of(engine) != Some(begun_at)) {
                let (begun_as, attempt, daemon) = (self.begun_as, &record.attempt, record.daemon);
                return Some(format!(
                    "{begun_as} began at {begun_at}, {attempt} at daemon {daemon} went on at {engine}"
                ));
            }
        }
        None
    }
}
