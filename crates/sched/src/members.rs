//! Which daemons are reachable, and which of them schedules a pool.
//!
//! Liveness decides only where to ask first; no promise depends on it.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::time::Duration;

use curlewcleat_core::{DaemonId, Generation, Heartbeat, Incarnation, ObjectVersion, Uptime, VmId};
use siphasher::sip::SipHasher13;

use crate::rate::RatePart;

/// Silence after which a peer is forgotten altogether.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Daemons that there may be where nobody has named them yet.
const UNKNOWN_FLEET: usize = 16;

/// Known addresses that one heartbeat names.
const KNOWN_EACH: usize = 4;

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
    /// Whether it is reachable.
    pub live: bool,
    last_heard: Uptime,
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
    }

    /// This daemon's view of the platform is old, or is not any more. Returns whether that is news.
    pub fn set_stale(&mut self, stale: bool) -> bool {
        let news = stale != self.stale;
        self.stale = stale;
        self.changed |= news;
        news
    }

    /// Takes a heartbeat. Returns the daemon that ended, where the VM has started a new one.
    pub fn heard(&mut self, now: Uptime, from: &DaemonId, beat: &Heartbeat) -> Option<DaemonId> {
        if from.vm == self.me.vm {
            return None;
        }
        let known = beat.known.iter().filter(|address| **address != self.options.address);
        self.hinted.extend(known.cloned());
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
            live: true,
            last_heard: now,
        };
        let earlier = self.peers.insert(from.vm.clone(), state);
        let role = |peer: &PeerState| (peer.incarnation, peer.live, peer.draining, peer.stale);
        let present = (from.incarnation, true, beat.draining, beat.stale);
        self.changed |= earlier.as_ref().map(role) != Some(present);
        ended
    }

    /// Addresses at which daemons may live; `complete` where they are all that the platform has.
    pub fn hint(&mut self, addresses: Vec<String>, complete: bool) {
        let others = addresses.into_iter().filter(|address| *address != self.options.address);
        self.hinted.extend(others);
        self.records_known |= complete;
    }

    /// Lets time pass. Returns the daemons that became unreachable.
    pub fn tick(&mut self, now: Uptime) -> Vec<DaemonId> {
        let mut lost = Vec::new();
        for (vm, peer) in &mut self.peers {
            if peer.live && now.saturating_sub(peer.last_heard) >= self.options.suspect_after {
                peer.live = false;
                self.changed = true;
                lost.push(DaemonId { vm: vm.clone(), incarnation: peer.incarnation });
            }
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

    /// The heartbeat to send. It names a few known addresses, others each time, so that its length
    /// does not grow with the fleet.
    pub fn heartbeat(&mut self, generation: Generation, table: ObjectVersion) -> Heartbeat {
        let live: Vec<&String> =
            self.peers.values().filter(|peer| peer.live).map(|peer| &peer.address).collect();
        let begin = if live.is_empty() { 0 } else { self.named % live.len() };
        let known = live.iter().cycle().skip(begin).take(live.len().min(KNOWN_EACH));
        let beat = Heartbeat {
            address: self.options.address.clone(),
            data_centre: self.options.data_centre.clone(),
            generation,
            table,
            draining: self.draining,
            stale: self.stale,
            known: known.map(|address| address.to_string()).collect(),
        };
        self.named = begin + KNOWN_EACH;
        beat
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
    pub fn reached_part(&self) -> RatePart {
        let reached = self.peers.values().filter(|peer| peer.live).count() + 1;
        RatePart { reached, all: self.fleet_size(), leads: true }
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

    /// Daemons to ask for permits of a pool, best first; this one is last if nobody takes roles.
    pub fn scheduler_order(&self, pool: &str) -> Vec<DaemonId> {
        let mut takers = self.role_takers();
        takers.sort_by_key(|taker| {
            (self.is_stale(taker), std::cmp::Reverse(rendezvous_weight(pool, &taker.vm)))
        });
        if takers.is_empty() {
            takers.push(self.me.clone());
        }
        takers
    }
}

/// Weight of a VM for a subject in highest-random-weight hashing; the same on every daemon.
fn rendezvous_weight(subject: &str, vm: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(subject.as_bytes());
    hasher.write_u8(0);
    hasher.write(vm.as_bytes());
    hasher.finish()
}
