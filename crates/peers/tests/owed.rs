//! When silence of a peer says that its connection is dead, and when it says nothing.
//!
//! What happened: in a fleet of 295 daemons, of which most exchange no heartbeats, the descriptors of a daemon rose from
//! 700 to 1,200: whoever sent anything to a silent peer dialed it anew, and it dialed back.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{
    AttemptEnd, DaemonId, FreshnessQuery, Heartbeat, PeerFrame, PeerMessage, PermitId,
    PermitReturn, RequestId,
};
use curlewcleat_peers::{OwedAnswers, PeerHearing};
use rstest::rstest;

const LIMIT: Duration = Duration::from_millis(750);
const BEAT: Duration = Duration::from_millis(500);
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

/// A daemon's side of one connection.
struct Link {
    hearing: PeerHearing<u32>,
    owed: OwedAnswers,
    dialed: Moment,
}

impl Link {
    /// Dialed, and heard of, at a moment.
    fn heard(at: Moment) -> Link {
        let mut hearing = PeerHearing::new(LIMIT);
        hearing.note(at, &heartbeat(false), 1);
        Link { hearing, owed: OwedAnswers::default(), dialed: at }
    }

    /// Sends a frame; whether the connection is dialed anew before.
    fn sends(&mut self, now: Moment, frame: &PeerFrame) -> bool {
        let last = self.hearing.last(PEER);
        self.owed.sent(now, PEER, last, frame);
        let owed = self.owed.since(PEER, last);
        let dead = self.hearing.is_dead_owing(now, PEER, self.dialed, owed);
        if dead {
            self.dialed = now;
        }
        dead
    }
}

/// Permits given back for a minute, to a scheduler that sends nothing of its own.
#[rstest]
#[case::permits(permit_return())]
#[case::heartbeats_that_want_nothing(heartbeat(false))]
fn silence_of_a_peer_that_owes_nothing_says_nothing(#[case] sent: PeerFrame) {
    let start = Moment::now();
    let mut link = Link::heard(start);
    for second in 3..60 {
        assert!(!link.sends(start + Duration::from_secs(second), &sent), "after {second} s");
    }
}

/// Whatever is always answered: a connection that died is found within the limit, as before.
#[rstest]
#[case::question(query())]
#[case::heartbeat_that_wants_an_answer(heartbeat(true))]
fn silence_after_a_question_says_that_the_connection_is_dead(#[case] asked: PeerFrame) {
    let start = Moment::now() + Duration::from_secs(60);
    let mut link = Link::heard(start - Duration::from_secs(30));
    assert!(!link.sends(start, &asked));
    assert!(!link.sends(start + BEAT, &asked));
    assert!(link.sends(start + LIMIT, &asked), "the limit has passed since the first question");
    assert!(!link.sends(start + LIMIT + BEAT, &asked), "it was dialed anew just now");
    link.hearing.note(start + LIMIT + BEAT, &heartbeat(false), 1);
    assert!(!link.sends(start + LIMIT * 2, &asked), "it has answered");
}

/// Both send heartbeats; then nothing comes any more.
#[test]
fn heartbeats_of_a_near_peer_are_due() {
    let start = Moment::now();
    let mut link = Link::heard(start);
    let mut found = None;
    for beat in 1..6 {
        let now = start + BEAT * beat;
        if link.sends(now, &heartbeat(false)) {
            found = found.or(Some(now.saturating_duration_since(start)));
        }
    }
    assert!(found.is_some_and(|after| after <= LIMIT + BEAT * 2), "{found:?}");
}

/// The peer heard nothing and has dialed anew; that says it, whatever is owed.
#[test]
fn peer_that_dials_anew_is_dialed_back() {
    let start = Moment::now();
    let mut link = Link::heard(start);
    link.hearing.note(start + LIMIT, &heartbeat(false), 2);
    assert!(link.sends(start + LIMIT, &permit_return()));
    assert!(!link.sends(start + LIMIT * 3, &permit_return()));
}
