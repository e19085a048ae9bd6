//! Lets streams that are taken up wait for units of their accounts and for targets of their version.
//!
//! The rest of a stream reaches a target and counts towards its account's rate like any request. It is not refused for the
//! rate: it waits until the account has units, and new requests of the account, of its tier and those below, are refused
//! meanwhile. So the account gets no more than its rate, and what its callers take up goes first.
//!
//! A daemon that does not keep the rates refuses the request after [`UNKNOWN_LIMIT`], so that its entry daemon asks the
//! first scheduler, and then this one again.
//!
//! Where the targets of its version accept no requests for a moment, the entry daemon of a stream that is taken up asks
//! again while its caller waits.
//!
//! Owns: the requests that wait for units of their accounts. Relies on: `AccountRates` for the units.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    AccountId, DaemonId, PeerMessage, PermitAnswer, PermitDecision, PermitId, PermitRequest,
    RefusalReason, SharedRate, TierRank, Uptime, VersionDigest,
};
use curlewcleat_sched::RateRole;

use super::Node;

/// Most requests of an account that wait, and of all accounts together.
const ACCOUNT_LIMIT: usize = 256;
const HELD_LIMIT: usize = 4_096;
/// Time for which a request waits at a daemon that does not keep the rates.
const UNKNOWN_LIMIT: Duration = Duration::from_millis(250);

/// Order in which the requests of an account get its units.
type HeldOrder = (TierRank, Uptime, PermitId);

/// A request that waits for units of its account.
#[derive(Clone, Debug)]
struct HeldTakeUp {
    from: DaemonId,
    request: PermitRequest,
    deadline: Uptime,
}

/// The requests that wait for units of their accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldTakeUps {
    by_account: BTreeMap<AccountId, BTreeMap<HeldOrder, HeldTakeUp>>,
    accounts: BTreeMap<PermitId, (AccountId, HeldOrder)>,
}

impl HeldTakeUps {
    /// Returns whether a request of this account and tier comes after one that waits.
    pub(super) fn precede(&self, account: &AccountId, tier: TierRank) -> bool {
        let first = self.by_account.get(account).and_then(|held| held.keys().next());
        first.is_some_and(|(first, ..)| *first <= tier)
    }

    fn has_room(&self, account: &AccountId) -> bool {
        let of_account = self.by_account.get(account).map_or(0, BTreeMap::len);
        of_account < ACCOUNT_LIMIT && self.accounts.len() < HELD_LIMIT
    }

    /// Returns the units that the requests of an account get before a new one of this tier.
    fn units_before(&self, account: &AccountId, tier: TierRank) -> u64 {
        let held = self.by_account.get(account).into_iter().flatten();
        let before = held.take_while(|((held_tier, ..), _)| *held_tier <= tier);
        before.map(|(_, held)| held.request.cost).fold(0, u64::saturating_add)
    }

    fn insert(&mut self, now: Uptime, held: HeldTakeUp) {
        let (account, permit) = (held.request.account.clone(), held.request.permit);
        let order = (held.request.tier, now, permit);
        self.accounts.insert(permit, (account.clone(), order));
        self.by_account.entry(account).or_default().insert(order, held);
    }

    fn remove(&mut self, permit: &PermitId) -> Option<HeldTakeUp> {
        let (account, order) = self.accounts.remove(permit)?;
        let of_account = self.by_account.get_mut(&account)?;
        let held = of_account.remove(&order);
        if of_account.is_empty() {
            self.by_account.remove(&account);
        }
        held
    }
}

impl Node {
    /// Handles the permit request of a request that takes up a stream.
    pub(super) fn take_up_requested(&mut self, from: &DaemonId, request: PermitRequest) {
        if self.streams.held.accounts.contains_key(&request.permit) {
            return self.answer_permit(from, &request, PermitDecision::Queued);
        }
        let is_known =
            self.pools.get(&request.pool).is_some_and(|pool| pool.knows(&request.permit));
        let Some(rate) = self.shared_rate(&request.account).filter(|_| !is_known) else {
            return self.request_take_up_permit(from, request);
        };
        let wait = self.wait_for_units(&request, &rate);
        if wait.is_zero() {
            return self.charge_take_up(from, request, &rate);
        }
        if wait > request.time_left || !self.streams.held.has_room(&request.account) {
            return self.refuse_for_rate(from, &request, wait);
        }
        self.answer_permit(from, &request, PermitDecision::Queued);
        let deadline = self.now + request.time_left;
        let held = HeldTakeUp { from: from.clone(), request, deadline };
        self.streams.held.insert(self.now, held);
    }

    /// Returns the time until the account of a request has units for it, after those that wait before it.
    fn wait_for_units(&mut self, request: &PermitRequest, rate: &SharedRate) -> Duration {
        let share = self.rate_share(&request.pool);
        let units = self.streams.held.units_before(&request.account, request.tier);
        self.rates.wait_after(self.now, &request.account, rate, units, share)
    }

    fn charge_take_up(&mut self, from: &DaemonId, request: PermitRequest, rate: &SharedRate) {
        let share = self.rate_share(&request.pool);
        match self.rates.take(self.now, &request.account, rate, request.cost, share) {
            Ok(()) => self.request_take_up_permit(from, request),
            Err(wait) => self.refuse_for_rate(from, &request, wait),
        }
    }

    fn request_take_up_permit(&mut self, from: &DaemonId, request: PermitRequest) {
        let now = self.now;
        let pool = self.pool(&request.pool.clone());
        let actions = pool.request_take_up(now, from.clone(), request);
        self.send_answers(actions);
    }

    /// Lets the requests go on whose accounts have units, and refuses those that have waited for too long.
    pub(super) fn step_held_take_ups(&mut self) {
        for account in self.streams.held.by_account.keys().cloned().collect::<Vec<_>>() {
            let rate = self.shared_rate(&account);
            while let Some(permit) = self.next_held(&account, rate.as_ref()) {
                self.release_held(&permit, rate.as_ref());
            }
        }
    }

    /// Returns the next request of an account that waits no longer: its account has units, or its time is over.
    fn next_held(&mut self, account: &AccountId, rate: Option<&SharedRate>) -> Option<PermitId> {
        let ((_, since, permit), held) =
            self.streams.held.by_account.get(account)?.first_key_value()?;
        let (permit, since, pool) = (*permit, *since, held.request.pool.clone());
        let share = self.rate_share(&pool);
        let is_over = self.now >= held.deadline
            || share.role != RateRole::Leader && self.now >= since + UNKNOWN_LIMIT;
        let has_units = rate
            .is_none_or(|rate| self.rates.wait_after(self.now, account, rate, 0, share).is_zero());
        (is_over || has_units).then_some(permit)
    }

    /// Charges a request that has waited, or refuses it where its account has no units.
    fn release_held(&mut self, permit: &PermitId, rate: Option<&SharedRate>) {
        let Some(HeldTakeUp { from, mut request, deadline }) = self.streams.held.remove(permit)
        else {
            return;
        };
        request.time_left = deadline.saturating_sub(self.now);
        let objectives = &mut request.objectives;
        objectives.wait_limit = objectives.wait_limit.min(request.time_left);
        match rate {
            Some(rate) => self.charge_take_up(&from, request, rate),
            None => self.request_take_up_permit(&from, request),
        }
    }

    /// Forgets a request that waits, since it was cancelled.
    pub(super) fn forget_held_take_up(&mut self, permit: &PermitId) {
        self.streams.held.remove(permit);
    }

    /// Forgets the waiting requests of a daemon that has ended.
    pub(super) fn forget_held_take_ups_of(&mut self, daemon: &DaemonId) {
        let held = self.streams.held.by_account.values().flatten();
        let of_daemon = held.filter(|(_, held)| held.from == *daemon);
        for permit in of_daemon.map(|((.., permit), _)| *permit).collect::<Vec<_>>() {
            self.streams.held.remove(&permit);
        }
    }

    /// Returns whether a scheduler has no target for a request while targets of the version that it is limited to are there.
    pub(super) fn may_await_target(&self, answer: &PermitAnswer) -> bool {
        let PermitDecision::Refused(refusal) = &answer.decision else { return false };
        let spec = self.entry.spec_of(answer.permit.request);
        let version = spec.and_then(|spec| spec.version);
        let (RefusalReason::NoTarget, Some(version)) = (refusal.reason, version) else {
            return false;
        };
        let Some(pool) = self.active.pools.get(&answer.pool) else { return false };
        pool.targets.iter().any(|(id, entry)| {
            let is_of_version = VersionDigest::of(entry.version.as_ref()) == version;
            is_of_version && !self.targets.is_leaving(id) && !self.is_blocked(&answer.pool, entry)
        })
    }

    pub(super) fn refuse_for_rate(
        &mut self,
        from: &DaemonId,
        request: &PermitRequest,
        wait: Duration,
    ) {
        let refusal = self.rate_refusal(request, wait);
        self.answer_permit(from, request, PermitDecision::Refused(refusal));
    }

    fn answer_permit(
        &mut self,
        from: &DaemonId,
        request: &PermitRequest,
        decision: PermitDecision,
    ) {
        let (permit, pool) = (request.permit, request.pool.clone());
        let answer = PermitAnswer { permit, pool, decision };
        self.post(&from.vm, PeerMessage::PermitAnswer(answer));
    }
}
