//! Reports of a target that starts again: those of another life say nothing, and numbers begin anew.

use std::time::Duration;

use curlewcleat_core::{
    CacheEviction, DaemonId, LatencyObjectives, PermitId, PermitRequest, RequestId, TargetEntry,
    TargetLife, TargetPool, TargetReport, TargetStart,
};
use curlewcleat_sched::{PoolOptions, PoolScheduler};

const POOL: &str = "pool";
const NOW: Duration = Duration::ZERO;

fn entry() -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation: 1 }
}

/// A scheduler with one target.
fn scheduler(start: Option<u64>) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL.to_string(), PoolOptions::default());
    configure(&mut scheduler, start);
    scheduler
}

fn configure(scheduler: &mut PoolScheduler, start: Option<u64>) {
    let target = TargetEntry {
        id: "t".to_string(),
        vm: "t".to_string(),
        slots: 2,
        start: start.map(TargetStart),
        ..TargetEntry::default()
    };
    let targets = [("t".to_string(), target)].into();
    let pool = TargetPool { id: POOL.to_string(), targets, ..TargetPool::default() };
    scheduler.configure(PoolOptions::default(), &pool);
}

/// A request whose prompt begins with prefix 7.
fn ask(number: u128) -> PermitRequest {
    PermitRequest {
        permit: PermitId { request: RequestId::from_u128(number), attempt: 0 },
        pool: POOL.to_string(),
        tier: 0,
        account: "a".to_string(),
        cost: 1,
        objectives: LatencyObjectives::default(),
        time_left: Duration::from_secs(60),
        prompt_work: 50_000,
        output_work: 100_000,
        prefix: Some(7),
        avoid: Vec::new(),
    }
}

fn life(start: u64) -> TargetLife {
    TargetLife { id: "t".to_string(), start: Some(TargetStart(start)) }
}

fn report(running: u32, evictions: &[(u64, u64)]) -> TargetReport {
    let evictions =
        evictions.iter().map(|(number, prefix)| CacheEviction { number: *number, prefix: *prefix });
    TargetReport { running, evictions: evictions.collect() }
}

#[test]
fn report_of_another_life_says_nothing() {
    let mut scheduler = scheduler(Some(2));
    for start in [1, 3] {
        scheduler.reported(NOW, &life(start), &report(2, &[(9, 7)]));
        assert_eq!(scheduler.targets()["t"].external_load(NOW), 0);
    }
    scheduler.reported(NOW, &life(2), &report(2, &[]));
    assert_eq!(scheduler.targets()["t"].external_load(NOW), 2);
}

/// The numbers of the later life begin at 1 and were passed over as seen, up to the latest of the
/// earlier life: evictions were not noticed.
#[test]
fn counts_that_begin_anew_are_not_taken_for_old_ones() {
    let mut scheduler = scheduler(Some(1));
    scheduler.reported(NOW, &life(1), &report(0, &[(40, 1)]));
    configure(&mut scheduler, Some(2));
    scheduler.reported(NOW, &life(2), &report(0, &[(1, 1)]));
    scheduler.request_permit(NOW, entry(), ask(1));
    assert!(scheduler.targets()["t"].prefixes.holds(7));
    scheduler.reported(NOW, &life(2), &report(0, &[(1, 1), (2, 7)]));
    assert!(!scheduler.targets()["t"].prefixes.holds(7));
}

/// A target that tells no start began anew. Its numbers went back from 40 to 1, and all of its evictions
/// were passed over as seen until they had reached 40 again.
#[test]
fn numbers_that_go_back_without_a_start_forget_everything() {
    let mut scheduler = scheduler(None);
    let target = TargetLife { id: "t".to_string(), start: None };
    scheduler.reported(NOW, &target, &report(0, &[(40, 1)]));
    scheduler.request_permit(NOW, entry(), ask(1));
    scheduler.reported(NOW, &target, &report(0, &[]));
    assert!(scheduler.targets()["t"].prefixes.holds(7), "nothing was evicted");
    scheduler.reported(NOW, &target, &report(0, &[(1, 1)]));
    assert!(!scheduler.targets()["t"].prefixes.holds(7));
    scheduler.request_permit(NOW, entry(), ask(2));
    scheduler.reported(NOW, &target, &report(0, &[(1, 1)]));
    assert!(scheduler.targets()["t"].prefixes.holds(7), "the same report once more");
    scheduler.reported(NOW, &target, &report(0, &[(1, 1), (2, 7)]));
    assert!(!scheduler.targets()["t"].prefixes.holds(7));
}
