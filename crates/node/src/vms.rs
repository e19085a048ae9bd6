//! Tracks the platform's VM list over time.
//!
//! Owns: which VMs are listed, leaving or missing. Relies on: lists in the order in which they were read.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{Uptime, VmId};

use crate::event::ListedVm;

/// Time for which a VM has to be missing from the list before it counts as ended. Lists of different age may
/// alternate for a while after a VM starts.
const ENDED_AFTER: Duration = Duration::from_secs(10);

/// When a VM was missing from the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct MissingTime {
    first: Uptime,
    /// At the latest list: a time without lists proves nothing.
    last: Uptime,
}

/// The state of the VMs according to the lists. Only a VM that was listed before can have ended; one that was never
/// listed may have just started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VmView {
    listed: BTreeSet<VmId>,
    leaving: BTreeSet<VmId>,
    /// VMs that were listed and are missing now.
    missing: BTreeMap<VmId, MissingTime>,
}

impl VmView {
    /// Applies a list.
    pub fn read(&mut self, now: Uptime, list: &[ListedVm]) {
        let listed: BTreeSet<VmId> = list.iter().map(|listed_vm| listed_vm.vm.clone()).collect();
        for vm in self.listed.difference(&listed) {
            self.missing.entry(vm.clone()).or_insert(MissingTime { first: now, last: now });
        }
        self.missing.retain(|vm, _| !listed.contains(vm));
        self.missing.values_mut().for_each(|missing| missing.last = now);
        self.leaving = list
            .iter()
            .filter(|listed_vm| listed_vm.leaving)
            .map(|listed_vm| listed_vm.vm.clone())
            .collect();
        self.listed = listed;
    }

    /// Returns the VMs that have ended according to the list. Returns none while this daemon's own VM is missing too:
    /// such a list proves nothing.
    pub fn ended(&self, me: &VmId) -> BTreeSet<VmId> {
        if self.missing.contains_key(me) {
            return BTreeSet::new();
        }
        let is_long =
            |missing: &MissingTime| missing.last.saturating_sub(missing.first) >= ENDED_AFTER;
        let ended = self.missing.iter().filter(|(_, missing)| is_long(missing));
        ended.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the VMs whose targets get no new work: those that are leaving and those that are missing.
    pub fn unavailable(&self) -> BTreeSet<VmId> {
        self.leaving.iter().chain(self.missing.keys()).cloned().collect()
    }
}
