//! Builds the status of a node for operators.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: [`NodeStatus`] for the form.

use curlewcleat_core::PoolId;
use curlewcleat_sched::{PoolScheduler, UrgencyFlow};

use super::Node;
use crate::status::{GrantedShare, NodeStatus, PoolStatus, TargetStatus};

impl Node {
    /// Returns the status for operators.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            me: self.options.me.clone(),
            generation: self.store.generation(),
            config_faults: self.active.faults.clone(),
            table: self.key_holder.version(),
            key_slots: self.key_holder.slots_held(),
            keys: self.key_holder.keys(),
            requests: self.entry.len(),
            suspects: self.lethal.requests.changes_since(self.now, 0),
            refused: self.lethal.requests.refused().copied().collect(),
            evacuated: self.evacuations.list().data_centres.iter().cloned().collect(),
            rollouts: self.rollout_statuses(),
            config_intake: self.configs.intake,
            drain: self.drain.phase(),
            pools: self.pools.iter().map(|(id, pool)| self.pool_status(id, pool)).collect(),
            peers: self
                .members
                .peers()
                .iter()
                .map(|(vm, peer)| (vm.clone(), peer.clone()))
                .collect(),
        }
    }

    pub(crate) fn pool_status(&self, id: &PoolId, pool: &PoolScheduler) -> PoolStatus {
        let targets = pool.targets().iter().map(|(id, state)| TargetStatus {
            id: id.clone(),
            in_flight: state.in_flight,
            slots: state.slots,
            slowness: state.slowness(),
            leaving: state.is_leaving(),
            ejected: state.ejected(),
            limit: state.notices().rate(),
            is_resting: state.rests(self.now),
            warm_up_rate: state.warm_up_rate(),
            stated_slowness: state.stated.stated_slowness(self.now),
        });
        // The order contains at least this daemon.
        let order = self.members.scheduler_order(self.scheduling_subject(id));
        PoolStatus {
            id: id.clone(),
            scheduler: order[0].vm.clone(),
            waiting: pool.waiting(),
            late: pool.waiting_late(),
            returns: pool.return_counts(),
            granted: granted_shares(pool),
            in_flight: pool.in_flight(),
            lowest_open: pool.level().lowest_open(),
            targets: targets.collect(),
        }
    }
}

fn granted_shares(pool: &PoolScheduler) -> Vec<GrantedShare> {
    let share = |((tier, urgency), flow): (_, &UrgencyFlow)| {
        let percent = flow.granted_percent();
        GrantedShare { tier, urgency, percent }
    };
    pool.flows().all().map(share).collect()
}
