//! The order of requests that take up a stream, beside new ones.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, LatencyObjectives, PermitDecision, PermitId, PermitRequest, PermitReturn,
    RefusalReason, RequestId, TargetEntry, TargetPool, Uptime, VersionDigest,
};
use curlewcleat_sched::{PoolOptions, PoolScheduler, SchedulerAction};

const POOL: &str = "p";
const NOW: Uptime = Duration::from_secs(100);
const TIME_LEFT: Duration = Duration::from_secs(10);
const OBJECTIVE: Duration = Duration::from_secs(1);
/// Work of each request, for half of its objective.
const WORK: u64 = 500_000;

fn version(name: &str) -> VersionDigest {
    VersionDigest::of(Some(&name.to_string()))
}

/// Returns a scheduler whose targets have one slot and these versions.
fn scheduler(versions: &[&str]) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL.to_string(), PoolOptions::default());
    configure(&mut scheduler, versions);
    scheduler
}

fn configure(scheduler: &mut PoolScheduler, versions: &[&str]) {
    let entries = versions.iter().enumerate().map(|(index, version)| {
        let id = format!("t{index}");
        let version = Some(version.to_string());
        let entry = TargetEntry { vm: id.clone(), slots: 1, version, id, ..TargetEntry::default() };
        (entry.id.clone(), entry)
    });
    let targets = entries.collect();
    let pool = TargetPool { id: POOL.to_string(), targets, ..TargetPool::default() };
    scheduler.configure(PoolOptions::default(), &pool);
}

fn entry() -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation: 1 }
}

fn permit(number: u128) -> PermitId {
    PermitId { request: RequestId::from_u128(number), attempt: 0 }
}

fn new_request(number: u128, account: &str) -> PermitRequest {
    let objectives = LatencyObjectives {
        wait_limit: OBJECTIVE,
        forecast_limit: OBJECTIVE,
        first_part_by: OBJECTIVE,
        length_guessed: true,
        ..LatencyObjectives::default()
    };
    PermitRequest {
        permit: permit(number),
        pool: POOL.to_string(),
        tier: 1,
        account: account.to_string(),
        time_left: TIME_LEFT,
        objectives,
        prompt_work: 0,
        output_work: WORK,
        prefix: None,
        cost: 1,
        avoid: Vec::new(),
        version: None,
    }
}

/// Returns the request for a stream that began long enough ago for its first part to be late.
fn take_up(number: u128, account: &str, of_version: &str) -> PermitRequest {
    let objectives = LatencyObjectives {
        wait_limit: TIME_LEFT,
        forecast_limit: TIME_LEFT,
        first_part_by: Duration::ZERO,
        length_guessed: true,
        is_retry: true,
        ..LatencyObjectives::default()
    };
    let version = Some(version(of_version));
    PermitRequest { objectives, version, ..new_request(number, account) }
}

fn granted(actions: &[SchedulerAction]) -> Vec<u128> {
    let grants = actions
        .iter()
        .filter(|action| matches!(action.answer.decision, PermitDecision::Granted(_)));
    grants.map(|action| action.answer.permit.request.as_u128()).collect()
}

fn refused(actions: &[SchedulerAction]) -> Vec<(u128, RefusalReason)> {
    let refusals = actions.iter().filter_map(|action| match &action.answer.decision {
        PermitDecision::Refused(refusal) => {
            Some((action.answer.permit.request.as_u128(), refusal.reason))
        }
        _ => None,
    });
    refusals.collect()
}

/// Ends requests one after the other, from `first` on; returns the order in which the others are granted.
fn grants_after(scheduler: &mut PoolScheduler, first: u128) -> Vec<u128> {
    let mut order = Vec::new();
    let mut running = vec![first];
    while let Some(number) = running.pop() {
        let end = AttemptEnd::Whole(Duration::from_millis(1));
        let returned = PermitReturn { permit: permit(number), pool: POOL.to_string(), end };
        let next = granted(&scheduler.return_permit(NOW, &returned));
        order.extend(&next);
        running.extend(next);
    }
    order
}

/// Guards against streams behind the new requests of their account, since the time of their first part has passed.
#[test]
fn stream_taken_up_comes_before_new_requests_of_its_account_and_not_before_a_higher_tier() {
    let mut scheduler = scheduler(&["v1"]);
    scheduler.request_permit(NOW, entry(), new_request(1, "a"));
    scheduler.request_permit(NOW, entry(), new_request(2, "a"));
    scheduler.request_permit(NOW, entry(), PermitRequest { tier: 0, ..new_request(3, "a") });
    let queued = scheduler.request_take_up(NOW, entry(), take_up(4, "a", "v1"));
    assert!(refused(&queued).is_empty(), "{queued:?}");
    assert_eq!(grants_after(&mut scheduler, 1), [3, 4, 2]);
}

/// Guards against an account that gets more than its share by taking up streams.
#[test]
fn streams_that_an_account_takes_up_count_towards_its_share() {
    let mut scheduler = scheduler(&["v1"]);
    scheduler.request_permit(NOW, entry(), new_request(1, "a"));
    for number in 10..20 {
        scheduler.request_take_up(NOW, entry(), take_up(number, "a", "v1"));
    }
    let patient = LatencyObjectives::default();
    for number in 2..=3 {
        let of_b = PermitRequest { objectives: patient, ..new_request(number, "b") };
        scheduler.request_permit(NOW, entry(), of_b);
    }
    let order = grants_after(&mut scheduler, 1);
    let of_b: BTreeSet<u128> = order[..4].iter().copied().filter(|number| *number < 10).collect();
    assert_eq!(of_b, BTreeSet::from([2, 3]), "{order:?}");
}

/// Guards against streams that wait for busy targets of their version while other targets are idle.
#[test]
fn streams_that_wait_for_one_version_delay_no_other_requests() {
    let mut scheduler = scheduler(&["v1", "v2"]);
    let accounts = (0..20).map(|index| format!("a{index}")).collect::<Vec<_>>();
    for number in 0..200u128 {
        let account = &accounts[number as usize % accounts.len()];
        let actions = scheduler.request_take_up(NOW, entry(), take_up(number, account, "v1"));
        assert!(refused(&actions).is_empty(), "{actions:?}");
    }
    let other = scheduler.request_take_up(NOW, entry(), take_up(300, "a1", "v2"));
    assert_eq!(granted(&other), [300]);
    grants_after(&mut scheduler, 300);
    let new = PermitRequest { version: Some(version("v2")), ..new_request(301, "z") };
    assert_eq!(granted(&scheduler.request_permit(NOW, entry(), new)), [301]);
}

/// Guards against a lower tier that is shed since the targets of one version are busy.
#[test]
fn stream_that_has_no_time_left_is_refused_and_sheds_no_tier() {
    let mut scheduler = scheduler(&["v1", "v2"]);
    scheduler.request_take_up(NOW, entry(), take_up(1, "a", "v1"));
    scheduler.request_take_up(NOW, entry(), take_up(2, "a", "v1"));
    let actions = scheduler.tick(NOW + TIME_LEFT);
    assert!(refused(&actions).is_empty(), "it may start until then");
    let actions = scheduler.tick(NOW + TIME_LEFT + Duration::from_millis(1));
    assert_eq!(refused(&actions), [(2, RefusalReason::WaitTooLong)]);
    let lower = PermitRequest { tier: 3, ..new_request(3, "a") };
    assert_eq!(granted(&scheduler.request_permit(NOW + TIME_LEFT, entry(), lower)), [3]);
}
