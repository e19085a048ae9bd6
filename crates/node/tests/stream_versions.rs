//! Streams that callers take up at other daemons of a fleet whose targets have two versions.
//!
//! Guards against daemons that do not know the version that began a stream: it was begun at another daemon, which has
//! ended.

mod support;

use std::time::Duration;

use curlewcleat_core::{RefusalReason, VersionDigest};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::{RequestSpec, TakenUpStream};
use rstest::rstest;

use support::streams::{
    begin, end, fleet_of, last_daemon, set_versions, stream, take_up, take_up_after, CALLER_LIMIT,
};
use support::{mixed_fleet_daemon, mixed_fleet_records, spec, Fleet};

/// More requests than a daemon of the tests may hold.
const MANY_REQUESTS: u128 = 12_000;

#[rstest]
#[case::few(6)]
#[case::many(60)]
fn taken_up_stream_goes_on_at_its_version(#[case] daemons: usize) {
    let mut fleet = Fleet::new(daemons);
    set_versions(&mut fleet, &["v1", "v2"]);
    fleet.run(Duration::from_secs(10));
    let entry = last_daemon(&fleet);
    let begun: Vec<(u128, String)> =
        (1..=12).map(|number| (number, begin(&mut fleet, entry, number))).collect();
    assert!(begun.iter().any(|(_, version)| version == "v1"));
    assert!(begun.iter().any(|(_, version)| version == "v2"));
    // The daemon of the first attempt, the scheduler and its deputy end together.
    let candidates = fleet.candidates();
    end(&mut fleet, &[entry, candidates[0], candidates[1]]);
    let ended = [entry, candidates[0], candidates[1]];
    let other = (0..daemons).find(|index| !ended.contains(index)).expect("another daemon");
    // The first requests find out that the schedulers have ended.
    fleet.run(Duration::from_secs(3));
    for (number, version) in begun {
        assert_eq!(take_up(&mut fleet, other, number), Ok(version), "{number}");
    }
}

#[test]
fn stream_that_began_before_the_second_version_goes_on_at_the_first() {
    let mut fleet = fleet_of(6);
    let entry = last_daemon(&fleet);
    for number in 1..=6 {
        assert_eq!(begin(&mut fleet, entry, number), "v1");
    }
    set_versions(&mut fleet, &["v1", "v2"]);
    fleet.run(Duration::from_secs(2));
    end(&mut fleet, &[entry]);
    // Later than the time in which unknown streams are of the first version.
    fleet.run(Duration::from_secs(8));
    let other = (0..6).find(|index| *index != entry).expect("another daemon");
    for number in 1..=6 {
        assert_eq!(take_up(&mut fleet, other, number), Ok("v1".to_string()));
    }
}

/// Guards against a stream of an unknown version that is taken for one of the first version, since a second one appeared
/// a short time ago.
#[test]
fn stream_whose_daemon_ended_with_the_second_version_goes_on_only_where_its_slot_proves_it() {
    const STREAMS: u128 = 24;
    let mut fleet = fleet_of(6);
    let entry = last_daemon(&fleet);
    // The platform stores which version serves from the first stream on.
    begin(&mut fleet, entry, 100);
    fleet.run(CALLER_LIMIT);
    for number in 1..=STREAMS {
        assert_eq!(begin(&mut fleet, entry, number), "v1");
        fleet.finish(entry, number);
    }
    end(&mut fleet, &[entry]);
    set_versions(&mut fleet, &["v1", "v2"]);
    fleet.run(Duration::from_secs(2));
    let split = fleet.histories["p"].splits.last().expect("a split").clone();
    let first = VersionDigest::of(Some(&"v1".to_string()));
    let other = (0..6).find(|index| *index != entry).expect("another daemon");
    let mut refused = 0;
    for number in 1..=STREAMS {
        let taken_up = take_up_after(&mut fleet, other, number, Duration::from_secs(20));
        if split.version_of(&stream(number)) == Some(first) {
            assert_eq!(taken_up, Ok("v1".to_string()), "{number}");
        } else {
            assert_eq!(taken_up, Err(RefusalReason::StreamVersionUnknown), "{number}");
            refused += 1;
        }
    }
    assert!((1..STREAMS).contains(&refused), "{refused} of {STREAMS}");
}

/// Guards against streams that are taken for those of the only version that a new daemon has seen.
#[test]
fn stream_is_refused_where_the_platform_has_not_stored_which_version_served() {
    let mut fleet = fleet_of(6);
    assert_eq!(fleet.histories.len(), 0, "no stream has begun");
    assert_eq!(take_up(&mut fleet, 1, 99), Err(RefusalReason::StreamVersionUnknown));
}

/// Guards against streams that cannot go on while the platform does not answer, although one version has served for long.
#[test]
fn stream_goes_on_while_the_platform_is_down_where_one_version_has_served() {
    let mut fleet = fleet_of(6);
    let entry = last_daemon(&fleet);
    assert_eq!(begin(&mut fleet, entry, 1), "v1");
    fleet.run(Duration::from_secs(40));
    assert_eq!(begin(&mut fleet, entry, 2), "v1");
    end(&mut fleet, &[entry]);
    fleet.daemons.iter_mut().for_each(|daemon| daemon.reaches_platform = false);
    let other = (0..6).find(|index| *index != entry).expect("another daemon");
    let taken_up = take_up_after(&mut fleet, other, 2, Duration::from_secs(2));
    assert_eq!(taken_up, Ok("v1".to_string()));
}

#[test]
fn stream_that_nobody_knows_is_refused_within_its_time() {
    let mut fleet = fleet_of(6);
    set_versions(&mut fleet, &["v1", "v2"]);
    fleet.run(Duration::from_secs(10));
    assert_eq!(take_up(&mut fleet, 1, 99), Err(RefusalReason::StreamVersionUnknown));
    // Daemons that do not answer delay the refusal, not more.
    let others: Vec<usize> = (0..6).filter(|index| *index != 1).collect();
    end(&mut fleet, &others);
    assert_eq!(take_up(&mut fleet, 1, 98), Err(RefusalReason::StreamVersionUnknown));
}

/// Guards against a daemon that takes any number of requests while they wait for the versions of their streams.
#[test]
fn requests_that_wait_for_a_version_count_towards_the_limit_of_requests() {
    let mut fleet = Fleet::new(6);
    set_versions(&mut fleet, &["v1", "v2"]);
    fleet.run(Duration::from_secs(10));
    let others: Vec<usize> = (0..6).filter(|index| *index != 1).collect();
    end(&mut fleet, &others);
    for number in 0..MANY_REQUESTS {
        let takes_up = Some(TakenUpStream { stream: Some(stream(number)) });
        let spec = RequestSpec { takes_up, ..spec(1_000_000 + number) };
        fleet.event(1, NodeEvent::Admit(Box::new(spec)));
    }
    let is_full = |(_, decision): &&(_, CallerDecision)| matches!(decision, CallerDecision::Refuse(refusal) if refusal.reason == RefusalReason::EntryFull);
    let refused = fleet.decisions.iter().filter(is_full).count();
    assert!(refused > 0, "all of {MANY_REQUESTS} wait");
}

/// Guards against streams that nobody remembers but their own daemon, since the strongest daemons were killed and are back at
/// once, as the first schedulers again.
#[test]
fn streams_go_on_after_the_first_schedulers_were_killed_and_came_back() {
    const STRONG: [usize; 3] = [5, 21, 37];
    const STREAMS: u128 = 12;
    let (entry, other) = (1, 2);
    let mut fleet = Fleet::mixed(40);
    set_versions(&mut fleet, &["v1", "v2"]);
    fleet.run(Duration::from_secs(10));
    let begun: Vec<(u128, String)> =
        (1..=STREAMS).map(|number| (number, begin(&mut fleet, entry, number))).collect();
    begun.iter().for_each(|(number, _)| fleet.finish(entry, *number));
    for index in STRONG {
        fleet.daemons[index] = mixed_fleet_daemon(index, Vec::new(), 2, 20);
        fleet.event(index, mixed_fleet_records(40));
        fleet.run(Duration::from_secs(1));
    }
    for (number, version) in begun {
        // So old that the splits do not prove the versions of all.
        let taken_up = take_up_after(&mut fleet, other, number, Duration::from_secs(25));
        assert_eq!(taken_up, Ok(version), "{number}");
    }
}
