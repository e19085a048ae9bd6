//! Tests that streams which their callers take up go on where new requests are refused.
//!
//! On days with releases, losses of power and callers that take up three times, most streams whose version was known were
//! refused as new requests are: for their forecast wait, their account's rate, or a rate that was not known yet.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    LatencyObjectives, NoticeReport, RefusalReason, TargetInstance, VersionDigest,
};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::{RequestSpec, TakenUpStream};

use support::streams::{end, fleet_of, last_daemon, set_versions, stream};
use support::{spec, Fleet};

/// Time after which callers give up, and what is left of it where they take up their streams.
const CALLER_TIME: Duration = Duration::from_secs(10);
const TIME_LEFT: Duration = Duration::from_secs(6);
const OBJECTIVE: Duration = Duration::from_secs(2);
/// Time of a target's slot that each request uses; all targets together have twelve slots.
const SERVICE: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(20);

/// How many requests were sent, served and refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Counts {
    sent: usize,
    served: usize,
    refused: BTreeMap<RefusalReason, usize>,
}

/// A fleet, its callers and what their requests came to.
struct Play {
    fleet: Fleet,
    /// The daemon that callers reach.
    entry: usize,
    next: u128,
    /// Requests that are not decided, and whether they take up a stream.
    open: BTreeMap<u128, bool>,
    ends: BTreeMap<u128, Duration>,
    new: Counts,
    take_ups: Counts,
}

impl Play {
    fn new(fleet: Fleet, entry: usize) -> Play {
        Play {
            fleet,
            entry,
            next: 0,
            open: BTreeMap::new(),
            ends: BTreeMap::new(),
            new: Counts::default(),
            take_ups: Counts::default(),
        }
    }

    fn send(&mut self, account: &str, cost: u64, is_take_up: bool) {
        self.next += 1;
        let objectives = LatencyObjectives {
            wait_limit: OBJECTIVE,
            forecast_limit: if is_take_up { OBJECTIVE } else { OBJECTIVE * 60 / 100 },
            first_part_by: if is_take_up { Duration::ZERO } else { OBJECTIVE },
            length_guessed: true,
            is_retry: is_take_up,
            ..LatencyObjectives::default()
        };
        let spec = RequestSpec {
            account: account.to_string(),
            objectives,
            cost,
            time_left: if is_take_up { TIME_LEFT } else { CALLER_TIME },
            output_work: SERVICE.as_micros() as u64,
            takes_up: is_take_up.then(|| TakenUpStream { stream: Some(stream(self.next)) }),
            version: is_take_up.then(|| VersionDigest::of(Some(&"v1".to_string()))),
            ..spec(self.next)
        };
        self.open.insert(self.next, is_take_up);
        if is_take_up { &mut self.take_ups } else { &mut self.new }.sent += 1;
        self.fleet.event(self.entry, NodeEvent::Admit(Box::new(spec)));
    }

    /// Runs one step, and ends the requests that targets have served.
    fn step(&mut self) {
        self.fleet.run(STEP);
        let now = self.fleet.now;
        let ended: Vec<u128> =
            self.ends.iter().filter(|(_, end)| **end <= now).map(|(number, _)| *number).collect();
        for number in ended {
            self.ends.remove(&number);
            self.fleet.finish(self.entry, number);
        }
        for (number, is_take_up) in self.open.clone() {
            let counts = if is_take_up { &mut self.take_ups } else { &mut self.new };
            match self.fleet.decision(number) {
                Some(CallerDecision::Dispatch(..)) => {
                    counts.served += 1;
                    self.ends.insert(number, now + SERVICE);
                }
                Some(CallerDecision::Refuse(refusal)) => {
                    *counts.refused.entry(refusal.reason).or_default() += 1;
                }
                _ => continue,
            }
            self.open.remove(&number);
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.step();
        }
    }
}

/// Guards against refusals of streams that are taken up (`wait_too_long`) while new ones of the same account begin.
#[test]
fn streams_taken_up_go_on_where_a_pool_has_twice_the_requests_that_it_serves() {
    let fleet = fleet_of(3);
    let entry = fleet.leader();
    let mut play = Play::new(fleet, entry);
    for step in 0..500u64 {
        // One new request each 40 ms; from the fifth second on a stream is taken up each 200 ms.
        if step % 2 == 0 {
            play.send("b", 1, false);
        }
        if (250..450).contains(&step) && step % 10 == 0 {
            play.send("b", 1, true);
        }
        play.step();
    }
    play.run(CALLER_TIME);
    let (new, take_ups) = (&play.new, &play.take_ups);
    eprintln!("new {new:?}, taken up {take_ups:?}");
    assert_eq!(take_ups.served, take_ups.sent, "new {new:?}, taken up {take_ups:?}");
    assert!(new.served >= 80, "new {new:?}, taken up {take_ups:?}");
}

/// Units of the account `a` that a request costs; it has a thousand a second.
const COST: u64 = 100;
const UNITS_PER_S: u64 = 1_000;

/// Guards against refusals of streams that are taken up (`account_rate`) while new ones of the same account begin.
#[test]
fn streams_taken_up_go_on_where_their_account_is_at_its_rate() {
    let fleet = fleet_of(3);
    let entry = fleet.leader();
    let mut play = Play::new(fleet, entry);
    for step in 0..500u64 {
        // Twice the account's rate; from the fifth second on four streams a second are taken up beside it.
        if step % 5 < 2 {
            play.send("a", COST, false);
        }
        if (250..450).contains(&step) && step % 13 == 0 {
            play.send("a", COST, true);
        }
        play.step();
    }
    let units = (play.new.served + play.take_ups.served) as u64 * COST;
    play.run(CALLER_TIME);
    let (new, take_ups) = (&play.new, &play.take_ups);
    eprintln!("{units} units, new {new:?}, taken up {take_ups:?}");
    assert_eq!(take_ups.served, take_ups.sent, "new {new:?}, taken up {take_ups:?}");
    assert!(units <= UNITS_PER_S * 11 + COST, "{units}, new {new:?}, taken up {take_ups:?}");
    assert!(units >= UNITS_PER_S * 9, "{units}, new {new:?}, taken up {take_ups:?}");
}

/// Guards against an account that gets more than its rate by naming a stream that it takes up as often as it likes.
#[test]
fn account_that_only_takes_up_streams_gets_no_more_than_its_rate() {
    let fleet = fleet_of(3);
    let entry = fleet.leader();
    let mut play = Play::new(fleet, entry);
    for _ in 0..500u64 {
        play.send("a", COST, true);
        play.step();
    }
    let units = play.take_ups.served as u64 * COST;
    eprintln!("{units} units, taken up {:?}", play.take_ups);
    assert!(units <= UNITS_PER_S * 11 + COST, "{units}, {:?}", play.take_ups);
}

/// Guards against refusals of streams that are taken up while no daemon knows the rates (`rate_unknown`), since the one that
/// kept them has just ended.
#[test]
fn streams_taken_up_go_on_where_the_daemon_that_kept_the_rates_has_ended() {
    let mut fleet = fleet_of(5);
    let entry = last_daemon(&fleet);
    let leader = fleet.leader();
    end(&mut fleet, &[leader]);
    let mut play = Play::new(fleet, entry);
    for step in 0..100u64 {
        if step % 5 < 2 {
            play.send("a", COST, false);
        }
        if step < 60 && step % 5 == 0 {
            play.send("a", COST, true);
        }
        play.step();
    }
    play.run(CALLER_TIME);
    let (new, take_ups) = (&play.new, &play.take_ups);
    eprintln!("new {new:?}, taken up {take_ups:?}");
    assert_eq!(take_ups.served, take_ups.sent, "new {new:?}, taken up {take_ups:?}");
}

/// Guards against refusals of streams that are taken up (`no_target`) while the targets of their version accept no requests
/// for a moment.
#[test]
fn streams_taken_up_wait_for_targets_that_rest() {
    let fleet = fleet_of(3);
    let entry = last_daemon(&fleet);
    let mut play = Play::new(fleet, entry);
    for index in 0..3 {
        let instance = TargetInstance { id: format!("v1-{index}"), start: None };
        let rest = Some(Duration::from_millis(1_500));
        let report = NoticeReport { instance, leaving: false, rest, limit: None };
        play.fleet.event(entry, NodeEvent::NoticeReceived("p".to_string(), report));
    }
    for _ in 0..8 {
        play.send("b", 1, true);
        play.send("b", 1, false);
        play.step();
    }
    play.run(CALLER_TIME);
    let (new, take_ups) = (&play.new, &play.take_ups);
    eprintln!("new {new:?}, taken up {take_ups:?}");
    assert_eq!(take_ups.served, take_ups.sent, "new {new:?}, taken up {take_ups:?}");
}

/// Guards against streams that wait for their whole time for a version that has gone.
#[test]
fn stream_taken_up_is_refused_at_once_where_its_version_has_gone() {
    let mut fleet = fleet_of(3);
    set_versions(&mut fleet, &["v2"]);
    fleet.run(Duration::from_secs(2));
    let entry = last_daemon(&fleet);
    let mut play = Play::new(fleet, entry);
    play.send("b", 1, true);
    play.run(Duration::from_millis(500));
    assert_eq!(play.take_ups.refused, BTreeMap::from([(RefusalReason::NoTarget, 1)]));
}
