//! Decides whether one more request may go to a version that is on trial.
//!
//! Inputs: the pool's requests since the order, those that went to the version, the share of them that it may have, and
//! the share of the daemons that this scheduler reaches.
//!
//! The rule: a request may go to the version while the requests there are fewer than the permitted share of all
//! requests plus the slack. The slack is only for the daemon that schedules when the order is given: a later scheduler
//! does not know how much of it others have used. If several daemons schedule at once, each grants in proportion to the
//! daemons it reaches, and one that is not the first in the order of schedulers grants nothing, so that all together
//! stay within the share. The urgencies are tried evenly: an urgency that has had more requests at the version than
//! another leaves [`RESERVE`] for the other.
//!
//! Owns: the counts of one scheduler for one order. Relies on: the caller for its share of the daemons.

use std::collections::BTreeMap;

use curlewcleat_core::TierRank;

use crate::admission::shared_rate::{RateRole, RateShare};

/// Number of requests that an urgency with more requests at the version leaves for the other urgencies.
const RESERVE: u64 = 3;

/// The share of a pool's requests that a version on trial may get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutLimits {
    /// Thousandths of all requests.
    pub permille: u64,
    /// Number of requests beyond that share.
    pub slack: u64,
}

/// Counts of the requests that a scheduler granted during a trial.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TrialShare {
    limits: RolloutLimits,
    /// Requests that were granted any target, and those that were granted a target of the version.
    granted: u64,
    granted_on_trial: u64,
    /// Requests that were granted a target of the version, for each urgency that was granted any target.
    by_urgency: BTreeMap<TierRank, u64>,
}

impl TrialShare {
    /// Returns the state of a scheduler that has granted nothing yet; `is_first` is whether it has scheduled since
    /// the order.
    pub fn new(limits: RolloutLimits, is_first: bool) -> TrialShare {
        let slack = if is_first { limits.slack } else { 0 };
        let limits = RolloutLimits { slack, ..limits };
        TrialShare { limits, granted: 0, granted_on_trial: 0, by_urgency: BTreeMap::new() }
    }

    /// Returns the number of requests that were granted any target.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Returns the number of requests that were granted a target of the version.
    pub fn granted_on_trial(&self) -> u64 {
        self.granted_on_trial
    }

    /// Returns whether a request of an urgency may go to the version, at a scheduler that reaches this share of the
    /// daemons.
    pub fn admits(&self, urgency: TierRank, share: RateShare) -> bool {
        if share.role != RateRole::Leader {
            return false;
        }
        let granted = self.granted_to_urgency(urgency);
        let has_had_more = self.by_urgency.values().any(|others| *others < granted);
        let reserve = if has_had_more { RESERVE } else { 0 };
        self.granted_on_trial + reserve < self.allowance(share)
    }

    /// Returns the number of requests of an urgency that have gone to the version.
    pub fn granted_to_urgency(&self, urgency: TierRank) -> u64 {
        // An urgency that never had a request there is not recorded.
        self.by_urgency.get(&urgency).copied().unwrap_or(0)
    }

    /// Returns the number of requests that may have gone to the version by now.
    fn allowance(&self, share: RateShare) -> u64 {
        let total = self.granted * self.limits.permille / 1_000 + self.limits.slack;
        total * share.reached.min(share.all) as u64 / (share.all.max(1) as u64)
    }

    /// Records that a request was granted a target, of the version or another.
    pub fn record(&mut self, urgency: TierRank, of_version: bool) {
        self.granted += 1;
        let granted = self.by_urgency.entry(urgency).or_default();
        if of_version {
            self.granted_on_trial += 1;
            *granted += 1;
        }
    }
}
