//! Keeps the state of the peers, as their heartbeats report it.
//!
//! Owns: [`MemberView`], which the other modules here read and change. Relies on: heartbeats, which may be lost,
//! repeated or late.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, DaemonRecord, DataCentreId, Generation, Heartbeat, Incarnation, ObjectVersion,
    Uptime, VmId,
};

/// Number of heartbeats that go to all reachable peers after the start of a daemon and after a change of its roles. The
/// first one only opens connections.
const ANNOUNCEMENT_HEARTBEATS: u32 = 4;

/// Times and addresses of a member view.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberOptions {
    /// Peer address of this daemon.
    pub address: String,
    /// Data centre of this daemon.
    pub data_centre: DataCentreId,
    /// Addresses that are known at the start.
    pub seeds: Vec<String>,
    /// Suspicion timeout: a peer without heartbeats for this long counts as unreachable.
    pub suspect_after: Duration,
    /// Fleet size up to which each daemon sends every heartbeat to all others.
    pub mesh_limit: usize,
    /// Processor capacity of this VM, in percent of a core; the strongest VMs schedule.
    pub capacity: u32,
    /// When this process started, by its own wall clock in any unit; among equals the longest running schedules, so
    /// that a restarted daemon takes no role away. 0 if the start is not to count.
    pub started: u64,
}

/// State of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerState {
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address at which it receives frames.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Generation of the configuration in force there.
    pub generation: Generation,
    /// Version of the key table known there.
    pub table: ObjectVersion,
    /// Whether it takes no role.
    pub draining: bool,
    /// Whether its view of the platform is stale.
    pub stale: bool,
    /// Processor capacity of its VM, in percent of a core.
    pub capacity: u32,
    /// When its process started, by its own clock.
    pub started: u64,
    /// Whether it is reachable.
    pub live: bool,
    /// Whether it requires an answer to each of its heartbeats.
    pub(super) requires_answers: bool,
    /// Whether its heartbeats show that it receives this daemon's.
    pub(super) hears_me: bool,
    pub(super) last_received: Uptime,
    /// Since when this daemon exchanges every heartbeat with it, `None` if it does not.
    pub(super) exchange_since: Option<Uptime>,
}

impl PeerState {
    /// Returns the state that a heartbeat reports of its sender.
    fn from_heartbeat(now: Uptime, from: &DaemonId, heartbeat: &Heartbeat) -> PeerState {
        PeerState {
            incarnation: from.incarnation,
            address: heartbeat.address.clone(),
            data_centre: heartbeat.data_centre.clone(),
            generation: heartbeat.generation,
            table: heartbeat.table,
            draining: heartbeat.draining,
            stale: heartbeat.stale,
            capacity: heartbeat.capacity,
            started: heartbeat.started,
            live: true,
            requires_answers: heartbeat.answer_wanted,
            hears_me: true,
            last_received: now,
            exchange_since: None,
        }
    }

    /// Returns whether a frame of it arrived within this time.
    pub(super) fn active_within(&self, now: Uptime, limit: Duration) -> bool {
        now.saturating_sub(self.last_received) < limit
    }

    /// Returns whether the peer can take the same roles as in another state.
    fn has_same_roles(&self, other: &PeerState) -> bool {
        self.incarnation == other.incarnation
            && self.live == other.live
            && self.draining == other.draining
            && self.stale == other.stale
            && self.capacity == other.capacity
    }
}

/// What a heartbeat changes besides the state of its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatChange {
    /// The previous daemon on its VM, which has ended.
    pub ended: Option<DaemonId>,
    /// Whether its sender counted as unreachable until now.
    pub returned: bool,
    /// Whether its sender was not known and requires an answer; it gets a greeting at once.
    pub newcomer: bool,
}

/// A daemon's view of its peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberView {
    pub(super) me: DaemonId,
    pub(super) options: MemberOptions,
    pub(super) draining: bool,
    /// Whether this daemon's view of the platform is stale.
    pub(super) stale: bool,
    pub(super) peers: BTreeMap<VmId, PeerState>,
    /// Daemons that the platform has recorded.
    pub(super) records: BTreeMap<VmId, DaemonRecord>,
    /// VMs whose daemons get each heartbeat and are to answer it.
    pub(super) partners: BTreeSet<VmId>,
    /// Recorded daemons that get heartbeats and have sent none yet, and since when.
    pub(super) probes: BTreeMap<VmId, Uptime>,
    /// Recorded daemons that did not answer, and since when they are skipped.
    pub(super) unanswered: BTreeMap<VmId, Uptime>,
    /// Addresses that the platform or peers have reported.
    pub(super) known_addresses: BTreeSet<String>,
    /// Position in the addresses from which the next heartbeat continues.
    pub(super) next_address: usize,
    /// Addresses of the first daemons in the order of schedulers, as sent in the latest heartbeat that contained them.
    pub(super) first_sent: Vec<String>,
    /// Whether the set of eligible daemons may have changed since it was last read.
    pub(super) changed: bool,
    /// Whether the platform has listed its records.
    pub(super) records_known: bool,
    /// Addresses that get the next heartbeat in any case.
    pub(super) reply_due: BTreeSet<String>,
    /// Number of heartbeats that still go to all reachable peers.
    pub(super) announcements_due: u32,
    /// Number of heartbeats planned so far.
    pub(super) heartbeats_planned: u32,
}

impl MemberView {
    /// Returns a view without peers.
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
            next_address: 0,
            first_sent: Vec::new(),
            changed: true,
            records_known: false,
            reply_due: BTreeSet::new(),
            announcements_due: ANNOUNCEMENT_HEARTBEATS,
            heartbeats_planned: 0,
        }
    }

    /// Returns the id of this daemon.
    pub fn me(&self) -> &DaemonId {
        &self.me
    }

    /// Records that this daemon takes no role from now on.
    pub fn set_draining(&mut self) {
        self.draining = true;
        self.changed = true;
        self.announce();
    }

    /// Records whether this daemon's view of the platform is stale. Returns whether the state changed.
    pub fn set_stale(&mut self, stale: bool) -> bool {
        let changed = stale != self.stale;
        self.stale = stale;
        self.changed |= changed;
        if changed {
            self.announce();
        }
        changed
    }

    /// Returns whether the next heartbeat goes to all reachable peers, without delay.
    pub fn is_announcing(&self) -> bool {
        self.announcements_due > 0
    }

    /// Makes the next heartbeats go to all reachable peers.
    pub(super) fn announce(&mut self) {
        self.announcements_due = ANNOUNCEMENT_HEARTBEATS;
    }

    /// Records a heartbeat.
    pub fn heartbeat_received(
        &mut self,
        now: Uptime,
        from: &DaemonId,
        heartbeat: &Heartbeat,
    ) -> HeartbeatChange {
        if from.vm == self.me.vm {
            return HeartbeatChange::default();
        }
        self.add_reported_addresses(&heartbeat.known);
        self.probes.remove(&from.vm);
        self.unanswered.remove(&from.vm);
        let mut peer = PeerState::from_heartbeat(now, from, heartbeat);
        let earlier = self.peers.get(&from.vm);
        if let Some(moved) = earlier.filter(|earlier| earlier.address != heartbeat.address) {
            self.known_addresses.remove(&moved.address);
        }
        peer.exchange_since = earlier.and_then(|earlier| earlier.exchange_since);
        let same_process = earlier.is_some_and(|earlier| earlier.incarnation == from.incarnation);
        let returned = same_process && earlier.is_some_and(|earlier| !earlier.live);
        peer.hears_me = self.is_heard_by(earlier.filter(|_| same_process), heartbeat);
        let same_roles = earlier.is_some_and(|earlier| earlier.has_same_roles(&peer));
        let ended = earlier
            .filter(|_| !same_process)
            .map(|earlier| DaemonId { vm: from.vm.clone(), incarnation: earlier.incarnation });
        if heartbeat.answer_wanted || !same_process {
            self.reply_due.insert(heartbeat.address.clone());
        }
        self.changed |= !same_roles;
        self.peers.insert(from.vm.clone(), peer);
        self.known_addresses.insert(heartbeat.address.clone());
        HeartbeatChange { ended, returned, newcomer: !same_process && heartbeat.answer_wanted }
    }

    /// Records that a frame of any kind has arrived, so that its sender counts as reachable.
    pub fn frame_received(&mut self, now: Uptime, from: &DaemonId) {
        let sender = self.peers.get_mut(&from.vm);
        if let Some(peer) = sender.filter(|peer| peer.incarnation == from.incarnation) {
            peer.last_received = now;
        }
    }

    /// Returns the known peers.
    pub fn peers(&self) -> &BTreeMap<VmId, PeerState> {
        &self.peers
    }

    /// Returns the daemons that the platform has recorded.
    pub fn records(&self) -> &BTreeMap<VmId, DaemonRecord> {
        &self.records
    }

    /// Returns the address of a peer, or of a recorded daemon that is not a peer yet.
    pub fn address_of(&self, vm: &VmId) -> Option<&str> {
        let peer = self.peers.get(vm).map(|peer| peer.address.as_str());
        peer.or_else(|| self.records.get(vm).map(|record| record.address.as_str()))
    }

    /// Returns whether the set of eligible daemons may have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }
}
