//! Who gets a heartbeat, and what does it say?
//!
//! Inputs: the addresses, the order of schedulers, the number of heartbeats sent. The rule: up to
//! `mesh_limit` daemons, every heartbeat goes to all. In a larger fleet it goes to the candidates
//! ([`candidates`](super::candidates)) and to whoever waits for a reply, so that what an ordinary daemon
//! sends does not grow with the fleet; a daemon that hears no other tries the seeds and some known
//! addresses besides. After a start and after a change of role the next ones go to everyone heard of
//! ([`MemberView::is_announcing`]), which for a candidate is everyone.
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::collections::BTreeSet;

use curlewcleat_core::{Generation, Heartbeat, ObjectVersion, Uptime, VmId};

use super::candidates::{ALL_POOLS, CANDIDATES};
use super::membership::MemberView;

/// Known addresses that a heartbeat names, so that its length does not grow with the fleet.
const KNOWN_EACH: usize = 4;
/// One heartbeat in this many names addresses.
const KNOWN_EVERY: u32 = 4;
/// Known addresses that a daemon that hears no other tries with a heartbeat: few, since they may all be cut off.
const TRIED_EACH: usize = 2;

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

    /// The heartbeat to send. Now and then it names a few known addresses: in a small fleet others each
    /// time, in a large one those of the daemons that are asked first, and at once where these change.
    pub fn heartbeat(&mut self, generation: Generation, table: ObjectVersion) -> Heartbeat {
        let due = self.is_announcing() || self.beats.is_multiple_of(KNOWN_EVERY);
        let known = match (due, self.is_mesh()) {
            (true, true) => self.next_addresses(),
            (false, true) => Vec::new(),
            (due, false) => self.first_addresses_if(due),
        };
        self.heartbeat_naming(known, generation, table)
    }

    /// The first addresses, where they are due or others than were named last.
    fn first_addresses_if(&mut self, due: bool) -> Vec<String> {
        let first = self.first_addresses();
        if !due && first == self.first_named {
            return Vec::new();
        }
        self.first_named.clone_from(&first);
        first
    }

    /// The answer to a daemon that was not known: it names all known addresses, those of the daemons that
    /// are asked first before the others.
    pub fn greeting(&self, generation: Generation, table: ObjectVersion) -> Heartbeat {
        let mut known = self.first_addresses();
        let others = self.known_addresses.iter().filter(|address| !known.contains(address));
        let others: Vec<String> = others.cloned().collect();
        known.extend(others);
        self.heartbeat_naming(known, generation, table)
    }

    fn heartbeat_naming(
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
        let begin = if live.is_empty() { 0 } else { self.named % live.len() };
        let named = live.len().min(KNOWN_EACH);
        let known = live.iter().cycle().skip(begin).take(named);
        let known = known.map(|address| address.to_string()).collect();
        self.named = begin + named;
        known
    }

    /// Addresses of the daemons that this one would ask first, as far as it has heard of them.
    fn first_addresses(&self) -> Vec<String> {
        let order = self.candidate_order(ALL_POOLS);
        let heard = order.iter().filter_map(|daemon| self.peers.get(&daemon.vm));
        heard.take(CANDIDATES).map(|peer| peer.address.clone()).collect()
    }

    /// Who gets the heartbeat that is sent now.
    pub fn heartbeat_receivers(&mut self, now: Uptime) -> BTreeSet<HeartbeatReceiver> {
        self.beats = self.beats.wrapping_add(1);
        let reply_due = std::mem::take(&mut self.reply_due);
        let announced = self.is_announcing();
        self.announced = self.announced.saturating_sub(1);
        if self.is_mesh() {
            let receiver = |address| HeartbeatReceiver { address, answer_wanted: false };
            return self.addresses().into_iter().map(receiver).collect();
        }
        let partners = self.exchange_partners();
        self.probe(now, &partners);
        self.renew_near(now, &partners);
        let mut wanted: BTreeSet<String> =
            partners.iter().filter_map(|vm| self.address_of(vm)).map(str::to_string).collect();
        if wanted.is_empty() || self.is_cut_off() {
            wanted.extend(self.tried_addresses());
        }
        let mut receivers = reply_due;
        // A former partner learns that nothing more is expected of it, and expects nothing more.
        let former = self.partners.difference(&partners).filter_map(|vm| self.address_of(vm));
        receivers.extend(former.map(str::to_string));
        if announced {
            let live = self.peers.values().filter(|peer| peer.live);
            receivers.extend(live.map(|peer| peer.address.clone()));
        }
        receivers.extend(wanted.iter().cloned());
        receivers.remove(&self.options.address);
        self.partners = partners;
        let live = self.peers.values().filter(|peer| peer.live);
        let heard: BTreeSet<&String> = live.map(|peer| &peer.address).collect();
        let receiver = |address: String| {
            let answer_wanted = wanted.contains(&address) || !heard.contains(&address);
            HeartbeatReceiver { address, answer_wanted }
        };
        receivers.into_iter().map(receiver).collect()
    }

    /// Peers with which every heartbeat is exchanged: the partners, and those that want answers.
    fn renew_near(&mut self, now: Uptime, partners: &BTreeSet<VmId>) {
        for (vm, peer) in &mut self.peers {
            let near = peer.wants_answers || partners.contains(vm);
            peer.near_since = near.then(|| peer.near_since.unwrap_or(now));
        }
    }

    /// Addresses that a daemon tries that hears no other: the seeds and some known ones in turn.
    fn tried_addresses(&mut self) -> Vec<String> {
        let known = self.known_addresses.iter().cycle().skip(self.named);
        let tried = known.take(TRIED_EACH.min(self.known_addresses.len()));
        let tried: Vec<String> = tried.chain(&self.options.seeds).cloned().collect();
        self.named = (self.named + TRIED_EACH) % self.known_addresses.len().max(1);
        tried
    }
}
