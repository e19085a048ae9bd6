//! Planned stop and leaving targets: a daemon that drains with requests in progress, a target whose
//! VM leaves, and that starts again under its id while requests to its earlier life are in progress.

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
/// One step of the clock: the time that the balancer has to notice.
const STEP: Duration = Duration::from_secs(1);
/// The target that starts again.
const RESTARTED: &str = "t0";
/// Starts of its lives; the third is none of its own.
const FIRST_START: TargetStart = TargetStart(1);
const SECOND_START: TargetStart = TargetStart(2);
const THIRD_START: TargetStart = TargetStart(3);

/// A fault put into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainFault {
    /// The protocol as it is.
    None,
    /// The stop ends after a time, whatever is in progress.
    EndsByTimeOut,
    /// The scheduler is not told which targets leave.
    LeavingIgnored,
    /// The scheduler is not told that a target has started again.
    StartIgnored,
    /// An entry of the earlier life that comes late is taken for a start.
    LateEntryTaken,
}

/// The specification with its bounds.
#[derive(Clone, Debug)]
pub struct DrainModel {
    /// Fault put in.
    pub fault: DrainFault,
    /// Requests.
    pub requests: u8,
    /// Steps of the clock.
    pub steps: u8,
}

/// A state: one daemon that is entry and scheduler, two targets with a slot each.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DrainModelState {
    now: Uptime,
    steps: u8,
    drain: DrainState,
    entry: EntryRequests,
    scheduler: PoolScheduler,
    arrived: u8,
    exchanges: BTreeMap<PermitId, TargetInstance>,
    /// Start of the life of `t0`.
    start: TargetStart,
    /// Whether an entry of its earlier life came late.
    late_entry: bool,
    leaving: bool,
    cut_off: bool,
    sent_to_leaving: bool,
    admitted_late: bool,
}

impl DrainModel {
    /// Runs actions of the entry and answers of the scheduler until nothing is left to do.
    fn settle(
        &self,
        state: &mut DrainModelState,
        actions: Vec<EntryAction>,
        answers: Vec<SchedulerAction>,
    ) {
        let mut actions: VecDeque<EntryAction> = actions.into();
        let mut answers: VecDeque<SchedulerAction> = answers.into();
        loop {
            if let Some(answer) = answers.pop_front() {
                let order = |_: &str| vec![me()];
                let answer = answer.answer;
                actions.extend(state.entry.permit_answered(state.now, &me().vm, answer, &order));
            } else if let Some(action) = actions.pop_front() {
                match action {
                    EntryAction::RequestPermit(_, ask) => {
                        answers.extend(state.scheduler.request_permit(state.now, me(), ask))
                    }
                    EntryAction::ReturnPermit(_, back) => {
                        answers.extend(state.scheduler.return_permit(state.now, &back));
                    }
                    EntryAction::Dispatch { permit, target } => {
                        state.sent_to_leaving |= state.leaving && target == RESTARTED;
                        let start = (target == RESTARTED).then_some(state.start);
                        state.exchanges.insert(permit, TargetInstance { id: target, start });
                    }
                    _ => {}
                }
            } else {
                // All requests have one urgency, whose share is all.
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
        next.admitted_late |= next.drain.phase() >= DrainPhase::Closing;
        let actions = next.entry.admit(next.now, spec(next.arrived), &|_| vec![me()]);
        self.settle(&mut next, actions, Vec::new());
        next
    }

    fn finish(&self, state: &DrainModelState, permit: PermitId) -> DrainModelState {
        let mut next = state.clone();
        let ended = next.exchanges.remove(&permit);
        let instance = TargetInstance { id: RESTARTED.to_string(), start: Some(state.start) };
        // What was under way to an earlier life has no answer.
        let is_cut = ended.is_some_and(|ended| ended.id == instance.id && ended != instance);
        let (verdict, end) = match is_cut {
            true => (Verdict::MayHaveRun, AttemptEnd::Failed),
            false => (Verdict::Ran, AttemptEnd::Whole(Duration::from_millis(1))),
        };
        let actions = next.entry.finished(permit.request, verdict, end, None);
        self.settle(&mut next, actions, Vec::new());
        next
    }

    /// Target `t0` starts again: it runs nothing and no longer leaves.
    fn start_again(&self, state: &DrainModelState) -> DrainModelState {
        let mut next = state.clone();
        next.start = SECOND_START;
        next.leaving = false;
        if self.fault != DrainFault::StartIgnored {
            next.scheduler.configure(PoolOptions::default(), &targets(next.start));
        }
        next.scheduler.set_leaving_vms(BTreeSet::new());
        let answers = next.scheduler.tick(next.now);
        self.settle(&mut next, Vec::new(), answers);
        next
    }

    /// An entry of the earlier life of `t0` comes after that of the later one.
    fn take_late_entry(&self, state: &DrainModelState) -> DrainModelState {
        let mut next = state.clone();
        next.late_entry = true;
        let start = match self.fault {
            DrainFault::LateEntryTaken => THIRD_START,
            _ => FIRST_START,
        };
        next.scheduler.configure(PoolOptions::default(), &targets(start));
        let answers = next.scheduler.tick(next.now);
        self.settle(&mut next, Vec::new(), answers);
        next
    }

    fn step_clock(&self, state: &DrainModelState) -> DrainModelState {
        let mut next = state.clone();
        next.now += STEP;
        next.steps += 1;
        let actions = next.entry.tick(next.now, &|_| vec![me()]);
        let answers = next.scheduler.tick(next.now);
        self.settle(&mut next, actions, answers);
        let requests = if self.fault == DrainFault::EndsByTimeOut { 0 } else { next.entry.len() };
        next.drain.tick(next.now, DrainInput { requests, slots_held: 0 });
        next.cut_off |= next.drain.phase() == DrainPhase::Ended && !next.entry.is_empty();
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
            cut_off: false,
            sent_to_leaving: false,
            admitted_late: false,
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
            steps.push(("the stop begins".to_string(), next));
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
            steps.push(("target t0 starts again".to_string(), self.start_again(state)));
        } else if !state.late_entry {
            let name = "an entry of the earlier life of t0 comes late".to_string();
            steps.push((name, self.take_late_entry(state)));
        }
        if state.steps < self.steps {
            steps.push(("1 s passes".to_string(), self.step_clock(state)));
        }
        steps
    }

    fn violation(&self, state: &DrainModelState) -> Option<String> {
        if state.cut_off {
            return Some("the stop cut a request off".to_string());
        }
        if state.sent_to_leaving {
            return Some("a leaving target got new work".to_string());
        }
        let instance = TargetInstance { id: RESTARTED.to_string(), start: Some(state.start) };
        let running = state.exchanges.values().filter(|running| **running == instance).count();
        if state.scheduler.targets()[RESTARTED].in_flight != running as u32 {
            return Some(
                "the places in use are not those of the target's present life".to_string(),
            );
        }
        state.admitted_late.then(|| "a request was taken in while closing".to_string())
    }
}

/// Two targets with a slot each, of which the first tells its start.
fn targets(start: TargetStart) -> TargetPool {
    let mut pool = pool(&[RESTARTED, "t1"], 1);
    if let Some(entry) = pool.targets.get_mut(RESTARTED) {
        entry.start = Some(start);
    }
    pool
}

fn me() -> DaemonId {
    DaemonId { vm: "d".to_string(), incarnation: 1 }
}

fn spec(number: u8) -> RequestSpec {
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
