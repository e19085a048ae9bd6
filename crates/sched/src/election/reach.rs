//! States how much of the fleet this daemon reaches.
//!
//! Inputs: when the last frame of each peer was handled, what its heartbeats show of whom it hears, the suspicion timeout, the size
//! of the fleet. The rule: a peer counts as reached for the timeout, and as surely reached for two thirds of it, unless it does not
//! hear this daemon: then it has taken this one for lost, and asks another one for permits.
//!
//! A peer that requests an answer to its heartbeat either takes this daemon for unreachable, or, in a fleet that is no mesh,
//! requests one of each candidate. In the latter case its heartbeats name the candidates that it hears, at least each time when
//! these change.
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::cmp::Ordering;
use std::time::Duration;

use curlewcleat_core::{Heartbeat, Uptime};

use super::membership::{MemberView, PeerState};
use crate::admission::shared_rate::{RateRole, RateShare};

/// How much of the fleet a daemon reaches, itself included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FleetReach {
    /// Less than half.
    #[default]
    Few,
    /// Half.
    Half,
    /// More than half.
    Most,
}

impl MemberView {
    /// Returns whether the sender of a heartbeat, whose process had this state before, receives this daemon's heartbeats.
    pub(super) fn is_heard_by(&self, earlier: Option<&PeerState>, heartbeat: &Heartbeat) -> bool {
        if !heartbeat.answer_wanted {
            return true;
        }
        if !heartbeat.known.is_empty() {
            return heartbeat.known.contains(&self.options.address);
        }
        // Without addresses either the candidates have not changed, or the sender is in a mesh.
        earlier.is_some_and(|earlier| earlier.requires_answers && earlier.hears_me)
    }

    /// Returns the share of the fleet-wide limits that belongs to the daemons that were heard from `since` on
    /// and hear this one.
    pub fn reached_share(&self, now: Uptime, since: Uptime) -> RateShare {
        let hearing = self.peers.values().filter(|peer| peer.hears_me);
        let heard = hearing.filter(|peer| peer.last_received >= since);
        let active = heard.filter(|peer| peer.active_within(now, self.options.suspect_after));
        RateShare { reached: active.count() + 1, all: self.fleet_size(), role: RateRole::Leader }
    }

    /// Returns how much of the fleet this daemon has reached for so short a time that no other one can have taken it for
    /// unreachable and taken over its roles. Frames may have waited for `delay` before they were handled.
    pub fn recent_reach(&self, now: Uptime, delay: Duration) -> FleetReach {
        // A peer counts the time from its last frame, which is up to a heartbeat older: a third of the timeout.
        let limit = (self.options.suspect_after * 2 / 3).saturating_sub(delay);
        let hearing = self.peers.values().filter(|peer| peer.hears_me);
        let reached = hearing.filter(|peer| peer.active_within(now, limit)).count() + 1;
        match (reached * 2).cmp(&self.fleet_size()) {
            Ordering::Greater => FleetReach::Most,
            Ordering::Equal => FleetReach::Half,
            Ordering::Less => FleetReach::Few,
        }
    }
}
