//! Planned stop and leaving targets: a daemon that drains with requests in progress, a target whose
//! VM leaves.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use curlewcleat_core::{AttemptEnd, DaemonId, PermitId, RequestId, TargetId, Uptime, Verdict};
use curlewcleat_sched::{
    DrainInput, DrainPhase, DrainState, EntryAction, EntryOptions, EntryRequests, PoolOptions,
    PoolScheduler, RequestSpec, SchedulerAction,
};

use crate::explore::SpecModel;
use crate::request::pool;

const POOL: &str = "pool";
/// One step of the clock: the time that the balancer has to notice.
const STEP: Duration = Duration::from_secs(1);

/// A fault put into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainFault {
    /// The protocol as it is.
    None,
    /// The stop ends after a time, whatever is in progress.
    EndsByTimeOut,
    /// The scheduler is not told which targets leave.
    LeavingIgnored,
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
    exchanges: BTreeMap<PermitId, TargetId>,
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
                        answers.extend(state.scheduler.give_back(state.now, &back));
                    }
                    EntryAction::Dispatch { permit, target } => {
                        state.sent_to_leaving |= state.leaving && target == "t0";
                        state.exchanges.insert(permit, target);
                    }
                    _ => {}
                }
            } else {
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
        next.exchanges.remove(&permit);
        let end = AttemptEnd::Whole(Duration::from_millis(1));
        let actions = next.entry.finished(permit.request, Verdict::Ran, end, None);
        self.settle(&mut next, actions, Vec::new());
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
        scheduler.configure(PoolOptions::default(), &pool(&["t0", "t1"], 1));
        DrainModelState {
            now: Duration::ZERO,
            steps: 0,
            drain: DrainState::new(STEP, STEP),
            entry: EntryRequests::new(EntryOptions::default()),
            scheduler,
            arrived: 0,
            exchanges: BTreeMap::new(),
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
                next.scheduler.set_away(BTreeSet::from(["vm-t0".to_string()]));
            }
            steps.push(("the VM of target t0 leaves".to_string(), next));
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
        state.admitted_late.then(|| "a request was taken in while closing".to_string())
    }
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
