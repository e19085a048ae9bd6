//! Finds the version of the target that began a stream which a caller takes up, by asking other daemons where this one
//! does not know it.
//!
//! While a pool has targets of several versions, the daemon that holds a caller's connection reports which version begins
//! which stream to the keepers: the first daemons in the order of schedulers. They are the same for all daemons, and more
//! than one, since a caller takes up its stream because a daemon has ended.
//!
//! Owns: the requests that wait for the version of their stream. Relies on: [`StreamVersions`] for the rule.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    ActiveConfig, DaemonId, PeerMessage, PoolId, Refusal, RefusalReason, RequestId, StreamAnswer,
    StreamId, StreamQuery, StreamVersion, Uptime, VersionDigest, VmId,
};
use curlewcleat_sched::{RequestSpec, StreamBegin, StreamVersions};

use super::Node;
use crate::event::{CallerDecision, NodeAction, NodeNote, VersionSource};

/// Number of daemons to which it is reported which version began a stream.
const KEEPERS: usize = 3;
/// Number of daemons that are asked: one more, since a daemon that has joined may have displaced a keeper.
const ASKED: usize = KEEPERS + 1;
/// Time after which the daemons that have not answered are asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(100);
/// Time after which a request does not wait for further answers.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// Most streams in one message.
const STREAMS_PER_MESSAGE: usize = 256;

/// Streams of this daemon, and the requests that wait for the version of their stream.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamExchange {
    versions: StreamVersions,
    waiting: BTreeMap<RequestId, WaitingTakeUp>,
}

/// A request that waits for the version of the stream that it takes up.
#[derive(Clone, Debug)]
struct WaitingTakeUp {
    spec: RequestSpec,
    stream: StreamId,
    since: Uptime,
    /// Daemons that have not answered.
    unanswered: BTreeSet<VmId>,
    asked_again: bool,
}

impl Node {
    /// Limits a request that takes up a stream to the version that began it. Returns the request, or `None` where it waits
    /// for the version or is refused.
    pub(super) fn resolve_stream(&mut self, mut spec: RequestSpec) -> Option<RequestSpec> {
        let Some(taken_up) = spec.takes_up.filter(|_| spec.version.is_none()) else {
            return Some(spec);
        };
        let found = self.streams.versions.find(self.now, &spec.pool, taken_up.stream.as_ref());
        match (found, taken_up.stream) {
            (StreamBegin::Version(version), _) => {
                self.note_taken_up(spec.request, VersionSource::Own, Duration::ZERO);
                spec.version = Some(version);
                Some(spec)
            }
            (StreamBegin::NoTargets, _) => Some(spec),
            (StreamBegin::Unknown, Some(stream)) => self.ask_keepers(spec, stream),
            (StreamBegin::Unknown, None) => self.resolve_unreported(spec, Duration::ZERO),
        }
    }

    fn ask_keepers(&mut self, spec: RequestSpec, stream: StreamId) -> Option<RequestSpec> {
        let asked = self.first_schedulers(&self.all_pools_order, ASKED);
        if asked.is_empty() {
            return self.resolve_unreported(spec, Duration::ZERO);
        }
        let query = StreamQuery { request: spec.request, stream };
        for vm in &asked {
            self.post(vm, PeerMessage::StreamQuery(query));
        }
        let (since, unanswered) = (self.now, asked.into_iter().collect());
        let take_up = WaitingTakeUp { stream, since, unanswered, asked_again: false, spec };
        self.streams.waiting.insert(query.request, take_up);
        None
    }

    /// Limits a request to the version that began a stream which no daemon knows, or refuses it.
    fn resolve_unreported(
        &mut self,
        mut spec: RequestSpec,
        waited: Duration,
    ) -> Option<RequestSpec> {
        match self.streams.versions.unreported(self.now, &spec.pool) {
            StreamBegin::Version(version) => {
                self.note_taken_up(spec.request, VersionSource::Unreported, waited);
                spec.version = Some(version);
                Some(spec)
            }
            StreamBegin::NoTargets => Some(spec),
            StreamBegin::Unknown => {
                self.note_taken_up(spec.request, VersionSource::Unknown, waited);
                // A retry finds no more than this attempt did.
                let refusal = Refusal::not_run(RefusalReason::StreamVersionUnknown, None);
                let decision = CallerDecision::Refuse(refusal);
                self.actions.push(NodeAction::Decide(spec.request, decision));
                None
            }
        }
    }

    /// Records the version that began the answer of a request, and reports it to the keepers.
    pub(super) fn stream_begun(&mut self, id: RequestId, pool: &PoolId, begun: StreamVersion) {
        self.entry.set_version(id, begun.version);
        self.streams.versions.remember(self.now, begun, true);
        if self.streams.versions.is_mixed(self.now, pool) {
            let keepers = self.first_schedulers(&self.all_pools_order, KEEPERS);
            self.report_streams(&keepers, &[begun]);
        }
    }

    fn report_streams(&mut self, keepers: &[VmId], streams: &[StreamVersion]) {
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
        let version = self.streams.versions.version_of(&query.stream);
        let answer = StreamAnswer { request: query.request, version };
        self.post(from, PeerMessage::StreamAnswer(answer));
    }

    pub(super) fn stream_answered(&mut self, from: &VmId, answer: StreamAnswer) {
        let Some(take_up) = self.streams.waiting.get_mut(&answer.request) else { return };
        take_up.unanswered.remove(from);
        let is_complete = take_up.unanswered.is_empty();
        if answer.version.is_some() || is_complete {
            self.finish_take_up(answer.request, answer.version);
        }
    }

    /// Ends the wait of a request for the version of its stream, and admits or refuses it.
    fn finish_take_up(&mut self, id: RequestId, version: Option<VersionDigest>) {
        let Some(WaitingTakeUp { mut spec, since, .. }) = self.streams.waiting.remove(&id) else {
            return;
        };
        let waited = self.now.saturating_sub(since);
        spec.time_left = spec.time_left.saturating_sub(waited);
        let spec = match version {
            Some(version) => {
                self.note_taken_up(id, VersionSource::Peer, waited);
                spec.version = Some(version);
                Some(spec)
            }
            None => self.resolve_unreported(spec, waited),
        };
        if let Some(spec) = spec {
            self.admit(spec);
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
        let mut queries = Vec::new();
        for (request, take_up) in &mut self.streams.waiting {
            if !take_up.asked_again && now >= take_up.since + ASK_AGAIN_AFTER {
                take_up.asked_again = true;
                let query = StreamQuery { request: *request, stream: take_up.stream };
                queries.extend(take_up.unanswered.iter().map(|vm| (vm.clone(), query)));
            }
        }
        for (vm, query) in queries {
            self.post(&vm, PeerMessage::StreamQuery(query));
        }
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
        if !pools.any(|pool| self.streams.versions.is_mixed(self.now, pool)) {
            return;
        }
        let before = self.first_schedulers(before, KEEPERS);
        let mut keepers = self.first_schedulers(&self.all_pools_order, KEEPERS);
        keepers.retain(|vm| !before.contains(vm));
        let own = self.streams.versions.own_streams(self.now);
        self.report_streams(&keepers, &own);
    }

    /// Returns the VMs of the first other daemons in an order of schedulers.
    fn first_schedulers(&self, order: &[DaemonId], count: usize) -> Vec<VmId> {
        let others = order.iter().filter(|daemon| daemon.vm != self.options.me.vm);
        others.take(count).map(|daemon| daemon.vm.clone()).collect()
    }

    fn note_taken_up(&mut self, request: RequestId, source: VersionSource, waited: Duration) {
        let note = NodeNote::StreamTakenUp { request, source, waited };
        self.actions.push(NodeAction::Note(note));
    }
}
