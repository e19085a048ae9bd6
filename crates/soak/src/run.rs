//! One run: faults of a plan happen to a fleet under load; then what happened is judged.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_standins::deployment::wait_until;

use crate::callers::SoakCallers;
use crate::extra::with_extra;
use crate::fleet::{SoakFleet, BACKENDS};
use crate::judge::{judge, SoakFinding};
use crate::options::SoakOptions;
use crate::outcomes::{summary, unserved};
use crate::plan::{plan, FaultStep, PlanOptions};
use crate::reach::unheard_peers;

/// Time for which the traffic goes on after the last fault.
const RECOVERY: Duration = Duration::from_secs(5);

/// What a run showed.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The faults.
    pub steps: Vec<FaultStep>,
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Broken promises.
    pub findings: Vec<SoakFinding>,
}

/// Plays one seed and judges it.
///
/// # Errors
/// Where processes cannot be started; a broken promise is no error.
pub async fn run_soak(options: SoakOptions) -> Result<SoakReport> {
    let plan_options = PlanOptions {
        daemons: options.daemons,
        engines: options.engines * BACKENDS.len(),
        time: options.time,
        planned_only: options.planned_only,
    };
    let steps = match (&options.script, options.extra) {
        (Some(script), _) => script.clone(),
        (None, None) => plan(options.seed, &plan_options),
        (None, Some(kind)) => {
            let steps = plan(options.seed, &plan_options);
            with_extra(steps, kind, options.seed, &plan_options)
        }
    };
    let fleet = Rc::new(SoakFleet::start(options).await?);
    let addresses: Vec<String> =
        fleet.daemons.iter().map(|daemon| daemon.callers.clone()).collect();
    let callers = SoakCallers::start(fleet.options.seed, fleet.options.callers, &addresses);
    let watch = actix_rt::spawn(Rc::clone(&fleet).watch_processes());
    let engines = actix_rt::spawn(Rc::clone(&fleet).watch_engines());
    let begun = Instant::now();
    for step in &steps {
        tokio::time::sleep((begun + step.at).saturating_duration_since(Instant::now())).await;
        actix_rt::spawn(Rc::clone(&fleet).play(*step));
    }
    wait_until("the faults have ended", || async { fleet.open_faults.get() == 0 }).await?;
    fleet.evidence.borrow_mut().healed = Some(Instant::now());
    tokio::time::sleep(RECOVERY).await;
    let records = callers.close().await;
    watch.abort();
    engines.abort();
    let unheard = unheard_peers(&fleet).await;
    let mut evidence = fleet.evidence.take();
    let kinds = unserved(&records);
    evidence.records = records;
    evidence.runs = fleet.runs();
    let mut findings = judge(&evidence);
    if !kinds.is_empty() {
        let detail = format!("{kinds:?}");
        findings.push(SoakFinding { promise: "every kind is served at some time", detail });
    }
    findings.extend(unheard);
    if let Ok(fleet) = Rc::try_unwrap(fleet) {
        fleet.close();
    }
    Ok(SoakReport { steps, outcomes: summary(&evidence.records), findings })
}
