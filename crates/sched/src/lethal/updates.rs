//! Selects the suspect requests that are sent to a daemon that pulls changes.
//!
//! Inputs: the changes that the daemon does not know. The rule: it gets all changed requests that were
//! interrupted at two or more instances, since these are near being held or refused, and all that the platform has
//! stored; of the others it gets the [`ORDINARY_LIMIT`] that changed first. The next pull gets the next ones.
//!
//! Load pattern: many targets terminate at once while running hundreds of requests, each of which was interrupted only
//! there, and hundreds of daemons pull the changes within a second. An answer with all of them took the scheduler of
//! the pool longer than the pulling daemons wait.
//!
//! Owns: nothing; methods of [`LethalRequests`]. Relies on: the number that each change has.

use curlewcleat_core::{RequestDigest, SuspectReport, Uptime};

use super::suspect::SuspectRequest;
use super::LethalRequests;

/// Maximum number of requests with a single interruption in one answer.
pub const ORDINARY_LIMIT: usize = 16;

/// The changes from a number on, or the first of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectUpdates {
    /// Number of the first change that these updates may lack.
    pub next_change: u64,
    /// Reports about the changed requests.
    pub requests: Vec<SuspectReport>,
}

impl LethalRequests {
    /// Returns the reports about the requests of the changes from number `known` on, 0 for all.
    pub fn changes_since(&self, now: Uptime, known: u64) -> Vec<SuspectReport> {
        let changed = self.changed_after(known);
        changed.map(|(digest, suspect)| suspect.report(now, *digest)).collect()
    }

    /// Returns the updates for a daemon that knows the changes before number `known`.
    pub fn updates(&self, now: Uptime, known: u64) -> SuspectUpdates {
        let changed = self.changed_after(known);
        let (urgent, mut ordinary): (Vec<_>, Vec<_>) =
            changed.partition(|(_, suspect)| is_urgent(suspect));
        ordinary.sort_by_key(|(_, suspect)| suspect.changed_at);
        let first_omitted = ordinary.get(ORDINARY_LIMIT).map(|(_, suspect)| suspect.changed_at);
        ordinary.truncate(ORDINARY_LIMIT);
        let report =
            |(digest, suspect): (&RequestDigest, &SuspectRequest)| suspect.report(now, *digest);
        let requests = urgent.into_iter().chain(ordinary).map(report).collect();
        SuspectUpdates { next_change: first_omitted.unwrap_or(self.next_change()), requests }
    }

    fn changed_after(&self, known: u64) -> impl Iterator<Item = (&RequestDigest, &SuspectRequest)> {
        self.suspects.iter().filter(move |(_, suspect)| suspect.changed_at + 1 > known)
    }
}

/// Returns whether another interruption may cause the request to be held or refused, or the platform has stored it.
fn is_urgent(suspect: &SuspectRequest) -> bool {
    suspect.stored || suspect.interruption_count() > 1
}
