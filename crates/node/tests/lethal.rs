//! A request under which targets end, seen by a fleet: what each daemon saw counts together, every daemon knows within
//! the users' bound whoever ends or is cut off, and the platform is called once.

mod support;

use std::time::Duration;

use curlewcleat_core::{
    BreakKind, DaemonId, DiscoveredTarget, PeerFrame, PeerMessage, Refusal, RefusalReason,
    RequestBreak, RequestDigest, RequestIdentity, SuspectReport, SuspectsPull, SuspectsPush,
    TargetLife,
};
use curlewcleat_node::{CallerDecision, NodeAction, NodeEvent};
use curlewcleat_sched::RequestSpec;
use rstest::rstest;

use support::{heartbeat, spec, target, unlike_daemon, Fleet};

/// Time in which every daemon has to know: the users' shortest bound.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after which the entry of a target that has ended lapses.
const LAPSE: Duration = Duration::from_millis(3_500);
const MOMENT: Duration = Duration::from_millis(100);

fn digest() -> RequestDigest {
    RequestIdentity { method: "POST", host: "h", path: "/p", caller: "a", body: b"lethal" }.digest()
}

fn life(id: &str) -> TargetLife {
    TargetLife { id: id.to_string(), start: None }
}

fn broke_off(id: &str) -> NodeEvent {
    let interruption = RequestBreak { life: life(id), kind: BreakKind::Closed, begun: false };
    NodeEvent::BrokeOff(digest(), interruption)
}

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("t{number}")).collect()
}

/// Shows these targets at the platform.
fn show(fleet: &mut Fleet, ids: &[String]) {
    fleet.targets = (ids.iter().map(|id| target(id, false)).collect(), fleet.targets.1 + 1);
}

/// A fleet that knows twelve targets.
fn fleet_of(daemons: usize) -> Fleet {
    let mut fleet = Fleet::new(daemons);
    show(&mut fleet, &ids(12));
    fleet.run(Duration::from_secs(3));
    fleet
}

/// Entries of the first targets lapse.
fn lapse(fleet: &mut Fleet, ended: usize) {
    fleet.run(LAPSE);
    show(fleet, &ids(12)[ended..]);
}

/// The request comes to a daemon; the refusal that it gets, `None` where it goes on.
fn ask(fleet: &mut Fleet, index: usize, number: u128) -> Option<Refusal> {
    let spec = RequestSpec { digest: Some(digest()), ..spec(number) };
    fleet.event(index, NodeEvent::Admit(Box::new(spec)));
    match fleet.decision(number) {
        Some(CallerDecision::Refuse(refusal)) => Some(refusal.clone()),
        _ => {
            fleet.event(index, NodeEvent::Cancelled(support::spec(number).request));
            None
        }
    }
}

/// What the request gets at each of these daemons.
fn reasons(fleet: &mut Fleet, daemons: &[usize], number: u128) -> Vec<Option<RefusalReason>> {
    let numbers = (number * 1_000..).zip(daemons);
    numbers.map(|(number, index)| Some(ask(fleet, *index, number)?.reason)).collect()
}

fn all_refuse(fleet: &mut Fleet, daemons: &[usize], number: u128) {
    let reasons = reasons(fleet, daemons, number);
    let refused = vec![Some(RefusalReason::RequestLethal); daemons.len()];
    assert_eq!(reasons, refused, "at {daemons:?}");
}

/// Three targets end, each seen by another daemon.
fn three_ends(fleet: &mut Fleet, seen_by: [usize; 3]) {
    for (index, id) in seen_by.into_iter().zip(ids(3)) {
        fleet.event(index, broke_off(&id));
    }
}

#[test]
fn what_three_daemons_saw_counts_together() {
    let mut fleet = fleet_of(3);
    three_ends(&mut fleet, [0, 1, 2]);
    fleet.run(MOMENT);
    let held = ask(&mut fleet, 0, 1).expect("held until it is known what ended");
    assert_eq!(held.reason, RefusalReason::RequestSuspect);
    assert!(held.retry_after.is_some_and(|wait| wait > Duration::ZERO), "{held:?}");
    assert!(!held.verdict.may_have_run());
    lapse(&mut fleet, 3);
    fleet.run(CONTACT);
    for index in 0..3 {
        let refused = ask(&mut fleet, index, 10 + index as u128).expect("refused");
        assert_eq!(refused, Refusal::not_run(RefusalReason::RequestLethal, None));
    }
}

/// In a large fleet most daemons hear of nobody but the first few.
#[rstest]
#[case::small(3)]
#[case::large(40)]
fn every_daemon_knows_within_the_bound(#[case] daemons: usize) {
    let mut fleet = fleet_of(daemons);
    let outsider = fleet.outsiders().last().copied().unwrap_or(0);
    three_ends(&mut fleet, [outsider, 0, daemons - 1]);
    fleet.run(CONTACT);
    let everyone: Vec<usize> = (0..daemons).collect();
    let reasons = reasons(&mut fleet, &everyone, 1);
    assert!(
        reasons.iter().all(|reason| *reason == Some(RefusalReason::RequestSuspect)),
        "{reasons:?}"
    );
    lapse(&mut fleet, 3);
    fleet.run(CONTACT);
    all_refuse(&mut fleet, &everyone, 2);
}

/// A packet in four is lost.
#[test]
fn lost_frames_delay_the_news_and_no_more() {
    let mut fleet = fleet_of(6);
    fleet.losses = Some((4, 7));
    three_ends(&mut fleet, [5, 0, 3]);
    lapse(&mut fleet, 3);
    fleet.run(CONTACT * 2);
    all_refuse(&mut fleet, &(0..6).collect::<Vec<_>>(), 1);
}

#[rstest]
#[case::small(5)]
#[case::large(40)]
fn end_of_the_scheduler_loses_nothing(#[case] daemons: usize) {
    let mut fleet = fleet_of(daemons);
    let leader = fleet.leader();
    let others: Vec<usize> = (0..daemons).filter(|index| *index != leader).collect();
    let seen_by = *others.last().expect("another daemon");
    for id in &ids(2) {
        fleet.event(seen_by, broke_off(id));
    }
    fleet.run(MOMENT);
    fleet.daemons[leader].cut = true;
    fleet.run(CONTACT);
    fleet.event(others[0], broke_off("t2"));
    lapse(&mut fleet, 3);
    fleet.run(CONTACT);
    all_refuse(&mut fleet, &others, 1);
}

/// The sides of a cut know of two ends and of one.
#[test]
fn both_sides_of_a_cut_know_once_it_has_healed() {
    let mut fleet = fleet_of(6);
    for one in 0..3 {
        for other in 3..6 {
            fleet.blocked.insert((one, other));
            fleet.blocked.insert((other, one));
        }
    }
    fleet.run(Duration::from_secs(3));
    fleet.event(0, broke_off("t0"));
    fleet.event(1, broke_off("t1"));
    fleet.event(4, broke_off("t2"));
    lapse(&mut fleet, 3);
    fleet.run(Duration::from_secs(1));
    fleet.blocked.clear();
    fleet.run(CONTACT);
    all_refuse(&mut fleet, &(0..6).collect::<Vec<_>>(), 1);
}

#[test]
fn daemon_that_begins_knows_before_it_serves() {
    let mut fleet = fleet_of(5);
    three_ends(&mut fleet, [0, 1, 2]);
    lapse(&mut fleet, 3);
    fleet.run(CONTACT);
    let addresses: Vec<String> = fleet.daemons[0].node.peer_addresses().into_iter().collect();
    fleet.daemons[4] = unlike_daemon(4, addresses, 2, 0);
    // It reaches no platform, so that what it knows comes from its peers.
    fleet.daemons[4].reaches = false;
    fleet.run_until(Duration::from_secs(5), |fleet| fleet.generation_of(4) > 0);
    assert!(fleet.generation_of(4) > 0);
    all_refuse(&mut fleet, &[4], 1);
}

/// All begin anew and know what the platform keeps.
#[test]
fn platform_keeps_it_once_for_all_daemons() {
    let mut fleet = fleet_of(6);
    three_ends(&mut fleet, [0, 1, 2]);
    lapse(&mut fleet, 3);
    fleet.run(CONTACT * 4);
    assert_eq!(fleet.refusals.len(), 1, "{:?}", fleet.refusals);
    let (leader, kept) = fleet.refusals[0].clone();
    assert_eq!(leader, fleet.leader());
    fleet.daemons[leader].cut = true;
    fleet.run(CONTACT * 2);
    assert_eq!(fleet.refusals.len(), 1, "another scheduler calls again");
    let mut anew = fleet_of(3);
    anew.event(1, NodeEvent::RefusalsRead(vec![SuspectReport { stored: true, ..kept }]));
    all_refuse(&mut anew, &[1], 1);
    anew.run(CONTACT);
    all_refuse(&mut anew, &[0, 2], 2);
    assert_eq!(anew.refusals, [], "it is kept already");
}

/// No crash costs a call, however many targets end under however many requests.
#[test]
fn ends_that_condemn_nothing_cost_no_call() {
    let mut fleet = fleet_of(3);
    for (number, id) in ids(12).iter().enumerate() {
        let identity = RequestIdentity {
            method: "POST",
            host: "h",
            path: "/p",
            caller: "a",
            body: &[number as u8],
        };
        let interruption = RequestBreak { life: life(id), kind: BreakKind::Closed, begun: false };
        fleet.event(number % 3, NodeEvent::BrokeOff(identity.digest(), interruption));
    }
    lapse(&mut fleet, 12);
    fleet.run(CONTACT);
    assert_eq!(fleet.refusals, []);
}

/// A target that says that it leaves, or whose entry has gone before, ends as planned.
#[rstest]
#[case::said(true)]
#[case::gone_before(false)]
fn planned_end_of_a_target_counts_for_nothing(#[case] says: bool) {
    let mut fleet = fleet_of(3);
    let shown = if says { ids(12) } else { ids(12)[3..].to_vec() };
    let leaves = |id: &str| ids(3).contains(&id.to_string());
    fleet.targets = (shown.iter().map(|id| target(id, leaves(id))).collect(), fleet.targets.1 + 1);
    fleet.run(Duration::from_secs(2));
    three_ends(&mut fleet, [0, 1, 2]);
    lapse(&mut fleet, 3);
    fleet.run(CONTACT);
    assert_eq!(reasons(&mut fleet, &[0, 1, 2], 1), [None, None, None]);
}

/// A cut between one daemon and the targets, whatever it looks like there.
#[test]
fn targets_that_live_count_for_nothing() {
    let mut fleet = fleet_of(3);
    for id in ids(8) {
        fleet.event(0, broke_off(&id));
    }
    fleet.run(Duration::from_secs(9));
    assert_eq!(reasons(&mut fleet, &[0, 1, 2], 1), [None, None, None]);
    assert_eq!(fleet.refusals, []);
}

#[test]
fn request_that_another_daemon_served_whole_is_refused_nowhere() {
    let mut fleet = fleet_of(3);
    fleet.event(0, broke_off("t0"));
    fleet.event(1, broke_off("t1"));
    fleet.run(MOMENT);
    let served = RequestSpec { digest: Some(digest()), ..spec(1) };
    fleet.event(2, NodeEvent::Admit(Box::new(served)));
    fleet.finish(2, 1);
    fleet.event(0, broke_off("t2"));
    lapse(&mut fleet, 3);
    fleet.run(CONTACT);
    assert_eq!(reasons(&mut fleet, &[0, 1, 2], 2), [None, None, None]);
}

/// It was admitted, and waits for a place, when the third target ends.
#[test]
fn request_that_waits_is_refused_as_it_is_granted() {
    let mut fleet = fleet_of(3);
    show(&mut fleet, &ids(1));
    fleet.run(Duration::from_secs(2));
    // Four places, all taken.
    for number in 1..=4 {
        fleet.admit(0, number);
    }
    fleet.event(1, NodeEvent::Admit(Box::new(RequestSpec { digest: Some(digest()), ..spec(5) })));
    fleet.run(MOMENT);
    assert_eq!(fleet.decision(5), None);
    // The others serve another pool.
    let others = ids(4)[1..].iter().map(|id| target(id, false)).collect::<Vec<_>>();
    let others =
        others.into_iter().map(|other| DiscoveredTarget { pool: "q".to_string(), ..other });
    fleet.targets.0.extend(others);
    fleet.targets.1 += 1;
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.decision(5), None);
    for id in &ids(4)[1..] {
        fleet.event(2, broke_off(id));
    }
    fleet.finish(0, 1);
    fleet.run(Duration::from_secs(2));
    let Some(CallerDecision::Refuse(refusal)) = fleet.decision(5) else {
        panic!("{:?}", fleet.decision(5));
    };
    assert_eq!(refusal.reason, RefusalReason::RequestSuspect);
}

#[test]
fn cleared_request_is_served_everywhere() {
    let mut fleet = fleet_of(3);
    three_ends(&mut fleet, [0, 1, 2]);
    lapse(&mut fleet, 3);
    fleet.run(CONTACT);
    all_refuse(&mut fleet, &[0, 1, 2], 1);
    fleet.event(1, NodeEvent::ClearSuspect(digest()));
    fleet.run(CONTACT);
    assert_eq!(reasons(&mut fleet, &[0, 1, 2], 2), [None, None, None]);
}

/// A daemon of an earlier version drops a frame with a message that it does not know, and whatever else is in it.
#[test]
fn news_travel_in_frames_of_their_own() {
    let mut fleet = fleet_of(3);
    let now = fleet.now;
    let frames: Vec<PeerFrame> = fleet.daemons[0]
        .node
        .handle(now, now, broke_off("t0"))
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
    let is_news = |message: &PeerMessage| matches!(message, PeerMessage::SuspectsPush(_));
    let mixed = frames.iter().filter(|frame| frame.messages.len() > 1);
    assert!(mixed.clone().all(|frame| !frame.messages.iter().any(is_news)), "{frames:?}");
    assert!(frames.iter().any(|frame| is_news(&frame.messages[0])), "{frames:?}");
}

/// Nor is a peer asked in a frame with other messages before it has answered once.
#[test]
fn first_question_travels_in_a_frame_of_its_own() {
    let mut fleet = fleet_of(3);
    fleet.daemons[2] = unlike_daemon(2, Vec::new(), 2, 0);
    let from = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let messages = vec![PeerMessage::Heartbeat(heartbeat(1))];
    let now = fleet.now;
    fleet.daemons[2].node.handle(now, now, NodeEvent::Peer(PeerFrame { from, messages }));
    let mut asked = Vec::new();
    for step in 0..200 {
        let now = now + Duration::from_millis(20) * step;
        for action in fleet.daemons[2].node.handle(now, now, NodeEvent::Tick) {
            let NodeAction::Send(_, frame) = action else { continue };
            let pulls = frame
                .messages
                .iter()
                .any(|message| matches!(message, PeerMessage::SuspectsPull(_)));
            if pulls {
                asked.push(frame.messages.len());
            }
        }
    }
    assert!(!asked.is_empty() && asked.iter().all(|messages| *messages == 1), "{asked:?}");
}

/// Who knows all that its peer knows gets no answer, and its questions are no frames of their own.
#[test]
fn question_without_news_costs_no_answer() {
    let mut fleet = fleet_of(3);
    let from = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let now = fleet.now;
    let mut ask = |known| {
        let pull = PeerMessage::SuspectsPull(SuspectsPull { known });
        let event = NodeEvent::Peer(PeerFrame { from: from.clone(), messages: vec![pull] });
        fleet.daemons[0].node.handle(now, now, event).len()
    };
    assert_eq!(ask(0), 1, "it has not asked before");
    assert_eq!(ask(1), 0);
}

/// One of many requests.
fn many(number: usize) -> RequestDigest {
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

/// What the first daemon answers to one that knows so much.
fn answer_to_pull(fleet: &mut Fleet, known: u64) -> SuspectsPush {
    let from = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let pull = PeerMessage::SuspectsPull(SuspectsPull { known });
    let event = NodeEvent::Peer(PeerFrame { from, messages: vec![pull] });
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

/// All targets of a data centre ended under hundreds of requests: each of hundreds of daemons was told of all of them at once.
#[test]
fn ends_under_many_requests_are_told_a_few_at_a_time() {
    let mut fleet = fleet_of(3);
    let now = fleet.now;
    for number in 0..300 {
        let interruption = RequestBreak { life: life("t0"), kind: BreakKind::Closed, begun: false };
        fleet.daemons[0].node.handle(now, now, NodeEvent::BrokeOff(many(number), interruption));
    }
    // One of the last ones breaks off twice.
    let interruption = RequestBreak { life: life("t1"), kind: BreakKind::Closed, begun: false };
    fleet.daemons[0].node.handle(now, now, NodeEvent::BrokeOff(many(299), interruption));
    let mut ask = |known| answer_to_pull(&mut fleet, known);
    let first = ask(0);
    let told: Vec<RequestDigest> = first.requests.iter().map(|report| report.digest).collect();
    assert!(told.len() <= 32, "{}", told.len());
    assert!(told.contains(&many(299)), "the one near its limit is told at once");
    let mut all: std::collections::BTreeSet<RequestDigest> = told.into_iter().collect();
    let mut known = first.at;
    for _ in 0..40 {
        let next = ask(known);
        all.extend(next.requests.iter().map(|report| report.digest));
        if next.at == known || all.len() == 300 {
            break;
        }
        known = next.at;
    }
    assert_eq!(all.len(), 300);
}
