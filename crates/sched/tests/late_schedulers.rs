//! An entry daemon whose scheduler answers every permit request, but each answer a little too late.

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, PermitAnswer, PermitDecision, PermitId, Refusal, RefusalReason, RequestId,
};
use curlewcleat_sched::{EntryAction, EntryOptions, EntryRequests, RequestSpec};
use rstest::rstest;

/// Time within which a scheduler has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const BEGIN: Duration = Duration::from_secs(100);
/// Duration of the simulation.
const DURATION: Duration = Duration::from_secs(10);
/// Interval between two heartbeats of the first scheduler.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Outcomes of the requests in one second.
#[derive(Debug, Default)]
struct AnswerCount {
    dispatched: usize,
    refused: usize,
    /// Permit requests sent to the first scheduler and to the next one.
    requested: [usize; 2],
}

/// An answer under way: its arrival time, its scheduler, its permit and its decision.
type SentAnswer = (Duration, &'static str, PermitId, PermitDecision);

/// An entry daemon and two schedulers. The first one answers after a delay; the next one refuses at once, since
/// it does not hold the rates.
struct LateSimulation {
    now: Duration,
    entry: EntryRequests,
    answers: VecDeque<SentAnswer>,
    count: AnswerCount,
}

fn order(_: &str) -> Vec<DaemonId> {
    ["s0", "s1"].map(|vm| DaemonId { vm: vm.to_string(), incarnation: 1 }).to_vec()
}

impl LateSimulation {
    fn new() -> LateSimulation {
        let options = EntryOptions {
            answer_timeout: ANSWER_TIMEOUT,
            answer_tries: 1,
            skip_for: Duration::from_secs(3),
            ..EntryOptions::default()
        };
        LateSimulation {
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

    fn deliver_answers(&mut self) -> Vec<EntryAction> {
        let now = self.now;
        let mut actions = Vec::new();
        while let Some(index) = self.answers.iter().position(|(due, ..)| *due <= now) {
            let Some((_, from, permit, decision)) = self.answers.remove(index) else { break };
            let answer = PermitAnswer { permit, pool: "p".to_string(), decision };
            actions.extend(self.entry.permit_answered(now, &from.to_string(), answer, &order));
        }
        actions
    }

    /// Performs the actions of the entry daemon. The first scheduler answers after `delay`, or not at all.
    fn perform(&mut self, actions: Vec<EntryAction>, delay: Option<Duration>) {
        for action in actions {
            match action {
                EntryAction::RequestPermit(vm, request) if vm == "s0" => {
                    self.count.requested[0] += 1;
                    let granted = PermitDecision::Granted("t".to_string());
                    let due = delay.map(|delay| self.now + delay);
                    self.answers.extend(due.map(|due| (due, "s0", request.permit, granted)));
                }
                EntryAction::RequestPermit(_, request) => {
                    self.count.requested[1] += 1;
                    let refusal = Refusal::not_run(RefusalReason::RateUnknown, None);
                    let refused = PermitDecision::Refused(refusal);
                    self.answers.push_back((self.now, "s1", request.permit, refused));
                }
                EntryAction::Dispatch { .. } => self.count.dispatched += 1,
                EntryAction::Refuse(..) => self.count.refused += 1,
                _ => {}
            }
        }
    }
}

/// Runs ten seconds, where `delay` gives the time that the first scheduler takes to answer; returns the counts of
/// each second.
fn simulate(delay: impl Fn(Duration) -> Option<Duration>) -> Vec<AnswerCount> {
    let mut simulation = LateSimulation::new();
    let mut counts = Vec::new();
    let mut requested = 0;
    while simulation.now < BEGIN + DURATION {
        simulation.now += STEP;
        let passed = simulation.now - BEGIN;
        let mut actions = simulation.entry.tick(simulation.now, &order);
        if passed.as_millis().is_multiple_of(HEARTBEAT_INTERVAL.as_millis()) {
            simulation.entry.heartbeat_received(simulation.now, &"s0".to_string());
        }
        if passed >= REQUEST_INTERVAL * requested {
            requested += 1;
            actions.extend(simulation.admit(requested));
        }
        actions.extend(simulation.deliver_answers());
        simulation.perform(actions, delay(passed));
        if passed.as_millis().is_multiple_of(1_000) {
            counts.push(std::mem::take(&mut simulation.count));
        }
    }
    counts
}

/// All entry daemons skipped a scheduler for each late answer, and the cost of that kept the scheduler late
/// permanently.
#[rstest]
#[case::a_little(Duration::from_millis(40))]
#[case::several_times(Duration::from_millis(150))]
fn late_scheduler_is_not_skipped(#[case] delay: Duration) {
    let counts = simulate(|_| Some(delay));
    for count in &counts[1..] {
        assert_eq!((count.refused, count.requested[1]), (0, 0), "{counts:?}");
        assert!(count.dispatched >= 9, "{counts:?}");
    }
}

/// A scheduler that does not answer at all is still skipped after its first missed answer.
#[test]
fn unresponsive_scheduler_is_skipped() {
    let counts = simulate(|_| None);
    for count in &counts[1..] {
        assert!(count.requested[1] >= 9, "{counts:?}");
    }
}

/// A scheduler that answered late, then in time and then not at all is skipped as soon as one that was never late.
#[test]
fn longer_timeout_ends_after_answers_in_time() {
    let counts = simulate(|passed| match passed.as_secs() {
        0..=1 => Some(Duration::from_millis(150)),
        2..=7 => Some(Duration::from_millis(5)),
        _ => None,
    });
    let last = counts.last().expect("a second");
    assert!(last.requested[1] >= 9, "{counts:?}");
}
