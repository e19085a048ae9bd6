//! Tests that only requests that run are charged to their account's rate.
//!
//! Under overload, an account at its rate was served two thirds of what it may use, while its other requests were
//! refused as `account_rate`: 220,000 of 324,000 units per second in `request_served`, for ten seconds. A request was
//! charged when it arrived, waited for a target, and was then refused as `wait_too_long` or withdrawn by its caller;
//! only requests that were refused at once were refunded.

mod support;

use std::time::Duration;

use curlewcleat_core::{LatencyObjectives, RefusalReason, RequestId};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::RequestSpec;
use rstest::rstest;

use support::{spec, Fleet};

/// Total slots of all targets.
const SLOTS: u128 = 8;
/// More than the account has saved: while it is charged, the account's balance is negative for seconds.
const LARGE: u64 = 5_000;
const WAIT_LIMIT: Duration = Duration::from_millis(200);

fn submit(fleet: &mut Fleet, number: u128, cost: u64) {
    let objectives = LatencyObjectives { wait_limit: WAIT_LIMIT, ..LatencyObjectives::default() };
    let spec = RequestSpec { cost, objectives, ..spec(number) };
    fleet.event(0, NodeEvent::Admit(Box::new(spec)));
}

fn reason(fleet: &Fleet, number: u128) -> Option<RefusalReason> {
    match fleet.decision(number) {
        Some(CallerDecision::Refuse(refusal)) => Some(refusal.reason),
        _ => None,
    }
}

#[rstest]
#[case::refused_after_its_wait(false)]
#[case::withdrawn_by_its_caller(true)]
fn request_that_did_not_run_is_not_charged_to_its_account(#[case] withdrawn: bool) {
    let mut fleet = Fleet::new(1);
    (1..=SLOTS).for_each(|number| submit(&mut fleet, number, 1));
    assert_eq!(fleet.in_flight(0) as u128, SLOTS);
    let waiting = SLOTS + 1;
    submit(&mut fleet, waiting, LARGE);
    if withdrawn {
        fleet.event(0, NodeEvent::CallerDisconnected(RequestId::from_u128(waiting)));
    } else {
        fleet.run(WAIT_LIMIT * 2);
        assert_eq!(reason(&fleet, waiting), Some(RefusalReason::WaitTooLong));
    }
    fleet.finish(0, 1);
    let next = waiting + 1;
    submit(&mut fleet, next, 1);
    let decision = fleet.decision(next);
    assert!(matches!(decision, Some(CallerDecision::Dispatch(..))), "{decision:?}");
}
