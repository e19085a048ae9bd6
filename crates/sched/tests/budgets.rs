//! Retry budgets: no window has more retries than the limits allow.

use std::time::Duration;

use curlewcleat_sched::{RetryBudget, RetryLimits};

const WINDOW: Duration = Duration::from_secs(10);

fn limits(shared: bool) -> RetryLimits {
    RetryLimits { percent: 20, extra: 48, shared, window: WINDOW }
}

#[test]
fn burst_of_retries_is_allowed_after_many_requests() {
    let mut budget = RetryBudget::new(limits(true), 6);
    for step in 0..200u32 {
        budget.count_request(Duration::from_millis(50) * step);
    }
    let now = Duration::from_secs(10);
    let granted = (0..200).filter(|_| budget.try_spend(now)).count();
    // A fifth of nearly 200 requests, and this daemon's share of `extra`.
    assert!((40..=44).contains(&granted), "{granted}");
}

#[test]
fn no_window_has_more_retries_than_its_requests_allow() {
    let mut budget = RetryBudget::new(limits(true), 6);
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for milli in (0..60_000u64).step_by(10) {
        let now = Duration::from_millis(milli);
        // Two seconds with requests, three without, and a retry is attempted at every step.
        if milli % 5_000 < 2_000 {
            budget.count_request(now);
            requests.push(now);
        }
        if budget.try_spend(now) {
            retries.push(now);
        }
    }
    for begin in (0..50_000u64).step_by(250).map(Duration::from_millis) {
        let within = |times: &[Duration], begin: Duration| {
            times.iter().filter(|at| **at >= begin && **at < begin + WINDOW).count()
        };
        let allowed = within(&requests, begin) * 20 / 100 + 48 / 6;
        let found = within(&retries, begin);
        assert!(found <= allowed, "{found} retries from {begin:?} on, {allowed} allowed");
    }
    assert!(retries.len() >= 400, "{}", retries.len());
}

#[test]
fn daemon_without_requests_has_only_its_share_of_extra_retries() {
    let mut budget = RetryBudget::new(limits(true), 6);
    let granted = (0..50).filter(|_| budget.try_spend(Duration::from_secs(1))).count();
    assert_eq!(granted, 4);
}

/// A retry is counted when the request of a stalled target requires another target, and refunded if none is used. A
/// refund from the newest bucket removed a later retry that had been made: with two retries allowed in 10 s, there
/// were retries at 9, 10 and 13 s.
#[test]
fn refund_removes_only_the_retry_that_was_not_made() {
    let two = RetryLimits { percent: 0, extra: 2, shared: false, window: WINDOW };
    let mut budget = RetryBudget::new(two, 1);
    assert!(budget.try_spend(Duration::from_secs(1)), "not made");
    assert!(budget.try_spend(Duration::from_secs(9)));
    budget.refund(Duration::from_secs(1));
    assert!(budget.try_spend(Duration::from_secs(10)));
    assert!(!budget.try_spend(Duration::from_secs(13)), "three retries within four seconds");
}

/// The refunded retry has already left the window, so the refund must not remove a later one.
#[test]
fn refund_after_the_window_removes_no_other_retry() {
    let one = RetryLimits { percent: 0, extra: 1, shared: false, window: WINDOW };
    let mut budget = RetryBudget::new(one, 1);
    assert!(budget.try_spend(Duration::from_secs(1)), "not made");
    assert!(budget.try_spend(Duration::from_secs(12)));
    budget.refund(Duration::from_secs(1));
    assert!(!budget.try_spend(Duration::from_secs(13)));
}

/// Guards against confirmations that use up the retries of requests whose targets fail.
#[test]
fn spare_retries_leave_half_of_the_budget_to_requests_that_fail() {
    let now = Duration::from_secs(1);
    let mut budget = RetryBudget::new(limits(false), 1);
    (0..100).for_each(|_| budget.count_request(now));
    let spare = (0..200).filter(|_| budget.try_spend_spare(now)).count();
    let left = (0..200).filter(|_| budget.try_spend(now)).count();
    // A fifth of 100 requests and the 48 of `extra`.
    assert_eq!((spare, left), (34, 34));
    assert!(!budget.try_spend_spare(now));
}
