//! Proofs of the version that began a stream which no daemon remembers, beside a slow platform and partitions.

mod support;

use std::time::Duration;

use curlewcleat_core::RequestId;
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::RequestSpec;
use rstest::rstest;

use support::streams::{
    begin, end, fleet_of, last_daemon, set_versions, stream, take_up_after, CALLER_LIMIT,
    DECISION_LIMIT,
};
use support::{spec, Fleet};

const DAEMONS: usize = 6;
const STREAMS: u128 = 24;
/// Time that a killed fleet is down.
const DOWN: Duration = Duration::from_secs(1);

/// Begins streams at a daemon; returns their numbers and versions.
fn begin_streams(fleet: &mut Fleet, index: usize) -> Vec<(u128, String)> {
    for number in 1..=STREAMS {
        let begins = Some(stream(number));
        let spec = RequestSpec { begins, caller_time_left: Some(CALLER_LIMIT), ..spec(number) };
        fleet.event(index, NodeEvent::Admit(Box::new(spec)));
    }
    fleet.run(DECISION_LIMIT);
    let version = |number| match fleet.decision(number) {
        Some(CallerDecision::Dispatch(_, target)) => target.version.clone(),
        _ => None,
    };
    (1..=STREAMS).filter_map(|number| Some((number, version(number)?))).collect()
}

/// Guards against streams that an earlier split began while the read of the next one was not answered.
#[rstest]
#[case::in_time(Duration::from_millis(500))]
#[case::late(Duration::from_millis(2_500))]
#[case::very_late(Duration::from_secs(5))]
fn stream_is_not_joined_where_the_platform_answers_late_before_all_daemons_are_killed(
    #[case] unanswered: Duration,
) {
    let mut fleet = fleet_of(DAEMONS);
    let entry = last_daemon(&fleet);
    begin(&mut fleet, entry, 100);
    fleet.run(CALLER_LIMIT);
    fleet.drops_history_reads = true;
    set_versions(&mut fleet, &["v1", "v2"]);
    fleet.run(unanswered);
    let begun = begin_streams(&mut fleet, entry);
    assert!(begun.len() > 8, "{}", begun.len());
    let mut restarted = Fleet::new(DAEMONS);
    set_versions(&mut restarted, &["v1", "v2"]);
    let down = fleet.now + DOWN - restarted.now;
    restarted.run(down);
    restarted.histories = fleet.histories.clone();
    for (number, version) in begun {
        let age = restarted.now - fleet.now + DECISION_LIMIT;
        let taken_up = take_up_after(&mut restarted, 1, number, age);
        assert!(taken_up.as_ref().map_or(true, |at| *at == version), "{number}: {taken_up:?}");
    }
}

/// Guards against a scheduler that was replaced during a partition and proves by the splits that it knows.
#[test]
fn stream_is_not_joined_by_a_partitioned_scheduler() {
    let mut fleet = fleet_of(DAEMONS);
    let old = fleet.candidates()[0];
    let near = (0..DAEMONS).find(|index| *index != old).expect("one");
    let far = (0..DAEMONS).rev().find(|index| ![old, near].contains(index)).expect("one");
    begin(&mut fleet, far, 100);
    fleet.run(Duration::from_secs(60));
    for index in [old, near] {
        fleet.daemons[index].reaches_platform = false;
        for other in (0..DAEMONS).filter(|other| ![old, near].contains(other)) {
            fleet.blocked.extend([(index, other), (other, index)]);
        }
    }
    set_versions(&mut fleet, &["v1", "v2"]);
    fleet.run(Duration::from_secs(4));
    let begun = begin_streams(&mut fleet, far);
    assert!(begun.iter().any(|(_, version)| version == "v2"), "{begun:?}");
    for index in [old, near] {
        for (number, version) in &begun {
            let second = 1_000_000 * (index as u128 + 1) + number;
            let taken_up = take_up_as(&mut fleet, index, *number, second);
            assert!(taken_up.is_none_or(|at| at == *version), "{number} at {index}");
        }
    }
}

/// Takes up a stream by an attempt of this number; returns the version at which it goes on, if it does.
fn take_up_as(fleet: &mut Fleet, index: usize, number: u128, second: u128) -> Option<String> {
    let takes_up = Some(curlewcleat_sched::TakenUpStream { stream: Some(stream(number)) });
    let caller_time_left = Some(CALLER_LIMIT - DECISION_LIMIT);
    let request = RequestId::from_u128(second);
    let spec = RequestSpec { request, takes_up, caller_time_left, ..spec(second) };
    fleet.event(index, NodeEvent::Admit(Box::new(spec)));
    fleet.run(DECISION_LIMIT);
    match fleet.decision(second) {
        Some(CallerDecision::Dispatch(_, entry)) => entry.version.clone(),
        _ => None,
    }
}

/// Guards against a proof that comes after the daemon that asks was told that there is none.
#[test]
fn stream_goes_on_at_each_daemon_where_the_platform_does_not_answer() {
    for index in 0..DAEMONS {
        let mut fleet = fleet_of(DAEMONS);
        let entry = last_daemon(&fleet);
        if index == entry {
            continue;
        }
        begin(&mut fleet, entry, 1);
        fleet.run(Duration::from_secs(40));
        begin(&mut fleet, entry, 2);
        end(&mut fleet, &[entry]);
        fleet.run(Duration::from_secs(6));
        fleet.daemons.iter_mut().for_each(|daemon| daemon.reaches_platform = false);
        let taken_up = take_up_after(&mut fleet, index, 2, Duration::from_secs(8));
        assert_eq!(taken_up, Ok("v1".to_string()), "at {index}");
    }
}

/// Guards against a daemon that takes the time before its start for a standstill, and so counts back too far.
#[test]
fn stream_goes_on_right_after_all_daemons_were_started_anew() {
    let mut fleet = fleet_of(DAEMONS);
    let entry = last_daemon(&fleet);
    begin(&mut fleet, entry, 100);
    fleet.run(CALLER_LIMIT);
    set_versions(&mut fleet, &["v1", "v2"]);
    fleet.run(Duration::from_secs(10));
    let at = fleet.now;
    let begun = begin_streams(&mut fleet, entry);
    let (number, version) = begun.into_iter().find(|(_, version)| version == "v2").expect("one");
    fleet.daemons.iter_mut().for_each(|daemon| daemon.cut = true);
    fleet.run(DOWN);
    // As a daemon of an earlier version leaves it: only the splits tell the version.
    fleet.histories.values_mut().for_each(|history| history.begun.clear());
    (0..DAEMONS).for_each(|index| fleet.restart(index, 2));
    fleet.run(DECISION_LIMIT);
    let age = fleet.now - at;
    assert_eq!(take_up_after(&mut fleet, entry, number, age), Ok(version));
}
