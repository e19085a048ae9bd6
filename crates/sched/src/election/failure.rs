//! Decides when a peer counts as unreachable.
//!
//! Inputs: when its last frame arrived, whether every heartbeat is exchanged with it and since when, the suspicion
//! timeout of the settings (`[peers] suspect_after`). The rule: a peer with which every heartbeat is exchanged is
//! unreachable after the timeout, counted from its last frame or from the start of the exchange, whichever is later. No
//! heartbeats are expected of other peers; the exchange begins when such a peer becomes one of this daemon's partners
//! or requires answers. If no peer at all has sent anything within the timeout, this daemon itself is cut off, and all
//! peers are unreachable for it.
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::time::Duration;

use curlewcleat_core::{DaemonId, Uptime, VmId};

use super::membership::{MemberView, PeerState};

/// Time without frames after which an unreachable peer is removed: longer than a restart takes.
pub(crate) const REMOVE_AFTER: Duration = Duration::from_secs(600);

impl MemberView {
    /// Advances the clock. Returns the daemons that became unreachable.
    pub fn tick(&mut self, now: Uptime) -> Vec<DaemonId> {
        // A daemon that was suspended for longer than peers are kept requests an answer of them before they are removed.
        self.remove_expired(now);
        let lost = self.mark_unreachable(now);
        self.review_probes(now);
        lost
    }

    fn mark_unreachable(&mut self, now: Uptime) -> Vec<DaemonId> {
        let limit = self.options.suspect_after;
        let mesh = self.is_mesh();
        let is_cut_off = !self.peers.values().any(|peer| peer.active_within(now, limit));
        let suspects = self.peers.iter().filter(|(_, peer)| peer.live);
        let suspects =
            suspects.filter(|(_, peer)| self.has_timed_out(now, peer, mesh || is_cut_off));
        let suspects: Vec<VmId> = suspects.map(|(vm, _)| vm.clone()).collect();
        let mut lost = Vec::new();
        for vm in suspects {
            let Some(peer) = self.peers.get_mut(&vm) else { continue };
            peer.live = false;
            self.changed = true;
            lost.push(DaemonId { vm, incarnation: peer.incarnation });
        }
        lost
    }

    fn has_timed_out(&self, now: Uptime, peer: &PeerState, expects_all: bool) -> bool {
        let limit = self.options.suspect_after;
        match peer.exchange_since {
            _ if expects_all => !peer.active_within(now, limit),
            Some(since) => now.saturating_sub(peer.last_received.max(since)) >= limit,
            None => false,
        }
    }

    fn remove_expired(&mut self, now: Uptime) {
        let is_expired =
            |peer: &PeerState| !peer.live && now.saturating_sub(peer.last_received) >= REMOVE_AFTER;
        for peer in self.peers.values().filter(|peer| is_expired(peer)) {
            self.known_addresses.remove(&peer.address);
        }
        self.peers.retain(|_, peer| !is_expired(peer));
    }
}
