//! Selects the suspect features that are sent to a daemon that pulls changes.
//!
//! Inputs: the changes that the daemon does not know. The rule: it gets all changed features that were ever
//! interrupted at two or more instances, since these are near being held or refused or were so, and all that the platform
//! has stored; of the others it gets the [`ORDINARY_LIMIT`] that changed first. The next pull gets the next ones.
//!
//! Load pattern: many targets terminate at once while running hundreds of requests, each of which was interrupted only
//! there, and hundreds of daemons pull the changes within a second. An answer with all of them took the scheduler of
//! the pool longer than the pulling daemons wait.
//!
//! Owns: nothing; methods of [`LethalRequests`]. Relies on: the number that each change has.

use curlewcleat_core::{FeatureKind, FeatureReport, RequestFeature, Uptime};

use super::suspect::SuspectFeature;
use super::LethalRequests;

/// Maximum number of features with a single interruption in one answer.
pub const ORDINARY_LIMIT: usize = 16;

/// The changes from a number on, or the first of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectUpdates {
    /// Number of the first change that these updates may lack.
    pub next_change: u64,
    /// Reports about the changed features.
    pub reports: Vec<FeatureReport>,
}

/// The features about which a daemon can be sent reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Whole requests, for a daemon of an earlier version.
    Requests,
    /// Features of all kinds.
    Features,
}

impl UpdateScope {
    fn contains(self, kind: FeatureKind) -> bool {
        self == UpdateScope::Features || kind == FeatureKind::Request
    }
}

impl LethalRequests {
    /// Returns the reports about the features of the changes from number `known` on, 0 for all.
    pub fn changes_since(&self, now: Uptime, known: u64) -> Vec<FeatureReport> {
        let changed = self.changed_after(known);
        changed.map(|(feature, suspect)| suspect.report(now, *feature)).collect()
    }

    /// Returns the updates for a daemon that knows the changes before number `known`.
    pub fn updates(&self, now: Uptime, known: u64, scope: UpdateScope) -> SuspectUpdates {
        let changed = self.changed_after(known);
        let changed = changed.filter(|(feature, _)| scope.contains(feature.kind));
        let (urgent, mut ordinary): (Vec<_>, Vec<_>) =
            changed.partition(|(_, suspect)| suspect.stored || suspect.is_urgent);
        ordinary.sort_by_key(|(_, suspect)| suspect.changed_at);
        let first_omitted = ordinary.get(ORDINARY_LIMIT).map(|(_, suspect)| suspect.changed_at);
        ordinary.truncate(ORDINARY_LIMIT);
        let report =
            |(feature, suspect): (&RequestFeature, &SuspectFeature)| suspect.report(now, *feature);
        let reports = urgent.into_iter().chain(ordinary).map(report).collect();
        SuspectUpdates { next_change: first_omitted.unwrap_or(self.next_change()), reports }
    }

    fn changed_after(
        &self,
        known: u64,
    ) -> impl Iterator<Item = (&RequestFeature, &SuspectFeature)> {
        self.suspects.iter().filter(move |(_, suspect)| suspect.changed_at + 1 > known)
    }
}
