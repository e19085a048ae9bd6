//! Roll-outs: the share of a version on trial, one verdict, and nothing cut by its end.

use curlewcleat_model::{RolloutFault, RolloutModel};
use rstest::rstest;

use super::{caught, holds};

const SHARE: &str = "the version gets more than its share";
const ONE_VERDICT: &str = "a roll-out that had ended has ended otherwise";
const NOT_CUT: &str = "completed while requests were at work before it";

fn rollout(fault: RolloutFault) -> RolloutModel {
    RolloutModel { fault, requests: 2, cuts: 2 }
}

#[test]
fn version_is_tried_and_ends_once() {
    holds("rollout", &rollout(RolloutFault::None));
}

#[rstest]
#[case::whole_share_each(RolloutFault::WholeShareEach, SHARE, 4)]
#[case::unconditional(RolloutFault::Unconditional, ONE_VERDICT, 7)]
#[case::does_not_wait(RolloutFault::DoesNotWait, NOT_CUT, 6)]
fn broken_rollout_is_caught(
    #[case] fault: RolloutFault,
    #[case] promise: &str,
    #[case] steps: usize,
) {
    caught(&format!("rollout, {fault:?}"), &rollout(fault), promise, steps);
}
