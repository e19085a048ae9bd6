//! Tracks which targets are warming up, and what they accept until then.
//!
//! Inputs: the limits of the pools and the remaining times in the list entries that this daemon reads. Both are known
//! to the daemons that read the platform, which are the first to schedule.
//!
//! Owns: the end of each warm-up. Relies on: list entries that are read while they are young.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{PoolId, RequestRate, TargetId, Uptime, WarmUpLimit};

/// The warm-up of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TargetWarmUp {
    pool: PoolId,
    until: Uptime,
}

/// A change to the rate that a target accepts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmUpChange {
    /// The pool.
    pub pool: PoolId,
    /// The target.
    pub target: TargetId,
    /// The rate until it is warm, `None` once it is.
    pub rate: Option<RequestRate>,
}

/// The targets that are warming up.
#[derive(Clone, Debug, Default)]
pub struct WarmUps {
    limits: BTreeMap<PoolId, WarmUpLimit>,
    targets: BTreeMap<TargetId, TargetWarmUp>,
    /// The same targets by the end of their warm-up.
    ends: BTreeSet<(Uptime, TargetId)>,
    /// Targets whose warm-up has begun or ended since the last call of [`WarmUps::take_changes`].
    changed: BTreeMap<TargetId, PoolId>,
}

impl WarmUps {
    /// Sets the limits of the pools. Pools without a limit accept any rate while their targets warm up.
    pub fn set_limits(&mut self, limits: BTreeMap<PoolId, WarmUpLimit>) {
        if limits != self.limits {
            self.limits = limits;
            self.mark_all_changed();
        }
    }

    /// Records the remaining time that a target's list entry states.
    pub fn record(&mut self, now: Uptime, target: TargetId, pool: PoolId, remaining: Duration) {
        self.end(&target);
        if !remaining.is_zero() {
            self.begin(target, pool, now + remaining);
        }
    }

    /// Begins a whole warm-up of a target, unless its list entry has stated a longer one.
    pub fn begin_whole(&mut self, now: Uptime, target: TargetId, pool: PoolId) {
        let Some(limit) = self.limits.get(&pool) else { return };
        let until = now + limit.time;
        if self.targets.get(&target).is_none_or(|known| known.until < until) {
            self.end(&target);
            self.begin(target, pool, until);
        }
    }

    /// Ends the warm-ups whose time has passed.
    pub fn expire(&mut self, now: Uptime) {
        while let Some((_, target)) = self.ends.first().filter(|(until, _)| now >= *until).cloned()
        {
            self.end(&target);
        }
    }

    /// Makes [`WarmUps::take_changes`] return all targets again, after their schedulers were configured anew.
    pub fn mark_all_changed(&mut self) {
        let all = self.targets.iter().map(|(target, state)| (target.clone(), state.pool.clone()));
        self.changed.extend(all);
    }

    /// Returns what has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<WarmUpChange> {
        let changed = std::mem::take(&mut self.changed);
        let change = |(target, pool): (TargetId, PoolId)| {
            let limit = self.limits.get(&pool).filter(|_| self.targets.contains_key(&target));
            WarmUpChange { pool, target, rate: limit.map(|limit| limit.rate) }
        };
        changed.into_iter().map(change).collect()
    }

    fn begin(&mut self, target: TargetId, pool: PoolId, until: Uptime) {
        self.changed.insert(target.clone(), pool.clone());
        self.ends.insert((until, target.clone()));
        self.targets.insert(target, TargetWarmUp { pool, until });
    }

    fn end(&mut self, target: &TargetId) {
        if let Some(warm_up) = self.targets.remove(target) {
            self.ends.remove(&(warm_up.until, target.clone()));
            self.changed.insert(target.clone(), warm_up.pool);
        }
    }
}
