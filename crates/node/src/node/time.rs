//! Performs the periodic work of the node.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: a tick every few milliseconds.

use std::time::Duration;

use curlewcleat_core::{Heartbeat, PeerFrame, PeerMessage};

use super::{cached_order, Node};
use crate::event::{NodeAction, NodeNote};

/// Interval between reviews of the key table, the lethal requests, the rates and the waiting pools.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Factor by which heartbeats are more frequent while a daemon announces itself.
const ANNOUNCING_HEARTBEAT_FACTOR: u32 = 4;
/// Interval between clean-ups of expired keys.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

impl Node {
    pub(super) fn tick(&mut self) {
        for lost in self.members.tick(self.now) {
            self.actions.push(NodeAction::Note(NodeNote::PeerLost(lost.clone())));
            self.entry_daemon_lost(&lost);
        }
        self.review_roles();
        self.entry.set_daemons(self.members.fleet_size() as u64);
        self.update_rate_shares();
        let scheduler_orders = &self.scheduler_orders;
        let members = &self.members;
        let actions =
            self.entry.tick(self.now, &|pool| cached_order(scheduler_orders, members, pool));
        self.perform(actions);
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            let now = self.now;
            let actions = self.pool(&pool).tick(now);
            self.send_answers(actions);
            let peers = self.other_schedulers();
            let step = self.guards.entry(pool.clone()).or_default().tick(self.now, &peers);
            self.apply_guard_step(&pool, step);
        }
        self.send_loads();
        self.step_held_grants();
        self.step_take_ups();
        self.step_held_take_ups();
        self.step_histories();
        self.step_stream_forms();
        self.step_warm_ups();
        self.step_rollouts();
        self.step_freshness();
        self.send_heartbeats();
        self.step_reviews();
        if self.now >= self.last_expire + EXPIRE_INTERVAL {
            self.last_expire = self.now;
            self.key_holder.expire(self.wall);
        }
        self.step_drain();
    }

    fn step_reviews(&mut self) {
        if self.now < self.last_review + REVIEW_INTERVAL {
            return;
        }
        self.last_review = self.now;
        self.note_waiting();
        self.advance_rates();
        self.review_table();
        self.review_lethal();
    }

    fn note_waiting(&mut self) {
        let waiting = self.pools.iter().filter(|(_, pool)| pool.waiting() > 0);
        let notes: Vec<NodeAction> = waiting
            .map(|(id, pool)| {
                NodeAction::Note(NodeNote::PoolQueueStatus(self.pool_status(id, pool)))
            })
            .collect();
        self.actions.extend(notes);
    }

    pub(super) fn send_heartbeats(&mut self) {
        let interval = match self.members.is_announcing() {
            true => self.options.heartbeat_every / ANNOUNCING_HEARTBEAT_FACTOR,
            false => self.options.heartbeat_every,
        };
        if self.last_heartbeat.is_some_and(|last| self.now < last + interval) {
            return;
        }
        self.last_heartbeat = Some(self.now);
        self.query_freshness();
        self.pull_suspects();
        let heartbeat = self.heartbeat();
        for receiver in self.members.heartbeat_receivers(self.now) {
            let heartbeat =
                Heartbeat { answer_wanted: receiver.answer_wanted, ..heartbeat.clone() };
            self.send_heartbeat(receiver.address, heartbeat);
        }
    }

    /// Sends a heartbeat, even to an address from which no frame has been received.
    pub(super) fn send_heartbeat(&mut self, address: String, heartbeat: Heartbeat) {
        let messages = vec![PeerMessage::Heartbeat(heartbeat)];
        let frame = PeerFrame { from: self.options.me.clone(), messages };
        self.actions.push(NodeAction::Send(address, frame));
    }

    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.members.heartbeat(self.store.generation(), self.key_holder.version())
    }
}
