//! Compares what callers got with what engines ran.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use curlewcleat_platform::example::{DEPOTS_KEY, DRIVERS_KEY, DRIVERS_SECOND_KEY};
use curlewcleat_standins::fleet::{EngineRun, FleetEngine};

use crate::callers::{body_of, CallOutcome, CallRecord};
use crate::evidence::{SoakEvidence, AFTERMATH};
use crate::lethal::LETHAL;
use crate::words::check_words;

/// Statuses that promise that nothing ran and nothing will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Status of an engine that fails.
const ENGINE_FAILURE: u16 = 500;
/// Engines that a request of the example configuration may run at.
const ATTEMPT_LIMIT: usize = 2;
/// Error of the clocks between a write to the store and its note.
const SLACK: Duration = Duration::from_millis(100);
/// Time after the last fault in which requests are served again.
const RECOVERED_AFTER: Duration = Duration::from_millis(2_500);
/// Ends of engines after which a request is lethal, and runs of it that are allowed beyond: the users' bounds.
const LETHAL_LIMIT: usize = 3;
/// Time in which all daemons have to know: the users' shortest bound.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests from which recovery can be told.
const RECOVERY_REQUESTS: usize = 20;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakFinding {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
}

/// A request with what reached engines of it.
struct JudgedCase<'a> {
    record: &'a CallRecord,
    arrivals: Vec<&'a (String, EngineRun)>,
}

impl JudgedCase<'_> {
    fn runs(&self) -> impl Iterator<Item = &(String, EngineRun)> {
        self.arrivals.iter().copied().filter(|(_, run)| run.ran)
    }

    fn finding(&self, promise: &'static str, why: &str) -> SoakFinding {
        let CallRecord { attempt, kind, daemon, outcome, .. } = self.record;
        let engines: Vec<&str> = self.runs().map(|(engine, _)| engine.as_str()).collect();
        let detail = format!(
            "{attempt} {kind:?} at daemon {daemon}: {why}; ran at {engines:?}; {outcome:?}"
        );
        SoakFinding { promise, detail }
    }
}

/// Every promise that the evidence shows to be broken.
pub fn judge(evidence: &SoakEvidence) -> Vec<SoakFinding> {
    let mut arrivals: BTreeMap<&str, Vec<&(String, EngineRun)>> = BTreeMap::new();
    let (lethal, others): (Vec<_>, Vec<_>) =
        evidence.runs.iter().partition(|(_, run)| run.body == LETHAL);
    for arrival in others {
        arrivals.entry(arrival.1.attempt.as_str()).or_default().push(arrival);
    }
    let mut findings = Vec::new();
    for record in &evidence.records {
        let arrivals = arrivals.remove(record.attempt.as_str()).unwrap_or_default();
        let case = JudgedCase { record, arrivals };
        findings.extend(check_runs(&case));
        findings.extend(check_arrivals(&case));
        findings.extend(check_answer(&case, evidence.events));
        findings.extend(check_keys(&case, evidence));
        findings.extend(check_lost(&case, evidence));
        findings.extend(check_leaves(&case, evidence));
        findings.extend(check_foreign(&case, evidence));
    }
    for attempt in arrivals.keys() {
        let detail = format!("{attempt} reached an engine and was sent by nobody");
        findings.push(SoakFinding { promise: "nothing runs unasked", detail });
    }
    findings.extend(check_lethal(&lethal));
    findings.extend(check_words(evidence));
    let exits = evidence.exits.iter().cloned();
    findings
        .extend(exits.map(|detail| SoakFinding { promise: "no process ends by itself", detail }));
    findings.extend(check_recovery(evidence));
    findings
}

fn check_runs(case: &JudgedCase<'_>) -> Option<SoakFinding> {
    let kind = case.record.kind;
    let runs = case.runs().count();
    if !kind.is_repeatable() && runs > 1 {
        return Some(case.finding("what may not be repeated runs once", "it ran more than once"));
    }
    if runs > ATTEMPT_LIMIT {
        return Some(case.finding("no more engines than the route allows", "too many runs"));
    }
    let CallOutcome::Answer { status, .. } = &case.record.outcome else { return None };
    let promised = NOT_RUN_STATUSES.contains(status) && !kind.is_repeatable();
    (promised && runs > 0).then(|| case.finding("refused means not run", "it ran"))
}

/// Requests reach engines as they were sent, with the account in place of the key.
fn check_arrivals(case: &JudgedCase<'_>) -> Option<SoakFinding> {
    let record = case.record;
    let wanted = format!("POST {}", record.kind.path());
    let account = match record.key {
        DRIVERS_KEY | DRIVERS_SECOND_KEY => "drivers",
        DEPOTS_KEY => "depots",
        _ => "",
    };
    let changed = case.arrivals.iter().any(|(_, run)| {
        run.request != wanted
            || run.body != body_of(&record.attempt)
            || run.account != account
            || !run.key.is_empty()
    });
    changed.then(|| case.finding("requests run unchanged", "it reached an engine otherwise"))
}

fn check_answer(case: &JudgedCase<'_>, events: u64) -> Option<SoakFinding> {
    let CallOutcome::Answer { status, text, whole, seal, echo } = &case.record.outcome else {
        return None;
    };
    let attempt = &case.record.attempt;
    if echo.as_ref().is_some_and(|echo| echo != attempt) {
        return Some(case.finding("answers reach their own callers", "it names another try"));
    }
    let Some(seal) = seal else {
        let served = (200..300).contains(status);
        return served.then(|| case.finding("a success is an engine's", "it has no signature"));
    };
    if !case.runs().any(|(engine, _)| engine == seal) {
        return Some(case.finding("a signature is that of the engine", "it did not run there"));
    }
    if *status == ENGINE_FAILURE && text == "failed" {
        return None;
    }
    let expected = match case.record.kind.is_stream() {
        true => FleetEngine::expected_stream(attempt, events),
        false => format!("record of {attempt}"),
    };
    let right = match whole {
        true => *text == expected,
        false => expected.starts_with(text.as_str()),
    };
    let wrong = *status != 200 || !right;
    wrong.then(|| case.finding("answers are whole and in order", "it is not the engine's answer"))
}

fn check_keys(case: &JudgedCase<'_>, evidence: &SoakEvidence) -> Option<SoakFinding> {
    let record = case.record;
    if let CallOutcome::Answer { status, .. } = &record.outcome {
        let kept = matches!(record.key, DRIVERS_KEY | DEPOTS_KEY);
        if (*status == 401 && kept) || *status == 404 {
            return Some(case.finding("nothing allowed is denied", "its key and route are there"));
        }
    }
    let lost = evidence.key_losses.iter().filter(|loss| loss.key == record.key);
    let mut late = lost.filter(|loss| record.sent > loss.lost + evidence.age_limit + SLACK);
    let ran = late.any(|loss| {
        let before_return = |begun: Instant| loss.back.is_none_or(|back| begun < back);
        case.runs().any(|(_, run)| run.begun.is_some_and(before_return))
    });
    ran.then(|| case.finding("a lost key is refused in time", "it ran with one"))
}

/// In calm times, planned work or not, what reached an engine is answered whole.
fn check_lost(case: &JudgedCase<'_>, evidence: &SoakEvidence) -> Option<SoakFinding> {
    let record = case.record;
    let complete = matches!(&record.outcome, CallOutcome::Answer { whole: true, .. });
    let reached = !case.arrivals.is_empty();
    if complete || !reached || !evidence.is_calm(record.sent - AFTERMATH, record.ended) {
        return None;
    }
    let stopping = match evidence.is_stopping(record.daemon, record.ended) {
        true => "cut at a planned stop",
        false => "cut while nothing was wrong",
    };
    Some(case.finding("planned work loses nothing", stopping))
}

fn check_leaves(case: &JudgedCase<'_>, evidence: &SoakEvidence) -> Option<SoakFinding> {
    let late = case.runs().find(|(engine, run)| {
        let leave = evidence.leaves.iter().find(|leave| leave.engine == *engine);
        let (Some(leave), Some(begun)) = (leave, run.begun) else { return false };
        let late = begun > leave.told + evidence.leave_limit + SLACK;
        late && evidence.is_calm(leave.told - AFTERMATH, begun)
    });
    late.map(|(engine, _)| {
        case.finding("a leaving engine gets nothing", &format!("it reached {engine} late"))
    })
}

fn check_foreign(case: &JudgedCase<'_>, evidence: &SoakEvidence) -> Option<SoakFinding> {
    let reached = case.arrivals.iter().find(|(engine, _)| evidence.foreign.contains(engine));
    let promise = "an entry of another writer names no engine";
    reached.map(|(engine, _)| case.finding(promise, &format!("it reached {engine}")))
}

/// Beyond the users' bound, a request under which three engines have ended reaches no more than three others.
fn check_lethal(runs: &[&(String, EngineRun)]) -> Option<SoakFinding> {
    let mut begun: Vec<Instant> = runs.iter().filter_map(|(_, run)| run.begun).collect();
    begun.sort();
    let known = *begun.get(LETHAL_LIMIT - 1)? + CONTACT;
    let late = begun.iter().filter(|at| **at > known).count();
    let detail =
        format!("{late} of {} runs came later than {CONTACT:?} after the third", runs.len());
    let promise = "a lethal request is not sent on";
    (late > LETHAL_LIMIT).then_some(SoakFinding { promise, detail })
}

fn check_recovery(evidence: &SoakEvidence) -> Option<SoakFinding> {
    let from = evidence.healed? + RECOVERED_AFTER;
    let late = evidence.records.iter().filter(|record| record.sent > from);
    let served = |record: &&CallRecord| {
        matches!(&record.outcome, CallOutcome::Answer { status: 200, whole: true, .. })
    };
    let late: Vec<&CallRecord> = late.collect();
    let count = late.iter().copied().filter(|record| served(record)).count();
    if late.len() < RECOVERY_REQUESTS || count * 2 >= late.len() {
        return None;
    }
    let refused: BTreeSet<String> = late
        .iter()
        .filter(|record| !served(record))
        .map(|record| match &record.outcome {
            CallOutcome::Answer { status, .. } => status.to_string(),
            other => format!("{other:?}"),
        })
        .collect();
    let detail = format!("{count} of {} requests served; the others: {refused:?}", late.len());
    Some(SoakFinding { promise: "requests are served once faults have ended", detail })
}
