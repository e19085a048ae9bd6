//! Decides through which peer a daemon connects to a target that it does not reach itself.
//!
//! Inputs: the reachable peers, what they answered, and how many connections of this daemon go through each.
//!
//! The rules: of two peers drawn at random the one with the fewer connections of this daemon is asked, in relation to
//! its capacity, so that the connections spread without a list of who has room. A peer that has refused or failed is
//! left out for [`AVOIDED_FOR`], unless all are. A peer that is full refuses, so its own callers do not wait behind
//! relayed connections.
//!
//! Owns: what this daemon knows of its peers as relays. Relies on: its caller for the list of peers and for asking them.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use curlewcleat_core::{Uptime, VmId};
use rand::Rng;

/// Time for which a peer that has refused or failed is left out.
const AVOIDED_FOR: Duration = Duration::from_secs(1);
/// Time for which a peer that does not know this daemon is left out: in a large fleet it learns of it only from a list that
/// it reads every few minutes.
const STRANGER_FOR: Duration = Duration::from_secs(10);

/// A peer that may make connections for this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// Its VM.
    pub vm: VmId,
    /// IP number at which it is reached.
    pub ip: IpAddr,
    /// Processor capacity of its VM, in percent of a core.
    pub capacity: u32,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RelayState {
    /// Open connections of this daemon through the peer.
    open: u32,
    avoided_until: Uptime,
}

/// The peers of a daemon as relays.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayChoice {
    peers: Vec<RelayPeer>,
    states: BTreeMap<VmId, RelayState>,
}

impl RelayChoice {
    /// Sets the reachable peers.
    pub fn set_peers(&mut self, peers: Vec<RelayPeer>) {
        self.states.retain(|vm, state| state.open > 0 || peers.iter().any(|peer| peer.vm == *vm));
        self.peers = peers;
    }

    /// Chooses a peer that is not among those already asked.
    pub fn choose(&self, now: Uptime, asked: &[VmId], random: &mut impl Rng) -> Option<RelayPeer> {
        let unasked: Vec<&RelayPeer> =
            self.peers.iter().filter(|peer| !asked.contains(&peer.vm)).collect();
        let good: Vec<&RelayPeer> =
            unasked.iter().copied().filter(|peer| self.state(peer).avoided_until <= now).collect();
        let candidates = if good.is_empty() { unasked } else { good };
        if candidates.is_empty() {
            return None;
        }
        let mut draw = || candidates[random.random_range(0..candidates.len())];
        let (first, second) = (draw(), draw());
        let load = |peer: &RelayPeer| {
            (u64::from(self.state(peer).open) + 1) * 100 / u64::from(peer.capacity.max(1))
        };
        Some(if load(second) < load(first) { second.clone() } else { first.clone() })
    }

    /// Records a connection through a peer.
    pub fn opened(&mut self, vm: &VmId) {
        self.states.entry(vm.clone()).or_default().open += 1;
    }

    /// Records the end of a connection through a peer.
    pub fn closed(&mut self, vm: &VmId) {
        if let Some(state) = self.states.get_mut(vm) {
            state.open = state.open.saturating_sub(1);
        }
    }

    /// Records a peer that has refused or failed.
    pub fn failed(&mut self, now: Uptime, vm: &VmId) {
        self.states.entry(vm.clone()).or_default().avoided_until = now + AVOIDED_FOR;
    }

    /// Records a peer that does not know this daemon.
    pub fn refused_as_stranger(&mut self, now: Uptime, vm: &VmId) {
        self.states.entry(vm.clone()).or_default().avoided_until = now + STRANGER_FOR;
    }

    fn state(&self, peer: &RelayPeer) -> RelayState {
        self.states.get(&peer.vm).map_or(RelayState::default(), |state| *state)
    }
}
