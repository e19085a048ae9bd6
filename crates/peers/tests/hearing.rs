//! Checks when a connection to a peer is redialed.
//!
//! The failure: connections between daemons died without a reset. Each daemon continued to send on them, the metric
//! `curlewcleat_peer_frames` counted the frames as sent, and no daemon received a frame again, because nothing redialed
//! a connection that looked open.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{DaemonId, Heartbeat, PeerFrame, PeerMessage, StatePull};
use curlewcleat_peers::PeerActivity;

const LIMIT: Duration = Duration::from_millis(1_000);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const PEER: &str = "127.0.0.1:1";

fn frame(message: PeerMessage) -> PeerFrame {
    let from = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    PeerFrame { from, messages: vec![message] }
}

fn heartbeat() -> PeerFrame {
    frame(PeerMessage::Heartbeat(Heartbeat {
        address: PEER.to_string(),
        data_centre: "here".to_string(),
        generation: 1,
        table: 0,
        draining: false,
        stale: false,
        capacity: 100,
        started: 1,
        answer_wanted: false,
        known: Vec::new(),
    }))
}

#[test]
fn unresponsive_peer_is_redialed_after_the_limit() {
    let start = Moment::now();
    let mut activity = PeerActivity::new(LIMIT);
    assert!(!activity.needs_redial(start + LIMIT / 2, PEER, start));
    assert!(activity.needs_redial(start + LIMIT, PEER, start), "no frame was ever received");
    activity.record(start + LIMIT, &heartbeat(), 1);
    assert!(!activity.needs_redial(start + LIMIT + HEARTBEAT_INTERVAL, PEER, start));
    assert!(activity.needs_redial(start + LIMIT * 2, PEER, start), "one frame was received");
    // The limit also counts from the last dialing.
    assert!(!activity.needs_redial(start + LIMIT * 2, PEER, start + LIMIT + HEARTBEAT_INTERVAL));
}

#[test]
fn every_frame_of_a_known_peer_resets_the_limit() {
    let start = Moment::now();
    let mut activity = PeerActivity::new(LIMIT);
    let pull = PeerMessage::StatePull(StatePull { generation: 1, table: 0 });
    activity.record(start, &frame(pull.clone()), 1);
    assert!(activity.needs_redial(start + LIMIT, PEER, start), "its address is not known yet");
    activity.record(start, &heartbeat(), 1);
    activity.record(start + LIMIT, &frame(pull), 1);
    assert!(!activity.needs_redial(start + LIMIT + HEARTBEAT_INTERVAL, PEER, start));
}

/// The peer receives nothing from this daemon, while its own frames arrive.
#[test]
fn peer_that_redials_is_redialed_once() {
    let start = Moment::now();
    let mut activity = PeerActivity::new(LIMIT);
    activity.record(start, &heartbeat(), 1);
    let again = start + LIMIT + HEARTBEAT_INTERVAL;
    activity.record(again, &heartbeat(), 2);
    assert!(activity.needs_redial(again, PEER, start));
    assert!(!activity.needs_redial(again + HEARTBEAT_INTERVAL, PEER, again));
    activity.record(again + LIMIT, &heartbeat(), 2);
    assert!(!activity.needs_redial(again + LIMIT, PEER, again));
}

/// Both daemons redial, one heartbeat interval apart. If each redial caused one by the other daemon, they would never
/// stop.
#[test]
fn two_daemons_that_lost_each_other_redial_once() {
    let start = Moment::now();
    let mut activity = PeerActivity::new(LIMIT);
    activity.record(start, &heartbeat(), 1);
    let dialed = start + LIMIT;
    assert!(activity.needs_redial(dialed, PEER, start));
    for count in 1..20 {
        let now = dialed + HEARTBEAT_INTERVAL * count;
        activity.record(now, &heartbeat(), 2);
        assert!(
            !activity.needs_redial(now, PEER, dialed),
            "{count} heartbeat intervals after the dialing"
        );
    }
}

#[test]
fn state_of_other_addresses_is_removed() {
    let start = Moment::now();
    let mut activity = PeerActivity::new(LIMIT);
    activity.record(start + LIMIT, &heartbeat(), 1);
    activity.keep_only(&[].into());
    assert!(activity.needs_redial(start + LIMIT, PEER, start));
}
