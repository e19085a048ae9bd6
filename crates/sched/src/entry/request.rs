//! One request of an entry.
//!
//! Owns: the phase of one request. Relies on: `EntryRequests` for the transitions.

use curlewcleat_core::{
    AttemptEnd, KeptAnswer, KeyClaim, KeyOutcome, LatencyObjectives, PermitHeld, PermitId,
    PermitRequest, PermitReturn, Refusal, RefusalReason, RetryReason, TargetId, Uptime, Verdict,
    VmId,
};

use super::action::EntryAction;
use super::options::RequestSpec;
use crate::advice::DEFAULT_ADVICE;
use crate::retry::RetryInput;

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum RequestPhase {
    /// Waits for the holder of its key.
    Claiming { tries: u32, sent: Uptime },
    /// Waits for a permit.
    Waiting(PermitWait),
    /// Was sent to a target, or is about to be.
    Dispatched(UsedPermit),
}

/// A permit with which a request was sent to a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct UsedPermit {
    pub attempt: u32,
    pub scheduler: VmId,
    pub target: TargetId,
}

/// The wait for a scheduler's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PermitWait {
    pub scheduler: VmId,
    /// When it was asked last, or answered that the request is queued.
    pub sent: Uptime,
    /// Whether it has answered since it was asked last.
    pub acknowledged: bool,
    /// Times that it did not answer within the limit, in succession.
    pub timeouts: u32,
}

impl PermitWait {
    /// The wait that begins when a scheduler is asked.
    pub fn begin(scheduler: VmId, sent: Uptime, timeouts: u32) -> PermitWait {
        PermitWait { scheduler, sent, acknowledged: false, timeouts }
    }
}

/// A request that the entry owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct EntryRequest {
    pub spec: RequestSpec,
    pub deadline: Uptime,
    pub wait_until: Uptime,
    pub first_part_by: Uptime,
    pub attempt: u32,
    /// Permits that were not used, since this daemon knows better than to use their targets.
    pub unsent: u32,
    pub avoid: Vec<TargetId>,
    /// Schedulers that did not answer for this request.
    pub unresponsive: Vec<VmId>,
    /// Why the latest attempt did not run.
    pub failed: Option<RetryReason>,
    /// Permit of the stalled target that has the request while another one is asked for; the phase is then that
    /// of the other one.
    pub kept: Option<UsedPermit>,
    /// Whether the target that has it is stalled.
    pub stalled: bool,
    /// Whether its caller has a part of the answer, so that a refusal would only cut it.
    pub begun: bool,
    /// When the other target was first asked for, and a retry counted.
    pub wanted: Uptime,
    pub phase: RequestPhase,
}

impl EntryRequest {
    /// The latest attempt did not run.
    pub fn note_not_run(&mut self, retry: RetryReason) {
        if retry.is_unsent() {
            // Nothing was sent, so it counts as no attempt.
            self.unsent += 1;
            return;
        }
        if retry == RetryReason::ConnectFailed && self.begun {
            // Nothing was sent, and an answer that has begun would be cut once the attempts are used up.
            self.unsent += 1;
        }
        self.failed = Some(retry);
        // It was offered in time; from here on only its deadline counts.
        self.wait_until = self.deadline;
    }

    /// The permit of the present attempt.
    pub fn permit(&self) -> PermitId {
        match &self.phase {
            RequestPhase::Dispatched(used) => self.permit_of(used.attempt),
            _ => self.permit_of(self.attempt),
        }
    }

    /// The permit of an attempt.
    pub fn permit_of(&self, attempt: u32) -> PermitId {
        PermitId { request: self.spec.request, attempt }
    }

    /// Whether it is at a target.
    pub fn is_at_target(&self) -> bool {
        self.kept.is_some() || matches!(self.phase, RequestPhase::Dispatched(_))
    }

    /// The latest attempt did not run; may there be another one?
    pub fn next_attempt(&mut self, retry: RetryReason, limit: u32) -> RetryInput {
        self.attempt += 1;
        self.stalled = false;
        self.note_not_run(retry);
        self.retry_input(retry, self.attempt, limit)
    }

    /// Whether it may be tried again after this number of attempts, as far as it knows itself.
    pub fn retry_input(&self, reason: RetryReason, attempts: u32, limit: u32) -> RetryInput {
        RetryInput {
            reason,
            attempts: attempts - self.unsent,
            attempt_limit: self.spec.attempt_limit.unwrap_or(limit),
            deadline: self.deadline,
        }
    }

    /// Further attempts go elsewhere.
    pub fn avoid_target(&mut self, target: &TargetId) {
        if !self.avoid.contains(target) {
            self.avoid.push(target.clone());
        }
    }

    /// Whether its caller says that it is the first attempt with its key.
    pub fn first_attempt(&self) -> bool {
        matches!(self.spec.key, Some((_, Some(1))))
    }

    /// The claim of its key, where it has one.
    pub fn claim(&self) -> Option<KeyClaim> {
        let (key, attempt) = self.spec.key.clone()?;
        Some(KeyClaim {
            request: self.spec.request,
            account: self.spec.account.clone(),
            key,
            attempt,
        })
    }

    /// Tells the holder of its key how it ended.
    pub fn report(&self, verdict: Verdict, answer: Option<KeptAnswer>) -> Option<EntryAction> {
        let claim = self.claim()?;
        Some(EntryAction::ReportKey(KeyOutcome { claim, verdict, answer }))
    }

    /// The refusal where the holder of its key does not answer.
    pub fn unreachable_home(&self) -> Refusal {
        let wait = Some(DEFAULT_ADVICE);
        if self.first_attempt() {
            return Refusal::not_run(RefusalReason::KeyHomeUnreachable, wait);
        }
        Refusal::may_have_run(RefusalReason::KeyHomeUnreachable, wait)
    }

    /// What is asked of a scheduler.
    pub fn permit_request(&self, now: Uptime) -> PermitRequest {
        PermitRequest {
            permit: self.permit(),
            pool: self.spec.pool.clone(),
            tier: self.spec.tier,
            account: self.spec.account.clone(),
            time_left: self.deadline.saturating_sub(now),
            objectives: self.objectives(now),
            prompt_work: self.spec.prompt_work,
            output_work: self.spec.output_work,
            prefix: self.spec.prefix,
            cost: self.spec.cost,
            avoid: self.avoid.clone(),
        }
    }

    /// Asks a scheduler for a permit.
    pub fn ask(&mut self, now: Uptime, scheduler: VmId, timeouts: u32) -> EntryAction {
        self.phase = RequestPhase::Waiting(PermitWait::begin(scheduler.clone(), now, timeouts));
        EntryAction::RequestPermit(scheduler, self.permit_request(now))
    }

    /// What is left of the caller's objectives. A request that was offered once is kept as long as it
    /// may wait.
    pub fn objectives(&self, now: Uptime) -> LatencyObjectives {
        let objectives = &self.spec.objectives;
        let wait_limit = self.wait_until.saturating_sub(now);
        let forecast_limit = match self.failed {
            Some(_) => wait_limit,
            None => objectives.forecast_limit.min(wait_limit),
        };
        let first_part_by = self.first_part_by.saturating_sub(now);
        LatencyObjectives { wait_limit, forecast_limit, first_part_by, ..*objectives }
    }

    /// Tells a scheduler that the request uses a target.
    pub fn hold_permit(
        &self,
        now: Uptime,
        scheduler: VmId,
        attempt: u32,
        target: TargetId,
    ) -> EntryAction {
        let permit = self.permit_of(attempt);
        let request = PermitRequest { permit, ..self.permit_request(now) };
        EntryAction::HoldPermit(scheduler, PermitHeld { request, target })
    }

    /// Gives the permit or the permit request back to its scheduler.
    pub fn return_permit(&self, end: AttemptEnd) -> Vec<EntryAction> {
        let scheduler = match &self.phase {
            RequestPhase::Claiming { .. } => return Vec::new(),
            RequestPhase::Waiting(wait) => &wait.scheduler,
            RequestPhase::Dispatched(used) => &used.scheduler,
        };
        vec![self.give_back(scheduler, self.permit(), end)]
    }

    /// Gives the permit of a stalled target back.
    pub fn return_kept(&self, kept: &UsedPermit, end: AttemptEnd) -> EntryAction {
        self.give_back(&kept.scheduler, self.permit_of(kept.attempt), end)
    }

    fn give_back(&self, scheduler: &VmId, permit: PermitId, end: AttemptEnd) -> EntryAction {
        let back = PermitReturn { permit, pool: self.spec.pool.clone(), end };
        EntryAction::ReturnPermit(scheduler.clone(), back)
    }
}
