//! Tests a target that states how many requests per second it accepts, in a fleet: all daemons together stay within
//! that limit while schedulers change, are cut off, end or join. Each daemon has a gate that its requests pass.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    InterruptionKind, LimitNotice, NoticeReport, RequestId, RequestIdentity, RequestInterruption,
    RequestRate, RetryReason, TargetInstance, TargetNotice,
};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::{ReceivedNotice, RequestSpec, TargetGate};
use rstest::rstest;

use support::{mixed_fleet_daemon, spec, target, Fleet};

/// Requests per second that the target accepts.
const LIMIT: f64 = 2.0;
/// Span in which the users count requests, and the number that they allow in it.
const SPAN: Duration = Duration::from_secs(4);
const ALLOWED: usize = (1.5 * LIMIT * 4.0) as usize + 5;
/// Time within which all daemons keep the limit; the users allow three seconds.
const SPREAD_LIMIT: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(20);

/// A fleet in front of one target that states a limit in each answer and answers at once.
struct LimitedFleet {
    fleet: Fleet,
    gates: BTreeMap<usize, TargetGate>,
    number: u128,
    /// Number of decisions that were followed already.
    followed: usize,
    /// When requests reached the target.
    arrived: Vec<Duration>,
    /// The notice in the target's answers.
    notice: TargetNotice,
}

fn instance() -> TargetInstance {
    TargetInstance { id: "x".to_string(), start: None }
}

impl LimitedFleet {
    fn new(daemons: usize) -> LimitedFleet {
        let mut fleet = Fleet::new(daemons);
        fleet.targets = (vec![target("x", false)], fleet.targets.1 + 1);
        fleet.run(Duration::from_secs(3));
        let limit = LimitNotice::Stated(RequestRate::per_second(LIMIT).expect("a rate"));
        LimitedFleet {
            fleet,
            gates: BTreeMap::new(),
            number: 0,
            followed: 0,
            arrived: Vec::new(),
            notice: TargetNotice { limit, ..TargetNotice::default() },
        }
    }

    /// Sends callers' requests to these daemons for `time`, more than the target accepts.
    fn load(&mut self, daemons: &[usize], time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(STEP);
            for index in daemons {
                // The request number encodes the daemon that received the request.
                self.number += 1;
                let number = self.number * 1_000 + *index as u128;
                let spec = RequestSpec { time_left: Duration::from_secs(1), ..spec(number) };
                self.fleet.event(*index, NodeEvent::Admit(Box::new(spec)));
            }
            self.follow();
        }
    }

    /// Sends the granted requests to the target, which answers them.
    fn follow(&mut self) {
        while self.followed < self.fleet.decisions.len() {
            let (id, decision) = self.fleet.decisions[self.followed].clone();
            self.followed += 1;
            if let CallerDecision::Dispatch(..) = decision {
                self.send(id);
            }
        }
    }

    fn send(&mut self, id: RequestId) {
        let (now, index) = (self.fleet.now, (id.as_u128() % 1_000) as usize);
        let gate = self.gates.entry(index).or_default();
        if gate.pass(now, &target("x", false).entry).is_some() {
            let end = curlewcleat_core::AttemptEnd::Unused;
            let stopped = NodeEvent::AttemptNotRun(id, end, RetryReason::TargetUnwilling);
            return self.fleet.event(index, stopped);
        }
        self.arrived.push(now);
        let change =
            gate.apply_notice(now, &instance(), &ReceivedNotice { sent: now, notice: self.notice });
        if change.send_report {
            self.fleet.event(index, NodeEvent::NoticeReceived("p".to_string(), change.report));
        }
        self.fleet.finish(index, id.as_u128());
    }

    /// Returns the maximum of requests that reached the target in a span, starting from `since`.
    fn most_since(&self, since: Duration) -> usize {
        let arrived: Vec<&Duration> = self.arrived.iter().filter(|at| **at >= since).collect();
        let within =
            |from: Duration| arrived.iter().filter(|at| (from..from + SPAN).contains(**at)).count();
        arrived.iter().map(|from| within(**from)).max().unwrap_or(0)
    }

    fn count_since(&self, since: Duration) -> usize {
        self.arrived.iter().filter(|at| **at >= since).count()
    }

    fn everyone(&self) -> Vec<usize> {
        (0..self.fleet.daemons.len()).collect()
    }
}

#[rstest]
#[case::alone(1)]
#[case::small(6)]
#[case::large(40)]
fn daemons_together_stay_within_the_limit_of_the_target(#[case] daemons: usize) {
    let mut limited = LimitedFleet::new(daemons);
    let everyone = limited.everyone();
    limited.load(&everyone, SPREAD_LIMIT);
    let since = limited.fleet.now;
    limited.load(&everyone, Duration::from_secs(20));
    let most = limited.most_since(since);
    assert!(most <= ALLOWED, "{most}");
    let served = limited.count_since(since);
    assert!(served >= (LIMIT * 20.0 * 0.8) as usize, "{served} served: the limit is not used up");
}

/// One packet in four is lost.
#[test]
fn lost_frames_do_not_break_the_limit() {
    let mut limited = LimitedFleet::new(6);
    limited.fleet.losses = Some((4, 7));
    let everyone = limited.everyone();
    limited.load(&everyone, SPREAD_LIMIT);
    let since = limited.fleet.now;
    limited.load(&everyone, Duration::from_secs(20));
    let most = limited.most_since(since);
    assert!(most <= ALLOWED, "{most}");
}

/// The scheduler is cut off repeatedly; the next one has received no notice by itself.
#[rstest]
#[case::small(6)]
#[case::large(40)]
fn elections_do_not_break_the_limit(#[case] daemons: usize) {
    let mut limited = LimitedFleet::new(daemons);
    let everyone = limited.everyone();
    limited.load(&everyone, SPREAD_LIMIT);
    let since = limited.fleet.now;
    let mut living = everyone;
    for _ in 0..3 {
        let leader = limited.fleet.daemons[living[0]].node.scheduler_order()[0].vm.clone();
        let leader = limited.fleet.position(&leader);
        limited.fleet.daemons[leader].cut = true;
        living.retain(|index| *index != leader);
        limited.load(&living, Duration::from_secs(6));
    }
    let most = limited.most_since(since);
    assert!(most <= ALLOWED, "{most}");
    let served = limited.count_since(limited.fleet.now - Duration::from_secs(3));
    assert!(served > 0, "nothing is served after an election");
}

/// The fleet is partitioned into two parts that each have a scheduler, and joins again.
#[test]
fn two_schedulers_together_stay_within_the_limit() {
    let mut limited = LimitedFleet::new(6);
    let everyone = limited.everyone();
    limited.load(&everyone, SPREAD_LIMIT);
    let since = limited.fleet.now;
    for one in 0..3 {
        for other in 3..6 {
            limited.fleet.blocked.insert((one, other));
            limited.fleet.blocked.insert((other, one));
        }
    }
    limited.load(&everyone, Duration::from_secs(15));
    limited.fleet.blocked.clear();
    limited.load(&everyone, Duration::from_secs(10));
    let most = limited.most_since(since);
    assert!(most <= ALLOWED, "{most}");
}

/// The scheduler stands still while another one takes over, and is cut off when it goes on.
#[test]
fn standstill_that_ends_in_a_cut_does_not_break_the_limit() {
    let mut limited = LimitedFleet::new(6);
    let everyone = limited.everyone();
    limited.load(&everyone, SPREAD_LIMIT);
    let (since, scheduler) = (limited.fleet.now, limited.fleet.leader());
    limited.fleet.suspend(scheduler);
    let others: Vec<usize> = everyone.iter().copied().filter(|index| *index != scheduler).collect();
    limited.load(&others, Duration::from_secs(4));
    limited.fleet.block(scheduler, 0..6, true);
    limited.fleet.resume(scheduler);
    limited.load(&everyone, Duration::from_secs(6));
    let most = limited.most_since(since);
    assert!(most <= ALLOWED, "{most}");
}

/// A restarted daemon becomes scheduler, since it is the strongest; it receives the limit from the others.
#[test]
fn new_scheduler_learns_the_limit() {
    let mut limited = LimitedFleet::new(5);
    let everyone = limited.everyone();
    limited.load(&everyone, SPREAD_LIMIT);
    let addresses: Vec<String> =
        limited.fleet.daemons[0].node.peer_addresses().into_iter().collect();
    let leader = limited.fleet.leader();
    limited.fleet.daemons[leader] = mixed_fleet_daemon(leader, addresses, 2, 0);
    limited.gates.remove(&leader);
    let since = limited.fleet.now;
    limited.load(&everyone, Duration::from_secs(20));
    let most = limited.most_since(since);
    assert!(most <= ALLOWED, "{most}");
}

/// One daemon receives the notice that a target leaves, and the platform does not show it: no daemon sends requests
/// there any more, and its termination while running a request counts as planned.
#[test]
fn leaving_notice_received_by_one_daemon_applies_to_all() {
    let mut fleet = Fleet::new(6);
    let non_candidate = 5;
    let leaving = NoticeReport { instance: instance(), leaving: true, rest: None, limit: None };
    fleet.event(non_candidate, NodeEvent::NoticeReceived("p".to_string(), leaving));
    for number in 0..40 {
        let index = (number % 6) as usize;
        fleet.admit(index, number);
        match fleet.decision(number) {
            Some(CallerDecision::Dispatch(_, entry)) => assert_eq!(entry.id, "y"),
            other => panic!("{other:?}"),
        }
        fleet.finish(index, number);
    }
    let identity =
        RequestIdentity { method: "POST", host: "h", path: "/p", caller: "a", body: b"ends" };
    let interruption =
        RequestInterruption { instance: instance(), kind: InterruptionKind::Closed, begun: false };
    fleet.event(
        fleet.leader(),
        NodeEvent::RequestInterrupted(vec![identity.digest().into()], interruption),
    );
    let suspects = fleet.daemons[fleet.leader()].node.status().suspects;
    assert_eq!(suspects, [], "the planned end of a leaving target is ignored");
}

/// The target states its limit no longer: soon all daemons serve all requests again.
#[test]
fn removal_of_the_limit_reaches_the_scheduler() {
    let mut limited = LimitedFleet::new(6);
    let everyone = limited.everyone();
    limited.load(&everyone, SPREAD_LIMIT * 2);
    limited.notice = TargetNotice::default();
    limited.load(&everyone, SPREAD_LIMIT * 2);
    let since = limited.fleet.now;
    limited.load(&everyone, Duration::from_secs(4));
    let served = limited.count_since(since);
    assert!(served > 1_000, "{served} of 1,200");
}
