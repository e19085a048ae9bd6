//! Selects the version at which a new stream begins.
//!
//! The daemon that a permit is requested from limits it to the version of the stream's slot. Where it may not use the
//! splits that it knows, or the version of the slot has no targets, the request waits for a read or for the next split;
//! after that it is refused as not run. A stream that began at another version would be joined of two where a daemon that
//! remembers nothing proves its version by the splits.
//!
//! Owns: the new streams that wait. Relies on: [`version_histories`](super::version_histories) for the splits.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, PeerMessage, PermitAnswer, PermitDecision, PermitId, PermitRequest, Refusal,
    RefusalReason, StreamStart, Uptime, VersionDigest, SPLIT_SLOTS,
};
use curlewcleat_sched::{choose_version, is_timeout_stored, FleetReach, SplitChoice, SPLIT_TERM};

use super::version_histories::PoolHistory;
use super::Node;
use crate::event::{NodeAction, NodeNote, StartObstacle};

/// Time for which a new stream is kept until its permit request arrives.
const START_RETENTION: Duration = Duration::from_secs(1);
/// Time for which a stream waits, in which a split can be stored and read.
const WAIT_LIMIT: Duration = Duration::from_millis(600);
/// Most new streams that wait for a split.
const HELD_LIMIT: usize = 4_096;
/// Retry advice for a stream that may not begin: another daemon may reach the platform, or schedule.
const HELD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a daemon that does not reach most others brings a split into use that it has read: too long for a
/// daemon that has not read it to prove by the former one without the platform.
pub(super) const ADOPT_ALONE_AFTER: Duration = Duration::from_secs(30);

/// A new stream that waits for a split.
#[derive(Clone, Debug)]
pub(super) struct HeldStart {
    from: DaemonId,
    request: PermitRequest,
    start: StreamStart,
    since: Uptime,
    obstacle: StartObstacle,
}

impl HeldStart {
    pub(super) fn awaits_read(&self) -> bool {
        self.obstacle == StartObstacle::NotRead
    }
}

impl Node {
    pub(super) fn stream_start_received(&mut self, start: StreamStart) {
        self.histories.starts.insert(start.permit, (self.now, start));
    }

    pub(super) fn expire_stream_starts(&mut self) {
        let now = self.now;
        self.histories.starts.retain(|_, (at, _)| now < *at + START_RETENTION);
    }

    pub(super) fn permit_requested(&mut self, from: &DaemonId, request: PermitRequest) {
        let start = self.histories.starts.remove(&request.permit).map(|(_, start)| start);
        let (Some(start), None) = (start, request.version) else {
            return self.request_pool_permit(from, request);
        };
        // This daemon may not have read the configuration that its peer goes by.
        let pool = self.histories.pools.entry(request.pool.clone()).or_default();
        pool.has_streams = true;
        pool.longest_timeout = pool.longest_timeout.max(start.timeout);
        self.histories.last_start = Some(self.now);
        match self.select_version(&request, &start) {
            Ok(version) => self.request_pool_permit(from, PermitRequest { version, ..request }),
            Err(obstacle) => self.hold_start(from, request, start, obstacle),
        }
    }

    /// Returns the version at which a stream has to begin, `None` for any.
    fn select_version(
        &self,
        request: &PermitRequest,
        start: &StreamStart,
    ) -> Result<Option<VersionDigest>, StartObstacle> {
        if self.options.freshness.is_none() {
            return Ok(None);
        }
        let pool = self.histories.pools.get(&request.pool).ok_or(StartObstacle::NotRead)?;
        let is_current = pool.last_read.is_some_and(|read| self.now < read + SPLIT_TERM);
        if !is_current && !self.leads_without_platform(pool, FleetReach::Half) {
            return Err(StartObstacle::NotRead);
        }
        if !is_timeout_stored(&pool.history, start.timeout) {
            return Err(StartObstacle::TimeoutNotStored);
        }
        match choose_version(&pool.history, &start.stream, self.adopts_split(pool)) {
            SplitChoice::Unsplit => Ok(None),
            SplitChoice::Undecided => Err(StartObstacle::SplitNotInUse),
            SplitChoice::Version(version) if pool.may_serve(&version) => Ok(Some(version)),
            SplitChoice::AnyOf(named) if pool.names_all(&named) => Ok(None),
            _ => Err(StartObstacle::VersionWithoutTargets),
        }
    }

    /// Returns whether this daemon may use the last split of a pool although no daemon has stated in the store that it is in
    /// use. After a break in its reach, another daemon may have reached the fleet all the time and prove by the former one.
    fn adopts_split(&self, pool: &PoolHistory) -> bool {
        // One that schedules half of the fleet for this long is heard by any other that reaches most of it.
        let takeover_time = self.options.members.suspect_after;
        let since = self.histories.half_since.filter(|_| self.leads());
        let is_followed = since.is_some_and(|since| self.now >= since + takeover_time);
        let is_known_to_all = self.now >= pool.last_split_seen + ADOPT_ALONE_AFTER;
        pool.is_split_in_step || is_followed || is_known_to_all
    }

    /// Keeps a stream until it may begin; the answer tells that this daemon has its request.
    fn hold_start(
        &mut self,
        from: &DaemonId,
        request: PermitRequest,
        start: StreamStart,
        obstacle: StartObstacle,
    ) {
        let permit = request.permit;
        let since = self.histories.held.get(&permit).map_or(self.now, |held| held.since);
        let held = HeldStart { from: from.clone(), request, start, since, obstacle };
        if self.histories.held.len() >= HELD_LIMIT {
            return self.refuse_start(held);
        }
        self.answer_start(&held, PermitDecision::Queued);
        self.histories.held.insert(permit, held);
        if obstacle == StartObstacle::NotRead {
            self.request_history_read();
        }
    }

    /// Forgets a stream that waits, since its request was cancelled.
    pub(super) fn release_start(&mut self, permit: &PermitId) {
        self.histories.held.remove(permit);
    }

    /// Forgets the waiting streams of a daemon that has ended.
    pub(super) fn release_starts_of(&mut self, daemon: &DaemonId) {
        self.histories.held.retain(|_, held| held.from != *daemon);
    }

    /// Lets the streams begin that may, and refuses those that have waited for too long.
    pub(super) fn review_starts(&mut self) {
        for (permit, held) in std::mem::take(&mut self.histories.held) {
            let waited = self.now.saturating_sub(held.since);
            match self.select_version(&held.request, &held.start) {
                Ok(version) => {
                    let time_left = held.request.time_left.saturating_sub(waited);
                    let request = PermitRequest { version, time_left, ..held.request };
                    self.request_pool_permit(&held.from, request);
                }
                Err(obstacle) if waited < WAIT_LIMIT => {
                    self.histories.held.insert(permit, HeldStart { obstacle, ..held });
                }
                Err(obstacle) => self.refuse_start(HeldStart { obstacle, ..held }),
            }
        }
    }

    fn refuse_start(&mut self, held: HeldStart) {
        let reason = RefusalReason::StreamVersionUnknown;
        let refusal = Refusal::not_run(reason, Some(HELD_RETRY_AFTER));
        self.answer_start(&held, PermitDecision::Refused(refusal));
        self.actions.push(NodeAction::Note(NodeNote::StreamStartRefused {
            request: held.request.permit.request,
            pool: held.request.pool,
            obstacle: held.obstacle,
            waited: self.now.saturating_sub(held.since),
            read_age: self.histories.last_read.map(|read| self.now.saturating_sub(read)),
        }));
    }

    fn answer_start(&mut self, held: &HeldStart, decision: PermitDecision) {
        let (permit, pool) = (held.request.permit, held.request.pool.clone());
        let answer = PermitAnswer { permit, pool, decision };
        self.post(&held.from.vm, PeerMessage::PermitAnswer(answer));
    }
}

impl PoolHistory {
    /// Returns whether a stream may be limited to a version. A pool without any targets keeps its split.
    fn may_serve(&self, version: &VersionDigest) -> bool {
        self.weights.is_empty() || self.weights.contains_key(version)
    }

    /// Returns whether these are all versions with targets, as far as a split has room for them.
    fn names_all(&self, named: &BTreeSet<VersionDigest>) -> bool {
        named.len() == SPLIT_SLOTS || self.weights.keys().all(|version| named.contains(version))
    }
}
