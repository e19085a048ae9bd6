//! The waiting requests of a pool, in the order in which they go.
//!
//! The rule: the highest tier first; inside it the urgency of the rules that was served the least work for its
//! share ([`shares`](super::shares); start-time fair queueing, as for accounts);
//! inside an urgency those that can still begin in time before those that are late; inside these the account
//! that was served the least work for its weight (an idle account gets no credit); inside an account the lowest
//! place ([`priority`](super)). A few requests behind the first are offered too, so that one that no
//! target suits does not hold up the others.
//!
//! Load pattern: more requests than slots for seconds, of which those that wait longest are granted just too
//! late, and of which the most urgent alone would fit. With the late ones last, 104 in place of 68 of 200 answers
//! begin in time at twice what the slots can serve, and 101 in place of 57 of 400 at four times (ten seconds,
//! tests/overload.rs). Urgencies go before the accounts' shares, so that an account's least urgent requests do not
//! pass the most urgent ones of others, and each keeps a share, so that none is starved (tests/urgencies.rs).
//!
//! Owns: the waiting requests, and the work served to each urgency and account. Relies on: estimates of work in
//! microseconds.

mod ahead;

use std::collections::{BTreeMap, BTreeSet};

use curlewcleat_core::{AccountId, DaemonId, PermitId, TierRank, Uptime, WorkMicros};

use super::rank::{QueueRank, QueueShare};
use super::shares::{UrgencyShares, ALL_PLACES};
use super::waiting::{class_of, QueueKey, TierQueue, WaitingRequest};

/// Scale of virtual time, so that division by weights keeps precision.
const SHARE_SCALE: u64 = 1_000;

/// Requests of an account's queue that are tried, so that one that no target suits does not hold up the
/// others.
const HEADS_PER_ACCOUNT: usize = 4;
/// Where a request waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct QueuePlace {
    rank: QueueRank,
    account: AccountId,
    weight: u32,
    key: QueueKey,
}

/// The queues of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TierQueues {
    tiers: BTreeMap<QueueRank, TierQueue>,
    /// Work served, by its share, to the urgency of each tier that went last; newcomers begin here.
    clocks: BTreeMap<TierRank, u64>,
    /// Work served to each urgency, by its share.
    served: BTreeMap<QueueShare, u64>,
    /// Shares of the urgencies of each tier.
    shares: BTreeMap<TierRank, UrgencyShares>,
    places: BTreeMap<PermitId, QueuePlace>,
    /// All requests by their latest start.
    starts: BTreeSet<(Uptime, PermitId)>,
    /// Requests that are not late yet, by when they will be.
    in_time: BTreeSet<(Uptime, PermitId)>,
}

impl TierQueues {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Number of waiting requests that can no longer begin in time.
    pub fn late_len(&self) -> usize {
        self.places.len() - self.in_time.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether a permit request waits.
    pub fn contains(&self, permit: &PermitId) -> bool {
        self.places.contains_key(permit)
    }

    /// A waiting request.
    pub fn get(&self, permit: &PermitId) -> Option<&WaitingRequest> {
        let QueuePlace { rank, account, key, .. } = self.places.get(permit)?;
        self.tiers.get(rank)?.lines.get(account)?.waiting.get(key)
    }

    /// Number of waiting requests of an account in all tiers.
    pub fn account_len(&self, account: &AccountId) -> usize {
        self.tiers
            .values()
            .filter_map(|queue| queue.lines.get(account))
            .map(|line| line.waiting.len())
            .sum()
    }

    /// Divides the places of a tier among its urgencies from now on.
    pub fn share_out(&mut self, tier: TierRank, shares: UrgencyShares) {
        self.shares.insert(tier, shares);
    }

    /// Forgets how the places are divided.
    pub fn forget_shares(&mut self) {
        self.shares.clear();
    }

    /// The part of the places that a queue's urgency has, in thousandths. Those that nothing is known of have all, so that
    /// their virtual time stands nearly still.
    fn share_of(&self, rank: QueueRank) -> u64 {
        let shares = self.shares.get(&rank.tier);
        shares.and_then(|shares| shares.get(&rank.urgency)).copied().unwrap_or(ALL_PLACES)
    }

    /// Adds a permit request; `weight` is its account's share.
    pub fn push(&mut self, now: Uptime, waiting: WaitingRequest, weight: u32) {
        let late = waiting.in_time_until <= now;
        let urgency = waiting.request.objectives.urgency;
        let rank = QueueRank { tier: waiting.request.tier, late, urgency };
        let account = waiting.request.account.clone();
        let key = (waiting.order, waiting.request.permit);
        self.starts.insert((waiting.latest_start, waiting.request.permit));
        if !late {
            self.in_time.insert((waiting.in_time_until, waiting.request.permit));
        }
        let other = QueueRank { late: !late, ..rank };
        let is_idle = |rank| self.tiers.get(&rank).is_none_or(|queue| queue.length == 0);
        if is_idle(rank) && is_idle(other) {
            // Like an account, an urgency that asked for nothing gets no credit for it.
            let begun = self.clocks.get(&rank.tier).copied().unwrap_or(0);
            let served = self.served.entry(rank.shared()).or_default();
            *served = (*served).max(begun);
        }
        let queue = self.tiers.entry(rank).or_default();
        let clock = queue.clock;
        let line = queue.lines.entry(account.clone()).or_default();
        line.weight = u64::from(weight.max(1));
        if line.waiting.is_empty() {
            // An account that was idle gets no credit for the time in which it asked for nothing.
            line.served = line.served.max(clock);
            queue.order.insert((line.served, account.clone()));
        }
        *line.by_class.entry(class_of(waiting.work)).or_default() += waiting.work;
        queue.work += waiting.work;
        queue.length += 1;
        let place = QueuePlace { rank, account, weight, key };
        self.places.insert(waiting.request.permit, place);
        line.waiting.insert(key, waiting);
    }

    /// Moves what can no longer begin in time behind the others of its tier. Late ones still get the
    /// slots that are left.
    pub fn defer_late(&mut self, now: Uptime) {
        while let Some((_, permit)) = self.in_time.first().filter(|(until, _)| *until <= now) {
            let permit = *permit;
            let Some(weight) = self.places.get(&permit).map(|place| place.weight) else { return };
            let Some(waiting) = self.remove(&permit) else { return };
            self.push(now, waiting, weight);
        }
    }

    /// Takes a permit request out.
    pub fn remove(&mut self, permit: &PermitId) -> Option<WaitingRequest> {
        let QueuePlace { rank, account, key, .. } = self.places.remove(permit)?;
        let queue = self.tiers.get_mut(&rank)?;
        let line = queue.lines.get_mut(&account)?;
        let waiting = line.waiting.remove(&key)?;
        self.starts.remove(&(waiting.latest_start, *permit));
        self.in_time.remove(&(waiting.in_time_until, *permit));
        if let Some(work) = line.by_class.get_mut(&class_of(waiting.work)) {
            *work -= waiting.work;
        }
        queue.work -= waiting.work;
        queue.length -= 1;
        if line.waiting.is_empty() {
            queue.order.remove(&(line.served, account.clone()));
            if line.served <= queue.clock {
                queue.lines.remove(&account);
            }
        }
        Some(waiting)
    }

    /// Takes a permit request out that is going to run, and charges its account.
    pub fn take(&mut self, permit: &PermitId) -> Option<WaitingRequest> {
        let QueuePlace { rank, account, key, .. } = self.places.get(permit)?.clone();
        let share = self.share_of(rank);
        let queue = self.tiers.get_mut(&rank)?;
        let line = queue.lines.get_mut(&account)?;
        queue.order.remove(&(line.served, account.clone()));
        queue.clock = queue.clock.max(line.served);
        let work = line.waiting.get(&key).map_or(0, |waiting| waiting.work);
        line.served += work * SHARE_SCALE / line.weight;
        let served = self.served.entry(rank.shared()).or_default();
        let clock = self.clocks.entry(rank.tier).or_default();
        *clock = (*clock).max(*served);
        *served += work * SHARE_SCALE / share;
        queue.order.insert((line.served, account));
        self.remove(permit)
    }

    /// The requests that may go next, best first: of each tier by rank the first requests of each of
    /// its first `accounts` accounts.
    pub fn heads(&self, accounts: usize) -> impl Iterator<Item = &WaitingRequest> {
        let mut queues: Vec<(&QueueRank, &TierQueue)> =
            self.tiers.iter().filter(|(_, queue)| queue.length > 0).collect();
        let served = |rank: &QueueRank| self.served.get(&rank.shared()).copied().unwrap_or(0);
        queues.sort_by_key(|(rank, _)| (rank.tier, served(rank), **rank));
        queues.into_iter().flat_map(move |(_, queue)| {
            queue
                .order
                .iter()
                .take(accounts)
                .filter_map(|(_, account)| queue.lines.get(account))
                .flat_map(|line| line.waiting.values().take(HEADS_PER_ACCOUNT))
        })
    }

    /// Requests whose latest start has passed.
    pub fn overdue(&self, now: Uptime) -> Vec<PermitId> {
        self.starts
            .iter()
            .take_while(|(start, _)| *start < now)
            .map(|(_, permit)| *permit)
            .collect()
    }

    /// All requests of tiers below a rank.
    pub fn below(&self, tier: TierRank) -> Vec<PermitId> {
        let queues = self.tiers.range(QueueRank::below(tier)..).map(|(_, queue)| queue);
        queues
            .flat_map(|queue| queue.lines.values())
            .flat_map(|line| line.waiting.keys())
            .map(|key| key.1)
            .collect()
    }

    /// All requests of one entry.
    pub fn of_entry(&self, entry: &DaemonId) -> Vec<PermitId> {
        let lines = self.tiers.values().flat_map(|queue| queue.lines.values());
        lines
            .flat_map(|line| line.waiting.values())
            .filter(|w| w.entry == *entry)
            .map(|w| w.request.permit)
            .collect()
    }

    /// The permit request to evict for one of `tier`: the last of the lowest tier below it.
    pub fn victim_below(&self, tier: TierRank) -> Option<PermitId> {
        let below = self.tiers.range(QueueRank::below(tier)..);
        let (_, queue) = below.rev().find(|(_, queue)| queue.length > 0)?;
        queue
            .lines
            .values()
            .filter_map(|line| line.waiting.keys().next_back())
            .max()
            .map(|key| key.1)
    }

    /// The permit request to evict in favour of `account` inside its own tier: the last one of the
    /// account that waits with the most work for its weight, if that is more than this account has.
    pub fn victim_within(&self, tier: TierRank, account: &AccountId) -> Option<PermitId> {
        let of_tier = self.tiers.range(QueueRank::of_tier(tier)).rev().map(|(_, queue)| queue);
        let queue = of_tier.into_iter().find(|queue| queue.length > 0)?;
        let own = queue
            .lines
            .get(account)
            .map_or(0, |line| line.waiting.len() as u64 / line.weight.max(1));
        let longest = queue
            .lines
            .values()
            .max_by_key(|line| line.waiting.len() as u64 / line.weight.max(1))?;
        if longest.waiting.len() as u64 / longest.weight.max(1) <= own + 1 {
            return None;
        }
        longest.waiting.keys().next_back().map(|key| key.1)
    }

    /// Work of all waiting requests.
    pub fn total_work(&self) -> WorkMicros {
        self.tiers.values().map(|queue| queue.work).sum()
    }
}
