//! Tests requests that terminate their targets, in a fleet: interruptions observed by any daemon are counted together,
//! every daemon knows within the users' bound even if daemons end or are cut off, and the platform is called once.

mod support;

use std::time::Duration;

use curlewcleat_core::{
    DaemonId, DiscoveredTarget, FeatureReport, InterruptionKind, PeerFrame, PeerMessage, Refusal,
    RefusalReason, RequestDigest, RequestIdentity, RequestInterruption, SuspectsPull, SuspectsPush,
    TargetInstance,
};
use curlewcleat_node::{CallerDecision, NodeAction, NodeEvent};
use curlewcleat_sched::RequestSpec;
use rstest::rstest;

use support::{heartbeat, mixed_fleet_daemon, spec, target, Fleet};

/// Time within which every daemon has to know: the users' shortest bound.
const SPREAD_LIMIT: Duration = Duration::from_secs(3);
/// Time after which the list entry of a terminated target expires.
const EXPIRY: Duration = Duration::from_millis(3_500);
const SHORT_WAIT: Duration = Duration::from_millis(100);

fn digest() -> RequestDigest {
    RequestIdentity { method: "POST", host: "h", path: "/p", caller: "a", body: b"lethal" }.digest()
}

fn instance(id: &str) -> TargetInstance {
    TargetInstance { id: id.to_string(), start: None }
}

fn interruption_event(id: &str) -> NodeEvent {
    let interruption = RequestInterruption {
        instance: instance(id),
        kind: InterruptionKind::Closed,
        begun: false,
    };
    NodeEvent::RequestInterrupted(vec![digest().into()], interruption)
}

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("t{number}")).collect()
}

/// Lists these targets at the platform.
fn list_targets(fleet: &mut Fleet, ids: &[String]) {
    fleet.targets = (ids.iter().map(|id| target(id, false)).collect(), fleet.targets.1 + 1);
}

/// Returns a fleet that knows twelve targets.
fn fleet_of(daemons: usize) -> Fleet {
    let mut fleet = Fleet::new(daemons);
    list_targets(&mut fleet, &ids(12));
    fleet.run(Duration::from_secs(3));
    fleet
}

/// Lets the list entries of the first `ended` targets expire.
fn expire_entries(fleet: &mut Fleet, ended: usize) {
    fleet.run(EXPIRY);
    list_targets(fleet, &ids(12)[ended..]);
}

/// Sends the request to a daemon; returns the refusal, `None` if it is admitted.
fn submit(fleet: &mut Fleet, index: usize, number: u128) -> Option<Refusal> {
    let spec = RequestSpec { digest: Some(digest()), ..spec(number) };
    fleet.event(index, NodeEvent::Admit(Box::new(spec)));
    match fleet.decision(number) {
        Some(CallerDecision::Refuse(refusal)) => Some(refusal.clone()),
        _ => {
            fleet.event(index, NodeEvent::CallerDisconnected(support::spec(number).request));
            None
        }
    }
}

/// Returns the refusal reasons that the request gets at these daemons.
fn reasons(fleet: &mut Fleet, daemons: &[usize], number: u128) -> Vec<Option<RefusalReason>> {
    let numbers = (number * 1_000..).zip(daemons);
    numbers.map(|(number, index)| Some(submit(fleet, *index, number)?.reason)).collect()
}

fn assert_all_refuse(fleet: &mut Fleet, daemons: &[usize], number: u128) {
    let reasons = reasons(fleet, daemons, number);
    let refused = vec![Some(RefusalReason::RequestLethal); daemons.len()];
    assert_eq!(reasons, refused, "at {daemons:?}");
}

/// Interrupts the request at three targets, each seen by one of these daemons.
fn three_interruptions(fleet: &mut Fleet, seen_by: [usize; 3]) {
    for (index, id) in seen_by.into_iter().zip(ids(3)) {
        fleet.event(index, interruption_event(&id));
    }
}

#[test]
fn interruptions_seen_by_three_daemons_are_counted_together() {
    let mut fleet = fleet_of(3);
    three_interruptions(&mut fleet, [0, 1, 2]);
    fleet.run(SHORT_WAIT);
    let held = submit(&mut fleet, 0, 1).expect("held until it is known what ended");
    assert_eq!(held.reason, RefusalReason::RequestSuspect);
    assert!(held.retry_after.is_some_and(|wait| wait > Duration::ZERO), "{held:?}");
    assert!(!held.verdict.may_have_run());
    expire_entries(&mut fleet, 3);
    fleet.run(SPREAD_LIMIT);
    for index in 0..3 {
        let refused = submit(&mut fleet, index, 10 + index as u128).expect("refused");
        assert_eq!(refused, Refusal::not_run(RefusalReason::RequestLethal, None));
    }
}

/// In a large fleet most daemons receive messages only from the first few in the order.
#[rstest]
#[case::small(3)]
#[case::large(40)]
fn every_daemon_refuses_the_request_within_the_bound(#[case] daemons: usize) {
    let mut fleet = fleet_of(daemons);
    let non_candidate = fleet.non_candidates().last().copied().unwrap_or(0);
    three_interruptions(&mut fleet, [non_candidate, 0, daemons - 1]);
    fleet.run(SPREAD_LIMIT);
    let everyone: Vec<usize> = (0..daemons).collect();
    let reasons = reasons(&mut fleet, &everyone, 1);
    assert!(
        reasons.iter().all(|reason| *reason == Some(RefusalReason::RequestSuspect)),
        "{reasons:?}"
    );
    expire_entries(&mut fleet, 3);
    fleet.run(SPREAD_LIMIT);
    assert_all_refuse(&mut fleet, &everyone, 2);
}

/// One packet in four is lost.
#[test]
fn lost_frames_only_delay_suspect_reports() {
    let mut fleet = fleet_of(6);
    fleet.losses = Some((4, 7));
    three_interruptions(&mut fleet, [5, 0, 3]);
    expire_entries(&mut fleet, 3);
    fleet.run(SPREAD_LIMIT * 2);
    assert_all_refuse(&mut fleet, &(0..6).collect::<Vec<_>>(), 1);
}

#[rstest]
#[case::small(5)]
#[case::large(40)]
fn loss_of_the_scheduler_loses_no_interruption(#[case] daemons: usize) {
    let mut fleet = fleet_of(daemons);
    let leader = fleet.leader();
    let others: Vec<usize> = (0..daemons).filter(|index| *index != leader).collect();
    let seen_by = *others.last().expect("another daemon");
    for id in &ids(2) {
        fleet.event(seen_by, interruption_event(id));
    }
    fleet.run(SHORT_WAIT);
    fleet.daemons[leader].cut = true;
    fleet.run(SPREAD_LIMIT);
    fleet.event(others[0], interruption_event("t2"));
    expire_entries(&mut fleet, 3);
    fleet.run(SPREAD_LIMIT);
    assert_all_refuse(&mut fleet, &others, 1);
}

/// One side of the partition knows of two interruptions, the other of one.
#[test]
fn both_sides_of_a_partition_refuse_after_it_has_healed() {
    let mut fleet = fleet_of(6);
    for one in 0..3 {
        for other in 3..6 {
            fleet.blocked.insert((one, other));
            fleet.blocked.insert((other, one));
        }
    }
    fleet.run(Duration::from_secs(3));
    fleet.event(0, interruption_event("t0"));
    fleet.event(1, interruption_event("t1"));
    fleet.event(4, interruption_event("t2"));
    expire_entries(&mut fleet, 3);
    fleet.run(Duration::from_secs(1));
    fleet.blocked.clear();
    fleet.run(SPREAD_LIMIT);
    assert_all_refuse(&mut fleet, &(0..6).collect::<Vec<_>>(), 1);
}

#[test]
fn new_daemon_refuses_a_lethal_request_before_it_serves() {
    let mut fleet = fleet_of(5);
    three_interruptions(&mut fleet, [0, 1, 2]);
    expire_entries(&mut fleet, 3);
    fleet.run(SPREAD_LIMIT);
    let addresses: Vec<String> = fleet.daemons[0].node.peer_addresses().into_iter().collect();
    fleet.daemons[4] = mixed_fleet_daemon(4, addresses, 2, 0);
    // It does not reach the platform, so that it knows only what its peers send.
    fleet.daemons[4].reaches_platform = false;
    fleet.run_until(Duration::from_secs(5), |fleet| fleet.generation_of(4) > 0);
    assert!(fleet.generation_of(4) > 0);
    assert_all_refuse(&mut fleet, &[4], 1);
}

/// A restarted fleet loads the stored refusals from the platform.
#[test]
fn refusal_is_stored_at_the_platform_once() {
    let mut fleet = fleet_of(6);
    three_interruptions(&mut fleet, [0, 1, 2]);
    expire_entries(&mut fleet, 3);
    fleet.run(SPREAD_LIMIT * 4);
    assert_eq!(fleet.refusals.len(), 1, "{:?}", fleet.refusals);
    let (leader, stored_refusal) = fleet.refusals[0].clone();
    assert_eq!(leader, fleet.leader());
    fleet.daemons[leader].cut = true;
    fleet.run(SPREAD_LIMIT * 2);
    assert_eq!(fleet.refusals.len(), 1, "another scheduler called the platform again");
    let mut restarted = fleet_of(3);
    restarted
        .event(1, NodeEvent::RefusalsRead(vec![FeatureReport { stored: true, ..stored_refusal }]));
    assert_all_refuse(&mut restarted, &[1], 1);
    restarted.run(SPREAD_LIMIT);
    assert_all_refuse(&mut restarted, &[0, 2], 2);
    assert_eq!(restarted.refusals, [], "the refusal is stored already");
}

/// Terminations cost no platform call, however many targets terminate under however many requests.
#[test]
fn terminations_without_a_lethal_request_cost_no_platform_call() {
    let mut fleet = fleet_of(3);
    for (number, id) in ids(12).iter().enumerate() {
        let identity = RequestIdentity {
            method: "POST",
            host: "h",
            path: "/p",
            caller: "a",
            body: &[number as u8],
        };
        let interruption = RequestInterruption {
            instance: instance(id),
            kind: InterruptionKind::Closed,
            begun: false,
        };
        fleet.event(
            number % 3,
            NodeEvent::RequestInterrupted(vec![identity.digest().into()], interruption),
        );
    }
    expire_entries(&mut fleet, 12);
    fleet.run(SPREAD_LIMIT);
    assert_eq!(fleet.refusals, []);
}

/// A target that announces that it leaves, or whose list entry was removed before, ends as planned.
#[rstest]
#[case::announced(true)]
#[case::removed_before(false)]
fn interruption_at_a_leaving_or_unlisted_target_is_ignored(#[case] announces: bool) {
    let mut fleet = fleet_of(3);
    let listed = if announces { ids(12) } else { ids(12)[3..].to_vec() };
    let leaves = |id: &str| ids(3).contains(&id.to_string());
    fleet.targets = (listed.iter().map(|id| target(id, leaves(id))).collect(), fleet.targets.1 + 1);
    fleet.run(Duration::from_secs(2));
    three_interruptions(&mut fleet, [0, 1, 2]);
    expire_entries(&mut fleet, 3);
    fleet.run(SPREAD_LIMIT);
    assert_eq!(reasons(&mut fleet, &[0, 1, 2], 1), [None, None, None]);
}

/// One daemon loses its connections to the targets, which are still listed.
#[test]
fn interruptions_at_live_targets_are_ignored() {
    let mut fleet = fleet_of(3);
    for id in ids(8) {
        fleet.event(0, interruption_event(&id));
    }
    fleet.run(Duration::from_secs(9));
    assert_eq!(reasons(&mut fleet, &[0, 1, 2], 1), [None, None, None]);
    assert_eq!(fleet.refusals, []);
}

/// Returns the reasons for which three daemons refuse a request during which three targets terminated, after a daemon
/// has answered it between the second and the third.
fn reasons_after_answer(is_proved: bool) -> Vec<Option<RefusalReason>> {
    let mut fleet = fleet_of(3);
    fleet.event(0, interruption_event("t0"));
    fleet.event(1, interruption_event("t1"));
    fleet.run(SHORT_WAIT);
    let served = RequestSpec { digest: Some(digest()), ..spec(1) };
    fleet.event(2, NodeEvent::Admit(Box::new(served)));
    fleet.finish_with(2, 1, is_proved);
    fleet.event(0, interruption_event("t2"));
    expire_entries(&mut fleet, 3);
    fleet.run(SPREAD_LIMIT);
    reasons(&mut fleet, &[0, 1, 2], 2)
}

#[test]
fn request_that_another_daemon_answered_in_full_is_not_refused() {
    assert_eq!(reasons_after_answer(true), [None, None, None]);
}

/// Guards against a target whose connections close in an orderly way when it terminates: what it has sent until then
/// shows nothing about the request.
#[test]
fn answer_that_ends_with_its_connection_does_not_clear_a_suspect_request() {
    assert_eq!(reasons_after_answer(false), [Some(RefusalReason::RequestLethal); 3]);
}

/// The request was admitted and waits for a slot when the third target terminates.
#[test]
fn waiting_request_is_refused_when_granted_after_it_became_suspect() {
    let mut fleet = fleet_of(3);
    list_targets(&mut fleet, &ids(1));
    fleet.run(Duration::from_secs(2));
    // Four slots, all taken.
    for number in 1..=4 {
        fleet.admit(0, number);
    }
    fleet.event(1, NodeEvent::Admit(Box::new(RequestSpec { digest: Some(digest()), ..spec(5) })));
    fleet.run(SHORT_WAIT);
    assert_eq!(fleet.decision(5), None);
    // The other targets belong to another pool.
    let others = ids(4)[1..].iter().map(|id| target(id, false)).collect::<Vec<_>>();
    let others =
        others.into_iter().map(|other| DiscoveredTarget { pool: "q".to_string(), ..other });
    fleet.targets.0.extend(others);
    fleet.targets.1 += 1;
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.decision(5), None);
    for id in &ids(4)[1..] {
        fleet.event(2, interruption_event(id));
    }
    fleet.finish(0, 1);
    fleet.run(Duration::from_secs(2));
    let Some(CallerDecision::Refuse(refusal)) = fleet.decision(5) else {
        panic!("{:?}", fleet.decision(5));
    };
    assert_eq!(refusal.reason, RefusalReason::RequestSuspect);
}

#[test]
fn cleared_request_is_refused_by_no_daemon() {
    let mut fleet = fleet_of(3);
    three_interruptions(&mut fleet, [0, 1, 2]);
    expire_entries(&mut fleet, 3);
    fleet.run(SPREAD_LIMIT);
    assert_all_refuse(&mut fleet, &[0, 1, 2], 1);
    fleet.event(1, NodeEvent::ClearSuspect(digest()));
    fleet.run(SPREAD_LIMIT);
    assert_eq!(reasons(&mut fleet, &[0, 1, 2], 2), [None, None, None]);
}

/// A daemon of an earlier version drops a whole frame if it contains a message that it cannot decode.
#[test]
fn suspect_reports_are_sent_in_separate_frames() {
    let mut fleet = fleet_of(3);
    let now = fleet.now;
    let frames: Vec<PeerFrame> = fleet.daemons[0]
        .node
        .handle(now, now, interruption_event("t0"))
        .into_iter()
        .chain((0..100).flat_map(|step| {
            let now = now + Duration::from_millis(20) * step;
            fleet.daemons[0].node.handle(now, now, NodeEvent::Tick)
        }))
        .filter_map(|action| match action {
            NodeAction::Send(_, frame) => Some(frame),
            _ => None,
        })
        .collect();
    let is_update = |message: &PeerMessage| matches!(message, PeerMessage::SuspectsPush(_));
    let mixed = frames.iter().filter(|frame| frame.messages.len() > 1);
    assert!(mixed.clone().all(|frame| !frame.messages.iter().any(is_update)), "{frames:?}");
    assert!(frames.iter().any(|frame| is_update(&frame.messages[0])), "{frames:?}");
}

/// Before a peer has answered once, a pull is not sent in a frame with other messages.
#[test]
fn suspects_pull_is_sent_in_a_separate_frame() {
    let mut fleet = fleet_of(3);
    fleet.daemons[2] = mixed_fleet_daemon(2, Vec::new(), 2, 0);
    let from = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let messages = vec![PeerMessage::Heartbeat(heartbeat(1))];
    let now = fleet.now;
    fleet.daemons[2].node.handle(
        now,
        now,
        NodeEvent::PeerFrameReceived(PeerFrame { from, messages }),
    );
    let mut message_counts = Vec::new();
    for step in 0..200 {
        let now = now + Duration::from_millis(20) * step;
        for action in fleet.daemons[2].node.handle(now, now, NodeEvent::Tick) {
            let NodeAction::Send(_, frame) = action else { continue };
            let pulls = frame
                .messages
                .iter()
                .any(|message| matches!(message, PeerMessage::SuspectsPull(_)));
            if pulls {
                message_counts.push(frame.messages.len());
            }
        }
    }
    assert!(
        !message_counts.is_empty() && message_counts.iter().all(|messages| *messages == 1),
        "{message_counts:?}"
    );
}

/// A peer that knows all reports gets no answer, and its pulls need no separate frames.
#[test]
fn suspects_pull_of_a_peer_that_lacks_nothing_gets_no_answer() {
    let mut fleet = fleet_of(3);
    let from = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let now = fleet.now;
    let mut pull = |known| {
        let pull = PeerMessage::SuspectsPull(SuspectsPull { known });
        let event =
            NodeEvent::PeerFrameReceived(PeerFrame { from: from.clone(), messages: vec![pull] });
        fleet.daemons[0].node.handle(now, now, event).len()
    };
    assert_eq!(pull(0), 1, "the first pull is answered");
    assert_eq!(pull(1), 0);
}

/// Returns the digest of one of many different requests.
fn numbered_digest(number: usize) -> RequestDigest {
    let body = number.to_string();
    let identity = RequestIdentity {
        method: "POST",
        host: "h",
        path: "/p",
        caller: "a",
        body: body.as_bytes(),
    };
    identity.digest()
}

/// Returns the first daemon's answer to a peer that knows the first `known` changes.
fn answer_to_pull(fleet: &mut Fleet, known: u64) -> SuspectsPush {
    let from = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let pull = PeerMessage::SuspectsPull(SuspectsPull { known });
    let event = NodeEvent::PeerFrameReceived(PeerFrame { from, messages: vec![pull] });
    let actions = fleet.daemons[0].node.handle(fleet.now, fleet.now, event);
    let frames = actions.into_iter().filter_map(|action| match action {
        NodeAction::Send(_, frame) => Some(frame.messages),
        _ => None,
    });
    let push = frames.flatten().find_map(|message| match message {
        PeerMessage::SuspectsPush(push) => Some(push),
        _ => None,
    });
    push.expect("an answer")
}

/// When all targets of a data centre terminated under hundreds of requests, each of hundreds of daemons was sent all
/// reports at once.
#[test]
fn suspect_reports_after_a_mass_termination_are_sent_a_few_at_a_time() {
    let mut fleet = fleet_of(3);
    let now = fleet.now;
    for number in 0..300 {
        let interruption = RequestInterruption {
            instance: instance("t0"),
            kind: InterruptionKind::Closed,
            begun: false,
        };
        fleet.daemons[0].node.handle(
            now,
            now,
            NodeEvent::RequestInterrupted(vec![numbered_digest(number).into()], interruption),
        );
    }
    // One of the last requests is interrupted twice.
    let interruption = RequestInterruption {
        instance: instance("t1"),
        kind: InterruptionKind::Closed,
        begun: false,
    };
    fleet.daemons[0].node.handle(
        now,
        now,
        NodeEvent::RequestInterrupted(vec![numbered_digest(299).into()], interruption),
    );
    let mut pull = |known| answer_to_pull(&mut fleet, known);
    let first = pull(0);
    let sent: Vec<RequestDigest> = first.requests.iter().map(|report| report.digest).collect();
    assert!(sent.len() <= 32, "{}", sent.len());
    assert!(sent.contains(&numbered_digest(299)), "the request near its limit is sent at once");
    let mut all: std::collections::BTreeSet<RequestDigest> = sent.into_iter().collect();
    let mut known = first.at;
    for _ in 0..40 {
        let next = pull(known);
        all.extend(next.requests.iter().map(|report| report.digest));
        if next.at == known || all.len() == 300 {
            break;
        }
        known = next.at;
    }
    assert_eq!(all.len(), 300);
}
