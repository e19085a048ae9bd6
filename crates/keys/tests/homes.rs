//! Checks the decisions of a key holder for recorded, unknown, expired and surplus keys, and which hand-over it uses.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, KeptAnswer, KeyClaim, KeyDecision, KeyOutcome, RefusalReason, RequestId, Verdict,
    WallTime,
};
use curlewcleat_keys::{KeyHolder, KeyHolderOptions, KeyTable};
use rstest::rstest;

const NOW: WallTime = Duration::from_secs(1_000_000);

fn daemon(vm: &str) -> DaemonId {
    DaemonId { vm: vm.to_string(), incarnation: 1 }
}

fn claim(request: u128, key: &str, attempt: Option<u32>) -> KeyClaim {
    KeyClaim {
        request: RequestId::from_u128(request),
        account: "a".to_string(),
        key: key.to_string(),
        attempt,
    }
}

fn key_holder(vm: &str, options: KeyHolderOptions, complete_since: Duration) -> KeyHolder {
    let mut holder = KeyHolder::new(daemon(vm), options);
    let mut table = KeyTable::distribute(1, &[daemon(vm)]);
    table.slots[0].complete_since_ms = complete_since.as_millis() as u64;
    holder.apply_table(1, table);
    holder
}

fn holder_with_full_history(vm: &str) -> KeyHolder {
    key_holder(vm, KeyHolderOptions::default(), Duration::ZERO)
}

fn reason(decision: &KeyDecision) -> (RefusalReason, bool) {
    match decision {
        KeyDecision::Known(refusal) => (refusal.reason, refusal.verdict.may_have_run()),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::in_progress(None, RefusalReason::KeyInProgress, true)]
#[case::may_have_run(Some(Verdict::MayHaveRun), RefusalReason::KeyMayHaveRun, true)]
#[case::ran(Some(Verdict::Ran), RefusalReason::KeyRan, true)]
fn second_request_with_a_key_is_refused_by_the_outcome_of_the_first(
    #[case] verdict: Option<Verdict>,
    #[case] expected: RefusalReason,
    #[case] may_have_run: bool,
) {
    let mut holder = holder_with_full_history("a");
    assert_eq!(holder.claim(NOW, &claim(1, "k", None)), KeyDecision::First);
    if let Some(verdict) = verdict {
        holder.outcome(NOW, KeyOutcome { claim: claim(1, "k", None), verdict, answer: None });
    }
    assert_eq!(reason(&holder.claim(NOW, &claim(2, "k", None))), (expected, may_have_run));
}

#[test]
fn key_of_an_attempt_that_did_not_run_can_be_claimed_again() {
    let mut holder = holder_with_full_history("a");
    assert_eq!(holder.claim(NOW, &claim(1, "k", None)), KeyDecision::First);
    holder.outcome(
        NOW,
        KeyOutcome { claim: claim(1, "k", None), verdict: Verdict::NotRun, answer: None },
    );
    assert_eq!(holder.claim(NOW, &claim(2, "k", None)), KeyDecision::First);
    // A late outcome of the first request must not change the state of the second.
    holder.outcome(
        NOW,
        KeyOutcome { claim: claim(1, "k", None), verdict: Verdict::NotRun, answer: None },
    );
    assert_eq!(reason(&holder.claim(NOW, &claim(3, "k", None))).0, RefusalReason::KeyInProgress);
}

#[test]
fn equal_keys_of_two_accounts_do_not_collide() {
    let mut holder = holder_with_full_history("a");
    assert_eq!(holder.claim(NOW, &claim(1, "k", None)), KeyDecision::First);
    let other = KeyClaim { account: "b".to_string(), ..claim(2, "k", None) };
    assert_eq!(holder.claim(NOW, &other), KeyDecision::First);
}

#[test]
fn stored_answer_is_returned_to_a_second_request() {
    let mut holder = holder_with_full_history("a");
    let answer =
        KeptAnswer { status: 200, content_type: "text/plain".to_string(), body: b"yes".to_vec() };
    holder.claim(NOW, &claim(1, "k", None));
    let outcome = KeyOutcome {
        claim: claim(1, "k", None),
        verdict: Verdict::Ran,
        answer: Some(answer.clone()),
    };
    holder.outcome(NOW, outcome);
    assert_eq!(holder.claim(NOW, &claim(2, "k", None)), KeyDecision::Answer(answer));
}

#[rstest]
#[case::no_attempt_number(None, Some(RefusalReason::KeyHistoryLost))]
#[case::first_attempt(Some(1), None)]
#[case::second_attempt(Some(2), Some(RefusalReason::KeyHistoryLost))]
fn unknown_key_runs_without_history_only_as_a_first_attempt(
    #[case] attempt: Option<u32>,
    #[case] refused: Option<RefusalReason>,
) {
    let mut holder = key_holder("a", KeyHolderOptions::default(), NOW - Duration::from_secs(60));
    let decision = holder.claim(NOW, &claim(1, "k", attempt));
    match refused {
        Some(expected) => assert_eq!(reason(&decision), (expected, true)),
        None => assert_eq!(decision, KeyDecision::First),
    }
}

#[test]
fn unknown_key_runs_again_after_the_retry_window() {
    let mut holder = key_holder("a", KeyHolderOptions::default(), NOW - Duration::from_secs(1_801));
    assert_eq!(holder.claim(NOW, &claim(1, "k", None)), KeyDecision::First);
}

#[test]
fn key_created_before_the_retry_window_is_refused() {
    let mut holder = holder_with_full_history("a");
    let created = uuid::Timestamp::from_unix(uuid::NoContext, NOW.as_secs() - 1_806, 0);
    let key = uuid::Uuid::new_v7(created).to_string();
    assert_eq!(
        reason(&holder.claim(NOW, &claim(1, &key, None))),
        (RefusalReason::KeyExpired, true)
    );
}

#[test]
fn full_holder_refuses_new_keys_and_keeps_the_held_ones() {
    let mut holder = key_holder(
        "a",
        KeyHolderOptions { key_limit: 2, ..KeyHolderOptions::default() },
        Duration::ZERO,
    );
    assert_eq!(holder.claim(NOW, &claim(1, "k1", None)), KeyDecision::First);
    assert_eq!(holder.claim(NOW, &claim(2, "k2", None)), KeyDecision::First);
    assert_eq!(
        reason(&holder.claim(NOW, &claim(3, "k3", None))),
        (RefusalReason::KeyStoreFull, false)
    );
    assert_eq!(reason(&holder.claim(NOW, &claim(4, "k1", None))).0, RefusalReason::KeyInProgress);
    holder.expire(NOW + Duration::from_secs(3_601));
    assert_eq!(holder.keys(), 0);
}

#[test]
fn late_copy_of_an_older_hand_over_is_ignored() {
    let (a, b) = (daemon("a"), daemon("b"));
    let mut first = holder_with_full_history("a");
    let mut second = KeyHolder::new(b.clone(), KeyHolderOptions::default());
    second.apply_table(1, first.table().clone());
    // a hands over to b, b grants a claim and hands back to a, and a hands over to b again.
    let (_, old) = first.hand_over(std::slice::from_ref(&b)).remove(0);
    assert!(second.hand_over_received(old.clone()));
    first.hand_over_acknowledged(&b, 0);
    let table = first.table_after_hand_over().expect("acknowledged");
    first.apply_table(2, table.clone());
    second.apply_table(2, table);
    assert_eq!(second.claim(NOW, &claim(1, "k", None)), KeyDecision::First);
    let (_, back) = second.hand_over(std::slice::from_ref(&a)).remove(0);
    assert!(first.hand_over_received(back));
    second.hand_over_acknowledged(&a, 0);
    let table = second.table_after_hand_over().expect("acknowledged");
    first.apply_table(3, table.clone());
    second.apply_table(3, table);
    let (_, again) = first.hand_over(std::slice::from_ref(&b)).remove(0);
    assert!(second.hand_over_received(again));
    // A late copy of the first hand-over arrives; it lacks the key that b granted.
    second.hand_over_received(old);
    first.hand_over_acknowledged(&b, 0);
    let table = first.table_after_hand_over().expect("acknowledged");
    second.apply_table(4, table);
    assert_eq!(reason(&second.claim(NOW, &claim(2, "k", None))).0, RefusalReason::KeyInProgress);
}

#[test]
fn slots_of_removed_vms_go_to_the_holders_with_the_fewest() {
    let holders = [daemon("a"), daemon("b"), daemon("c")];
    let table = KeyTable::distribute(9, &holders);
    let removed_vms = BTreeSet::from(["c".to_string()]);
    let next = table.reassign(&removed_vms, &holders[0], &holders, NOW).expect("changes");
    assert_eq!(next.held_by(&holders[2]).len(), 0);
    assert!(next.held_by(&holders[0]).len() <= 5 && next.held_by(&holders[1]).len() <= 5);
    assert!(next
        .slots
        .iter()
        .all(|slot| [0, NOW.as_millis() as u64].contains(&slot.complete_since_ms)));
    assert_eq!(next.reassign(&removed_vms, &holders[0], &holders, NOW), None);
}
