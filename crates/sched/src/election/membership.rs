//! What a daemon knows of its peers, from their heartbeats.
//!
//! Owns: [`MemberView`], which the other modules here read and change. Relies on: heartbeats that may
//! be lost, repeated or late.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, DaemonRecord, Generation, Heartbeat, Incarnation, ObjectVersion, Uptime, VmId,
};

use crate::admission::shared_rate::{RatePart, RateTurn};

/// Heartbeats that go to everyone heard of after a daemon's start and after a change of what it can do.
/// The first one only opens connections.
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
    /// Suspicion time-out: a peer without heartbeats for so long counts as unreachable.
    pub suspect_after: Duration,
    /// Daemons up to which each sends every heartbeat to all others.
    pub mesh_limit: usize,
    /// Processor of this VM, in percent of a core; the strongest VMs schedule.
    pub capacity: u32,
    /// When this process started, by its own wall clock in some unit; among equals the longest running
    /// schedules, so that a daemon that comes back takes no role away. 0 where that does not count.
    pub started: u64,
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
    /// When its process started, by its own clock.
    pub started: u64,
    /// Whether it is reachable.
    pub live: bool,
    /// Whether it wants an answer to each of its heartbeats.
    pub(super) wants_answers: bool,
    pub(super) last_heard: Uptime,
    /// Since when this daemon exchanges every heartbeat with it, `None` where it does not.
    pub(super) near_since: Option<Uptime>,
}

impl PeerState {
    /// What a heartbeat says of its sender.
    fn from_heartbeat(now: Uptime, from: &DaemonId, beat: &Heartbeat) -> PeerState {
        PeerState {
            incarnation: from.incarnation,
            address: beat.address.clone(),
            data_centre: beat.data_centre.clone(),
            generation: beat.generation,
            table: beat.table,
            draining: beat.draining,
            stale: beat.stale,
            capacity: beat.capacity,
            started: beat.started,
            live: true,
            wants_answers: beat.answer_wanted,
            last_heard: now,
            near_since: None,
        }
    }

    /// Whether it was heard of within a time.
    pub(super) fn heard_within(&self, now: Uptime, limit: Duration) -> bool {
        now.saturating_sub(self.last_heard) < limit
    }

    /// Whether the peer can take the same roles as in another state.
    fn has_roles_of(&self, other: &PeerState) -> bool {
        self.incarnation == other.incarnation
            && self.live == other.live
            && self.draining == other.draining
            && self.stale == other.stale
            && self.capacity == other.capacity
    }
}

/// What a heartbeat tells beside what its sender is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatNews {
    /// The earlier daemon of its VM, which has ended.
    pub ended: Option<DaemonId>,
    /// Whether its sender was not known and wants to be answered; it gets a greeting at once.
    pub newcomer: bool,
}

/// A daemon's view of its peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberView {
    pub(super) me: DaemonId,
    pub(super) options: MemberOptions,
    pub(super) draining: bool,
    /// Whether this daemon's view of the platform is old.
    pub(super) stale: bool,
    pub(super) peers: BTreeMap<VmId, PeerState>,
    /// Daemons that the platform has recorded.
    pub(super) records: BTreeMap<VmId, DaemonRecord>,
    /// VMs whose daemons get each heartbeat and are to answer it.
    pub(super) partners: BTreeSet<VmId>,
    /// Recorded daemons that get heartbeats and were never heard of, and since when.
    pub(super) probes: BTreeMap<VmId, Uptime>,
    /// Those that did not answer, and since when they are passed over.
    pub(super) unanswered: BTreeMap<VmId, Uptime>,
    /// Addresses that the platform or peers have named.
    pub(super) known_addresses: BTreeSet<String>,
    /// Place in the peers from which the next heartbeat names addresses.
    pub(super) named: usize,
    /// Addresses that the latest heartbeat that named any named first.
    pub(super) first_named: Vec<String>,
    /// Whether the set of eligible daemons may have changed since it was last asked for.
    pub(super) changed: bool,
    /// Whether the platform has named the daemons that it knows.
    pub(super) records_known: bool,
    /// Addresses that get the next heartbeat in any case.
    pub(super) reply_due: BTreeSet<String>,
    /// Heartbeats that still go to everyone.
    pub(super) announced: u32,
    /// Heartbeats planned so far.
    pub(super) beats: u32,
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
            records: BTreeMap::new(),
            partners: BTreeSet::new(),
            probes: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            known_addresses: BTreeSet::new(),
            named: 0,
            first_named: Vec::new(),
            changed: true,
            records_known: false,
            reply_due: BTreeSet::new(),
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
        self.announce();
    }

    /// This daemon's view of the platform has become old or fresh. Returns whether that is a change.
    pub fn set_stale(&mut self, stale: bool) -> bool {
        let news = stale != self.stale;
        self.stale = stale;
        self.changed |= news;
        if news {
            self.announce();
        }
        news
    }

    /// Whether the next heartbeat goes to everyone heard of, and soon.
    pub fn is_announcing(&self) -> bool {
        self.announced > 0
    }

    /// The next heartbeats go to everyone heard of.
    pub(super) fn announce(&mut self) {
        self.announced = ANNOUNCED_BEATS;
    }

    /// Takes a heartbeat.
    pub fn heartbeat_received(
        &mut self,
        now: Uptime,
        from: &DaemonId,
        beat: &Heartbeat,
    ) -> HeartbeatNews {
        if from.vm == self.me.vm {
            return HeartbeatNews::default();
        }
        self.addresses_named(&beat.known);
        self.probes.remove(&from.vm);
        self.unanswered.remove(&from.vm);
        let mut peer = PeerState::from_heartbeat(now, from, beat);
        let earlier = self.peers.get(&from.vm);
        if let Some(moved) = earlier.filter(|earlier| earlier.address != beat.address) {
            self.known_addresses.remove(&moved.address);
        }
        peer.near_since = earlier.and_then(|earlier| earlier.near_since);
        let same_process = earlier.is_some_and(|earlier| earlier.incarnation == from.incarnation);
        let same_roles = earlier.is_some_and(|earlier| earlier.has_roles_of(&peer));
        let ended = earlier
            .filter(|_| !same_process)
            .map(|earlier| DaemonId { vm: from.vm.clone(), incarnation: earlier.incarnation });
        if beat.answer_wanted || !same_process {
            self.reply_due.insert(beat.address.clone());
        }
        self.changed |= !same_roles;
        self.peers.insert(from.vm.clone(), peer);
        self.known_addresses.insert(beat.address.clone());
        HeartbeatNews { ended, newcomer: !same_process && beat.answer_wanted }
    }

    /// A frame has arrived, whatever it holds: its sender lives.
    pub fn frame_received(&mut self, now: Uptime, from: &DaemonId) {
        let sender = self.peers.get_mut(&from.vm);
        if let Some(peer) = sender.filter(|peer| peer.incarnation == from.incarnation) {
            peer.last_heard = now;
        }
    }

    /// The part of what all daemons share that falls to those that this one reaches.
    pub fn reached_part(&self, now: Uptime) -> RatePart {
        let limit = self.options.suspect_after;
        let reached = self.peers.values().filter(|peer| peer.heard_within(now, limit)).count() + 1;
        RatePart { reached, all: self.fleet_size(), turn: RateTurn::Leader }
    }

    /// Known peers.
    pub fn peers(&self) -> &BTreeMap<VmId, PeerState> {
        &self.peers
    }

    /// Address of a peer, or of a recorded daemon that was not heard of.
    pub fn address_of(&self, vm: &VmId) -> Option<&str> {
        let heard = self.peers.get(vm).map(|peer| peer.address.as_str());
        heard.or_else(|| self.records.get(vm).map(|record| record.address.as_str()))
    }

    /// Whether the set of eligible daemons may have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }
}
