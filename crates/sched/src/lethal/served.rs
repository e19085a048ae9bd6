//! Remembers which requests this daemon served whole recently, and with which shared features answers began here.
//!
//! Load pattern: a request is interrupted at one daemon and its caller repeats it at another, which serves it before it
//! receives the report of the interruption. A feature that most requests share is recorded with each of them.
//!
//! Owns: the latest requests that this daemon served whole, and the latest features that it saw answered. Relies on: reports of an interruption arriving within
//! [`PROPAGATION_LIMIT`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use curlewcleat_core::{RequestFeature, Uptime};

/// Time within which the report of an interruption reaches every daemon: several times the interval between two pulls.
pub(super) const PROPAGATION_LIMIT: Duration = Duration::from_secs(10);
/// Maximum number of records, about 120 bytes each: several seconds of a daemon at a hundred requests per second, each
/// with a feature of its own.
const SERVED_LIMIT: usize = 2_048;
/// Interval within which a shared feature is recorded once.
const SHARED_INTERVAL: Duration = Duration::from_millis(250);

/// The latest requests that were served whole, and the latest shared features with which answers began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct RecentlyServed {
    served_at: BTreeMap<RequestFeature, Uptime>,
    order: VecDeque<(Uptime, RequestFeature)>,
}

impl RecentlyServed {
    /// Records that a request was served whole, or that the answer to a request with a shared feature began.
    pub fn record(&mut self, now: Uptime, feature: RequestFeature) {
        let is_recent = |recorded: &Uptime| now < *recorded + SHARED_INTERVAL;
        if feature.kind.is_shared() && self.served_at.get(&feature).is_some_and(is_recent) {
            return;
        }
        self.served_at.insert(feature, now);
        self.order.push_back((now, feature));
        while self.order.len() > SERVED_LIMIT
            || self.order.front().is_some_and(|(at, _)| now > *at + PROPAGATION_LIMIT)
        {
            let Some((at, feature)) = self.order.pop_front() else { return };
            // It may have been served again since.
            if self.served_at.get(&feature) == Some(&at) {
                self.served_at.remove(&feature);
            }
        }
    }

    /// Returns when a request was served last, or when an answer to a request with a shared feature last began.
    pub fn latest(&self, feature: &RequestFeature) -> Option<Uptime> {
        self.served_at.get(feature).copied()
    }
}
