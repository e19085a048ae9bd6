//! Sends notices of engines (a limit, leaving, a rest) and checks that the daemons respect them.
//!
//! Owns: the notices, their checks and the users' bounds. Relies on: `SoakFleet` for the engines.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::fleet::{EngineRun, EngineStep};

use crate::checks::SoakViolation;
use crate::evidence::SoakEvidence;
use crate::fleet::SoakFleet;

/// Time after which the daemons have to respect a limit.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Window in which requests to a limited engine are counted.
const COUNTING_WINDOW: Duration = Duration::from_secs(4);
/// Requests that are allowed in a window in addition to one and a half times the limit.
const LIMIT_SLACK: usize = 5;
/// Time after receiving the notice of a leaving engine from which a daemon sends it no more requests.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);
/// Rest that an engine requests.
const REST: Duration = Duration::from_secs(2);
/// Time at the start of a rest during which requests may still be in flight.
const IN_FLIGHT: Duration = Duration::from_millis(500);
/// Requests that are allowed from one daemon in the remaining time of a rest.
const REST_SLACK: usize = 2;
/// Number of times that an engine declines one request with a rest and serves the next.
const REST_REQUESTS: usize = 40;
/// Time for which an engine reports its limit, in addition to the duration of the fault.
const LIMIT_TIME: Duration = Duration::from_secs(6);

/// A notice of an engine about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineNotice {
    /// The engine accepts this many requests per second.
    Limit(u32),
    /// The engine is leaving.
    Leaving,
    /// The engine requests a rest.
    Rest,
}

/// A notice that an engine has sent.
#[derive(Clone, Debug)]
pub struct SentNotice {
    /// Id of the engine.
    pub engine: String,
    /// The notice.
    pub notice: EngineNotice,
    /// When the engine began to send it.
    pub from: Instant,
    /// When the engine stopped sending it.
    pub until: Instant,
}

impl SoakFleet {
    /// Makes an engine send a notice for some time. A leaving engine is replaced afterwards.
    pub async fn send_notice(
        &self,
        index: usize,
        notice: EngineNotice,
        time: Duration,
    ) -> Result<()> {
        let engine = Rc::clone(&self.engines.borrow()[index].engine);
        // One notice at a time: the end of an earlier one would also end a later one.
        if !self.notifying.borrow_mut().insert(engine.id.clone()) {
            return Ok(());
        }
        let from = Instant::now();
        match notice {
            EngineNotice::Limit(rate) => {
                engine.set_notices(&[(WIRE_PROFILE.limit, &rate.to_string())]);
                tokio::time::sleep(time + LIMIT_TIME).await;
                engine.set_notices(&[]);
            }
            EngineNotice::Leaving => {
                engine.set_notices(&[(WIRE_PROFILE.leaving, "1")]);
                tokio::time::sleep(time + LEAVE_LIMIT).await;
                // Another fault may have replaced the engine in the meantime.
                if self.engines.borrow()[index].engine.id == engine.id {
                    self.replace_engine(index).await?;
                }
            }
            EngineNotice::Rest => {
                for _ in 0..REST_REQUESTS {
                    engine.queue_step(EngineStep::Rest(REST));
                    engine.queue_step(EngineStep::Serve);
                }
                tokio::time::sleep(time).await;
            }
        }
        self.notifying.borrow_mut().remove(&engine.id);
        let sent = SentNotice { engine: engine.id.clone(), notice, from, until: Instant::now() };
        self.evidence.borrow_mut().notices.push(sent);
        Ok(())
    }
}

/// Returns a violation for each notice that the daemons did not respect. Requests of daemons that were suspended or
/// restarted in the meantime are ignored for leaving and resting engines.
pub fn check_notices(evidence: &SoakEvidence) -> Vec<SoakViolation> {
    let daemons: BTreeMap<&str, usize> =
        evidence.records.iter().map(|record| (record.attempt.as_str(), record.daemon)).collect();
    let checks = evidence.notices.iter().flat_map(|sent| {
        let runs = evidence.runs.iter().filter(|(engine, _)| *engine == sent.engine);
        let arrived: Vec<Arrival<'_>> = runs
            .filter_map(|(_, run)| {
                let daemon = *daemons.get(run.attempt.as_str())?;
                Some(Arrival { daemon, at: run.begun?, run })
            })
            .collect();
        match sent.notice {
            EngineNotice::Limit(rate) => check_limit(sent, rate, &arrived),
            EngineNotice::Leaving => check_leaving(evidence, sent, &arrived),
            EngineNotice::Rest => check_rest(evidence, &arrived),
        }
    });
    checks.collect()
}

struct Arrival<'a> {
    daemon: usize,
    at: Instant,
    run: &'a EngineRun,
}

fn check_limit(sent: &SentNotice, rate: u32, arrived: &[Arrival<'_>]) -> Option<SoakViolation> {
    let counted: Vec<Instant> = arrived
        .iter()
        .map(|arrival| arrival.at)
        .filter(|at| *at >= sent.from + PROPAGATION_LIMIT && *at < sent.until)
        .collect();
    let within = |from: &Instant| {
        counted.iter().filter(|at| (*from..*from + COUNTING_WINDOW).contains(at)).count()
    };
    let peak = counted.iter().map(within).max().unwrap_or(0);
    let allowed = rate as usize * COUNTING_WINDOW.as_secs() as usize * 3 / 2 + LIMIT_SLACK;
    let detail =
        format!("{peak} requests in {COUNTING_WINDOW:?} at {}, {allowed} allowed", sent.engine);
    let invariant = "all daemons together respect the limit of a target";
    (peak > allowed).then_some(SoakViolation { invariant, detail })
}

fn check_leaving(
    evidence: &SoakEvidence,
    sent: &SentNotice,
    arrived: &[Arrival<'_>],
) -> Option<SoakViolation> {
    let late = arrived.iter().find(|late| {
        arrived.iter().any(|notified| {
            let after = notified.at >= sent.from && notified.at + LEAVE_LIMIT < late.at;
            notified.daemon == late.daemon
                && after
                && evidence.ran_uninterrupted(late.daemon, notified.at, late.at)
        })
    })?;
    let detail =
        format!("{} from daemon {} reached {}", late.run.attempt, late.daemon, sent.engine);
    Some(SoakViolation {
        invariant: "a target that reports leaving receives no more requests",
        detail,
    })
}

fn check_rest(evidence: &SoakEvidence, arrived: &[Arrival<'_>]) -> Option<SoakViolation> {
    let declined = arrived.iter().filter(|arrival| !arrival.run.ran);
    let violated = declined.into_iter().find_map(|declined_run| {
        let rest = declined_run.at + IN_FLIGHT..declined_run.at + REST;
        let late = arrived
            .iter()
            .filter(|late| late.daemon == declined_run.daemon && rest.contains(&late.at));
        let count = late.count();
        let is_uninterrupted =
            evidence.ran_uninterrupted(declined_run.daemon, declined_run.at, rest.end);
        (count > REST_SLACK && is_uninterrupted).then_some((declined_run, count))
    });
    let (declined_run, count) = violated?;
    let detail = format!("{count} requests from daemon {} during a rest", declined_run.daemon);
    Some(SoakViolation { invariant: "a target that requests a rest receives no requests", detail })
}
