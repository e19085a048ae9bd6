//! Compares the events that callers got with the runs of the engines that sent them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::callers::{CallerRecord, ReceivedEvent, StreamRefusal};
use super::fleet::ReleaseFleet;

/// A run of an attempt at an engine.
struct VersionRun {
    version: &'static str,
    after: u64,
    ran: bool,
    begun: Option<Instant>,
}

/// What the callers of a test got.
#[derive(Debug, Default)]
pub struct StreamVerdict {
    /// Streams that callers have requested.
    pub sent: usize,
    /// Streams that have begun.
    pub begun: usize,
    /// Streams that have begun at each version.
    pub versions: BTreeMap<&'static str, usize>,
    /// Streams that broke off and were taken up.
    pub broken: usize,
    /// Those that went on to their end.
    pub went_on: usize,
    /// Those that the daemon that was out of step continued.
    pub went_on_out_of_step: usize,
    /// Refusals of all attempts.
    pub refusals: usize,
    /// Streams whose events are of two versions.
    pub joined: Vec<String>,
    /// Streams with a missing or a second event.
    pub out_of_order: Vec<String>,
    /// Refusals as not run of attempts that ran.
    pub untrue_refusals: Vec<StreamRefusal>,
    /// Refusals with 503 and without a `Retry-After`.
    pub without_advice: Vec<StreamRefusal>,
    /// Other refusals than with 503, by status.
    pub other_statuses: BTreeMap<u16, usize>,
}

impl StreamVerdict {
    /// Returns the share of the broken streams that went on, and of the requested ones that began, in percent.
    pub fn shares(&self) -> (usize, usize) {
        let percent = |part: usize, of: usize| part * 100 / of.max(1);
        (percent(self.went_on, self.broken), percent(self.begun, self.sent))
    }
}

/// Judges the records of all callers.
pub fn judge(fleet: &ReleaseFleet, records: &[CallerRecord]) -> StreamVerdict {
    let runs = runs_by_attempt(fleet);
    let mut verdict = StreamVerdict { sent: records.len(), ..StreamVerdict::default() };
    for record in records {
        count(&mut verdict, record, &fleet.out_of_step_entry());
        let versions: Vec<&'static str> =
            record.events.iter().filter_map(|event| version_of(&runs, event)).collect();
        if let Some(first) = versions.first() {
            *verdict.versions.entry(first).or_default() += 1;
        }
        if versions.iter().collect::<BTreeSet<_>>().len() > 1 {
            verdict.joined.push(format!("{}: {versions:?} {record:?}", record.name));
        }
        if !record.is_in_order() || versions.len() != record.events.len() {
            verdict.out_of_order.push(format!("{record:?}"));
        }
        for refusal in &record.refusals {
            judge_refusal(&mut verdict, &runs, refusal);
        }
    }
    verdict
}

fn judge_refusal(
    verdict: &mut StreamVerdict,
    runs: &BTreeMap<String, Vec<VersionRun>>,
    refusal: &StreamRefusal,
) {
    let ran = runs.get(&refusal.attempt).is_some_and(|runs| runs.iter().any(|run| run.ran));
    let states_not_run = refusal.status == 503 || refusal.retry_after.is_some();
    if states_not_run && ran {
        verdict.untrue_refusals.push(refusal.clone());
    }
    match refusal.status {
        503 if refusal.retry_after.is_none() => verdict.without_advice.push(refusal.clone()),
        503 => {}
        status => *verdict.other_statuses.entry(status).or_default() += 1,
    }
}

fn count(verdict: &mut StreamVerdict, record: &CallerRecord, out_of_step: &str) {
    verdict.begun += usize::from(record.is_begun());
    verdict.refusals += record.refusals.len();
    if record.is_broken {
        verdict.broken += 1;
        verdict.went_on += usize::from(record.is_whole());
        let is_there = record.went_on_at.as_deref() == Some(out_of_step);
        verdict.went_on_out_of_step += usize::from(record.is_whole() && is_there);
    }
}

fn runs_by_attempt(fleet: &ReleaseFleet) -> BTreeMap<String, Vec<VersionRun>> {
    let mut runs: BTreeMap<String, Vec<VersionRun>> = BTreeMap::new();
    for (engine, version) in fleet.fleet.engines.iter().zip(&fleet.versions) {
        for run in engine.runs() {
            let (after, ran, begun) = (run.after, run.ran, run.begun);
            runs.entry(run.attempt).or_default().push(VersionRun { version, after, ran, begun });
        }
    }
    runs
}

/// Returns the version of the engine that sent an event: that of the last run that began before it.
fn version_of(
    runs: &BTreeMap<String, Vec<VersionRun>>,
    event: &ReceivedEvent,
) -> Option<&'static str> {
    let runs = runs.get(&event.attempt)?;
    let sent = runs.iter().filter(|run| run.ran && run.after < event.number);
    sent.max_by_key(|run| (run.after, run.begun)).map(|run| run.version)
}
