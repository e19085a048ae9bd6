//! When a connection to a peer is dialed anew.
//!
//! What happened: open connections between daemons went silent without a reset. Each daemon went on to send into
//! them, `curlewcleat_peer` frames were counted as sent, and no daemon heard another again, since nothing dials
//! while a connection looks open.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{DaemonId, Heartbeat, PeerFrame, PeerMessage, StatePull};
use curlewcleat_peers::PeerHearing;

const LIMIT: Duration = Duration::from_millis(1_000);
const BEAT: Duration = Duration::from_millis(500);
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
fn peer_that_says_nothing_is_dialed_anew_after_the_limit() {
    let start = Moment::now();
    let mut hearing = PeerHearing::new(LIMIT);
    assert!(!hearing.is_dead(start + LIMIT / 2, PEER, start));
    assert!(hearing.is_dead(start + LIMIT, PEER, start), "never heard of");
    hearing.note(start + LIMIT, &heartbeat(), 1);
    assert!(!hearing.is_dead(start + LIMIT + BEAT, PEER, start));
    assert!(hearing.is_dead(start + LIMIT * 2, PEER, start), "heard of once");
    // Time has to pass after the dialing, too.
    assert!(!hearing.is_dead(start + LIMIT * 2, PEER, start + LIMIT + BEAT));
}

#[test]
fn every_frame_of_a_known_peer_counts() {
    let start = Moment::now();
    let mut hearing = PeerHearing::new(LIMIT);
    let pull = PeerMessage::StatePull(StatePull { generation: 1, table: 0 });
    hearing.note(start, &frame(pull.clone()), 1);
    assert!(hearing.is_dead(start + LIMIT, PEER, start), "its address is not known yet");
    hearing.note(start, &heartbeat(), 1);
    hearing.note(start + LIMIT, &frame(pull), 1);
    assert!(!hearing.is_dead(start + LIMIT + BEAT, PEER, start));
}

/// The peer hears nothing of this daemon, while its own frames arrive.
#[test]
fn peer_that_dials_anew_is_dialed_anew_once() {
    let start = Moment::now();
    let mut hearing = PeerHearing::new(LIMIT);
    hearing.note(start, &heartbeat(), 1);
    let again = start + LIMIT + BEAT;
    hearing.note(again, &heartbeat(), 2);
    assert!(hearing.is_dead(again, PEER, start));
    assert!(!hearing.is_dead(again + BEAT, PEER, again));
    hearing.note(again + LIMIT, &heartbeat(), 2);
    assert!(!hearing.is_dead(again + LIMIT, PEER, again));
}

/// Both dial anew, a heartbeat apart; were each new connection answered by another one, they would never end.
#[test]
fn two_daemons_that_lost_each_other_dial_once() {
    let start = Moment::now();
    let mut hearing = PeerHearing::new(LIMIT);
    hearing.note(start, &heartbeat(), 1);
    let dialed = start + LIMIT;
    assert!(hearing.is_dead(dialed, PEER, start));
    for beat in 1..20 {
        let now = dialed + BEAT * beat;
        hearing.note(now, &heartbeat(), 2);
        assert!(!hearing.is_dead(now, PEER, dialed), "{beat} beats after the dialing");
    }
}

#[test]
fn addresses_that_are_not_kept_are_forgotten() {
    let start = Moment::now();
    let mut hearing = PeerHearing::new(LIMIT);
    hearing.note(start + LIMIT, &heartbeat(), 1);
    hearing.keep_only(&[].into());
    assert!(hearing.is_dead(start + LIMIT, PEER, start));
}
