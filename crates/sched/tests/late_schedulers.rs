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
const BEGIN: Duration = Duration::from_secs(100);
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

/// An answer on its way: when it arrives, who sent it, and what it says.
type SentAnswer = (Duration, &'static str, PermitId, PermitDecision);

/// An entry and two schedulers. The first one answers after a time; the next one refuses at once, since it does not keep the
/// rates.
struct LatePlay {
    now: Duration,
    entry: EntryRequests,
    answers: VecDeque<SentAnswer>,
    count: AnswerCount,
}

fn order(_: &str) -> Vec<DaemonId> {
    ["s0", "s1"].map(|vm| DaemonId { vm: vm.to_string(), incarnation: 1 }).to_vec()
}

impl LatePlay {
    fn new() -> LatePlay {
        let options = EntryOptions {
            answer_timeout: LIMIT,
            answer_tries: 1,
            avoid_for: Duration::from_secs(3),
            ..EntryOptions::default()
        };
        LatePlay {
            now: BEGIN,
            entry: EntryRequests::new(options),
            answers: VecDeque::new(),
            count: AnswerCount::default(),
        }
    }

    fn admit(&mut self, number: u32) -> Vec<EntryAction> {
        let spec = RequestSpec {
            request: RequestId::from_u128(u128::from(number)),
            pool: "p".to_string(),
            account: "a".to_string(),
            time_left: Duration::from_secs(3),
            output_work: 1_000,
            ..RequestSpec::default()
        };
        self.entry.admit(self.now, spec, &order)
    }

    fn answers_arrive(&mut self) -> Vec<EntryAction> {
        let now = self.now;
        let mut actions = Vec::new();
        while let Some(at) = self.answers.iter().position(|(due, ..)| *due <= now) {
            let Some((_, from, permit, decision)) = self.answers.remove(at) else { break };
            let answer = PermitAnswer { permit, pool: "p".to_string(), decision };
            actions.extend(self.entry.permit_answered(now, &from.to_string(), answer, &order));
        }
        actions
    }

    /// Sends what the entry asks for; the first scheduler takes this long to answer.
    fn perform(&mut self, actions: Vec<EntryAction>, takes: Option<Duration>) {
        for action in actions {
            match action {
                EntryAction::RequestPermit(vm, ask) if vm == "s0" => {
                    self.count.asked[0] += 1;
                    let granted = PermitDecision::Granted("t".to_string());
                    let due = takes.map(|takes| self.now + takes);
                    self.answers.extend(due.map(|due| (due, "s0", ask.permit, granted)));
                }
                EntryAction::RequestPermit(_, ask) => {
                    self.count.asked[1] += 1;
                    let refusal = Refusal::not_run(RefusalReason::RateUnknown, None);
                    let refused = PermitDecision::Refused(refusal);
                    self.answers.push_back((self.now, "s1", ask.permit, refused));
                }
                EntryAction::Dispatch { .. } => self.count.dispatched += 1,
                EntryAction::Refuse(..) => self.count.refused += 1,
                _ => {}
            }
        }
    }
}

/// Plays ten seconds, by what the first scheduler takes to answer; gives the counts of each.
fn play(takes: impl Fn(Duration) -> Option<Duration>) -> Vec<AnswerCount> {
    let mut play = LatePlay::new();
    let mut counts = Vec::new();
    let mut asked = 0;
    while play.now < BEGIN + LASTS {
        play.now += STEP;
        let passed = play.now - BEGIN;
        let mut actions = play.entry.tick(play.now, &order);
        if passed.as_millis().is_multiple_of(BEAT.as_millis()) {
            play.entry.heartbeat_received(play.now, &"s0".to_string());
        }
        if passed >= EVERY * asked {
            asked += 1;
            actions.extend(play.admit(asked));
        }
        actions.extend(play.answers_arrive());
        play.perform(actions, takes(passed));
        if passed.as_millis().is_multiple_of(1_000) {
            counts.push(std::mem::take(&mut play.count));
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
