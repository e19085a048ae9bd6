//! Checks when an unresponsive peer is redialed, and when not because no answer is pending from it.
//!
//! The failure: in a fleet of 295 daemons, most of which exchange no heartbeats, the file descriptors of a daemon rose
//! from 700 to 1,200. Each daemon that sent a frame to a peer without heartbeats redialed it, and the peer redialed in
//! turn.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{
    AttemptEnd, DaemonId, FreshnessQuery, Heartbeat, PeerFrame, PeerMessage, PermitId,
    PermitReturn, RequestId,
};
use curlewcleat_peers::{PeerActivity, PendingAnswers};
use rstest::rstest;

const LIMIT: Duration = Duration::from_millis(750);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const PEER: &str = "127.0.0.1:1";

fn frame(message: PeerMessage) -> PeerFrame {
    let from = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    PeerFrame { from, messages: vec![message] }
}

fn heartbeat(answer_wanted: bool) -> PeerFrame {
    frame(PeerMessage::Heartbeat(Heartbeat {
        address: PEER.to_string(),
        data_centre: "here".to_string(),
        generation: 1,
        table: 0,
        draining: false,
        stale: false,
        capacity: 100,
        started: 1,
        answer_wanted,
        known: Vec::new(),
    }))
}

fn permit_return() -> PeerFrame {
    let permit = PermitId { request: RequestId::nil(), attempt: 0 };
    let back = PermitReturn { permit, pool: "p".to_string(), end: AttemptEnd::Unused };
    frame(PeerMessage::PermitReturn(back))
}

fn query() -> PeerFrame {
    let query = FreshnessQuery { incarnation: 1, sent: Duration::ZERO };
    frame(PeerMessage::FreshnessQuery(query))
}

/// One daemon's state of the connection to a peer.
struct Link {
    activity: PeerActivity<u32>,
    pending: PendingAnswers,
    dialed: Moment,
}

impl Link {
    /// Creates a link that was dialed, and on which a heartbeat was received, at `at`.
    fn with_heartbeat(at: Moment) -> Link {
        let mut activity = PeerActivity::new(LIMIT);
        activity.record(at, &heartbeat(false), 1);
        Link { activity, pending: PendingAnswers::default(), dialed: at }
    }

    /// Sends a frame and returns whether the connection is redialed before.
    fn send(&mut self, now: Moment, frame: &PeerFrame) -> bool {
        let last = self.activity.last(PEER);
        self.pending.sent(now, PEER, last, frame);
        let pending = self.pending.since(PEER, last);
        let redials = self.activity.needs_redial_with_pending(now, PEER, self.dialed, pending);
        if redials {
            self.dialed = now;
        }
        redials
    }
}

/// Permits are returned for a minute to a scheduler that sends nothing itself.
#[rstest]
#[case::permits(permit_return())]
#[case::heartbeats_without_a_requested_answer(heartbeat(false))]
fn unresponsive_peer_without_a_pending_answer_is_not_redialed(#[case] sent: PeerFrame) {
    let start = Moment::now();
    let mut link = Link::with_heartbeat(start);
    for second in 3..60 {
        assert!(!link.send(start + Duration::from_secs(second), &sent), "after {second} s");
    }
}

/// A dead connection is detected within the limit after any message that is always answered.
#[rstest]
#[case::query(query())]
#[case::heartbeat_with_a_requested_answer(heartbeat(true))]
fn unresponsive_peer_with_a_pending_answer_is_redialed(#[case] sent: PeerFrame) {
    let start = Moment::now() + Duration::from_secs(60);
    let mut link = Link::with_heartbeat(start - Duration::from_secs(30));
    assert!(!link.send(start, &sent));
    assert!(!link.send(start + HEARTBEAT_INTERVAL, &sent));
    assert!(link.send(start + LIMIT, &sent), "the limit has passed since the first message");
    assert!(!link.send(start + LIMIT + HEARTBEAT_INTERVAL, &sent), "it was redialed just now");
    link.activity.record(start + LIMIT + HEARTBEAT_INTERVAL, &heartbeat(false), 1);
    assert!(!link.send(start + LIMIT * 2, &sent), "it has answered");
}

/// Both daemons send heartbeats, until none arrives from the peer any more.
#[test]
fn peer_whose_heartbeats_stop_is_redialed() {
    let start = Moment::now();
    let mut link = Link::with_heartbeat(start);
    let mut found = None;
    for count in 1..6 {
        let now = start + HEARTBEAT_INTERVAL * count;
        if link.send(now, &heartbeat(false)) {
            found = found.or(Some(now.saturating_duration_since(start)));
        }
    }
    assert!(found.is_some_and(|after| after <= LIMIT + HEARTBEAT_INTERVAL * 2), "{found:?}");
}

/// The peer has received nothing and redials; this is enough, whether or not an answer is pending.
#[test]
fn peer_that_redials_is_redialed_without_a_pending_answer() {
    let start = Moment::now();
    let mut link = Link::with_heartbeat(start);
    link.activity.record(start + LIMIT, &heartbeat(false), 2);
    assert!(link.send(start + LIMIT, &permit_return()));
    assert!(!link.send(start + LIMIT * 3, &permit_return()));
}
