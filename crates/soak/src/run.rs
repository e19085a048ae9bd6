//! Runs one seed: injects the planned faults into a fleet under load, then checks the collected evidence.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_standins::deployment::wait_until;

use crate::callers::{CallKind, CallRecord, SoakCallers};
use crate::checks::{check_evidence, SoakViolation};
use crate::connectivity::check_connectivity;
use crate::engines::BACKENDS;
use crate::extra::{with_extra, ExtraKind};
use crate::fleet::SoakFleet;
use crate::options::SoakOptions;
use crate::outcomes::{count_outcomes, unserved_kinds};
use crate::plan::{plan, FaultStep, PlanOptions};
use crate::streams::{count_streams, StreamCounts};
use crate::take_up::TakeUpPolicy;

/// Time for which callers continue to send requests after the last fault.
const RECOVERY: Duration = Duration::from_secs(5);

/// Result of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The injected faults.
    pub steps: Vec<FaultStep>,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Streams that callers may take up.
    pub streams: StreamCounts,
    /// Violated invariants.
    pub violations: Vec<SoakViolation>,
}

/// Returns the faults of a run: those of its script, or those drawn from its seed.
fn planned_steps(options: &SoakOptions) -> Vec<FaultStep> {
    let plan_options = PlanOptions {
        daemons: options.daemons,
        engines: options.engines * BACKENDS.len(),
        time: options.time,
        planned_only: options.planned_only,
    };
    match (&options.script, options.extra) {
        (Some(script), _) => script.clone(),
        (None, None) => plan(options.seed, &plan_options),
        (None, Some(kind)) => {
            let steps = plan(options.seed, &plan_options);
            with_extra(steps, kind, options.seed, &plan_options)
        }
    }
}

fn take_up_policy(extra: Option<ExtraKind>) -> TakeUpPolicy {
    match extra {
        Some(ExtraKind::Releases | ExtraKind::Silences) => TakeUpPolicy::Once,
        Some(ExtraKind::Steps) => TakeUpPolicy::Persistent,
        Some(ExtraKind::WeakVms) => TakeUpPolicy::Restless,
        Some(ExtraKind::Mixed) => TakeUpPolicy::Mixed,
        _ => TakeUpPolicy::Never,
    }
}

/// Runs one seed and checks its evidence.
///
/// # Errors
/// Fails if a process cannot be started. A violated invariant is part of the report, not an error.
pub async fn run_soak(options: SoakOptions) -> Result<SoakReport> {
    let steps = planned_steps(&options);
    let fleet = Rc::new(SoakFleet::start(options).await?);
    fleet.begin_standstills()?;
    let addresses: Vec<String> =
        fleet.daemons.iter().map(|daemon| daemon.callers.clone()).collect();
    let SoakOptions { seed, callers, extra, .. } = fleet.options;
    let policy = take_up_policy(extra);
    let callers = SoakCallers::start(seed, callers, &addresses, policy);
    let watch = actix_rt::spawn(Rc::clone(&fleet).watch_processes());
    let engines = actix_rt::spawn(Rc::clone(&fleet).replace_terminated_engines());
    let begun = Instant::now();
    for step in &steps {
        tokio::time::sleep((begun + step.at).saturating_duration_since(Instant::now())).await;
        actix_rt::spawn(Rc::clone(&fleet).run_step(*step));
    }
    wait_until("the faults have ended", || async { fleet.active_faults.get() == 0 }).await?;
    if policy.is_restless() {
        callers.settle();
    }
    fleet.end_standstills();
    fleet.evidence.borrow_mut().faults_ended = Some(Instant::now());
    tokio::time::sleep(RECOVERY).await;
    let records = callers.close().await;
    watch.abort();
    engines.abort();
    let unreachable = check_connectivity(&fleet).await;
    let mut evidence = fleet.evidence.take();
    let unserved = check_kinds(policy.kinds(), &records);
    evidence.records = records;
    evidence.runs = fleet.runs();
    let mut violations = check_evidence(&evidence);
    violations.extend(unserved);
    violations.extend(unreachable);
    if let Ok(fleet) = Rc::try_unwrap(fleet) {
        fleet.close();
    }
    let streams = count_streams(&evidence);
    Ok(SoakReport { steps, outcomes: count_outcomes(evidence.all_records()), streams, violations })
}

/// Checks that requests of every kind were served.
fn check_kinds(kinds: &[CallKind], records: &[CallRecord]) -> Option<SoakViolation> {
    let kinds = unserved_kinds(kinds, records);
    let invariant = "every kind of request is served at least once";
    (!kinds.is_empty()).then(|| SoakViolation { invariant, detail: format!("{kinds:?}") })
}
