//! Tables of inputs and outcomes for the rules of the scheduler. Times are in milliseconds.

use std::time::Duration;

use curlewcleat_core::{PermitId, RefusalReason, RequestId, RetryReason};
use curlewcleat_sched::{
    decide_retry, may_eject_one_more, spread_retry_after, OverloadLevel, RetryBudget,
    RetryDecision, RetryInput, RetryLimits, TargetEjection,
};
use rstest::rstest;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const AGAIN: RetryDecision = RetryDecision::Again;
const NOT_STARTED: RetryDecision = RetryDecision::GiveUp(RefusalReason::TargetNotStarted);
const NO_CONNECTION: RetryDecision = RetryDecision::GiveUp(RefusalReason::ConnectFailed);

/// Whether an attempt that did not run is followed by another one.
#[rstest]
#[case::in_time(RetryReason::ConnectFailed, 1, 999, 1, AGAIN)]
#[case::target_declined(RetryReason::TargetNotStarted, 2, 999, 1, AGAIN)]
#[case::at_the_deadline(RetryReason::ConnectFailed, 1, 1_000, 1, NO_CONNECTION)]
#[case::attempts_used_up(RetryReason::ConnectFailed, 3, 0, 1, NO_CONNECTION)]
#[case::declined_by_the_last(RetryReason::TargetNotStarted, 3, 0, 1, NOT_STARTED)]
#[case::budget_spent(RetryReason::TargetNotStarted, 1, 0, 0, NOT_STARTED)]
#[case::never_sent(RetryReason::TargetUnknown, 3, 1_000, 0, AGAIN)]
fn retry_after_attempts_that_did_not_run(
    #[case] reason: RetryReason,
    #[case] attempts: u32,
    #[case] now: u64,
    #[case] budget: u64,
    #[case] decision: RetryDecision,
) {
    let limits = RetryLimits { percent: 0, extra: budget, shared: false, window: ms(10_000) };
    let mut budget = RetryBudget::new(limits, 1);
    let input = RetryInput { reason, attempts, attempt_limit: 3, deadline: ms(1_000) };
    assert_eq!(decide_retry(ms(now), input, &mut budget), decision);
}

/// Whether a target gets work after failures (`x`) and successes (`.`) at time 0.
#[rstest]
#[case::two_failures("xx", 0, true)]
#[case::success_between("xx.xx", 0, true)]
#[case::third_failure("xxx", 1_999, false)]
#[case::tested_after_two_seconds("xxx", 2_000, true)]
#[case::doubled_by_a_further_failure("xxxx", 3_999, false)]
#[case::tested_after_four_seconds("xxxx", 4_000, true)]
#[case::no_longer_than_a_minute("xxxxxxxxxxxx", 60_000, true)]
#[case::nearly_a_minute("xxxxxxxxxxxx", 59_999, false)]
#[case::ended_by_a_success("xxxx.", 0, true)]
fn ejection_after_failures(#[case] ends: &str, #[case] now: u64, #[case] admits: bool) {
    let mut ejection = TargetEjection::default();
    for end in ends.chars() {
        match end {
            'x' => ejection.failed(ms(0), true),
            _ => ejection.succeeded(),
        }
    }
    assert_eq!(ejection.admits(ms(now)), admits);
}

/// Whether a pool may eject one more target.
#[rstest]
#[case::only_target(0, 1, false)]
#[case::one_of_two(0, 2, true)]
#[case::both_of_two(1, 2, false)]
#[case::one_of_three(0, 3, true)]
#[case::two_of_three(1, 3, false)]
#[case::half_of_ten(4, 10, true)]
#[case::more_than_half_of_ten(5, 10, false)]
fn at_most_half_of_the_targets_may_be_ejected(
    #[case] ejected: usize,
    #[case] targets: usize,
    #[case] may: bool,
) {
    assert_eq!(may_eject_one_more(ejected, targets), may);
}

/// When a refused caller should retry. The id of its request selects a step of the spread from 0 to 1,023.
#[rstest]
#[case::first_step(0, 200, 8_000, 200)]
#[case::middle_of_a_quarter(512, 200, 8_000, 1_200)]
#[case::not_before_a_round_trip(0, 0, 8_000, 100)]
#[case::not_after_three_tenths(0, 5_000, 8_000, 2_400)]
#[case::little_time_remaining(0, 50, 100, 100)]
fn retry_after_is_spread_within_bounds(
    #[case] step: u128,
    #[case] wait: u64,
    #[case] remaining: u64,
    #[case] expected: u64,
) {
    let permit = PermitId { request: RequestId::from_u128(step), attempt: 0 };
    assert_eq!(spread_retry_after(permit, ms(wait), ms(remaining)), ms(expected));
}

/// Whether a tier is shed after a refusal of tier 1 for lack of capacity at time 0.
#[rstest]
#[case::the_refused_one(1, 0, false)]
#[case::the_next(2, 0, true)]
#[case::the_next_within_the_hold(2, 999, true)]
#[case::the_next_after_the_hold(2, 1_000, false)]
#[case::the_lowest_after_one_hold(3, 1_000, true)]
#[case::the_lowest_after_two_holds(3, 2_000, false)]
fn lower_tiers_are_shed_until_the_hold_ends(
    #[case] tier: u8,
    #[case] now: u64,
    #[case] sheds: bool,
) {
    let mut level = OverloadLevel::default();
    assert!(level.raise(1, ms(0)));
    for tick in (0..=now).filter(|tick| tick % 1_000 == 0 || *tick == now) {
        level.tick(3, ms(tick));
    }
    assert_eq!(level.sheds(tier), sheds);
}
