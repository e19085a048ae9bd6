//! Which requests were served whole a moment ago?
//!
//! Load pattern: a request breaks off at one daemon and its caller repeats it at another one, which serves it before it
//! has heard of the break.
//!
//! Owns: the latest requests that this daemon served whole. Relies on: news of a break within [`NEWS_LIMIT`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use curlewcleat_core::{RequestDigest, Uptime};

/// Time in which news of a break reach every daemon: a multiple of the time between two questions for them.
const NEWS_LIMIT: Duration = Duration::from_secs(10);
/// Requests that are kept at most, about 100 bytes each: several seconds of a daemon at a hundred a second.
const SERVED_LIMIT: usize = 1_024;

/// The latest requests that were served whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct RecentlyServed {
    at: BTreeMap<RequestDigest, Uptime>,
    order: VecDeque<(Uptime, RequestDigest)>,
}

impl RecentlyServed {
    /// A request was served whole.
    pub fn note(&mut self, now: Uptime, digest: RequestDigest) {
        self.at.insert(digest, now);
        self.order.push_back((now, digest));
        while self.order.len() > SERVED_LIMIT
            || self.order.front().is_some_and(|(at, _)| now > *at + NEWS_LIMIT)
        {
            let Some((at, digest)) = self.order.pop_front() else { return };
            // It may have been served again since.
            if self.at.get(&digest) == Some(&at) {
                self.at.remove(&digest);
            }
        }
    }

    /// When a request was served last.
    pub fn latest(&self, digest: &RequestDigest) -> Option<Uptime> {
        self.at.get(digest).copied()
    }
}
