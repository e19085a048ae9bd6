//! Heartbeats between daemons, and the codec of peer frames.

use std::hint::black_box;
use std::time::{Duration, Instant};

use curlewcleat_core::{Heartbeat, PeerFrame, PeerMessage};
use curlewcleat_node::NodeEvent;
use curlewcleat_peers::{decode_frame, encode_frame};

use crate::support::{daemon, node, node_in, permit_request, time_each};

/// Number of daemons up to which each one sends all heartbeats to all others.
const MESH_LIMIT: usize = 12;

/// Returns a heartbeat of a daemon that lists `known` other daemons.
fn heartbeat_of(index: usize, known: usize) -> PeerFrame {
    heartbeat_with(index, known, 100)
}

fn heartbeat_with(index: usize, known: usize, capacity: u32) -> PeerFrame {
    let address = |index: usize| format!("10.1.{}.{}:7100", index / 250, index % 250 + 1);
    let heartbeat = Heartbeat {
        stale: false,
        capacity,
        started: 0,
        answer_wanted: false,
        address: address(index),
        data_centre: "dc".to_string(),
        generation: 0,
        table: 0,
        draining: false,
        known: (0..known).map(address).collect(),
    };
    PeerFrame { from: daemon(index), messages: vec![PeerMessage::Heartbeat(heartbeat)] }
}

/// Measures the heartbeats of a daemon by the number of its peers.
pub fn measure_heartbeats() {
    println!("peers | one heartbeat received (ns) | one heartbeat sent to all (us) | bytes of one frame | bytes/s out | tick (us)");
    for count in [6usize, 50, 200, 1_100] {
        let mut node = node(0);
        let wall = Duration::from_secs(1);
        let mut now = Duration::from_millis(1);
        for index in 1..=count {
            node.handle(now, wall, NodeEvent::PeerFrameReceived(heartbeat_of(index, 4)));
        }
        let received = time_each(200, |number| {
            let frame = heartbeat_of(1 + number as usize % count, 4);
            black_box(node.handle(now, wall, NodeEvent::PeerFrameReceived(frame)));
        });
        now += Duration::from_millis(500);
        let started = Instant::now();
        let actions = node.handle(now, wall, NodeEvent::Tick);
        let sent = started.elapsed();
        let frames: Vec<usize> = actions
            .iter()
            .filter_map(|action| match action {
                curlewcleat_node::NodeAction::Send(_, frame) => Some(encoded(frame).len()),
                _ => None,
            })
            .collect();
        let bytes: usize = frames.iter().sum();
        let tick = time_each(50, |_| {
            black_box(node.handle(now, wall, NodeEvent::Tick));
        });
        println!(
            "{count:>5} | {:>8} | {:>8} | {:>6} | {:>9} | {:>6}",
            received.as_nanos(),
            sent.as_micros(),
            frames.first().copied().unwrap_or(0),
            bytes * 2,
            tick.as_micros()
        );
    }
}

/// Returns the bytes of a frame.
fn encoded(frame: &PeerFrame) -> Vec<u8> {
    encode_frame(frame).expect("a frame encodes")
}

/// Measures the heartbeats of a daemon that is no candidate for scheduling, in a fleet whose other daemons are all
/// live.
pub fn measure_sparse_heartbeats() {
    println!(
        "peers | heartbeats out a second | bytes out a second | heartbeats a second of a candidate"
    );
    for count in [6usize, 62, 200, 1_100] {
        let (frames, bytes) = sent_each_second(count, 200);
        let (candidate_frames, _) = sent_each_second(count, 50);
        println!("{count:>5} | {frames:>8.1} | {bytes:>9.0} | {candidate_frames:>8.1}");
    }
}

/// Capacity of the measured daemon, in percent of a core.
const OWN_CAPACITY: u32 = 100;

/// Returns the frames and bytes that a daemon with 100 % of a core sends each second to peers with `capacity`.
fn sent_each_second(count: usize, capacity: u32) -> (f64, f64) {
    const WARM_UP_SECONDS: u64 = 5;
    const MEASURED_SECONDS: u64 = 20;
    let mut node = node_in(0, MESH_LIMIT);
    let wall = Duration::from_secs(1);
    let (mut frames, mut bytes) = (0usize, 0usize);
    for step in 1..=(WARM_UP_SECONDS + MEASURED_SECONDS) * 2 {
        let now = Duration::from_millis(step * 500);
        for index in 1..=count {
            let mut frame = heartbeat_with(index, 4, capacity);
            // A peer that regards this daemon as a candidate requests its answers.
            for message in &mut frame.messages {
                let PeerMessage::Heartbeat(heartbeat) = message else { continue };
                heartbeat.answer_wanted = capacity < OWN_CAPACITY;
            }
            node.handle(now, wall, NodeEvent::PeerFrameReceived(frame));
        }
        let actions = node.handle(now, wall, NodeEvent::Tick);
        if step <= WARM_UP_SECONDS * 2 {
            continue;
        }
        for action in actions {
            if let curlewcleat_node::NodeAction::Send(_, frame) = action {
                frames += 1;
                bytes += encoded(&frame).len();
            }
        }
    }
    (frames as f64 / MEASURED_SECONDS as f64, bytes as f64 / MEASURED_SECONDS as f64)
}

/// Measures encoding and decoding of frames with several permit requests.
pub fn measure_codec() {
    let message = PeerMessage::PermitRequest(permit_request(1, 1));
    for count in [1usize, 8, 64] {
        let frame = PeerFrame { from: daemon(1), messages: vec![message.clone(); count] };
        let bytes = encoded(&frame);
        let each = time_each(20_000, |_| {
            let bytes = encoded(&frame);
            black_box(decode_frame(&bytes)).ok();
        });
        println!(
            "frame with {count} permit requests: {} bytes, encoded and decoded in {} ns",
            bytes.len(),
            each.as_nanos()
        );
    }
}
