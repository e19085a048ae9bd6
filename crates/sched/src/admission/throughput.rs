//! How much work can a pool take in? Learned from what it has granted while requests waited.
//!
//! Inputs: work in microseconds granted and arrived, by tier, and the time for which requests waited.
//! The rule: the capacity left to a tier is what the pool grants in a second less what arrives in the
//! tiers above, but at least one part in [`LEAST_PART`] of it.
//!
//! Owns: the decaying sums of one pool. Relies on: `PoolScheduler` for grants and the clock.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{TierRank, Uptime, WorkMicros};

use crate::decaying_ratio::DecayingRatio;

/// Time after which the sums decay, by one part in [`DECAY_PARTS`].
const PART: Duration = Duration::from_millis(500);
/// The sums lose one part in this many each time.
const DECAY_PARTS: u64 = 4;
/// Least time of a busy pool from which its capacity can be estimated.
const LEAST_BUSY: Duration = Duration::from_millis(300);
/// A tier is believed to get at least one part in this many of the capacity.
const LEAST_PART: u64 = 8;
/// Microseconds in a second, by definition; a figure from no setting.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Work in a second: above the line in microseconds of work, below it in microseconds of time.
fn per_second(flow: &DecayingRatio) -> u64 {
    let flow = DecayingRatio { below: flow.below.max(1), ..*flow };
    // `below` is at least 1, so that there always is a ratio.
    flow.of(MICROS_PER_SECOND).unwrap_or(0)
}

/// Flows of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PoolThroughput {
    /// Work granted while requests waited.
    granted: DecayingRatio,
    /// Work that arrived in each tier, over all time.
    arrived: BTreeMap<TierRank, DecayingRatio>,
    last: Uptime,
    faded: Uptime,
}

impl PoolThroughput {
    /// A request with this work was taken in.
    pub fn arrived(&mut self, tier: TierRank, work: WorkMicros) {
        self.arrived.entry(tier).or_default().above += work;
    }

    /// A request with this work got its permit; `busy` says whether others wait.
    pub fn granted(&mut self, work: WorkMicros, busy: bool) {
        if busy {
            self.granted.above += work;
        }
    }

    /// Lets time pass; `busy` says whether requests wait.
    pub fn tick(&mut self, now: Uptime, busy: bool) {
        let passed = now.saturating_sub(self.last).as_micros() as u64;
        self.last = now;
        if busy {
            self.granted.below += passed;
        }
        self.arrived.values_mut().for_each(|flow| flow.below += passed);
        if now >= self.faded + PART {
            self.faded = now;
            if busy {
                self.granted.decay(DECAY_PARTS);
            }
            self.arrived.values_mut().for_each(|flow| flow.decay(DECAY_PARTS));
        }
    }

    /// Work that the pool takes in each second of what waits in a tier, once the tiers above have had
    /// theirs. `None` where it cannot be estimated.
    pub fn capacity_for(&self, tier: TierRank) -> Option<u64> {
        let busy = u128::from(self.granted.below);
        // A scheduler that has just taken over may have granted nothing, since others hold the permits.
        if busy < LEAST_BUSY.as_micros() || self.granted.above == 0 {
            return None;
        }
        let capacity = per_second(&self.granted);
        let above: u64 = self.arrived.range(..tier).map(|(_, flow)| per_second(flow)).sum();
        Some(capacity.saturating_sub(above).max(capacity / LEAST_PART).max(1))
    }
}
