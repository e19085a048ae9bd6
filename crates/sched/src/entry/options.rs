//! Options of an entry, and the specification of a request.
//!
//! Owns: the defaults of an entry. Relies on: the settings for what differs.

use std::time::Duration;

use curlewcleat_core::{
    AccountId, LatencyObjectives, PoolId, RequestDigest, RequestId, TierRank, WorkMicros,
};

use crate::retry::budget::RetryLimits;

/// Times and bounds of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryOptions {
    /// Time for the first sign of the scheduler, then for each further one.
    pub answer_timeout: Duration,
    /// Time between repeated permit requests while a request waits.
    pub refresh_every: Duration,
    /// Time for the answer of the key's holder.
    pub key_limit: Duration,
    /// Claims sent before the holder counts as unreachable.
    pub key_tries: u32,
    /// Dispatches of a request at most.
    pub attempt_limit: u32,
    /// Time for which an unresponsive scheduler is passed over.
    pub avoid_for: Duration,
    /// Requests sent to an unresponsive scheduler before it is passed over.
    pub answer_tries: u32,
    /// Retries in each pool.
    pub retries: RetryLimits,
}

/// The settings `[peers] ask_limit` and `ask_tries` give the times of schedulers; the others have no settings.
impl Default for EntryOptions {
    fn default() -> EntryOptions {
        EntryOptions {
            answer_timeout: Duration::from_millis(250),
            refresh_every: Duration::from_secs(1),
            key_limit: Duration::from_millis(150),
            key_tries: 3,
            attempt_limit: 3,
            avoid_for: Duration::from_secs(3),
            answer_tries: 2,
            retries: RetryLimits::default(),
        }
    }
}

/// A request as it is admitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestSpec {
    /// Its id.
    pub request: RequestId,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Rank of its tier.
    pub tier: TierRank,
    /// Account that pays.
    pub account: AccountId,
    /// Time until its deadline.
    pub time_left: Duration,
    /// What its caller hopes for.
    pub objectives: LatencyObjectives,
    /// Targets that it may be sent to, `None` for the entry's own limit.
    pub attempt_limit: Option<u32>,
    /// Prompt work.
    pub prompt_work: WorkMicros,
    /// Other work.
    pub output_work: WorkMicros,
    /// Hash of the prompt's beginning.
    pub prefix: Option<u64>,
    /// What it counts against its account's shared rate.
    pub cost: u64,
    /// Names what its caller sent, `None` where its body was not read whole.
    pub digest: Option<RequestDigest>,
    /// The key of a request that may not be repeated, with the caller's attempt number.
    pub key: Option<(String, Option<u32>)>,
}
