//! When does a connection to a peer count as dead?
//!
//! Frames go one way on a connection, and one that has gone dead without a reset takes them for as long
//! as the process lives. The sender cannot see that on the connection itself; it sees it
//! by what it hears on the peer's own one.
//!
//! Inputs: when this daemon dialed, when it heard of the peer last, when the peer dialed anew. The rule: a connection is dialed anew where for the limit nothing was heard of its
//! peer, since the dialing; or where the peer itself has dialed anew by then, which tells that it heard
//! nothing. The second part covers a connection that fails one way. Two daemons that lose each other at
//! once dial within a heartbeat of each other, which is shorter than the limit, so neither answers the
//! other's dialing by its own.
//!
//! Where nothing is owed by the peer ([`owed`](crate::OwedAnswers)), silence says nothing.
//!
//! Owns: [`PeerHearing`]. Relies on: heartbeats, which name the address of their sender.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{PeerFrame, PeerMessage, VmId};

/// What was heard of the peer at an address, on connections of type `C`.
#[derive(Debug)]
struct HeardPeer<C> {
    last: Moment,
    connection: C,
    /// First frame on this connection, where there was one before.
    anew: Option<Moment>,
}

/// What was heard of each peer.
#[derive(Debug)]
pub struct PeerHearing<C> {
    /// Time without a frame after which a connection is dialed anew.
    limit: Duration,
    addresses: BTreeMap<VmId, String>,
    heard: BTreeMap<String, HeardPeer<C>>,
}

impl<C: PartialEq> PeerHearing<C> {
    /// Nothing heard yet.
    pub fn new(limit: Duration) -> PeerHearing<C> {
        PeerHearing { limit, addresses: BTreeMap::new(), heard: BTreeMap::new() }
    }

    /// Notes a frame that came on a connection.
    pub fn note(&mut self, now: Moment, frame: &PeerFrame, connection: C) {
        let named = frame.messages.iter().find_map(|message| match message {
            PeerMessage::Heartbeat(beat) => Some(&beat.address),
            _ => None,
        });
        if let Some(address) = named {
            self.addresses.insert(frame.from.vm.clone(), address.clone());
        }
        let Some(address) = self.addresses.get(&frame.from.vm) else { return };
        let earlier = self.heard.get(address);
        let anew = match earlier {
            Some(peer) if peer.connection != connection => Some(now),
            other => other.and_then(|peer| peer.anew),
        };
        self.heard.insert(address.clone(), HeardPeer { last: now, connection, anew });
    }

    /// Whether the connection to an address that was dialed then is to be dialed anew.
    pub fn is_dead(&self, now: Moment, address: &str, dialed: Moment) -> bool {
        let Some(peer) = self.heard.get(address) else {
            return now.saturating_duration_since(dialed) >= self.limit;
        };
        let unheard = now.saturating_duration_since(peer.last.max(dialed)) >= self.limit;
        unheard || self.has_dialed_anew(address, dialed)
    }

    /// When a frame of the peer at an address came last.
    pub fn last(&self, address: &str) -> Option<Moment> {
        self.heard.get(address).map(|peer| peer.last)
    }

    /// As [`is_dead`](PeerHearing::is_dead) where the peer owes an answer since then: before that its silence says
    /// nothing.
    pub fn is_dead_owing(
        &self,
        now: Moment,
        address: &str,
        dialed: Moment,
        owed: Option<Moment>,
    ) -> bool {
        let overdue =
            owed.is_some_and(|owed| now.saturating_duration_since(owed.max(dialed)) >= self.limit);
        overdue && self.is_dead(now, address, dialed) || self.has_dialed_anew(address, dialed)
    }

    /// Whether the peer has dialed anew, which tells that it heard nothing on a connection dialed then.
    fn has_dialed_anew(&self, address: &str, dialed: Moment) -> bool {
        let anew = self.heard.get(address).and_then(|peer| peer.anew);
        anew.is_some_and(|anew| anew.saturating_duration_since(dialed) >= self.limit)
    }

    /// Forgets all addresses but these.
    pub fn keep_only(&mut self, addresses: &BTreeSet<String>) {
        self.addresses.retain(|_, address| addresses.contains(address));
        self.heard.retain(|address, _| addresses.contains(address));
    }
}
