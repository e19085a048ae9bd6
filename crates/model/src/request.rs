//! Model of request, permit and dispatch: one entry daemon, schedulers and a network without any guarantees, and
//! targets that refuse or run a request, close the connection, don't answer, or restart under their id while a request
//! is in transit to the previous instance.
//!
//! The schedulers aren't the product's code but the worst case of schedulers and network: any answer to any permit
//! request may arrive from either scheduler at any time, any number of times. That covers loss, repetition, delay, two
//! schedulers at once and a scheduler that resumes after a pause. The entry daemon is the product's state machine.

mod replacement;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, KeyAnswer, KeyDecision, PermitAnswer, PermitDecision, PermitId, PoolKind,
    Refusal, RefusalReason, RequestId, RetryReason, TargetEntry, TargetId, TargetPool, Uptime,
    Verdict,
};
use curlewcleat_sched::{EntryAction, EntryOptions, EntryRequests, RequestSpec};

use crate::explore::SpecModel;

const POOL: &str = "pool";
/// One step of the clock; longer than the entry daemon waits for an answer of its scheduler.
const STEP: Duration = Duration::from_millis(300);
/// Targets that a scheduler may grant.
const TARGETS: [&str; 2] = ["t0", "t1"];

/// A fault injected into the protocol, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFault {
    /// No fault.
    None,
    /// A connection that closes after the request was written is treated as one that was never established.
    ClosedTakenForNotRun,
    /// The new instance of a target reports that it did not run a request that was written to the previous instance,
    /// and this is accepted as proof.
    LaterInstanceTakenForProof,
    /// Every grant leads to a dispatch, also a repeated one.
    EveryGrantDispatches,
    /// A request that was sent and got no answer is reported as not run.
    UnansweredReportedNotRun,
    /// An unresponsive target is given up before another one is granted.
    UnresponsiveTargetAbandoned,
    /// A refusal of the permit for another target ends the request.
    RefusalEndsRequest,
    /// The permit of an unresponsive target that was replaced isn't returned.
    ReplacedPermitLost,
}

/// The specification and its bounds.
#[derive(Clone, Debug)]
pub struct RequestModel {
    /// Injected fault.
    pub fault: RequestFault,
    /// Number of dispatches that the entry daemon may try.
    pub attempts: u32,
    /// Number of clock steps; the deadline passes after `steps - 1`.
    pub steps: u8,
    /// Whether the request has a key, and the caller's attempt number if it is given.
    pub key: Option<Option<u32>>,
    /// Number of times that a target may be unresponsive. If it isn't 0, the request may run more than once.
    pub unresponsive_count: u8,
}

/// State of the entry daemon, the exchanges with targets, the runs, and the verdict that the caller received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestState {
    now: Uptime,
    steps: u8,
    entry: EntryRequests,
    /// Whether each scheduler is in the entry daemon's view.
    in_view: [bool; 2],
    requested_permits: BTreeSet<PermitId>,
    claimed: bool,
    exchanges: BTreeMap<PermitId, TargetId>,
    dispatched: BTreeMap<PermitId, u8>,
    runs: u8,
    reported_verdict: Option<Verdict>,
    dispatched_after_end: bool,
    /// Permits that were granted and have not been returned.
    unreturned_permits: BTreeSet<PermitId>,
    unresponsive_count: u8,
    /// Whether the target that has the request is unresponsive.
    is_unresponsive: bool,
    /// Another target that was granted, which the connection holder has not yet looked at.
    offered: Option<(PermitId, TargetId)>,
    /// Whether a target that was given up may have run the request.
    may_have_run: bool,
    /// Whether the request was taken from a working target and is at no other one.
    left_working_target: bool,
    /// Invariant that a step has violated.
    violated_invariant: Option<&'static str>,
}

impl RequestModel {
    fn order(state: &RequestState) -> Vec<DaemonId> {
        let order: Vec<DaemonId> =
            (0..2).filter(|index| state.in_view[*index]).map(daemon).collect();
        if order.is_empty() {
            vec![daemon(0)]
        } else {
            order
        }
    }

    fn perform_actions(&self, state: &mut RequestState, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::RequestPermit(_, request) => {
                    state.requested_permits.insert(request.permit);
                }
                EntryAction::ClaimKey(_) => state.claimed = true,
                EntryAction::Dispatch { permit, target } => {
                    replacement::offer(state, permit, target)
                }
                EntryAction::Refuse(_, refusal) => replacement::refuse(state, refusal.verdict),
                EntryAction::ReturnPermit(_, permit_return) => {
                    replacement::return_permit(state, permit_return.permit)
                }
                EntryAction::HoldPermit(..)
                | EntryAction::Replay(..)
                | EntryAction::ReportKey(_)
                | EntryAction::RetryDenied(..)
                | EntryAction::Count(_) => {}
            }
        }
    }

    /// Delivers an answer of a scheduler.
    fn answer(
        &self,
        state: &RequestState,
        from: usize,
        permit: PermitId,
        decision: &PermitDecision,
    ) -> RequestState {
        let mut next = state.clone();
        if self.ends_at_refusal(&next, permit, decision) {
            replacement::refuse(&mut next, Verdict::NotRun);
            return next;
        }
        if let (RequestFault::EveryGrantDispatches, PermitDecision::Granted(target)) =
            (self.fault, decision)
        {
            if next.reported_verdict.is_none() && next.entry.len() == 1 {
                dispatch(&mut next, permit, target.clone());
                return next;
            }
        }
        let answer = PermitAnswer { permit, pool: POOL.to_string(), decision: decision.clone() };
        let order = Self::order(&next);
        let from = daemon(from).vm;
        let actions = next.entry.permit_answered(next.now, &from, answer, &|_| order.clone());
        self.perform_actions(&mut next, actions);
        next
    }

    fn answers(&self, state: &RequestState) -> Vec<(String, RequestState)> {
        let refused = |reason| PermitDecision::Refused(Refusal::not_run(reason, None));
        let refusals = [RefusalReason::QueueFull, RefusalReason::RateUnknown].map(refused);
        let mut decisions = vec![PermitDecision::Queued];
        decisions.extend(refusals);
        decisions.extend(TARGETS.map(|target| PermitDecision::Granted(target.to_string())));
        let mut steps = Vec::new();
        for permit in &state.requested_permits {
            for from in 0..2 {
                for decision in &decisions {
                    let name = format!(
                        "scheduler {from} answers attempt {}: {decision:?}",
                        permit.attempt
                    );
                    steps.push((name, self.answer(state, from, *permit, decision)));
                }
            }
        }
        steps
    }

    /// Returns the answers of the key holder, which may arrive any number of times.
    fn key_answers(&self, state: &RequestState) -> Vec<(String, RequestState)> {
        let refused = Refusal::may_have_run(RefusalReason::KeyMayHaveRun, None);
        let decisions =
            [KeyDecision::First, KeyDecision::Known(refused), KeyDecision::NotHolder(9)];
        let steps = decisions.into_iter().map(|decision| {
            let mut next = state.clone();
            let order = Self::order(&next);
            let name = format!("the key's holder answers {decision:?}");
            let answer = KeyAnswer { request: request(), decision };
            let actions = next.entry.key_answered(next.now, answer, &|_| order.clone());
            self.perform_actions(&mut next, actions);
            (name, next)
        });
        steps.collect()
    }

    /// Returns the possible ends of an exchange with a target.
    fn exchange_ends(&self, state: &RequestState, permit: PermitId) -> Vec<(String, RequestState)> {
        let mut open = state.clone();
        open.exchanges.remove(&permit);
        let mut ends = Vec::new();
        let attempt = permit.attempt;
        let mut refused = open.clone();
        self.not_run(&mut refused);
        ends.push((format!("the target refuses the connection of attempt {attempt}"), refused));
        let mut complete = open.clone();
        complete.runs += 1;
        self.finish(&mut complete, Verdict::Ran);
        ends.push((format!("the target runs attempt {attempt} and answers"), complete));
        for ran in [true, false] {
            let mut closed = open.clone();
            closed.runs += u8::from(ran);
            match self.fault {
                RequestFault::ClosedTakenForNotRun => self.not_run(&mut closed),
                _ if self.unresponsive_count > 0 => self.interrupt(&mut closed),
                _ => self.finish(&mut closed, Verdict::MayHaveRun),
            }
            let when = if ran { "after" } else { "before" };
            ends.push((
                format!("the connection of attempt {attempt} closes {when} it ran"),
                closed,
            ));
        }
        ends.extend([true, false].map(|ran| self.restart_target(&open, attempt, ran)));
        let mut disconnected = open;
        disconnected.runs += 1;
        let actions = disconnected.entry.cancelled(request());
        self.perform_actions(&mut disconnected, actions);
        disconnected.reported_verdict = Some(Verdict::MayHaveRun);
        ends.push((format!("the caller disconnects while attempt {attempt} runs"), disconnected));
        ends
    }

    /// Restarts the target of an attempt. The new instance declines the attempt, which the previous instance may have
    /// run.
    fn restart_target(
        &self,
        open: &RequestState,
        attempt: u32,
        ran: bool,
    ) -> (String, RequestState) {
        let mut next = open.clone();
        next.runs += u8::from(ran);
        match self.fault {
            RequestFault::LaterInstanceTakenForProof => self.not_run(&mut next),
            _ => self.finish(&mut next, Verdict::MayHaveRun),
        }
        let when = if ran { "after" } else { "before" };
        (format!("the target of attempt {attempt} restarts {when} it ran"), next)
    }

    fn not_run(&self, state: &mut RequestState) {
        self.not_run_for(state, AttemptEnd::Failed, RetryReason::ConnectFailed);
    }

    fn not_run_for(&self, state: &mut RequestState, end: AttemptEnd, retry: RetryReason) {
        let order = Self::order(state);
        let actions = state.entry.not_run(state.now, request(), end, retry, &|_| order.clone());
        state.is_unresponsive = false;
        self.perform_actions(state, actions);
        replacement::follow_offer(state);
    }

    fn finish(&self, state: &mut RequestState, verdict: Verdict) {
        let end =
            if verdict == Verdict::Ran { AttemptEnd::Whole(STEP) } else { AttemptEnd::Failed };
        let actions = state.entry.finished(request(), verdict, end, None);
        self.perform_actions(state, actions);
        let is_false =
            self.fault == RequestFault::UnansweredReportedNotRun && verdict == Verdict::MayHaveRun;
        state.reported_verdict = Some(if is_false { Verdict::NotRun } else { verdict });
    }

    fn step_clock(&self, state: &RequestState) -> RequestState {
        let mut next = state.clone();
        next.now += STEP;
        next.steps += 1;
        let order = Self::order(&next);
        let actions = next.entry.tick(next.now, &|_| order.clone());
        self.perform_actions(&mut next, actions);
        next
    }

    fn change_view(&self, state: &RequestState, index: usize) -> RequestState {
        let mut next = state.clone();
        next.in_view[index] = !next.in_view[index];
        let order = Self::order(&next);
        let actions = next.entry.schedulers_changed(next.now, &|_| order.clone());
        self.perform_actions(&mut next, actions);
        next
    }

    fn spec(&self) -> RequestSpec {
        RequestSpec {
            request: request(),
            pool: POOL.to_string(),
            account: "a".to_string(),
            time_left: STEP * u32::from(self.steps.max(2) - 1),
            cost: 1,
            output_work: 1_000,
            key: self.key.map(|attempt| ("key".to_string(), attempt)),
            ..RequestSpec::default()
        }
    }
}

impl SpecModel for RequestModel {
    type State = RequestState;

    fn initial(&self) -> RequestState {
        let options = EntryOptions { attempt_limit: self.attempts, ..EntryOptions::default() };
        let mut state = RequestState {
            now: Duration::ZERO,
            steps: 0,
            entry: EntryRequests::new(options),
            in_view: [true, true],
            requested_permits: BTreeSet::new(),
            claimed: false,
            exchanges: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            runs: 0,
            reported_verdict: None,
            dispatched_after_end: false,
            unreturned_permits: BTreeSet::new(),
            unresponsive_count: 0,
            is_unresponsive: false,
            offered: None,
            may_have_run: false,
            left_working_target: false,
            violated_invariant: None,
        };
        let order = Self::order(&state);
        let actions = state.entry.admit(state.now, self.spec(), &|_| order.clone());
        self.perform_actions(&mut state, actions);
        state
    }

    fn successors(&self, state: &RequestState) -> Vec<(String, RequestState)> {
        let mut steps = self.answers(state);
        if state.claimed {
            steps.extend(self.key_answers(state));
        }
        for permit in state.exchanges.keys() {
            steps.extend(self.exchange_ends(state, *permit));
            steps.extend(self.unresponsive_steps(state, *permit));
        }
        if state.steps < self.steps {
            steps.push(("300 ms pass".to_string(), self.step_clock(state)));
        }
        for index in 0..2 {
            steps.push((
                format!("the view of scheduler {index} changes"),
                self.change_view(state, index),
            ));
        }
        steps
    }

    fn violation(&self, state: &RequestState) -> Option<String> {
        if state.runs > 1 && self.unresponsive_count == 0 {
            return Some("the request ran twice".to_string());
        }
        if state.reported_verdict == Some(Verdict::NotRun) && state.runs > 0 {
            return Some("the request was reported as not run and it ran".to_string());
        }
        if state.dispatched.values().any(|count| *count > 1) {
            return Some("one permit was used twice".to_string());
        }
        if state.dispatched_after_end {
            return Some("the request was sent after its caller had the answer".to_string());
        }
        match self.unresponsive_count {
            0 => None,
            _ => replacement::violation(state, self.attempts).map(str::to_string),
        }
    }
}

fn dispatch(state: &mut RequestState, permit: PermitId, target: TargetId) {
    state.dispatched_after_end |= state.reported_verdict.is_some();
    state.left_working_target = false;
    *state.dispatched.entry(permit).or_default() += 1;
    state.exchanges.insert(permit, target);
}

fn request() -> RequestId {
    RequestId::from_u128(1)
}

fn daemon(index: usize) -> DaemonId {
    DaemonId { vm: format!("s{index}"), incarnation: 1 }
}

/// Creates a pool of targets with the given number of slots each.
pub(crate) fn pool(targets: &[&str], slots: u32) -> TargetPool {
    let entry = |id: &&str| {
        let entry = TargetEntry {
            id: id.to_string(),
            vm: format!("vm-{id}"),
            slots,
            ..TargetEntry::default()
        };
        (id.to_string(), entry)
    };
    TargetPool {
        id: POOL.to_string(),
        kind: PoolKind::Service,
        queue_limit: 100,
        cached_prefixes: 16,
        base_us: 1_000,
        targets: targets.iter().map(entry).collect(),
        ..TargetPool::default()
    }
}
