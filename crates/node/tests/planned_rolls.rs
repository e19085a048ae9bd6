//! New and taken-up streams while daemons are stopped by plan and started anew, one after the other, beside a version that
//! joins and daemons that are cut off for a short time.

mod support;

#[path = "out_of_step/play.rs"]
mod play;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::RefusalReason;
use curlewcleat_node::{CallerDecision, NodeEvent};
use rstest::rstest;

use play::{BegunStream, PlayCounts, StreamPlay, CALLER_LIMIT};
use support::streams::{begin, end, fleet_of, set_versions, take_up_after, FORGOTTEN_AFTER};

const DAEMONS: usize = 7;
/// Time between two new streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(40);
/// Times after which callers whose connections are lost take up their streams, in turn.
const TAKE_UP_AFTER_MS: [u64; 4] = [100, 500, 1_500, 3_000];
/// Time from the beginning of a planned stop in which callers still reach the daemon.
const NOTICED_AFTER: Duration = Duration::from_millis(800);
/// Time in which a planned stop ends without requests in progress.
const STOP_LIMIT: Duration = Duration::from_secs(2);
/// Time from the end of a process to the start of the next one on its VM.
const START_TIME: Duration = Duration::from_millis(300);
/// Time for which streams begin before the first daemon is stopped.
const TIME_BEFORE: Duration = Duration::from_secs(4);
const DARK_TIME: Duration = Duration::from_secs(2);
/// What may be lost of the share of new streams that begin, in hundredths.
const TOLERATED: usize = 5;

/// Daemons that are stopped, by their place in the order of schedulers.
#[derive(Clone, Copy, Debug)]
enum StoppedHalf {
    First,
    Last,
    EverySecond,
}

/// A roll: daemons that are stopped, daemons that are cut off, and the callers of both.
struct RollPlay {
    play: StreamPlay,
    stopped: Vec<usize>,
    dark: Vec<usize>,
    dark_until: Option<Duration>,
    /// Daemons that callers do not reach.
    unserved: Vec<usize>,
    /// Streams that are not taken up yet, by when they will be.
    due: BTreeMap<(Duration, u128), BegunStream>,
    /// Streams whose callers have lost their connections.
    broken: BTreeSet<u128>,
    /// Requests that take up streams, and the daemons that began these.
    take_ups: BTreeMap<u128, usize>,
    /// The first stream of the roll.
    first: usize,
    next_entry: usize,
}

impl RollPlay {
    fn start(half: StoppedHalf, dark: usize) -> RollPlay {
        let mut play = StreamPlay::start(DAEMONS);
        // Daemons forget that the pool had targets of another version.
        for _ in 0..FORGOTTEN_AFTER.as_secs() {
            play.begin(0);
            play.run(Duration::from_secs(1));
        }
        let order: Vec<usize> = {
            let order = play.fleet.daemons[0].node.scheduler_order();
            order.iter().map(|daemon| play.fleet.position(&daemon.vm)).collect()
        };
        let places: Vec<usize> = match half {
            StoppedHalf::First => vec![0, 1, 2, 3],
            StoppedHalf::Last => vec![3, 4, 5, 6],
            StoppedHalf::EverySecond => vec![0, 2, 4, 6],
        };
        let stopped: Vec<usize> = places.iter().map(|place| order[*place]).collect();
        let others = order.iter().filter(|index| !stopped.contains(index));
        let dark = others.take(dark).copied().collect();
        let first = play.begun.len();
        let (due, broken, take_ups) = (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
        let (dark_until, unserved) = (None, Vec::new());
        RollPlay {
            play,
            stopped,
            dark,
            dark_until,
            unserved,
            due,
            broken,
            take_ups,
            first,
            next_entry: 0,
        }
    }

    /// Stops and starts daemons one after the other; a version joins beside one of the stops. Others are cut off from when the second one stops.
    fn run(&mut self, joins_at: usize) {
        self.run_for(TIME_BEFORE);
        for (turn, index) in self.stopped.clone().into_iter().enumerate() {
            if turn == 1 {
                self.set_dark(true);
            }
            if turn == joins_at {
                set_versions(&mut self.play.fleet, &["v1", "v2"]);
            }
            let ended = self.play.fleet.ended.len();
            self.play.fleet.event(index, NodeEvent::Drain);
            self.run_for(NOTICED_AFTER);
            self.unserved.push(index);
            let limit = self.play.fleet.now + STOP_LIMIT;
            while self.play.fleet.ended.len() == ended && self.play.fleet.now < limit {
                self.step();
            }
            assert!(self.play.fleet.ended.len() > ended, "{index} has not stopped");
            self.play.fleet.daemons[index].cut = true;
            self.break_streams(index);
            self.run_for(START_TIME);
            self.play.fleet.restart(index, 2 + turn as u64);
            self.run_for(START_TIME);
            self.unserved.retain(|unserved| *unserved != index);
        }
        self.run_for(CALLER_LIMIT);
    }

    fn set_dark(&mut self, is_dark: bool) {
        for index in self.dark.clone() {
            self.play.fleet.daemons[index].cut = is_dark;
            self.unserved.retain(|unserved| *unserved != index);
            if is_dark {
                self.break_streams(index);
            }
        }
        self.dark_until = is_dark.then(|| self.play.fleet.now + DARK_TIME);
        if is_dark {
            self.unserved.extend(self.dark.clone());
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.play.fleet.now + time;
        while self.play.fleet.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        if self.dark_until.is_some_and(|until| self.play.fleet.now >= until) {
            self.set_dark(false);
        }
        let entry = self.served_by(None);
        self.play.begin(entry);
        self.play.run(STREAM_INTERVAL);
        while let Some(due) =
            self.due.first_entry().filter(|due| due.key().0 <= self.play.fleet.now)
        {
            let begun = due.remove();
            if self.play.is_awaited(&begun) {
                let entry = self.served_by(Some(begun.entry));
                let number = play::FIRST_TAKE_UP + self.play.next_number;
                self.take_ups.insert(number, begun.entry);
                self.play.take_up(&begun, entry);
            }
        }
    }

    /// Breaks the connections of a daemon's callers, who take up their streams at other daemons.
    fn break_streams(&mut self, entry: usize) {
        let now = self.play.fleet.now;
        let awaited =
            |begun: &&BegunStream| begun.entry == entry && now < begun.sent + CALLER_LIMIT;
        for begun in self.play.begun[self.first..].iter().filter(awaited) {
            if self.broken.insert(begun.number) {
                let after = TAKE_UP_AFTER_MS[self.broken.len() % TAKE_UP_AFTER_MS.len()];
                let at = now + Duration::from_millis(after);
                self.due.insert((at, begun.number), begun.clone());
            }
        }
    }

    /// Returns the next daemon that callers reach, other than one.
    fn served_by(&mut self, but: Option<usize>) -> usize {
        loop {
            self.next_entry = (self.next_entry + 1) % DAEMONS;
            let entry = self.next_entry;
            if !self.unserved.contains(&entry) && but != Some(entry) {
                return entry;
            }
        }
    }

    /// Returns the refusals and what they refused.
    fn refusals(&self) -> impl Iterator<Item = (RefusalReason, RefusedRequest)> + '_ {
        self.play.fleet.decisions.iter().filter_map(|(id, decision)| {
            let CallerDecision::Refuse(refusal) = decision else { return None };
            let refused = match self.take_ups.get(&id.as_u128()) {
                None => RefusedRequest::New,
                Some(entry) if self.stopped.contains(entry) => RefusedRequest::OfStopped,
                Some(_) => RefusedRequest::OfCutOff,
            };
            Some((refusal.reason, refused))
        })
    }
}

/// A new stream, or one taken up that a daemon has begun which was stopped or cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RefusedRequest {
    New,
    OfStopped,
    OfCutOff,
}

/// What the streams of a row of rolls came to.
#[derive(Debug, Default)]
struct RowCounts {
    sent: usize,
    begun: usize,
    taken_up: usize,
    went_on: usize,
    joined: Vec<String>,
    refused: BTreeMap<(RefusedRequest, String), usize>,
}

impl RowCounts {
    fn add(&mut self, roll: &RollPlay, before: &PlayCounts) {
        let counts = &roll.play.counts;
        self.sent += counts.sent - before.sent;
        self.begun += counts.begun - before.begun;
        self.taken_up += counts.taken_up;
        self.went_on += counts.went_on;
        self.joined.extend(counts.joined.iter().cloned());
        for (reason, refused) in roll.refusals() {
            *self.refused.entry((refused, format!("{reason:?}"))).or_default() += 1;
        }
    }

    /// Returns the number of streams whose versions were not known.
    fn unknown(&self, refused: RefusedRequest) -> usize {
        let reason = format!("{:?}", RefusalReason::StreamVersionUnknown);
        self.refused.get(&(refused, reason)).copied().unwrap_or_default()
    }
}

/// Guards against streams whose versions only daemons knew that have been stopped by plan.
#[rstest]
#[case::all_others_in_reach(0)]
#[case::two_others_cut_off(2)]
fn streams_of_stopped_daemons_go_on_while_a_version_joins(#[case] dark: usize) {
    let mut row = RowCounts::default();
    for half in [StoppedHalf::First, StoppedHalf::Last, StoppedHalf::EverySecond] {
        for joins_at in 0..4 {
            let mut roll = RollPlay::start(half, dark);
            let before = roll.play.counts.clone();
            roll.run(joins_at);
            row.add(&roll, &before);
        }
    }
    println!("{row:?}");
    let RowCounts { sent, begun, taken_up, went_on, joined, .. } = &row;
    assert!(joined.is_empty(), "{joined:?}");
    assert!(*taken_up > 100, "{row:?}");
    assert_eq!(row.unknown(RefusedRequest::OfStopped), 0, "{row:?}");
    let least = 100 - TOLERATED;
    assert!(went_on * sent * 100 >= taken_up * begun * least, "{row:?}");
}

/// Guards against streams of a killed daemon that are lost as the daemons which know of them are stopped one after the other.
#[test]
fn streams_of_a_killed_daemon_go_on_after_planned_stops_of_all_that_know_them() {
    const STREAMS: u128 = 12;
    let mut fleet = fleet_of(DAEMONS);
    set_versions(&mut fleet, &["v1", "v2"]);
    fleet.run(Duration::from_secs(10));
    let order = fleet.daemons[0].node.scheduler_order().to_vec();
    let order: Vec<usize> = order.iter().map(|daemon| fleet.position(&daemon.vm)).collect();
    let (keepers, others) = order.split_at(3);
    let [other, .., entry] = others else { panic!("{order:?}") };
    let begun: Vec<(u128, String)> =
        (1..=STREAMS).map(|number| (number, begin(&mut fleet, *entry, number))).collect();
    begun.iter().for_each(|(number, _)| fleet.finish(*entry, *number));
    end(&mut fleet, &[*entry]);
    for keeper in keepers {
        fleet.event(*keeper, NodeEvent::Drain);
        fleet.run_until(STOP_LIMIT, |fleet| fleet.ended.contains(keeper));
        assert!(fleet.ended.contains(keeper), "{keeper} has not stopped");
        end(&mut fleet, &[*keeper]);
    }
    for (number, version) in begun {
        // So old that the splits do not prove the versions of all.
        let taken_up = take_up_after(&mut fleet, *other, number, Duration::from_secs(25));
        assert_eq!(taken_up, Ok(version), "{number}");
    }
}
