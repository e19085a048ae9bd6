//! Reachability of peers, the order of schedulers, and the receivers of heartbeats.

use std::time::Duration;

use curlewcleat_core::{DaemonId, DaemonRecord, Heartbeat};
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

fn heartbeat(index: usize, capacity: u32, started: u64) -> Heartbeat {
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
fn strongest_vm_schedules_and_among_equals_the_longest_running() {
    let now = Duration::from_secs(1);
    let mut view = view(12, 12, 5);
    for index in 1..6 {
        view.heartbeat_received(now, &daemon(index), &heartbeat(index, 12, 5));
    }
    view.heartbeat_received(now, &daemon(6), &heartbeat(6, 50, 9));
    assert_eq!(first(&view), "vm-6");
    view.heartbeat_received(now, &daemon(7), &heartbeat(7, 50, 8));
    assert_eq!(first(&view), "vm-7");
    // It restarts and is now the youngest.
    let again = DaemonId { incarnation: 2, ..daemon(7) };
    view.heartbeat_received(now, &again, &heartbeat(7, 50, 20));
    assert_eq!(first(&view), "vm-6");
}

#[test]
fn daemon_with_a_stale_view_ranks_last_however_strong() {
    let now = Duration::from_secs(1);
    let mut view = view(12, 12, 5);
    view.heartbeat_received(now, &daemon(1), &Heartbeat { stale: true, ..heartbeat(1, 50, 1) });
    assert_eq!(first(&view), "vm-0");
}

#[rstest]
#[case::candidate(true, Duration::from_millis(2_100), true)]
#[case::no_exchange(false, Duration::from_millis(2_100), false)]
#[case::no_exchange_for_long(false, Duration::from_secs(21), false)]
fn only_peers_that_exchange_heartbeats_time_out(
    #[case] strong: bool,
    #[case] elapsed: Duration,
    #[case] lost: bool,
) {
    let mut view = view(12, 12, 5);
    let begin = Duration::from_secs(1);
    for index in 1..30 {
        let capacity = if index <= 4 { 50 } else { 12 };
        view.heartbeat_received(begin, &daemon(index), &heartbeat(index, capacity, 5));
    }
    let unresponsive = if strong { 2 } else { 20 };
    view.heartbeat_receivers(begin);
    let now = begin + elapsed;
    for index in (1..30).filter(|index| *index != unresponsive) {
        let capacity = if index <= 4 { 50 } else { 12 };
        view.heartbeat_received(now, &daemon(index), &heartbeat(index, capacity, 5));
    }
    assert_eq!(view.tick(now).contains(&daemon(unresponsive)), lost);
}

/// No heartbeats are exchanged with a daemon that is no candidate, so their absence must not count. Once the daemons
/// before it have ended it is a candidate, and must then be detected as unreachable as fast as any other.
#[test]
fn unresponsive_peer_is_detected_within_the_timeout_once_it_is_a_candidate() {
    let mut view = view(12, 12, 5);
    let capacity = |index: usize| 60 - index as u32;
    let mut now = Duration::from_secs(1);
    let ended = 5;
    for index in 1..30 {
        view.heartbeat_received(now, &daemon(index), &heartbeat(index, capacity(index), 5));
    }
    let step = Duration::from_millis(500);
    let mut lost = Vec::new();
    let run = |view: &mut MemberView, now: &mut Duration, alive: &[usize], lost: &mut Vec<_>| {
        for _ in 0..5 {
            *now += step;
            view.heartbeat_receivers(*now);
            for index in alive {
                view.heartbeat_received(
                    *now,
                    &daemon(*index),
                    &heartbeat(*index, capacity(*index), 5),
                );
            }
            lost.extend(view.tick(*now).into_iter().map(|daemon| daemon.vm));
        }
    };
    for _ in 0..20 {
        run(&mut view, &mut now, &[1, 2, 3, 4], &mut lost);
    }
    assert_eq!(lost, Vec::<String>::new());
    // The four candidates end; of the next ones the first has ended long ago.
    run(&mut view, &mut now, &[6, 7, 8], &mut lost);
    assert_eq!(lost, ["vm-1", "vm-2", "vm-3", "vm-4"]);
    run(&mut view, &mut now, &[6, 7, 8, 9], &mut lost);
    assert_eq!(lost.last(), Some(&daemon(ended).vm));
    assert_eq!(first(&view), "vm-6");
}

/// Daemons that had stopped exchanging heartbeats with a former candidate counted as unreachable there, 50 of them at
/// once.
#[test]
fn former_partner_gets_one_heartbeat_that_requires_no_answer() {
    let mut view = view(12, 12, 5);
    let now = Duration::from_secs(1);
    for index in 1..30 {
        view.heartbeat_received(now, &daemon(index), &heartbeat(index, 20 + index as u32, 5));
    }
    for _ in 0..5 {
        receivers(&mut view, now);
    }
    let wants_answer = |view: &mut MemberView, index: usize| {
        let sent = view.heartbeat_receivers(now);
        sent.into_iter().find(|to| to.address == address(index)).map(|to| to.answer_wanted)
    };
    assert_eq!(wants_answer(&mut view, 26), Some(true));
    view.heartbeat_received(now, &daemon(30), &heartbeat(30, 90, 5));
    receivers(&mut view, now);
    view.heartbeat_received(now, &daemon(31), &heartbeat(31, 91, 5));
    // The fourth one is no longer a candidate.
    assert_eq!(wants_answer(&mut view, 27), Some(false));
    assert_eq!(wants_answer(&mut view, 27), None);
}

/// A daemon in a small fleet stayed unheard by one whose frames it received: it was never asked for an answer, so that
/// the one that did not hear it had no reason to redial.
#[test]
fn unreachable_peer_in_a_small_fleet_is_requested_to_answer_until_it_is_heard() {
    let mut view = view(12, 12, 5);
    view.update_records((1..4).map(|index| record(index, 12)).collect());
    let mut now = Duration::from_secs(1);
    for index in [1, 2] {
        view.heartbeat_received(now, &daemon(index), &heartbeat(index, 12, 5));
    }
    let asked = |view: &mut MemberView, now: Duration| {
        let receivers = view.heartbeat_receivers(now).into_iter();
        let (asked, others): (Vec<_>, Vec<_>) = receivers.partition(|to| to.answer_wanted);
        assert_eq!(asked.len() + others.len(), 3, "every heartbeat goes to all");
        asked.into_iter().map(|receiver| receiver.address).collect::<Vec<_>>()
    };
    assert_eq!(asked(&mut view, now), Vec::<String>::new(), "the third was never heard");
    now += SUSPECT_AFTER;
    view.heartbeat_received(now, &daemon(1), &heartbeat(1, 12, 5));
    view.tick(now);
    assert_eq!(asked(&mut view, now), [address(2)]);
    view.heartbeat_received(now, &daemon(2), &heartbeat(2, 12, 5));
    assert_eq!(asked(&mut view, now), Vec::<String>::new());
}

/// A peer that is still requested to answer, and expects heartbeats, would count a daemon as unreachable that sends it
/// none because the fleet has grown.
#[test]
fn peer_requested_to_answer_in_a_small_fleet_learns_that_the_fleet_has_grown() {
    let mut view = view(12, 12, 5);
    view.update_records(Vec::new());
    let mut now = Duration::from_secs(1);
    view.heartbeat_received(now, &daemon(1), &heartbeat(1, 1, 5));
    (0..5).for_each(|_| drop(view.heartbeat_receivers(now)));
    now += SUSPECT_AFTER;
    view.tick(now);
    assert!(view.heartbeat_receivers(now).iter().all(|to| to.answer_wanted));
    for index in 1..30 {
        let capacity = if index == 1 { 1 } else { 50 };
        view.heartbeat_received(now, &daemon(index), &heartbeat(index, capacity, 5));
    }
    let to_first = |view: &mut MemberView| {
        let receivers = view.heartbeat_receivers(now);
        receivers.into_iter().find(|to| to.address == address(1)).map(|to| to.answer_wanted)
    };
    assert_eq!(to_first(&mut view), Some(false));
    assert_eq!(to_first(&mut view), None);
}

fn record(index: usize, capacity: u32) -> DaemonRecord {
    DaemonRecord { daemon: daemon(index), address: address(index), capacity }
}

/// Returns the addresses that get the next heartbeat.
fn receivers(view: &mut MemberView, now: Duration) -> Vec<String> {
    let receivers = view.heartbeat_receivers(now);
    receivers.into_iter().map(|receiver| receiver.address).collect()
}

/// Where 295 daemons that started together sent greetings to all others, each opened 294 connections and served as
/// many.
#[rstest]
#[case(30)]
#[case(295)]
#[case(1_000)]
fn new_daemon_sends_heartbeats_to_the_strongest_only(#[case] fleet: usize) {
    let mut view = view(12, 12, 5);
    let strong = |index: usize| if index.is_multiple_of(7) { 50 } else { 12 };
    view.update_records((1..fleet).map(|index| record(index, strong(index))).collect());
    let mut all = std::collections::BTreeSet::new();
    for beat in 0..4 {
        all.extend(receivers(&mut view, Duration::from_millis(125 * beat)));
    }
    assert!(all.len() <= 8, "{} receivers", all.len());
    for receiver in &all {
        let index = (1..fleet).find(|index| address(*index) == *receiver).expect("recorded");
        assert_eq!(strong(index), 50, "{receiver}");
    }
    assert_eq!(view.fleet_size(), fleet);
}

#[test]
fn recorded_daemon_counts_as_reachable_until_it_has_not_answered_in_time() {
    let mut view = view(12, 12, 5);
    let records: Vec<_> = (1..40)
        .map(|index| record(index, if index <= 5 { 50 + index as u32 } else { 12 }))
        .collect();
    view.update_records(records);
    // The strongest one of all has ended; its record is still there.
    assert_eq!(first(&view), "vm-5");
    let mut now = Duration::from_millis(10);
    for _ in 0..5 {
        receivers(&mut view, now);
        for index in [2, 3, 4] {
            view.heartbeat_received(now, &daemon(index), &heartbeat(index, 50 + index as u32, 5));
        }
        view.tick(now);
        now += Duration::from_millis(500);
    }
    assert_eq!(first(&view), "vm-4");
    // It has restarted and sends heartbeats.
    view.heartbeat_received(now, &daemon(5), &heartbeat(5, 55, 9));
    assert_eq!(first(&view), "vm-5");
}

#[test]
fn daemon_without_records_joins_through_a_seed() {
    let mut joining = view(12, 12, 9);
    joining.add_seeds(vec![address(20)]);
    let now = Duration::from_millis(5);
    assert_eq!(receivers(&mut joining, now), [address(20)]);
    let mut seed = MemberView::new(
        daemon(20),
        MemberOptions {
            address: address(20),
            data_centre: "d".to_string(),
            seeds: Vec::new(),
            suspect_after: SUSPECT_AFTER,
            mesh_limit: 12,
            capacity: 12,
            started: 5,
        },
    );
    seed.update_records((1..100).map(|index| record(index, 12)).collect());
    for index in 1..5 {
        seed.heartbeat_received(now, &daemon(index), &heartbeat(index, 50, 5));
    }
    let requiring = Heartbeat { answer_wanted: true, ..heartbeat(0, 12, 9) };
    assert!(seed.heartbeat_received(now, &daemon(0), &requiring).newcomer);
    let greeting = seed.greeting(1, 0);
    joining.heartbeat_received(now, &daemon(20), &greeting);
    // It knows the size of the fleet, and tries the first daemons in the order of schedulers.
    assert!(joining.fleet_size() >= 100, "{}", joining.fleet_size());
    let next = receivers(&mut joining, now);
    assert!((1..5).all(|index| next.contains(&address(index))), "{next:?}");
    assert!(next.len() <= 8, "{next:?}");
}

#[test]
fn daemon_that_is_cut_off_marks_all_peers_unreachable() {
    let mut view = view(12, 12, 5);
    let begin = Duration::from_secs(1);
    for index in 1..30 {
        view.heartbeat_received(begin, &daemon(index), &heartbeat(index, 12, 5));
    }
    assert_eq!(view.tick(begin + SUSPECT_AFTER).len(), 29);
    assert_eq!(view.scheduler_order(SUBJECT), [daemon(0)]);
}

#[test]
fn requested_answer_is_sent_with_the_next_heartbeat() {
    let mut view = view(12, 12, 5);
    let now = Duration::from_secs(1);
    for index in 1..30 {
        view.heartbeat_received(now, &daemon(index), &heartbeat(index, 50, 5));
    }
    let order = view.scheduler_order(SUBJECT);
    // The first heartbeats of a process go to all reachable peers.
    for _ in 0..10 {
        view.heartbeat_receivers(now);
    }
    let sender = 17;
    let sent = |view: &mut MemberView| {
        let receivers = view.heartbeat_receivers(now);
        receivers.iter().any(|receiver| receiver.address == address(sender))
    };
    let unrequested = (0..10).filter(|_| sent(&mut view)).count();
    assert!(unrequested <= 1 || order.iter().take(4).any(|candidate| *candidate == daemon(sender)));
    let wanted = Heartbeat { answer_wanted: true, ..heartbeat(sender, 50, 5) };
    view.heartbeat_received(now, &daemon(sender), &wanted);
    assert!(sent(&mut view));
}
