//! Keeps the latest change to each target, so that a peer that knows an earlier revision gets only what it lacks.
//!
//! A peer needs the latest change to a target only, so the log never holds, and a peer never gets, more changes than
//! there are targets, plus those that were removed.
//!
//! Owns: the latest changes. Relies on: revisions of the platform.

use std::collections::BTreeMap;

use curlewcleat_core::{ObjectVersion, TargetChange, TargetId};

/// Least number of targets whose changes are kept; more are kept if more are listed.
const MIN_LENGTH: usize = 256;

/// The latest change to each target since a revision.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Revision from which the log is complete.
    from: ObjectVersion,
    changes: BTreeMap<TargetId, (ObjectVersion, TargetChange)>,
}

impl ChangeLog {
    /// Starts anew at a revision up to which no changes are known.
    pub fn restart(&mut self, at: ObjectVersion) {
        self.from = at;
        self.changes.clear();
    }

    /// Records a change up to a revision.
    pub fn record(&mut self, at: ObjectVersion, change: TargetChange) {
        self.changes.insert(target_of(&change).clone(), (at, change));
    }

    /// Drops the oldest half of the changes if there are more than the listed targets. An older peer then gets the
    /// whole list, which is shorter than the changes would be.
    pub fn trim(&mut self, listed: usize) {
        let limit = listed.max(MIN_LENGTH);
        if self.changes.len() <= limit {
            return;
        }
        let mut versions: Vec<ObjectVersion> = self.changes.values().map(|(at, _)| *at).collect();
        versions.sort_unstable();
        self.from = versions[versions.len() - limit / 2 - 1];
        self.changes.retain(|_, (at, _)| *at > self.from);
    }

    /// Returns the changes after a revision in the order of their revisions, `None` if some are no longer known.
    pub fn since(&self, known: ObjectVersion) -> Option<Vec<TargetChange>> {
        if known < self.from {
            return None;
        }
        let mut later: Vec<&(ObjectVersion, TargetChange)> =
            self.changes.values().filter(|(at, _)| *at > known).collect();
        later.sort_by_key(|(at, _)| *at);
        Some(later.into_iter().map(|(_, change)| change.clone()).collect())
    }
}

fn target_of(change: &TargetChange) -> &TargetId {
    match change {
        TargetChange::Present(target) => &target.entry.id,
        TargetChange::Gone(id) => id,
    }
}
