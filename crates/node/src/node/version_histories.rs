//! Reads and stores the splits, which state at which version of a pool's targets new streams begin.
//!
//! The daemon that schedules decides on the splits. The platform stores each one before it is used, and a daemon uses
//! it only for [`SPLIT_TERM`] after a read that showed it: one that is cut off or stands still does not go on with a split
//! that others have replaced. So the daemons that may begin streams read the splits again and again while streams begin.
//!
//! Owns: the splits of each pool, and when they were read. Relies on: `version_history` for the rule,
//! [`stream_starts`](super::stream_starts) and [`stream_proofs`](super::stream_proofs) for their use.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    ActiveConfig, PermitId, PoolId, StreamStart, Uptime, VersionDigest, VersionHistory,
    VersionSplit,
};
use curlewcleat_sched::{
    confirm_last_split, revise_history, FleetReach, VersionWeights, SPLIT_TERM,
};

use super::stream_proofs::PendingProof;
use super::stream_starts::HeldStart;
use super::Node;
use crate::event::{NodeAction, PlatformCall};

/// Minimum time between two reads of the splits.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an unanswered read or write is repeated.
pub(super) const REPEAT_AFTER: Duration = Duration::from_secs(1);
/// Time after which a decision is made without a read that is not answered, where it can be.
pub(super) const READ_LIMIT: Duration = Duration::from_millis(150);
/// Age of the latest read from which the daemon that schedules reads again, so that its splits may be used without a
/// break.
const RENEW_AFTER: Duration = Duration::from_millis(1_200);
/// Time after the latest new stream for which it does so.
const RENEW_FOR: Duration = Duration::from_secs(30);
/// Time after which a daemon that has just begun to schedule reads the splits again, and for which it does so: another
/// one may schedule as well until both know each other.
const FIRST_READS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));
/// Number of daemons, first in the order of schedulers, that read the splits when the targets of versions have changed, so that
/// they know them if they have to schedule while the platform does not answer.
const CANDIDATES: usize = 4;
/// How long after such a change their last read has to be sent, so that it shows the split that follows from it, and the
/// time between these reads.
const CHANGE_READS: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(1));

/// The splits of all pools and what waits for them.
#[derive(Clone, Debug, Default)]
pub(super) struct HistoryExchange {
    pub(super) pools: BTreeMap<PoolId, PoolHistory>,
    /// New streams whose permit requests have not arrived, and since when.
    pub(super) starts: BTreeMap<PermitId, (Uptime, StreamStart)>,
    /// New streams that wait for a split.
    pub(super) held: BTreeMap<PermitId, HeldStart>,
    pub(super) proofs: Vec<PendingProof>,
    /// Since when this daemon schedules.
    pub(super) leading_since: Option<Uptime>,
    /// When the latest answered read was sent.
    pub(super) last_read: Option<Uptime>,
    /// When the read was requested that is not answered yet.
    read_requested: Option<Uptime>,
    /// When the first read was requested since the last answer.
    unanswered_since: Option<Uptime>,
    /// When the targets of any version came or went for the last time.
    weights_changed: Uptime,
    /// How much of the fleet this daemon reaches, as of the last tick.
    pub(super) reach: FleetReach,
    /// Since when it has reached half of the fleet, and most of it, without a break.
    pub(super) half_since: Option<Uptime>,
    pub(super) most_since: Option<Uptime>,
    /// When a permit was last requested for a new stream.
    pub(super) last_start: Option<Uptime>,
}

/// The splits of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolHistory {
    /// When the latest answered read was sent since this daemon knows the pool.
    pub(super) last_read: Option<Uptime>,
    pub(super) history: VersionHistory,
    /// When a read first showed the last split.
    pub(super) last_split_seen: Uptime,
    /// Whether this daemon has reached half of the fleet without a break since it read the last split, or had it stored.
    pub(super) is_split_in_step: bool,
    /// Whether it did not reach half of the fleet when it last had a split stored whose outcome no read has shown.
    is_write_out_of_step: bool,
    pub(super) weights: VersionWeights,
    /// Whether streams began here that may be taken up, since this process started.
    pub(super) has_streams: bool,
    pub(super) longest_timeout: Duration,
    /// When the write was requested whose outcome no read has shown.
    pub(super) write_requested: Option<Uptime>,
    /// When streams were last looked at that may have to be listed.
    pub(super) last_list: Option<Uptime>,
    /// When a list was written whose outcome no read has shown.
    pub(super) list_requested: Option<Uptime>,
}

impl PoolHistory {
    /// Replaces the splits by those that a read showed. `is_in_reach` states whether this daemon reaches half of the fleet.
    fn read(&mut self, history: VersionHistory, now: Uptime, is_in_reach: bool) {
        let decided = |split: &VersionSplit| (split.since, split.slots, split.is_open);
        let known = self.history.splits.last().map(decided);
        if history.splits.last().map(decided) != known {
            self.last_split_seen = now;
            self.is_split_in_step = is_in_reach && !self.is_write_out_of_step;
        }
        if history.revision != self.history.revision {
            self.write_requested = None;
            self.list_requested = None;
            self.is_write_out_of_step = false;
        }
        self.history = history;
    }
}

impl HistoryExchange {
    /// Records how much of the fleet this daemon reaches.
    fn set_reach(&mut self, now: Uptime, reach: FleetReach) {
        let since = |before: Option<Uptime>, least| (reach >= least).then(|| before.unwrap_or(now));
        self.half_since = since(self.half_since, FleetReach::Half);
        self.most_since = since(self.most_since, FleetReach::Most);
        self.reach = reach;
        let is_in_reach = self.half_since.is_some();
        self.pools.values_mut().for_each(|pool| pool.is_split_in_step &= is_in_reach);
    }

    /// Returns since when this daemon has reached so much of the fleet, `None` where it does not.
    fn reached_since(&self, least: FleetReach) -> Option<Uptime> {
        match least {
            FleetReach::Most => self.most_since,
            _ => self.half_since,
        }
    }
}

impl Node {
    /// Records the targets of each version that take new requests.
    pub(super) fn update_version_weights(&mut self, config: &ActiveConfig) {
        let unavailable = self.unavailable_vms();
        for (id, pool) in &config.pools {
            let mut weights = VersionWeights::new();
            let open = pool
                .targets
                .values()
                .filter(|entry| !unavailable.contains(&entry.vm) && !self.is_blocked(id, entry));
            for entry in open {
                let version = VersionDigest::of(entry.version.as_ref());
                *weights.entry(version).or_default() += u64::from(entry.slots);
            }
            let pool = self.histories.pools.entry(id.clone()).or_default();
            if pool.weights != weights {
                self.histories.weights_changed = self.now;
            }
            pool.weights = weights;
        }
        self.histories.pools.retain(|id, _| config.pools.contains_key(id));
    }

    /// Applies the splits that a read showed, which was sent at `sent`.
    pub(super) fn histories_read(&mut self, read: Vec<VersionHistory>, sent: Uptime) {
        let exchange = &mut self.histories;
        if exchange.last_read.is_some_and(|last| sent < last) {
            return;
        }
        exchange.last_read = Some(sent);
        exchange.read_requested = exchange.read_requested.filter(|requested| sent < *requested);
        exchange.unanswered_since = exchange.read_requested;
        let mut read: BTreeMap<_, _> =
            read.into_iter().map(|history| (history.pool.clone(), history)).collect();
        for (id, pool) in &mut exchange.pools {
            let history = read.remove(id).unwrap_or_else(|| VersionHistory {
                pool: id.clone(),
                ..VersionHistory::default()
            });
            pool.read(history, self.now, exchange.half_since.is_some());
            pool.last_read = Some(sent);
        }
        self.answer_proofs_after(sent);
        self.store_histories();
        self.review_starts();
    }

    /// Returns whether this daemon selects the versions of new streams.
    pub(super) fn leads(&self) -> bool {
        self.options.freshness.is_some() && self.all_pools_order.first() == Some(&self.options.me)
    }

    /// Returns whether the platform has not answered for some time, while this daemon schedules, has reached at least `least` of
    /// the fleet since its last read, and no other one can have decided on a split of a pool that it does not know.
    pub(super) fn leads_without_platform(&self, pool: &PoolHistory, least: FleetReach) -> bool {
        let exchange = &self.histories;
        let is_overdue = exchange.unanswered_since.is_some_and(|at| self.now >= at + READ_LIMIT);
        // Splits change with the targets; since this daemon schedules it would have decided on the next one itself.
        let settled = exchange.weights_changed + CHANGE_READS.0;
        let known_since = exchange.leading_since.map(|since| since.min(settled));
        let is_known = known_since.is_some_and(|since| pool.last_read >= Some(since));
        // Others may have replaced the splits while they were out of reach.
        let reached_since = exchange.reached_since(least);
        let is_in_step = reached_since.is_some_and(|since| pool.last_read >= Some(since));
        self.leads() && is_overdue && is_known && is_in_step
    }

    /// Reads the splits where this daemon needs them, stores those that have to change, and ends waits.
    pub(super) fn step_histories(&mut self) {
        let reach = self.members.recent_reach(self.now, self.handling_delay());
        self.histories.set_reach(self.now, reach);
        self.expire_stream_starts();
        if self.leads() {
            self.histories.leading_since.get_or_insert(self.now);
        } else {
            self.histories.leading_since = None;
        }
        if self.is_history_read_due() {
            self.request_history_read();
        }
        let leading_since = self.histories.leading_since;
        if leading_since.is_some() && self.histories.last_read >= leading_since {
            self.store_histories();
        }
        self.review_starts();
        self.end_proofs();
    }

    fn is_history_read_due(&self) -> bool {
        let (exchange, now) = (&self.histories, self.now);
        if !exchange.proofs.is_empty() || exchange.held.values().any(HeldStart::awaits_read) {
            return true;
        }
        let is_older = |than: Duration| exchange.last_read.is_none_or(|read| now >= read + than);
        let Some(leading_since) = exchange.leading_since else {
            let (settled_after, interval) = CHANGE_READS;
            let settled = exchange.weights_changed + settled_after;
            let is_settled = exchange.last_read.is_some_and(|read| read >= settled);
            return self.is_scheduling_candidate() && !is_settled && is_older(interval);
        };
        let (interval, period) = FIRST_READS;
        let is_first = exchange.last_read.is_none_or(|read| read < leading_since);
        let is_recheck = is_older(interval) && now < leading_since + period;
        let are_streams_beginning = exchange.last_start.is_some_and(|at| now < at + RENEW_FOR);
        is_first || is_recheck || (are_streams_beginning && is_older(RENEW_AFTER))
    }

    fn is_scheduling_candidate(&self) -> bool {
        let mut candidates = self.all_pools_order.iter().take(CANDIDATES);
        self.options.freshness.is_some() && candidates.any(|daemon| *daemon == self.options.me)
    }

    pub(super) fn request_history_read(&mut self) {
        let exchange = &mut self.histories;
        let wait = if exchange.read_requested.is_some() { REPEAT_AFTER } else { READ_INTERVAL };
        let previous = exchange.read_requested.max(exchange.last_read);
        if previous.is_none_or(|previous| self.now >= previous + wait) {
            exchange.read_requested = Some(self.now);
            exchange.unanswered_since.get_or_insert(self.now);
            self.actions.push(NodeAction::Platform(PlatformCall::ReadVersionHistories));
        }
    }

    /// Has the platform store the splits and timeouts that have changed.
    fn store_histories(&mut self) {
        if !self.leads() {
            return;
        }
        let (now, wall) = (self.now, self.wall);
        let open: Vec<PoolId> =
            self.histories.pools.keys().filter(|id| self.has_rollout(id)).cloned().collect();
        // Otherwise a daemon that reaches most others, and not the platform, may use or prove by the former split.
        let is_confirming = self.histories.reach == FleetReach::Most;
        let is_out_of_step = self.histories.half_since.is_none();
        for (id, pool) in &mut self.histories.pools {
            let is_used = pool.last_read.is_some()
                && !pool.history.is_unreadable
                && (pool.has_streams || pool.history.revision.is_some());
            let is_pending =
                pool.write_requested.is_some_and(|requested| now < requested + REPEAT_AFTER);
            if !is_used || is_pending {
                continue;
            }
            let (weights, timeout) = (&pool.weights, pool.longest_timeout);
            // Daemons whose read was sent before the last split was stored use the former one for the term of that read.
            let confirmed = is_confirming
                .then(|| confirm_last_split(&pool.history, wall + SPLIT_TERM))
                .flatten();
            let current = confirmed.as_ref().unwrap_or(&pool.history);
            let revised = revise_history(current, wall, weights, open.contains(id), timeout);
            let decided = revised.or(confirmed);
            // A list changes nothing that another daemon may do, so that no proof waits for its outcome.
            if decided.is_some() {
                pool.write_requested = Some(now);
                pool.is_write_out_of_step |= is_out_of_step;
            }
            let versions = &self.streams.versions;
            let Some(write) = pool.with_lists(id, (now, wall), versions, decided) else { continue };
            let write = VersionHistory { pool: id.clone(), ..write };
            self.actions.push(NodeAction::Platform(PlatformCall::WriteVersionHistory(write)));
        }
    }
}
