//! One request of an entry daemon: its phase, limits and permits.
//!
//! Owns: the phase of one request. Relies on: `EntryRequests` for the transitions.

use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, KeptAnswer, KeyClaim, KeyOutcome, LatencyObjectives, PermitHeld, PermitId,
    PermitRequest, PermitReturn, Refusal, RefusalReason, RetryReason, TargetId, Uptime, Verdict,
    VmId,
};

use super::action::EntryAction;
use super::options::RequestSpec;
use crate::retry::RetryInput;
use crate::retry_after::DEFAULT_RETRY_AFTER;

/// The phase of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum RequestPhase {
    /// Waits for the answer of its key holder.
    Claiming { tries: u32, sent: Uptime },
    /// Waits for a permit from a scheduler.
    Waiting(PermitWait),
    /// Was sent to a target, or is about to be sent.
    Dispatched(UsedPermit),
}

/// A permit that is in use: its attempt, the scheduler that counts it and the target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct UsedPermit {
    pub attempt: u32,
    pub scheduler: VmId,
    pub target: TargetId,
}

/// The wait of one attempt for a scheduler's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PermitWait {
    pub scheduler: VmId,
    /// Time of the latest permit request, or of the answer that the request is queued.
    pub sent: Uptime,
    /// Whether the scheduler has answered the latest permit request.
    pub acknowledged: bool,
    /// Consecutive permit requests that it did not answer within the limit.
    pub timeouts: u32,
}

impl PermitWait {
    /// Returns the wait that begins when a permit request is sent.
    pub fn begin(scheduler: VmId, sent: Uptime, timeouts: u32) -> PermitWait {
        PermitWait { scheduler, sent, acknowledged: false, timeouts }
    }
}

/// A request that the entry daemon owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct EntryRequest {
    pub spec: RequestSpec,
    pub deadline: Uptime,
    pub wait_until: Uptime,
    pub first_part_by: Uptime,
    pub attempt: u32,
    /// Number of permits that count as no attempt, since nothing was sent with them.
    pub unsent_attempts: u32,
    pub avoid: Vec<TargetId>,
    /// Schedulers that did not answer permit requests of this request.
    pub unresponsive: Vec<VmId>,
    /// Why the latest attempt that counts as failed did not run.
    pub last_failure: Option<RetryReason>,
    /// Permit of the stalled target that has the request while another target is requested. `phase` is then that
    /// of the other target.
    pub stalled_permit: Option<UsedPermit>,
    /// Whether the target that has the request is stalled.
    pub stalled: bool,
    /// Whether the caller has received a part of the answer, so that a refusal would only truncate it.
    pub answer_begun: bool,
    /// When another target was first requested, and a retry counted for it.
    pub replacement_since: Uptime,
    /// Since when another target is requested to confirm the end of the answer, `None` where none is. Without one the
    /// request has ended.
    pub confirming_since: Option<Uptime>,
    pub phase: RequestPhase,
}

impl EntryRequest {
    /// Records why the latest attempt did not run.
    pub fn record_not_run(&mut self, retry: RetryReason) {
        if retry.is_unsent() {
            // Nothing was sent, so this counts as no attempt.
            self.unsent_attempts += 1;
            return;
        }
        if retry == RetryReason::ConnectFailed && self.answer_begun {
            // Nothing was sent, and an answer that has begun would be truncated once the attempts are used up.
            self.unsent_attempts += 1;
        }
        self.last_failure = Some(retry);
        // A target was granted within the wait limit; further waits are limited by the deadline only.
        self.wait_until = self.deadline;
    }

    /// Returns the permit of the current attempt.
    pub fn permit(&self) -> PermitId {
        match &self.phase {
            RequestPhase::Dispatched(used) => self.permit_of(used.attempt),
            _ => self.permit_of(self.attempt),
        }
    }

    /// Returns the permit of an attempt.
    pub fn permit_of(&self, attempt: u32) -> PermitId {
        PermitId { request: self.spec.request, attempt }
    }

    /// Returns whether the request is at a target.
    pub fn is_at_target(&self) -> bool {
        self.stalled_permit.is_some() || matches!(self.phase, RequestPhase::Dispatched(_))
    }

    /// Begins a new attempt after one that did not run, and returns the input for the retry decision.
    pub fn next_attempt(&mut self, retry: RetryReason, limit: u32) -> RetryInput {
        self.attempt += 1;
        self.stalled = false;
        self.record_not_run(retry);
        self.retry_input(retry, self.attempt, limit)
    }

    /// Returns the input for the retry decision after this number of attempts.
    pub fn retry_input(&self, reason: RetryReason, attempts: u32, limit: u32) -> RetryInput {
        RetryInput {
            reason,
            attempts: attempts - self.unsent_attempts,
            attempt_limit: self.spec.attempt_limit.unwrap_or(limit),
            deadline: self.deadline,
        }
    }

    /// Excludes a target from further attempts.
    pub fn avoid_target(&mut self, target: &TargetId) {
        if !self.avoid.contains(target) {
            self.avoid.push(target.clone());
        }
    }

    /// Returns whether the caller states that this is the first attempt with its key.
    pub fn is_first_attempt(&self) -> bool {
        matches!(self.spec.key, Some((_, Some(1))))
    }

    /// Returns the claim of the request's key, `None` if it has no key.
    pub fn claim(&self) -> Option<KeyClaim> {
        let (key, attempt) = self.spec.key.clone()?;
        Some(KeyClaim {
            request: self.spec.request,
            account: self.spec.account.clone(),
            key,
            attempt,
        })
    }

    /// Returns the report of the request's end to its key holder, `None` if it has no key.
    pub fn key_report(&self, verdict: Verdict, answer: Option<KeptAnswer>) -> Option<EntryAction> {
        let claim = self.claim()?;
        Some(EntryAction::ReportKey(KeyOutcome { claim, verdict, answer }))
    }

    /// Returns the refusal for a key holder that does not answer. Only a first attempt is sure not to have run.
    pub fn key_holder_refusal(&self) -> Refusal {
        let wait = Some(DEFAULT_RETRY_AFTER);
        if self.is_first_attempt() {
            return Refusal::not_run(RefusalReason::KeyHomeUnreachable, wait);
        }
        Refusal::may_have_run(RefusalReason::KeyHomeUnreachable, wait)
    }

    /// Returns the permit request for the current attempt.
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
            version: self.spec.version,
        }
    }

    /// Begins to wait for a permit from a scheduler, and returns the permit request to send.
    pub fn request_permit_from(
        &mut self,
        now: Uptime,
        scheduler: VmId,
        timeouts: u32,
    ) -> EntryAction {
        self.phase = RequestPhase::Waiting(PermitWait::begin(scheduler.clone(), now, timeouts));
        let mut request = self.permit_request(now);
        if timeouts > 0 {
            // The scheduler may be of an earlier version and unable to read the limit; a grant is checked again.
            request.version = None;
        }
        EntryAction::RequestPermit(scheduler, request)
    }

    /// Returns the remaining time of the caller's objectives. After a failed attempt, and where a stream is taken up, the
    /// forecast limit is the whole remaining wait, so that the forecast gives no request up early.
    pub fn objectives(&self, now: Uptime) -> LatencyObjectives {
        let objectives = &self.spec.objectives;
        let wait_limit = self.wait_until.saturating_sub(now);
        let waits_on = self.last_failure.is_some() || self.spec.takes_up.is_some();
        let forecast_limit = match waits_on {
            _ if self.confirming_since.is_some() => Duration::ZERO,
            true => wait_limit,
            false => objectives.forecast_limit.min(wait_limit),
        };
        let first_part_by = self.first_part_by.saturating_sub(now);
        LatencyObjectives { wait_limit, forecast_limit, first_part_by, ..*objectives }
    }

    /// Returns the report to a scheduler that the request uses a target.
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

    /// Builds the actions that return the permit, or withdraw the permit request, at its scheduler.
    pub fn return_permit(&self, end: AttemptEnd) -> Vec<EntryAction> {
        let scheduler = match &self.phase {
            RequestPhase::Claiming { .. } => return Vec::new(),
            RequestPhase::Waiting(wait) => &wait.scheduler,
            RequestPhase::Dispatched(used) => &used.scheduler,
        };
        vec![self.return_to(scheduler, self.permit(), end)]
    }

    /// Builds the action that returns the permit of a stalled target to its scheduler.
    pub fn return_stalled_permit(
        &self,
        stalled_permit: &UsedPermit,
        end: AttemptEnd,
    ) -> EntryAction {
        self.return_to(&stalled_permit.scheduler, self.permit_of(stalled_permit.attempt), end)
    }

    fn return_to(&self, scheduler: &VmId, permit: PermitId, end: AttemptEnd) -> EntryAction {
        let permit_return = PermitReturn { permit, pool: self.spec.pool.clone(), end };
        EntryAction::ReturnPermit(scheduler.clone(), permit_return)
    }
}
