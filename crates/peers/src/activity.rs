//! Decides when a connection to a peer is dead and must be redialed.
//!
//! Frames go only one way on a connection. A connection that died without a reset accepts frames for as long as the
//! process lives, and its sender cannot detect this on the connection itself. The sender detects it by the frames that
//! it receives on the peer's connection in the other direction.
//!
//! Inputs: when this daemon dialed the peer, when it last received a frame from the peer, and when the peer redialed. A
//! connection is redialed in two cases:
//!
//! - Nothing was received from the peer for the limit, counted from the last frame or the dialing, whichever is later.
//! - The peer itself redialed, at least the limit after this daemon dialed. The peer does so where it received nothing.
//!   This covers a connection that fails in one direction only.
//!
//! Two daemons that lose each other at the same time redial within one heartbeat interval of each other, which is
//! shorter than the limit. Neither therefore redials in reaction to the other.
//!
//! A peer from which no answer is pending ([`PendingAnswers`](crate::PendingAnswers)) may send nothing although its
//! connection works.
//!
//! Owns: [`PeerActivity`]. Relies on: heartbeats, which contain the address of their sender.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{PeerFrame, PeerMessage, VmId};

/// The frames received from one peer, on connections of type `C`.
#[derive(Debug)]
struct ReceivedFrames<C> {
    /// When the last frame was received.
    last: Moment,
    /// Connection on which the last frame was received.
    connection: C,
    /// When the first frame on this connection was received, `None` where the peer has used only one connection.
    redialed: Option<Moment>,
}

/// The frames received from each peer.
#[derive(Debug)]
pub struct PeerActivity<C> {
    /// Time without a frame after which a connection is redialed.
    limit: Duration,
    /// Addresses of the peers by VM, from their heartbeats.
    addresses: BTreeMap<VmId, String>,
    /// Received frames by the peer's address.
    received: BTreeMap<String, ReceivedFrames<C>>,
}

impl<C: PartialEq> PeerActivity<C> {
    /// Creates the state in which no frame was received.
    pub fn new(limit: Duration) -> PeerActivity<C> {
        PeerActivity { limit, addresses: BTreeMap::new(), received: BTreeMap::new() }
    }

    /// Records a frame that was received on a connection. A peer is known by its address once it has sent a heartbeat;
    /// earlier frames are ignored.
    pub fn record(&mut self, now: Moment, frame: &PeerFrame, connection: C) {
        let sender_address = frame.messages.iter().find_map(|message| match message {
            PeerMessage::Heartbeat(heartbeat) => Some(&heartbeat.address),
            _ => None,
        });
        if let Some(address) = sender_address {
            self.addresses.insert(frame.from.vm.clone(), address.clone());
        }
        let Some(address) = self.addresses.get(&frame.from.vm) else { return };
        let earlier = self.received.get(address);
        let redialed = match earlier {
            Some(peer) if peer.connection != connection => Some(now),
            other => other.and_then(|peer| peer.redialed),
        };
        self.received.insert(address.clone(), ReceivedFrames { last: now, connection, redialed });
    }

    /// Returns whether the connection to an address, dialed at `dialed`, must be redialed, where the peer is expected
    /// to send frames all the time.
    pub fn needs_redial(&self, now: Moment, address: &str, dialed: Moment) -> bool {
        let Some(peer) = self.received.get(address) else {
            return now.saturating_duration_since(dialed) >= self.limit;
        };
        let is_unresponsive = now.saturating_duration_since(peer.last.max(dialed)) >= self.limit;
        is_unresponsive || self.peer_has_redialed(address, dialed)
    }

    /// Returns when the last frame from the peer at an address was received.
    pub fn last(&self, address: &str) -> Option<Moment> {
        self.received.get(address).map(|peer| peer.last)
    }

    /// Like [`needs_redial`](PeerActivity::needs_redial), for a peer that need not send frames unless an answer is
    /// pending. `pending` is the time since which one is, `None` where none is.
    pub fn needs_redial_with_pending(
        &self,
        now: Moment,
        address: &str,
        dialed: Moment,
        pending: Option<Moment>,
    ) -> bool {
        let is_overdue = pending.is_some_and(|pending| {
            now.saturating_duration_since(pending.max(dialed)) >= self.limit
        });
        is_overdue && self.needs_redial(now, address, dialed)
            || self.peer_has_redialed(address, dialed)
    }

    /// Returns whether the peer has redialed, which shows that it received nothing on a connection dialed at `dialed`.
    fn peer_has_redialed(&self, address: &str, dialed: Moment) -> bool {
        let redialed = self.received.get(address).and_then(|peer| peer.redialed);
        redialed.is_some_and(|redialed| redialed.saturating_duration_since(dialed) >= self.limit)
    }

    /// Removes the state of all addresses except these.
    pub fn keep_only(&mut self, addresses: &BTreeSet<String>) {
        self.addresses.retain(|_, address| addresses.contains(address));
        self.received.retain(|address, _| addresses.contains(address));
    }
}
