//! Learns the capacity of a pool from the work that it granted while requests waited.
//!
//! Inputs: work in microseconds granted and arrived, by tier, and the time for which requests waited.
//! The rule: the capacity of a tier is the work that the pool grants per second less the work that arrives in the
//! higher tiers, but at least the pool's capacity divided by [`MIN_CAPACITY_DIVISOR`].
//!
//! Owns: the decaying sums of one pool. Relies on: `PoolScheduler` for arrivals, grants and the clock.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{TierRank, Uptime, WorkMicros};

use crate::decaying_ratio::DecayingRatio;

/// Interval at which the sums decay by the fraction 1 / [`DECAY_DIVISOR`].
const DECAY_INTERVAL: Duration = Duration::from_millis(500);
/// Divisor of the fraction that the sums lose at each decay.
const DECAY_DIVISOR: u64 = 4;
/// Minimum time with waiting requests from which the capacity is estimated.
const MIN_BUSY_TIME: Duration = Duration::from_millis(300);
/// A tier is assumed to get at least the capacity divided by this.
const MIN_CAPACITY_DIVISOR: u64 = 8;
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Returns the work per second, from a ratio of microseconds of work to microseconds of time.
fn per_second(work: &DecayingRatio) -> u64 {
    let work = DecayingRatio { denominator: work.denominator.max(1), ..*work };
    // `denominator` is at least 1, so there always is a ratio.
    work.scale(MICROS_PER_SECOND).unwrap_or(0)
}

/// Work granted and arrived in one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PoolThroughput {
    /// Work granted while requests waited.
    granted: DecayingRatio,
    /// Work that arrived in each tier, whether requests waited or not.
    arrived: BTreeMap<TierRank, DecayingRatio>,
    last_tick: Uptime,
    last_decay: Uptime,
}

impl PoolThroughput {
    /// Records the work of a request that was admitted.
    pub fn record_arrival(&mut self, tier: TierRank, work: WorkMicros) {
        self.arrived.entry(tier).or_default().numerator += work;
    }

    /// Records the work of a request that was granted a permit; `busy` is set if other requests wait.
    pub fn record_grant(&mut self, work: WorkMicros, busy: bool) {
        if busy {
            self.granted.numerator += work;
        }
    }

    /// Counts the time since the last call and decays the sums if due; `busy` is set if requests wait.
    pub fn tick(&mut self, now: Uptime, busy: bool) {
        let passed = now.saturating_sub(self.last_tick).as_micros() as u64;
        self.last_tick = now;
        if busy {
            self.granted.denominator += passed;
        }
        self.arrived.values_mut().for_each(|work| work.denominator += passed);
        if now >= self.last_decay + DECAY_INTERVAL {
            self.last_decay = now;
            if busy {
                self.granted.decay(DECAY_DIVISOR);
            }
            self.arrived.values_mut().for_each(|work| work.decay(DECAY_DIVISOR));
        }
    }

    /// Returns the work per second that the pool can grant to a tier beside the work of the higher tiers, or `None`
    /// if it cannot be estimated yet.
    pub fn capacity_for(&self, tier: TierRank) -> Option<u64> {
        let busy = u128::from(self.granted.denominator);
        // A scheduler that has just taken over may have granted nothing, since the slots are in use by permits that
        // its predecessor granted.
        if busy < MIN_BUSY_TIME.as_micros() || self.granted.numerator == 0 {
            return None;
        }
        let capacity = per_second(&self.granted);
        let higher: u64 = self.arrived.range(..tier).map(|(_, work)| per_second(work)).sum();
        Some(capacity.saturating_sub(higher).max(capacity / MIN_CAPACITY_DIVISOR).max(1))
    }
}
