//! Remembers the target instances that are no longer listed.
//!
//! Owns: their latest starts, up to a limit. Relies on: `TargetView` for what is listed.

use std::collections::{BTreeMap, VecDeque};

use curlewcleat_core::{TargetId, TargetStart};

/// Number of targets that are remembered: more than a fleet has, since all may vanish and return in an outage; some
/// 200 kB.
const ENDED_LIMIT: usize = 2_048;

/// Latest starts of targets that are no longer listed, so that a late list entry of an earlier instance does not
/// restore that instance.
#[derive(Clone, Debug, Default)]
pub struct EndedInstances {
    latest: BTreeMap<TargetId, TargetStart>,
    /// The same targets in the order in which they first vanished.
    order: VecDeque<TargetId>,
}

impl EndedInstances {
    /// Returns the latest start that is remembered of a target.
    pub fn latest(&self, id: &str) -> Option<TargetStart> {
        self.latest.get(id).copied()
    }

    /// Records that a target is no longer listed.
    pub fn record(&mut self, id: &TargetId, start: Option<TargetStart>) {
        let Some(start) = start else { return };
        if let Some(latest) = self.latest.get_mut(id) {
            *latest = start.max(*latest);
            return;
        }
        self.latest.insert(id.clone(), start);
        self.order.push_back(id.clone());
        if self.order.len() > ENDED_LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.latest.remove(&oldest);
            }
        }
    }
}
