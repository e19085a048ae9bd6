//! Streams that are taken up after all daemons have lost power, beside a version that joins.

mod support;

#[path = "out_of_step/play.rs"]
mod play;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::RefusalReason;
use curlewcleat_node::CallerDecision;
use rstest::rstest;

use play::{BegunStream, StreamPlay, FIRST_TAKE_UP};
use support::streams::set_versions;

const DAEMONS: usize = 7;
/// Time between two new streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which two versions serve before the third one joins, or one version where a second one does.
const SETTLED_AFTER: Duration = Duration::from_secs(12);
/// Times from the joining of a version to the loss of power.
const LOST_AFTER_MS: [u64; 4] = [1_000, 2_000, 3_500, 6_000];
/// Time for which the daemons have no power.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Times from the return of the daemons to the take-up of a stream, in turn.
const TAKE_UP_AFTER_MS: [u64; 4] = [500, 1_500, 3_000, 4_500];
/// Time for which new streams are compared with those that are taken up, and for which the latter are decided.
const COMPARED_TIME: Duration = Duration::from_secs(5);
/// Times of callers that differ, up to the longest one that the store holds.
const CALLER_LIMITS: [Duration; 4] = [
    Duration::from_secs(8),
    Duration::from_millis(5_500),
    Duration::from_millis(7_300),
    Duration::from_secs(4),
];
/// Largest difference of clocks for which proofs hold.
const CLOCK_DIFFERENCE: Duration = Duration::from_secs(2);
/// What may be lost of the share of new streams that begin, in hundredths.
const TOLERATED: usize = 5;

/// What came of the new streams and of those that were taken up, after the losses.
#[derive(Debug, Default)]
struct RowCounts {
    sent: usize,
    begun: usize,
    taken_up: usize,
    went_on: usize,
    unknown: usize,
    joined: Vec<String>,
}

/// Sends streams to all daemons in turn for some time.
fn run_streams(play: &mut StreamPlay, time: Duration) {
    let end = play.fleet.now + time;
    while play.fleet.now < end {
        play.begin(play.next_number as usize % DAEMONS);
        play.run(STREAM_INTERVAL);
    }
}

/// Takes all power from the daemons, and starts them anew.
fn lose_power(play: &mut StreamPlay) {
    for daemon in &mut play.fleet.daemons {
        daemon.cut = true;
        daemon.reaches_platform = false;
    }
    play.run(DOWN_TIME);
    (0..DAEMONS).for_each(|index| play.fleet.restart(index, 2));
}

/// Has the callers of the streams that began before the loss take them up while new streams begin.
fn take_up_lost(play: &mut StreamPlay, first: usize) {
    let back = play.fleet.now;
    let lost: Vec<BegunStream> = play.begun[first..].to_vec();
    let mut due: BTreeMap<(Duration, u128), BegunStream> = BTreeMap::new();
    for (turn, begun) in lost.into_iter().enumerate() {
        let after = TAKE_UP_AFTER_MS[turn % TAKE_UP_AFTER_MS.len()];
        due.insert((back + Duration::from_millis(after), begun.number), begun);
    }
    while play.fleet.now < back + COMPARED_TIME {
        run_streams(play, STREAM_INTERVAL);
        while let Some(entry) = due.first_entry().filter(|due| due.key().0 <= play.fleet.now) {
            let begun = entry.remove();
            if play.is_awaited(&begun) {
                play.take_up(&begun, (begun.entry + 1) % DAEMONS);
            }
        }
    }
    play.run(Duration::from_secs(1));
}

fn is_unknown(decision: &CallerDecision) -> bool {
    let CallerDecision::Refuse(refusal) = decision else { return false };
    refusal.reason == RefusalReason::StreamVersionUnknown
}

/// Adds what came of a loss of power some time after the targets changed.
fn add_loss(
    row: &mut RowCounts,
    versions: [&[&str]; 2],
    lost_after: Duration,
    faults: impl Fn(&mut StreamPlay),
) {
    let mut play = StreamPlay::start(DAEMONS);
    faults(&mut play);
    set_versions(&mut play.fleet, versions[0]);
    run_streams(&mut play, SETTLED_AFTER);
    let first = play.begun.len();
    set_versions(&mut play.fleet, versions[1]);
    run_streams(&mut play, lost_after);
    lose_power(&mut play);
    let before = (play.counts.clone(), play.fleet.decisions.len());
    take_up_lost(&mut play, first);
    row.sent += play.counts.sent - before.0.sent;
    row.begun += play.counts.begun - before.0.begun;
    row.taken_up += play.counts.taken_up;
    row.went_on += play.counts.went_on;
    row.joined.extend(play.counts.joined);
    let decisions = &play.fleet.decisions[before.1..];
    let take_ups = decisions.iter().filter(|(id, _)| id.as_u128() >= FIRST_TAKE_UP);
    let unknown = take_ups.filter(|(_, decision)| is_unknown(decision));
    row.unknown += unknown.count();
}

/// Guards against streams that are refused since all daemons have forgotten them, while new ones begin.
#[rstest]
#[case::second_version(&["v1"], &["v1", "v2"])]
#[case::third_version(&["v1", "v2"], &["v1", "v2", "v3"])]
#[case::in_place_of_another(&["v1", "v2"], &["v2", "v3"])]
fn streams_go_on_after_all_daemons_have_lost_power(
    #[case] before: &[&str],
    #[case] after: &[&str],
) {
    let mut row = RowCounts::default();
    for millis in LOST_AFTER_MS {
        add_loss(&mut row, [before, after], Duration::from_millis(millis), |_| {});
    }
    println!("{row:?}");
    let RowCounts { sent, begun, taken_up, went_on, joined, .. } = &row;
    assert!(joined.is_empty(), "{joined:?}");
    assert!(*taken_up > 100, "{row:?}");
    let least = 100 - TOLERATED;
    assert!(went_on * sent * 100 >= taken_up * begun * least, "{row:?}");
}

/// Guards against streams that go on at another version since clocks differ, or callers have less time than is stored.
#[rstest]
#[case::second_version(&["v1"], &["v1", "v2"])]
#[case::third_version(&["v1", "v2"], &["v1", "v2", "v3"])]
#[case::in_place_of_another(&["v1", "v2"], &["v2", "v3"])]
fn streams_are_not_joined_beside_clocks_and_callers_that_differ(
    #[case] before: &[&str],
    #[case] after: &[&str],
    #[values(0, 1, 2)] clocks: usize,
) {
    let mut row = RowCounts::default();
    let faults = |play: &mut StreamPlay| {
        play.caller_limits = CALLER_LIMITS.to_vec();
        let ahead = (0..DAEMONS).filter(|index| index % 3 == clocks);
        play.fleet.clocks_ahead = ahead.map(|index| (index, CLOCK_DIFFERENCE)).collect();
    };
    for millis in LOST_AFTER_MS {
        add_loss(&mut row, [before, after], Duration::from_millis(millis), faults);
    }
    println!("{row:?}");
    assert!(row.joined.is_empty(), "{:?}", row.joined);
    assert!(row.went_on * 2 > row.taken_up, "{row:?}");
}

/// Guards against streams that go on at another version since the store does the last writes before the loss after it.
#[rstest]
fn streams_are_not_joined_beside_writes_that_are_done_late(
    #[values(200, 700, 1_500)] delay_ms: u64,
) {
    let mut row = RowCounts::default();
    let faults = |play: &mut StreamPlay| {
        let late = (0..DAEMONS).map(|index| (index, Duration::from_millis(delay_ms)));
        play.fleet.history_write_delays = late.collect();
    };
    for millis in LOST_AFTER_MS {
        let versions: [&[&str]; 2] = [&["v1"], &["v1", "v2"]];
        add_loss(&mut row, versions, Duration::from_millis(millis), faults);
    }
    println!("{row:?}");
    assert!(row.joined.is_empty(), "{:?}", row.joined);
    assert!(row.taken_up > 100, "{row:?}");
}

/// Guards against streams that go on at another version since a daemon of an earlier version has dropped some lists.
#[test]
fn streams_are_not_joined_where_lists_are_dropped() {
    let mut play = StreamPlay::start(DAEMONS);
    run_streams(&mut play, SETTLED_AFTER);
    let first = play.begun.len();
    set_versions(&mut play.fleet, &["v1", "v2"]);
    for _ in 0..4 {
        run_streams(&mut play, Duration::from_millis(900));
        let mut stored = play.fleet.histories["p"].clone();
        assert!(!stored.begun.is_empty());
        stored.begun.clear();
        play.fleet.write_history(stored);
    }
    lose_power(&mut play);
    take_up_lost(&mut play, first);
    println!("{:?}", play.counts);
    assert!(play.counts.joined.is_empty(), "{:?}", play.counts.joined);
    assert!(play.counts.went_on > 0, "{:?}", play.counts);
}
