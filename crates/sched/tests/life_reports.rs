//! Reports of a restarted target: reports of another instance are ignored, and eviction numbers begin at 1 again.

use std::time::Duration;

use curlewcleat_core::{
    CacheEviction, DaemonId, LatencyObjectives, PermitId, PermitRequest, RequestId, TargetEntry,
    TargetInstance, TargetPool, TargetReport, TargetStart,
};
use curlewcleat_sched::{PoolOptions, PoolScheduler};

const POOL: &str = "pool";
const NOW: Duration = Duration::ZERO;

fn entry() -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation: 1 }
}

/// Returns a scheduler with one target.
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

/// Returns a permit request whose prompt begins with prefix 7.
fn permit_request(number: u128) -> PermitRequest {
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
        version: None,
    }
}

fn instance(start: u64) -> TargetInstance {
    TargetInstance { id: "t".to_string(), start: Some(TargetStart(start)) }
}

fn report(running: u32, evictions: &[(u64, u64)]) -> TargetReport {
    let evictions =
        evictions.iter().map(|(number, prefix)| CacheEviction { number: *number, prefix: *prefix });
    TargetReport { running, evictions: evictions.collect() }
}

#[test]
fn report_of_another_instance_is_ignored() {
    let mut scheduler = scheduler(Some(2));
    for start in [1, 3] {
        scheduler.apply_report(NOW, &instance(start), &report(2, &[(9, 7)]));
        assert_eq!(scheduler.targets()["t"].external_load(NOW), 0);
    }
    scheduler.apply_report(NOW, &instance(2), &report(2, &[]));
    assert_eq!(scheduler.targets()["t"].external_load(NOW), 2);
}

/// Eviction numbers of a new instance begin at 1. They were skipped as already applied up to the latest
/// number of the earlier instance, so that evictions were missed.
#[test]
fn evictions_of_a_new_instance_are_not_skipped_as_applied() {
    let mut scheduler = scheduler(Some(1));
    scheduler.apply_report(NOW, &instance(1), &report(0, &[(40, 1)]));
    configure(&mut scheduler, Some(2));
    scheduler.apply_report(NOW, &instance(2), &report(0, &[(1, 1)]));
    scheduler.request_permit(NOW, entry(), permit_request(1));
    assert!(scheduler.targets()["t"].prefixes.holds(7));
    scheduler.apply_report(NOW, &instance(2), &report(0, &[(1, 1), (2, 7)]));
    assert!(!scheduler.targets()["t"].prefixes.holds(7));
}

/// A target that reports no start restarted. Its eviction numbers went back from 40 to 1, and all evictions
/// were skipped as already applied until the numbers had reached 40 again.
#[test]
fn eviction_numbers_that_go_back_clear_the_cache_of_a_target_without_start() {
    let mut scheduler = scheduler(None);
    let target = TargetInstance { id: "t".to_string(), start: None };
    scheduler.apply_report(NOW, &target, &report(0, &[(40, 1)]));
    scheduler.request_permit(NOW, entry(), permit_request(1));
    scheduler.apply_report(NOW, &target, &report(0, &[]));
    assert!(scheduler.targets()["t"].prefixes.holds(7), "nothing was evicted");
    scheduler.apply_report(NOW, &target, &report(0, &[(1, 1)]));
    assert!(!scheduler.targets()["t"].prefixes.holds(7));
    scheduler.request_permit(NOW, entry(), permit_request(2));
    scheduler.apply_report(NOW, &target, &report(0, &[(1, 1)]));
    assert!(scheduler.targets()["t"].prefixes.holds(7), "the same report once more");
    scheduler.apply_report(NOW, &target, &report(0, &[(1, 1), (2, 7)]));
    assert!(!scheduler.targets()["t"].prefixes.holds(7));
}
