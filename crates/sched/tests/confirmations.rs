//! A target that is asked to confirm the end of an answer comes in place of the one that ended it.

use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, PermitAnswer, PermitDecision, PermitId, RequestId, Uptime,
};
use curlewcleat_sched::{
    EntryAction, EntryOptions, EntryRequests, ReplacementStep, RequestSpec, RetryLimits,
};
use rstest::rstest;

const POOL: &str = "pool";
const ID: RequestId = RequestId::from_u128(1);
const NOW: Uptime = Duration::from_secs(1);

fn order(_: &str) -> Vec<DaemonId> {
    vec![DaemonId { vm: "s0".to_string(), incarnation: 1 }]
}

/// Returns the state of a daemon whose request is at a target, with this many retries and attempts.
fn with_request_at_target(retries: u64, attempt_limit: u32) -> EntryRequests {
    let retries = RetryLimits { percent: 0, extra: retries, ..RetryLimits::default() };
    let options = EntryOptions { attempt_limit, retries, ..EntryOptions::default() };
    let mut entry = EntryRequests::new(options);
    let time_left = Duration::from_secs(5);
    let pool = POOL.to_string();
    let spec = RequestSpec { request: ID, pool, time_left, ..RequestSpec::default() };
    entry.admit(NOW, spec, &order);
    grant(&mut entry, 0, "t0");
    entry
}

fn grant(entry: &mut EntryRequests, attempt: u32, target: &str) {
    let permit = PermitId { request: ID, attempt };
    let decision = PermitDecision::Granted(target.to_string());
    let answer = PermitAnswer { permit, pool: POOL.to_string(), decision };
    entry.permit_answered(NOW, &"s0".to_string(), answer, &order);
}

/// Guards against a target that counts as failed because another one confirmed the end of its answer.
#[test]
fn target_that_ended_its_answer_keeps_its_result_when_another_one_confirms_it() {
    let mut entry = with_request_at_target(4, 2);
    let requested = entry.replacement(NOW, ID, ReplacementStep::ConfirmationRequested, &order);
    assert!(matches!(requested[..], [EntryAction::RequestPermit(..)]), "{requested:?}");
    grant(&mut entry, 1, "t1");
    let end = AttemptEnd::Whole(Duration::from_millis(700));
    let accepted = entry.replacement(NOW, ID, ReplacementStep::Accepted(end), &order);
    let ends: Vec<AttemptEnd> = accepted
        .iter()
        .filter_map(|action| match action {
            EntryAction::ReturnPermit(_, returned) => Some(returned.end),
            _ => None,
        })
        .collect();
    assert_eq!(ends, [end]);
}

#[rstest]
#[case::no_retry_to_spare(1, 2)]
#[case::no_attempt_left(4, 1)]
fn request_stays_at_its_target_where_no_confirmation_is_allowed(
    #[case] retries: u64,
    #[case] attempt_limit: u32,
) {
    let mut entry = with_request_at_target(retries, attempt_limit);
    let requested = entry.replacement(NOW, ID, ReplacementStep::ConfirmationRequested, &order);
    assert_eq!(requested, []);
    assert_eq!(entry.dispatched(), 1);
    assert!(!entry.awaits_replacement(ID));
}
