//! Received frames that wait for a node which handles none, from peers that send without end.

use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewcleat_core::{DaemonId, PeerFrame, PeerMessage, StatePull};
use curlewcleat_peers::{
    NngTransport, PeerTransport, ReceivedFrame, TransportCounts, WaitingFrames,
};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

const MEGABYTE: u64 = 1 << 20;
/// Limit of the frames that wait.
const LIMIT: u64 = 8 * MEGABYTE;
/// Frames that the peer sends.
const FRAMES: u64 = 64;
/// Messages of a frame, which needs more than half a megabyte.
const MESSAGES: usize = 2_048;
/// Longest time for which frames are awaited.
const PATIENCE: Duration = Duration::from_secs(20);
const DEAD_AFTER: Duration = Duration::from_secs(60);

fn frame(vm: &str, messages: usize) -> PeerFrame {
    let pull = PeerMessage::StatePull(StatePull { generation: u64::MAX, table: u64::MAX });
    let from = DaemonId { vm: vm.to_string(), incarnation: 1 };
    PeerFrame { from, messages: vec![pull; messages] }
}

/// A daemon whose node handles nothing.
struct Daemon {
    address: String,
    transport: Box<NngTransport>,
    received: UnboundedReceiver<ReceivedFrame>,
    waiting: WaitingFrames,
    counts: Arc<TransportCounts>,
}

impl Daemon {
    fn start() -> Daemon {
        let probe = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = probe.local_addr().expect("an address").to_string();
        drop(probe);
        let (frames, received) = unbounded_channel();
        let (waiting, counts) = (WaitingFrames::new(LIMIT), Arc::<TransportCounts>::default());
        let shared = (waiting.clone(), Arc::clone(&counts));
        let transport = NngTransport::listen(&address, DEAD_AFTER, frames, shared.0, shared.1);
        let transport = Box::new(transport.expect("the port is free"));
        Daemon { address, transport, received, waiting, counts }
    }

    /// Sends a frame until the other daemon has received one more than before.
    fn send(&mut self, other: &Daemon, frame: &PeerFrame) {
        let before = other.counts.received.load(Ordering::Relaxed);
        let begun = Instant::now();
        while other.counts.received.load(Ordering::Relaxed) == before {
            assert!(begun.elapsed() < PATIENCE, "nothing arrives");
            self.transport.send(&other.address, frame);
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Guards against a process that is ended for its memory because its peer sends faster than its node handles frames.
#[test]
fn frames_of_a_peer_that_sends_without_end_wait_in_bounded_memory() {
    let (mut peer, mut daemon) = (Daemon::start(), Daemon::start());
    let mut sound_peer = Daemon::start();
    let mut most = 0;
    for _ in 0..FRAMES {
        peer.send(&daemon, &frame("endless", MESSAGES));
        most = most.max(daemon.waiting.bytes());
    }
    let begun = Instant::now();
    while daemon.waiting.bytes() == most && begun.elapsed() < PATIENCE {
        sound_peer.send(&daemon, &frame("sound", 1));
    }
    let mut senders = Vec::new();
    while let Ok(received) = daemon.received.try_recv() {
        senders.push(received.close().from.vm);
    }
    println!("{most} bytes waited at most, {} frames were taken", senders.len());
    assert!(most > 0 && most <= LIMIT, "{most} bytes waited");
    assert!(daemon.counts.refused.load(Ordering::Relaxed) > 0);
    assert!(senders.iter().any(|vm| vm == "sound"), "a sound peer lost its frame");
    for daemon in [peer, daemon, sound_peer] {
        daemon.transport.close();
    }
}

/// Without the release, a daemon would be deaf after the first flood.
#[test]
fn handled_frames_make_room() {
    let waiting = WaitingFrames::new(LIMIT);
    for _ in 0..FRAMES {
        let received = waiting.admit(frame("vm", MESSAGES), MEGABYTE).expect("nothing waits");
        assert!(waiting.bytes() >= MEGABYTE);
        assert_eq!(received.close().messages.len(), MESSAGES);
        assert_eq!(waiting.bytes(), 0);
    }
}

/// Many faulty senders, or one that changes its name, share the limit.
#[test]
fn frames_of_many_senders_wait_in_bounded_memory() {
    let waiting = WaitingFrames::new(LIMIT);
    let admit = |index: u64| waiting.admit(frame(&format!("vm-{index}"), 1), MEGABYTE);
    let held: Vec<ReceivedFrame> = (0..FRAMES).filter_map(|index| admit(index).ok()).collect();
    assert_eq!(held.len() as u64, LIMIT / MEGABYTE - 1);
    assert!(waiting.bytes() <= LIMIT);
    drop(held);
    assert_eq!(waiting.bytes(), 0);
}

/// A frame that is larger than the limit of a small VM is still received while nothing else waits.
#[test]
fn frame_beyond_the_limit_is_received_alone() {
    let waiting = WaitingFrames::new(LIMIT);
    let large = waiting.admit(frame("vm", 1), LIMIT * 2).expect("nothing waits");
    assert!(waiting.admit(frame("other", 1), 1).is_err());
    drop(large);
    assert!(waiting.admit(frame("other", 1), 1).is_ok());
}
