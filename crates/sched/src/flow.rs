//! How much work flows through a pool: what it takes in while asks wait, and what arrives in each tier.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{TierRank, Uptime, WorkMicros};

/// Time over which flows are averaged: each part fades by a quarter.
const PART: Duration = Duration::from_millis(500);
/// What remains of the sums after each part, in quarters.
const KEPT_QUARTERS: u64 = 3;
/// Least time of a busy pool from which its capacity can be told.
const LEAST_BUSY: Duration = Duration::from_millis(300);
/// Least part of the capacity that a tier is believed to get, one in so many.
const LEAST_PART: u64 = 8;

/// Work over time, fading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct FadingFlow {
    work: WorkMicros,
    micros: u64,
}

impl FadingFlow {
    fn fade(&mut self) {
        self.work = self.work / 4 * KEPT_QUARTERS;
        self.micros = self.micros / 4 * KEPT_QUARTERS;
    }

    /// Work in a second.
    fn per_second(&self) -> u64 {
        let work = u128::from(self.work) * 1_000_000;
        u64::try_from(work / u128::from(self.micros.max(1))).unwrap_or(u64::MAX)
    }
}

/// Flows of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PoolFlow {
    /// Work granted while asks waited.
    granted: FadingFlow,
    /// Work that arrived in each tier, over all time.
    arrived: BTreeMap<TierRank, FadingFlow>,
    last: Uptime,
    faded: Uptime,
}

impl PoolFlow {
    /// An ask with this work was taken in.
    pub fn arrived(&mut self, tier: TierRank, work: WorkMicros) {
        self.arrived.entry(tier).or_default().work += work;
    }

    /// An ask with this work got its permit; `busy` says whether others wait.
    pub fn granted(&mut self, work: WorkMicros, busy: bool) {
        if busy {
            self.granted.work += work;
        }
    }

    /// Lets time pass; `busy` says whether asks wait.
    pub fn tick(&mut self, now: Uptime, busy: bool) {
        let passed = now.saturating_sub(self.last).as_micros() as u64;
        self.last = now;
        if busy {
            self.granted.micros += passed;
        }
        self.arrived.values_mut().for_each(|flow| flow.micros += passed);
        if now >= self.faded + PART {
            self.faded = now;
            if busy {
                self.granted.fade();
            }
            self.arrived.values_mut().for_each(FadingFlow::fade);
        }
    }

    /// Work that the pool takes in each second of what waits in a tier, once the tiers above have had
    /// theirs. `None` where it cannot be told.
    pub fn capacity_for(&self, tier: TierRank) -> Option<u64> {
        let busy = u128::from(self.granted.micros);
        // A scheduler that has just taken over may have granted nothing, since others hold the permits.
        if busy < LEAST_BUSY.as_micros() || self.granted.work == 0 {
            return None;
        }
        let capacity = self.granted.per_second();
        let above: u64 = self.arrived.range(..tier).map(|(_, flow)| flow.per_second()).sum();
        Some(capacity.saturating_sub(above).max(capacity / LEAST_PART).max(1))
    }
}
