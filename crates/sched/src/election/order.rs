//! Decides which daemon schedules a pool, and which ones follow it in the order.
//!
//! Inputs: the reachable daemons that are not draining, and of each whether its view of the platform is stale, the
//! processor capacity of its VM in percent of a core, when it started. The rule: daemons with a fresh view first, then
//! those on the strongest VM, since the scheduler takes part in every request, then the longest running, so that a
//! restarted daemon takes no role away, then by rendezvous hashing. Every daemon computes the order itself. In a large
//! fleet only some daemons get permit requests ([`candidates`](super::candidates)).
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::cmp::Reverse;
use std::hash::Hasher;

use curlewcleat_core::{DaemonId, DaemonRecord};
use siphasher::sip::SipHasher13;

use super::membership::{MemberView, PeerState};

/// Rank of a daemon in the order; the least is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CandidateRank {
    /// Whether its view of the platform is stale.
    stale: bool,
    /// Processor capacity of its VM.
    capacity: Reverse<u32>,
    /// When its process started.
    started: u64,
    /// Rendezvous hash, which decides among equals.
    weight: Reverse<u64>,
}

impl CandidateRank {
    /// Returns the rank that the daemon would have if its view of the platform were fresh.
    pub(super) fn if_fresh(self) -> CandidateRank {
        CandidateRank { stale: false, ..self }
    }
}

/// Start of a recorded daemon that is not a peer yet, so that peers rank before it among equally strong ones.
const UNKNOWN_START: u64 = u64::MAX;

impl MemberView {
    /// Returns the reachable daemons that take roles, this one included.
    pub fn eligible_daemons(&self) -> Vec<DaemonId> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.live && !peer.draining);
        let mut eligible: Vec<DaemonId> = peers
            .map(|(vm, peer)| DaemonId { vm: vm.clone(), incarnation: peer.incarnation })
            .collect();
        if !self.draining {
            eligible.push(self.me.clone());
        }
        eligible.sort();
        eligible
    }

    /// Returns the daemons to request permits of a pool from, best first; this one alone if no daemon takes roles.
    pub fn scheduler_order(&self, pool: &str) -> Vec<DaemonId> {
        if !self.is_mesh() {
            return self.candidate_order(pool);
        }
        let mut eligible = self.eligible_daemons();
        eligible.sort_by_cached_key(|daemon| self.rank_of(daemon, pool));
        if eligible.is_empty() {
            eligible.push(self.me.clone());
        }
        eligible
    }

    fn rank_of(&self, daemon: &DaemonId, pool: &str) -> CandidateRank {
        match self.peers.get(&daemon.vm) {
            Some(peer) => rank_of_peer(pool, &daemon.vm, peer),
            None => self.own_rank(pool),
        }
    }

    /// Returns the rank of this daemon.
    pub(super) fn own_rank(&self, pool: &str) -> CandidateRank {
        CandidateRank {
            stale: self.stale,
            capacity: Reverse(self.options.capacity),
            started: self.options.started,
            weight: Reverse(hash_of_pair(pool, &self.me.vm)),
        }
    }
}

/// Returns the rank of a peer.
pub(super) fn rank_of_peer(pool: &str, vm: &str, peer: &PeerState) -> CandidateRank {
    CandidateRank {
        stale: peer.stale,
        capacity: Reverse(peer.capacity),
        started: peer.started,
        weight: Reverse(hash_of_pair(pool, vm)),
    }
}

/// Returns the rank of a daemon of which only the record is known.
pub(super) fn rank_of_record(pool: &str, record: &DaemonRecord) -> CandidateRank {
    CandidateRank {
        stale: false,
        capacity: Reverse(record.capacity),
        started: UNKNOWN_START,
        weight: Reverse(hash_of_pair(pool, &record.daemon.vm)),
    }
}

/// Returns a hash of two texts that is the same on every daemon.
fn hash_of_pair(first: &str, second: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(first.as_bytes());
    hasher.write_u8(0);
    hasher.write(second.as_bytes());
    hasher.finish()
}
