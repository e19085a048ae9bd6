//! Detects whether targets often terminate independently of the requests they run.
//!
//! Inputs: the instances that terminated while running requests in the last [`WINDOW`], except those that a refused
//! request explains; the number of targets. The rule: terminations are common where there were more of them than
//! targets.
//!
//! Load pattern: targets that repeatedly stop and restart while callers retry at once.
//!
//! Owns: the recent terminations. Relies on: `LethalRequests` for which of them are explained.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{TargetInstance, Uptime};

/// Time for which a termination counts: several times as long as a target needs to terminate and start again.
const WINDOW: Duration = Duration::from_secs(60);

/// The recent terminations of target instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct RecentTerminations {
    terminated_at: BTreeMap<TargetInstance, Uptime>,
    common: bool,
}

impl RecentTerminations {
    /// Records terminated instances. Returns whether terminations have become common, or stopped being so.
    pub fn review<'l>(
        &mut self,
        now: Uptime,
        targets: usize,
        terminated: impl Iterator<Item = &'l TargetInstance>,
        explained: &BTreeSet<&TargetInstance>,
    ) -> bool {
        for instance in terminated {
            if !self.terminated_at.contains_key(instance) {
                self.terminated_at.insert(instance.clone(), now);
            }
        }
        self.terminated_at.retain(|_, at| now < *at + WINDOW);
        let unexplained =
            self.terminated_at.keys().filter(|instance| !explained.contains(instance)).count();
        let common = unexplained > targets;
        std::mem::replace(&mut self.common, common) != common
    }

    /// Returns whether terminations are common.
    pub fn are_common(&self) -> bool {
        self.common
    }
}
