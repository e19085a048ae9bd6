//! Admits callers' requests and performs the actions of the entry daemon.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `EntryRequests` for the phases of a request.

use std::sync::Arc;
use std::time::Duration;

use curlewcleat_core::{
    AccountId, AttemptEnd, KeyClaim, KeyOutcome, PeerMessage, PermitId, PermitRequest, PoolId,
    Refusal, RefusalReason, RequestFeature, RequestId, RetryReason, SharedRate, StreamStart,
    TargetEntry, Verdict, VersionDigest, VersionPermitRequest, VmId,
};
use curlewcleat_sched::{
    rate_retry_after, EntryAction, RateRole, RateShare, ReplacementStep, RequestSpec,
};

use super::{cached_order, Node};
use crate::event::{CallerDecision, NodeAction, NodeNote, RequestEnd};

/// Share of the request limit, in percent, by which each tier's limit is below that of the tier above, so that an
/// entry daemon that fills up refuses the lowest tier first.
const PERCENT_PER_TIER: usize = 10;
/// Share of the request limit that every tier may use, in percent.
const PERCENT_FOR_ALL: usize = 50;

/// Retry advice when the daemon refuses a request at admission.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry advice of a daemon that is stopping. When all daemons are replaced one after the other, callers' connections
/// stay with the stopping ones, while another daemon already has capacity, so that a wait only delays the answer.
/// Without the wait, the credit of the requests of a day with such a series rises from .827 to .844.
const DRAINING_RETRY_AFTER: Duration = Duration::ZERO;

/// Returns the time after which the caller of a request that is not admitted may retry.
fn retry_after(reason: RefusalReason) -> Duration {
    match reason {
        RefusalReason::Draining => DRAINING_RETRY_AFTER,
        _ => DEFAULT_RETRY_AFTER,
    }
}

impl Node {
    pub(super) fn admit(&mut self, spec: RequestSpec) {
        let id = spec.request;
        let below_top = usize::from(spec.tier.saturating_sub(self.active.top_rank()));
        let percent = 100usize.saturating_sub(below_top * PERCENT_PER_TIER).max(PERCENT_FOR_ALL);
        let limit = self.options.request_limit * percent / 100;
        if let Some(refusal) = self.lethal_refusal(spec.features()) {
            self.actions.push(NodeAction::Decide(id, CallerDecision::Refuse(refusal)));
            return;
        }
        let reason = if !self.drain.admits() {
            Some(RefusalReason::Draining)
        } else if self.store.generation() == 0 {
            Some(RefusalReason::NoConfiguration)
        } else if self.requests_held() >= limit {
            Some(RefusalReason::EntryFull)
        } else {
            None
        };
        if let Some(reason) = reason {
            let refusal = Refusal::not_run(reason, Some(retry_after(reason)));
            self.actions.push(NodeAction::Decide(id, CallerDecision::Refuse(refusal)));
            return;
        }
        let Some(spec) = self.resolve_stream(spec) else { return };
        let scheduler_orders = &self.scheduler_orders;
        let members = &self.members;
        let actions =
            self.entry.admit(self.now, spec, &|pool| cached_order(scheduler_orders, members, pool));
        self.perform(actions);
    }

    /// Charges a permit request to its account's rate when the request arrives for the first time.
    pub(super) fn charge(&mut self, request: &PermitRequest) -> Result<(), Duration> {
        let known = self.pools.get(&request.pool).is_some_and(|pool| pool.knows(&request.permit));
        if known || request.permit.attempt > 0 {
            return Ok(());
        }
        let Some(rate) = self.shared_rate(&request.account) else { return Ok(()) };
        let rate_share = self.rate_share(&request.pool);
        if self.streams.held.precede(&request.account, request.tier) {
            let (account, cost) = (&request.account, request.cost);
            return Err(self.rates.promise(self.now, account, &rate, cost, rate_share));
        }
        self.rates.take(self.now, &request.account, &rate, request.cost, rate_share)
    }

    /// Returns the rate of an account over all daemons, `None` if it has none.
    pub(super) fn shared_rate(&self, account: &AccountId) -> Option<SharedRate> {
        self.active.accounts.get(account)?.shared_rate
    }

    /// Returns the refusal of a permit request that exceeds its account's rate. If the daemon that keeps the rate is
    /// unresponsive, there may be capacity once another daemon has taken over.
    pub(super) fn rate_refusal(&self, request: &PermitRequest, wait: Duration) -> Refusal {
        let (reason, wait) = match self.own_rate_role(&request.pool) {
            RateRole::Leader => (RefusalReason::AccountRate, wait),
            _ => (RefusalReason::RateUnknown, wait.min(self.options.members.suspect_after)),
        };
        let advice = rate_retry_after(request.permit, wait, request.time_left);
        Refusal::not_run(reason, Some(advice))
    }

    /// Returns the share of the common rates that this daemon grants for a pool.
    pub(super) fn rate_share(&self, pool: &str) -> RateShare {
        match self.own_rate_role(pool) {
            RateRole::Leader => self.leader_share(),
            // Another daemon grants the rates; this one received the request because that one seems unresponsive.
            role => RateShare { reached: 1, all: self.members.fleet_size(), role },
        }
    }

    /// Returns whether this daemon is first, second or later in the order of schedulers of a pool.
    fn own_rate_role(&self, pool: &str) -> RateRole {
        let order = self.scheduler_orders.get(pool).map_or(&[][..], Vec::as_slice);
        match order.iter().position(|daemon| *daemon == self.options.me) {
            Some(0) => RateRole::Leader,
            Some(1) => RateRole::Deputy,
            _ => RateRole::Other,
        }
    }

    pub(super) fn request_finished(&mut self, id: RequestId, end: RequestEnd) {
        let RequestEnd { verdict, attempt_end, is_proved, kept_answer } = end;
        if verdict == Verdict::Ran && is_proved {
            self.answer_completed(id);
        }
        self.forget_take_up(id);
        let actions = self.entry.finished(id, verdict, attempt_end, kept_answer);
        self.perform(actions);
    }

    pub(super) fn attempt_not_run(&mut self, id: RequestId, end: AttemptEnd, retry: RetryReason) {
        let scheduler_orders = &self.scheduler_orders;
        let members = &self.members;
        let actions = self.entry.not_run(self.now, id, end, retry, &|pool| {
            cached_order(scheduler_orders, members, pool)
        });
        self.perform(actions);
    }

    pub(super) fn replacement(&mut self, id: RequestId, step: ReplacementStep) {
        let scheduler_orders = &self.scheduler_orders;
        let members = &self.members;
        let actions = self
            .entry
            .replacement(self.now, id, step, &|pool| cached_order(scheduler_orders, members, pool));
        self.perform(actions);
    }

    pub(super) fn perform(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::ClaimKey(claim) => self.send_claim(claim),
                EntryAction::ReportKey(outcome) => self.send_outcome(outcome),
                EntryAction::RequestPermit(vm, request) => self.send_permit_request(&vm, request),
                EntryAction::ReturnPermit(vm, returned) => {
                    self.post(&vm, PeerMessage::PermitReturn(returned))
                }
                EntryAction::HoldPermit(vm, held) => self.post(&vm, PeerMessage::PermitHeld(held)),
                EntryAction::Dispatch { permit, target } => self.dispatch(permit, &target),
                EntryAction::Refuse(id, refusal) => {
                    self.actions.push(NodeAction::Decide(id, CallerDecision::Refuse(refusal)));
                }
                EntryAction::Replay(id, answer) => {
                    self.actions.push(NodeAction::Decide(id, CallerDecision::Replay(answer)));
                }
                EntryAction::Count(reason) => self.actions.push(NodeAction::Count(reason)),
                EntryAction::RetryDenied(id, bound) => {
                    self.actions.push(NodeAction::Note(NodeNote::RetryDenied(id, bound)));
                }
            }
        }
    }

    fn send_permit_request(&mut self, vm: &VmId, request: PermitRequest) {
        if let Some(start) = self.stream_start(&request) {
            self.post(vm, PeerMessage::StreamStart(start));
        }
        let message = match request.version {
            Some(version) if *vm != self.options.me.vm => {
                PeerMessage::VersionPermitRequest(VersionPermitRequest { request, version })
            }
            _ => PeerMessage::PermitRequest(request),
        };
        self.post(vm, message);
    }

    /// Returns the new stream that a permit is requested for, `None` where the request begins none.
    fn stream_start(&self, request: &PermitRequest) -> Option<StreamStart> {
        let spec = self.entry.spec_of(request.permit.request)?;
        let stream = spec.begins.filter(|_| spec.version.is_none())?;
        // A caller that states no time gets no proof, so that the longest timeout does not depend on it.
        let timeout = spec.caller_time_left.unwrap_or(Duration::ZERO);
        Some(StreamStart { permit: request.permit, stream, timeout })
    }

    /// Returns the refusal of a request while running which, or others that share a feature, targets have terminated since
    /// it was admitted.
    fn refusal_at_grant(&mut self, id: RequestId) -> Option<Refusal> {
        let features: Vec<RequestFeature> = self.entry.spec_of(id)?.features().collect();
        self.lethal_refusal(features.into_iter())
    }

    pub(super) fn dispatch(&mut self, permit: PermitId, target: &str) {
        if self.hold_grant(permit, target) {
            return;
        }
        if let Some(refusal) = self.refusal_at_grant(permit.request) {
            return self.refuse_granted(permit.request, refusal);
        }
        let config = Arc::clone(&self.active);
        let leaving = self.targets.is_leaving(target);
        let mut pools = config.pools.iter();
        let known = pools.find_map(|(id, pool)| Some((id, pool.targets.get(target)?)));
        let is_closed = |(pool, entry): (&PoolId, &TargetEntry)| {
            let version = VersionDigest::of(entry.version.as_ref());
            self.is_blocked(pool, entry)
                || self.is_evacuated(&entry.data_centre)
                || !self.entry.allows_version(permit.request, version)
        };
        if known.is_some_and(is_closed) {
            // Since the permit was granted the version was rolled back or replaced, or the data centre evacuated; or the
            // scheduler did not know which version must serve the request.
            return self.attempt_not_run(
                permit.request,
                AttemptEnd::Unused,
                RetryReason::TargetUnwilling,
            );
        }
        let entry = known.filter(|_| !leaving).map(|(_, entry)| entry.clone());
        match entry {
            Some(entry) => {
                self.actions.push(NodeAction::Decide(
                    permit.request,
                    CallerDecision::Dispatch(permit, entry),
                ));
            }
            // The scheduler's view is older or newer than this daemon's. Nothing was sent to any target.
            None => {
                self.attempt_not_run(permit.request, AttemptEnd::Unused, RetryReason::TargetUnknown)
            }
        }
    }

    pub(super) fn send_claim(&mut self, claim: KeyClaim) {
        if let Some(holder) = self.key_holder.holder_of(&claim).cloned() {
            self.post(&holder.vm, PeerMessage::KeyClaim(claim));
        }
    }

    pub(super) fn send_outcome(&mut self, outcome: KeyOutcome) {
        if let Some(holder) = self.key_holder.holder_of(&outcome.claim).cloned() {
            self.post(&holder.vm, PeerMessage::KeyOutcome(outcome));
        }
    }
}
