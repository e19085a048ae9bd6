//! Do targets end all the time, whatever runs there?
//!
//! Inputs: the lives that ended under requests in the last [`WINDOW`], but for those that a refused request explains; the
//! number of targets. The rule: ends are common where there were more of them than targets. Load pattern: targets that go
//! down and up by turns under callers that repeat at once.
//!
//! Owns: the latest ends. Relies on: `LethalRequests` for which of them are explained.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{TargetLife, Uptime};

/// Time for which an end counts: some times as long as a target needs to end and begin again.
const WINDOW: Duration = Duration::from_secs(60);

/// The latest ends of targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct RecentEnds {
    seen: BTreeMap<TargetLife, Uptime>,
    common: bool,
}

impl RecentEnds {
    /// Takes the lives that are known to have ended. Returns whether ends have become common, or rare.
    pub fn review<'l>(
        &mut self,
        now: Uptime,
        targets: usize,
        ended: impl Iterator<Item = &'l TargetLife>,
        explained: &BTreeSet<&TargetLife>,
    ) -> bool {
        for life in ended {
            if !self.seen.contains_key(life) {
                self.seen.insert(life.clone(), now);
            }
        }
        self.seen.retain(|_, at| now < *at + WINDOW);
        let unexplained = self.seen.keys().filter(|life| !explained.contains(life)).count();
        let common = unexplained > targets;
        std::mem::replace(&mut self.common, common) != common
    }

    /// Whether ends are common.
    pub fn are_common(&self) -> bool {
        self.common
    }
}
