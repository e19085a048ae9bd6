//! Tests a target that restarts under its id: what daemons know of it belongs to one instance.

mod support;

use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DiscoveredTarget, PeerFrame, PeerMessage, TargetChange, TargetStart,
    TargetsContent, TargetsPush,
};
use curlewcleat_node::{
    CallerDecision, InstanceChange, NodeAction, NodeEvent, RequestEnd, TargetView, ViewUpdate,
};

use support::{target, Fleet};

/// Returns a target with this start.
fn started(id: &str, start: u64, leaving: bool) -> DiscoveredTarget {
    let mut target = target(id, leaving);
    target.entry.start = Some(TargetStart(start));
    target
}

/// Returns the id, the start and whether it leaves, for each target in use.
fn instances(view: &TargetView) -> Vec<(String, Option<u64>, bool)> {
    let instance = |target: DiscoveredTarget| {
        (target.entry.id, target.entry.start.map(|start| start.0), target.leaving)
    };
    view.targets().into_iter().map(instance).collect()
}

fn present(target: DiscoveredTarget) -> Vec<TargetChange> {
    vec![TargetChange::Present(target)]
}

/// Returns a view whose target has restarted at 20, after an instance from 10 that left.
fn view_of_second_instance() -> TargetView {
    let mut view = TargetView::default();
    view.apply_list(vec![started("a", 10, true)], 1, false);
    view.apply_changes(1, present(started("a", 20, false)), 2, false);
    view
}

#[test]
fn instance_change_is_reported_once() {
    let mut view = view_of_second_instance();
    let changes = |stated, known| {
        let (stated, known) = (TargetStart(stated), TargetStart(known));
        [InstanceChange { target: "a".to_string(), stated, known }]
    };
    assert_eq!(view.take_instance_changes(), changes(20, 10));
    view.apply_changes(2, present(started("a", 20, true)), 3, false);
    assert_eq!(view.take_instance_changes(), []);
    view.apply_changes(3, present(started("a", 10, true)), 4, false);
    assert_eq!(view.take_instance_changes(), changes(10, 20));
}

/// A target that left was never used again, since its id was taken for a single start of its process.
#[test]
fn target_that_left_is_used_after_a_restart() {
    assert_eq!(instances(&view_of_second_instance()), [("a".to_string(), Some(20), false)]);
    let mut listed = TargetView::default();
    listed.apply_list(vec![started("a", 10, true)], 1, false);
    listed.apply_list(vec![started("a", 20, false)], 2, false);
    assert_eq!(instances(&listed), [("a".to_string(), Some(20), false)]);
}

#[test]
fn leaving_target_never_stops_leaving_within_one_instance() {
    for start in [Some(TargetStart(10)), None] {
        let mut view = TargetView::default();
        view.apply_list(vec![started("a", 10, true)], 1, false);
        let mut late = target("a", false);
        late.entry.start = start;
        view.apply_changes(1, present(late), 2, false);
        assert_eq!(instances(&view), [("a".to_string(), Some(10), true)]);
    }
}

#[test]
fn late_entry_of_an_earlier_instance_changes_nothing() {
    let known = [("a".to_string(), Some(20), false)];
    let mut view = view_of_second_instance();
    view.apply_changes(2, present(started("a", 10, true)), 3, false);
    assert_eq!(instances(&view), known, "a watch");
    view.apply_list(vec![started("a", 10, true)], 4, false);
    assert_eq!(instances(&view), known, "a list");
    view.apply_changes(4, present(target("a", false)), 5, false);
    assert_eq!(instances(&view), known, "a peer that reports no start");
}

#[test]
fn earlier_instance_does_not_return_after_the_later_one_was_removed() {
    let mut view = view_of_second_instance();
    view.apply_changes(2, vec![TargetChange::Gone("a".to_string())], 3, false);
    view.apply_changes(3, present(started("a", 10, false)), 4, false);
    assert_eq!(instances(&view), []);
    view.apply_list(vec![started("a", 10, false)], 5, false);
    assert_eq!(instances(&view), []);
    view.apply_changes(5, present(started("a", 20, false)), 6, false);
    assert_eq!(
        instances(&view),
        [("a".to_string(), Some(20), false)],
        "the later instance was only unlisted"
    );
}

/// A list entry that cannot be read states no start.
#[test]
fn unusable_entry_does_not_restore_an_earlier_instance() {
    let mut view = view_of_second_instance();
    view.apply_changes(2, present(DiscoveredTarget::unusable("a".to_string())), 3, false);
    view.apply_changes(3, present(started("a", 10, false)), 4, false);
    assert_eq!(view.targets()[0].pool, "", "no request is sent to it");
    view.apply_changes(4, present(started("a", 20, false)), 5, false);
    assert_eq!(view.targets(), [started("a", 20, false)]);
}

#[test]
fn earlier_instance_does_not_return_while_the_platform_fails() {
    let mut view = view_of_second_instance();
    view.apply_changes(2, vec![TargetChange::Gone("a".to_string())], 3, true);
    view.apply_changes(3, present(started("a", 10, false)), 4, true);
    assert_eq!(instances(&view), [("a".to_string(), Some(20), false)]);
    view.settle();
    assert_eq!(instances(&view), []);
    view.apply_changes(4, present(started("a", 10, false)), 5, false);
    assert_eq!(instances(&view), []);
}

#[test]
fn peers_receive_the_changes_of_both_instances_in_order() {
    let view = view_of_second_instance();
    let mut peer = TargetView::default();
    peer.apply_list(vec![started("a", 10, true)], 1, false);
    let TargetsContent::Since(from, changes) = view.since(1) else { panic!("a list") };
    assert_eq!(peer.apply_changes(from, changes, view.at(), false), ViewUpdate::Applied);
    assert_eq!(instances(&peer), instances(&view));
}

/// Only the daemons that read the platform see a start; the others schedule and send by what these report.
#[test]
fn start_of_a_target_reaches_all_daemons() {
    let mut fleet = Fleet::new(6);
    fleet.targets = (vec![started("x", 10, false)], 2);
    fleet.run(Duration::from_secs(3));
    fleet.targets = (vec![started("x", 20, false)], 3);
    fleet.run(Duration::from_secs(3));
    for daemon in &fleet.daemons {
        let start = daemon.node.config().pools["p"].targets["x"].start;
        assert_eq!(start, Some(TargetStart(20)));
    }
}

/// A daemon of a version without starts cannot decode the pull for them and drops its frame.
#[test]
fn peer_of_an_earlier_version_gets_the_older_pulls_too() {
    let mut fleet = Fleet::new(1);
    let from = || curlewcleat_core::DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let mut pulls = Vec::new();
    let mut now = fleet.now;
    for _ in 0..3 {
        let query = curlewcleat_core::FreshnessQuery { incarnation: 1, sent: now };
        let answer = curlewcleat_core::FreshnessAnswer {
            query,
            age: Some(Duration::ZERO),
            generation: 1,
            targets_at: 50,
        };
        let messages = vec![
            PeerMessage::Heartbeat(support::heartbeat(1)),
            PeerMessage::FreshnessAnswer(answer),
        ];
        let event = NodeEvent::PeerFrameReceived(PeerFrame { from: from(), messages });
        for action in fleet.daemons[0].node.handle(now, now, event) {
            let NodeAction::Send(_, frame) = action else { continue };
            pulls.extend(frame.messages.into_iter().filter(|message| {
                let new = matches!(message, PeerMessage::TargetInstancesPull(_));
                new || matches!(message, PeerMessage::TargetsPull(_))
            }));
        }
        now += Duration::from_secs(1);
    }
    assert_eq!(pulls[0], PeerMessage::TargetInstancesPull(1));
    assert!(pulls.contains(&PeerMessage::TargetsPull(1)), "{pulls:?}");
    let content = TargetsContent::All(vec![target("z", false)]);
    let push = PeerMessage::TargetsPush(TargetsPush { content, at: 50 });
    let event = NodeEvent::PeerFrameReceived(PeerFrame { from: from(), messages: vec![push] });
    fleet.daemons[0].node.handle(now, now, event);
    assert_eq!(fleet.daemons[0].node.config().pools["p"].targets["z"].start, None);
}

/// A target whose earlier instance left is used once it has restarted, whichever daemon schedules.
#[test]
fn request_goes_to_a_target_that_left_and_started_again() {
    let mut fleet = Fleet::new(3);
    fleet.targets = (vec![started("x", 10, true)], 2);
    fleet.run(Duration::from_secs(3));
    fleet.targets = (vec![started("x", 20, false)], 3);
    fleet.run(Duration::from_secs(3));
    let entry_daemon = (0..3).find(|index| *index != fleet.leader()).expect("an entry daemon");
    fleet.admit(entry_daemon, 1);
    fleet.run(Duration::from_millis(200));
    match fleet.decision(1) {
        Some(CallerDecision::Dispatch(_, target)) => {
            assert_eq!((target.id.as_str(), target.start), ("x", Some(TargetStart(20))));
        }
        other => panic!("{other:?}"),
    }
}

/// The reports of requests to the earlier instance arrive after the restart: three failures of that instance ejected
/// the later one, which had not failed.
#[test]
fn failures_of_the_earlier_instance_do_not_eject_the_later_one() {
    let mut fleet = Fleet::new(1);
    fleet.targets = (vec![started("x", 10, false), started("y", 10, false)], 2);
    fleet.run(Duration::from_secs(1));
    let numbers: Vec<u128> = (1..=8).collect();
    for number in &numbers {
        fleet.admit(0, *number);
    }
    fleet.run(Duration::from_millis(100));
    fleet.targets = (vec![started("x", 20, false), started("y", 10, false)], 3);
    fleet.run(Duration::from_secs(1));
    for number in numbers {
        let request = curlewcleat_core::RequestId::from_u128(number);
        let verdict = curlewcleat_core::Verdict::MayHaveRun;
        let (attempt_end, kept_answer) = (AttemptEnd::Failed, None);
        let end = RequestEnd { verdict, attempt_end, is_proved: false, kept_answer };
        fleet.event(0, NodeEvent::Finished(request, Box::new(end)));
    }
    let scheduler = fleet.daemons[0].node.scheduler("p").expect("a scheduler");
    let ejected = |id: &str| scheduler.targets()[id].ejected();
    assert_eq!((ejected("x"), ejected("y")), (false, true));
    assert_eq!(scheduler.targets()["x"].in_flight, 0);
}
