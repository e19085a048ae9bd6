//! Checks the invariants of a run: compares the answers of the callers with the requests that the engines ran.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use curlewcleat_platform::example::{DEPOTS_KEY, DRIVERS_KEY, DRIVERS_SECOND_KEY};
use curlewcleat_standins::fleet::{EngineRun, FleetEngine};

use crate::callers::{CallOutcome, CallRecord};
use crate::crowds::check_crowds;
use crate::evidence::{SoakEvidence, AFTERMATH};
use crate::exchange::request_body;
use crate::lethal::LETHAL;
use crate::notices::check_notices;
use crate::streams::check_versions;

/// Statuses that guarantee that the request has not run and will not run.
pub(crate) const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Status of a failing engine.
const ENGINE_FAILURE: u16 = 500;
/// Number of engines that may run a request in the example configuration.
const ATTEMPT_LIMIT: usize = 2;
/// Tolerance for the time between a write to the store and its record in the evidence.
const RECORDING_SLACK: Duration = Duration::from_millis(100);
/// Time after the last fault from which requests have to be served again.
const RECOVERED_AFTER: Duration = Duration::from_millis(2_500);
/// Users' bound: a request is lethal after terminating this many engines, and may reach this many others after that.
const LETHAL_LIMIT: usize = 3;
/// Time within which all daemons have to know a lethal request: the users' shortest bound.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Minimum number of requests for the check of recovery.
const RECOVERY_REQUESTS: usize = 20;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakViolation {
    /// The invariant.
    pub invariant: &'static str,
    /// What was observed.
    pub detail: String,
}

/// A request with its arrivals at engines.
struct RequestCase<'a> {
    record: &'a CallRecord,
    arrivals: Vec<&'a (String, EngineRun)>,
}

impl RequestCase<'_> {
    fn runs(&self) -> impl Iterator<Item = &(String, EngineRun)> {
        self.arrivals.iter().copied().filter(|(_, run)| run.ran)
    }

    fn violation(&self, invariant: &'static str, why: &str) -> SoakViolation {
        let CallRecord { attempt, kind, daemon, outcome, .. } = self.record;
        let engines: Vec<&str> = self.runs().map(|(engine, _)| engine.as_str()).collect();
        let detail = format!(
            "{attempt} {kind:?} at daemon {daemon}: {why}; ran on {engines:?}; {outcome:?}"
        );
        SoakViolation { invariant, detail }
    }
}

/// Returns all violations of invariants that the evidence shows.
pub fn check_evidence(evidence: &SoakEvidence) -> Vec<SoakViolation> {
    let mut arrivals: BTreeMap<&str, Vec<&(String, EngineRun)>> = BTreeMap::new();
    let (lethal, others): (Vec<_>, Vec<_>) =
        evidence.runs.iter().partition(|(_, run)| run.body == LETHAL);
    for arrival in others {
        arrivals.entry(arrival.1.attempt.as_str()).or_default().push(arrival);
    }
    let mut violations = Vec::new();
    for record in evidence.all_records() {
        let arrivals = arrivals.remove(record.attempt.as_str()).unwrap_or_default();
        let case = RequestCase { record, arrivals };
        violations.extend(check_runs(&case));
        violations.extend(check_arrivals(&case));
        violations.extend(check_answer(&case, evidence.events));
        violations.extend(check_keys(&case, evidence));
        violations.extend(check_completion(&case, evidence));
        violations.extend(check_leaves(&case, evidence));
        violations.extend(check_foreign(&case, evidence));
    }
    for attempt in arrivals.keys() {
        let detail = format!("{attempt} reached an engine, but no caller sent it");
        violations
            .push(SoakViolation { invariant: "engines run only requests of callers", detail });
    }
    violations.extend(check_lethal(&lethal));
    violations.extend(check_versions(evidence));
    violations.extend(check_notices(evidence));
    violations.extend(check_crowds(evidence));
    let failures = evidence.failures.iter().cloned();
    violations.extend(
        failures.map(|detail| SoakViolation { invariant: "no process exits by itself", detail }),
    );
    violations.extend(check_recovery(evidence));
    violations
}

fn check_runs(case: &RequestCase<'_>) -> Option<SoakViolation> {
    let kind = case.record.kind;
    let runs = case.runs().count();
    if !kind.is_repeatable() && runs > 1 {
        return Some(
            case.violation("unrepeatable requests run at most once", "it ran more than once"),
        );
    }
    if runs > ATTEMPT_LIMIT {
        return Some(case.violation("no more attempts than the route allows", "too many runs"));
    }
    let CallOutcome::Answer { status, .. } = &case.record.outcome else { return None };
    let is_refused = NOT_RUN_STATUSES.contains(status) && !kind.is_repeatable();
    (is_refused && runs > 0).then(|| case.violation("refused requests do not run", "it ran"))
}

/// Checks that requests reach engines as they were sent, with the account instead of the key.
fn check_arrivals(case: &RequestCase<'_>) -> Option<SoakViolation> {
    let record = case.record;
    let expected = format!("POST {}", record.kind.path());
    let account = match record.key {
        DRIVERS_KEY | DRIVERS_SECOND_KEY => "drivers",
        DEPOTS_KEY => "depots",
        _ => "",
    };
    let changed = case.arrivals.iter().any(|(_, run)| {
        run.request != expected
            || run.body != request_body(&record.attempt)
            || run.account != account
            || !run.key.is_empty()
    });
    changed.then(|| {
        case.violation("requests reach engines unchanged", "an engine received it changed")
    })
}

fn check_answer(case: &RequestCase<'_>, events: u64) -> Option<SoakViolation> {
    let CallOutcome::Answer { status, text, complete, sealed_by, echoed_attempt } =
        &case.record.outcome
    else {
        return None;
    };
    let attempt = &case.record.attempt;
    if echoed_attempt.as_ref().is_some_and(|echoed_attempt| echoed_attempt != attempt) {
        return Some(case.violation("answers reach their own callers", "it names another attempt"));
    }
    let Some(sealed_by) = sealed_by else {
        let served = (200..300).contains(status);
        return served
            .then(|| case.violation("successful answers come from engines", "it has no seal"));
    };
    if !case.runs().any(|(engine, _)| engine == sealed_by) {
        return Some(
            case.violation("the seal names an engine that ran it", "it did not run there"),
        );
    }
    if *status == ENGINE_FAILURE && text == "failed" {
        return None;
    }
    let expected = expected_answer(case.record, events);
    let right = match complete {
        true => *text == expected,
        false => expected.starts_with(text.as_str()),
    };
    let wrong = *status != 200 || !right;
    wrong.then(|| {
        case.violation("answers are complete and in order", "it is not the engine's answer")
    })
}

/// Returns the whole answer to a request; `events` is the length of streams that do not state it.
fn expected_answer(record: &CallRecord, events: u64) -> String {
    let attempt = &record.attempt;
    if !record.kind.is_stream() {
        return format!("record of {attempt}");
    }
    let events = record.kind.events().unwrap_or(events);
    let after = record.taken_up.as_ref().map_or(0, |stream| stream.after);
    let skipped = FleetEngine::expected_stream(attempt, after).len();
    FleetEngine::expected_stream(attempt, events)[skipped..].to_string()
}

fn check_keys(case: &RequestCase<'_>, evidence: &SoakEvidence) -> Option<SoakViolation> {
    let record = case.record;
    if let CallOutcome::Answer { status, .. } = &record.outcome {
        let kept = matches!(record.key, DRIVERS_KEY | DEPOTS_KEY);
        if (*status == 401 && kept) || *status == 404 {
            return Some(case.violation("no valid request is denied", "its key and route exist"));
        }
    }
    let revocations =
        evidence.key_revocations.iter().filter(|revocation| revocation.key == record.key);
    let mut late = revocations.filter(|revocation| {
        record.sent > revocation.revoked + evidence.age_limit + RECORDING_SLACK
    });
    let ran = late.any(|revocation| {
        let before_restored =
            |begun: Instant| revocation.restored.is_none_or(|restored| begun < restored);
        case.runs().any(|(_, run)| run.begun.is_some_and(before_restored))
    });
    ran.then(|| case.violation("a revoked key is refused in time", "it ran with one"))
}

/// Returns whether a stream that was taken up ended because the time that its caller stated had passed: that is what was left
/// since the stream began.
fn is_cut_at_deadline(record: &CallRecord) -> bool {
    let is_cut = matches!(&record.outcome, CallOutcome::Answer { complete: false, .. });
    is_cut && record.taken_up.is_some() && record.ended >= record.deadline
}

/// Checks that a request that reached an engine gets a complete answer, unless an unplanned fault is near.
fn check_completion(case: &RequestCase<'_>, evidence: &SoakEvidence) -> Option<SoakViolation> {
    let record = case.record;
    let complete = matches!(&record.outcome, CallOutcome::Answer { complete: true, .. });
    let reached = !case.arrivals.is_empty();
    if complete || !reached || !evidence.is_undisturbed(record.sent - AFTERMATH, record.ended) {
        return None;
    }
    if is_cut_at_deadline(record) {
        return None;
    }
    let why = match evidence.is_stopping(record.daemon, record.ended) {
        true => "interrupted at a planned stop",
        false => "interrupted without a fault",
    };
    Some(case.violation("planned work loses no requests", why))
}

fn check_leaves(case: &RequestCase<'_>, evidence: &SoakEvidence) -> Option<SoakViolation> {
    let late = case.runs().find(|(engine, run)| {
        let leave = evidence.leaves.iter().find(|leave| leave.engine == *engine);
        let (Some(leave), Some(begun)) = (leave, run.begun) else { return false };
        let late = begun > leave.announced + evidence.leave_limit + RECORDING_SLACK;
        late && evidence.is_undisturbed(leave.announced - AFTERMATH, begun)
    });
    late.map(|(engine, _)| {
        case.violation(
            "a leaving engine receives no requests",
            &format!("it reached {engine} late"),
        )
    })
}

fn check_foreign(case: &RequestCase<'_>, evidence: &SoakEvidence) -> Option<SoakViolation> {
    let reached =
        case.arrivals.iter().find(|(engine, _)| evidence.foreign_entries.contains(engine));
    let invariant = "list entries of other writers receive no requests";
    reached.map(|(engine, _)| case.violation(invariant, &format!("it reached {engine}")))
}

/// Checks that a request that has terminated three engines reaches at most three others after the users' bound.
fn check_lethal(runs: &[&(String, EngineRun)]) -> Option<SoakViolation> {
    let mut begun: Vec<Instant> = runs.iter().filter_map(|(_, run)| run.begun).collect();
    begun.sort();
    let deadline = *begun.get(LETHAL_LIMIT - 1)? + PROPAGATION_LIMIT;
    let late = begun.iter().filter(|at| **at > deadline).count();
    let detail = format!(
        "{late} of {} runs began later than {PROPAGATION_LIMIT:?} after the third",
        runs.len()
    );
    let invariant = "a lethal request is sent to no more engines";
    (late > LETHAL_LIMIT).then_some(SoakViolation { invariant, detail })
}

fn check_recovery(evidence: &SoakEvidence) -> Option<SoakViolation> {
    let from = evidence.faults_ended? + RECOVERED_AFTER;
    let late = evidence.records.iter().filter(|record| record.sent > from);
    let served = |record: &&CallRecord| {
        matches!(&record.outcome, CallOutcome::Answer { status: 200, complete: true, .. })
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
    Some(SoakViolation { invariant: "requests are served once faults have ended", detail })
}
