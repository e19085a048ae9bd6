//! Finds the version of the target that began a stream which a caller takes up, by asking other daemons where this one
//! does not know it.
//!
//! While a pool has targets of several versions, and for some time after its first stream, the daemon that holds a caller's
//! connection reports which version begins which stream to the keepers: the first daemons in the order of schedulers. They are the same for all daemons, and more
//! than one, since a caller takes up its stream because a daemon has ended. A daemon that stops by plan reports all that it
//! remembers.
//!
//! The daemon that schedules is asked as well, since it may prove the version of a stream that no daemon remembers
//! ([`version_histories`](super::version_histories)). What is neither remembered nor proved is refused.
//!
//! Owns: the requests that wait for the version of their stream. Relies on: [`StreamVersions`] for what is remembered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    ActiveConfig, DaemonId, PeerMessage, PoolId, Refusal, RefusalReason, RequestId, StreamAnswer,
    StreamId, StreamProofQuery, StreamQuery, StreamVersion, Uptime, VersionDigest, VmId,
};
use curlewcleat_sched::{FleetReach, RequestSpec, StreamVersions};

use super::take_ups::HeldTakeUps;
use super::Node;
use crate::event::{CallerDecision, NodeAction, NodeNote, VersionSource};

/// Number of daemons to which it is reported which version began a stream.
pub(super) const KEEPERS: usize = 3;
/// Number of daemons that are asked: one more, since a daemon that has joined may have displaced a keeper.
const ASKED: usize = KEEPERS + 1;
/// Time after which the daemons that have not answered are asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(100);
/// Time after which a request does not wait for further answers.
pub(super) const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// Retry advice where a daemon has not answered that may know the version: the one that schedules reads the platform, or
/// another one takes its place.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Most streams in one message.
const STREAMS_PER_MESSAGE: usize = 256;

/// Streams of this daemon, and the requests that wait for the version of their stream.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamExchange {
    pub(super) versions: StreamVersions,
    waiting: BTreeMap<RequestId, WaitingTakeUp>,
    /// Those that wait for units of their accounts at this daemon.
    pub(super) held: HeldTakeUps,
    /// When this daemon last handed over its streams, because it stops by plan.
    pub(super) handed_over: Option<Uptime>,
}

/// A request that waits for the version of the stream that it takes up.
#[derive(Clone, Debug)]
struct WaitingTakeUp {
    spec: RequestSpec,
    stream: Option<StreamId>,
    since: Uptime,
    /// Daemons that have not answered.
    unanswered: BTreeSet<VmId>,
    asked_again: bool,
    /// Whether this daemon was requested to prove the version.
    asked_itself: bool,
}

impl Node {
    /// Limits a request that takes up a stream to the version that began it. Returns the request, or `None` where it waits
    /// for the version or is refused.
    pub(super) fn resolve_stream(&mut self, mut spec: RequestSpec) -> Option<RequestSpec> {
        let Some(taken_up) = spec.takes_up.filter(|_| spec.version.is_none()) else {
            return Some(spec);
        };
        let stream = taken_up.stream;
        match stream.and_then(|stream| self.remembered_version(&stream)) {
            Some(version) => {
                self.note_taken_up(spec.request, VersionSource::Own, Duration::ZERO);
                spec.version = Some(version);
                Some(spec)
            }
            None => {
                self.ask_for_version(spec, stream);
                None
            }
        }
    }

    /// Returns the version that began a stream, `None` if this daemon neither remembers it nor has read it in a stored list.
    pub(super) fn remembered_version(&self, stream: &StreamId) -> Option<VersionDigest> {
        let remembered = self.streams.versions.version_of(stream);
        remembered.or_else(|| self.listed_version(stream))
    }

    /// Asks the keepers, and the daemon that schedules for a proof.
    fn ask_for_version(&mut self, spec: RequestSpec, stream: Option<StreamId>) {
        let mut asked: BTreeSet<VmId> =
            self.first_schedulers(&self.all_pools_order, ASKED).into_iter().collect();
        let asked_itself = asked.is_empty() || self.leads();
        if asked_itself {
            asked.insert(self.options.me.vm.clone());
        }
        let query = self.proof_query(&spec, stream);
        let (request, since) = (spec.request, self.now);
        let unanswered = asked.clone();
        let take_up =
            WaitingTakeUp { stream, since, unanswered, asked_again: false, asked_itself, spec };
        self.streams.waiting.insert(request, take_up);
        for vm in &asked {
            self.post(vm, PeerMessage::StreamProofQuery(query.clone()));
        }
    }

    /// Refuses a request whose stream is of a version that no daemon remembers or proves.
    fn refuse_take_up(&mut self, request: RequestId, is_answered: bool, waited: Duration) {
        self.note_taken_up(request, VersionSource::Unknown, waited);
        // A retry finds no more than this attempt did, unless a daemon has not answered or was not asked, since it is out of
        // reach.
        let may_be_known = !is_answered || self.histories.reach < FleetReach::Most;
        let retry_after = may_be_known.then_some(UNANSWERED_RETRY_AFTER);
        let refusal = Refusal::not_run(RefusalReason::StreamVersionUnknown, retry_after);
        self.actions.push(NodeAction::Decide(request, CallerDecision::Refuse(refusal)));
    }

    /// Records the version that began the answer of a request, and reports it to the keepers.
    pub(super) fn stream_begun(&mut self, id: RequestId, pool: &PoolId, begun: StreamVersion) {
        self.entry.set_version(id, begun.version);
        self.streams.versions.remember(self.now, begun, true);
        self.streams.versions.record_begin(self.now, pool);
        let is_stopping = self.streams.handed_over.is_some();
        if is_stopping || self.streams.versions.is_reported(self.now, pool) {
            let keepers = self.first_schedulers(&self.all_pools_order, KEEPERS);
            self.report_streams(&keepers, &[begun]);
        }
    }

    pub(super) fn report_streams(&mut self, keepers: &[VmId], streams: &[StreamVersion]) {
        for vm in keepers {
            for part in streams.chunks(STREAMS_PER_MESSAGE) {
                self.post(vm, PeerMessage::StreamsBegun(part.to_vec()));
            }
        }
    }

    pub(super) fn streams_reported(&mut self, streams: Vec<StreamVersion>) {
        for stream in streams {
            self.streams.versions.remember(self.now, stream, false);
        }
    }

    pub(super) fn stream_queried(&mut self, from: &VmId, query: StreamQuery) {
        let version = self.remembered_version(&query.stream);
        if version.is_none() && self.is_proving(from, query.request) {
            return;
        }
        let answer = StreamAnswer { request: query.request, version };
        self.post(from, PeerMessage::StreamAnswer(answer));
    }

    pub(super) fn stream_answered(&mut self, from: &VmId, answer: StreamAnswer) {
        let Some(take_up) = self.streams.waiting.get_mut(&answer.request) else { return };
        take_up.unanswered.remove(from);
        // A proof allows for the time in which it is accepted, not for more.
        let is_late = self.now >= take_up.since + ANSWER_LIMIT;
        if answer.version.is_some() && !is_late {
            return self.finish_take_up(answer.request, answer.version);
        }
        if !take_up.unanswered.is_empty() {
            return;
        }
        // After a start each daemon may take another one for the one that schedules.
        match std::mem::replace(&mut take_up.asked_itself, true) {
            true => self.finish_take_up(answer.request, None),
            false => {
                let (spec, stream) = (take_up.spec.clone(), take_up.stream);
                self.ask_itself(self.proof_query(&spec, stream));
            }
        }
    }

    /// Ends the wait of a request for the version of its stream, and admits or refuses it.
    fn finish_take_up(&mut self, id: RequestId, version: Option<VersionDigest>) {
        let Some(take_up) = self.streams.waiting.remove(&id) else { return };
        let WaitingTakeUp { mut spec, since, unanswered, .. } = take_up;
        let waited = self.now.saturating_sub(since);
        spec.time_left = spec.time_left.saturating_sub(waited);
        match version {
            Some(version) => {
                self.note_taken_up(id, VersionSource::Peer, waited);
                spec.version = Some(version);
                self.admit(spec);
            }
            None => self.refuse_take_up(id, unanswered.is_empty(), waited),
        }
    }

    /// Returns the number of requests of callers that this daemon holds.
    pub(super) fn requests_held(&self) -> usize {
        self.entry.len() + self.streams.waiting.len()
    }

    /// Asks again where answers are missing, and ends the waits that have lasted too long.
    pub(super) fn step_take_ups(&mut self) {
        let now = self.now;
        let is_over = |take_up: &WaitingTakeUp| now >= take_up.since + ANSWER_LIMIT;
        let waiting = &self.streams.waiting;
        let over = waiting.iter().filter(|(_, take_up)| is_over(take_up)).map(|(id, _)| *id);
        for id in over.collect::<Vec<_>>() {
            self.finish_take_up(id, None);
        }
        let me = self.options.me.vm.clone();
        let mut queries = Vec::new();
        let mut unasked = Vec::new();
        for (request, take_up) in &mut self.streams.waiting {
            if !take_up.asked_again && now >= take_up.since + ASK_AGAIN_AFTER {
                take_up.asked_again = true;
                // The daemon that schedules may have ended.
                if !std::mem::replace(&mut take_up.asked_itself, true) {
                    unasked.push((take_up.spec.clone(), take_up.stream));
                }
                let Some(stream) = take_up.stream else { continue };
                let query = StreamQuery { request: *request, stream };
                queries.extend(take_up.unanswered.iter().map(|vm| (vm.clone(), query)));
            }
        }
        // A daemon of an earlier version cannot read the first query.
        for (vm, query) in queries.into_iter().filter(|(vm, _)| *vm != me) {
            self.post(&vm, PeerMessage::StreamQuery(query));
        }
        for (spec, stream) in unasked {
            self.ask_itself(self.proof_query(&spec, stream));
        }
    }

    /// Requests a proof from this daemon itself.
    fn ask_itself(&mut self, query: StreamProofQuery) {
        let me = self.options.me.vm.clone();
        if let Some(take_up) = self.streams.waiting.get_mut(&query.request) {
            take_up.unanswered.insert(me.clone());
        }
        self.post(&me, PeerMessage::StreamProofQuery(query));
    }

    /// Forgets a request that has ended while it waited for the version of its stream.
    pub(super) fn forget_take_up(&mut self, id: RequestId) {
        self.streams.waiting.remove(&id);
    }

    /// Records the versions of each pool's targets. Streams that were begun while a pool had one version are reported to the
    /// keepers once it has several.
    pub(super) fn update_stream_versions(&mut self, config: &ActiveConfig) {
        let mut became_mixed = false;
        for (id, pool) in &config.pools {
            let versions: BTreeSet<_> = pool.targets.values().map(|entry| &entry.version).collect();
            let versions =
                versions.into_iter().map(|version| VersionDigest::of(version.as_ref())).collect();
            became_mixed |= self.streams.versions.set_versions(self.now, id, &versions);
        }
        if became_mixed {
            let keepers = self.first_schedulers(&self.all_pools_order, KEEPERS);
            let own = self.streams.versions.own_streams(self.now);
            self.report_streams(&keepers, &own);
        }
    }

    /// Reports the streams of this daemon to daemons that are keepers from now on.
    pub(super) fn report_to_new_keepers(&mut self, before: &[DaemonId]) {
        let mut pools = self.active.pools.keys();
        if !pools.any(|pool| self.streams.versions.is_reported(self.now, pool)) {
            return;
        }
        // A daemon that was started anew on the same VM has forgotten what was reported to the former one.
        let is_keeper = |daemon: &&DaemonId| daemon.vm != self.options.me.vm;
        let before: Vec<_> = before.iter().filter(is_keeper).take(KEEPERS).collect();
        let keepers = self.all_pools_order.iter().filter(is_keeper).take(KEEPERS);
        let new = keepers.filter(|daemon| !before.contains(daemon));
        let keepers: Vec<VmId> = new.map(|daemon| daemon.vm.clone()).collect();
        let own = self.streams.versions.own_streams(self.now);
        self.report_streams(&keepers, &own);
    }

    /// Returns the VMs of the first other daemons in an order of schedulers.
    pub(super) fn first_schedulers(&self, order: &[DaemonId], count: usize) -> Vec<VmId> {
        let others = order.iter().filter(|daemon| daemon.vm != self.options.me.vm);
        others.take(count).map(|daemon| daemon.vm.clone()).collect()
    }

    fn note_taken_up(&mut self, request: RequestId, source: VersionSource, waited: Duration) {
        let note = NodeNote::StreamTakenUp { request, source, waited };
        self.actions.push(NodeAction::Note(note));
    }

    /// Returns the query for the version of a stream that a request takes up. The caller stated the
    /// time that it has left before the request came here.
    fn proof_query(&self, spec: &RequestSpec, stream: Option<StreamId>) -> StreamProofQuery {
        let elapsed = self.recent_standstill();
        let time_left = spec.caller_time_left.map(|left| left.saturating_sub(elapsed));
        StreamProofQuery { request: spec.request, pool: spec.pool.clone(), stream, time_left }
    }
}
