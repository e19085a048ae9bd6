//! Messages between entry daemons and schedulers. The codec is positional: names may change, order and types may not.
//!
//! Owns: the format of these messages. Relies on: nothing; `sched` decides.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AccountId, PermitId, PoolId, Refusal, TargetId, TierRank, VersionDigest, WorkMicros};

/// Requests a permit, with the properties of the request that the scheduler needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The request and the attempt that the permit is for.
    pub permit: PermitId,
    /// Pool that is to serve the request.
    pub pool: PoolId,
    /// Rank of the request's tier.
    pub tier: TierRank,
    /// Client account of the request.
    pub account: AccountId,
    /// Remaining time until the deadline.
    pub time_left: Duration,
    /// Latency objectives of the request.
    pub objectives: LatencyObjectives,
    /// Prompt work in microseconds of a slot.
    pub prompt_work: WorkMicros,
    /// Work after the prompt in microseconds of a slot.
    pub output_work: WorkMicros,
    /// Hash of the prompt prefix, `None` for services.
    pub prefix: Option<u64>,
    /// Units that the request uses of its account's shared rate.
    pub cost: u64,
    /// Targets that have failed this request already.
    pub avoid: Vec<TargetId>,
    /// The version that its target must have, `None` for any. It is sent as a part of
    /// [`VersionPermitRequest`](super::VersionPermitRequest), since the codec is positional.
    #[serde(skip)]
    pub version: Option<VersionDigest>,
}

impl PermitRequest {
    /// Returns whether a target of a version may serve the request.
    pub fn allows_version(&self, version: VersionDigest) -> bool {
        self.version.is_none_or(|required| required == version)
    }
}

/// Latency objectives of a request; they are not guaranteed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LatencyObjectives {
    /// Longest time for which the request may wait for a target.
    pub wait_limit: Duration,
    /// The request is refused at once where its expected wait is longer than this.
    pub forecast_limit: Duration,
    /// Time after which the first part of the answer is late.
    pub first_part_by: Duration,
    /// Longest pause between two parts of the answer; after a longer one the next part is late.
    pub pause_limit: Duration,
    /// Rank of the rule; orders requests of the same account and tier.
    pub urgency: TierRank,
    /// Whether the length of the answer is a guess, so that the request may end earlier than estimated.
    pub length_guessed: bool,
    /// Whether the request is a retry after an early refusal, sent once the `Retry-After` time had passed.
    pub is_retry: bool,
}

impl Default for LatencyObjectives {
    fn default() -> LatencyObjectives {
        let unlimited = Duration::MAX;
        LatencyObjectives {
            wait_limit: unlimited,
            forecast_limit: unlimited,
            first_part_by: unlimited,
            pause_limit: unlimited,
            urgency: 0,
            length_guessed: false,
            is_retry: false,
        }
    }
}

/// The answer to a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The permit that was requested.
    pub permit: PermitId,
    /// Pool of the permit.
    pub pool: PoolId,
    /// The scheduler's decision.
    pub decision: PermitDecision,
}

/// Decision of a scheduler on a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The request is in the queue; this also shows that the scheduler is alive.
    Queued,
    /// The request may be sent to this target.
    Granted(TargetId),
    /// The request is refused.
    Refused(Refusal),
}

/// Timing of a complete stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamTiming {
    /// Time from the sending of the request to the first part.
    pub first: Duration,
    /// Time from the first part to the end.
    pub rest: Duration,
    /// Number of parts.
    pub parts: u32,
    /// Longest time between two consecutive parts.
    pub pause: Duration,
}

/// How an attempt ended, from which the scheduler updates its view of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The permit was not used.
    Unused,
    /// A complete answer arrived after this time.
    Whole(Duration),
    /// A complete stream arrived.
    Streamed(StreamTiming),
    /// The target failed or was too slow.
    Failed,
}

/// Returns a permit or cancels a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitReturn {
    /// The permit.
    pub permit: PermitId,
    /// Pool of the permit.
    pub pool: PoolId,
    /// How the attempt ended.
    pub end: AttemptEnd,
}

/// A permit in use, reported to a new scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitHeld {
    /// The request for which the permit was granted.
    pub request: PermitRequest,
    /// The target that serves the request.
    pub target: TargetId,
}

/// Announces that a tier is refused because of too little capacity.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShedRequest {
    /// The pool.
    pub pool: PoolId,
    /// Rank of the tier; the receiver must shed all tiers below it.
    pub tier: TierRank,
    /// Number of the sender's round, returned in the confirmation.
    pub round: u64,
}
