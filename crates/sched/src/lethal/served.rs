//! Remembers which requests this daemon served whole recently.
//!
//! Load pattern: a request is interrupted at one daemon and its caller repeats it at another, which serves it before it
//! receives the report of the interruption.
//!
//! Owns: the latest requests that this daemon served whole. Relies on: reports of an interruption arriving within
//! [`PROPAGATION_LIMIT`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use curlewcleat_core::{RequestDigest, Uptime};

/// Time within which the report of an interruption reaches every daemon: several times the interval between two pulls.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(10);
/// Maximum number of requests, about 100 bytes each: several seconds of a daemon at a hundred requests per second.
const SERVED_LIMIT: usize = 1_024;

/// The latest requests that were served whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct RecentlyServed {
    served_at: BTreeMap<RequestDigest, Uptime>,
    order: VecDeque<(Uptime, RequestDigest)>,
}

impl RecentlyServed {
    /// Records that a request was served whole.
    pub fn record(&mut self, now: Uptime, digest: RequestDigest) {
        self.served_at.insert(digest, now);
        self.order.push_back((now, digest));
        while self.order.len() > SERVED_LIMIT
            || self.order.front().is_some_and(|(at, _)| now > *at + PROPAGATION_LIMIT)
        {
            let Some((at, digest)) = self.order.pop_front() else { return };
            // It may have been served again since.
            if self.served_at.get(&digest) == Some(&at) {
                self.served_at.remove(&digest);
            }
        }
    }

    /// Returns when a request was served last.
    pub fn latest(&self, digest: &RequestDigest) -> Option<Uptime> {
        self.served_at.get(digest).copied()
    }
}
