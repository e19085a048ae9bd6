//! Eligible daemons, ended peers, and the VM list.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `MemberView` for the peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use curlewcleat_core::{DaemonId, DaemonRecord, PoolId, VmId};
use curlewcleat_sched::ALL_POOLS;

use super::{cached_order, Node};
use crate::event::ListedVm;

impl Node {
    /// The platform has named the daemons that it knows.
    pub(super) fn daemons_listed(&mut self, records: Vec<DaemonRecord>) {
        self.members.records_listed(records);
        self.review_roles();
        // A new daemon is known to the others at once, and they to it.
        self.last_heartbeat = None;
    }

    pub(super) fn seeds_changed(&mut self, addresses: Vec<String>) {
        self.members.add_seeds(addresses);
        self.last_heartbeat = None;
    }

    pub(super) fn entry_daemon_ended(&mut self, daemon: &DaemonId) {
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            let now = self.now;
            let actions = self.pool(&pool).entry_gone(now, daemon);
            self.send_answers(actions);
        }
    }

    /// Moves permit requests to the right schedulers when the set of eligible daemons has changed.
    pub(super) fn review_roles(&mut self) {
        if !self.members.take_changed() {
            return;
        }
        self.eligible = self.members.eligible_daemons();
        // Records on their way to a daemon that has gone go to another one at once.
        self.hand_over_answer.answered();
        let order = self.members.scheduler_order(ALL_POOLS);
        let schedulers = std::mem::replace(&mut self.order, order);
        self.send_suspects_to_new_schedulers(&schedulers);
        self.send_notices_to_new_schedulers(&schedulers);
        self.send_answers_to_new_schedulers(&schedulers);
        let before = std::mem::take(&mut self.orders);
        self.refresh_orders();
        self.update_data_centres();
        self.update_rate_shares();
        if before == self.orders {
            return;
        }
        self.review_rates(&before);
        let orders = &self.orders;
        let members = &self.members;
        let actions =
            self.entry.schedulers_changed(self.now, &|pool| cached_order(orders, members, pool));
        self.perform(actions);
    }

    /// Tells the schedulers where the entries are.
    pub(super) fn update_data_centres(&mut self) {
        let peers = self.members.peers().iter();
        let mut data_centres: BTreeMap<VmId, String> =
            peers.map(|(vm, peer)| (vm.clone(), peer.data_centre.clone())).collect();
        let own_data_centre = self.options.members.data_centre.clone();
        data_centres.insert(self.options.me.vm.clone(), own_data_centre);
        for scheduler in self.pools.values_mut() {
            scheduler.set_places(data_centres.clone());
        }
    }

    /// A daemon that begins to schedule, or to be asked next, knows nothing of what others gave out of
    /// the rates.
    fn review_rates(&mut self, before: &BTreeMap<PoolId, Vec<DaemonId>>) {
        if permit_duties(&self.orders, &self.options.me) != permit_duties(before, &self.options.me)
        {
            self.rates.restart(self.now);
        }
    }

    pub(super) fn refresh_orders(&mut self) {
        let config = Arc::clone(&self.active);
        self.orders = config
            .pools
            .keys()
            .map(|pool| (pool.clone(), self.members.scheduler_order(self.scheduling_subject(pool))))
            .collect();
    }

    pub(super) fn vms_read(&mut self, list: &[ListedVm]) {
        self.vms.read(self.now, list);
        let unavailable = self.unavailable_vms();
        for scheduler in self.pools.values_mut() {
            scheduler.set_away(unavailable.clone());
        }
    }
}

/// Whether a daemon is asked first for permits of some pool, and the daemons before which it is next.
fn permit_duties<'a>(
    orders: &'a BTreeMap<PoolId, Vec<DaemonId>>,
    me: &DaemonId,
) -> (bool, Vec<&'a DaemonId>) {
    let leads = orders.values().any(|order| order.first() == Some(me));
    let next = orders.values().filter(|order| order.get(1) == Some(me));
    (leads, next.filter_map(|order| order.first()).collect())
}
