//! One daemon and scripted peers: which configuration they have, when they advertise it, which of their answers are
//! lost, and how long messages take.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_config::ConfigArchive;
use curlewcleat_core::{
    ConfigBundle, ConfigPart, ConfigPartPull, DaemonId, Heartbeat, PeerFrame, PeerMessage,
};
use curlewcleat_node::{NodeAction, NodeEvent};

use super::{heartbeat, Fleet};

/// Interval between the heartbeats of a peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks for arrived messages.
const STEP: Duration = Duration::from_millis(10);

/// Returns a packed configuration of several parts.
pub fn archive(generation: u64, salt: u64) -> ConfigArchive {
    ConfigArchive::pack(&bundle(generation, salt)).expect("an archive")
}

pub fn bundle(generation: u64, salt: u64) -> ConfigBundle {
    let mut state = generation ^ salt;
    let mut text = "[tier t0]\nrank = 0\n[pool p]\nkind = service\n".to_string();
    while text.len() < 300_000 {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        text += &format!("; {state:016x}\n");
    }
    ConfigBundle { generation, files: BTreeMap::from([("a.ini".to_string(), text)]) }
}

/// A peer that answers pulls as a daemon does.
pub struct Peer {
    index: usize,
    pub archive: ConfigArchive,
    /// When its first heartbeat arrives, after the start of the script.
    phase: Duration,
    /// Numbers of the answers that are lost, counted from one.
    pub lost: Vec<usize>,
    pub answers: usize,
}

impl Peer {
    pub fn new(index: usize, archive: ConfigArchive, phase: Duration) -> Peer {
        Peer { index, archive, phase, lost: Vec::new(), answers: 0 }
    }

    fn address(&self) -> String {
        format!("127.0.0.1:{}", 1_000 + self.index)
    }

    fn sends_heartbeat_at(&self, since: Duration) -> bool {
        since >= self.phase
            && (since - self.phase).as_millis().is_multiple_of(HEARTBEAT_INTERVAL.as_millis())
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat { address: self.address(), ..heartbeat(self.archive.id().generation) }
    }

    fn answer(&mut self, pull: ConfigPartPull) -> Option<ConfigPart> {
        let archive = &self.archive;
        if pull.known >= archive.id().generation {
            return None;
        }
        let offset = if pull.archive == Some(archive.id()) { pull.offset } else { 0 };
        self.answers += 1;
        archive.part(offset).filter(|_| !self.lost.contains(&self.answers))
    }
}

/// The first daemon of a fleet, and peers whose messages take time.
pub struct ScriptedWorld {
    pub fleet: Fleet,
    started_at: Duration,
    pub peers: Vec<Peer>,
    round_trip: Duration,
    pub in_transit: Vec<(Duration, usize, PeerMessage)>,
    pub pulls: Vec<(Duration, usize, ConfigPartPull)>,
}

impl ScriptedWorld {
    pub fn new(peers: Vec<Peer>, round_trip: Duration) -> ScriptedWorld {
        let fleet = Fleet::new(3);
        let started_at = fleet.now;
        ScriptedWorld {
            fleet,
            started_at,
            peers,
            round_trip,
            in_transit: Vec::new(),
            pulls: Vec::new(),
        }
    }

    /// Delivers a message of a peer to the first daemon.
    pub fn take(&mut self, index: usize, message: PeerMessage) {
        let from = DaemonId { vm: format!("vm-{index}"), incarnation: 1 };
        let event = NodeEvent::PeerFrameReceived(PeerFrame { from, messages: vec![message] });
        let now = self.fleet.now;
        for action in self.fleet.daemons[0].node.handle(now, now, event) {
            let NodeAction::Send(to, frame) = action else { continue };
            for message in frame.messages {
                if let PeerMessage::ConfigPartPull(pull) = message {
                    self.pull(&to, pull);
                }
            }
        }
    }

    /// Answers a pull if the peer has a part for it.
    fn pull(&mut self, to: &str, pull: ConfigPartPull) {
        let Some(peer) = self.peers.iter_mut().find(|peer| peer.address() == to) else { return };
        self.pulls.push((self.fleet.now - self.started_at, peer.index, pull));
        if let Some(part) = peer.answer(pull) {
            let arrives = self.fleet.now + self.round_trip;
            self.in_transit.push((arrives, peer.index, PeerMessage::ConfigPart(part)));
        }
    }

    pub fn step(&mut self) {
        self.fleet.now += STEP;
        let now = self.fleet.now;
        let (arrived, later) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(at, _, _)| *at <= now);
        self.in_transit = later;
        let arrived: Vec<(Duration, usize, PeerMessage)> = arrived;
        for (_, index, message) in arrived {
            self.take(index, message);
        }
        let since = now - self.started_at;
        let sending = self.peers.iter().filter(|peer| peer.sends_heartbeat_at(since));
        let heartbeats: Vec<(usize, Heartbeat)> =
            sending.map(|peer| (peer.index, peer.heartbeat())).collect();
        for (index, heartbeat) in heartbeats {
            self.take(index, PeerMessage::Heartbeat(heartbeat));
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.step();
        }
    }

    pub fn generation(&self) -> u64 {
        self.fleet.generation_of(0)
    }
}
