//! Messages between entries and schedulers. The codec is positional: names may change, order and types
//! may not.
//!
//! Owns: the form of these messages. Relies on: nothing; `sched` decides.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AccountId, PermitId, PoolId, Refusal, TargetId, TierRank, WorkMicros};

/// What a scheduler has to know of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The attempt that wants the permit.
    pub permit: PermitId,
    /// Pool asked for.
    pub pool: PoolId,
    /// Rank of the tier.
    pub tier: TierRank,
    /// Account that pays.
    pub account: AccountId,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// What its caller hopes for.
    pub objectives: LatencyObjectives,
    /// Prompt work in microseconds of a slot.
    pub prompt_work: WorkMicros,
    /// The rest of the work in microseconds of a slot.
    pub output_work: WorkMicros,
    /// Hash of the prompt's beginning, `None` for services.
    pub prefix: Option<u64>,
    /// What it counts against its account's shared rate.
    pub cost: u64,
    /// Targets that already failed this request.
    pub avoid: Vec<TargetId>,
}

/// What the caller of a request hopes for; nothing is promised about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LatencyObjectives {
    /// Time for which the request may wait for a target.
    pub wait_limit: Duration,
    /// It is refused at once where it is expected to wait longer than this.
    pub forecast_limit: Duration,
    /// Time until the first part of its answer is late.
    pub first_part_by: Duration,
    /// Pause between two parts of the answer above which it is late.
    pub pause_limit: Duration,
    /// Rank of the rule; decides between requests of one account and tier.
    pub urgency: TierRank,
    /// Whether the length of its answer is a guess, so that it may well end sooner than it seems.
    pub length_guessed: bool,
    /// Whether it is a retry after an early refusal, sent when its `Retry-After` had passed.
    pub is_retry: bool,
}

impl Default for LatencyObjectives {
    fn default() -> LatencyObjectives {
        let ever = Duration::MAX;
        LatencyObjectives {
            wait_limit: ever,
            forecast_limit: ever,
            first_part_by: ever,
            pause_limit: ever,
            urgency: 0,
            length_guessed: false,
            is_retry: false,
        }
    }
}

/// The answer to a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The attempt that is answered.
    pub permit: PermitId,
    /// Pool of the permit.
    pub pool: PoolId,
    /// The decision.
    pub decision: PermitDecision,
}

/// Decision of a scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The request is in the queue; also shows that the scheduler lives.
    Queued,
    /// Go to the target.
    Granted(TargetId),
    /// Not served.
    Refused(Refusal),
}

/// What was seen of a whole stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamTiming {
    /// Time from the sending of the request to the first part.
    pub first: Duration,
    /// Time from the first part to the end.
    pub rest: Duration,
    /// Parts.
    pub parts: u32,
    /// Longest time between two parts.
    pub pause: Duration,
}

/// How an attempt ended, for the scheduler's view of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The permit was not used.
    Unused,
    /// A whole answer arrived after this time.
    Whole(Duration),
    /// A whole stream arrived.
    Streamed(StreamTiming),
    /// The target failed or was too slow.
    Failed,
}

/// Gives a permit back or cancels a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitReturn {
    /// The attempt.
    pub permit: PermitId,
    /// Pool of the permit.
    pub pool: PoolId,
    /// How it ended.
    pub end: AttemptEnd,
}

/// A permit in use, reported to a new scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitHeld {
    /// The permit request that led to the permit.
    pub request: PermitRequest,
    /// The target in use.
    pub target: TargetId,
}

/// A tier that is refused for want of capacity.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShedRequest {
    /// The pool.
    pub pool: PoolId,
    /// The tier; all below it are to be shed.
    pub tier: TierRank,
    /// Number of the sender's round, for the confirmation.
    pub round: u64,
}
