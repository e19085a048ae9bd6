//! Handles membership: eligible daemons, ended peers, and the VM list.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `MemberView` for the peers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use curlewcleat_core::{AccountId, DaemonId, DaemonRecord, PoolId, VmId};
use curlewcleat_sched::{MemberView, PoolScheduler, SchedulerAction, ALL_POOLS};

use super::Node;
use crate::event::ListedVm;

impl Node {
    /// Returns the peer addresses in use.
    pub fn peer_addresses(&self) -> BTreeSet<String> {
        self.members.addresses()
    }

    /// Applies the list of daemons that are recorded at the platform.
    pub(super) fn daemons_listed(&mut self, records: Vec<DaemonRecord>) {
        self.members.update_records(records);
        self.review_roles();
        // Sends a heartbeat with the next tick, so that new daemons and this one learn of each other at once.
        self.last_heartbeat = None;
    }

    pub(super) fn seeds_changed(&mut self, addresses: Vec<String>) {
        self.members.add_seeds(addresses);
        self.last_heartbeat = None;
    }

    pub(super) fn entry_daemon_ended(&mut self, daemon: &DaemonId) {
        let now = self.now;
        self.release_starts_of(daemon);
        self.forget_held_take_ups_of(daemon);
        self.step_pools(|pool| pool.remove_entry_daemon(now, daemon));
    }

    /// Frees the permits of a daemon that seems lost.
    pub(super) fn entry_daemon_lost(&mut self, daemon: &DaemonId) {
        let now = self.now;
        self.release_starts_of(daemon);
        self.forget_held_take_ups_of(daemon);
        self.step_pools(|pool| pool.entry_daemon_lost(now, daemon));
    }

    /// Counts the permits of a daemon again that seemed lost.
    pub(super) fn entry_daemon_returned(&mut self, daemon: &DaemonId) {
        let now = self.now;
        self.step_pools(|pool| pool.entry_daemon_returned(now, daemon));
    }

    fn step_pools(&mut self, step: impl Fn(&mut PoolScheduler) -> Vec<SchedulerAction>) {
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            let actions = step(self.pool(&pool));
            self.send_answers(actions);
        }
    }

    /// Moves permit requests to the right schedulers after the set of eligible daemons has changed.
    pub(super) fn review_roles(&mut self) {
        if !self.members.take_changed() {
            return;
        }
        self.eligible = self.members.eligible_daemons();
        // Key records that were sent to a daemon that has ended are sent to another one at once.
        self.hand_over_answer.answered();
        let order = self.members.scheduler_order(ALL_POOLS);
        let schedulers = std::mem::replace(&mut self.all_pools_order, order);
        self.send_suspects_to_new_schedulers(&schedulers);
        self.send_notices_to_new_schedulers(&schedulers);
        self.report_to_new_keepers(&schedulers);
        self.send_answers_to_new_schedulers(&schedulers);
        let before = std::mem::take(&mut self.scheduler_orders);
        self.refresh_orders();
        self.update_data_centres();
        self.update_rate_shares();
        if before == self.scheduler_orders {
            return;
        }
        self.review_rates(&before);
        let scheduler_orders = &self.scheduler_orders;
        let members = &self.members;
        let actions = self
            .entry
            .schedulers_changed(self.now, &|pool| cached_order(scheduler_orders, members, pool));
        self.perform(actions);
    }

    /// Passes the data centres of the entry daemons to the schedulers.
    pub(super) fn update_data_centres(&mut self) {
        let peers = self.members.peers().iter();
        let mut data_centres: BTreeMap<VmId, String> =
            peers.map(|(vm, peer)| (vm.clone(), peer.data_centre.clone())).collect();
        let own_data_centre = self.options.members.data_centre.clone();
        data_centres.insert(self.options.me.vm.clone(), own_data_centre);
        for scheduler in self.pools.values_mut() {
            scheduler.set_data_centres(data_centres.clone());
        }
    }

    /// Restarts the rate accounting if this daemon has become, or ceased to be, first or second in the order of
    /// schedulers of a pool, since it does not know what others granted from the rates.
    fn review_rates(&mut self, before: &BTreeMap<PoolId, Vec<DaemonId>>) {
        if permit_duties(&self.scheduler_orders, &self.options.me)
            != permit_duties(before, &self.options.me)
        {
            self.rates.restart(self.now);
        }
    }

    /// Applies the share of the rates to accounts that request nothing, while this daemon schedules and reaches only a
    /// part of the others.
    pub(super) fn advance_rates(&mut self) {
        let (leads, _) = permit_duties(&self.scheduler_orders, &self.options.me);
        let share = self.leader_share();
        if !leads || share.reached >= share.all {
            return;
        }
        let accounts = &self.active.accounts;
        let rate_of = |account: &AccountId| accounts.get(account)?.shared_rate;
        self.rates.advance(self.now, share, rate_of);
    }

    pub(super) fn refresh_orders(&mut self) {
        let config = Arc::clone(&self.active);
        self.scheduler_orders = config
            .pools
            .keys()
            .map(|pool| (pool.clone(), self.members.scheduler_order(self.scheduling_subject(pool))))
            .collect();
    }

    pub(super) fn vms_read(&mut self, list: &[ListedVm]) {
        self.vms.read(self.now, list);
        let unavailable = self.unavailable_vms();
        for scheduler in self.pools.values_mut() {
            scheduler.set_leaving_vms(unavailable.clone());
        }
        let config = Arc::clone(&self.active);
        self.update_version_weights(&config);
    }
}

/// Returns whether a daemon is first in the order of schedulers of any pool, and the first daemons of the pools in
/// whose order it is second.
fn permit_duties<'a>(
    scheduler_orders: &'a BTreeMap<PoolId, Vec<DaemonId>>,
    me: &DaemonId,
) -> (bool, Vec<&'a DaemonId>) {
    let leads = scheduler_orders.values().any(|order| order.first() == Some(me));
    let next = scheduler_orders.values().filter(|order| order.get(1) == Some(me));
    (leads, next.filter_map(|order| order.first()).collect())
}

/// Returns the cached order of schedulers of a pool, computed anew if the pool is not in the cache.
pub(super) fn cached_order(
    scheduler_orders: &BTreeMap<PoolId, Vec<DaemonId>>,
    members: &MemberView,
    pool: &str,
) -> Vec<DaemonId> {
    scheduler_orders.get(pool).cloned().unwrap_or_else(|| members.scheduler_order(pool))
}
