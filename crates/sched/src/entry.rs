//! The requests of one entry: key, permit, dispatch, verdict.
//!
//! The entry that holds the caller's connection owns the request, and only it ever sends it to a
//! target. A request leaves the waiting phase exactly once per attempt, and a further attempt is
//! made only after proof that the earlier one did not run.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    AccountId, AttemptEnd, DaemonId, KeptAnswer, KeyAnswer, KeyClaim, KeyDecision, KeyOutcome,
    PermitAnswer, PermitAsk, PermitDecision, PermitHeld, PermitId, PermitReturn, PoolId, Refusal,
    RefusalReason, RequestId, RetryReason, ServiceAims, TargetId, TierRank, Uptime, Verdict, VmId,
    WorkMicros,
};

use crate::budget::{RetryBudget, RetryLimits};

/// Times and bounds of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryOptions {
    /// Time for the first sign of the scheduler, then for each further one.
    pub ask_limit: Duration,
    /// Time between repeated asks while a request waits.
    pub ask_again: Duration,
    /// Time for the answer of the key's holder.
    pub key_limit: Duration,
    /// Claims sent before the holder counts as unreachable.
    pub key_tries: u32,
    /// Dispatches of a request at most.
    pub attempt_limit: u32,
    /// Time for which a silent scheduler is passed over.
    pub avoid_for: Duration,
    /// Asks sent to a silent scheduler before it is passed over.
    pub ask_tries: u32,
    /// Retries in each pool.
    pub retries: RetryLimits,
}

impl Default for EntryOptions {
    fn default() -> EntryOptions {
        EntryOptions {
            ask_limit: Duration::from_millis(250),
            ask_again: Duration::from_secs(1),
            key_limit: Duration::from_millis(150),
            key_tries: 3,
            attempt_limit: 3,
            avoid_for: Duration::from_secs(3),
            ask_tries: 2,
            retries: RetryLimits::default(),
        }
    }
}

/// A request as it is admitted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestSpec {
    /// Its id.
    pub request: RequestId,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Rank of its tier.
    pub tier: TierRank,
    /// Account that pays.
    pub account: AccountId,
    /// Time until its deadline.
    pub time_left: Duration,
    /// What its caller hopes for.
    pub aims: ServiceAims,
    /// Targets that it may be sent to, `None` for the entry's own limit.
    pub attempt_limit: Option<u32>,
    /// Prompt work.
    pub prompt_work: WorkMicros,
    /// Other work.
    pub output_work: WorkMicros,
    /// Hash of the prompt's beginning.
    pub prefix: Option<u64>,
    /// What it counts against its account's shared rate.
    pub cost: u64,
    /// The key of a request that may not be repeated, with the caller's attempt number.
    pub key: Option<(String, Option<u32>)>,
}

/// What an entry wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EntryAction {
    /// Send a claim to the holder of the key.
    ClaimKey(KeyClaim),
    /// Tell the holder of the key how a claimed request ended.
    ReportKey(KeyOutcome),
    /// Send an ask to a scheduler.
    AskPermit(VmId, PermitAsk),
    /// Send a permit or an ask back to the scheduler that has it.
    ReturnPermit(VmId, PermitReturn),
    /// Tell a scheduler of a permit in use.
    HoldPermit(VmId, PermitHeld),
    /// Send the request to the target. Given once per permit.
    Dispatch {
        /// The attempt.
        permit: PermitId,
        /// Where to.
        target: TargetId,
    },
    /// Answer the caller with a refusal.
    Refuse(RequestId, Refusal),
    /// Answer the caller with the kept answer of an earlier attempt.
    Replay(RequestId, KeptAnswer),
    /// Count a retry.
    Count(RetryReason),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RequestPhase {
    /// Waits for the holder of its key.
    Claiming { tries: u32, sent: Uptime },
    /// Waits for a permit.
    Waiting { scheduler: VmId, sent: Uptime, heard: bool, silent: u32 },
    /// Was sent to a target.
    Dispatched { scheduler: VmId, target: TargetId },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EntryRequest {
    spec: RequestSpec,
    deadline: Uptime,
    wait_until: Uptime,
    first_by: Uptime,
    attempt: u32,
    /// Permits that were not used, since this daemon knows better than to use their targets.
    unsent: u32,
    avoid: Vec<TargetId>,
    /// Why the latest attempt did not run.
    failed: Option<RetryReason>,
    phase: RequestPhase,
}

/// The requests that an entry owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryRequests {
    options: EntryOptions,
    budgets: BTreeMap<PoolId, RetryBudget>,
    /// Daemons that share the budgets.
    daemons: u64,
    requests: BTreeMap<RequestId, EntryRequest>,
    /// Schedulers that were silent, and until when they are passed over.
    silent: BTreeMap<VmId, Uptime>,
}

/// Daemons to ask for permits of a pool, best first.
type SchedulerOrder<'a> = &'a dyn Fn(&str) -> Vec<DaemonId>;

impl EntryRequests {
    /// An entry without requests.
    pub fn new(options: EntryOptions) -> EntryRequests {
        EntryRequests {
            options,
            budgets: BTreeMap::new(),
            daemons: 1,
            requests: BTreeMap::new(),
            silent: BTreeMap::new(),
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
        let wait_until = now.saturating_add(spec.aims.wait_limit);
        let first_by = now.saturating_add(spec.aims.first_by);
        let phase = RequestPhase::Claiming { tries: 1, sent: now };
        let request = EntryRequest {
            spec,
            deadline,
            wait_until,
            first_by,
            attempt: 0,
            unsent: 0,
            avoid: Vec::new(),
            failed: None,
            phase,
        };
        let claim = request.claim();
        self.requests.insert(id, request);
        match claim {
            Some(claim) => vec![EntryAction::ClaimKey(claim)],
            None => self.ask(now, id, order),
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
            KeyDecision::First => self.ask(now, id, order),
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
        self.silent.remove(from);
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
        if retry == RetryReason::TargetUnknown {
            // Nothing was sent, so it counts as no attempt.
            request.unsent += 1;
            actions.push(EntryAction::Count(retry));
            actions.extend(self.ask(now, id, order));
            return actions;
        }
        request.failed = Some(retry);
        // It was offered in time; from here on only its deadline counts.
        request.wait_until = request.deadline;
        let in_time = now < request.deadline;
        let attempt_limit = request.spec.attempt_limit.unwrap_or(self.options.attempt_limit);
        let attempts = request.attempt - request.unsent;
        let pool = request.spec.pool.clone();
        if in_time && attempts < attempt_limit && self.budget_of(&pool).spend(now) {
            actions.push(EntryAction::Count(retry));
            actions.extend(self.ask(now, id, order));
            return actions;
        }
        let refusal = Refusal::not_run(retry.final_refusal(), Some(Duration::from_secs(1)));
        // The permit is back already, so only the key is left to report.
        if let Some(request) = self.requests.remove(&id) {
            actions.extend(request.report(Verdict::NotRun, None));
        }
        actions.push(EntryAction::Refuse(id, refusal));
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
            let best = self.choose(now, &request.spec.pool, order);
            match &request.phase {
                RequestPhase::Waiting { scheduler, .. } if *scheduler != best => {
                    actions.extend(request.return_permit(AttemptEnd::Unused));
                    actions.push(EntryAction::Count(RetryReason::SchedulerMoved));
                    actions.extend(self.ask(now, id, order));
                }
                RequestPhase::Dispatched { scheduler, target } if *scheduler != best => {
                    let held = PermitHeld { ask: request.permit_ask(now), target: target.clone() };
                    actions.push(EntryAction::HoldPermit(best.clone(), held));
                    let target = target.clone();
                    self.set_phase(id, RequestPhase::Dispatched { scheduler: best, target });
                }
                _ => {}
            }
        }
        actions
    }

    /// Lets time pass: deadlines, silent schedulers, silent holders of keys.
    pub fn tick(&mut self, now: Uptime, order: SchedulerOrder<'_>) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        self.silent.retain(|_, until| now < *until);
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
                    let limit = if heard { self.options.ask_again } else { self.options.ask_limit };
                    if now >= sent + limit {
                        actions.extend(self.ask_again(now, id, scheduler, heard, silent, order));
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
            _ => Refusal::not_run(RefusalReason::DeadlinePassed, Some(Duration::from_secs(1))),
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
            return self.ask(now, id, order);
        }
        let refusal = request.unreachable_home();
        let mut actions: Vec<EntryAction> =
            request.report(Verdict::NotRun, None).into_iter().collect();
        actions.extend(self.drop_refused(id, refusal));
        actions
    }

    fn ask_again(
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
            return vec![EntryAction::AskPermit(scheduler, request.permit_ask(now))];
        }
        let mut actions = vec![EntryAction::Count(RetryReason::SchedulerSilent)];
        if silent + 1 < self.options.ask_tries {
            let silent = silent + 1;
            request.phase =
                RequestPhase::Waiting { scheduler: scheduler.clone(), sent: now, heard, silent };
            actions.push(EntryAction::AskPermit(scheduler, request.permit_ask(now)));
            return actions;
        }
        actions.extend(request.return_permit(AttemptEnd::Unused));
        self.silent.insert(scheduler, now + self.options.avoid_for);
        actions.extend(self.ask(now, id, order));
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
                    let held = PermitHeld { ask: request.permit_ask(now), target: target.clone() };
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
                let held = PermitHeld { ask: request.permit_ask(now), target: used.clone() };
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

    fn ask(&mut self, now: Uptime, id: RequestId, order: SchedulerOrder<'_>) -> Vec<EntryAction> {
        let Some(request) = self.requests.get(&id) else { return Vec::new() };
        let scheduler = self.choose(now, &request.spec.pool, order);
        let ask = request.permit_ask(now);
        let phase = RequestPhase::Waiting {
            scheduler: scheduler.clone(),
            sent: now,
            heard: false,
            silent: 0,
        };
        self.set_phase(id, phase);
        vec![EntryAction::AskPermit(scheduler, ask)]
    }

    /// The best scheduler that was not silent lately, or the best one if all were.
    fn choose(&self, now: Uptime, pool: &str, order: SchedulerOrder<'_>) -> VmId {
        let order = order(pool);
        let talks =
            |daemon: &&DaemonId| self.silent.get(&daemon.vm).is_none_or(|until| now >= *until);
        let best = order.iter().find(talks).or(order.first());
        best.map(|daemon| daemon.vm.clone()).unwrap_or_default()
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

impl EntryRequest {
    fn permit(&self) -> PermitId {
        PermitId { request: self.spec.request, attempt: self.attempt }
    }

    fn first_attempt(&self) -> bool {
        matches!(self.spec.key, Some((_, Some(1))))
    }

    fn claim(&self) -> Option<KeyClaim> {
        let (key, attempt) = self.spec.key.clone()?;
        Some(KeyClaim {
            request: self.spec.request,
            account: self.spec.account.clone(),
            key,
            attempt,
        })
    }

    fn report(&self, verdict: Verdict, answer: Option<KeptAnswer>) -> Option<EntryAction> {
        let claim = self.claim()?;
        Some(EntryAction::ReportKey(KeyOutcome { claim, verdict, answer }))
    }

    fn unreachable_home(&self) -> Refusal {
        let wait = Some(Duration::from_secs(1));
        if self.first_attempt() {
            return Refusal::not_run(RefusalReason::KeyHomeUnreachable, wait);
        }
        Refusal::may_have_run(RefusalReason::KeyHomeUnreachable, wait)
    }

    fn permit_ask(&self, now: Uptime) -> PermitAsk {
        PermitAsk {
            permit: self.permit(),
            pool: self.spec.pool.clone(),
            tier: self.spec.tier,
            account: self.spec.account.clone(),
            time_left: self.deadline.saturating_sub(now),
            aims: self.aims(now),
            prompt_work: self.spec.prompt_work,
            output_work: self.spec.output_work,
            prefix: self.spec.prefix,
            cost: self.spec.cost,
            avoid: self.avoid.clone(),
        }
    }

    /// What is left of the caller's aims. A request that was offered once is kept as long as it may
    /// wait.
    fn aims(&self, now: Uptime) -> ServiceAims {
        let aims = &self.spec.aims;
        let wait_limit = self.wait_until.saturating_sub(now);
        let forecast_limit = match self.failed {
            Some(_) => wait_limit,
            None => aims.forecast_limit.min(wait_limit),
        };
        let first_by = self.first_by.saturating_sub(now);
        ServiceAims { wait_limit, forecast_limit, first_by, ..*aims }
    }

    fn return_permit(&self, end: AttemptEnd) -> Vec<EntryAction> {
        let scheduler = match &self.phase {
            RequestPhase::Claiming { .. } => return Vec::new(),
            RequestPhase::Waiting { scheduler, .. }
            | RequestPhase::Dispatched { scheduler, .. } => scheduler,
        };
        let back = PermitReturn { permit: self.permit(), pool: self.spec.pool.clone(), end };
        vec![EntryAction::ReturnPermit(scheduler.clone(), back)]
    }
}
