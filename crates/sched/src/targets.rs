//! Applies what a scheduler learns of its targets: list entries, departures, reports and notices.
//!
//! Everything known of a target belongs to one target instance. If its list entry states a later start, the
//! state of the target is reset: it has no permits in use and no estimates of its own. Permits of the earlier
//! instance remain until their entry daemons return them, and then free no slot.
//!
//! Owns: nothing; these are methods of [`PoolScheduler`]. Relies on: the node's view of the targets, which
//! omits late list entries of earlier instances.

use std::collections::{BTreeMap, BTreeSet};

use curlewcleat_core::{
    InstanceOrder, LoadReport, NoticeReport, RequestRate, TargetEntry, TargetId, TargetInstance,
    TargetPool, TargetReport, Uptime, VersionDigest, VmId,
};

use crate::admission::shared_rate::{RateRole, RateShare};
use crate::placement::idle_connections::EntryNumbers;
use crate::placement::room::TargetRoom;
use crate::placement::target::TargetState;
use crate::pool::{PoolOptions, PoolScheduler, SchedulerAction};

impl PoolScheduler {
    /// Applies a new configuration. What is learned of targets that stay in the pool is kept.
    pub fn configure(&mut self, options: PoolOptions, pool: &TargetPool) {
        self.options = options;
        self.targets.retain(|id, _| pool.targets.contains_key(id));
        self.targets_changed = true;
        for entry in pool.targets.values() {
            self.configure_target(entry);
        }
        for (id, state) in &mut self.targets {
            let targets = self.permits.values().map(|permit| &permit.target);
            let of_instance =
                targets.filter(|target| target.id == *id && is_same_instance(target, state));
            state.in_flight = of_instance.count() as u32;
        }
        if !self.options.reuses_connections {
            self.entry_numbers = EntryNumbers::default();
            self.targets.values_mut().for_each(|state| state.idle_connections.clear());
        }
    }

    fn configure_target(&mut self, entry: &TargetEntry) {
        let known = self.targets.get(&entry.id).map(|state| state.start);
        match known.map(|known| InstanceOrder::compare(entry.start, known)) {
            // The list entry is of an earlier instance than the known one.
            Some(InstanceOrder::Earlier) => return,
            Some(InstanceOrder::Later) => drop(self.targets.remove(&entry.id)),
            Some(InstanceOrder::Same) | None => self.fill_in_start(entry),
        }
        let is_leaving = self.leaving_vms.contains(&entry.vm);
        let state = self.targets.entry(entry.id.clone()).or_insert_with(|| {
            TargetState::new(entry.vm.clone(), entry.slots).with_pace(self.pace.of_new_target())
        });
        state.start = entry.start.or(state.start);
        state.slots = entry.slots;
        if state.version != entry.version {
            state.version.clone_from(&entry.version);
            state.version_digest = VersionDigest::of(entry.version.as_ref());
        }
        state.data_centre.clone_from(&entry.data_centre);
        state.vm.clone_from(&entry.vm);
        state.leaving = is_leaving;
    }

    /// Records the start of a target's instance in permits that were granted before the start was known.
    fn fill_in_start(&mut self, entry: &TargetEntry) {
        let permits = self.permits.values_mut().map(|permit| &mut permit.target);
        for instance in
            permits.filter(|instance| instance.id == entry.id && instance.start.is_none())
        {
            instance.start = entry.start;
        }
    }

    /// Returns the known instance of a target.
    pub(crate) fn instance_of(&self, target: &TargetId) -> TargetInstance {
        let start = self.targets.get(target).and_then(|state| state.start);
        TargetInstance { id: target.clone(), start }
    }

    /// Sets the VMs that are leaving or unlisted; their targets get no new permits.
    pub fn set_leaving_vms(&mut self, leaving_vms: BTreeSet<VmId>) {
        for state in self.targets.values_mut() {
            state.leaving = leaving_vms.contains(&state.vm);
        }
        self.leaving_vms = leaving_vms;
    }

    /// Sets the data centres of the entry daemons, so that local targets are preferred among equals.
    pub fn set_data_centres(&mut self, data_centres: BTreeMap<VmId, String>) {
        self.data_centres = data_centres;
    }

    /// Applies a target's report. A report of another instance than the known one is ignored.
    pub fn apply_report(
        &mut self,
        now: Uptime,
        target: &TargetInstance,
        report: &TargetReport,
    ) -> Vec<SchedulerAction> {
        if let Some(state) = state_of(&mut self.targets, target) {
            state.apply_report(now, report);
        }
        let mut actions = Vec::new();
        self.grant(now, &mut actions);
        actions
    }

    /// Applies what a target stated of its load to an entry daemon, which reported it just now. A statement of another
    /// instance than the known one is ignored.
    pub fn apply_stated_load(&mut self, now: Uptime, report: &LoadReport) {
        if let Some(state) = state_of(&mut self.targets, &report.instance) {
            let seen = now.saturating_sub(report.age());
            state.stated.apply(now, seen, &report.load, state.in_flight);
        }
    }

    /// Applies an entry daemon's report of a target's notices. Notices of another instance than the known one are
    /// ignored. A brittle target that requests rest has turned a request away, whose permit is still in use here.
    pub fn apply_notice_report(
        &mut self,
        now: Uptime,
        from: &VmId,
        report: &NoticeReport,
    ) -> Vec<SchedulerAction> {
        let (rate_share, brittle) = (self.rate_share, self.brittle);
        if let Some(state) = state_of(&mut self.targets, &report.instance) {
            state.apply_notice_report(now, from, report, rate_share);
            if let Some(borne) = brittle.filter(|_| report.rest.is_some()) {
                let held = state.in_flight.saturating_sub(1);
                state.set_room(Some(TargetRoom::after_refusal(now, held, borne)));
            }
        }
        let mut actions = Vec::new();
        self.grant(now, &mut actions);
        actions
    }

    /// Sets the rate that a target accepts until it is warm, `None` once it is.
    pub fn set_warm_up_rate(&mut self, now: Uptime, target: &TargetId, rate: Option<RequestRate>) {
        let rate_share = self.rate_share;
        if let Some(state) = self.targets.get_mut(target) {
            state.set_warm_up_rate(now, rate, rate_share);
        }
    }

    /// Sets this scheduler's share of the limits of its targets.
    pub fn set_rate_share(&mut self, now: Uptime, rate_share: RateShare) {
        if self.rate_share == rate_share {
            return;
        }
        let takes_over =
            rate_share.role == RateRole::Leader && self.rate_share.role != RateRole::Leader;
        self.rate_share = rate_share;
        if takes_over && self.brittle.is_some() {
            self.offer_unknown_room(now);
        }
        self.targets.values_mut().for_each(|state| state.update_rate_share(now, rate_share));
    }

    /// Sets how many refusals a second each target bears before it terminates, `None` if the targets are not brittle.
    pub fn set_brittle(&mut self, brittle: Option<u32>) {
        self.brittle = brittle;
        if brittle.is_none() {
            self.targets.values_mut().for_each(|state| state.set_room(None));
        }
    }

    /// Limits what each target is offered, since it may run requests that this scheduler does not know of.
    fn offer_unknown_room(&mut self, now: Uptime) {
        for state in self.targets.values_mut() {
            let room = TargetRoom::unknown(now, state.in_flight);
            state.set_room(Some(room));
        }
    }

    /// Returns the known targets.
    pub fn targets(&self) -> &BTreeMap<TargetId, TargetState> {
        &self.targets
    }
}

/// Returns the state of a target instance, `None` if another instance is known.
pub(crate) fn state_of<'a>(
    targets: &'a mut BTreeMap<TargetId, TargetState>,
    instance: &TargetInstance,
) -> Option<&'a mut TargetState> {
    targets.get_mut(&instance.id).filter(|state| is_same_instance(instance, state))
}

/// Returns whether a state belongs to this instance of its target.
fn is_same_instance(instance: &TargetInstance, state: &TargetState) -> bool {
    InstanceOrder::compare(instance.start, state.start) == InstanceOrder::Same
}
