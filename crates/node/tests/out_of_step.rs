//! Streams that are taken up at a daemon that is out of step: cut off from others or from the platform, or standing
//! still, while targets of another version join.

mod support;

#[path = "out_of_step/plan.rs"]
mod plan;
#[path = "out_of_step/play.rs"]
mod play;

use std::time::Duration;

use rstest::rstest;

use plan::play_seed;
use play::{PlayCounts, StreamPlay};
use support::streams::set_versions;

const DAEMONS: usize = 6;
/// Streams that begin while the daemon is out of step.
const STREAMS: usize = 40;

/// What the daemon that schedules does not reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Daemons,
    DaemonsAndPlatform,
}

/// Guards against streams that other daemons begin without the scheduler's split, and that it proves by that split.
#[rstest]
fn streams_are_not_joined_at_a_scheduler_that_is_cut_off_while_a_version_joins(
    #[values(Cut::Daemons, Cut::DaemonsAndPlatform)] cut: Cut,
    #[values(&["v1", "v2"], &["v2"])] versions: &[&str],
    #[values(0, 1_000, 2_000, 3_000, 6_000)] after_ms: u64,
) {
    let mut play = StreamPlay::start(DAEMONS);
    let scheduler = play.fleet.leader();
    let far = (0..DAEMONS).rev().find(|index| *index != scheduler).expect("one");
    play.fleet.block(scheduler, 0..DAEMONS, true);
    play.fleet.daemons[scheduler].reaches_platform = cut == Cut::Daemons;
    set_versions(&mut play.fleet, versions);
    let since = play.begun.len();
    let after = Duration::from_millis(after_ms);
    for _ in 0..STREAMS {
        play.begin(far);
        play.run(Duration::from_millis(200));
        take_up_later(&mut play, since, scheduler, after);
    }
    let counts = &play.counts;
    assert!(counts.joined.is_empty(), "{counts:?}");
    assert!(counts.begun > STREAMS / 2, "{counts:?}");
}

/// Takes up the streams that began this long ago.
fn take_up_later(play: &mut StreamPlay, since: usize, entry: usize, after: Duration) {
    let now = play.fleet.now;
    let is_due =
        |sent: Duration| sent + after <= now && now < sent + after + Duration::from_millis(200);
    let due: Vec<_> =
        play.begun[since..].iter().filter(|begun| is_due(begun.sent)).cloned().collect();
    for begun in due.iter().filter(|begun| play.is_awaited(begun)).cloned().collect::<Vec<_>>() {
        play.take_up(&begun, entry);
    }
}

/// Guards against a proof that counts back from when a standstill ended: the caller had measured its time before.
#[test]
fn streams_are_not_joined_at_a_daemon_that_stands_still_before_it_asks() {
    let mut play = StreamPlay::start(DAEMONS);
    let since = play.begun.len();
    for _ in 0..STREAMS {
        play.begin(1);
    }
    play.run(Duration::from_millis(300));
    set_versions(&mut play.fleet, &["v2"]);
    play.run(Duration::from_secs(1));
    (0..DAEMONS).for_each(|index| play.fleet.restart(index, 2));
    play.run(Duration::from_secs(2));
    let entry = play.fleet.leader();
    play.fleet.suspend(entry);
    for begun in play.begun.split_off(since) {
        play.take_up(&begun, entry);
    }
    play.run(Duration::from_secs(4));
    play.fleet.resume(entry);
    play.run(Duration::from_secs(1));
    assert!(play.counts.taken_up > 8, "{:?}", play.counts);
    assert!(play.counts.joined.is_empty(), "{:?}", play.counts);
}

/// Guards against streams that are joined beside any order of cuts, standstills, late answers and kills.
#[test]
fn streams_are_not_joined_beside_generated_faults() {
    let (first, count) = (number_from("OUT_OF_STEP_SEED", 0), number_from("OUT_OF_STEP_PLAYS", 40));
    let mut sum = PlayCounts::default();
    for seed in first..first + count {
        let counts = play_seed(seed);
        sum.sent += counts.sent;
        sum.begun += counts.begun;
        sum.taken_up += counts.taken_up;
        sum.went_on += counts.went_on;
        sum.joined.extend(counts.joined.iter().map(|case| format!("seed {seed}: {case}")));
    }
    let PlayCounts { sent, begun, taken_up, went_on, joined } = sum;
    let ended =
        format!("{begun} of {sent} streams begun, {went_on} of {taken_up} taken up went on");
    println!("{count} plays: {ended}, {} joined", joined.len());
    assert!(joined.is_empty(), "{} joined: {:#?}", joined.len(), &joined[..joined.len().min(20)]);
}

/// Reads a number of plays from the environment, for longer runs by hand.
fn number_from(variable: &str, otherwise: u64) -> u64 {
    std::env::var(variable).ok().and_then(|number| number.parse().ok()).unwrap_or(otherwise)
}
