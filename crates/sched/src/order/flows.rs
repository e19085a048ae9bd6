//! Counts the work that each urgency of a tier requests, and how much of it is granted.
//!
//! Inputs: the work in microseconds of first attempts when it is requested, of all attempts when it is granted, and
//! the time that passes. The rule: both are sums that decay over a few seconds.
//!
//! Owns: the sums of one pool. Relies on: `PoolScheduler` for permit requests, grants and the clock.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{AccountId, PermitRequest, TierRank, Uptime, WorkMicros};

use super::rank::UrgencyKey;
use crate::decaying_ratio::DecayingRatio;
use crate::work_estimate::micros;

/// Interval at which the sums decay by the fraction 1 / [`DECAY_DIVISOR`].
const DECAY_INTERVAL: Duration = Duration::from_millis(250);
/// Divisor of the fraction that the sums lose at each decay.
const DECAY_DIVISOR: u64 = 8;
/// An account counts with at most this many times the mean work of all accounts.
const ACCOUNT_LIMIT: u64 = 2;
/// All of the work, in percent.
const FULL_PERCENT: u64 = 100;
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Requested and granted work of one urgency.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UrgencyFlow {
    /// Work of the requests for a permit, by account.
    requested: BTreeMap<AccountId, WorkMicros>,
    /// Work of the requests that got a permit.
    granted: WorkMicros,
}

impl UrgencyFlow {
    /// Returns the share of its work that was granted, in percent.
    pub fn granted_percent(&self) -> u64 {
        let requested: WorkMicros = self.requested.values().sum();
        (self.granted * FULL_PERCENT)
            .checked_div(requested)
            .unwrap_or(FULL_PERCENT)
            .min(FULL_PERCENT)
    }

    /// Returns the requested work, of each account at most [`ACCOUNT_LIMIT`] times the mean of all accounts.
    fn capped_work(&self) -> WorkMicros {
        let all: WorkMicros = self.requested.values().sum();
        let mean = all / (self.requested.len() as u64).max(1);
        self.requested.values().map(|work| (*work).min(mean * ACCOUNT_LIMIT)).sum()
    }

    fn decay(&mut self) {
        self.requested.values_mut().for_each(|work| *work -= work.div_ceil(DECAY_DIVISOR));
        self.requested.retain(|_, work| *work > 0);
        self.granted -= self.granted.div_ceil(DECAY_DIVISOR);
    }

    fn is_empty(&self) -> bool {
        self.requested.is_empty() && self.granted == 0
    }
}

/// Requested and granted work of all urgencies of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UrgencyFlows {
    flows: BTreeMap<UrgencyKey, UrgencyFlow>,
    /// Time over which the sums were taken, in microseconds; it decays like them.
    time: u64,
    last_tick: Option<Uptime>,
    last_decay: Uptime,
}

impl UrgencyFlows {
    /// Records a permit request. A retry is ignored, since its first attempt was counted.
    pub fn record_request(&mut self, request: &PermitRequest) {
        if request.permit.attempt > 0 || request.objectives.is_retry {
            return;
        }
        let flow = self.flows.entry(urgency_key(request)).or_default();
        let requested = flow.requested.entry(request.account.clone()).or_default();
        *requested += work_of(request);
    }

    /// Records that a request was granted a permit.
    pub fn record_grant(&mut self, request: &PermitRequest) {
        let flow = self.flows.entry(urgency_key(request)).or_default();
        flow.granted += work_of(request);
    }

    /// Counts the time since the last call. Returns whether the sums have decayed.
    pub fn tick(&mut self, now: Uptime) -> bool {
        let last_tick = self.last_tick.replace(now).unwrap_or(now);
        self.time += micros(now.saturating_sub(last_tick));
        if now < self.last_decay + DECAY_INTERVAL {
            return false;
        }
        self.last_decay = now;
        self.time -= self.time / DECAY_DIVISOR;
        self.flows.values_mut().for_each(UrgencyFlow::decay);
        self.flows.retain(|_, flow| !flow.is_empty());
        true
    }

    /// Iterates over all tiers and urgencies with their work.
    pub fn all(&self) -> impl Iterator<Item = (UrgencyKey, &UrgencyFlow)> {
        self.flows.iter().map(|(key, flow)| (*key, flow))
    }

    /// Returns the work per second that each urgency of each tier requests. The work of an account that requests far
    /// more than the others is capped, since the account will not get all of it.
    pub fn requested_per_second(&self) -> BTreeMap<TierRank, BTreeMap<TierRank, WorkMicros>> {
        let mut requested: BTreeMap<TierRank, BTreeMap<TierRank, WorkMicros>> = BTreeMap::new();
        for ((tier, urgency), flow) in &self.flows {
            let flow =
                DecayingRatio { numerator: flow.capped_work(), denominator: self.time.max(1) };
            // The time is at least 1, so there always is a ratio.
            let work = flow.scale(MICROS_PER_SECOND).unwrap_or(0);
            requested.entry(*tier).or_default().insert(*urgency, work);
        }
        requested
    }
}

/// Returns the work of a request, at most its remaining time: a caller may state any length, but the request does not
/// occupy a slot for longer.
fn work_of(request: &PermitRequest) -> WorkMicros {
    request.prompt_work.saturating_add(request.output_work).min(micros(request.time_left))
}

fn urgency_key(request: &PermitRequest) -> UrgencyKey {
    (request.tier, request.objectives.urgency)
}
