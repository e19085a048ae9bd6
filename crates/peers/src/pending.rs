//! Tracks since when an answer is pending from each peer.
//!
//! In a large fleet most pairs of daemons exchange no frames by design: heartbeats go only to the few daemons that may
//! schedule. If every unresponsive peer counted as lost, each daemon that sent to such a peer would redial it, and the
//! peer would redial in turn; each redial keeps two sockets open for a while.
//!
//! Inputs: the frames sent to a peer, and when the last frame was received from it. An answer is pending since the
//! first frame that was sent after the last received one and contains a message that is always answered. A heartbeat is
//! such a message where it requests an answer, or where nothing was ever received from the peer, or where the last
//! frame was received within [`RECENT`], because then either both daemons send heartbeats to each other or neither
//! does. After a longer time without frames, as of a daemon that was frozen, its heartbeats request an answer.
//!
//! Owns: since when an answer is pending from each peer. Relies on: `PeerActivity` for the received frames.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{PeerFrame, PeerMessage};

/// Time after the last frame from a peer within which its heartbeats are due: a few heartbeat intervals.
const RECENT: Duration = Duration::from_secs(2);

/// Since when answers are pending, by the peer's address.
#[derive(Debug, Default)]
pub struct PendingAnswers {
    since: BTreeMap<String, Moment>,
}

impl PendingAnswers {
    /// Records that a frame is sent to an address from which the last frame was received at `received`.
    pub fn sent(
        &mut self,
        now: Moment,
        address: &str,
        received: Option<Moment>,
        frame: &PeerFrame,
    ) {
        let recent =
            received.is_none_or(|received| now.saturating_duration_since(received) < RECENT);
        let requires_answer =
            frame.messages.iter().any(|message| is_always_answered(message, recent));
        let since = self.since.get(address).copied();
        let answered =
            since.is_some_and(|since| received.is_some_and(|received| received >= since));
        match (requires_answer, since) {
            (true, Some(_)) if !answered => {}
            (true, _) => drop(self.since.insert(address.to_string(), now)),
            (false, _) if answered => drop(self.since.remove(address)),
            (false, _) => {}
        }
    }

    /// Returns since when an answer is pending from an address from which the last frame was received at `received`.
    pub fn since(&self, address: &str, received: Option<Moment>) -> Option<Moment> {
        let since = self.since.get(address).copied();
        since.filter(|since| received.is_none_or(|received| received < *since))
    }

    /// Removes the state of all addresses except these.
    pub fn keep_only(&mut self, addresses: &BTreeSet<String>) {
        self.since.retain(|address, _| addresses.contains(address));
    }
}

/// Returns whether a peer that is alive always answers a message. `recent` states whether its heartbeats are due.
fn is_always_answered(message: &PeerMessage, recent: bool) -> bool {
    match message {
        PeerMessage::Heartbeat(heartbeat) => heartbeat.answer_wanted || recent,
        PeerMessage::FreshnessQuery(_)
        | PeerMessage::TargetsPull(_)
        | PeerMessage::TargetInstancesPull(_)
        | PeerMessage::PermitRequest(_)
        | PeerMessage::ShedRequest(_)
        | PeerMessage::KeyClaim(_)
        | PeerMessage::KeyHandOver(_) => true,
        _ => false,
    }
}
