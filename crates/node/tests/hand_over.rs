//! Tests what a stopping daemon sends of its keys while the acknowledgement is in transit.

mod support;

use std::time::Duration;

use curlewcleat_core::{DaemonId, IdempotencyKey, KeyClaim, PeerFrame, PeerMessage, RequestId};
use curlewcleat_keys::KeyTable;
use curlewcleat_node::{NodeAction, NodeEvent};
use curlewcleat_peers::encode_frame;

use support::Fleet;

/// Keys of the stopping daemon: some 1.1 MB of records.
const KEYS: u128 = 20_000;
/// Time in which a link of 10 Mbit/s carries the keys beside other traffic.
const ANSWER_TIME: Duration = Duration::from_millis(1_600);

/// Returns a fleet whose first daemon holds all keys, which the other one has claimed.
fn holder_of_keys() -> Fleet {
    let mut fleet = Fleet::new(2);
    let me = DaemonId { vm: "vm-0".to_string(), incarnation: 1 };
    let peer = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let table = KeyTable::distribute(4, std::slice::from_ref(&me));
    fleet.event(0, NodeEvent::TableRead(Some((1, table))));
    for number in 0..KEYS {
        let key = IdempotencyKey::from(format!("0190{number:028x}"));
        let request = RequestId::from_u128(number);
        let claim = KeyClaim { request, account: "a".to_string(), key, attempt: Some(1) };
        let frame = PeerFrame { from: peer.clone(), messages: vec![PeerMessage::KeyClaim(claim)] };
        fleet.event(0, NodeEvent::PeerFrameReceived(frame));
    }
    fleet
}

/// Returns the lengths of the frames with key records that the first daemon sends within `time`; none of them
/// arrives.
fn frames_with_records(fleet: &mut Fleet, time: Duration) -> Vec<usize> {
    let end = fleet.now + time;
    let mut lengths = Vec::new();
    while fleet.now < end {
        fleet.now += Duration::from_millis(20);
        let wall = Duration::from_secs(1_000) + fleet.now;
        for action in fleet.daemons[0].node.handle(fleet.now, wall, NodeEvent::Tick) {
            let NodeAction::Send(_, frame) = action else { continue };
            let is_keys = |message: &PeerMessage| matches!(message, PeerMessage::KeyHandOver(_));
            if frame.messages.iter().any(is_keys) {
                lengths.push(encode_frame(&frame).expect("a frame").len());
            }
        }
    }
    lengths
}

/// Records were sent again with each tick of 20 ms until they were acknowledged: 57 MB instead of 1.1.
#[test]
fn keys_are_not_handed_over_again_while_in_transit() {
    let mut fleet = holder_of_keys();
    fleet.event(0, NodeEvent::Drain);
    fleet.run(Duration::from_millis(960));
    let lengths = frames_with_records(&mut fleet, ANSWER_TIME);
    let once = lengths.first().copied().expect("the keys are handed over");
    assert!(once > 1_000_000, "{once} bytes");
    assert!(lengths.len() <= 2, "{} copies", lengths.len());
}
