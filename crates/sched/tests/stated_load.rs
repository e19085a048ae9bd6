//! What a scheduler believes of the loads that targets state: one test for each way in which a statement may mislead.

mod stated_pool;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, LoadReport, PermitDecision, PermitHeld, PermitReturn, StatedLoad, TargetEntry,
    TargetInstance, TargetNotice, TargetPool, TargetStart,
};
use curlewcleat_sched::{LoadBelief, PoolOptions, PoolScheduler, ReceivedNotice, TargetGate};
use rstest::rstest;

use stated_pool::{entry, ms, permit, report, request, scheduler, POOL, SLOTS, TARGETS};

const NOW: Duration = Duration::from_secs(100);

fn load(running: u32, slowness: u32) -> StatedLoad {
    StatedLoad { running, waiting: 0, slots: SLOTS, slowness_percent: Some(slowness) }
}

/// Returns the time that a second of work is expected to take at a target with this belief.
fn second_of_work(belief: &LoadBelief, now: Duration) -> u64 {
    belief.adjusted(now, 1_000_000, SLOTS)
}

/// Grants a permit, which is never returned.
fn grant(scheduler: &mut PoolScheduler, now: Duration, number: u128) -> Option<String> {
    let actions = scheduler.request_permit(now, entry(), request(number));
    actions.into_iter().find_map(|action| match action.answer.decision {
        PermitDecision::Granted(target) => Some(target),
        _ => None,
    })
}

/// Two daemons received unlike statements. The one received later counts, in whichever order they arrive.
#[rstest]
#[case::in_order([(300, 250), (100, 100)])]
#[case::older_one_last([(100, 100), (300, 250)])]
fn newest_of_unlike_statements_counts(#[case] statements: [(u64, u32); 2]) {
    let mut belief = LoadBelief::default();
    for (age, slowness) in statements {
        belief.apply(NOW, NOW - ms(age), &load(0, slowness), 0);
    }
    assert_eq!(belief.stated_slowness(NOW), Some((100, ms(100))));
}

/// A statement loses half of its weight in 300 ms and all of it in 1.5 s.
#[test]
fn statement_loses_its_weight_with_its_age() {
    let mut belief = LoadBelief::default();
    belief.apply(NOW, NOW, &load(0, 250), 0);
    let excess = |age| second_of_work(&belief, NOW + ms(age)) - 1_000_000;
    assert!((250_000..270_000).contains(&excess(0)), "{}", excess(0));
    assert_eq!(excess(300), excess(0) / 2);
    assert_eq!(excess(600), excess(0) / 4);
    assert!(excess(1_499) > 0);
    assert_eq!(excess(1_500), 0);
    assert_eq!(belief.stated_slowness(NOW + ms(1_500)), None);
}

/// A target states figures that no VM has. However fast it claims to be, it gains at most a tenth of a spell; however
/// slow, it loses no more than the rest of a spell.
#[test]
fn lie_has_a_bounded_effect() {
    for (slowness, range) in [(1, 950_000..1_000_000), (10_000, 1_000_001..1_433_001)] {
        let mut belief = LoadBelief::default();
        belief.apply(NOW, NOW, &load(0, slowness), 0);
        let expected = second_of_work(&belief, NOW);
        assert!(range.contains(&expected), "{slowness} %: {expected} us");
    }
}

/// A target always states the same, true or not: the learned pace already includes it.
#[rstest]
#[case::slow(250)]
#[case::fast(40)]
fn figure_that_never_changes_has_no_effect(#[case] slowness: u32) {
    let mut belief = LoadBelief::default();
    for step in 0..60 {
        let now = NOW + ms(100) * step;
        belief.apply(now, now, &load(0, slowness), 0);
    }
    let difference = second_of_work(&belief, NOW + ms(5_900)).abs_diff(1_000_000);
    assert!(difference < 5_000, "{difference} us");
}

/// One target states to be much faster than the others while many requests arrive before the next statement. They are
/// spread over the pool, by the learned pace and without it.
#[test]
fn requests_between_two_statements_do_not_all_go_to_the_fastest_target() {
    let mut scheduler = scheduler(TARGETS, 40);
    for number in 0..TARGETS {
        let slowness = if number == 0 { 100 } else { 250 };
        scheduler
            .apply_stated_load(NOW, &report(&format!("t{number:02}"), load(0, slowness), ms(50)));
    }
    let mut grants: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..48 {
        let target = grant(&mut scheduler, NOW, number).expect("free slots");
        *grants.entry(target).or_default() += 1;
    }
    assert_eq!(grants.len(), TARGETS, "{grants:?}");
    assert!(grants["t00"] > 48 / TARGETS, "the fastest one gets the most: {grants:?}");
    assert!(grants["t00"] <= 48 / 3, "{grants:?}");
}

/// The fastest target changes with each statement, ten times a second. No target gets most requests in its turn.
#[test]
fn figures_that_change_many_times_a_second_do_not_move_all_requests() {
    let mut scheduler = scheduler(TARGETS, 40);
    let mut most = 0;
    for turn in 0..2 * TARGETS {
        let now = NOW + ms(100) * turn as u32;
        for number in 0..TARGETS {
            let slowness = if number == turn % TARGETS { 100 } else { 250 };
            let id = format!("t{number:02}");
            scheduler.apply_stated_load(now, &report(&id, load(0, slowness), ms(0)));
        }
        let numbers = (0..120).map(|number| turn as u128 * 1_000 + number);
        let mut grants: BTreeMap<String, usize> = BTreeMap::new();
        for number in numbers.clone() {
            let target = grant(&mut scheduler, now, number).expect("free slots");
            *grants.entry(target).or_default() += 1;
        }
        most = most.max(*grants.values().max().expect("grants"));
        for number in numbers {
            let end = AttemptEnd::Unused;
            let returned = PermitReturn { permit: permit(number), pool: POOL.to_string(), end };
            scheduler.return_permit(now + ms(90), &returned);
        }
    }
    assert!(most <= 120 / 4, "{most} of 120 requests at one target");
}

/// A target runs eight requests of others. It gets one request until the statement is no longer believed.
#[test]
fn target_that_serves_others_gets_few_requests_while_its_statement_is_fresh() {
    let mut scheduler = scheduler(1, SLOTS);
    scheduler.apply_stated_load(NOW, &report("t00", load(8, 100), ms(100)));
    assert!(grant(&mut scheduler, NOW, 1).is_some(), "otherwise it could state nothing more");
    assert_eq!(grant(&mut scheduler, NOW, 2), None);
    let later = scheduler.tick(NOW + ms(1_399));
    assert!(later.is_empty(), "{later:?}");
    let later = scheduler.tick(NOW + ms(1_400));
    assert_eq!(later.len(), 1, "the statement is 1.5 s old");
}

/// Requests of this scheduler that had ended when their target's statement arrived are not those of others.
#[test]
fn own_requests_that_have_ended_are_not_attributed_to_others() {
    let mut scheduler = scheduler(1, SLOTS);
    scheduler.apply_stated_load(NOW, &report("t00", load(0, 100), ms(0)));
    for number in 0..6 {
        assert!(grant(&mut scheduler, NOW + ms(10), number).is_some());
    }
    for number in 0..6 {
        let returned = PermitReturn {
            permit: permit(number),
            pool: POOL.to_string(),
            end: AttemptEnd::Unused,
        };
        scheduler.return_permit(NOW + ms(1_000), &returned);
    }
    scheduler.apply_stated_load(NOW + ms(1_010), &report("t00", load(6, 100), ms(200)));
    assert_eq!(scheduler.targets()["t00"].external_load(NOW + ms(1_010)), 0);
}

/// A new scheduler learns of the statement before it learns which requests run for the schedulers' callers.
#[test]
fn new_scheduler_does_not_count_reported_requests_twice() {
    let mut scheduler = scheduler(1, SLOTS);
    scheduler.apply_stated_load(NOW, &report("t00", load(6, 100), ms(100)));
    assert_eq!(scheduler.targets()["t00"].external_load(NOW), 6);
    for number in 0..6 {
        let held = PermitHeld { request: request(number), target: "t00".to_string() };
        scheduler.record_held_permit(NOW, entry(), held);
    }
    assert_eq!(scheduler.targets()["t00"].external_load(NOW), 0);
    assert_eq!(scheduler.targets()["t00"].in_flight, 6);
}

/// A statement of an earlier instance of a target that has restarted tells nothing of the present one.
#[test]
fn statement_of_an_earlier_instance_is_ignored() {
    let mut scheduler = PoolScheduler::new(POOL.to_string(), PoolOptions::default());
    let start = |start| Some(TargetStart(start));
    let target = TargetEntry {
        id: "t".to_string(),
        slots: SLOTS,
        start: start(2),
        ..TargetEntry::default()
    };
    let targets = BTreeMap::from([("t".to_string(), target)]);
    let pool = TargetPool { id: POOL.to_string(), targets, ..TargetPool::default() };
    scheduler.configure(PoolOptions::default(), &pool);
    let stated = |start| {
        let instance = TargetInstance { id: "t".to_string(), start };
        LoadReport::new(instance, load(0, 250), ms(0))
    };
    scheduler.apply_stated_load(NOW, &stated(start(1)));
    assert_eq!(scheduler.targets()["t"].stated.stated_slowness(NOW), None);
    scheduler.apply_stated_load(NOW, &stated(start(2)));
    assert_eq!(scheduler.targets()["t"].stated.stated_slowness(NOW), Some((250, ms(0))));
}

/// A target states an unusable figure in each of its answers; the operators are told once for each of its instances.
#[test]
fn unusable_figures_are_reported_once_for_each_instance() {
    let mut gate = TargetGate::default();
    let instance = |start| TargetInstance { id: "t".to_string(), start: Some(TargetStart(start)) };
    assert!(gate.is_first_load_fault(NOW, &instance(1)));
    assert!(!gate.is_first_load_fault(NOW + ms(20), &instance(1)));
    let notice = ReceivedNotice { sent: NOW, notice: TargetNotice::default() };
    gate.apply_notice(NOW + ms(30), &instance(1), &notice);
    assert!(!gate.is_first_load_fault(NOW + ms(40), &instance(1)));
    assert!(gate.is_first_load_fault(NOW + ms(60), &instance(2)));
}
