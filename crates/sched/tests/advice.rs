//! The `Retry-After` advice that refused callers get.

use std::time::Duration;

use curlewcleat_core::{PermitId, RequestId};
use curlewcleat_sched::{rate_retry_after, spread_retry_after};
use rstest::rstest;

#[test]
fn retries_are_spread_over_a_quarter_of_the_remaining_time() {
    let remaining = Duration::from_secs(12);
    let advice: Vec<Duration> = (0..2_000u128)
        .map(|number| {
            let request = RequestId::from_u128(number * 7_919);
            let permit = PermitId { request, attempt: 0 };
            spread_retry_after(permit, Duration::from_millis(500), remaining)
        })
        .collect();
    let early = advice.iter().filter(|advice| **advice < Duration::from_millis(1_250)).count();
    let late = advice.iter().filter(|advice| **advice > Duration::from_millis(2_750)).count();
    assert!((400..=600).contains(&early) && (400..=600).contains(&late), "{early} {late}");
    assert!(advice.iter().all(|advice| *advice <= remaining * 30 / 100));
}

/// With a known wait, callers retry after it and within as long again.
#[rstest]
#[case::short(100)]
#[case::long(2_000)]
#[case::too_long_to_be_of_use(8_000)]
fn retries_of_an_account_at_its_rate_are_spread_over_its_wait(#[case] wait: u64) {
    let wait = Duration::from_millis(wait);
    for number in 0..500u128 {
        let permit = PermitId { request: RequestId::from_u128(number * 7_919), attempt: 0 };
        let advice = rate_retry_after(permit, wait, Duration::from_secs(12));
        assert!(advice >= wait && advice <= wait * 2, "{advice:?}");
    }
}
