//! Does a peer owe an answer?
//!
//! In a large fleet most pairs of daemons are silent by design: heartbeats go to the few that may schedule. Where any
//! silence counted, whoever sent to such a peer dialed it anew, and it dialed back; each dialing keeps two sockets for a
//! while.
//!
//! Inputs: the frames sent to a peer, and when something was heard of it. The rule: a peer owes an answer since the first
//! frame, after it was heard last, that has a message which is always answered; a heartbeat is one where it wants an answer, or
//! where the peer was heard within [`NEAR`], since both then send them, or never.
//!
//! Owns: since when each peer owes one. Relies on: `PeerHearing` for what was heard.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{PeerFrame, PeerMessage};

/// Time since a peer was heard within which its heartbeats are due: some beats.
const NEAR: Duration = Duration::from_secs(2);

/// Since when peers owe answers, by address.
#[derive(Debug, Default)]
pub struct OwedAnswers {
    since: BTreeMap<String, Moment>,
}

impl OwedAnswers {
    /// A frame is sent to an address, whose peer was heard then.
    pub fn sent(&mut self, now: Moment, address: &str, heard: Option<Moment>, frame: &PeerFrame) {
        let near = heard.is_none_or(|heard| now.saturating_duration_since(heard) < NEAR);
        let wants = frame.messages.iter().any(|message| wants_answer(message, near));
        let since = self.since.get(address).copied();
        let answered = since.is_some_and(|since| heard.is_some_and(|heard| heard >= since));
        match (wants, since) {
            (true, Some(_)) if !answered => {}
            (true, _) => drop(self.since.insert(address.to_string(), now)),
            (false, _) if answered => drop(self.since.remove(address)),
            (false, _) => {}
        }
    }

    /// Since when the peer at an address, which was heard then, owes an answer.
    pub fn since(&self, address: &str, heard: Option<Moment>) -> Option<Moment> {
        let since = self.since.get(address).copied();
        since.filter(|since| heard.is_none_or(|heard| heard < *since))
    }

    /// Forgets all addresses but these.
    pub fn keep_only(&mut self, addresses: &BTreeSet<String>) {
        self.since.retain(|address, _| addresses.contains(address));
    }
}

/// Whether a message is always answered by a peer that lives.
fn wants_answer(message: &PeerMessage, near: bool) -> bool {
    match message {
        PeerMessage::Heartbeat(beat) => beat.answer_wanted || near,
        PeerMessage::FreshnessQuery(_)
        | PeerMessage::TargetsPull(_)
        | PeerMessage::TargetLivesPull(_)
        | PeerMessage::PermitRequest(_)
        | PeerMessage::ShedRequest(_)
        | PeerMessage::KeyClaim(_)
        | PeerMessage::KeyHandOver(_) => true,
        _ => false,
    }
}
