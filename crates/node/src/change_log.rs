//! Keeps the latest change to each target, so that a peer that knows an earlier revision gets only what it lacks.
//!
//! A peer needs the latest change to a target only, so the log never holds, and a peer never gets, more changes than
//! there are targets, plus those that were removed.
//!
//! Owns: the latest changes. Relies on: revisions of the platform.

use std::collections::{BTreeMap, BTreeSet};

use curlewcleat_core::{ObjectVersion, TargetChange, TargetId};

/// Least number of targets whose changes are kept; more are kept if more are listed.
const MIN_LENGTH: usize = 256;

/// The latest change to each target since a revision.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Revision from which the log is complete.
    from: ObjectVersion,
    changes: BTreeMap<TargetId, (ObjectVersion, TargetChange)>,
    /// The same targets by the revision of their change, so that a pull costs no more than it returns.
    order: BTreeSet<(ObjectVersion, TargetId)>,
}

impl ChangeLog {
    /// Starts anew at a revision up to which no changes are known.
    pub fn restart(&mut self, at: ObjectVersion) {
        *self = ChangeLog { from: at, ..ChangeLog::default() };
    }

    /// Records a change up to a revision.
    pub fn record(&mut self, at: ObjectVersion, change: TargetChange) {
        let id = target_of(&change).clone();
        if let Some((earlier, _)) = self.changes.insert(id.clone(), (at, change)) {
            self.order.remove(&(earlier, id.clone()));
        }
        self.order.insert((at, id));
    }

    /// Drops the oldest changes if there are more than the listed targets. An older peer then gets the whole list, which
    /// is shorter than the changes would be.
    pub fn trim(&mut self, listed: usize) {
        let limit = listed.max(MIN_LENGTH);
        while self.order.len() > limit || self.order.first().is_some_and(|(at, _)| *at <= self.from)
        {
            let Some((at, id)) = self.order.pop_first() else { return };
            self.changes.remove(&id);
            // The other changes of this revision go as well: part of them would not be complete.
            self.from = self.from.max(at);
        }
    }

    /// Returns the changes after a revision in the order of their revisions, `None` if some are no longer known.
    pub fn since(&self, known: ObjectVersion) -> Option<Vec<TargetChange>> {
        if known < self.from {
            return None;
        }
        let later = self.order.range((known + 1, TargetId::new())..);
        let changes = later.filter_map(|(_, id)| self.changes.get(id));
        Some(changes.map(|(_, change)| change.clone()).collect())
    }
}

fn target_of(change: &TargetChange) -> &TargetId {
    match change {
        TargetChange::Present(target) => &target.entry.id,
        TargetChange::Gone(id) => id,
    }
}
