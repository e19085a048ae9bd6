//! Tests that a few daemons read the platform and the others rely on their reads.

mod support;

use std::time::Duration;

use curlewcleat_node::{CallerDecision, FreshnessLimits, ReadRole};
use rstest::rstest;

use support::{daemon, recorded, target, Fleet, APPLY_LIMIT};

/// Time after the loss of the readers within which the other daemons have a change in force.
const RECOVERY_LIMIT: Duration = Duration::from_millis(1_500);

#[rstest]
#[case(3)]
#[case(7)]
#[case(40)]
fn two_daemons_read_and_every_daemon_has_a_young_proof(#[case] daemons: usize) {
    let mut fleet = Fleet::new(daemons);
    assert_eq!(fleet.readers().len(), 2);
    let limits = FreshnessLimits::within(APPLY_LIMIT);
    for _ in 0..100 {
        fleet.run(Duration::from_millis(40));
        for index in 0..daemons {
            assert!(fleet.proof_age(index) < limits.fallback_after, "{index}");
        }
    }
    let before = fleet.calls;
    fleet.run(Duration::from_secs(10));
    assert!(fleet.calls - before <= 42, "{} calls in ten seconds", fleet.calls - before);
}

#[test]
fn change_reaches_daemons_that_do_not_read() {
    let mut fleet = Fleet::new(20);
    fleet.generation = 5;
    fleet.targets = (vec![target("x", true), target("z", false)], 9);
    fleet.run(Duration::from_secs(1));
    for index in 0..20 {
        assert_eq!(fleet.daemons[index].node.config().generation, 5, "{index}");
        assert_eq!(fleet.known_targets(index), ["x", "z"], "{index}");
    }
}

#[rstest]
#[case::cut_from_the_platform(false)]
#[case::cut_from_everyone(true)]
fn loss_of_both_readers_is_compensated(#[case] cut: bool) {
    let mut fleet = Fleet::new(20);
    for reader in fleet.readers() {
        fleet.daemons[reader].reaches_platform = false;
        fleet.daemons[reader].cut = cut;
    }
    let lost: Vec<usize> =
        (0..20).filter(|index| !fleet.daemons[*index].reaches_platform).collect();
    fleet.generation = 5;
    fleet.targets = (vec![target("x", true), target("y", false)], 9);
    fleet.run(RECOVERY_LIMIT);
    for index in (0..20).filter(|index| !lost.contains(index)) {
        assert_eq!(fleet.daemons[index].node.config().generation, 5, "{index}");
    }
    fleet.run(Duration::from_secs(6));
    let readers = fleet.readers();
    assert!(readers.iter().filter(|reader| !lost.contains(reader)).count() == 2, "{readers:?}");
    let fallback =
        fleet.daemons.iter().filter(|daemon| daemon.read_role == ReadRole::Fallback).count();
    assert!(fallback <= 2, "{fallback} daemons read for themselves");
}

/// The platform refused a third of the daemons, both readers among them. These kept the role until their view was
/// stale, when all proofs were as old: every daemon that could read did so at the same moment, and those that could
/// not refused requests with a token (107 of them permanently within three seconds).
#[rstest]
#[case(20)]
#[case(60)]
fn readers_refused_by_the_platform_are_replaced_before_any_proof_is_too_old(
    #[case] daemons: usize,
) {
    let mut fleet = Fleet::new(daemons);
    let readers = fleet.readers();
    let candidates = fleet.candidates();
    for index in 0..daemons {
        let ordinary = index % 3 == 0 && !candidates.contains(&index);
        fleet.daemons[index].reaches_platform = !(readers.contains(&index) || ordinary);
    }
    let before = fleet.calls;
    let limits = FreshnessLimits::within(APPLY_LIMIT);
    for _ in 0..300 {
        fleet.run(Duration::from_millis(20));
        for index in 0..daemons {
            let age = fleet.proof_age(index);
            assert!(age < limits.fallback_after, "{index}: {age:?}");
        }
    }
    // Two readers, the earlier ones, and daemons that were queried for a while.
    let calls = fleet.calls - before;
    assert!(calls <= 150, "{calls} calls in six seconds");
}

#[test]
fn answer_to_an_earlier_process_proves_nothing() {
    let mut fleet = Fleet::new(3);
    let other = (0..3).find(|index| fleet.daemons[*index].read_role == ReadRole::Idle);
    let other = other.expect("an idle daemon");
    // The process restarts, and its clock with it; answers to the earlier process's queries reach the new one.
    fleet.daemons[other] = daemon(other, Vec::new());
    fleet.daemons[other].reaches_platform = false;
    for index in 0..3 {
        fleet.daemons[index].reaches_platform = false;
    }
    fleet.run(APPLY_LIMIT * 3);
    let age = fleet.proof_age(other);
    assert!(age > APPLY_LIMIT * 2, "{age:?}");
}

#[test]
fn proof_through_a_peer_is_never_younger_than_the_read() {
    let mut fleet = Fleet::new(7);
    for index in 0..7 {
        fleet.daemons[index].reaches_platform = false;
    }
    let cut_off = fleet.now;
    fleet.run(Duration::from_secs(3));
    for index in 0..7 {
        let proved = fleet.daemons[index].proved.expect("an earlier proof");
        assert!(proved <= cut_off, "{index}: {proved:?} after {cut_off:?}");
    }
}

#[test]
fn targets_that_lose_their_entries_in_an_outage_stay_in_use() {
    let mut fleet = Fleet::new(5);
    for index in 0..5 {
        fleet.daemons[index].reaches_platform = false;
    }
    fleet.run(Duration::from_secs(4));
    // Both list entries expired; one target is alive and announces itself again.
    fleet.targets = (Vec::new(), 20);
    for index in 0..5 {
        fleet.daemons[index].reaches_platform = true;
    }
    fleet.run(Duration::from_secs(1));
    for index in 0..5 {
        assert_eq!(fleet.known_targets(index), ["x", "y"], "{index}");
    }
    fleet.targets = (vec![target("x", false)], 21);
    fleet.run(Duration::from_secs(3));
    for index in 0..5 {
        assert_eq!(fleet.known_targets(index), ["x"], "{index}");
    }
}

#[test]
fn leaving_target_stays_leaving_after_an_older_view_of_the_store() {
    let mut fleet = Fleet::new(5);
    fleet.targets = (vec![target("x", true), target("y", false)], 20);
    fleet.run(Duration::from_secs(1));
    // The store fails and then shows a state older than what it had acknowledged.
    for index in 0..5 {
        fleet.daemons[index].reaches_platform = false;
    }
    fleet.run(Duration::from_secs(3));
    fleet.targets = (vec![target("x", false), target("y", false)], 21);
    for index in 0..5 {
        fleet.daemons[index].reaches_platform = true;
    }
    fleet.run(Duration::from_secs(1));
    for number in 1..=4 {
        fleet.admit(number as usize, number);
        fleet.run(Duration::from_millis(200));
        match fleet.decision(number) {
            Some(CallerDecision::Dispatch(_, target)) => assert_eq!(target.id, "y"),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn target_that_vanishes_while_the_platform_answers_is_removed_at_once() {
    let mut fleet = Fleet::new(5);
    fleet.targets = (vec![target("y", false)], 20);
    fleet.run(Duration::from_secs(1));
    assert!((0..5).all(|index| fleet.known_targets(index) == ["y"]));
}

#[test]
fn heartbeats_of_a_large_fleet_do_not_grow_quadratically() {
    let mut fleet = Fleet::new(60);
    let before = fleet.frames;
    fleet.run(Duration::from_secs(10));
    let each = (fleet.frames - before) / 60 / 10;
    // Two heartbeats per second to four candidates and a tenth of the others, answers to and from candidates, and
    // four queries per second with their answers; the full mesh takes 118.
    assert!(each <= 45, "{each} frames per second each");
    assert!((0..60).all(|index| fleet.scheduler(index) == fleet.scheduler(0)));
}

#[test]
fn large_fleet_elects_a_scheduler_when_all_candidates_are_cut_off() {
    let mut fleet = Fleet::new(40);
    let order = fleet.candidates();
    for index in &order {
        fleet.daemons[*index].cut = true;
    }
    fleet.run(Duration::from_secs(4));
    let rest: Vec<usize> = (0..40).filter(|index| !order.contains(index)).collect();
    let scheduler = fleet.scheduler(rest[0]);
    assert!(!order.contains(&fleet.position(&scheduler)));
    assert!(rest.iter().all(|index| fleet.scheduler(*index) == scheduler));
}

#[test]
fn restarted_daemon_of_a_large_fleet_agrees_on_scheduler_and_targets() {
    let mut fleet = Fleet::new(40);
    let restarted = 13;
    fleet.daemons[restarted] = daemon(restarted, Vec::new());
    fleet.event(restarted, recorded(40));
    fleet.run(Duration::from_millis(600));
    assert_eq!(fleet.scheduler(restarted), fleet.scheduler((restarted + 1) % 40));
    assert_eq!(fleet.known_targets(restarted), ["x", "y"]);
}
