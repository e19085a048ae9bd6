//! A request after its admission.
//!
//! Owns: what a protocol read out of the request's head and the configuration. Relies on: nothing that
//! changes later; a newer configuration does not touch an admitted request.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{
    AccountId, AdmissionRule, LatencyObjectives, RequestDigest, RequestId, TargetPool, TierId,
    TierRank, WorkMicros,
};
use curlewcleat_sched::RequestSpec;

/// Work of a request as estimated before it runs, in microseconds of a target's slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Work on the prompt, which a cached prefix saves.
    pub prompt: WorkMicros,
    /// Other work.
    pub output: WorkMicros,
    /// Hash of the prompt's beginning, `None` where it has none worth caching.
    pub prefix: Option<u64>,
}

/// What admission gave a request.
pub struct AdmittedRequest {
    /// Its id inside the system.
    pub id: RequestId,
    /// The caller's own name of this attempt, empty where the protocol has none.
    pub attempt_id: String,
    /// When its head had arrived.
    pub arrived: Moment,
    /// When its caller stops waiting.
    pub deadline: Moment,
    /// Account that pays, `None` where its rule or the configuration needs none.
    pub account: Option<AccountId>,
    /// Rule that took it.
    pub rule: AdmissionRule,
    /// Name of its tier.
    pub tier: TierId,
    /// Rank by which its pool's scheduler orders it.
    pub rank: TierRank,
    /// Pool that serves it.
    pub pool: TargetPool,
    /// Latency objectives and limits.
    pub objectives: LatencyObjectives,
    /// Targets that it may be sent to, `None` for the daemon's limit.
    pub attempt_limit: Option<u32>,
    /// Units that it counts against its account's shared rate.
    pub cost: u64,
    /// Its work.
    pub work: WorkEstimate,
    /// Names what its caller sent, `None` until its body is read and where that is read only in part.
    pub digest: Option<RequestDigest>,
    /// Idempotency key and the caller's count of attempts with it.
    pub key: Option<(String, Option<u32>)>,
}

impl AdmittedRequest {
    /// The request as the node sees it.
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
            key: self.key.clone(),
        }
    }

    /// Time until the deadline, zero once it has passed.
    pub fn time_left(&self) -> Duration {
        self.deadline.time_left()
    }
}
