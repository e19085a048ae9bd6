//! Holds the properties of an admitted request.
//!
//! Owns: what a protocol took from the request's head and the configuration. Relies on: nothing that
//! changes later; a newer configuration does not affect an admitted request.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{
    AccountId, AdmissionRule, LatencyObjectives, RequestDigest, RequestFeature, RequestId,
    StreamId, TargetPool, TierId, TierRank, WorkMicros,
};
use curlewcleat_sched::{RequestSpec, TakenUpStream};

/// Estimated work of a request, in microseconds of a target's slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Work on the prompt, which a cached prefix reduces.
    pub prompt: WorkMicros,
    /// All other work, mainly the output.
    pub output: WorkMicros,
    /// Hash of the prompt's prefix, `None` where the prompt has no prefix worth caching.
    pub prefix: Option<u64>,
}

/// What a caller states about a stream that it takes up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeUpHeaders {
    /// The attempt that brought the first event, `None` where the caller does not name one.
    pub begun_as: Option<String>,
    /// The last event that the caller has, as it states it.
    pub last_event: String,
}

impl TakeUpHeaders {
    /// Returns the number of the last event that the caller has, `None` where it states no number.
    pub fn last_number(&self) -> Option<u64> {
        self.last_event.parse().ok()
    }
}

/// A request with everything that its admission determined.
pub struct AdmittedRequest {
    /// Id inside the system.
    pub id: RequestId,
    /// Id that the caller gave this attempt, empty where the protocol has none.
    pub attempt_id: String,
    /// When the head had arrived.
    pub arrived: Moment,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// Time for which the caller still waited when the head had arrived, `None` if it does not state it.
    pub caller_time_left: Option<Duration>,
    /// Account that the request is counted against, `None` where the rule or the configuration requires none.
    pub account: Option<AccountId>,
    /// Rule that matched the request.
    pub rule: AdmissionRule,
    /// Id of the tier.
    pub tier: TierId,
    /// Rank by which the pool's scheduler orders the request.
    pub rank: TierRank,
    /// Pool that serves the request.
    pub pool: TargetPool,
    /// Latency objectives and limits.
    pub objectives: LatencyObjectives,
    /// Number of targets that the request may be sent to, `None` for the daemon's limit.
    pub attempt_limit: Option<u32>,
    /// Units that the request counts against the account's shared rate.
    pub cost: u64,
    /// Estimated work.
    pub work: WorkEstimate,
    /// Digest of what the caller sent, `None` until the body is read and where only its beginning is read.
    pub digest: Option<RequestDigest>,
    /// Features of the parts of its prompt that other prompts may share.
    pub part_features: Vec<RequestFeature>,
    /// Idempotency key and the caller's attempt number for it.
    pub key: Option<(String, Option<u32>)>,
    /// The stream that the request takes up, `None` where it begins one or has another answer.
    pub take_up: Option<TakeUpHeaders>,
}

impl AdmittedRequest {
    /// Returns the specification of the request for the node.
    pub fn spec(&self) -> RequestSpec {
        RequestSpec {
            request: self.id,
            pool: self.pool.id.clone(),
            tier: self.rank,
            // Requests without an account share one queue.
            account: self.account.clone().unwrap_or_default(),
            time_left: self.time_left(),
            objectives: self.objectives,
            attempt_limit: self.attempt_limit,
            cost: self.cost,
            prompt_work: self.work.prompt,
            output_work: self.work.output,
            prefix: self.work.prefix,
            digest: self.digest,
            part_features: self.part_features.clone(),
            key: self.key.clone(),
            takes_up: self.take_up.as_ref().map(|take_up| TakenUpStream {
                stream: take_up.begun_as.as_ref().map(|attempt| self.stream(attempt)),
            }),
            version: None,
            begins: self.begun_stream().filter(|_| self.take_up.is_none()),
            caller_time_left: self
                .caller_time_left
                .map(|time_left| time_left.saturating_sub(self.arrived.elapsed())),
        }
    }

    /// Returns the stream that the answer begins or continues, `None` where it cannot be taken up by its attempt.
    pub fn begun_stream(&self) -> Option<StreamId> {
        let may_be_taken_up = self.rule.service.streams && self.rule.repeatable;
        let begun_as = self.take_up.as_ref().and_then(|take_up| take_up.begun_as.as_ref());
        may_be_taken_up.then(|| self.stream(begun_as.unwrap_or(&self.attempt_id)))
    }

    fn stream(&self, attempt: &str) -> StreamId {
        // Requests without an account share their streams.
        let account = self.account.as_deref().unwrap_or_default();
        StreamId::new(&self.pool.id, account, attempt)
    }

    /// Returns the time until the deadline, zero once it has passed.
    pub fn time_left(&self) -> Duration {
        self.deadline.time_left()
    }
}
