//! The requests of one entry: key, permit, dispatch, verdict.
//!
//! The entry that holds the caller's connection owns the request, and only it ever sends it to a
//! target. A request leaves the waiting phase exactly once per attempt, and a further attempt is
//! made only after proof that the earlier one did not run.

mod action;
mod options;
mod request;

use std::collections::BTreeMap;

use curlewcleat_core::{
    AttemptEnd, DaemonId, KeptAnswer, KeyAnswer, KeyDecision, PermitAnswer, PermitDecision,
    PermitHeld, PermitId, PermitReturn, PoolId, Refusal, RefusalReason, RequestId, RetryReason,
    TargetId, Uptime, Verdict, VmId,
};

pub use self::action::EntryAction;
pub use self::options::{EntryOptions, RequestSpec};
use self::request::{EntryRequest, RequestPhase};
use crate::advice::DEFAULT_ADVICE;
use crate::election::unresponsive::UnresponsiveSchedulers;
use crate::retry::budget::RetryBudget;
use crate::retry::{decide_retry, RetryDecision, RetryInput};

/// The requests that an entry owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryRequests {
    options: EntryOptions,
    budgets: BTreeMap<PoolId, RetryBudget>,
    /// Daemons that share the budgets.
    daemons: u64,
    requests: BTreeMap<RequestId, EntryRequest>,
    unresponsive: UnresponsiveSchedulers,
}

/// Daemons to ask for permits of a pool, best first.
type SchedulerOrder<'a> = &'a dyn Fn(&str) -> Vec<DaemonId>;

impl EntryRequests {
    /// An entry without requests.
    pub fn new(options: EntryOptions) -> EntryRequests {
        let waited = options.answer_timeout * options.answer_tries;
        EntryRequests {
            unresponsive: UnresponsiveSchedulers::new(options.avoid_for, waited),
            options,
            budgets: BTreeMap::new(),
            daemons: 1,
            requests: BTreeMap::new(),
        }
    }

    /// Requests owned.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is owned.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Requests sent to targets.
    pub fn dispatched(&self) -> usize {
        let dispatched =
            |request: &&EntryRequest| matches!(request.phase, RequestPhase::Dispatched { .. });
        self.requests.values().filter(dispatched).count()
    }

    /// Takes a request in.
    pub fn admit(
        &mut self,
        now: Uptime,
        spec: RequestSpec,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        self.budget_of(&spec.pool).earn(now);
        let deadline = now + spec.time_left;
        let id = spec.request;
        let wait_until = now.saturating_add(spec.objectives.wait_limit);
        let first_part_by = now.saturating_add(spec.objectives.first_part_by);
        let phase = RequestPhase::Claiming { tries: 1, sent: now };
        let request = EntryRequest {
            spec,
            deadline,
            wait_until,
            first_part_by,
            attempt: 0,
            unsent: 0,
            avoid: Vec::new(),
            unresponsive: Vec::new(),
            failed: None,
            phase,
        };
        let claim = request.claim();
        self.requests.insert(id, request);
        match claim {
            Some(claim) => vec![EntryAction::ClaimKey(claim)],
            None => self.request_permit(now, id, order),
        }
    }

    /// Takes the answer of a key's holder.
    pub fn key_answered(
        &mut self,
        now: Uptime,
        answer: KeyAnswer,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let id = answer.request;
        let claiming =
            |request: &EntryRequest| matches!(request.phase, RequestPhase::Claiming { .. });
        if !self.requests.get(&id).is_some_and(claiming) {
            // A request that went on without its answer stays claimed at the holder until it ends.
            return Vec::new();
        }
        match answer.decision {
            KeyDecision::First => self.request_permit(now, id, order),
            KeyDecision::Known(refusal) => self.drop_refused(id, refusal),
            KeyDecision::Answer(answer) => {
                self.requests.remove(&id);
                vec![EntryAction::Replay(id, answer)]
            }
            // The claim is sent again at its limit, by then with a newer table.
            KeyDecision::NotHolder(_) => Vec::new(),
        }
    }

    /// Takes the answer of a scheduler.
    pub fn permit_answered(
        &mut self,
        now: Uptime,
        from: &VmId,
        answer: PermitAnswer,
    ) -> Vec<EntryAction> {
        self.unresponsive.answered(from);
        match answer.decision {
            PermitDecision::Queued => self.queued(now, from, answer.permit),
            PermitDecision::Granted(target) => {
                self.granted(now, from, answer.permit, answer.pool, target)
            }
            PermitDecision::Refused(refusal) => self.refused(from, answer.permit, refusal),
        }
    }

    /// Whether a dispatch may still begin; consumes nothing and changes nothing.
    pub fn may_dispatch(&self, now: Uptime, permit: PermitId) -> bool {
        self.requests.get(&permit.request).is_some_and(|request| {
            let dispatched = matches!(request.phase, RequestPhase::Dispatched { .. });
            dispatched && request.attempt == permit.attempt && now < request.deadline
        })
    }

    /// An attempt ended for good: the request is answered and forgotten.
    pub fn finished(
        &mut self,
        id: RequestId,
        verdict: Verdict,
        end: AttemptEnd,
        answer: Option<KeptAnswer>,
    ) -> Vec<EntryAction> {
        let Some(request) = self.requests.remove(&id) else { return Vec::new() };
        let mut actions = request.return_permit(end);
        actions.extend(request.report(verdict, answer));
        actions
    }

    /// An attempt provably did not run. Tries again where time and budget allow it.
    pub fn not_run(
        &mut self,
        now: Uptime,
        id: RequestId,
        end: AttemptEnd,
        retry: RetryReason,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        let mut actions = request.return_permit(end);
        if let RequestPhase::Dispatched { target, .. } = &request.phase {
            request.avoid.push(target.clone());
        }
        request.attempt += 1;
        request.note_not_run(retry);
        let input = RetryInput {
            reason: retry,
            attempts: request.attempt - request.unsent,
            attempt_limit: request.spec.attempt_limit.unwrap_or(self.options.attempt_limit),
            deadline: request.deadline,
        };
        let pool = request.spec.pool.clone();
        match decide_retry(now, input, self.budget_of(&pool)) {
            RetryDecision::Again => {
                actions.push(EntryAction::Count(retry));
                actions.extend(self.request_permit(now, id, order));
            }
            RetryDecision::GiveUp(reason) => {
                // The permit is back already, so only the key is left to report.
                if let Some(request) = self.requests.remove(&id) {
                    actions.extend(request.report(Verdict::NotRun, None));
                }
                let refusal = Refusal::not_run(reason, Some(DEFAULT_ADVICE));
                actions.push(EntryAction::Refuse(id, refusal));
            }
        }
        actions
    }

    /// The caller has gone while its request waited.
    pub fn cancelled(&mut self, id: RequestId) -> Vec<EntryAction> {
        let Some(request) = self.requests.remove(&id) else { return Vec::new() };
        let mut actions = request.return_permit(AttemptEnd::Unused);
        let verdict = match request.phase {
            RequestPhase::Dispatched { .. } => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        };
        actions.extend(request.report(verdict, None));
        actions
    }

    /// The set of role takers has changed: asks go to the right scheduler, and it learns what is
    /// in flight.
    pub fn schedulers_changed(
        &mut self,
        now: Uptime,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let Some(request) = self.requests.get(&id) else { continue };
            let candidates = order(&request.spec.pool);
            let Some(best) = self.unresponsive.choose(now, &candidates, &request.unresponsive)
            else {
                continue;
            };
            match &request.phase {
                RequestPhase::Waiting { scheduler, .. } if *scheduler != best => {
                    actions.extend(request.return_permit(AttemptEnd::Unused));
                    actions.push(EntryAction::Count(RetryReason::SchedulerMoved));
                    actions.extend(self.request_permit(now, id, order));
                }
                RequestPhase::Dispatched { scheduler, target } if *scheduler != best => {
                    let held =
                        PermitHeld { request: request.permit_request(now), target: target.clone() };
                    actions.push(EntryAction::HoldPermit(best.clone(), held));
                    let target = target.clone();
                    self.set_phase(id, RequestPhase::Dispatched { scheduler: best, target });
                }
                _ => {}
            }
        }
        actions
    }

    /// A daemon was heard of, so it may be asked again.
    pub fn heard(&mut self, now: Uptime, vm: &VmId) {
        self.unresponsive.heard(now, vm);
    }

    /// Lets time pass: deadlines, silent schedulers, silent holders of keys.
    pub fn tick(&mut self, now: Uptime, order: SchedulerOrder<'_>) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        self.unresponsive.tick(now);
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let Some(request) = self.requests.get(&id) else { continue };
            match request.phase.clone() {
                RequestPhase::Dispatched { .. } => {}
                _ if now >= request.deadline => actions.extend(self.deadline_passed(id)),
                RequestPhase::Claiming { tries, sent } if now >= sent + self.options.key_limit => {
                    actions.extend(self.key_silent(now, id, tries, order));
                }
                RequestPhase::Waiting { sent, heard, silent, scheduler } => {
                    let limit = if heard {
                        self.options.refresh_every
                    } else {
                        self.options.answer_timeout
                    };
                    if now >= sent + limit {
                        actions
                            .extend(self.repeat_request(now, id, scheduler, heard, silent, order));
                    }
                }
                RequestPhase::Claiming { .. } => {}
            }
        }
        actions
    }

    fn deadline_passed(&mut self, id: RequestId) -> Vec<EntryAction> {
        let Some(request) = self.requests.remove(&id) else { return Vec::new() };
        let mut actions = request.return_permit(AttemptEnd::Unused);
        // A claim without an answer may be on its way; the holder is told so that the key is free.
        actions.extend(request.report(Verdict::NotRun, None));
        let refusal = match request.phase {
            RequestPhase::Claiming { .. } => request.unreachable_home(),
            _ => Refusal::not_run(RefusalReason::DeadlinePassed, Some(DEFAULT_ADVICE)),
        };
        actions.push(EntryAction::Refuse(id, refusal));
        actions
    }

    fn key_silent(
        &mut self,
        now: Uptime,
        id: RequestId,
        tries: u32,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        if tries < self.options.key_tries {
            request.phase = RequestPhase::Claiming { tries: tries + 1, sent: now };
            let claim = request.claim().map(EntryAction::ClaimKey);
            return claim
                .into_iter()
                .chain([EntryAction::Count(RetryReason::KeyHomeSilent)])
                .collect();
        }
        // A caller's first attempt needs no memory of earlier ones; a later one without a record
        // of it never runs, so it may go ahead.
        if request.first_attempt() {
            return self.request_permit(now, id, order);
        }
        let refusal = request.unreachable_home();
        let mut actions: Vec<EntryAction> =
            request.report(Verdict::NotRun, None).into_iter().collect();
        actions.extend(self.drop_refused(id, refusal));
        actions
    }

    fn repeat_request(
        &mut self,
        now: Uptime,
        id: RequestId,
        scheduler: VmId,
        heard: bool,
        silent: u32,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        if heard {
            // The scheduler answered last time; it is asked again so that its end is noticed.
            request.phase = RequestPhase::Waiting {
                scheduler: scheduler.clone(),
                sent: now,
                heard: false,
                silent: 0,
            };
            return vec![EntryAction::RequestPermit(scheduler, request.permit_request(now))];
        }
        let mut actions = vec![EntryAction::Count(RetryReason::SchedulerSilent)];
        if silent + 1 < self.options.answer_tries {
            let silent = silent + 1;
            request.phase =
                RequestPhase::Waiting { scheduler: scheduler.clone(), sent: now, heard, silent };
            actions.push(EntryAction::RequestPermit(scheduler, request.permit_request(now)));
            return actions;
        }
        actions.extend(request.return_permit(AttemptEnd::Unused));
        request.unresponsive.push(scheduler.clone());
        self.unresponsive.timed_out(now, scheduler);
        actions.extend(self.request_permit(now, id, order));
        actions
    }

    fn queued(&mut self, now: Uptime, from: &VmId, permit: PermitId) -> Vec<EntryAction> {
        if let Some(request) = self.requests.get_mut(&permit.request) {
            if let RequestPhase::Waiting { scheduler, sent, heard, silent } = &mut request.phase {
                if scheduler == from && request.attempt == permit.attempt {
                    *heard = true;
                    *silent = 0;
                    *sent = now;
                }
            }
        }
        Vec::new()
    }

    fn granted(
        &mut self,
        now: Uptime,
        from: &VmId,
        permit: PermitId,
        pool: PoolId,
        target: TargetId,
    ) -> Vec<EntryAction> {
        let unused = EntryAction::ReturnPermit(
            from.clone(),
            PermitReturn { permit, pool, end: AttemptEnd::Unused },
        );
        let Some(request) = self.requests.get(&permit.request) else { return vec![unused] };
        if request.attempt != permit.attempt {
            return vec![unused];
        }
        match &request.phase {
            RequestPhase::Claiming { .. } => vec![unused],
            RequestPhase::Waiting { .. } if now >= request.deadline => {
                let mut actions = vec![unused];
                actions.extend(self.deadline_passed(permit.request));
                actions
            }
            RequestPhase::Waiting { scheduler, .. } => {
                let mut actions = Vec::new();
                // A late grant of an earlier scheduler is good; the present one has to know of it.
                if scheduler != from {
                    let held =
                        PermitHeld { request: request.permit_request(now), target: target.clone() };
                    actions.push(EntryAction::HoldPermit(scheduler.clone(), held));
                }
                let phase =
                    RequestPhase::Dispatched { scheduler: from.clone(), target: target.clone() };
                self.set_phase(permit.request, phase);
                actions.push(EntryAction::Dispatch { permit, target });
                actions
            }
            RequestPhase::Dispatched { target: used, .. } if *used == target => Vec::new(),
            RequestPhase::Dispatched { target: used, .. } => {
                let held =
                    PermitHeld { request: request.permit_request(now), target: used.clone() };
                vec![EntryAction::HoldPermit(from.clone(), held)]
            }
        }
    }

    fn refused(&mut self, from: &VmId, permit: PermitId, refusal: Refusal) -> Vec<EntryAction> {
        let Some(request) = self.requests.get(&permit.request) else { return Vec::new() };
        let waits_there =
            matches!(&request.phase, RequestPhase::Waiting { scheduler, .. } if scheduler == from);
        if !waits_there || request.attempt != permit.attempt {
            return Vec::new();
        }
        // Where every target has failed the request, the latest failure says more than their absence.
        let refusal = match (refusal.reason, request.failed) {
            (RefusalReason::NoTarget, Some(retry)) => {
                Refusal { reason: retry.final_refusal(), ..refusal }
            }
            _ => refusal,
        };
        let mut actions: Vec<EntryAction> =
            request.report(Verdict::NotRun, None).into_iter().collect();
        actions.extend(self.drop_refused(permit.request, refusal));
        actions
    }

    fn drop_refused(&mut self, id: RequestId, refusal: Refusal) -> Vec<EntryAction> {
        self.requests.remove(&id);
        vec![EntryAction::Refuse(id, refusal)]
    }

    fn request_permit(
        &mut self,
        now: Uptime,
        id: RequestId,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let Some(request) = self.requests.get(&id) else { return Vec::new() };
        let candidates = order(&request.spec.pool);
        let Some(scheduler) = self.unresponsive.choose(now, &candidates, &request.unresponsive)
        else {
            return self
                .drop_refused(id, Refusal::not_run(RefusalReason::NoTarget, Some(DEFAULT_ADVICE)));
        };
        let request = request.permit_request(now);
        let phase = RequestPhase::Waiting {
            scheduler: scheduler.clone(),
            sent: now,
            heard: false,
            silent: 0,
        };
        self.set_phase(id, phase);
        vec![EntryAction::RequestPermit(scheduler, request)]
    }

    /// So many daemons share the retry budgets.
    pub fn set_daemons(&mut self, daemons: u64) {
        self.daemons = daemons;
        self.budgets.values_mut().for_each(|budget| budget.set_daemons(daemons));
    }

    fn budget_of(&mut self, pool: &PoolId) -> &mut RetryBudget {
        if !self.budgets.contains_key(pool) {
            let budget = RetryBudget::new(self.options.retries, self.daemons);
            self.budgets.insert(pool.clone(), budget);
        }
        self.budgets.entry(pool.clone()).or_default()
    }

    fn set_phase(&mut self, id: RequestId, phase: RequestPhase) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = phase;
        }
    }
}
