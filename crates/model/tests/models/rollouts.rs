//! Rollouts: the share of a version on trial, a final end, and no request interrupted by the end.

use curlewcleat_model::{RolloutFault, RolloutModel};
use rstest::rstest;

use super::{assert_detected, assert_holds};

const SHARE: &str = "the new version got more than its share";
const FINAL_END: &str = "the end of a rollout changed after it was final";
const NO_EARLY_COMPLETION: &str = "completed while requests ran at the old version";

fn rollout(fault: RolloutFault) -> RolloutModel {
    RolloutModel { fault, requests: 2, partition_changes: 2 }
}

#[test]
fn version_on_trial_keeps_its_share_and_the_end_is_final() {
    assert_holds("rollout", &rollout(RolloutFault::None));
}

#[rstest]
#[case::whole_share_each(RolloutFault::WholeShareEach, SHARE, 4)]
#[case::unconditional(RolloutFault::Unconditional, FINAL_END, 7)]
#[case::does_not_wait(RolloutFault::DoesNotWait, NO_EARLY_COMPLETION, 6)]
fn broken_rollout_is_detected(
    #[case] fault: RolloutFault,
    #[case] invariant: &str,
    #[case] steps: usize,
) {
    assert_detected(&format!("rollout, {fault:?}"), &rollout(fault), invariant, steps);
}
