//! Targets that terminate when they have to turn away more requests in a second than they state.
//!
//! Guards against a scheduler that offers requests to targets whose running requests it does not know: it has taken over
//! from another one, and the targets are full.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, BrittleNotice, DaemonId, LatencyObjectives, PermitDecision, PermitId,
    PermitRequest, PermitReturn, RequestId, TargetEntry, TargetId, TargetInstance, TargetNotice,
    TargetPool, Uptime,
};
use curlewcleat_sched::{
    GateStop, PoolOptions, PoolScheduler, RateRole, RateShare, ReceivedNotice, SchedulerAction,
    TargetGate, TargetRoom,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(2);
const SECOND: Duration = Duration::from_secs(1);
const SLOTS: u32 = 8;
const TARGETS: usize = 6;
/// Time that a request runs.
const RUN_MS: std::ops::Range<u64> = 200..800;

/// A target that really runs requests, and counts those that it turns away.
#[derive(Default)]
struct RunningTarget {
    /// When each of its requests ends, with the permit if the scheduler under test granted it.
    running: Vec<(Uptime, Option<PermitId>)>,
    refusals: VecDeque<Uptime>,
    /// The most refusals in a second.
    most_refusals: usize,
}

impl RunningTarget {
    fn refuse(&mut self, now: Uptime) {
        self.refusals.push_back(now);
        self.refusals.retain(|refused| now < *refused + SECOND);
        self.most_refusals = self.most_refusals.max(self.refusals.len());
    }
}

fn pool() -> TargetPool {
    let entry = |index: usize| {
        let id = format!("t{index}");
        let entry = TargetEntry { vm: id.clone(), slots: SLOTS, id, ..TargetEntry::default() };
        (entry.id.clone(), entry)
    };
    TargetPool {
        id: "p".to_string(),
        targets: (0..TARGETS).map(entry).collect(),
        ..TargetPool::default()
    }
}

fn share(role: RateRole) -> RateShare {
    RateShare { reached: 1, all: 1, role }
}

fn entry() -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation: 1 }
}

fn permit_request(number: u128, attempt: u32, avoid: Vec<TargetId>) -> PermitRequest {
    PermitRequest {
        permit: PermitId { request: RequestId::from_u128(number), attempt },
        pool: "p".to_string(),
        tier: 0,
        account: "a".to_string(),
        cost: 1,
        objectives: LatencyObjectives::default(),
        time_left: Duration::from_secs(3_600),
        prompt_work: 0,
        output_work: 500_000,
        prefix: None,
        avoid,
        version: None,
    }
}

/// A scheduler that has taken over, and the targets with what they really run.
struct Takeover {
    scheduler: PoolScheduler,
    gate: TargetGate,
    targets: BTreeMap<TargetId, RunningTarget>,
    random: StdRng,
    next_request: u128,
    served: usize,
}

impl Takeover {
    /// Lets all targets run as many requests of a former scheduler as they can.
    fn new(seed: u64, borne: u32) -> Takeover {
        let mut random = StdRng::seed_from_u64(seed);
        let mut scheduler = PoolScheduler::new("p".to_string(), PoolOptions::default());
        scheduler.configure(PoolOptions::default(), &pool());
        scheduler.set_brittle(Some(borne));
        scheduler.set_rate_share(Duration::ZERO, share(RateRole::Other));
        let mut full = || RunningTarget {
            running: (0..SLOTS)
                .map(|_| (Duration::from_millis(random.random_range(RUN_MS)), None))
                .collect(),
            ..RunningTarget::default()
        };
        let targets: BTreeMap<TargetId, RunningTarget> =
            (0..TARGETS).map(|index| (format!("t{index}"), full())).collect();
        let mut gate = TargetGate::default();
        for id in targets.keys() {
            let notice =
                TargetNotice { brittle: BrittleNotice::Stated(borne), ..TargetNotice::default() };
            let received = ReceivedNotice { sent: Duration::ZERO, notice };
            let instance = TargetInstance { id: id.clone(), start: None };
            gate.apply_notice(Duration::ZERO, &instance, &received);
        }
        scheduler.set_rate_share(Duration::ZERO, share(RateRole::Leader));
        Takeover { scheduler, gate, targets, random, next_request: 0, served: 0 }
    }

    /// Sends requests, half again as many as the targets can serve, for this time.
    fn run(&mut self, time: Duration) {
        let mut now = Duration::ZERO;
        while now < time {
            let arrivals = self.random.random_range(0..=1);
            for _ in 0..arrivals {
                self.next_request += 1;
                self.ask(now, permit_request(self.next_request, 0, Vec::new()));
            }
            self.end_requests(now);
            let actions = self.scheduler.tick(now);
            self.deliver(now, actions);
            now += STEP;
        }
    }

    fn ask(&mut self, now: Uptime, request: PermitRequest) {
        let actions = self.scheduler.request_permit(now, entry(), request);
        self.deliver(now, actions);
    }

    /// Sends granted requests to their targets, which run them or turn them away.
    fn deliver(&mut self, now: Uptime, actions: Vec<SchedulerAction>) {
        for action in actions {
            let PermitDecision::Granted(target) = action.answer.decision else { continue };
            let permit = action.answer.permit;
            let running = self.targets.get_mut(&target).expect("a known target");
            if running.running.iter().any(|(_, known)| *known == Some(permit)) {
                continue;
            }
            if running.running.len() < SLOTS as usize {
                let ends = now + Duration::from_millis(self.random.random_range(RUN_MS));
                running.running.push((ends, Some(permit)));
                continue;
            }
            running.refuse(now);
            let instance = TargetInstance { id: target.clone(), start: None };
            let refusal = self.gate.refused(now, &instance).expect("the target is brittle");
            let actions = self.scheduler.apply_notice_report(now, &entry().vm, &refusal);
            self.deliver(now, actions);
            self.give_back(now, permit, AttemptEnd::Failed);
            let again = permit_request(permit.request.as_u128(), permit.attempt + 1, vec![target]);
            if permit.attempt == 0 {
                self.ask(now, again);
            }
        }
    }

    fn end_requests(&mut self, now: Uptime) {
        let mut ended = Vec::new();
        for target in self.targets.values_mut() {
            let (past, running) = target.running.iter().partition(|(ends, _)| *ends <= now);
            target.running = running;
            let past: Vec<(Uptime, Option<PermitId>)> = past;
            ended.extend(past.into_iter().filter_map(|(_, permit)| permit));
        }
        for permit in ended {
            self.served += 1;
            self.give_back(now, permit, AttemptEnd::Whole(SECOND / 2));
        }
    }

    fn give_back(&mut self, now: Uptime, permit: PermitId, end: AttemptEnd) {
        let returned = PermitReturn { permit, pool: "p".to_string(), end };
        let actions = self.scheduler.return_permit(now, &returned);
        self.deliver(now, actions);
    }
}

/// A scheduler that took over offered each full target requests until it was ejected.
#[rstest]
#[case::one(1)]
#[case::few(3)]
#[case::many(8)]
fn takeover_of_full_targets_terminates_none(#[case] borne: u32) {
    for seed in 0..20 {
        let mut takeover = Takeover::new(seed, borne);
        takeover.run(SECOND * 6);
        for (id, target) in &takeover.targets {
            assert!(
                target.most_refusals <= borne as usize,
                "seed {seed}: {id} turned away {} in a second and bears {borne}",
                target.most_refusals
            );
        }
        // The targets serve 16 requests a second each; the first second is lost to what they already run.
        assert!(takeover.served >= 300, "seed {seed}: {} served", takeover.served);
    }
}

/// A brittle target that answered one request with an error while it ran no other was offered nothing for seconds.
#[test]
fn failing_target_is_not_taken_for_a_full_one() {
    let mut scheduler = PoolScheduler::new("p".to_string(), PoolOptions::default());
    scheduler.configure(PoolOptions::default(), &pool());
    scheduler.set_brittle(Some(0));
    for number in 0..TARGETS as u128 {
        scheduler.request_permit(SECOND, entry(), permit_request(number, 0, Vec::new()));
        let permit = PermitId { request: RequestId::from_u128(number), attempt: 0 };
        let returned = PermitReturn { permit, pool: "p".to_string(), end: AttemptEnd::Failed };
        scheduler.return_permit(SECOND, &returned);
    }
    let actions = scheduler.request_permit(SECOND, entry(), permit_request(99, 0, Vec::new()));
    let is_granted =
        |action: &SchedulerAction| matches!(action.answer.decision, PermitDecision::Granted(_));
    assert!(actions.iter().any(is_granted), "{actions:?}");
}

/// Requests that other daemons report as running are not unknown.
#[test]
fn reported_requests_do_not_delay_a_takeover() {
    let mut room = TargetRoom::unknown(Duration::ZERO, 0);
    for _ in 0..5 {
        room = room.with_held_request();
    }
    assert_eq!(room.offered(Duration::ZERO), 6);
    assert_eq!(room.offered(SECOND / 2), 6 + 5);
}

#[test]
fn target_that_bears_no_refusal_is_offered_more_only_after_seconds() {
    let room = TargetRoom::after_refusal(SECOND, 4, 0);
    assert_eq!(room.offered(SECOND * 5), 4);
    assert_eq!(room.offered(SECOND * 6), 5);
}

/// Two schedulers at the same time each kept within what a target bears, and together exceeded it.
#[test]
fn gate_stops_requests_after_half_of_the_refusals_that_a_target_bears() {
    let target = TargetEntry { id: "t".to_string(), ..TargetEntry::default() };
    let instance: TargetInstance = target.instance();
    let mut gate = TargetGate::default();
    let notice = TargetNotice { brittle: BrittleNotice::Stated(4), ..TargetNotice::default() };
    gate.apply_notice(SECOND, &instance, &ReceivedNotice { sent: Duration::ZERO, notice });
    let report = gate.refused(SECOND, &instance).expect("the schedulers learn of it");
    assert!(report.rest.is_some(), "{report:?}");
    assert_eq!(gate.stop(SECOND, &target), None);
    gate.refused(SECOND + STEP, &instance);
    assert_eq!(gate.stop(SECOND + STEP, &target), Some(GateStop::Brittle));
    assert_eq!(gate.stop(SECOND * 2 + STEP, &target), None);
    let absent = ReceivedNotice { sent: SECOND, notice: TargetNotice::default() };
    gate.refused(SECOND * 2 + STEP, &instance);
    gate.refused(SECOND * 2 + STEP, &instance);
    gate.apply_notice(SECOND * 2 + STEP, &instance, &absent);
    assert_eq!(gate.stop(SECOND * 2 + STEP, &target), None, "it is not brittle any more");
}
