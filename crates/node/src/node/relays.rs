//! Names the peers that may relay connections for this daemon, and recognizes those that ask it to.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `MemberView` for the peers and the recorded daemons.

use std::net::{IpAddr, SocketAddr};

use curlewcleat_core::VmId;
use curlewcleat_sched::RelayPeer;

use super::Node;

/// Most peers that are named at a time; bounds the list in a large fleet.
const NAMED_PEERS: usize = 32;

impl Node {
    /// Returns peers that may relay connections: reachable ones, and in a large fleet, whose daemons exchange heartbeats
    /// with few others, recorded ones as well. `draw` selects where the list begins, so that different daemons name
    /// different peers.
    pub fn relay_peers(&self, draw: usize) -> Vec<RelayPeer> {
        let peers = self.members.peers();
        let live = peers.iter().filter(|(_, peer)| peer.live && !peer.draining);
        let live = live.filter_map(|(vm, peer)| relay_peer(vm, &peer.address, peer.capacity));
        let records = self.members.records().iter().filter(|(vm, _)| !peers.contains_key(*vm));
        let recorded =
            records.filter_map(|(vm, record)| relay_peer(vm, &record.address, record.capacity));
        let all: Vec<RelayPeer> = live.chain(recorded).collect();
        let begin = if all.is_empty() { 0 } else { draw % all.len() };
        all.iter().cycle().skip(begin).take(all.len().min(NAMED_PEERS)).cloned().collect()
    }

    /// Returns whether the daemon of a VM is known at an IP number. In a large fleet the address of a daemon may be known
    /// before its VM is.
    pub fn knows_peer_at(&self, vm: &VmId, ip: IpAddr) -> bool {
        match self.members.address_of(vm) {
            Some(address) => ip_of(address) == Some(ip),
            None => self.members.knows_ip(ip),
        }
    }
}

fn relay_peer(vm: &VmId, address: &str, capacity: u32) -> Option<RelayPeer> {
    Some(RelayPeer { vm: vm.clone(), ip: ip_of(address)?, capacity })
}

fn ip_of(address: &str) -> Option<IpAddr> {
    // Peer addresses are checked where they are configured; a record of another form names no relay.
    address.parse::<SocketAddr>().ok().map(|address| address.ip())
}
