//! The share of the requested work of each urgency that was granted, as operators see it.

use std::time::Duration;

use curlewcleat_core::{LatencyObjectives, PermitId, PermitRequest, RequestId};
use curlewcleat_sched::UrgencyFlows;

fn request(number: u128, urgency: u8, work: u64) -> PermitRequest {
    PermitRequest {
        permit: PermitId { request: RequestId::from_u128(number), attempt: 0 },
        pool: "p".to_string(),
        tier: 0,
        account: "a".to_string(),
        time_left: Duration::from_secs(10),
        objectives: LatencyObjectives { urgency, ..LatencyObjectives::default() },
        prompt_work: work,
        output_work: 0,
        prefix: None,
        cost: 1,
        avoid: Vec::new(),
        version: None,
    }
}

fn granted_percent(flows: &UrgencyFlows, urgency: u8) -> Option<u64> {
    let mut all = flows.all();
    all.find(|(key, _)| *key == (0, urgency)).map(|(_, flow)| flow.granted_percent())
}

#[test]
fn granted_share_is_counted_for_each_urgency() {
    let mut flows = UrgencyFlows::default();
    for number in 0..4 {
        flows.record_request(&request(number, 1, 1_000));
    }
    flows.record_request(&request(10, 0, 500));
    flows.record_grant(&request(0, 1, 1_000));
    flows.record_grant(&request(10, 0, 500));
    assert_eq!(granted_percent(&flows, 0), Some(100));
    assert_eq!(granted_percent(&flows, 1), Some(25));
    assert_eq!(granted_percent(&flows, 2), None);
}

/// A request that is retried after a refusal counts once as requested.
#[test]
fn retry_is_not_counted_as_further_work() {
    let mut flows = UrgencyFlows::default();
    let first = request(1, 0, 1_000);
    let mut retry = first.clone();
    retry.objectives.is_retry = true;
    let mut attempt = first.clone();
    attempt.permit.attempt = 1;
    for request in [&first, &retry, &attempt] {
        flows.record_request(request);
    }
    flows.record_grant(&attempt);
    assert_eq!(granted_percent(&flows, 0), Some(100));
}

#[test]
fn old_requests_decay() {
    let mut flows = UrgencyFlows::default();
    flows.record_request(&request(1, 0, 1_000));
    for second in 1..120 {
        flows.tick(Duration::from_secs(second));
    }
    flows.record_request(&request(2, 0, 1_000));
    flows.record_grant(&request(2, 0, 1_000));
    assert!(granted_percent(&flows, 0) >= Some(99));
}

/// Guards against one caller with an absurd stated length, which took the slots of the other urgencies for half a
/// minute.
#[test]
fn absurd_length_is_capped_at_the_remaining_time_of_its_request() {
    let mut flows = UrgencyFlows::default();
    for second in 1..=4 {
        flows.tick(Duration::from_secs(second));
        flows.record_request(&request(u128::from(second), 0, 1_000_000));
    }
    flows.record_request(&request(10, 1, u64::MAX));
    flows.tick(Duration::from_secs(5));
    let requested = flows.requested_per_second();
    let of_urgency = |urgency: u8| requested[&0][&urgency];
    assert!(of_urgency(1) <= 10 * of_urgency(0), "{requested:?}");
}
