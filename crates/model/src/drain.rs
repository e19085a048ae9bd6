//! Model of a planned stop and of leaving targets: a daemon drains with requests in progress, the VM of a target
//! leaves, and that target restarts under its id while requests to its previous instance are in progress.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, PermitId, RequestId, TargetInstance, TargetPool, TargetStart, Uptime,
    Verdict,
};
use curlewcleat_sched::{
    DrainInput, DrainPhase, DrainState, EntryAction, EntryOptions, EntryRequests, PoolOptions,
    PoolScheduler, RequestSpec, SchedulerAction,
};

use crate::explore::SpecModel;
use crate::request::pool;

const POOL: &str = "pool";
/// One step of the clock: the time that the load balancer has to detect that the daemon drains.
const STEP: Duration = Duration::from_secs(1);
/// The target that restarts.
const RESTARTED: &str = "t0";
/// Starts of its two instances. The third start belongs to no instance.
const FIRST_START: TargetStart = TargetStart(1);
const SECOND_START: TargetStart = TargetStart(2);
const THIRD_START: TargetStart = TargetStart(3);

/// A fault injected into the protocol, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainFault {
    /// No fault.
    None,
    /// The drain ends after a timeout although requests are in progress.
    EndsByTimeOut,
    /// The scheduler isn't informed which targets leave.
    LeavingIgnored,
    /// The scheduler isn't informed that a target has restarted.
    StartIgnored,
    /// A late list entry of the previous instance is treated as a new start.
    LateEntryTaken,
}

/// The specification and its bounds.
#[derive(Clone, Debug)]
pub struct DrainModel {
    /// Injected fault.
    pub fault: DrainFault,
    /// Number of requests.
    pub requests: u8,
    /// Number of clock steps.
    pub steps: u8,
}

/// State of one daemon that is entry daemon and scheduler, and of two targets with one slot each.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DrainModelState {
    now: Uptime,
    steps: u8,
    drain: DrainState,
    entry: EntryRequests,
    scheduler: PoolScheduler,
    arrived: u8,
    exchanges: BTreeMap<PermitId, TargetInstance>,
    /// Start of the current instance of `t0`.
    start: TargetStart,
    /// Whether a late list entry of its previous instance has arrived.
    late_entry: bool,
    leaving: bool,
    interrupted_request: bool,
    sent_to_leaving: bool,
    admitted_while_closing: bool,
}

impl DrainModel {
    /// Performs actions of the entry daemon and delivers answers of the scheduler until none remain.
    fn run_actions(
        &self,
        state: &mut DrainModelState,
        actions: Vec<EntryAction>,
        answers: Vec<SchedulerAction>,
    ) {
        let mut actions: VecDeque<EntryAction> = actions.into();
        let mut answers: VecDeque<SchedulerAction> = answers.into();
        loop {
            if let Some(answer) = answers.pop_front() {
                let order = |_: &str| vec![local_daemon()];
                let answer = answer.answer;
                actions.extend(state.entry.permit_answered(
                    state.now,
                    &local_daemon().vm,
                    answer,
                    &order,
                ));
            } else if let Some(action) = actions.pop_front() {
                match action {
                    EntryAction::RequestPermit(_, request) => answers
                        .extend(state.scheduler.request_permit(state.now, local_daemon(), request)),
                    EntryAction::ReturnPermit(_, permit_return) => {
                        answers.extend(state.scheduler.return_permit(state.now, &permit_return));
                    }
                    EntryAction::Dispatch { permit, target } => {
                        state.sent_to_leaving |= state.leaving && target == RESTARTED;
                        let start = (target == RESTARTED).then_some(state.start);
                        state.exchanges.insert(permit, TargetInstance { id: target, start });
                    }
                    _ => {}
                }
            } else {
                // All requests have the same urgency, which has the whole capacity.
                state.scheduler.clear_flows();
                return;
            }
        }
    }

    fn arrive(&self, state: &DrainModelState) -> DrainModelState {
        let mut next = state.clone();
        next.arrived += 1;
        if !next.drain.admits() {
            return next;
        }
        next.admitted_while_closing |= next.drain.phase() >= DrainPhase::Closing;
        let actions =
            next.entry.admit(next.now, request_spec(next.arrived), &|_| vec![local_daemon()]);
        self.run_actions(&mut next, actions, Vec::new());
        next
    }

    fn finish(&self, state: &DrainModelState, permit: PermitId) -> DrainModelState {
        let mut next = state.clone();
        let finished = next.exchanges.remove(&permit);
        let instance = TargetInstance { id: RESTARTED.to_string(), start: Some(state.start) };
        // Requests in progress at the previous instance get no answer.
        let is_lost =
            finished.is_some_and(|finished| finished.id == instance.id && finished != instance);
        let (verdict, end) = match is_lost {
            true => (Verdict::MayHaveRun, AttemptEnd::Failed),
            false => (Verdict::Ran, AttemptEnd::Whole(Duration::from_millis(1))),
        };
        let actions = next.entry.finished(permit.request, verdict, end, None);
        self.run_actions(&mut next, actions, Vec::new());
        next
    }

    /// Restarts target `t0`: it runs nothing and no longer leaves.
    fn restart_target(&self, state: &DrainModelState) -> DrainModelState {
        let mut next = state.clone();
        next.start = SECOND_START;
        next.leaving = false;
        if self.fault != DrainFault::StartIgnored {
            next.scheduler.configure(PoolOptions::default(), &targets(next.start));
        }
        next.scheduler.set_leaving_vms(BTreeSet::new());
        let answers = next.scheduler.tick(next.now);
        self.run_actions(&mut next, Vec::new(), answers);
        next
    }

    /// Applies a list entry of the previous instance of `t0` after the entry of the current one.
    fn apply_late_entry(&self, state: &DrainModelState) -> DrainModelState {
        let mut next = state.clone();
        next.late_entry = true;
        let start = match self.fault {
            DrainFault::LateEntryTaken => THIRD_START,
            _ => FIRST_START,
        };
        next.scheduler.configure(PoolOptions::default(), &targets(start));
        let answers = next.scheduler.tick(next.now);
        self.run_actions(&mut next, Vec::new(), answers);
        next
    }

    fn step_clock(&self, state: &DrainModelState) -> DrainModelState {
        let mut next = state.clone();
        next.now += STEP;
        next.steps += 1;
        let actions = next.entry.tick(next.now, &|_| vec![local_daemon()]);
        let answers = next.scheduler.tick(next.now);
        self.run_actions(&mut next, actions, answers);
        let requests = if self.fault == DrainFault::EndsByTimeOut { 0 } else { next.entry.len() };
        next.drain.tick(next.now, DrainInput { requests, slots_held: 0 });
        next.interrupted_request |=
            next.drain.phase() == DrainPhase::Ended && !next.entry.is_empty();
        next
    }
}

impl SpecModel for DrainModel {
    type State = DrainModelState;

    fn initial(&self) -> DrainModelState {
        let mut scheduler = PoolScheduler::new(POOL.to_string(), PoolOptions::default());
        scheduler.configure(PoolOptions::default(), &targets(FIRST_START));
        DrainModelState {
            now: Duration::ZERO,
            steps: 0,
            drain: DrainState::new(STEP, STEP),
            entry: EntryRequests::new(EntryOptions::default()),
            scheduler,
            arrived: 0,
            exchanges: BTreeMap::new(),
            start: FIRST_START,
            late_entry: false,
            leaving: false,
            interrupted_request: false,
            sent_to_leaving: false,
            admitted_while_closing: false,
        }
    }

    fn successors(&self, state: &DrainModelState) -> Vec<(String, DrainModelState)> {
        let mut steps = Vec::new();
        if state.drain.phase() == DrainPhase::Ended {
            return steps;
        }
        if state.arrived < self.requests {
            steps.push(("a request arrives".to_string(), self.arrive(state)));
        }
        for permit in state.exchanges.keys() {
            steps.push((
                format!("request {} finishes", permit.request.as_u128()),
                self.finish(state, *permit),
            ));
        }
        if state.drain.ready() {
            let mut next = state.clone();
            next.drain.begin(next.now);
            steps.push(("the drain begins".to_string(), next));
        }
        if !state.leaving {
            let mut next = state.clone();
            next.leaving = true;
            if self.fault != DrainFault::LeavingIgnored {
                next.scheduler.set_leaving_vms(BTreeSet::from(["vm-t0".to_string()]));
            }
            steps.push(("the VM of target t0 leaves".to_string(), next));
        }
        if state.start == FIRST_START {
            steps.push(("target t0 restarts".to_string(), self.restart_target(state)));
        } else if !state.late_entry {
            let name = "a late list entry of the previous instance of t0 arrives".to_string();
            steps.push((name, self.apply_late_entry(state)));
        }
        if state.steps < self.steps {
            steps.push(("1 s passes".to_string(), self.step_clock(state)));
        }
        steps
    }

    fn violation(&self, state: &DrainModelState) -> Option<String> {
        if state.interrupted_request {
            return Some("the drain ended with a request in progress".to_string());
        }
        if state.sent_to_leaving {
            return Some("a leaving target got new work".to_string());
        }
        let instance = TargetInstance { id: RESTARTED.to_string(), start: Some(state.start) };
        let running = state.exchanges.values().filter(|running| **running == instance).count();
        if state.scheduler.targets()[RESTARTED].in_flight != running as u32 {
            return Some(
                "the slots in use are not those of the target's current instance".to_string(),
            );
        }
        state.admitted_while_closing.then(|| "a request was admitted while closing".to_string())
    }
}

/// Creates a pool of two targets with one slot each; the first one has a known start.
fn targets(start: TargetStart) -> TargetPool {
    let mut pool = pool(&[RESTARTED, "t1"], 1);
    if let Some(entry) = pool.targets.get_mut(RESTARTED) {
        entry.start = Some(start);
    }
    pool
}

fn local_daemon() -> DaemonId {
    DaemonId { vm: "d".to_string(), incarnation: 1 }
}

fn request_spec(number: u8) -> RequestSpec {
    RequestSpec {
        request: RequestId::from_u128(u128::from(number)),
        pool: POOL.to_string(),
        account: "a".to_string(),
        time_left: Duration::from_secs(60),
        cost: 1,
        output_work: 1_000,
        ..RequestSpec::default()
    }
}
