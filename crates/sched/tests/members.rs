//! Who is reachable, who is asked first, and who gets heartbeats.

use std::time::Duration;

use curlewcleat_core::{DaemonId, Heartbeat};
use curlewcleat_sched::{MemberOptions, MemberView};
use rstest::rstest;

const SUSPECT_AFTER: Duration = Duration::from_secs(2);
const SUBJECT: &str = "all pools";

fn daemon(index: usize) -> DaemonId {
    DaemonId { vm: format!("vm-{index}"), incarnation: 1 }
}

fn view(mesh_limit: usize, capacity: u32, started: u64) -> MemberView {
    let options = MemberOptions {
        address: address(0),
        data_centre: "d".to_string(),
        seeds: Vec::new(),
        suspect_after: SUSPECT_AFTER,
        mesh_limit,
        capacity,
        started,
    };
    MemberView::new(daemon(0), options)
}

fn address(index: usize) -> String {
    format!("127.0.0.1:{}", 1_000 + index)
}

fn beat(index: usize, capacity: u32, started: u64) -> Heartbeat {
    Heartbeat {
        address: address(index),
        data_centre: "d".to_string(),
        generation: 1,
        table: 0,
        draining: false,
        stale: false,
        capacity,
        started,
        answer_wanted: false,
        known: Vec::new(),
    }
}

fn first(view: &MemberView) -> String {
    view.scheduler_order(SUBJECT)[0].vm.clone()
}

#[test]
fn strongest_vm_schedules_and_among_equals_the_oldest() {
    let now = Duration::from_secs(1);
    let mut view = view(12, 12, 5);
    for index in 1..6 {
        view.heartbeat_received(now, &daemon(index), &beat(index, 12, 5));
    }
    view.heartbeat_received(now, &daemon(6), &beat(6, 50, 9));
    assert_eq!(first(&view), "vm-6");
    view.heartbeat_received(now, &daemon(7), &beat(7, 50, 8));
    assert_eq!(first(&view), "vm-7");
    // It starts again and is the youngest now.
    let again = DaemonId { incarnation: 2, ..daemon(7) };
    view.heartbeat_received(now, &again, &beat(7, 50, 20));
    assert_eq!(first(&view), "vm-6");
}

#[test]
fn daemon_with_an_old_view_is_asked_last_however_strong() {
    let now = Duration::from_secs(1);
    let mut view = view(12, 12, 5);
    view.heartbeat_received(now, &daemon(1), &Heartbeat { stale: true, ..beat(1, 50, 1) });
    assert_eq!(first(&view), "vm-0");
}

#[rstest]
#[case::candidate(true, Duration::from_millis(2_100), true)]
#[case::far(false, Duration::from_millis(2_100), false)]
#[case::far_for_long(false, Duration::from_secs(21), true)]
fn far_peer_may_be_silent_for_longer_than_a_candidate(
    #[case] strong: bool,
    #[case] silence: Duration,
    #[case] lost: bool,
) {
    let mut view = view(12, 12, 5);
    let begin = Duration::from_secs(1);
    for index in 1..30 {
        let capacity = if index <= 4 { 50 } else { 12 };
        view.heartbeat_received(begin, &daemon(index), &beat(index, capacity, 5));
    }
    let silent = if strong { 2 } else { 20 };
    let order = view.scheduler_order(SUBJECT);
    view.heartbeat_receivers(begin, &order);
    let now = begin + silence;
    for index in (1..30).filter(|index| *index != silent) {
        let capacity = if index <= 4 { 50 } else { 12 };
        view.heartbeat_received(now, &daemon(index), &beat(index, capacity, 5));
    }
    assert_eq!(view.tick(now).contains(&daemon(silent)), lost);
}

#[test]
fn daemon_that_hears_nobody_waits_for_no_far_peer() {
    let mut view = view(12, 12, 5);
    let begin = Duration::from_secs(1);
    for index in 1..30 {
        view.heartbeat_received(begin, &daemon(index), &beat(index, 12, 5));
    }
    assert_eq!(view.tick(begin + SUSPECT_AFTER).len(), 29);
    assert_eq!(view.scheduler_order(SUBJECT), [daemon(0)]);
}

#[test]
fn wanted_answer_goes_out_with_the_next_heartbeat() {
    let mut view = view(12, 12, 5);
    let now = Duration::from_secs(1);
    for index in 1..30 {
        view.heartbeat_received(now, &daemon(index), &beat(index, 50, 5));
    }
    let order = view.scheduler_order(SUBJECT);
    // The first heartbeats of a process go to everyone.
    for _ in 0..10 {
        view.heartbeat_receivers(now, &order);
    }
    let asker = 17;
    let sent = |view: &mut MemberView| {
        let receivers = view.heartbeat_receivers(now, &order);
        receivers.iter().any(|receiver| receiver.address == address(asker))
    };
    let unasked = (0..10).filter(|_| sent(&mut view)).count();
    assert!(unasked <= 1 || order.iter().take(4).any(|taker| *taker == daemon(asker)));
    let wanted = Heartbeat { answer_wanted: true, ..beat(asker, 50, 5) };
    view.heartbeat_received(now, &daemon(asker), &wanted);
    assert!(sent(&mut view));
}
