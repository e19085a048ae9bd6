//! Who gets a heartbeat, and what does it say?
//!
//! Inputs: the addresses, the order of schedulers, the number of heartbeats sent. The rule: up to
//! `mesh_limit` daemons, every heartbeat goes to all. In a larger fleet it goes to the candidates (the
//! first [`CANDIDATES`] in the order of schedulers), from a candidate to all, to the rest one in
//! [`FAR_BEATS`], and to whoever waits for a reply; so the cost of a daemon grows by a tenth of a
//! heartbeat with each further one. After a start and after a change of role the next ones go to
//! everyone ([`MemberView::is_announcing`]). docs/MEASUREMENTS.md, "two readers, sparse heartbeats,
//! strongest schedule".
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::collections::BTreeSet;

use curlewcleat_core::{DaemonId, Generation, Heartbeat, ObjectVersion, Uptime, VmId};

use super::membership::{MemberView, PeerState};
use super::order::hash_of_pair;

/// Known addresses that a heartbeat names, so that its length does not grow with the fleet. Chosen, not
/// measured.
const KNOWN_EACH: usize = 4;
/// One heartbeat in this many names addresses. Chosen, not measured.
const KNOWN_EVERY: u32 = 4;
/// Daemons, first in the order of schedulers, with which all others exchange every heartbeat. Chosen,
/// not measured: the scheduler, its deputy and one more for each.
const CANDIDATES: usize = 4;
/// One heartbeat in this many goes to a peer that is no candidate. Chosen, not measured.
pub const FAR_BEATS: u32 = 10;

/// A heartbeat's receiver.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeartbeatReceiver {
    /// Its `ip:port`.
    pub address: String,
    /// Whether it is to send a heartbeat back.
    pub answer_wanted: bool,
}

impl MemberView {
    /// Whether every heartbeat goes to all others.
    pub(super) fn is_mesh(&self) -> bool {
        self.fleet_size() <= self.options.mesh_limit
    }

    /// The heartbeat to send. Now and then it names a few known addresses, others each time.
    pub fn heartbeat(&mut self, generation: Generation, table: ObjectVersion) -> Heartbeat {
        let live: Vec<&String> =
            self.peers.values().filter(|peer| peer.live).map(|peer| &peer.address).collect();
        let begin = if live.is_empty() { 0 } else { self.named % live.len() };
        let named = match self.is_announcing() || self.beats.is_multiple_of(KNOWN_EVERY) {
            true => live.len().min(KNOWN_EACH),
            false => 0,
        };
        let known = live.iter().cycle().skip(begin).take(named);
        let beat = Heartbeat {
            address: self.options.address.clone(),
            data_centre: self.options.data_centre.clone(),
            generation,
            table,
            draining: self.draining,
            stale: self.stale,
            capacity: self.options.capacity,
            started: self.options.started,
            answer_wanted: false,
            known: known.map(|address| address.to_string()).collect(),
        };
        self.named = begin + named;
        beat
    }

    /// Who gets the heartbeat that is sent now. `order` is that of the schedulers.
    pub fn heartbeat_receivers(
        &mut self,
        now: Uptime,
        order: &[DaemonId],
    ) -> BTreeSet<HeartbeatReceiver> {
        self.beats = self.beats.wrapping_add(1);
        let reply_due = std::mem::take(&mut self.reply_due);
        let announced = self.is_announcing();
        self.announced = self.announced.saturating_sub(1);
        if self.is_mesh() {
            let receiver = |address| HeartbeatReceiver { address, answer_wanted: false };
            return self.addresses().into_iter().map(receiver).collect();
        }
        self.renew_near(now, order);
        let near: BTreeSet<&String> = self.near_peers().map(|peer| &peer.address).collect();
        let slot = self.beats % FAR_BEATS;
        let mut receivers = BTreeSet::new();
        for address in self.addresses() {
            let answer_wanted = near.contains(&address);
            let its_turn = address_slot(&self.me.vm, &address) == slot;
            if answer_wanted || announced || its_turn || reply_due.contains(&address) {
                receivers.insert(HeartbeatReceiver { address, answer_wanted });
            }
        }
        receivers
    }

    /// Peers with which every heartbeat is exchanged: the candidates, and for a candidate all others.
    fn renew_near(&mut self, now: Uptime, order: &[DaemonId]) {
        let candidates: BTreeSet<&VmId> =
            order.iter().take(CANDIDATES).map(|daemon| &daemon.vm).collect();
        let is_candidate = candidates.contains(&self.me.vm);
        for (vm, peer) in &mut self.peers {
            let near = is_candidate || candidates.contains(vm);
            peer.near_since = near.then(|| peer.near_since.unwrap_or(now));
        }
    }

    fn near_peers(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter(|peer| peer.near_since.is_some())
    }
}

/// The heartbeat, of [`FAR_BEATS`], at which a VM sends to an address; spread evenly over both.
fn address_slot(vm: &str, address: &str) -> u32 {
    (hash_of_pair(vm, address) % u64::from(FAR_BEATS)) as u32
}
