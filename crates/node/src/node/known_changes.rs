//! What this daemon knows of the changes at daemons that it pulls from.
//!
//! Owns: the numbers. Relies on: daemons that number their changes from one with each start.

use std::collections::BTreeMap;

use curlewcleat_core::{DaemonId, Incarnation, VmId};

/// The number of changes that are known of each daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownChanges(BTreeMap<VmId, (Incarnation, u64)>);

impl KnownChanges {
    /// Returns the number that is known of this start of a daemon, 0 if it has not answered.
    pub(super) fn of(&self, daemon: &DaemonId) -> u64 {
        let known = self.0.get(&daemon.vm);
        known
            .filter(|(incarnation, _)| *incarnation == daemon.incarnation)
            .map_or(0, |(_, changes)| *changes)
    }

    /// Records the number in an answer; an update that was not requested has 0.
    pub(super) fn record(&mut self, daemon: &DaemonId, at: u64) {
        if at > 0 {
            self.0.insert(daemon.vm.clone(), (daemon.incarnation, at));
        }
    }
}
