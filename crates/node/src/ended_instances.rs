//! Remembers the target instances that are no longer listed.
//!
//! Owns: their latest starts, up to a limit that follows the number of targets. Relies on: `TargetView` for what is
//! listed.

use std::collections::{BTreeMap, VecDeque};

use curlewcleat_core::{TargetId, TargetStart};

/// Least number of targets that are remembered, some 200 kB. More are remembered if more were listed at the same time,
/// since all may vanish and return in an outage.
const MIN_LIMIT: usize = 2_048;

/// Latest starts of targets that are no longer listed, so that a late list entry of an earlier instance does not
/// restore that instance.
#[derive(Clone, Debug, Default)]
pub struct EndedInstances {
    latest: BTreeMap<TargetId, TargetStart>,
    /// The same targets in the order in which they first vanished.
    order: VecDeque<TargetId>,
    /// Largest number of targets that were listed at the same time, so far as it is known.
    most_listed: usize,
}

impl EndedInstances {
    /// Returns the latest start that is remembered of a target.
    pub fn latest(&self, id: &str) -> Option<TargetStart> {
        self.latest.get(id).copied()
    }

    /// Records that a target is no longer listed, and the number of those that still are.
    pub fn record(&mut self, id: &TargetId, start: Option<TargetStart>, listed: usize) {
        self.most_listed = self.most_listed.max(listed + 1);
        let Some(start) = start else { return };
        if let Some(latest) = self.latest.get_mut(id) {
            *latest = start.max(*latest);
            return;
        }
        self.latest.insert(id.clone(), start);
        self.order.push_back(id.clone());
        if self.order.len() > self.most_listed.max(MIN_LIMIT) {
            if let Some(oldest) = self.order.pop_front() {
                self.latest.remove(&oldest);
            }
        }
    }
}
