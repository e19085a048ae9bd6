//! How much of a fleet a daemon reaches that its peers hear, or do not hear.

use std::time::Duration;

use curlewcleat_core::{DaemonId, DaemonRecord, Heartbeat};
use curlewcleat_sched::{FleetReach, MemberOptions, MemberView};
use rstest::rstest;

const NOW: Duration = Duration::from_secs(10);
const MESH_LIMIT: usize = 12;
const SCHEDULER: usize = 0;

fn daemon(index: usize) -> DaemonId {
    DaemonId { vm: format!("vm-{index}"), incarnation: 1 }
}

fn address(index: usize) -> String {
    format!("127.0.0.1:{}", 1_000 + index)
}

fn view(index: usize, daemons: usize) -> MemberView {
    let options = MemberOptions {
        address: address(index),
        data_centre: "d".to_string(),
        seeds: Vec::new(),
        suspect_after: Duration::from_secs(2),
        mesh_limit: MESH_LIMIT,
        capacity: 50,
        started: 1 + index as u64,
    };
    let mut view = MemberView::new(daemon(index), options);
    let record =
        |index| DaemonRecord { daemon: daemon(index), address: address(index), capacity: 50 };
    view.update_records((0..daemons).map(record).collect());
    view
}

fn heartbeat(index: usize, answer_wanted: bool, known: &[usize]) -> Heartbeat {
    Heartbeat {
        address: address(index),
        data_centre: "d".to_string(),
        generation: 1,
        table: 0,
        draining: false,
        stale: false,
        capacity: 50,
        started: 1 + index as u64,
        answer_wanted,
        known: known.iter().copied().map(address).collect(),
    }
}

fn reached(view: &MemberView) -> usize {
    view.reached_share(NOW, Duration::ZERO).reached
}

/// Returns what the scheduler receives from a peer that hears it for one second, and for four more seconds or not.
fn heartbeats_of(peer: usize, daemons: usize, hears_on: bool) -> Vec<Heartbeat> {
    let mut view = view(peer, daemons);
    let mut sent = Vec::new();
    for beat in 0..25 {
        let now = NOW + Duration::from_millis(200) * beat;
        for other in (0..daemons.min(8)).filter(|other| *other != peer) {
            if other != SCHEDULER || hears_on || beat < 5 {
                view.heartbeat_received(now, &daemon(other), &heartbeat(other, false, &[]));
            }
        }
        view.tick(now);
        let heartbeat = view.heartbeat(1, 0);
        let receivers = view.heartbeat_receivers(now).into_iter();
        let own = receivers.filter(|receiver| receiver.address == address(SCHEDULER));
        sent.extend(own.map(|receiver| Heartbeat {
            answer_wanted: receiver.answer_wanted,
            ..heartbeat.clone()
        }));
    }
    sent
}

/// Guards against peers whose heartbeats do not show that they have lost the scheduler, or show it of one that they hear.
#[rstest]
fn heartbeats_of_peers_show_whether_they_hear_the_scheduler(
    #[values(7, 12, 13, 1_100)] daemons: usize,
    #[values(true, false)] hears_on: bool,
) {
    let peer = 6;
    let mut scheduler = view(SCHEDULER, daemons);
    let heartbeats = heartbeats_of(peer, daemons, hears_on);
    assert!(heartbeats.len() >= 20, "{} reach the scheduler", heartbeats.len());
    for heartbeat in heartbeats {
        scheduler.heartbeat_received(NOW, &daemon(peer), &heartbeat);
    }
    assert_eq!(reached(&scheduler), if hears_on { 2 } else { 1 });
}

/// Guards against a scheduler that counts as reached whoever it hears, in a mesh and in a fleet without one.
#[rstest]
#[case::mesh(7, &[])]
#[case::no_mesh(1_100, &[2, 3, 4, 5])]
fn peers_that_lost_the_scheduler_do_not_count_until_they_hear_it(
    #[case] daemons: usize,
    #[case] others: &[usize],
) {
    let mut scheduler = view(SCHEDULER, daemons);
    let receive = |scheduler: &mut MemberView, lost: bool, known: &[usize]| {
        for index in 1..daemons {
            let in_mesh = daemons <= MESH_LIMIT;
            let heartbeat = heartbeat(index, lost || !in_mesh, known);
            scheduler.heartbeat_received(NOW, &daemon(index), &heartbeat);
        }
    };
    receive(&mut scheduler, false, &[SCHEDULER, 2, 3, 4]);
    receive(&mut scheduler, false, &[]);
    assert_eq!(reached(&scheduler), daemons);
    receive(&mut scheduler, true, others);
    receive(&mut scheduler, true, &[]);
    assert_eq!(reached(&scheduler), 1);
    assert_eq!(scheduler.recent_reach(NOW, Duration::ZERO), FleetReach::Few);
    receive(&mut scheduler, false, &[SCHEDULER, 2, 3, 4]);
    assert_eq!(reached(&scheduler), daemons);
    assert_eq!(scheduler.recent_reach(NOW, Duration::ZERO), FleetReach::Most);
}

/// Guards against what an earlier process heard that counts for a later one.
#[test]
fn later_process_does_not_count_before_it_hears_the_scheduler() {
    let mut scheduler = view(SCHEDULER, 1_100);
    scheduler.heartbeat_received(NOW, &daemon(1), &heartbeat(1, true, &[SCHEDULER]));
    assert_eq!(reached(&scheduler), 2);
    let later = DaemonId { incarnation: 2, ..daemon(1) };
    scheduler.heartbeat_received(NOW, &later, &heartbeat(1, true, &[]));
    assert_eq!(reached(&scheduler), 1);
    scheduler.heartbeat_received(NOW, &later, &heartbeat(1, true, &[SCHEDULER]));
    assert_eq!(reached(&scheduler), 2);
}
