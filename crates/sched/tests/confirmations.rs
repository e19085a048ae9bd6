//! A target that is asked to confirm the end of an answer comes in place of the one that ended it.

use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, PermitAnswer, PermitDecision, PermitId, Refusal, RefusalReason,
    RequestId, RetryReason, TargetEntry, TargetPool, Uptime, Verdict,
};
use curlewcleat_sched::{
    AnswerEnd, EntryAction, EntryOptions, EntryRequests, PoolOptions, PoolScheduler,
    ReplacementStep, RequestSpec, RetryLimits, SchedulerAction,
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

/// Returns how the permits end that actions return, by their attempts.
fn returned(actions: &[EntryAction]) -> Vec<(u32, AttemptEnd)> {
    let ends = actions.iter().filter_map(|action| match action {
        EntryAction::ReturnPermit(_, returned) => Some((returned.permit.attempt, returned.end)),
        _ => None,
    });
    ends.collect()
}

const END: AttemptEnd = AttemptEnd::Whole(Duration::from_millis(700));
const CERTAIN: AnswerEnd = AnswerEnd { end: END, is_doubtful: false };
const DOUBTFUL: AnswerEnd = AnswerEnd { end: END, is_doubtful: true };

/// Guards against a target that counts as failed because another one confirmed the end of its answer.
#[test]
fn target_that_ended_its_answer_keeps_its_result_when_another_one_confirms_it() {
    let mut entry = with_request_at_target(4, 2);
    let step = ReplacementStep::ConfirmationRequested(CERTAIN);
    let requested = entry.replacement(NOW, ID, step, &order);
    assert_eq!(returned(&requested), [(0, END)]);
    let asked = requested.iter().find_map(|action| match action {
        EntryAction::RequestPermit(_, request) => Some(request),
        _ => None,
    });
    let asked = asked.expect("a permit request");
    assert_eq!((asked.avoid.as_slice(), asked.permit.attempt), (&["t0".to_string()][..], 1));
    assert_eq!(asked.objectives.forecast_limit, Duration::ZERO);
    grant(&mut entry, 1, "t1");
    let accepted = entry.replacement(NOW, ID, ReplacementStep::Accepted, &order);
    assert_eq!(returned(&accepted), []);
    let finished = entry.finished(ID, Verdict::Ran, END, None);
    assert_eq!(returned(&finished), [(1, END)]);
}

/// Guards against a target that gets the result of another one, since its permit was granted and not used.
#[rstest]
#[case::granted(true)]
#[case::not_granted(false)]
fn request_that_ends_unconfirmed_returns_its_other_permit_unused(#[case] is_granted: bool) {
    let mut entry = with_request_at_target(4, 2);
    entry.replacement(NOW, ID, ReplacementStep::ConfirmationRequested(CERTAIN), &order);
    if is_granted {
        grant(&mut entry, 1, "t1");
    }
    let finished = entry.finished(ID, Verdict::Ran, END, None);
    assert_eq!(returned(&finished), [(1, AttemptEnd::Unused)]);
}

/// Guards against an answer that is cut because nobody confirms its end.
#[test]
fn refused_confirmation_neither_ends_the_request_nor_asks_again() {
    let mut entry = with_request_at_target(4, 2);
    entry.replacement(NOW, ID, ReplacementStep::ConfirmationRequested(CERTAIN), &order);
    let refusal = Refusal::not_run(RefusalReason::WaitTooLong, None);
    let permit = PermitId { request: ID, attempt: 1 };
    let decision = PermitDecision::Refused(refusal);
    let answer = PermitAnswer { permit, pool: POOL.to_string(), decision };
    assert_eq!(entry.permit_answered(NOW, &"s0".to_string(), answer, &order), []);
    assert_eq!(entry.len(), 1);
}

#[rstest]
#[case::no_retry_to_spare(1, 2)]
#[case::no_attempt_left(4, 1)]
fn request_stays_at_its_target_where_no_confirmation_is_allowed(
    #[case] retries: u64,
    #[case] attempt_limit: u32,
) {
    let mut entry = with_request_at_target(retries, attempt_limit);
    let step = ReplacementStep::ConfirmationRequested(CERTAIN);
    let requested = entry.replacement(NOW, ID, step, &order);
    assert_eq!(requested, []);
    assert_eq!(entry.dispatched(), 1);
    assert!(!entry.awaits_replacement(ID));
}

/// Requests of one target that end at the same time.
const STREAMS: u128 = 12;
/// Slots of each target.
const SLOTS: u32 = 10;

/// Guards against early ends that nobody is asked about since confirmations of sound ones have used their half of the retries.
#[rstest]
#[case::certain(CERTAIN, 0)]
#[case::doubtful(DOUBTFUL, 1)]
fn doubtful_end_may_use_the_retries_that_other_ends_leave(
    #[case] end: AnswerEnd,
    #[case] permits_asked_for: usize,
) {
    // Of four retries certain ends may use two.
    let mut entry = with_request_at_target(4, 5);
    for attempt in 1..=2 {
        entry.replacement(NOW, ID, ReplacementStep::ConfirmationRequested(CERTAIN), &order);
        grant(&mut entry, attempt, "t1");
        entry.replacement(NOW, ID, ReplacementStep::Accepted, &order);
    }
    let actions = entry.replacement(NOW, ID, ReplacementStep::ConfirmationRequested(end), &order);
    let is_request = |action: &&EntryAction| matches!(action, EntryAction::RequestPermit(..));
    assert_eq!(actions.iter().filter(is_request).count(), permits_asked_for);
}

/// Guards against streams that are cut since ends of others, which are served in any case, have used all retries.
#[test]
fn doubted_ends_leave_retries_to_requests_that_fail() {
    let retries = RetryLimits { percent: 0, extra: u64::from(SLOTS), ..RetryLimits::default() };
    let mut entry = EntryRequests::new(EntryOptions { retries, ..EntryOptions::default() });
    let ids = (1..=STREAMS).map(RequestId::from_u128);
    for request in ids.clone() {
        let (pool, time_left) = (POOL.to_string(), Duration::from_secs(5));
        let spec = RequestSpec { request, pool, time_left, ..RequestSpec::default() };
        entry.admit(NOW, spec, &order);
        let decision = PermitDecision::Granted("t0".to_string());
        let permit = PermitId { request, attempt: 0 };
        let answer = PermitAnswer { permit, pool: POOL.to_string(), decision };
        entry.permit_answered(NOW, &"s0".to_string(), answer, &order);
    }
    for id in ids.skip(1) {
        entry.replacement(NOW, id, ReplacementStep::ConfirmationRequested(DOUBTFUL), &order);
    }
    let end = AttemptEnd::Failed;
    let actions = entry.not_run(NOW, ID, end, RetryReason::StreamResumed, &order);
    let is_request = |action: &EntryAction| matches!(action, EntryAction::RequestPermit(..));
    assert!(actions.iter().any(is_request), "{actions:?}");
}

fn scheduler(targets: &[&str]) -> PoolScheduler {
    let entries = targets.iter().map(|id| {
        let id = id.to_string();
        let entry =
            TargetEntry { id: id.clone(), vm: id.clone(), slots: SLOTS, ..TargetEntry::default() };
        (id, entry)
    });
    let targets = entries.collect();
    let pool = TargetPool { id: POOL.to_string(), targets, ..TargetPool::default() };
    let mut scheduler = PoolScheduler::new(POOL.to_string(), PoolOptions::default());
    scheduler.configure(PoolOptions::default(), &pool);
    scheduler
}

/// Passes the permit requests and returns among the actions of a daemon on to its scheduler, and the answers back.
fn exchange(entry: &mut EntryRequests, scheduler: &mut PoolScheduler, actions: Vec<EntryAction>) {
    let daemon = order(POOL).remove(0);
    for action in actions {
        let answers: Vec<SchedulerAction> = match action {
            EntryAction::RequestPermit(_, request) => {
                scheduler.request_permit(NOW, daemon.clone(), request)
            }
            EntryAction::ReturnPermit(_, returned) => scheduler.return_permit(NOW, &returned),
            _ => Vec::new(),
        };
        for SchedulerAction { answer, .. } in answers {
            entry.permit_answered(NOW, &"s0".to_string(), answer, &order);
        }
    }
}

/// Guards against sound targets that count as failed, and are ejected, since another one is asked to confirm the ends of
/// their answers.
#[rstest]
#[case::others_confirm(&["t0", "t1", "t2"])]
#[case::there_is_no_other(&["t0"])]
fn targets_whose_ends_are_to_be_confirmed_do_not_count_as_failed(#[case] targets: &[&str]) {
    let (mut scheduler, mut entry) =
        (scheduler(targets), EntryRequests::new(EntryOptions::default()));
    let ids = || (1..=STREAMS).map(RequestId::from_u128);
    for request in ids() {
        let (pool, time_left) = (POOL.to_string(), Duration::from_secs(5));
        let spec = RequestSpec { request, pool, time_left, ..RequestSpec::default() };
        let actions = entry.admit(NOW, spec, &order);
        exchange(&mut entry, &mut scheduler, actions);
    }
    for id in ids() {
        let step = ReplacementStep::ConfirmationRequested(CERTAIN);
        let actions = entry.replacement(NOW, id, step, &order);
        exchange(&mut entry, &mut scheduler, actions);
    }
    let failing: Vec<(&String, u64)> = scheduler
        .targets()
        .iter()
        .map(|(id, target)| (id, target.failing()))
        .filter(|(_, failing)| *failing > 0)
        .collect();
    assert_eq!(failing, []);
}
