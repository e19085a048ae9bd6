//! The pool of streaming targets that state their load, its scheduler and its requests.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::time::Duration;

use curlewcleat_core::{
    DaemonId, LatencyObjectives, LoadReport, PermitId, PermitRequest, RequestId, StatedLoad,
    TargetEntry, TargetInstance, TargetPool,
};
use curlewcleat_sched::{PoolOptions, PoolScheduler};

/// The pool of the tests.
pub const POOL: &str = "engines";
pub const TARGETS: usize = 12;
pub const SLOTS: u32 = 8;
/// Time within which callers expect the first part.
pub const OBJECTIVE: Duration = Duration::from_millis(200);

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn scheduler(targets: usize, slots: u32) -> PoolScheduler {
    let options = PoolOptions { queue_limit: 1_000, age_per_work: 1, ..PoolOptions::default() };
    let mut scheduler = PoolScheduler::new(POOL.to_string(), options.clone());
    let targets = (0..targets).map(|number| {
        let id = format!("t{number:02}");
        let entry = TargetEntry { id: id.clone(), vm: id.clone(), slots, ..TargetEntry::default() };
        (id, entry)
    });
    let pool = TargetPool {
        id: POOL.to_string(),
        queue_limit: 1_000,
        resumable: true,
        targets: targets.collect(),
        ..TargetPool::default()
    };
    scheduler.configure(options, &pool);
    scheduler
}

pub fn entry() -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation: 1 }
}

pub fn permit(number: u128) -> PermitId {
    PermitId { request: RequestId::from_u128(number), attempt: 0 }
}

pub fn request(number: u128) -> PermitRequest {
    PermitRequest {
        permit: permit(number),
        pool: POOL.to_string(),
        tier: 0,
        account: "a".to_string(),
        time_left: Duration::from_secs(15),
        objectives: LatencyObjectives {
            wait_limit: Duration::from_millis(1_600),
            forecast_limit: Duration::from_millis(480),
            first_part_by: OBJECTIVE,
            pause_limit: Duration::from_millis(400),
            ..LatencyObjectives::default()
        },
        prompt_work: 60_000,
        output_work: 800_000,
        prefix: None,
        cost: 1,
        avoid: Vec::new(),
        version: None,
    }
}

pub fn report(target: &str, load: StatedLoad, age: Duration) -> LoadReport {
    LoadReport::new(TargetInstance { id: target.to_string(), start: None }, load, age)
}
