//! Decides which daemons get a heartbeat, and which addresses it contains.
//!
//! Inputs: the addresses, the order of schedulers, the number of heartbeats sent. The rule: up to `mesh_limit` daemons,
//! every heartbeat goes to all, and requests an answer of the peers that are unreachable. In a larger fleet it goes to
//! the candidates ([`candidates`](super::candidates)) and to each daemon that waits for a reply, so that the traffic of
//! an ordinary daemon does not grow with the fleet; a daemon that receives no heartbeats also tries the seeds and some
//! known addresses. After a start and after a change of role the next ones go to all reachable peers
//! ([`MemberView::is_announcing`]), which for a candidate are all daemons.
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::collections::BTreeSet;

use curlewcleat_core::{Generation, Heartbeat, ObjectVersion, Uptime, VmId};

use super::candidates::{ALL_POOLS, CANDIDATES};
use super::membership::MemberView;

/// Number of known addresses in a heartbeat, so that its length does not grow with the fleet.
const ADDRESSES_PER_HEARTBEAT: usize = 4;
/// One heartbeat in this many contains addresses.
const ADDRESSES_INTERVAL: u32 = 4;
/// Number of known addresses that a daemon that reaches no other tries with each heartbeat: few, since they may all be
/// cut off.
const TRIED_ADDRESSES: usize = 2;

/// A receiver of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeartbeatReceiver {
    /// Its `ip:port`.
    pub address: String,
    /// Whether it is requested to send a heartbeat back.
    pub answer_wanted: bool,
}

impl MemberView {
    /// Returns whether every heartbeat goes to all other daemons.
    pub(super) fn is_mesh(&self) -> bool {
        self.fleet_size() <= self.options.mesh_limit
    }

    /// Returns the heartbeat to send. Some contain known addresses: in a small fleet different ones each time; in a
    /// large one those of the first daemons in the order of schedulers, and at once when these change.
    pub fn heartbeat(&mut self, generation: Generation, table: ObjectVersion) -> Heartbeat {
        let due =
            self.is_announcing() || self.heartbeats_planned.is_multiple_of(ADDRESSES_INTERVAL);
        let known = match (due, self.is_mesh()) {
            (true, true) => self.next_addresses(),
            (false, true) => Vec::new(),
            (due, false) => self.first_addresses_to_send(due),
        };
        self.heartbeat_with_addresses(known, generation, table)
    }

    /// Returns the addresses of the first daemons in the order of schedulers, if they are due or have changed since
    /// they were last sent.
    fn first_addresses_to_send(&mut self, due: bool) -> Vec<String> {
        let first = self.first_addresses();
        if !due && first == self.first_sent {
            return Vec::new();
        }
        self.first_sent.clone_from(&first);
        first
    }

    /// Returns the heartbeat that answers an unknown daemon. It contains all known addresses, starting with those of
    /// the first daemons in the order of schedulers.
    pub fn greeting(&self, generation: Generation, table: ObjectVersion) -> Heartbeat {
        let mut known = self.first_addresses();
        let others = self.known_addresses.iter().filter(|address| !known.contains(address));
        let others: Vec<String> = others.cloned().collect();
        known.extend(others);
        self.heartbeat_with_addresses(known, generation, table)
    }

    fn heartbeat_with_addresses(
        &self,
        known: Vec<String>,
        generation: Generation,
        table: ObjectVersion,
    ) -> Heartbeat {
        Heartbeat {
            address: self.options.address.clone(),
            data_centre: self.options.data_centre.clone(),
            generation,
            table,
            draining: self.draining,
            stale: self.stale,
            capacity: self.options.capacity,
            started: self.options.started,
            answer_wanted: false,
            known,
        }
    }

    fn next_addresses(&mut self) -> Vec<String> {
        let live: Vec<&String> =
            self.peers.values().filter(|peer| peer.live).map(|peer| &peer.address).collect();
        let begin = if live.is_empty() { 0 } else { self.next_address % live.len() };
        let count = live.len().min(ADDRESSES_PER_HEARTBEAT);
        let known = live.iter().cycle().skip(begin).take(count);
        let known = known.map(|address| address.to_string()).collect();
        self.next_address = begin + count;
        known
    }

    /// Returns the addresses of the first daemons in the order of schedulers, as far as they are peers.
    fn first_addresses(&self) -> Vec<String> {
        let order = self.candidate_order(ALL_POOLS);
        let known_peers = order.iter().filter_map(|daemon| self.peers.get(&daemon.vm));
        known_peers.take(CANDIDATES).map(|peer| peer.address.clone()).collect()
    }

    /// Returns the receivers of the heartbeat that is sent now.
    pub fn heartbeat_receivers(&mut self, now: Uptime) -> BTreeSet<HeartbeatReceiver> {
        self.heartbeats_planned = self.heartbeats_planned.wrapping_add(1);
        let reply_due = std::mem::take(&mut self.reply_due);
        let announcing = self.is_announcing();
        self.announcements_due = self.announcements_due.saturating_sub(1);
        if self.is_mesh() {
            return self.mesh_receivers();
        }
        let partners = self.exchange_partners();
        self.start_probes(now, &partners);
        self.update_exchanges(now, &partners);
        let mut wanted: BTreeSet<String> =
            partners.iter().filter_map(|vm| self.address_of(vm)).map(str::to_string).collect();
        if wanted.is_empty() || self.is_cut_off() {
            wanted.extend(self.addresses_to_try());
        }
        let mut receivers = reply_due;
        // A former partner learns that its answers are no longer required, and no longer expects heartbeats.
        let former = self.partners.difference(&partners).filter_map(|vm| self.address_of(vm));
        receivers.extend(former.map(str::to_string));
        if announcing {
            let live = self.peers.values().filter(|peer| peer.live);
            receivers.extend(live.map(|peer| peer.address.clone()));
        }
        receivers.extend(wanted.iter().cloned());
        receivers.remove(&self.options.address);
        self.partners = partners;
        let live = self.peers.values().filter(|peer| peer.live);
        let known_peers: BTreeSet<&String> = live.map(|peer| &peer.address).collect();
        let receiver = |address: String| {
            let answer_wanted = wanted.contains(&address) || !known_peers.contains(&address);
            HeartbeatReceiver { address, answer_wanted }
        };
        receivers.into_iter().map(receiver).collect()
    }

    /// Returns the receivers in a small fleet. An unreachable peer may receive this daemon's frames while its own go
    /// into a dead connection. It notices only where this daemon redials, which the transport does for pending answers.
    fn mesh_receivers(&mut self) -> BTreeSet<HeartbeatReceiver> {
        let unreachable: Vec<&VmId> =
            self.peers.iter().filter(|(_, peer)| !peer.live).map(|(vm, _)| vm).collect();
        let asked: BTreeSet<&str> =
            unreachable.iter().filter_map(|vm| self.address_of(vm)).collect();
        let receiver = |address: String| {
            let answer_wanted = asked.contains(address.as_str());
            HeartbeatReceiver { address, answer_wanted }
        };
        let receivers = self.addresses().into_iter().map(receiver).collect();
        self.partners = unreachable.into_iter().cloned().collect();
        receivers
    }

    /// Updates which peers exchange every heartbeat with this daemon: the partners, and those that require answers.
    fn update_exchanges(&mut self, now: Uptime, partners: &BTreeSet<VmId>) {
        for (vm, peer) in &mut self.peers {
            let exchanges_all = peer.requires_answers || partners.contains(vm);
            peer.exchange_since = exchanges_all.then(|| peer.exchange_since.unwrap_or(now));
        }
    }

    /// Returns the addresses that a daemon tries that reaches no other: the seeds and the next of the known ones.
    fn addresses_to_try(&mut self) -> Vec<String> {
        let known = self.known_addresses.iter().cycle().skip(self.next_address);
        let tried = known.take(TRIED_ADDRESSES.min(self.known_addresses.len()));
        let tried: Vec<String> = tried.chain(&self.options.seeds).cloned().collect();
        self.next_address =
            (self.next_address + TRIED_ADDRESSES) % self.known_addresses.len().max(1);
        tried
    }
}
