//! A target that restarts under its id: its scheduler keeps nothing of the earlier instance, and knows only the
//! list entry of the new one.

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

/// Returns a pool of targets with the same number of slots, by id and start.
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

fn permit_request(number: u128) -> PermitRequest {
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
        version: None,
    }
}

fn permit_return(number: u128, end: AttemptEnd) -> PermitReturn {
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

/// Permits of the earlier instance occupied all slots of the new one until they were returned, and then each
/// freed a slot that a request to the new instance was using.
#[test]
fn permits_of_the_earlier_instance_neither_occupy_nor_free_a_slot() {
    let mut scheduler = scheduler(&[("t", Some(1))], 2);
    for number in 1..=2 {
        assert_eq!(
            granted(&scheduler.request_permit(NOW, entry(), permit_request(number))),
            [number]
        );
    }
    assert!(granted(&scheduler.request_permit(NOW, entry(), permit_request(3))).is_empty());
    configure(&mut scheduler, &[("t", Some(2))], 2);
    assert_eq!(scheduler.targets()["t"].in_flight, 0);
    assert_eq!(granted(&scheduler.tick(NOW)), [3]);
    assert_eq!(granted(&scheduler.request_permit(NOW, entry(), permit_request(4))), [4]);
    assert!(granted(&scheduler.request_permit(NOW, entry(), permit_request(5))).is_empty());
    for number in 1..=2 {
        assert!(granted(&scheduler.return_permit(NOW, &permit_return(number, AttemptEnd::Failed)))
            .is_empty());
    }
    assert_eq!(scheduler.targets()["t"].in_flight, 2);
    configure(&mut scheduler, &[("t", Some(2))], 2);
    assert_eq!(scheduler.targets()["t"].in_flight, 2, "the same list entry again");
    assert_eq!(granted(&scheduler.return_permit(NOW, &permit_return(3, AttemptEnd::Unused))), [5]);
}

#[test]
fn permit_of_a_removed_daemon_frees_no_slot_of_the_new_instance() {
    let mut scheduler = scheduler(&[("t", Some(1))], 1);
    scheduler.request_permit(NOW, entry(), permit_request(1));
    configure(&mut scheduler, &[("t", Some(2))], 1);
    let other = DaemonId { vm: "other".to_string(), incarnation: 1 };
    assert_eq!(granted(&scheduler.request_permit(NOW, other.clone(), permit_request(2))), [2]);
    scheduler.remove_entry_daemon(NOW, &entry());
    assert_eq!(scheduler.targets()["t"].in_flight, 1);
    assert!(granted(&scheduler.request_permit(NOW, other, permit_request(3))).is_empty());
}

#[test]
fn new_instance_inherits_no_state_of_the_earlier_one() {
    let mut scheduler = scheduler(&[("t", Some(1)), ("u", Some(1))], 4);
    let unknown = scheduler.targets()["t"].clone();
    let to_t = |number| PermitRequest { avoid: vec!["u".to_string()], ..permit_request(number) };
    scheduler.request_permit(NOW, entry(), to_t(1));
    scheduler.return_permit(NOW, &permit_return(1, AttemptEnd::Whole(MINUTE)));
    for number in 2..=4 {
        scheduler.request_permit(NOW, entry(), to_t(number));
        scheduler.return_permit(NOW, &permit_return(number, AttemptEnd::Failed));
    }
    scheduler.set_leaving_vms(["t".to_string()].into());
    let learned = &scheduler.targets()["t"];
    assert!(learned.ejected() && learned.leaving && learned.prefixes.holds(7));
    assert!(learned.slowness() > unknown.slowness() && learned.failing() > 0);
    configure(&mut scheduler, &[("t", Some(2)), ("u", Some(1))], 4);
    scheduler.set_leaving_vms(Default::default());
    let mut expected = unknown;
    expected.start = Some(TargetStart(2));
    assert_eq!(scheduler.targets()["t"], expected);
}

#[test]
fn new_instance_inherits_no_prompt_backlog_or_pace() {
    let mut scheduler = scheduler(&[("t", Some(1)), ("u", Some(1))], 4);
    let to_t = |number| PermitRequest { avoid: vec!["u".to_string()], ..permit_request(number) };
    for number in 1..=8 {
        scheduler.request_permit(NOW, entry(), to_t(number));
        scheduler.return_permit(NOW, &permit_return(number, streamed(900)));
    }
    scheduler.request_permit(NOW, entry(), to_t(9));
    let learned = &scheduler.targets()["t"];
    assert!(learned.prompt_backlog(NOW) > Duration::ZERO);
    assert!(learned.pace.longest_pause(NOW) > Duration::ZERO);
    configure(&mut scheduler, &[("t", Some(2)), ("u", Some(1))], 4);
    let later = &scheduler.targets()["t"];
    assert_eq!(later.prompt_backlog(NOW), Duration::ZERO);
    assert_eq!(later.pace.longest_pause(NOW), Duration::ZERO);
    // A stream of the earlier instance updates the pace of the pool, but not that of the target.
    let before = later.clone();
    scheduler.return_permit(NOW, &permit_return(9, streamed(900)));
    assert_eq!(scheduler.targets()["t"], before);
}

#[test]
fn failures_of_the_earlier_instance_do_not_count_against_the_new_one() {
    let mut scheduler = scheduler(&[("t", Some(1)), ("u", Some(1))], 4);
    let to_t = |number| PermitRequest { avoid: vec!["u".to_string()], ..permit_request(number) };
    for number in 1..=3 {
        scheduler.request_permit(NOW, entry(), to_t(number));
    }
    configure(&mut scheduler, &[("t", Some(2)), ("u", Some(1))], 4);
    for number in 1..=3 {
        scheduler.return_permit(NOW, &permit_return(number, AttemptEnd::Failed));
    }
    let later = &scheduler.targets()["t"];
    assert_eq!((later.ejected(), later.failing()), (false, 0));
}

/// The scheduler is configured from an older list of the targets than it has already applied.
#[test]
fn list_entry_of_an_earlier_instance_is_ignored() {
    let mut scheduler = scheduler(&[("t", Some(2))], 2);
    scheduler.request_permit(NOW, entry(), permit_request(1));
    let known = scheduler.targets()["t"].clone();
    configure(&mut scheduler, &[("t", Some(1))], 9);
    assert_eq!(scheduler.targets()["t"], known);
    assert_eq!(known.in_flight, 1);
}

/// List entries without a start: the id alone identifies the instance, so a missing start must not reset the target.
#[rstest]
#[case::never_stated(None, None)]
#[case::stated_later(None, Some(1))]
#[case::stated_by_some_peers_only(Some(1), None)]
fn list_entry_without_a_start_keeps_the_state(
    #[case] before: Option<u64>,
    #[case] after: Option<u64>,
) {
    let mut scheduler = scheduler(&[("t", before)], 1);
    scheduler.request_permit(NOW, entry(), permit_request(1));
    configure(&mut scheduler, &[("t", after)], 1);
    let kept = &scheduler.targets()["t"];
    assert_eq!((kept.in_flight, kept.prefixes.holds(7)), (1, true));
    scheduler.return_permit(NOW, &permit_return(1, AttemptEnd::Failed));
    let kept = &scheduler.targets()["t"];
    assert_eq!((kept.in_flight, kept.failing() > 0), (0, true));
}

/// A permit that was granted before any start was stated belongs to the instance whose start is stated first.
#[test]
fn permit_without_a_start_belongs_to_the_first_stated_instance() {
    let mut scheduler = scheduler(&[("t", None)], 1);
    scheduler.request_permit(NOW, entry(), permit_request(1));
    configure(&mut scheduler, &[("t", Some(1))], 1);
    configure(&mut scheduler, &[("t", Some(2))], 1);
    assert_eq!(scheduler.targets()["t"].in_flight, 0);
    scheduler.request_permit(NOW, entry(), permit_request(2));
    scheduler.return_permit(NOW, &permit_return(1, AttemptEnd::Unused));
    assert_eq!(scheduler.targets()["t"].in_flight, 1);
}

/// Some daemons state starts and others do not, and the target was unlisted in between.
#[test]
fn permit_frees_its_slot_once_when_the_start_is_no_longer_stated() {
    let mut scheduler = scheduler(&[("t", Some(1))], 2);
    scheduler.request_permit(NOW, entry(), permit_request(1));
    configure(&mut scheduler, &[], 2);
    configure(&mut scheduler, &[("t", None)], 2);
    assert_eq!(scheduler.targets()["t"].in_flight, 1);
    scheduler.request_permit(NOW, entry(), permit_request(2));
    scheduler.return_permit(NOW, &permit_return(1, AttemptEnd::Unused));
    assert_eq!(scheduler.targets()["t"].in_flight, 1);
}

#[test]
fn held_permit_counts_for_the_known_instance() {
    let mut scheduler = scheduler(&[("t", Some(2))], 1);
    let held = PermitHeld { request: permit_request(1), target: "t".to_string() };
    scheduler.record_held_permit(NOW, entry(), held);
    assert_eq!(scheduler.targets()["t"].in_flight, 1);
    scheduler.return_permit(NOW, &permit_return(1, AttemptEnd::Unused));
    assert_eq!(scheduler.targets()["t"].in_flight, 0);
}

/// A request at a stalled target requests another one after the stalled target has restarted.
#[test]
fn stall_of_the_earlier_instance_does_not_count_against_the_new_one() {
    let mut scheduler = scheduler(&[("t", Some(1)), ("u", Some(1))], 4);
    let to_t = |number| PermitRequest { avoid: vec!["u".to_string()], ..permit_request(number) };
    for number in 1..=3 {
        scheduler.request_permit(NOW, entry(), to_t(number));
    }
    configure(&mut scheduler, &[("t", Some(2)), ("u", Some(1))], 4);
    for number in 1..=3 {
        let permit = PermitId { request: RequestId::from_u128(number), attempt: 1 };
        scheduler.request_permit(NOW, entry(), PermitRequest { permit, ..permit_request(number) });
    }
    let later = &scheduler.targets()["t"];
    assert_eq!((later.ejected(), later.failing()), (false, 0));
}
