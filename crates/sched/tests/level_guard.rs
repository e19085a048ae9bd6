//! Refusals for lack of capacity wait until every other scheduler sheds the lower tiers.

use std::time::Duration;

use curlewcleat_core::{
    DaemonId, PermitAnswer, PermitDecision, PermitId, Refusal, RefusalReason, RequestId, TierRank,
};
use curlewcleat_sched::{LevelGuard, SchedulerAction};

const TIER: TierRank = 1;
const LOWEST: TierRank = 3;
const NOW: Duration = Duration::from_secs(10);

fn daemon(index: u32) -> DaemonId {
    DaemonId { vm: format!("vm-{index}"), incarnation: 1 }
}

fn refusal(number: u128) -> SchedulerAction {
    let permit = PermitId { request: RequestId::from_u128(number), attempt: 0 };
    let decision = PermitDecision::Refused(Refusal::not_run(RefusalReason::TierShed, None));
    let answer = PermitAnswer { permit, pool: "p".to_string(), decision };
    SchedulerAction { entry: daemon(0), answer, shed: Some(TIER), unused: None }
}

#[test]
fn confirmed_level_needs_no_further_round() {
    let (mut guard, peers) = (LevelGuard::default(), [daemon(1)]);
    let round = guard.pass(NOW, refusal(1), LOWEST, &peers).raise.expect("a round");
    assert_eq!(guard.confirmed(&daemon(1), round.1).len(), 1);
    assert_eq!(guard.pass(NOW, refusal(2), LOWEST, &peers).answers.len(), 1);
}

/// Guards against a scheduler that was out of reach during the round and that admits a lower tier when it is back.
#[test]
fn level_is_not_taken_as_confirmed_by_a_scheduler_that_was_out_of_reach() {
    let mut guard = LevelGuard::default();
    let both = [daemon(1), daemon(2)];
    let round = guard.pass(NOW, refusal(1), LOWEST, &both).raise.expect("a round");
    guard.confirmed(&daemon(1), round.1);
    assert_eq!(guard.tick(NOW, &both[..1]).answers.len(), 1, "the other one is out of reach");
    let step = guard.pass(NOW, refusal(2), LOWEST, &both);
    assert_eq!(step.answers.len(), 0, "it has not confirmed");
    let (_, round, asked) = step.raise.expect("another round");
    assert_eq!(asked, both);
    guard.confirmed(&daemon(1), round);
    assert_eq!(guard.confirmed(&daemon(2), round).len(), 1);
}
