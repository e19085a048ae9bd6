//! An entry whose scheduler answers each ask, and each a little too late.

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, PermitAnswer, PermitDecision, PermitId, Refusal, RefusalReason, RequestId,
};
use curlewcleat_sched::{EntryAction, EntryOptions, EntryRequests, RequestSpec};
use rstest::rstest;

const LIMIT: Duration = Duration::from_millis(30);
const STEP: Duration = Duration::from_millis(5);
/// A request comes every so often.
const EVERY: Duration = Duration::from_millis(100);
const LASTS: Duration = Duration::from_secs(10);
const BEAT: Duration = Duration::from_millis(500);

/// What became of the requests.
#[derive(Debug, Default)]
struct AnswerCount {
    dispatched: usize,
    refused: usize,
    /// Asks of the first scheduler and of the next one.
    asked: [usize; 2],
}

/// The first scheduler answers after `takes`; the next one refuses at once, since it does not keep the rates.
fn play(takes: impl Fn(Duration) -> Option<Duration>) -> Vec<AnswerCount> {
    let options = EntryOptions {
        answer_timeout: LIMIT,
        answer_tries: 1,
        avoid_for: Duration::from_secs(3),
        ..EntryOptions::default()
    };
    let mut entry = EntryRequests::new(options);
    let daemon = |vm: &str| DaemonId { vm: vm.to_string(), incarnation: 1 };
    let order = |_: &str| vec![daemon("s0"), daemon("s1")];
    let mut answers: VecDeque<(Duration, &str, PermitId, PermitDecision)> = VecDeque::new();
    let mut counts = Vec::new();
    let mut count = AnswerCount::default();
    let begin = Duration::from_secs(100);
    let (mut now, mut asked) = (begin, 0u32);
    while now < begin + LASTS {
        now += STEP;
        let passed = now - begin;
        let mut actions = entry.tick(now, &order);
        if passed.as_millis().is_multiple_of(BEAT.as_millis()) {
            entry.heartbeat_received(now, &"s0".to_string());
        }
        if passed >= EVERY * asked {
            asked += 1;
            let spec = RequestSpec {
                request: RequestId::from_u128(u128::from(asked)),
                pool: "p".to_string(),
                account: "a".to_string(),
                time_left: Duration::from_secs(3),
                output_work: 1_000,
                ..RequestSpec::default()
            };
            actions.extend(entry.admit(now, spec, &order));
        }
        while let Some(at) = answers.iter().position(|(due, ..)| *due <= now) {
            let Some((_, from, permit, decision)) = answers.remove(at) else { break };
            let answer = PermitAnswer { permit, pool: "p".to_string(), decision };
            actions.extend(entry.permit_answered(now, &from.to_string(), answer, &order));
        }
        for action in actions {
            match action {
                EntryAction::RequestPermit(vm, ask) if vm == "s0" => {
                    count.asked[0] += 1;
                    let granted = PermitDecision::Granted("t".to_string());
                    let due = takes(passed).map(|takes| now + takes);
                    answers.extend(due.map(|due| (due, "s0", ask.permit, granted)));
                }
                EntryAction::RequestPermit(_, ask) => {
                    count.asked[1] += 1;
                    let refusal = Refusal::not_run(RefusalReason::RateUnknown, None);
                    answers.push_back((now, "s1", ask.permit, PermitDecision::Refused(refusal)));
                }
                EntryAction::Dispatch { .. } => count.dispatched += 1,
                EntryAction::Refuse(..) => count.refused += 1,
                _ => {}
            }
        }
        if passed.as_millis().is_multiple_of(1_000) {
            counts.push(std::mem::take(&mut count));
        }
    }
    counts
}

/// Passed over by all entries for each late answer, a scheduler was kept late for good by what that cost.
#[rstest]
#[case::a_little(Duration::from_millis(40))]
#[case::several_times(Duration::from_millis(150))]
fn scheduler_that_answers_late_is_waited_for(#[case] takes: Duration) {
    let counts = play(|_| Some(takes));
    for count in &counts[1..] {
        assert_eq!((count.refused, count.asked[1]), (0, 0), "{counts:?}");
        assert!(count.dispatched >= 9, "{counts:?}");
    }
}

/// One that does not answer at all is passed over as soon as ever.
#[test]
fn scheduler_that_does_not_answer_is_passed_over() {
    let counts = play(|_| None);
    for count in &counts[1..] {
        assert!(count.asked[1] >= 9, "{counts:?}");
    }
}

/// Once its answers come in time again, and then not at all, it is waited for no longer than before.
#[test]
fn patience_ends_with_late_answers() {
    let counts = play(|passed| match passed.as_secs() {
        0..=1 => Some(Duration::from_millis(150)),
        2..=7 => Some(Duration::from_millis(5)),
        _ => None,
    });
    let last = counts.last().expect("a second");
    assert!(last.asked[1] >= 9, "{counts:?}");
}
