//! Proves which version began a stream that no daemon remembers, by the stored splits.
//!
//! A proof is made after a read that was sent when the request for it had arrived, so that no split is missing. While the
//! platform does not answer, a daemon that has scheduled for long enough proves by the splits that it knows.
//!
//! Owns: the requests that wait for a proof. Relies on: [`version_histories`](super::version_histories) for the splits,
//! `version_proof` for the rule.

use std::time::Duration;

use curlewcleat_core::{
    PeerMessage, RequestId, StreamAnswer, StreamProofQuery, Uptime, VmId, WallTime,
};
use curlewcleat_sched::{prove_version, FleetReach, UnprovedReason, VersionProof};

use super::stream_starts::ADOPT_ALONE_AFTER;
use super::streams::ANSWER_LIMIT;
use super::version_histories::READ_LIMIT;
use super::Node;
use crate::event::{NodeAction, NodeNote};

/// Time for which this daemon has to have scheduled before it proves without a read, beyond the age of the stream.
const LEAD_MARGIN: Duration = Duration::from_secs(5);
/// Time after which a write that a former scheduler has requested is done or lost, beyond which a read shows it.
const LATEST_WRITE: Duration = Duration::from_secs(2);
/// Age of the latest read up to which it does: a daemon that does not reach most others may bring another split into use
/// later than that.
const UNREAD_PROOF_LIMIT: Duration = ADOPT_ALONE_AFTER.saturating_sub(LEAD_MARGIN);

/// A daemon that waits for a proof.
#[derive(Clone, Debug)]
pub(super) struct PendingProof {
    from: VmId,
    query: StreamProofQuery,
    since: Uptime,
    /// The earliest time at which the query can have been sent.
    asked: WallTime,
}

impl Node {
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
        // An answer to a query that was sent earlier is not accepted.
        let asked = self.wall.saturating_sub(ANSWER_LIMIT + self.recent_standstill());
        let proof = PendingProof { from: from.clone(), query, since: self.now, asked };
        self.histories.proofs.push(proof);
        self.request_history_read();
    }

    /// Answers the queries that arrived before the read that was sent at `sent`.
    pub(super) fn answer_proofs_after(&mut self, sent: Uptime) {
        let proofs = std::mem::take(&mut self.histories.proofs);
        let (ready, later) = proofs.into_iter().partition(|proof| proof.since <= sent);
        self.histories.proofs = later;
        self.answer_proofs(ready);
    }

    fn answer_proofs(&mut self, proofs: Vec<PendingProof>) {
        let read_age = self.histories.last_read.map(|read| self.now.saturating_sub(read));
        for PendingProof { from, query, asked, .. } in proofs {
            let known = query.stream.and_then(|stream| self.remembered_version(&stream));
            let proof = match (known, self.histories.pools.get(&query.pool)) {
                (Some(version), _) => VersionProof::known(version),
                (None, Some(pool)) => {
                    prove_version(&pool.history, query.stream.as_ref(), asked, query.time_left)
                }
                (None, None) => VersionProof::without(UnprovedReason::PoolNotKnown),
            };
            let (request, version) = (query.request, proof.version());
            let note = NodeNote::StreamProof { request, proof, read_age };
            self.actions.push(NodeAction::Note(note));
            self.post(&from, PeerMessage::StreamAnswer(StreamAnswer { request, version }));
        }
    }

    /// Ends the waits for a proof that have lasted too long. Where this daemon may not prove by what it knows, the
    /// asking daemon gets no answer, which tells it that the version may be known later.
    pub(super) fn end_proofs(&mut self) {
        let now = self.now;
        let proofs = std::mem::take(&mut self.histories.proofs);
        let (over, later): (Vec<_>, Vec<_>) =
            proofs.into_iter().partition(|proof| now >= proof.since + READ_LIMIT);
        self.histories.proofs = later;
        let over = over.into_iter().filter(|proof| self.has_led_since(&proof.query)).collect();
        self.answer_proofs(over);
    }

    /// Returns whether this daemon has scheduled most daemons for all the time in which the stream can have begun, and has
    /// read the splits since. One that does not reach most daemons may have been replaced by another one.
    fn has_led_since(&self, query: &StreamProofQuery) -> bool {
        let (exchange, now) = (&self.histories, self.now);
        let Some(pool) = exchange.pools.get(&query.pool) else { return false };
        let since = exchange.leading_since.zip(exchange.most_since);
        let Some(since) = since.map(|(leading, most)| leading.max(most)) else { return false };
        let is_read = pool
            .last_read
            .is_some_and(|read| read >= since + LATEST_WRITE && now < read + UNREAD_PROOF_LIMIT);
        let longest = pool.history.longest_timeout;
        let age = longest.zip(query.time_left).map(|(longest, left)| longest.saturating_sub(left));
        // Another daemon may have read a split that this one had stored, and begun the stream by it.
        is_read
            && pool.write_requested.is_none()
            && age.is_some_and(|age| now >= since + age + LEAD_MARGIN)
            && self.leads_without_platform(pool, FleetReach::Most)
    }
}
