//! When does a peer count as unreachable?
//!
//! Inputs: when it was heard of last, whether every heartbeat is exchanged with it and since when, the
//! suspicion time-out of the settings (`[peers] suspect_after`). The rule: a peer with which every
//! heartbeat is exchanged is unreachable after the time-out, counted from its last heartbeat or from
//! when the exchange began. Of another peer no heartbeats are expected; the exchange
//! begins when it comes to be asked. Where no peer at all was heard of within the time-out, this daemon
//! itself is cut off, and all of them are unreachable for it.
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::time::Duration;

use curlewcleat_core::{DaemonId, Uptime, VmId};

use super::membership::{MemberView, PeerState};

/// Time without heartbeats after which an unreachable peer is forgotten altogether: longer than a restart takes.
const FORGET_AFTER: Duration = Duration::from_secs(600);

impl MemberView {
    /// Lets time pass. Returns the daemons that became unreachable.
    pub fn tick(&mut self, now: Uptime) -> Vec<DaemonId> {
        let lost = self.mark_unreachable(now);
        self.review_probes(now);
        self.forget_silent(now);
        lost
    }

    fn mark_unreachable(&mut self, now: Uptime) -> Vec<DaemonId> {
        let limit = self.options.suspect_after;
        let mesh = self.is_mesh();
        let alone = !self.peers.values().any(|peer| peer.heard_within(now, limit));
        let suspects = self.peers.iter().filter(|(_, peer)| peer.live);
        let suspects = suspects.filter(|(_, peer)| self.has_timed_out(now, peer, mesh || alone));
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

    fn has_timed_out(&self, now: Uptime, peer: &PeerState, all_near: bool) -> bool {
        let limit = self.options.suspect_after;
        match peer.near_since {
            _ if all_near => !peer.heard_within(now, limit),
            Some(since) => now.saturating_sub(peer.last_heard.max(since)) >= limit,
            None => false,
        }
    }

    fn forget_silent(&mut self, now: Uptime) {
        let forgotten =
            |peer: &PeerState| !peer.live && now.saturating_sub(peer.last_heard) >= FORGET_AFTER;
        for peer in self.peers.values().filter(|peer| forgotten(peer)) {
            self.known_addresses.remove(&peer.address);
        }
        self.peers.retain(|_, peer| !forgotten(peer));
    }
}
