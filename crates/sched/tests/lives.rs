//! A target that starts again under its id: its scheduler knows nothing of the later life but its entry.

use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, LatencyObjectives, PermitDecision, PermitHeld, PermitId, PermitRequest,
    PermitReturn, RequestId, StreamTiming, TargetEntry, TargetPool, TargetStart,
};
use curlewcleat_sched::{PoolOptions, PoolScheduler, SchedulerAction};
use rstest::rstest;

const POOL: &str = "pool";
const NOW: Duration = Duration::ZERO;
const MINUTE: Duration = Duration::from_secs(60);

fn entry() -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation: 1 }
}

/// A pool of targets with the same slots, by id and start.
fn pool(targets: &[(&str, Option<u64>)], slots: u32) -> TargetPool {
    let entry = |(id, start): &(&str, Option<u64>)| {
        let entry = TargetEntry {
            id: id.to_string(),
            vm: id.to_string(),
            slots,
            start: start.map(TargetStart),
            ..TargetEntry::default()
        };
        (id.to_string(), entry)
    };
    TargetPool {
        id: POOL.to_string(),
        cached_prefixes: 4,
        targets: targets.iter().map(entry).collect(),
        ..TargetPool::default()
    }
}

fn scheduler(targets: &[(&str, Option<u64>)], slots: u32) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL.to_string(), PoolOptions::default());
    configure(&mut scheduler, targets, slots);
    scheduler
}

fn configure(scheduler: &mut PoolScheduler, targets: &[(&str, Option<u64>)], slots: u32) {
    let options = PoolOptions { cached_prefixes: 4, ..PoolOptions::default() };
    scheduler.configure(options, &pool(targets, slots));
}

fn ask(number: u128) -> PermitRequest {
    PermitRequest {
        permit: PermitId { request: RequestId::from_u128(number), attempt: 0 },
        pool: POOL.to_string(),
        tier: 0,
        account: "a".to_string(),
        cost: 1,
        objectives: LatencyObjectives::default(),
        time_left: MINUTE,
        prompt_work: 50_000,
        output_work: 100_000,
        prefix: Some(7),
        avoid: Vec::new(),
    }
}

fn back(number: u128, end: AttemptEnd) -> PermitReturn {
    let permit = PermitId { request: RequestId::from_u128(number), attempt: 0 };
    PermitReturn { permit, pool: POOL.to_string(), end }
}

fn granted(actions: &[SchedulerAction]) -> Vec<u128> {
    let grants = actions
        .iter()
        .filter(|action| matches!(action.answer.decision, PermitDecision::Granted(_)));
    grants.map(|action| action.answer.permit.request.as_u128()).collect()
}

fn streamed(millis: u64) -> AttemptEnd {
    AttemptEnd::Streamed(StreamTiming {
        first: Duration::from_millis(millis),
        rest: Duration::from_millis(millis * 10),
        parts: 10,
        pause: Duration::from_millis(millis),
    })
}

/// Requests to the earlier life kept all places of the later one until they were given back, and then
/// freed a place each that a request to the later life had.
#[test]
fn permits_of_the_earlier_life_neither_keep_nor_free_a_place() {
    let mut scheduler = scheduler(&[("t", Some(1))], 2);
    for number in 1..=2 {
        assert_eq!(granted(&scheduler.request_permit(NOW, entry(), ask(number))), [number]);
    }
    assert!(granted(&scheduler.request_permit(NOW, entry(), ask(3))).is_empty());
    configure(&mut scheduler, &[("t", Some(2))], 2);
    assert_eq!(scheduler.targets()["t"].in_flight, 0);
    assert_eq!(granted(&scheduler.tick(NOW)), [3]);
    assert_eq!(granted(&scheduler.request_permit(NOW, entry(), ask(4))), [4]);
    assert!(granted(&scheduler.request_permit(NOW, entry(), ask(5))).is_empty());
    for number in 1..=2 {
        assert!(granted(&scheduler.give_back(NOW, &back(number, AttemptEnd::Failed))).is_empty());
    }
    assert_eq!(scheduler.targets()["t"].in_flight, 2);
    configure(&mut scheduler, &[("t", Some(2))], 2);
    assert_eq!(scheduler.targets()["t"].in_flight, 2, "the same entry once more");
    assert_eq!(granted(&scheduler.give_back(NOW, &back(3, AttemptEnd::Unused))), [5]);
}

#[test]
fn permit_of_a_daemon_that_is_gone_frees_no_place_of_the_later_life() {
    let mut scheduler = scheduler(&[("t", Some(1))], 1);
    scheduler.request_permit(NOW, entry(), ask(1));
    configure(&mut scheduler, &[("t", Some(2))], 1);
    let other = DaemonId { vm: "other".to_string(), incarnation: 1 };
    assert_eq!(granted(&scheduler.request_permit(NOW, other.clone(), ask(2))), [2]);
    scheduler.entry_gone(NOW, &entry());
    assert_eq!(scheduler.targets()["t"].in_flight, 1);
    assert!(granted(&scheduler.request_permit(NOW, other, ask(3))).is_empty());
}

#[test]
fn nothing_that_was_learned_of_the_earlier_life_holds_for_the_later_one() {
    let mut scheduler = scheduler(&[("t", Some(1)), ("u", Some(1))], 4);
    let unknown = scheduler.targets()["t"].clone();
    let to_t = |number| PermitRequest { avoid: vec!["u".to_string()], ..ask(number) };
    scheduler.request_permit(NOW, entry(), to_t(1));
    scheduler.give_back(NOW, &back(1, AttemptEnd::Whole(MINUTE)));
    for number in 2..=4 {
        scheduler.request_permit(NOW, entry(), to_t(number));
        scheduler.give_back(NOW, &back(number, AttemptEnd::Failed));
    }
    scheduler.set_away(["t".to_string()].into());
    let learned = &scheduler.targets()["t"];
    assert!(learned.ejected() && learned.leaving && learned.prefixes.holds(7));
    assert!(learned.slowness() > unknown.slowness() && learned.failing() > 0);
    configure(&mut scheduler, &[("t", Some(2)), ("u", Some(1))], 4);
    scheduler.set_away(Default::default());
    let mut anew = unknown;
    anew.start = Some(TargetStart(2));
    assert_eq!(scheduler.targets()["t"], anew);
}

#[test]
fn prompts_and_pace_of_the_earlier_life_are_forgotten() {
    let mut scheduler = scheduler(&[("t", Some(1)), ("u", Some(1))], 4);
    let to_t = |number| PermitRequest { avoid: vec!["u".to_string()], ..ask(number) };
    for number in 1..=8 {
        scheduler.request_permit(NOW, entry(), to_t(number));
        scheduler.give_back(NOW, &back(number, streamed(900)));
    }
    scheduler.request_permit(NOW, entry(), to_t(9));
    let learned = &scheduler.targets()["t"];
    assert!(learned.prompt_backlog(NOW) > Duration::ZERO);
    assert!(learned.pace.longest_pause(NOW) > Duration::ZERO);
    configure(&mut scheduler, &[("t", Some(2)), ("u", Some(1))], 4);
    let later = &scheduler.targets()["t"];
    assert_eq!(later.prompt_backlog(NOW), Duration::ZERO);
    assert_eq!(later.pace.longest_pause(NOW), Duration::ZERO);
    // What the stream of the earlier life tells still holds for the pool, not for the target.
    let before = later.clone();
    scheduler.give_back(NOW, &back(9, streamed(900)));
    assert_eq!(scheduler.targets()["t"], before);
}

#[test]
fn failures_of_the_earlier_life_do_not_count_against_the_later_one() {
    let mut scheduler = scheduler(&[("t", Some(1)), ("u", Some(1))], 4);
    let to_t = |number| PermitRequest { avoid: vec!["u".to_string()], ..ask(number) };
    for number in 1..=3 {
        scheduler.request_permit(NOW, entry(), to_t(number));
    }
    configure(&mut scheduler, &[("t", Some(2)), ("u", Some(1))], 4);
    for number in 1..=3 {
        scheduler.give_back(NOW, &back(number, AttemptEnd::Failed));
    }
    let later = &scheduler.targets()["t"];
    assert_eq!((later.ejected(), later.failing()), (false, 0));
}

/// A scheduler that is configured by an older view than it had.
#[test]
fn entry_of_an_earlier_life_changes_nothing() {
    let mut scheduler = scheduler(&[("t", Some(2))], 2);
    scheduler.request_permit(NOW, entry(), ask(1));
    let known = scheduler.targets()["t"].clone();
    configure(&mut scheduler, &[("t", Some(1))], 9);
    assert_eq!(scheduler.targets()["t"], known);
    assert_eq!(known.in_flight, 1);
}

/// Entries without a start: the id stands for the life, as before targets told their starts.
#[rstest]
#[case::never_told(None, None)]
#[case::told_from_now_on(None, Some(1))]
#[case::told_by_some_peers_only(Some(1), None)]
fn entry_without_a_start_keeps_what_is_known(
    #[case] before: Option<u64>,
    #[case] after: Option<u64>,
) {
    let mut scheduler = scheduler(&[("t", before)], 1);
    scheduler.request_permit(NOW, entry(), ask(1));
    configure(&mut scheduler, &[("t", after)], 1);
    let kept = &scheduler.targets()["t"];
    assert_eq!((kept.in_flight, kept.prefixes.holds(7)), (1, true));
    scheduler.give_back(NOW, &back(1, AttemptEnd::Failed));
    let kept = &scheduler.targets()["t"];
    assert_eq!((kept.in_flight, kept.failing() > 0), (0, true));
}

/// A permit from before the start was told belongs to the life whose start is told first.
#[test]
fn permit_from_before_the_start_was_told_ends_with_its_life() {
    let mut scheduler = scheduler(&[("t", None)], 1);
    scheduler.request_permit(NOW, entry(), ask(1));
    configure(&mut scheduler, &[("t", Some(1))], 1);
    configure(&mut scheduler, &[("t", Some(2))], 1);
    assert_eq!(scheduler.targets()["t"].in_flight, 0);
    scheduler.request_permit(NOW, entry(), ask(2));
    scheduler.give_back(NOW, &back(1, AttemptEnd::Unused));
    assert_eq!(scheduler.targets()["t"].in_flight, 1);
}

/// Some daemons tell starts and others do not, and the target was out of sight in between.
#[test]
fn permit_of_a_life_whose_start_is_no_longer_told_frees_its_place_once() {
    let mut scheduler = scheduler(&[("t", Some(1))], 2);
    scheduler.request_permit(NOW, entry(), ask(1));
    configure(&mut scheduler, &[], 2);
    configure(&mut scheduler, &[("t", None)], 2);
    assert_eq!(scheduler.targets()["t"].in_flight, 1);
    scheduler.request_permit(NOW, entry(), ask(2));
    scheduler.give_back(NOW, &back(1, AttemptEnd::Unused));
    assert_eq!(scheduler.targets()["t"].in_flight, 1);
}

#[test]
fn held_permit_counts_for_the_life_that_is_known() {
    let mut scheduler = scheduler(&[("t", Some(2))], 1);
    let held = PermitHeld { request: ask(1), target: "t".to_string() };
    scheduler.hold(NOW, entry(), held);
    assert_eq!(scheduler.targets()["t"].in_flight, 1);
    scheduler.give_back(NOW, &back(1, AttemptEnd::Unused));
    assert_eq!(scheduler.targets()["t"].in_flight, 0);
}

/// A request at a silent target asks for another one, after that target has started again.
#[test]
fn silence_of_the_earlier_life_does_not_count_against_the_later_one() {
    let mut scheduler = scheduler(&[("t", Some(1)), ("u", Some(1))], 4);
    let to_t = |number| PermitRequest { avoid: vec!["u".to_string()], ..ask(number) };
    for number in 1..=3 {
        scheduler.request_permit(NOW, entry(), to_t(number));
    }
    configure(&mut scheduler, &[("t", Some(2)), ("u", Some(1))], 4);
    for number in 1..=3 {
        let permit = PermitId { request: RequestId::from_u128(number), attempt: 1 };
        scheduler.request_permit(NOW, entry(), PermitRequest { permit, ..ask(number) });
    }
    let later = &scheduler.targets()["t"];
    assert_eq!((later.ejected(), later.failing()), (false, 0));
}
