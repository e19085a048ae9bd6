//! States how much of the fleet this daemon reaches.
//!
//! Inputs: when the last frame of each peer was handled, the suspicion timeout, the size of the fleet. The rule: a peer counts as
//! reached for the timeout, and as surely reached for two thirds of it.
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::cmp::Ordering;
use std::time::Duration;

use curlewcleat_core::Uptime;

use super::membership::MemberView;
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
    /// Returns the share of the fleet-wide limits that belongs to the daemons that were heard from `since` on.
    pub fn reached_share(&self, now: Uptime, since: Uptime) -> RateShare {
        let heard = self.peers.values().filter(|peer| peer.last_received >= since);
        let active = heard.filter(|peer| peer.active_within(now, self.options.suspect_after));
        RateShare { reached: active.count() + 1, all: self.fleet_size(), role: RateRole::Leader }
    }

    /// Returns how much of the fleet this daemon has reached for so short a time that no other one can have taken it for
    /// unreachable and taken over its roles. Frames may have waited for `delay` before they were handled.
    pub fn recent_reach(&self, now: Uptime, delay: Duration) -> FleetReach {
        // A peer counts the time from its last frame, which is up to a heartbeat older: a third of the timeout.
        let limit = (self.options.suspect_after * 2 / 3).saturating_sub(delay);
        let reached = self.peers.values().filter(|peer| peer.active_within(now, limit)).count() + 1;
        match (reached * 2).cmp(&self.fleet_size()) {
            Ordering::Greater => FleetReach::Most,
            Ordering::Equal => FleetReach::Half,
            Ordering::Less => FleetReach::Few,
        }
    }
}
