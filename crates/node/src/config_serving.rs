//! Limits how many peers fetch this daemon's configuration at a time.
//!
//! A configuration of several parts is sent to as many peers at a time as the link of this VM has capacity for. Other
//! peers get a part without bytes, and request it again from any daemon that has it by then.
//!
//! Owns: which peers are being sent a configuration. Relies on: peers that request the next part once they have
//! received one.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_config::MAX_PART_BYTES;
use curlewcleat_core::{Uptime, VmId};

/// Time in which the link carries the parts that are on their way at once: the first wait for an answer, so that no
/// part is requested twice.
const OUTSTANDING_TIME: Duration = Duration::from_millis(500);
/// Number of peers that are sent a configuration at the same time over the slowest link.
const MIN_PEERS: usize = 4;
/// Time after which a peer that has not requested its next part is considered to fetch it elsewhere: twice the first
/// wait for an answer.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The peers that are being sent a configuration, with the time of their latest part.
#[derive(Clone, Debug)]
pub struct ConfigServing {
    peer_limit: usize,
    peers: BTreeMap<VmId, Uptime>,
}

impl ConfigServing {
    /// Returns a state in which no peer is served. The argument is the capacity of the link of this VM, in bytes per
    /// second.
    pub fn new(link_bytes_per_s: u64) -> ConfigServing {
        let outstanding = link_bytes_per_s * OUTSTANDING_TIME.as_millis() as u64 / 1_000;
        let peer_limit = (outstanding as usize / MAX_PART_BYTES).max(MIN_PEERS);
        ConfigServing { peer_limit, peers: BTreeMap::new() }
    }

    /// Returns whether to send a peer a part now; `more` states that other parts follow it.
    pub fn begin_part(&mut self, now: Uptime, peer: &VmId, more: bool) -> bool {
        self.peers.retain(|_, sent| now < *sent + PEER_IDLE_TIMEOUT);
        let known = self.peers.contains_key(peer);
        if !more {
            self.peers.remove(peer);
            return true;
        }
        if !known && self.peers.len() >= self.peer_limit {
            return false;
        }
        self.peers.insert(peer.clone(), now);
        true
    }
}
