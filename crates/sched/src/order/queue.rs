//! Holds the waiting requests of a pool, in the order in which they are served.
//!
//! The order:
//! - the highest tier first;
//! - inside a tier the urgency that was served the least work for its share ([`shares`](super::shares);
//!   start-time fair queueing, as for accounts);
//! - inside an urgency the requests that can still begin in time, then booked returns ([`returns`](crate::returns)),
//!   then those that are late;
//! - among these the account that was served the least work for its weight (an idle account gets no credit);
//! - inside an account streams that are taken up, then the lowest position ([`priority`](super)).
//!
//! A few requests behind the first are candidates too, so that a request that suits no target does not delay the
//! others.
//!
//! Load pattern: more requests than slots for seconds, of which those that wait longest are granted just too
//! late, and of which the most urgent alone would fit. With the late ones last, 104 instead of 68 of 200 answers
//! begin in time at twice the load that the slots can serve, and 101 instead of 57 of 400 at four times that load (ten
//! seconds, tests/overload.rs). The urgency takes precedence over the accounts' shares, so that an account's least
//! urgent requests do not overtake the most urgent ones of others. Each urgency keeps a share, so that none is starved
//! (tests/urgencies.rs).
//!
//! Owns: the waiting requests, and the work served to each urgency and account. Relies on: estimates of work in
//! microseconds.

mod ahead;
mod candidates;
mod victims;

use std::collections::{BTreeMap, BTreeSet};

use curlewcleat_core::{AccountId, DaemonId, PermitId, TierRank, Uptime, WorkMicros};

use self::candidates::{first_accounts, first_candidates};
use super::rank::{QueueRank, QueueStage, UrgencyKey};
use super::shares::{UrgencyShares, FULL_SHARE};
use super::waiting::{QueueKey, RequestKind, TierQueue, WaitingRequest};

/// Scale of virtual time; keeps precision when work is divided by weights.
const VIRTUAL_TIME_SCALE: u64 = 1_000;

/// Position of a waiting request: its queue, its account and its key there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct QueuePosition {
    rank: QueueRank,
    account: AccountId,
    weight: u32,
    key: QueueKey,
}

/// The waiting requests of all tiers of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TierQueues {
    tiers: BTreeMap<QueueRank, TierQueue>,
    /// Virtual time of each tier: the served work of the urgency that was served last. Urgencies that become active
    /// start here.
    virtual_times: BTreeMap<TierRank, u64>,
    /// Work served to each urgency, divided by its share.
    served: BTreeMap<UrgencyKey, u64>,
    /// Shares of the urgencies of each tier.
    shares: BTreeMap<TierRank, UrgencyShares>,
    positions: BTreeMap<PermitId, QueuePosition>,
    /// Number of waiting requests that take up streams.
    take_ups: usize,
    /// All requests, by their latest start.
    by_latest_start: BTreeSet<(Uptime, PermitId)>,
    /// Requests that are not late yet, by the time from which they are late.
    by_in_time_until: BTreeSet<(Uptime, PermitId)>,
}

impl TierQueues {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of waiting requests that can no longer begin in time.
    pub fn late_len(&self) -> usize {
        self.positions.len() - self.by_in_time_until.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns whether a request waits that takes up no stream. Those that do may wait beside idle targets, since all of
    /// their version are busy.
    pub fn has_new(&self) -> bool {
        self.positions.len() > self.take_ups
    }

    /// Returns whether a permit request waits.
    pub fn contains(&self, permit: &PermitId) -> bool {
        self.positions.contains_key(permit)
    }

    /// Returns a waiting request.
    pub fn get(&self, permit: &PermitId) -> Option<&WaitingRequest> {
        let QueuePosition { rank, account, key, .. } = self.positions.get(permit)?;
        self.tiers.get(rank)?.accounts.get(account)?.waiting.get(key)
    }

    /// Returns the number of waiting requests of an account in all tiers.
    pub fn account_len(&self, account: &AccountId) -> usize {
        self.tiers
            .values()
            .filter_map(|queue| queue.accounts.get(account))
            .map(|account_queue| account_queue.waiting.len())
            .sum()
    }

    /// Sets the shares of the urgencies of a tier.
    pub fn set_shares(&mut self, tier: TierRank, shares: UrgencyShares) {
        self.shares.insert(tier, shares);
    }

    /// Clears the shares of all tiers.
    pub fn clear_shares(&mut self) {
        self.shares.clear();
    }

    /// Returns the share of a queue's urgency, in thousandths. An urgency without a known share has all, so that
    /// its virtual time advances slowly.
    fn share_of(&self, rank: QueueRank) -> u64 {
        let shares = self.shares.get(&rank.tier);
        shares.and_then(|shares| shares.get(&rank.urgency)).copied().unwrap_or(FULL_SHARE)
    }

    /// Adds a permit request; `weight` is that of its account.
    pub fn push(&mut self, now: Uptime, waiting: WaitingRequest, weight: u32) {
        let late = waiting.in_time_until <= now;
        let rank = rank_of(&waiting, late);
        let account = waiting.request.account.clone();
        let is_new = waiting.kind != RequestKind::TakeUp;
        let key = QueueKey { is_new, order: waiting.order, permit: waiting.request.permit };
        self.by_latest_start.insert((waiting.latest_start, waiting.request.permit));
        if !late {
            self.by_in_time_until.insert((waiting.in_time_until, waiting.request.permit));
        }
        let is_idle = |stage| {
            self.tiers.get(&QueueRank { stage, ..rank }).is_none_or(|queue| queue.length == 0)
        };
        if QueueStage::ALL.into_iter().all(is_idle) {
            // Like an account, an urgency gets no credit for the time in which it was idle.
            let start = self.virtual_times.get(&rank.tier).copied().unwrap_or(0);
            let served = self.served.entry(rank.urgency_key()).or_default();
            *served = (*served).max(start);
        }
        let queue = self.tiers.entry(rank).or_default();
        let virtual_time = queue.virtual_time;
        let account_queue = queue.accounts.entry(account.clone()).or_default();
        account_queue.weight = u64::from(weight.max(1));
        if account_queue.waiting.is_empty() {
            // An account gets no credit for the time in which it was idle.
            account_queue.served = account_queue.served.max(virtual_time);
            queue.by_served.insert((account_queue.served, account.clone()));
        }
        *account_queue.sum_of(&waiting) += waiting.work;
        queue.work += waiting.work;
        if !is_new {
            queue.take_up_work += waiting.work;
            self.take_ups += 1;
        }
        queue.length += 1;
        let position = QueuePosition { rank, account, weight, key };
        self.positions.insert(waiting.request.permit, position);
        account_queue.waiting.insert(key, waiting);
    }

    /// Moves the requests that can no longer begin in time behind the others of their urgency. They still get the
    /// remaining slots.
    pub fn defer_late(&mut self, now: Uptime) {
        while let Some((_, permit)) =
            self.by_in_time_until.first().filter(|(until, _)| *until <= now)
        {
            let permit = *permit;
            let Some(weight) = self.positions.get(&permit).map(|position| position.weight) else {
                return;
            };
            let Some(waiting) = self.remove(&permit) else { return };
            self.push(now, waiting, weight);
        }
    }

    /// Removes a permit request.
    pub fn remove(&mut self, permit: &PermitId) -> Option<WaitingRequest> {
        let QueuePosition { rank, account, key, .. } = self.positions.remove(permit)?;
        let queue = self.tiers.get_mut(&rank)?;
        let account_queue = queue.accounts.get_mut(&account)?;
        let waiting = account_queue.waiting.remove(&key)?;
        self.by_latest_start.remove(&(waiting.latest_start, *permit));
        self.by_in_time_until.remove(&(waiting.in_time_until, *permit));
        *account_queue.sum_of(&waiting) -= waiting.work;
        queue.work -= waiting.work;
        if !key.is_new {
            queue.take_up_work -= waiting.work;
            self.take_ups -= 1;
        }
        queue.length -= 1;
        if account_queue.waiting.is_empty() {
            queue.by_served.remove(&(account_queue.served, account.clone()));
            if account_queue.served <= queue.virtual_time {
                queue.accounts.remove(&account);
            }
        }
        Some(waiting)
    }

    /// Removes a permit request that is granted, and charges its work to its account and urgency.
    pub fn take(&mut self, permit: &PermitId) -> Option<WaitingRequest> {
        let QueuePosition { rank, account, key, .. } = self.positions.get(permit)?.clone();
        let share = self.share_of(rank);
        let queue = self.tiers.get_mut(&rank)?;
        let account_queue = queue.accounts.get_mut(&account)?;
        queue.by_served.remove(&(account_queue.served, account.clone()));
        queue.virtual_time = queue.virtual_time.max(account_queue.served);
        let work = account_queue.waiting.get(&key).map_or(0, |waiting| waiting.work);
        account_queue.served += work * VIRTUAL_TIME_SCALE / account_queue.weight;
        let served = self.served.entry(rank.urgency_key()).or_default();
        let virtual_time = self.virtual_times.entry(rank.tier).or_default();
        *virtual_time = (*virtual_time).max(*served);
        *served += work * VIRTUAL_TIME_SCALE / share;
        queue.by_served.insert((account_queue.served, account));
        self.remove(permit)
    }

    /// Iterates over the requests that may be granted next, best first: of each queue the first requests of each of
    /// its first `accounts` accounts.
    pub fn candidates(&self, accounts: usize) -> impl Iterator<Item = &WaitingRequest> {
        let mut queues: Vec<(&QueueRank, &TierQueue)> =
            self.tiers.iter().filter(|(_, queue)| queue.length > 0).collect();
        // An urgency that was never granted has been served nothing.
        let served = |rank: &QueueRank| self.served.get(&rank.urgency_key()).copied().unwrap_or(0);
        queues.sort_by_key(|(rank, _)| (rank.tier, served(rank), **rank));
        queues.into_iter().flat_map(move |(_, queue)| {
            first_accounts(queue, accounts)
                .flat_map(|account_queue| first_candidates(&account_queue.waiting))
        })
    }

    /// Returns the requests whose latest start has passed.
    pub fn overdue(&self, now: Uptime) -> Vec<PermitId> {
        self.by_latest_start
            .iter()
            .take_while(|(start, _)| *start < now)
            .map(|(_, permit)| *permit)
            .collect()
    }

    /// Returns all requests of the tiers below `tier`.
    pub fn below(&self, tier: TierRank) -> Vec<PermitId> {
        let queues = self.tiers.range(QueueRank::below(tier)..).map(|(_, queue)| queue);
        queues
            .flat_map(|queue| queue.accounts.values())
            .flat_map(|account_queue| account_queue.waiting.keys())
            .map(|key| key.permit)
            .collect()
    }

    /// Returns all requests of one entry daemon.
    pub fn of_entry(&self, entry: &DaemonId) -> Vec<PermitId> {
        let accounts = self.tiers.values().flat_map(|queue| queue.accounts.values());
        accounts
            .flat_map(|account_queue| account_queue.waiting.values())
            .filter(|waiting| waiting.entry == *entry)
            .map(|waiting| waiting.request.permit)
            .collect()
    }

    /// Returns the work of all waiting requests.
    pub fn total_work(&self) -> WorkMicros {
        self.tiers.values().map(|queue| queue.work).sum()
    }
}

/// Returns the queue of a request.
fn rank_of(waiting: &WaitingRequest, late: bool) -> QueueRank {
    let stage = match (late, waiting.kind == RequestKind::Return) {
        (true, _) => QueueStage::Late,
        (false, true) => QueueStage::Returned,
        (false, false) => QueueStage::InTime,
    };
    let urgency = waiting.request.objectives.urgency;
    QueueRank { tier: waiting.request.tier, stage, urgency }
}
