//! How much work does each urgency of a tier ask for, and how much of it is granted?
//!
//! Inputs: work in microseconds of first attempts, when it is asked for and when it is granted, and the time that passes.
//! The rule: both are sums that decay over a few seconds.
//!
//! Owns: the sums of one pool. Relies on: `PoolScheduler` for asks, grants and the clock.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{AccountId, PermitRequest, TierRank, Uptime, WorkMicros};

use super::rank::QueueShare;
use crate::decaying_ratio::DecayingRatio;
use crate::pool::micros;

/// Time after which the sums decay, by one part in [`DECAY_PARTS`].
const PART: Duration = Duration::from_millis(250);
/// The sums lose one part in this many each time.
const DECAY_PARTS: u64 = 8;
/// An account counts with at most this many times the mean of all.
const ACCOUNT_LIMIT: u64 = 2;
/// Everything, in percent.
const ALL_PERCENT: u64 = 100;
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Work of one urgency.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UrgencyFlow {
    /// Work of the requests that asked for a permit, by account.
    asked: BTreeMap<AccountId, WorkMicros>,
    /// Work of those of them that got it.
    granted: WorkMicros,
}

impl UrgencyFlow {
    /// Part of its work that was granted, in percent.
    pub fn granted_percent(&self) -> u64 {
        let asked: WorkMicros = self.asked.values().sum();
        (self.granted * ALL_PERCENT).checked_div(asked).unwrap_or(ALL_PERCENT).min(ALL_PERCENT)
    }

    /// Work asked for, of each account up to [`ACCOUNT_LIMIT`] times their mean.
    fn fairly_asked(&self) -> WorkMicros {
        let all: WorkMicros = self.asked.values().sum();
        let mean = all / (self.asked.len() as u64).max(1);
        self.asked.values().map(|work| (*work).min(mean * ACCOUNT_LIMIT)).sum()
    }

    fn decay(&mut self) {
        self.asked.values_mut().for_each(|work| *work -= work.div_ceil(DECAY_PARTS));
        self.asked.retain(|_, work| *work > 0);
        self.granted -= self.granted.div_ceil(DECAY_PARTS);
    }

    fn is_empty(&self) -> bool {
        self.asked.is_empty() && self.granted == 0
    }
}

/// Work of all urgencies of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UrgencyFlows {
    flows: BTreeMap<QueueShare, UrgencyFlow>,
    /// Time over which the sums run, in microseconds; it decays like them.
    time: u64,
    last: Option<Uptime>,
    faded: Uptime,
}

impl UrgencyFlows {
    /// A request asks for a permit. A retry was counted when it asked first.
    pub fn asked(&mut self, request: &PermitRequest) {
        if request.permit.attempt > 0 || request.objectives.is_retry {
            return;
        }
        let flow = self.flows.entry(share_of(request)).or_default();
        let asked = flow.asked.entry(request.account.clone()).or_default();
        *asked += work_of(request);
    }

    /// A request got a permit.
    pub fn granted(&mut self, request: &PermitRequest) {
        let flow = self.flows.entry(share_of(request)).or_default();
        flow.granted += work_of(request);
    }

    /// Lets time pass. Whether the sums have decayed.
    pub fn tick(&mut self, now: Uptime) -> bool {
        let last = self.last.replace(now).unwrap_or(now);
        self.time += micros(now.saturating_sub(last));
        if now < self.faded + PART {
            return false;
        }
        self.faded = now;
        self.time -= self.time / DECAY_PARTS;
        self.flows.values_mut().for_each(UrgencyFlow::decay);
        self.flows.retain(|_, flow| !flow.is_empty());
        true
    }

    /// All urgencies with their work, by tier.
    pub fn all(&self) -> impl Iterator<Item = (QueueShare, &UrgencyFlow)> {
        self.flows.iter().map(|(share, flow)| (*share, flow))
    }

    /// Work that each urgency of each tier asks for in a second. An account that asks for far more than the others does not
    /// count with all of it, since it will not get that either.
    pub fn asked_per_second(&self) -> BTreeMap<TierRank, BTreeMap<TierRank, WorkMicros>> {
        let mut asked: BTreeMap<TierRank, BTreeMap<TierRank, WorkMicros>> = BTreeMap::new();
        for ((tier, urgency), flow) in &self.flows {
            let flow = DecayingRatio { above: flow.fairly_asked(), below: self.time.max(1) };
            // The time is at least 1, so that there always is a ratio.
            let work = flow.of(MICROS_PER_SECOND).unwrap_or(0);
            asked.entry(*tier).or_default().insert(*urgency, work);
        }
        asked
    }
}

/// Work of a request, of which its caller may state any length: it keeps a place no longer than its time.
fn work_of(request: &PermitRequest) -> WorkMicros {
    request.prompt_work.saturating_add(request.output_work).min(micros(request.time_left))
}

fn share_of(request: &PermitRequest) -> QueueShare {
    (request.tier, request.objectives.urgency)
}
