//! Tests how stated loads reach the scheduler of their pool: batched, bounded, and worth nothing once they are old.

mod support;

use std::time::Duration;

use curlewcleat_core::{
    DaemonId, LoadReport, PeerFrame, PeerMessage, PoolLoads, StatedLoad, TargetInstance,
};
use curlewcleat_node::{NodeAction, NodeEvent};
use curlewcleat_peers::encode_frame;
use rstest::rstest;

use support::Fleet;

const STEP: Duration = Duration::from_millis(20);
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a statement is believed.
const BELIEF_LIMIT: Duration = Duration::from_millis(1_500);

fn load(slowness_percent: Option<u32>) -> StatedLoad {
    StatedLoad { running: 0, waiting: 0, slots: 1, slowness_percent }
}

fn stated(fleet: &Fleet, target: &str, slowness_percent: Option<u32>) -> NodeEvent {
    NodeEvent::LoadStated {
        pool: "p".to_string(),
        instance: TargetInstance { id: target.to_string(), start: None },
        load: load(slowness_percent),
        seen: fleet.now,
    }
}

/// Returns the slowness of target x that a daemon believes, and its age.
fn believed(fleet: &Fleet, index: usize) -> Option<(u32, Duration)> {
    let status = fleet.daemons[index].node.status();
    let targets = status.pools.iter().flat_map(|pool| &pool.targets);
    targets.into_iter().find(|target| target.id == "x").and_then(|target| target.stated_slowness)
}

/// Returns a daemon that does not schedule.
fn entry_daemon(fleet: &Fleet) -> usize {
    let leader = fleet.leader();
    (0..fleet.daemons.len()).find(|index| *index != leader).expect("another daemon")
}

/// Passes an event to a daemon without delivering its frames, and returns those with stated loads.
fn load_frames(fleet: &mut Fleet, index: usize, event: NodeEvent) -> Vec<PeerFrame> {
    let wall = Duration::from_secs(1_000) + fleet.now;
    let actions = fleet.daemons[index].node.handle(fleet.now, wall, event);
    let frames = actions.into_iter().filter_map(|action| match action {
        NodeAction::Send(_, frame) => Some(frame),
        _ => None,
    });
    let is_load = |message: &PeerMessage| matches!(message, PeerMessage::TargetLoads(_));
    frames.filter(|frame| frame.messages.iter().any(is_load)).collect()
}

#[test]
fn statement_reaches_the_scheduler_with_its_age() {
    let mut fleet = Fleet::new(3);
    let (leader, entry) = (fleet.leader(), entry_daemon(&fleet));
    fleet.run(SEND_INTERVAL);
    let event = stated(&fleet, "x", Some(250));
    fleet.event(entry, event);
    let sent_again = stated(&fleet, "x", Some(240));
    fleet.event(entry, sent_again);
    assert_eq!(believed(&fleet, leader), None, "it waits for others");
    let took = fleet.run_until(SEND_INTERVAL * 2, |fleet| believed(fleet, leader).is_some());
    assert!(took <= SEND_INTERVAL, "{took:?}");
    assert_eq!(believed(&fleet, leader), Some((240, took)), "the latest one of the target");
    assert_eq!(believed(&fleet, entry), None, "others do not schedule");
    fleet.run(BELIEF_LIMIT);
    assert_eq!(believed(&fleet, leader), None);
}

#[test]
fn scheduler_applies_its_own_statements_without_a_message() {
    let mut fleet = Fleet::new(3);
    let leader = fleet.leader();
    let frames_before = fleet.frames;
    let event = stated(&fleet, "x", Some(250));
    fleet.event(leader, event);
    assert_eq!(believed(&fleet, leader), Some((250, Duration::ZERO)));
    assert_eq!(fleet.frames, frames_before);
}

/// A daemon answers many callers: however many statements it receives, it sends one bounded message for each interval, in
/// a frame of its own, since a scheduler of an earlier version drops the whole frame.
#[test]
fn messages_are_bounded_in_number_and_size() {
    let mut fleet = Fleet::new(3);
    let entry = entry_daemon(&fleet);
    let mut frames = Vec::new();
    for _ in 0..50 {
        fleet.now += STEP;
        for number in 0..400 {
            let event = stated(&fleet, &format!("target-{number:08}"), Some(100));
            frames.extend(load_frames(&mut fleet, entry, event));
        }
        frames.extend(load_frames(&mut fleet, entry, NodeEvent::Tick));
    }
    assert_eq!(frames.len(), 10, "in a second");
    for frame in &frames {
        let [PeerMessage::TargetLoads(pools)] = &frame.messages[..] else {
            panic!("{} messages in one frame", frame.messages.len());
        };
        assert_eq!(pools.iter().map(|loads| loads.loads.len()).sum::<usize>(), 256);
        let bytes = encode_frame(frame).expect("a frame").len();
        assert!(bytes < 10_000, "{bytes} bytes");
    }
}

#[test]
fn statement_without_a_slowness_is_not_sent() {
    let mut fleet = Fleet::new(3);
    let entry = entry_daemon(&fleet);
    let event = stated(&fleet, "x", None);
    let mut frames = load_frames(&mut fleet, entry, event);
    for _ in 0..20 {
        fleet.now += STEP;
        frames.extend(load_frames(&mut fleet, entry, NodeEvent::Tick));
    }
    assert!(frames.is_empty(), "{frames:?}");
}

/// The link to the scheduler is lost: its last statement ends by its age, and the next one after the repair counts.
#[test]
fn lost_messages_are_replaced_by_the_next_statement() {
    let mut fleet = Fleet::new(3);
    let (leader, entry) = (fleet.leader(), entry_daemon(&fleet));
    let event = stated(&fleet, "x", Some(250));
    fleet.event(entry, event);
    fleet.run(SEND_INTERVAL);
    assert!(believed(&fleet, leader).is_some());
    fleet.blocked.insert((entry, leader));
    let event = stated(&fleet, "x", Some(100));
    fleet.event(entry, event);
    fleet.run(SEND_INTERVAL);
    assert_eq!(believed(&fleet, leader).map(|(slowness, _)| slowness), Some(250));
    fleet.run(BELIEF_LIMIT);
    assert_eq!(believed(&fleet, leader), None);
    fleet.blocked.clear();
    let event = stated(&fleet, "x", Some(110));
    fleet.event(entry, event);
    fleet.run(SEND_INTERVAL * 2);
    assert_eq!(believed(&fleet, leader).map(|(slowness, _)| slowness), Some(110));
}

/// The scheduler ends. The next one knows nothing at first, and then what is stated to the daemons that ask it.
#[test]
fn new_scheduler_learns_from_the_next_statements() {
    let mut fleet = Fleet::new(3);
    let (leader, entry) = (fleet.leader(), entry_daemon(&fleet));
    let event = stated(&fleet, "x", Some(250));
    fleet.event(entry, event);
    fleet.run(SEND_INTERVAL);
    fleet.daemons[leader].cut = true;
    let next_leader = |fleet: &Fleet| fleet.position(&fleet.scheduler(entry));
    fleet.run_until(Duration::from_secs(10), |fleet| next_leader(fleet) != leader);
    let next = next_leader(&fleet);
    assert_ne!(next, leader);
    assert_eq!(believed(&fleet, next), None);
    let event = stated(&fleet, "x", Some(180));
    fleet.event(entry, event);
    fleet.run(SEND_INTERVAL * 2);
    assert_eq!(believed(&fleet, next).map(|(slowness, _)| slowness), Some(180));
}

/// A peer sends statements of pools or targets that this daemon does not know, as after a change of the configuration.
#[rstest]
#[case::unknown_pool("q", "x")]
#[case::unknown_target("p", "z")]
fn statement_of_something_unknown_creates_nothing(#[case] pool: &str, #[case] target: &str) {
    let mut fleet = Fleet::new(3);
    let leader = fleet.leader();
    let before = fleet.daemons[leader].node.status().pools;
    let instance = TargetInstance { id: target.to_string(), start: None };
    let report = LoadReport::new(instance, load(Some(250)), Duration::ZERO);
    let loads = vec![PoolLoads { pool: pool.to_string(), loads: vec![report] }];
    let vm = format!("vm-{}", entry_daemon(&fleet));
    let frame = PeerFrame {
        from: DaemonId { vm, incarnation: 1 },
        messages: vec![PeerMessage::TargetLoads(loads)],
    };
    fleet.event(leader, NodeEvent::PeerFrameReceived(frame));
    assert_eq!(fleet.daemons[leader].node.status().pools, before);
}
