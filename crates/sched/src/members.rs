//! Which daemons are reachable, and which of them schedules a pool.
//!
//! Liveness decides only where to ask first; no promise depends on it.
//!
//! In a small fleet every daemon sends every heartbeat to all others. In a larger one it does so only
//! with the candidates, the first few daemons in the order of schedulers; to the rest it sends one in
//! [`FAR_BEATS`] of its heartbeats, so that its cost does not grow with the fleet.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::time::Duration;

use curlewcleat_core::{DaemonId, Generation, Heartbeat, Incarnation, ObjectVersion, Uptime, VmId};
use siphasher::sip::SipHasher13;

use crate::rate::{RatePart, RateTurn};

/// Silence after which a peer is forgotten altogether.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Daemons that there may be where nobody has named them yet.
const UNKNOWN_FLEET: usize = 16;

/// Known addresses that a heartbeat names, and heartbeats of which one does.
const KNOWN_EACH: usize = 4;
const KNOWN_EVERY: u32 = 4;

/// Daemons, first in the order of schedulers, with which all others exchange every heartbeat.
const CANDIDATES: usize = 4;

/// Heartbeats of which a daemon in a large fleet sends one to a peer that is no candidate.
const FAR_BEATS: u32 = 10;

/// Heartbeats that go to everyone after a daemon's birth and after a change of what it can do. The first
/// one only opens connections.
const ANNOUNCED_BEATS: u32 = 4;

/// Times and addresses of a member view.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberOptions {
    /// Own peer address.
    pub address: String,
    /// Own data centre.
    pub data_centre: String,
    /// Addresses to begin with.
    pub seeds: Vec<String>,
    /// Silence after which a peer counts as unreachable.
    pub suspect_after: Duration,
    /// Daemons up to which each sends every heartbeat to all others.
    pub mesh_limit: usize,
    /// Processor of this VM, in percent of a core; the strongest VMs schedule.
    pub capacity: u32,
    /// When this process was born, by its own wall clock in some unit; among equals the oldest schedules,
    /// so that a daemon that comes back takes no role away. 0 where that does not count.
    pub born: u64,
}

/// What is known of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerState {
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Where it receives frames.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Configuration in force there.
    pub generation: Generation,
    /// Key table known there.
    pub table: ObjectVersion,
    /// Whether it takes no role.
    pub draining: bool,
    /// Whether its view of the platform is old.
    pub stale: bool,
    /// Processor of its VM, in percent of a core.
    pub capacity: u32,
    /// When its process was born, by its own word.
    pub born: u64,
    /// Whether it is reachable.
    pub live: bool,
    last_heard: Uptime,
    /// Since when this daemon exchanges every heartbeat with it, `None` where it does not.
    near_since: Option<Uptime>,
}

impl PeerState {
    /// Whether it was heard of within a time.
    fn heard_within(&self, now: Uptime, limit: Duration) -> bool {
        now.saturating_sub(self.last_heard) < limit
    }
}

/// A heartbeat's receiver.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BeatReceiver {
    /// Its `ip:port`.
    pub address: String,
    /// Whether it is to send a heartbeat back.
    pub answer_wanted: bool,
}

/// A daemon's view of its peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberView {
    me: DaemonId,
    options: MemberOptions,
    draining: bool,
    /// Whether this daemon's view of the platform is old.
    stale: bool,
    peers: BTreeMap<VmId, PeerState>,
    hinted: BTreeSet<String>,
    /// Place in the peers from which the next heartbeat names addresses.
    named: usize,
    /// Whether the set of role takers may have changed since it was last asked for.
    changed: bool,
    /// Whether the platform has named the daemons that it knows.
    records_known: bool,
    /// Addresses that get the next heartbeat whatever the plan says.
    due: BTreeSet<String>,
    /// Heartbeats that still go to everyone.
    announced: u32,
    /// Heartbeats planned so far.
    beats: u32,
}

impl MemberView {
    /// A view without peers.
    pub fn new(me: DaemonId, options: MemberOptions) -> MemberView {
        MemberView {
            me,
            options,
            draining: false,
            stale: false,
            peers: BTreeMap::new(),
            hinted: BTreeSet::new(),
            named: 0,
            changed: true,
            records_known: false,
            due: BTreeSet::new(),
            announced: ANNOUNCED_BEATS,
            beats: 0,
        }
    }

    /// This daemon.
    pub fn me(&self) -> &DaemonId {
        &self.me
    }

    /// This daemon takes no role from now on.
    pub fn set_draining(&mut self) {
        self.draining = true;
        self.changed = true;
        self.announced = ANNOUNCED_BEATS;
    }

    /// This daemon's view of the platform is old, or is not any more. Returns whether that is news.
    pub fn set_stale(&mut self, stale: bool) -> bool {
        let news = stale != self.stale;
        self.stale = stale;
        self.changed |= news;
        if news {
            self.announced = ANNOUNCED_BEATS;
        }
        news
    }

    /// Takes a heartbeat. Returns the daemon that ended, where the VM has started a new one.
    pub fn heard(&mut self, now: Uptime, from: &DaemonId, beat: &Heartbeat) -> Option<DaemonId> {
        if from.vm == self.me.vm {
            return None;
        }
        self.hint(beat.known.clone(), false);
        let known = self.peers.get(&from.vm).map(|peer| peer.incarnation);
        if beat.answer_wanted || known != Some(from.incarnation) {
            self.due.insert(beat.address.clone());
        }
        let ended = match self.peers.get(&from.vm) {
            Some(peer) if peer.incarnation != from.incarnation => {
                Some(DaemonId { vm: from.vm.clone(), incarnation: peer.incarnation })
            }
            _ => None,
        };
        let state = PeerState {
            incarnation: from.incarnation,
            address: beat.address.clone(),
            data_centre: beat.data_centre.clone(),
            generation: beat.generation,
            table: beat.table,
            draining: beat.draining,
            stale: beat.stale,
            capacity: beat.capacity,
            born: beat.born,
            live: true,
            last_heard: now,
            near_since: self.peers.get(&from.vm).and_then(|peer| peer.near_since),
        };
        let earlier = self.peers.insert(from.vm.clone(), state);
        let role = |peer: &PeerState| {
            (peer.incarnation, peer.live, peer.draining, peer.stale, peer.capacity)
        };
        let present = (from.incarnation, true, beat.draining, beat.stale, beat.capacity);
        self.changed |= earlier.as_ref().map(role) != Some(present);
        ended
    }

    /// Addresses at which daemons may live; `complete` where they are all that the platform has.
    pub fn hint(&mut self, addresses: Vec<String>, complete: bool) {
        for address in addresses {
            let own = address == self.options.address;
            if !own && self.hinted.insert(address.clone()) && !self.is_heard(&address) {
                self.due.insert(address);
            }
        }
        self.records_known |= complete;
        if complete {
            self.announced = ANNOUNCED_BEATS;
        }
    }

    /// Whether the next heartbeat goes to everyone, and soon.
    pub fn is_announcing(&self) -> bool {
        self.announced > 0
    }

    fn is_heard(&self, address: &str) -> bool {
        self.peers.values().any(|peer| peer.address == address)
    }

    /// Whether every heartbeat goes to all others.
    fn is_mesh(&self) -> bool {
        self.fleet_size() <= self.options.mesh_limit
    }

    /// Silence after which a peer counts as unreachable. Where nobody at all is heard of, what is far
    /// away is not waited for.
    fn is_silent(&self, now: Uptime, peer: &PeerState, mesh: bool, alone: bool) -> bool {
        let limit = self.options.suspect_after;
        match peer.near_since {
            _ if mesh || alone => !peer.heard_within(now, limit),
            Some(since) => now.saturating_sub(peer.last_heard.max(since)) >= limit,
            None => !peer.heard_within(now, limit * FAR_BEATS),
        }
    }

    /// Lets time pass. Returns the daemons that became unreachable.
    pub fn tick(&mut self, now: Uptime) -> Vec<DaemonId> {
        let limit = self.options.suspect_after;
        let mesh = self.is_mesh();
        let alone = !self.peers.values().any(|peer| peer.heard_within(now, limit));
        let silent = self.peers.iter().filter(|(_, peer)| peer.live);
        let silent = silent.filter(|(_, peer)| self.is_silent(now, peer, mesh, alone));
        let silent: Vec<VmId> = silent.map(|(vm, _)| vm.clone()).collect();
        let mut lost = Vec::new();
        for vm in silent {
            let Some(peer) = self.peers.get_mut(&vm) else { continue };
            peer.live = false;
            self.changed = true;
            lost.push(DaemonId { vm, incarnation: peer.incarnation });
        }
        let forgotten = |peer: &PeerState| now.saturating_sub(peer.last_heard) >= FORGET_AFTER;
        let addresses: Vec<String> = self
            .peers
            .values()
            .filter(|peer| forgotten(peer))
            .map(|peer| peer.address.clone())
            .collect();
        for address in addresses {
            self.hinted.remove(&address);
        }
        self.peers.retain(|_, peer| !forgotten(peer));
        lost
    }

    /// The heartbeat to send. Now and then it names a few known addresses, others each time, so that its
    /// length does not grow with the fleet.
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
            born: self.options.born,
            answer_wanted: false,
            known: known.map(|address| address.to_string()).collect(),
        };
        self.named = begin + named;
        beat
    }

    /// Who gets the heartbeat that is sent now. `order` is that of the schedulers.
    pub fn beat_receivers(&mut self, now: Uptime, order: &[DaemonId]) -> BTreeSet<BeatReceiver> {
        self.beats = self.beats.wrapping_add(1);
        let due = std::mem::take(&mut self.due);
        let announced = self.is_announcing();
        self.announced = self.announced.saturating_sub(1);
        if self.is_mesh() {
            let receiver = |address| BeatReceiver { address, answer_wanted: false };
            return self.addresses().into_iter().map(receiver).collect();
        }
        self.renew_near(now, order);
        let near: BTreeSet<&String> = self.near_peers().map(|peer| &peer.address).collect();
        let slot = self.beats % FAR_BEATS;
        let mut receivers = BTreeSet::new();
        for address in self.addresses() {
            let answer_wanted = near.contains(&address);
            let its_turn = address_slot(&self.me.vm, &address) == slot;
            if answer_wanted || announced || its_turn || due.contains(&address) {
                receivers.insert(BeatReceiver { address, answer_wanted });
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

    /// Addresses that heartbeats go to.
    pub fn addresses(&self) -> BTreeSet<String> {
        let peers = self.peers.values().map(|peer| peer.address.clone());
        let mut addresses: BTreeSet<String> =
            peers.chain(self.options.seeds.iter().cloned()).collect();
        addresses.extend(self.hinted.iter().cloned());
        addresses.remove(&self.options.address);
        addresses
    }

    /// The part of what all daemons share that falls to those that this one reaches.
    pub fn reached_part(&self, now: Uptime) -> RatePart {
        let limit = self.options.suspect_after;
        let reached = self.peers.values().filter(|peer| peer.heard_within(now, limit)).count() + 1;
        RatePart { reached, all: self.fleet_size(), turn: RateTurn::Leader }
    }

    /// Daemons that there may be, this one among them. Until the recorded ones are known there may be
    /// more than have been heard of.
    pub fn fleet_size(&self) -> usize {
        let known = self.addresses().len() + 1;
        match self.records_known {
            true => known,
            false => known.max(UNKNOWN_FLEET),
        }
    }

    /// Known peers.
    pub fn peers(&self) -> &BTreeMap<VmId, PeerState> {
        &self.peers
    }

    /// Address of a peer.
    pub fn address_of(&self, vm: &VmId) -> Option<&str> {
        self.peers.get(vm).map(|peer| peer.address.as_str())
    }

    /// Whether the set of role takers may have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Reachable daemons that take roles, this one among them.
    pub fn role_takers(&self) -> Vec<DaemonId> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.live && !peer.draining);
        let mut takers: Vec<DaemonId> = peers
            .map(|(vm, peer)| DaemonId { vm: vm.clone(), incarnation: peer.incarnation })
            .collect();
        if !self.draining {
            takers.push(self.me.clone());
        }
        takers.sort();
        takers
    }

    fn is_stale(&self, taker: &DaemonId) -> bool {
        match self.peers.get(&taker.vm) {
            Some(peer) => peer.stale,
            None => self.stale,
        }
    }

    fn capacity_of(&self, taker: &DaemonId) -> u32 {
        self.peers.get(&taker.vm).map_or(self.options.capacity, |peer| peer.capacity)
    }

    fn born_of(&self, taker: &DaemonId) -> u64 {
        self.peers.get(&taker.vm).map_or(self.options.born, |peer| peer.born)
    }

    /// Daemons to ask for permits of a pool, best first; this one is last if nobody takes roles. Those on
    /// the strongest VMs go first, since whoever schedules has a part in every request, and of these the
    /// oldest.
    pub fn scheduler_order(&self, pool: &str) -> Vec<DaemonId> {
        let mut takers = self.role_takers();
        takers.sort_by_cached_key(|taker| {
            let weight = rendezvous_weight(pool, &taker.vm);
            let strength = Reverse(self.capacity_of(taker));
            (self.is_stale(taker), strength, self.born_of(taker), Reverse(weight))
        });
        if takers.is_empty() {
            takers.push(self.me.clone());
        }
        takers
    }
}

/// The beat, of [`FAR_BEATS`], at which a VM sends to an address; spread evenly over both.
fn address_slot(vm: &str, address: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(vm.as_bytes());
    hasher.write_u8(0);
    hasher.write(address.as_bytes());
    (hasher.finish() % u64::from(FAR_BEATS)) as u32
}

/// Weight of a VM for a subject in highest-random-weight hashing; the same on every daemon.
fn rendezvous_weight(subject: &str, vm: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(subject.as_bytes());
    hasher.write_u8(0);
    hasher.write(vm.as_bytes());
    hasher.finish()
}
