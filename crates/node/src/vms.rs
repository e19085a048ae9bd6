//! The platform's VM list over time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{Uptime, VmId};

use crate::event::ListedVm;

/// Time for which a VM has to stay off the list before it counts as gone. Lists of different age may alternate for a
/// while after a VM starts.
const ENDED_AFTER: Duration = Duration::from_secs(10);

/// What the lists have said. Only a VM that was listed before can be gone; one that never was may
/// have just started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VmView {
    listed: BTreeSet<VmId>,
    leaving: BTreeSet<VmId>,
    /// VMs that were listed and are not any more, and since when.
    missing: BTreeMap<VmId, Uptime>,
}

impl VmView {
    /// Takes a list.
    pub fn read(&mut self, now: Uptime, list: &[ListedVm]) {
        let listed: BTreeSet<VmId> = list.iter().map(|line| line.vm.clone()).collect();
        for vm in self.listed.difference(&listed) {
            self.missing.entry(vm.clone()).or_insert(now);
        }
        self.missing.retain(|vm, _| !listed.contains(vm));
        self.leaving =
            list.iter().filter(|line| line.leaving).map(|line| line.vm.clone()).collect();
        self.listed = listed;
    }

    /// VMs that have ended according to the platform's list. None while this daemon's own VM is
    /// missing too: such a list proves nothing.
    pub fn ended(&self, now: Uptime, me: &VmId) -> BTreeSet<VmId> {
        if self.missing.contains_key(me) {
            return BTreeSet::new();
        }
        let ended =
            self.missing.iter().filter(|(_, since)| now.saturating_sub(**since) >= ENDED_AFTER);
        ended.map(|(vm, _)| vm.clone()).collect()
    }

    /// VMs whose targets get no new work: those that leave and those that are off the list.
    pub fn unavailable(&self) -> BTreeSet<VmId> {
        self.leaving.iter().chain(self.missing.keys()).cloned().collect()
    }
}
