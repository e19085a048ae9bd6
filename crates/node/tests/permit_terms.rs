//! Permits and refusals at a daemon that others have taken for lost.

mod support;

use std::time::Duration;

use curlewcleat_node::{CallerDecision, NodeEvent};
use rstest::rstest;

use support::{spec, target, Fleet};

const DAEMONS: usize = 6;
const LARGE_FLEET: usize = 40;
/// Slots of all targets of the fleet.
const SLOTS: u128 = 8;

/// How an entry daemon is lost for some seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Standstill,
    Cut,
    NotHeard,
}

fn others(fleet: &Fleet, entry: usize) -> impl Iterator<Item = usize> {
    (0..fleet.daemons.len()).filter(move |other| *other != entry)
}

fn lose(fleet: &mut Fleet, entry: usize, loss: Loss) {
    match loss {
        Loss::Standstill => fleet.suspend(entry),
        Loss::Cut => fleet.block(entry, 0..fleet.daemons.len(), true),
        Loss::NotHeard => others(fleet, entry).for_each(|other| {
            fleet.blocked.insert((entry, other));
        }),
    }
}

fn return_to(fleet: &mut Fleet, entry: usize, loss: Loss) {
    match loss {
        Loss::Standstill => fleet.resume(entry),
        Loss::Cut | Loss::NotHeard => fleet.blocked.clear(),
    }
}

/// Returns a daemon that neither schedules nor is asked next.
fn entry_daemon(fleet: &Fleet) -> usize {
    let candidates = fleet.candidates();
    (0..fleet.daemons.len()).find(|index| !candidates.contains(index)).expect("one")
}

/// Returns a fleet whose account has no rate.
fn fleet_without_rates() -> Fleet {
    let mut fleet = Fleet::new(DAEMONS);
    fleet.config = fleet.config.replace("shared_rate_per_s = 1000\n", "");
    fleet.generation += 1;
    fleet.run(Duration::from_secs(4));
    fleet
}

fn is_dispatched(fleet: &Fleet, number: u128) -> bool {
    matches!(fleet.decision(number), Some(CallerDecision::Dispatch(..)))
}

/// Loses an entry daemon while all slots are in use through it; returns how many the scheduler counts once it is back.
fn counted_after(daemons: usize, loss: Loss) -> u128 {
    let mut fleet = Fleet::new(daemons);
    let (entry, scheduler) = (entry_daemon(&fleet), fleet.leader());
    (1..=SLOTS).for_each(|number| fleet.admit(entry, number));
    assert_eq!(fleet.in_flight(scheduler) as u128, SLOTS);
    lose(&mut fleet, entry, loss);
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.in_flight(scheduler), 0, "its permits are free");
    return_to(&mut fleet, entry, loss);
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.leader(), scheduler);
    fleet.in_flight(scheduler) as u128
}

/// Guards against slots that are granted twice because the scheduler does not learn again which permits are in use.
#[rstest]
fn permits_in_use_are_counted_again_after_their_daemon_was_lost(
    #[values(Loss::Standstill, Loss::Cut)] loss: Loss,
) {
    assert_eq!(counted_after(DAEMONS, loss), SLOTS);
}

/// The daemon hears the scheduler all the time, so that nothing makes it report its permits again.
#[test]
fn permits_in_use_are_counted_again_after_their_daemon_was_not_heard() {
    assert_eq!(counted_after(DAEMONS, Loss::NotHeard), SLOTS);
}

/// Guards against the same in a fleet in which only few daemons exchange heartbeats.
#[rstest]
fn permits_in_use_are_counted_again_in_a_large_fleet(
    #[values(Loss::Standstill, Loss::Cut, Loss::NotHeard)] loss: Loss,
) {
    assert_eq!(counted_after(LARGE_FLEET, loss), SLOTS);
}

/// Guards against slots that stay taken by requests that ended while their daemon was not heard.
#[test]
fn permits_that_ended_while_their_daemon_was_not_heard_are_free() {
    let mut fleet = Fleet::new(DAEMONS);
    let (entry, scheduler) = (entry_daemon(&fleet), fleet.leader());
    (1..=SLOTS).for_each(|number| fleet.admit(entry, number));
    lose(&mut fleet, entry, Loss::NotHeard);
    fleet.run(Duration::from_secs(4));
    (1..=SLOTS / 2).for_each(|number| fleet.finish(entry, number));
    return_to(&mut fleet, entry, Loss::NotHeard);
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.in_flight(scheduler) as u128, SLOTS / 2);
}

/// Guards against a permit that was granted during a standstill and is used by what its daemon knew before.
#[test]
fn permit_granted_in_a_standstill_is_not_used_for_a_data_centre_evacuated_in_it() {
    let mut fleet = fleet_without_rates();
    fleet.targets = (vec![target("z", false)], fleet.targets.1 + 1);
    fleet.run(Duration::from_secs(4));
    let (entry, other) = (entry_daemon(&fleet), fleet.leader());
    fleet.admit(other, 1);
    (2..=5).for_each(|number| fleet.admit(entry, number));
    assert!(is_dispatched(&fleet, 4) && !is_dispatched(&fleet, 5), "four slots");
    fleet.suspend(entry);
    fleet.finish(other, 1);
    fleet.evacuate(&["d"]);
    fleet.run(Duration::from_secs(3));
    fleet.resume(entry);
    assert!(!is_dispatched(&fleet, 5), "{:?}", fleet.decision(5));
}

/// Guards against a request that is admitted after a standstill by what its daemon knew before.
#[test]
fn request_admitted_after_a_standstill_is_not_sent_to_a_data_centre_evacuated_in_it() {
    let mut fleet = fleet_without_rates();
    let entry = entry_daemon(&fleet);
    fleet.suspend(entry);
    fleet.evacuate(&["d"]);
    fleet.run(Duration::from_secs(4));
    let admitted = NodeEvent::Admit(Box::new(spec(1)));
    fleet.standing_still.get_mut(&entry).expect("it stands still").push_front(admitted);
    fleet.resume(entry);
    assert!(!is_dispatched(&fleet, 1), "{:?}", fleet.decision(1));
}

/// Guards against requests that wait for the list although a peer has stated that nothing is evacuated.
#[test]
fn request_admitted_after_a_standstill_is_sent_once_the_list_is_known() {
    let mut fleet = fleet_without_rates();
    let entry = entry_daemon(&fleet);
    fleet.suspend(entry);
    fleet.run(Duration::from_secs(4));
    fleet.resume(entry);
    fleet.admit(entry, 1);
    assert!(!is_dispatched(&fleet, 1), "{:?}", fleet.decision(1));
    fleet.run(Duration::from_millis(200));
    assert!(is_dispatched(&fleet, 1), "{:?}", fleet.decision(1));
}

/// Guards against requests that are refused for good where nobody can state what is evacuated.
#[test]
fn request_admitted_after_a_standstill_is_sent_where_the_list_stays_unknown() {
    let mut fleet = fleet_without_rates();
    let entry = entry_daemon(&fleet);
    fleet.suspend(entry);
    fleet.daemons[entry].reaches_platform = false;
    fleet.run(Duration::from_secs(4));
    fleet.block(entry, 0..DAEMONS, true);
    fleet.resume(entry);
    fleet.admit(entry, 1);
    assert!(!is_dispatched(&fleet, 1), "{:?}", fleet.decision(1));
    fleet.run(Duration::from_millis(600));
    assert!(is_dispatched(&fleet, 1), "{:?}", fleet.decision(1));
}

/// Guards against an answer that was sent before the standstill and that counts as a proof after it.
#[test]
fn permit_is_not_used_by_a_list_that_was_read_before_the_standstill() {
    let mut fleet = fleet_without_rates();
    let entry = entry_daemon(&fleet);
    let (list, sent) = (fleet.evacuations.clone(), fleet.now);
    fleet.suspend(entry);
    fleet.event(entry, NodeEvent::EvacuationsListed { list, sent });
    fleet.evacuate(&["d"]);
    fleet.run(Duration::from_secs(4));
    fleet.block(entry, 0..DAEMONS, true);
    fleet.resume(entry);
    fleet.admit(entry, 1);
    assert!(!is_dispatched(&fleet, 1), "{:?}", fleet.decision(1));
}
