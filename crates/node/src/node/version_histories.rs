//! Selects the version at which a new stream begins, and proves which version began a stream that no daemon remembers.
//!
//! The daemon that schedules selects and proves. The platform stores each split before it is used; a proof is made after
//! a read that was sent when the request for it had arrived, so that no split is missing. While the platform does not
//! answer, a daemon that has scheduled for long enough proves by the splits that it knows.
//!
//! Owns: the splits of each pool, the new streams that wait for their permit requests, the requests that wait for a
//! proof. Relies on: `version_history` for the rule.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    ActiveConfig, PeerMessage, PermitId, PermitRequest, PoolId, RequestId, StreamAnswer,
    StreamProofQuery, StreamStart, Uptime, VersionDigest, VersionHistory, VmId,
};
use curlewcleat_sched::{confirm_last_split, prove_version, revise_history, VersionWeights};

use super::Node;
use crate::event::{NodeAction, NodeNote, PlatformCall};

/// Minimum time between two reads of the splits.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an unanswered read or write is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(1);
/// Time after which a proof is made without a read, or not at all.
const PROOF_LIMIT: Duration = Duration::from_millis(150);
/// Time for which a new stream is kept until its permit request arrives.
const START_RETENTION: Duration = Duration::from_secs(1);
/// Time after which a daemon that has just begun to schedule reads the splits again, and for which it does so: another
/// one may schedule as well until both know each other.
const FIRST_READS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));
/// Time for which this daemon has to have scheduled before it proves without a read, beyond the age of the stream.
const LEAD_MARGIN: Duration = Duration::from_secs(5);

/// The splits of all pools and what waits for them.
#[derive(Clone, Debug, Default)]
pub(super) struct HistoryExchange {
    pools: BTreeMap<PoolId, PoolHistory>,
    starts: BTreeMap<PermitId, (Uptime, StreamStart)>,
    proofs: Vec<PendingProof>,
    leading_since: Option<Uptime>,
    /// When the latest answered read was sent.
    last_read: Option<Uptime>,
    /// When the read was requested that is not answered yet.
    read_requested: Option<Uptime>,
}

/// The splits of a pool.
#[derive(Clone, Debug, Default)]
struct PoolHistory {
    history: VersionHistory,
    weights: VersionWeights,
    /// Whether streams began here that may be taken up, since this process started.
    has_streams: bool,
    longest_timeout: Duration,
    write_requested: Option<Uptime>,
}

/// A daemon that waits for a proof.
#[derive(Clone, Debug)]
struct PendingProof {
    from: VmId,
    query: StreamProofQuery,
    since: Uptime,
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
            self.histories.pools.entry(id.clone()).or_default().weights = weights;
        }
        self.histories.pools.retain(|id, _| config.pools.contains_key(id));
    }

    pub(super) fn stream_start_received(&mut self, start: StreamStart) {
        self.histories.starts.insert(start.permit, (self.now, start));
    }

    /// Limits a permit request for a new stream to the version of the stream's slot, while the pool has targets of it.
    pub(super) fn select_version(&mut self, mut request: PermitRequest) -> PermitRequest {
        let Some((_, start)) = self.histories.starts.remove(&request.permit) else {
            return request;
        };
        let Some(pool) = self.histories.pools.get_mut(&request.pool) else { return request };
        pool.has_streams = true;
        pool.longest_timeout = pool.longest_timeout.max(start.timeout);
        if request.version.is_none() {
            let split = pool.history.splits.last();
            let selected = split.and_then(|split| split.version_of(&start.stream));
            request.version = selected.filter(|version| pool.weights.contains_key(version));
        }
        let is_open = pool.history.splits.last().is_some_and(|split| split.is_open);
        if request.version.is_none() && !is_open && self.options.freshness.is_some() {
            self.note_outside_split(&request);
        }
        request
    }

    fn note_outside_split(&mut self, request: &PermitRequest) {
        let read_age = self.histories.last_read.map(|read| self.now.saturating_sub(read));
        let (request, pool) = (request.permit.request, request.pool.clone());
        let note = NodeNote::StreamOutsideSplit { request, pool, read_age };
        self.actions.push(NodeAction::Note(note));
    }

    /// Returns whether a daemon waits for the proof of a request, which answers all its queries.
    pub(super) fn is_proving(&self, from: &VmId, request: RequestId) -> bool {
        let mut proofs = self.histories.proofs.iter();
        proofs.any(|proof| proof.from == *from && proof.query.request == request)
    }

    /// Answers a daemon that asks for the version of a stream, at once where it is remembered or where another daemon
    /// schedules, else after a read of the splits. This daemon asks itself where the one that schedules does not answer.
    pub(super) fn proof_queried(&mut self, from: &VmId, query: StreamProofQuery) {
        let known = query.stream.and_then(|stream| self.remembered_version(&stream));
        let is_own = *from == self.options.me.vm;
        if known.is_some() || !(is_own || self.leads()) {
            let answer = StreamAnswer { request: query.request, version: known };
            return self.post(from, PeerMessage::StreamAnswer(answer));
        }
        self.histories.proofs.push(PendingProof { from: from.clone(), query, since: self.now });
        self.request_history_read();
    }

    /// Applies the splits that a read showed, which was sent at `sent`.
    pub(super) fn histories_read(&mut self, read: Vec<VersionHistory>, sent: Uptime) {
        let exchange = &mut self.histories;
        if exchange.last_read.is_some_and(|last| sent < last) {
            return;
        }
        exchange.last_read = Some(sent);
        exchange.read_requested = exchange.read_requested.filter(|requested| sent < *requested);
        let mut read: BTreeMap<_, _> =
            read.into_iter().map(|history| (history.pool.clone(), history)).collect();
        for (id, pool) in &mut exchange.pools {
            let history = read.remove(id).unwrap_or_else(|| VersionHistory {
                pool: id.clone(),
                ..VersionHistory::default()
            });
            if history.revision != pool.history.revision {
                pool.write_requested = None;
            }
            pool.history = history;
        }
        let proofs = std::mem::take(&mut self.histories.proofs);
        let (ready, later) = proofs.into_iter().partition(|proof| proof.since <= sent);
        self.histories.proofs = later;
        self.answer_proofs(ready);
        self.store_histories();
    }

    fn answer_proofs(&mut self, proofs: Vec<PendingProof>) {
        for PendingProof { from, query, .. } in proofs {
            let pool = self.histories.pools.get(&query.pool);
            let proved = pool.and_then(|pool| {
                prove_version(&pool.history, query.stream.as_ref(), self.wall, query.time_left)
            });
            let read = self.histories.last_read.unwrap_or_default();
            self.actions.push(NodeAction::Note(NodeNote::StreamProof {
                request: query.request,
                version: proved,
                read_age: self.now.saturating_sub(read),
            }));
            let answer = StreamAnswer { request: query.request, version: proved };
            self.post(&from, PeerMessage::StreamAnswer(answer));
        }
    }

    /// Returns whether this daemon selects the versions of new streams.
    pub(super) fn leads(&self) -> bool {
        self.options.freshness.is_some() && self.all_pools_order.first() == Some(&self.options.me)
    }

    /// Reads the splits where this daemon needs them, stores those that have to change, and ends waits.
    pub(super) fn step_histories(&mut self) {
        let now = self.now;
        self.histories.starts.retain(|_, (at, _)| now < *at + START_RETENTION);
        if !self.leads() {
            self.histories.leading_since = None;
            if !self.histories.proofs.is_empty() {
                self.request_history_read();
            }
            return self.end_proofs();
        }
        let leading_since = *self.histories.leading_since.get_or_insert(now);
        let is_read = self.histories.last_read.is_some_and(|read| read >= leading_since);
        let (interval, period) = FIRST_READS;
        let is_old = self.histories.last_read.is_some_and(|read| now >= read + interval);
        let is_recheck_due = is_old && now < leading_since + period;
        if !is_read || is_recheck_due || !self.histories.proofs.is_empty() {
            self.request_history_read();
        }
        if is_read {
            self.store_histories();
        }
        self.end_proofs();
    }

    fn request_history_read(&mut self) {
        let exchange = &mut self.histories;
        let wait = if exchange.read_requested.is_some() { REPEAT_AFTER } else { READ_INTERVAL };
        let previous = exchange.read_requested.max(exchange.last_read);
        if previous.is_none_or(|previous| self.now >= previous + wait) {
            exchange.read_requested = Some(self.now);
            self.actions.push(NodeAction::Platform(PlatformCall::ReadVersionHistories));
        }
    }

    /// Ends the waits for a proof that have lasted too long. Where this daemon may not prove by what it knows, the
    /// asking daemon gets no answer, which tells it that the version may be known later.
    fn end_proofs(&mut self) {
        let now = self.now;
        let proofs = std::mem::take(&mut self.histories.proofs);
        let (over, later): (Vec<_>, Vec<_>) =
            proofs.into_iter().partition(|proof| now >= proof.since + PROOF_LIMIT);
        self.histories.proofs = later;
        let over = over.into_iter().filter(|proof| self.has_led_since(&proof.query));
        let over = over.collect();
        self.answer_proofs(over);
    }

    /// Returns whether this daemon has scheduled for all the time in which the stream can have begun, and has read the
    /// splits since. One that does not reach most daemons may have been replaced by another one.
    fn has_led_since(&self, query: &StreamProofQuery) -> bool {
        let Some(leading_since) = self.histories.leading_since else { return false };
        let share = self.members.reached_share(self.now);
        if share.reached * 2 <= share.all {
            return false;
        }
        let history = self.histories.pools.get(&query.pool).map(|pool| &pool.history);
        let longest = history.and_then(|history| history.longest_timeout);
        let age = longest.zip(query.time_left).map(|(longest, left)| longest.saturating_sub(left));
        let is_read = self.histories.last_read.is_some_and(|read| read >= leading_since);
        is_read && age.is_some_and(|age| self.now >= leading_since + age + LEAD_MARGIN)
    }

    /// Has the platform store the splits and timeouts that have changed.
    fn store_histories(&mut self) {
        if !self.leads() {
            return;
        }
        let (now, wall) = (self.now, self.wall);
        let open: Vec<PoolId> =
            self.histories.pools.keys().filter(|id| self.has_rollout(id)).cloned().collect();
        for (id, pool) in &mut self.histories.pools {
            let is_used = pool.has_streams || pool.history.revision.is_some();
            let is_pending =
                pool.write_requested.is_some_and(|requested| now < requested + REPEAT_AFTER);
            if !is_used || is_pending {
                continue;
            }
            let (weights, timeout) = (&pool.weights, pool.longest_timeout);
            // The last split that was read is the one in use here.
            let confirmed = confirm_last_split(&pool.history, wall);
            let current = confirmed.as_ref().unwrap_or(&pool.history);
            let revised = revise_history(current, wall, weights, open.contains(id), timeout);
            let Some(revised) = revised.or(confirmed) else { continue };
            pool.write_requested = Some(now);
            let write = VersionHistory { pool: id.clone(), ..revised };
            self.actions.push(NodeAction::Platform(PlatformCall::WriteVersionHistory(write)));
        }
    }
}
