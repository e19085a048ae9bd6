//! Tests parts of prompts that terminate targets, in a fleet: every daemon holds requests with the part before any list
//! entry has expired, whichever daemons saw the terminations and whichever are lost, and serves those without it.

#[path = "lethal_parts/fleet.rs"]
mod fleet;
mod support;

use std::time::Duration;

use curlewcleat_core::{
    DaemonId, FeatureKind, FeatureReport, PeerFrame, PeerMessage, PoolHash, RefusalReason,
    SharedParts, SuspectsPull,
};
use curlewcleat_node::{CallerDecision, NodeAction, NodeEvent};
use curlewcleat_sched::RequestSpec;
use rstest::rstest;

use fleet::{
    assert_all, fleet_of, list_targets, part_features, submit, terminate, terminations, EXPIRY,
    LETHAL, PAUSE, SOUND, SPREAD_LIMIT, TARGETS, TERMINATIONS,
};
use support::{mixed_fleet_daemon, spec};

/// No list entry has expired: by then the users' bound has passed.
#[rstest]
#[case::small(3)]
#[case::large(40)]
fn every_daemon_holds_requests_with_the_part_within_the_bound(#[case] daemons: usize) {
    let mut fleet = fleet_of(daemons);
    let other = fleet.non_candidates().last().copied().unwrap_or(0);
    terminations(&mut fleet, [other, 0, daemons - 1, other]);
    fleet.run(SPREAD_LIMIT - PAUSE * TERMINATIONS as u32);
    let everyone: Vec<usize> = (0..daemons).collect();
    assert_all(&mut fleet, &everyone, 1, RefusalReason::RequestSuspect);
}

#[test]
fn requests_with_the_part_are_refused_once_the_entries_have_expired_and_others_are_served() {
    let mut fleet = fleet_of(5);
    terminations(&mut fleet, [0, 1, 2, 3]);
    fleet.run(EXPIRY);
    list_targets(&mut fleet, TERMINATIONS);
    fleet.run(SPREAD_LIMIT);
    let everyone: Vec<usize> = (0..5).collect();
    assert_all(&mut fleet, &everyone, 1, RefusalReason::RequestLethal);
    for index in everyone {
        assert_eq!(submit(&mut fleet, index, 5_000 + index as u128, SOUND), None);
    }
    let stored: Vec<FeatureKind> =
        fleet.refusals.iter().map(|(_, report)| report.feature.kind).collect();
    assert_eq!(stored, [FeatureKind::Part], "one call, and none for the parts of the accounts");
}

/// One packet in four is lost.
#[test]
fn lost_frames_only_delay_reports_on_parts() {
    let mut fleet = fleet_of(6);
    terminate(&mut fleet, 5, 0, LETHAL);
    assert_eq!(submit(&mut fleet, 5, 900_000, SOUND), None);
    fleet.losses = Some((4, 7));
    for (number, index) in [(1, 0), (2, 3), (3, 1)] {
        terminate(&mut fleet, index, number, LETHAL);
    }
    fleet.run(SPREAD_LIMIT * 2);
    fleet.losses = None;
    assert_all(&mut fleet, &[0, 1, 2, 3, 4, 5], 1, RefusalReason::RequestSuspect);
}

#[rstest]
#[case::small(5)]
#[case::large(40)]
fn loss_of_the_scheduler_loses_no_termination(#[case] daemons: usize) {
    let mut fleet = fleet_of(daemons);
    let leader = fleet.leader();
    let others: Vec<usize> = (0..daemons).filter(|index| *index != leader).collect();
    let seen_by = *others.last().expect("another daemon");
    for number in 0..3 {
        terminate(&mut fleet, seen_by, number, LETHAL);
        assert_eq!(submit(&mut fleet, others[0], 900_000 + number as u128, SOUND), None);
    }
    fleet.daemons[leader].cut = true;
    fleet.run(SPREAD_LIMIT);
    terminate(&mut fleet, others[0], 3, LETHAL);
    fleet.run(SPREAD_LIMIT - PAUSE);
    assert_all(&mut fleet, &others, 1, RefusalReason::RequestSuspect);
}

/// One side of the partition knows of three terminations, the other of one.
#[test]
fn both_sides_of_a_partition_hold_requests_with_the_part_after_it_has_healed() {
    let mut fleet = fleet_of(6);
    terminate(&mut fleet, 0, 0, LETHAL);
    assert_eq!(submit(&mut fleet, 0, 900_000, SOUND), None);
    for one in 0..3 {
        for other in 3..6 {
            fleet.blocked.insert((one, other));
            fleet.blocked.insert((other, one));
        }
    }
    terminate(&mut fleet, 0, 1, LETHAL);
    terminate(&mut fleet, 1, 2, LETHAL);
    terminate(&mut fleet, 4, 3, LETHAL);
    fleet.blocked.clear();
    fleet.run(SPREAD_LIMIT);
    assert_all(&mut fleet, &[0, 1, 2, 3, 4, 5], 1, RefusalReason::RequestSuspect);
}

#[test]
fn new_daemon_holds_requests_with_the_part_before_it_serves() {
    let mut fleet = fleet_of(5);
    terminations(&mut fleet, [0, 1, 2, 0]);
    fleet.run(SPREAD_LIMIT);
    let addresses: Vec<String> = fleet.daemons[0].node.peer_addresses().into_iter().collect();
    fleet.daemons[4] = mixed_fleet_daemon(4, addresses, 2, 0);
    // It does not reach the platform, so that it knows only what its peers send.
    fleet.daemons[4].reaches_platform = false;
    fleet.run_until(Duration::from_secs(5), |fleet| fleet.generation_of(4) > 0);
    assert_all(&mut fleet, &[4], 1, RefusalReason::RequestSuspect);
}

/// All daemons restart and read what the platform has stored. No other request was answered since.
#[test]
fn restarted_fleet_refuses_the_stored_part() {
    let mut fleet = fleet_of(3);
    terminations(&mut fleet, [0, 1, 2, 0]);
    fleet.run(EXPIRY);
    list_targets(&mut fleet, TERMINATIONS);
    fleet.run(SPREAD_LIMIT);
    let (_, stored) = fleet.refusals[0].clone();
    let mut restarted = fleet_of(3);
    let stored = FeatureReport { stored: true, begun: None, others_begun: None, ..stored };
    restarted.event(1, NodeEvent::RefusalsRead(vec![stored]));
    restarted.run(SPREAD_LIMIT);
    assert_all(&mut restarted, &[0, 1, 2], 1, RefusalReason::RequestLethal);
    assert_eq!(submit(&mut restarted, 0, 5_000, SOUND), None);
}

/// A request with the part that was admitted before the others terminated targets has its answer at one daemon.
#[test]
fn answer_that_goes_on_frees_the_part_at_every_daemon() {
    let mut fleet = fleet_of(5);
    let running = RequestSpec { part_features: part_features("b", LETHAL), ..spec(7) };
    fleet.event(3, NodeEvent::Admit(Box::new(running)));
    fleet.run(PAUSE);
    terminations(&mut fleet, [0, 1, 2, 0]);
    fleet.run(SPREAD_LIMIT);
    assert_all(&mut fleet, &[0, 1, 2, 3, 4], 1, RefusalReason::RequestSuspect);
    fleet.event(3, NodeEvent::AnswerEstablished(spec(7).request));
    fleet.run(SPREAD_LIMIT);
    let lethal_of_all = &part_features("b", &["lethal"])[1..];
    let statuses = fleet.daemons.iter().map(|daemon| daemon.node.status());
    for status in statuses {
        let suspects = status.suspects.iter();
        let remaining = suspects.filter(|suspect| lethal_of_all.contains(&suspect.feature));
        assert!(remaining.clone().all(|suspect| suspect.interruptions.is_empty()));
    }
}

/// The request was admitted and waits for a slot when the last target terminates.
#[test]
fn waiting_request_with_the_part_is_refused_when_granted() {
    let mut fleet = fleet_of(3);
    for number in 1..=(TARGETS * 4) as u128 {
        fleet.admit(0, number);
    }
    let waiting = RequestSpec { part_features: part_features("a", LETHAL), ..spec(500) };
    fleet.event(1, NodeEvent::Admit(Box::new(waiting)));
    fleet.run(PAUSE);
    assert_eq!(fleet.decision(500), None);
    for number in 0..TERMINATIONS {
        terminate(&mut fleet, 2, number, LETHAL);
        let other = RequestSpec { part_features: part_features("a", SOUND), ..spec(600) };
        fleet.event(2, NodeEvent::Admit(Box::new(other)));
        fleet.event(2, NodeEvent::AnswerEstablished(spec(600).request));
        fleet.event(2, NodeEvent::CallerDisconnected(spec(600).request));
    }
    fleet.run(SPREAD_LIMIT / 2);
    for number in 1..=4 {
        fleet.finish(0, number);
    }
    fleet.run(Duration::from_secs(1));
    let Some(CallerDecision::Refuse(refusal)) = fleet.decision(500) else {
        panic!("{:?}", fleet.decision(500));
    };
    assert_eq!(refusal.reason, RefusalReason::RequestSuspect);
}

#[test]
fn part_cleared_by_an_operator_is_refused_by_no_daemon() {
    let mut fleet = fleet_of(3);
    terminations(&mut fleet, [0, 1, 2, 0]);
    fleet.run(SPREAD_LIMIT);
    let lethal = part_features("a", &["lethal"]);
    for feature in lethal {
        fleet.event(1, NodeEvent::ClearSuspect(feature.digest));
    }
    fleet.run(SPREAD_LIMIT);
    for index in 0..3 {
        assert_eq!(submit(&mut fleet, index, 7_000 + index as u128, LETHAL), None);
    }
}

/// A daemon of an earlier version requests reports on whole requests and cannot decode others.
#[test]
fn peer_of_an_earlier_version_gets_no_reports_on_parts() {
    let mut fleet = fleet_of(3);
    terminations(&mut fleet, [0, 0, 0, 0]);
    let from = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let messages = vec![PeerMessage::SuspectsPull(SuspectsPull { known: 0 })];
    let frame = PeerFrame { from, messages };
    let event = NodeEvent::PeerFrameReceived(frame);
    let actions = fleet.daemons[0].node.handle(fleet.now, fleet.now, event);
    let sent = actions.into_iter().filter_map(|action| match action {
        NodeAction::Send(_, frame) => Some(frame.messages),
        _ => None,
    });
    let sent: Vec<PeerMessage> = sent.flatten().collect();
    assert!(matches!(&sent[..], [PeerMessage::SuspectsPush(push)] if push.requests.len() == 4));
}

/// The answer of another pool says nothing about the targets of this one.
#[test]
fn features_of_two_pools_differ() {
    assert_ne!(PoolHash::of("p"), PoolHash::of("q"));
    let of = |pool| SharedParts { pool, account: None, ids: &["x"] }.features();
    assert_ne!(of("p"), of("q"));
}

/// A stream that began before a version made the part lethal ends long after: its end says nothing about targets that
/// begin an answer now.
#[test]
fn end_of_a_stream_that_began_earlier_does_not_free_the_part() {
    let mut fleet = fleet_of(3);
    let running = RequestSpec { part_features: part_features("b", LETHAL), ..spec(7) };
    fleet.event(0, NodeEvent::Admit(Box::new(running)));
    fleet.run(PAUSE);
    fleet.event(0, NodeEvent::AnswerEstablished(spec(7).request));
    fleet.run(Duration::from_secs(2));
    terminations(&mut fleet, [0, 1, 2, 0]);
    fleet.finish(0, 7);
    fleet.run(PAUSE);
    assert_all(&mut fleet, &[0, 1, 2], 1, RefusalReason::RequestSuspect);
}

/// All sound requests of the pool state no parts that other prompts share, so that only their ends are seen.
#[test]
fn part_is_held_where_other_requests_of_the_pool_state_no_shared_parts() {
    let mut fleet = fleet_of(3);
    for number in 0..TERMINATIONS {
        terminate(&mut fleet, 0, number, LETHAL);
        let sound = 900_000 + number as u128;
        fleet.event(1, NodeEvent::Admit(Box::new(spec(sound))));
        fleet.run(PAUSE);
        fleet.finish(1, sound);
    }
    fleet.run(SPREAD_LIMIT / 2);
    assert_all(&mut fleet, &[0, 1, 2], 1, RefusalReason::RequestSuspect);
}
