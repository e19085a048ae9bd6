//! What is sent to a daemon that asks what it does not know of suspect requests?
//!
//! Inputs: the changes after the count that it knows. The rule: all requests that broke off at two lives or more, which are
//! near being held or refused, and those that the platform keeps; of the others the [`ORDINARY_LIMIT`] that changed first.
//! The next question gets the next ones.
//!
//! Load pattern: many targets end at once under hundreds of requests, each of which broke off there alone, and hundreds of
//! daemons ask for them within a second. Sent whole, they took the scheduler of the pool longer than its askers wait.
//!
//! Owns: nothing; a method of [`LethalRequests`]. Relies on: the counts of changes.

use curlewcleat_core::{RequestDigest, SuspectReport, Uptime};

use super::suspect::SuspectRequest;
use super::LethalRequests;

/// Requests with one break that are sent in one answer.
pub const ORDINARY_LIMIT: usize = 16;

/// What has changed, or a part of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectNews {
    /// Count of changes up to which this has all.
    pub at: u64,
    /// What is known of the requests.
    pub requests: Vec<SuspectReport>,
}

impl LethalRequests {
    /// What has changed after this count, 0 for all.
    pub fn since(&self, now: Uptime, known: u64) -> Vec<SuspectReport> {
        let changed = self.changed_after(known);
        changed.map(|(digest, suspect)| suspect.report(now, *digest)).collect()
    }

    /// What a daemon lacks that knows all up to this count.
    pub fn news(&self, now: Uptime, known: u64) -> SuspectNews {
        let changed = self.changed_after(known);
        let (urgent, mut ordinary): (Vec<_>, Vec<_>) =
            changed.partition(|(_, suspect)| is_urgent(suspect));
        ordinary.sort_by_key(|(_, suspect)| suspect.changed_at);
        let left_out = ordinary.get(ORDINARY_LIMIT).map(|(_, suspect)| suspect.changed_at);
        ordinary.truncate(ORDINARY_LIMIT);
        let report =
            |(digest, suspect): (&RequestDigest, &SuspectRequest)| suspect.report(now, *digest);
        let requests = urgent.into_iter().chain(ordinary).map(report).collect();
        SuspectNews { at: left_out.unwrap_or(self.at()), requests }
    }

    fn changed_after(&self, known: u64) -> impl Iterator<Item = (&RequestDigest, &SuspectRequest)> {
        self.suspects.iter().filter(move |(_, suspect)| suspect.changed_at + 1 > known)
    }
}

/// Whether another break may make it one that is held or refused.
fn is_urgent(suspect: &SuspectRequest) -> bool {
    suspect.stored || suspect.breaks() > 1
}
