//! Retry budgets: in no window are there more retries than the limits allow.

use std::time::Duration;

use curlewcleat_sched::{RetryBudget, RetryLimits};

const WINDOW: Duration = Duration::from_secs(10);

fn limits(shared: bool) -> RetryLimits {
    RetryLimits { percent: 20, extra: 48, shared, window: WINDOW }
}

#[test]
fn many_retries_at_once_fit_where_many_requests_came_before() {
    let mut budget = RetryBudget::new(limits(true), 6);
    for step in 0..200u32 {
        budget.earn(Duration::from_millis(50) * step);
    }
    let now = Duration::from_secs(10);
    let granted = (0..200).filter(|_| budget.spend(now)).count();
    // A fifth of nearly two hundred requests, and this daemon's part of what is allowed besides.
    assert!((40..=44).contains(&granted), "{granted}");
}

#[test]
fn no_window_has_more_retries_than_its_requests_allow() {
    let mut budget = RetryBudget::new(limits(true), 6);
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for milli in (0..60_000u64).step_by(10) {
        let now = Duration::from_millis(milli);
        // Two seconds of load, three of calm, and somebody always wants to retry.
        if milli % 5_000 < 2_000 {
            budget.earn(now);
            requests.push(now);
        }
        if budget.spend(now) {
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
fn daemon_without_requests_has_its_part_of_the_extra_ones() {
    let mut budget = RetryBudget::new(limits(true), 6);
    let granted = (0..50).filter(|_| budget.spend(Duration::from_secs(1))).count();
    assert_eq!(granted, 4);
}

/// A retry was counted as a silent target's request asked for another one, and was not made. Taken off the newest
/// part of the window, it took a later retry away that had been made: with room for two in ten seconds, there were
/// retries at 9, 10 and 13 s.
#[test]
fn refund_takes_back_the_retry_that_was_not_made() {
    let two = RetryLimits { percent: 0, extra: 2, shared: false, window: WINDOW };
    let mut budget = RetryBudget::new(two, 1);
    assert!(budget.spend(Duration::from_secs(1)), "not made");
    assert!(budget.spend(Duration::from_secs(9)));
    budget.refund(Duration::from_secs(1));
    assert!(budget.spend(Duration::from_secs(10)));
    assert!(!budget.spend(Duration::from_secs(13)), "three retries within four seconds");
}

/// The count of a retry that was not made has left the window: nothing is left to take back.
#[test]
fn refund_after_the_window_takes_no_other_retry_back() {
    let one = RetryLimits { percent: 0, extra: 1, shared: false, window: WINDOW };
    let mut budget = RetryBudget::new(one, 1);
    assert!(budget.spend(Duration::from_secs(1)), "not made");
    assert!(budget.spend(Duration::from_secs(12)));
    budget.refund(Duration::from_secs(1));
    assert!(!budget.spend(Duration::from_secs(13)));
}
