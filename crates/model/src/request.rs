//! Request, permit and dispatch: one entry, schedulers and a network that may do anything, targets
//! that refuse, run, cut and leave unanswered, and that start again under their id with a request on its
//! way to the earlier life.
//!
//! The schedulers are not modelled as they are but as the worst that they and the network could be:
//! any answer to any attempt that was asked for may arrive from either scheduler at any time, any
//! number of times. That covers loss, repetition, delay, two schedulers at once and a scheduler that
//! wakes after a pause. The entry is the daemon's own state machine.

mod silence;

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
/// One step of the clock; longer than the entry waits for a sign of its scheduler.
const STEP: Duration = Duration::from_millis(300);
/// Targets that a scheduler may name.
const TARGETS: [&str; 2] = ["t0", "t1"];

/// A fault put into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFault {
    /// The protocol as it is.
    None,
    /// A connection that ends under a written request is taken for one that never stood.
    CutTakenForNotRun,
    /// The later life of a target says that it did not run a request that was written to the earlier one, and
    /// that is taken for proof.
    LaterLifeTakenForProof,
    /// Every grant is followed, also a repeated one.
    EveryGrantDispatches,
    /// A request that was sent and has no answer is refused as not run.
    UnansweredToldNotRun,
    /// A silent target is left before another one is granted.
    SilentTargetLeft,
    /// A refusal of another target ends the request.
    RefusalEndsRequest,
    /// The permit of a silent target that was left is not given back.
    KeptPermitLost,
}

/// The specification with its bounds.
#[derive(Clone, Debug)]
pub struct RequestModel {
    /// Fault put in.
    pub fault: RequestFault,
    /// Dispatches that the entry may try.
    pub attempts: u32,
    /// Steps of the clock; the deadline passes after `steps - 1`.
    pub steps: u8,
    /// Whether the request has a key, with the caller's attempt number.
    pub key: Option<Option<u32>>,
    /// Times that a target may be silent. Where there are any, the request may run more than once.
    pub silences: u8,
}

/// A state: the entry, what is under way at targets, what ran, what the caller was told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestState {
    now: Uptime,
    steps: u8,
    entry: EntryRequests,
    /// Which schedulers the entry sees.
    seen: [bool; 2],
    asked: BTreeSet<PermitId>,
    claimed: bool,
    exchanges: BTreeMap<PermitId, TargetId>,
    dispatched: BTreeMap<PermitId, u8>,
    runs: u8,
    told: Option<Verdict>,
    dispatched_after_end: bool,
    /// Permits with which targets were granted that are not given back.
    in_use: BTreeSet<PermitId>,
    silences: u8,
    /// Whether the target that has the request is silent.
    silent: bool,
    /// Another target that was granted; the holder of the connection has not seen it yet.
    offered: Option<(PermitId, TargetId)>,
    /// Whether a target that was left may have run it.
    may_have_run: bool,
    /// Whether it was left at a target that was at work, and is at none.
    left_at_work: bool,
    breach: Option<&'static str>,
}

impl RequestModel {
    fn order(state: &RequestState) -> Vec<DaemonId> {
        let order: Vec<DaemonId> = (0..2).filter(|index| state.seen[*index]).map(daemon).collect();
        if order.is_empty() {
            vec![daemon(0)]
        } else {
            order
        }
    }

    fn perform(&self, state: &mut RequestState, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::RequestPermit(_, ask) => {
                    state.asked.insert(ask.permit);
                }
                EntryAction::ClaimKey(_) => state.claimed = true,
                EntryAction::Dispatch { permit, target } => silence::offer(state, permit, target),
                EntryAction::Refuse(_, refusal) => silence::refuse(state, refusal.verdict),
                EntryAction::ReturnPermit(_, back) => silence::give_back(state, back.permit),
                EntryAction::HoldPermit(..)
                | EntryAction::Replay(..)
                | EntryAction::ReportKey(_)
                | EntryAction::RetryDenied(..)
                | EntryAction::Count(_) => {}
            }
        }
    }

    /// An answer of a scheduler arrives.
    fn answer(
        &self,
        state: &RequestState,
        from: usize,
        permit: PermitId,
        decision: &PermitDecision,
    ) -> RequestState {
        let mut next = state.clone();
        if self.ends_at_refusal(&next, permit, decision) {
            silence::refuse(&mut next, Verdict::NotRun);
            return next;
        }
        if let (RequestFault::EveryGrantDispatches, PermitDecision::Granted(target)) =
            (self.fault, decision)
        {
            if next.told.is_none() && next.entry.len() == 1 {
                dispatch(&mut next, permit, target.clone());
                return next;
            }
        }
        let answer = PermitAnswer { permit, pool: POOL.to_string(), decision: decision.clone() };
        let order = Self::order(&next);
        let from = daemon(from).vm;
        let actions = next.entry.permit_answered(next.now, &from, answer, &|_| order.clone());
        self.perform(&mut next, actions);
        next
    }

    fn answers(&self, state: &RequestState) -> Vec<(String, RequestState)> {
        let refused = |reason| PermitDecision::Refused(Refusal::not_run(reason, None));
        let refusals = [RefusalReason::QueueFull, RefusalReason::RateUnknown].map(refused);
        let mut decisions = vec![PermitDecision::Queued];
        decisions.extend(refusals);
        decisions.extend(TARGETS.map(|target| PermitDecision::Granted(target.to_string())));
        let mut steps = Vec::new();
        for permit in &state.asked {
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

    /// The holder of the key answers, as often as it likes.
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
            self.perform(&mut next, actions);
            (name, next)
        });
        steps.collect()
    }

    /// Every way in which an exchange with a target may go.
    fn exchange_ends(&self, state: &RequestState, permit: PermitId) -> Vec<(String, RequestState)> {
        let mut open = state.clone();
        open.exchanges.remove(&permit);
        let mut ends = Vec::new();
        let attempt = permit.attempt;
        let mut refused = open.clone();
        self.not_run(&mut refused);
        ends.push((format!("the target refuses the connection of attempt {attempt}"), refused));
        let mut whole = open.clone();
        whole.runs += 1;
        self.finish(&mut whole, Verdict::Ran);
        ends.push((format!("the target runs attempt {attempt} and answers"), whole));
        for ran in [true, false] {
            let mut cut = open.clone();
            cut.runs += u8::from(ran);
            match self.fault {
                RequestFault::CutTakenForNotRun => self.not_run(&mut cut),
                _ if self.silences > 0 => self.broke_off(&mut cut),
                _ => self.finish(&mut cut, Verdict::MayHaveRun),
            }
            let when = if ran { "after" } else { "before" };
            ends.push((format!("the connection of attempt {attempt} ends {when} it ran"), cut));
        }
        ends.extend([true, false].map(|ran| self.starts_again(&open, attempt, ran)));
        let mut left = open;
        left.runs += 1;
        let actions = left.entry.cancelled(request());
        self.perform(&mut left, actions);
        left.told = Some(Verdict::MayHaveRun);
        ends.push((format!("the caller leaves while attempt {attempt} runs"), left));
        ends
    }

    /// The target of an attempt starts again, and its later life declines what it is asked. The earlier one
    /// may have run the attempt.
    fn starts_again(&self, open: &RequestState, attempt: u32, ran: bool) -> (String, RequestState) {
        let mut next = open.clone();
        next.runs += u8::from(ran);
        match self.fault {
            RequestFault::LaterLifeTakenForProof => self.not_run(&mut next),
            _ => self.finish(&mut next, Verdict::MayHaveRun),
        }
        let when = if ran { "after" } else { "before" };
        (format!("the target of attempt {attempt} starts again {when} it ran"), next)
    }

    fn not_run(&self, state: &mut RequestState) {
        self.not_run_for(state, AttemptEnd::Failed, RetryReason::ConnectFailed);
    }

    fn not_run_for(&self, state: &mut RequestState, end: AttemptEnd, retry: RetryReason) {
        let order = Self::order(state);
        let actions = state.entry.not_run(state.now, request(), end, retry, &|_| order.clone());
        state.silent = false;
        self.perform(state, actions);
        silence::follow_offer(state);
    }

    fn finish(&self, state: &mut RequestState, verdict: Verdict) {
        let end =
            if verdict == Verdict::Ran { AttemptEnd::Whole(STEP) } else { AttemptEnd::Failed };
        let actions = state.entry.finished(request(), verdict, end, None);
        self.perform(state, actions);
        let untrue =
            self.fault == RequestFault::UnansweredToldNotRun && verdict == Verdict::MayHaveRun;
        state.told = Some(if untrue { Verdict::NotRun } else { verdict });
    }

    fn step_clock(&self, state: &RequestState) -> RequestState {
        let mut next = state.clone();
        next.now += STEP;
        next.steps += 1;
        let order = Self::order(&next);
        let actions = next.entry.tick(next.now, &|_| order.clone());
        self.perform(&mut next, actions);
        next
    }

    fn change_view(&self, state: &RequestState, index: usize) -> RequestState {
        let mut next = state.clone();
        next.seen[index] = !next.seen[index];
        let order = Self::order(&next);
        let actions = next.entry.schedulers_changed(next.now, &|_| order.clone());
        self.perform(&mut next, actions);
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
            seen: [true, true],
            asked: BTreeSet::new(),
            claimed: false,
            exchanges: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            runs: 0,
            told: None,
            dispatched_after_end: false,
            in_use: BTreeSet::new(),
            silences: 0,
            silent: false,
            offered: None,
            may_have_run: false,
            left_at_work: false,
            breach: None,
        };
        let order = Self::order(&state);
        let actions = state.entry.admit(state.now, self.spec(), &|_| order.clone());
        self.perform(&mut state, actions);
        state
    }

    fn successors(&self, state: &RequestState) -> Vec<(String, RequestState)> {
        let mut steps = self.answers(state);
        if state.claimed {
            steps.extend(self.key_answers(state));
        }
        for permit in state.exchanges.keys() {
            steps.extend(self.exchange_ends(state, *permit));
            steps.extend(self.silence_steps(state, *permit));
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
        if state.runs > 1 && self.silences == 0 {
            return Some("the request ran twice".to_string());
        }
        if state.told == Some(Verdict::NotRun) && state.runs > 0 {
            return Some("the caller was told \"not run\" and it ran".to_string());
        }
        if state.dispatched.values().any(|count| *count > 1) {
            return Some("one permit was used twice".to_string());
        }
        if state.dispatched_after_end {
            return Some("it was sent after its caller had its answer".to_string());
        }
        match self.silences {
            0 => None,
            _ => silence::violation(state, self.attempts).map(str::to_string),
        }
    }
}

fn dispatch(state: &mut RequestState, permit: PermitId, target: TargetId) {
    state.dispatched_after_end |= state.told.is_some();
    state.left_at_work = false;
    *state.dispatched.entry(permit).or_default() += 1;
    state.exchanges.insert(permit, target);
}

fn request() -> RequestId {
    RequestId::from_u128(1)
}

fn daemon(index: usize) -> DaemonId {
    DaemonId { vm: format!("s{index}"), incarnation: 1 }
}

/// A pool of targets with some slots each.
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
