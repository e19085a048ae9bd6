//! When refused callers are told to come back.

use std::time::Duration;

use curlewcleat_core::{PermitId, RequestId};
use curlewcleat_sched::{rate_advice, spread_advice};
use rstest::rstest;

#[test]
fn returns_are_spread_over_a_part_of_the_time_that_is_left() {
    let left = Duration::from_secs(12);
    let advice: Vec<Duration> = (0..2_000u128)
        .map(|number| {
            let request = RequestId::from_u128(number * 7_919);
            let permit = PermitId { request, attempt: 0 };
            spread_advice(permit, Duration::from_millis(500), left)
        })
        .collect();
    let early = advice.iter().filter(|advice| **advice < Duration::from_millis(1_250)).count();
    let late = advice.iter().filter(|advice| **advice > Duration::from_millis(2_750)).count();
    assert!((400..=600).contains(&early) && (400..=600).contains(&late), "{early} {late}");
    assert!(advice.iter().all(|advice| *advice <= left * 30 / 100));
}

/// Where the wait is known, those who are refused come back within as long again, and none too early.
#[rstest]
#[case::short(100)]
#[case::long(2_000)]
#[case::longer_than_any_use(8_000)]
fn returns_to_an_account_at_its_rate_are_spread_over_its_wait(#[case] wait: u64) {
    let wait = Duration::from_millis(wait);
    for number in 0..500u128 {
        let permit = PermitId { request: RequestId::from_u128(number * 7_919), attempt: 0 };
        let advice = rate_advice(permit, wait, Duration::from_secs(12));
        assert!(advice >= wait && advice <= wait * 2, "{advice:?}");
    }
}
