//! Crowds of new connections at one daemon, whose VM is weak meanwhile unless another fault controls its process.
//!
//! Owns: the callers of a crowd and the check of what they got. Relies on: `SoakFleet` for the daemons.

use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::example::{DEPOTS_KEY, DRIVERS_KEY};
use curlewcleat_standins::throttle::{ProcessThrottle, ProcessorShare};
use curlewcleat_targets::ConnectionPool;
use futures_util::stream::{FuturesUnordered, StreamExt};
use rand::rngs::StdRng;
use rand::Rng;

use crate::callers::{CallKind, CallOutcome, CallRecord};
use crate::checks::SoakViolation;
use crate::evidence::{SoakEvidence, AFTERMATH};
use crate::exchange::{request_body, send_request, REQUEST_TIMEOUT};
use crate::fleet::SoakFleet;
use crate::plan::SoakFault;

/// Range of the duration of a crowd, in milliseconds: some seconds.
const CROWD_MS: std::ops::Range<u64> = 800..4_000;
/// Time between two connections of a crowd: about twice what a weak VM can handle.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(4);
/// A VM with .12 of a core.
const WEAK_VM: ProcessorShare =
    ProcessorShare { period: Duration::from_millis(50), run_time: Duration::from_millis(6) };
/// Time after which a daemon has to read no more than it can serve.
const NOTICED_AFTER: Duration = Duration::from_millis(500);
/// Minimum number of requests of a crowd for the check.
const MIN_READ: usize = 20;
/// Users' bound: three quarters of the requests that are read in a crowd are served, in percent.
const MIN_SERVED_PERCENT: usize = 75;
/// Status of requests beyond the rate of their account, which are not counted.
const TOO_MANY_REQUESTS: u16 = 429;

/// A crowd and what its callers got.
#[derive(Clone, Debug)]
pub struct CrowdRecord {
    /// Index of the daemon.
    pub daemon: usize,
    /// When the crowd began and ended.
    pub span: (Instant, Instant),
    /// Its requests with their outcomes.
    pub records: Vec<CallRecord>,
}

/// Draws the daemon that is crowded, and for how long.
pub fn draw_crowd(random: &mut StdRng, daemons: usize) -> (SoakFault, Duration) {
    let daemon = random.random_range(0..daemons);
    (SoakFault::Crowd(daemon), Duration::from_millis(random.random_range(CROWD_MS)))
}

impl SoakFleet {
    /// Sends requests on new connections to a daemon for a time.
    pub async fn crowd(&self, index: usize, time: Duration) -> Result<()> {
        let throttle = match self.claim_process(index) {
            Some(daemon) => {
                let process = daemon.process.borrow();
                Some(ProcessThrottle::start(&process, WEAK_VM, Duration::ZERO)?)
            }
            // Another fault controls the process.
            None => None,
        };
        let begun = Instant::now();
        let records = self.send_crowd(index, begun + time).await;
        if let Some(throttle) = throttle {
            throttle.close();
            self.daemons[index].is_claimed.set(false);
        }
        let crowd = CrowdRecord { daemon: index, span: (begun, Instant::now()), records };
        self.evidence.borrow_mut().crowds.push(crowd);
        Ok(())
    }

    async fn send_crowd(&self, index: usize, end: Instant) -> Vec<CallRecord> {
        let number = self.crowd_count.get();
        self.crowd_count.set(number + 1);
        let mut calls = FuturesUnordered::new();
        let mut records = Vec::new();
        let mut arrivals = tokio::time::interval(ARRIVAL_INTERVAL);
        let mut arrival = 0;
        while Instant::now() < end {
            tokio::select! {
                _ = arrivals.tick() => {
                    let attempt = format!("crowd-{number}-{arrival}");
                    calls.push(self.crowd_call(index, arrival, attempt));
                    arrival += 1;
                }
                Some(record) = calls.next() => records.push(record),
            }
        }
        records.extend(calls.collect::<Vec<_>>().await);
        records
    }

    async fn crowd_call(&self, daemon: usize, arrival: usize, attempt: String) -> CallRecord {
        let kind = CallKind::ALL[arrival % CallKind::ALL.len()];
        let key = match kind {
            CallKind::Keyless => "",
            _ => [DRIVERS_KEY, DEPOTS_KEY][arrival % 2],
        };
        let sent = Instant::now();
        // A connection of its own.
        let connections = ConnectionPool::default();
        let callers = &self.daemons[daemon].callers;
        let body = request_body(&attempt);
        let outcome = send_request(&connections, callers, kind, (key, &attempt), body).await;
        CallRecord {
            attempt,
            kind,
            key,
            daemon,
            sent,
            ended: Instant::now(),
            outcome,
            taken_up: None,
            deadline: sent + REQUEST_TIMEOUT,
        }
    }
}

/// Checks that a crowded daemon serves most of what it reads, where no other fault is near.
pub fn check_crowds(evidence: &SoakEvidence) -> Vec<SoakViolation> {
    let undisturbed = |crowd: &&CrowdRecord| {
        let (begun, ended) = crowd.span;
        evidence.is_undisturbed(begun - AFTERMATH, ended)
            && evidence.ran_uninterrupted(crowd.daemon, begun - AFTERMATH, ended)
            && !evidence.stops.iter().any(|stop| stop.signalled <= ended)
    };
    evidence.crowds.iter().filter(undisturbed).filter_map(check_crowd).collect()
}

fn check_crowd(crowd: &CrowdRecord) -> Option<SoakViolation> {
    let counted = crowd.records.iter().filter(|record| record.sent >= crowd.span.0 + NOTICED_AFTER);
    let statuses: Vec<u16> = counted
        .filter_map(|record| match &record.outcome {
            CallOutcome::Answer { status: TOO_MANY_REQUESTS, .. } => None,
            CallOutcome::Answer { status, complete: true, .. } => Some(*status),
            CallOutcome::Answer { complete: false, .. } => Some(0),
            // The connection was closed unread, or `check_completion` finds that it was not.
            CallOutcome::Unsent | CallOutcome::NoAnswer(_) => None,
        })
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let is_served = served * 100 >= statuses.len() * MIN_SERVED_PERCENT;
    if statuses.len() < MIN_READ || is_served {
        return None;
    }
    let detail = format!("{served} of {} requests at daemon {}", statuses.len(), crowd.daemon);
    Some(SoakViolation { invariant: "a crowded daemon serves what it reads", detail })
}
