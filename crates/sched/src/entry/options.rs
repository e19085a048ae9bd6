//! Options of an entry daemon, and the specification of a request.
//!
//! Owns: the default options. Relies on: the settings for values that differ from them.

use std::time::Duration;

use curlewcleat_core::{
    AccountId, LatencyObjectives, PoolId, RequestDigest, RequestFeature, RequestId, StreamId,
    TierRank, Uptime, VersionDigest, WorkMicros,
};

use crate::retry::budget::RetryLimits;

/// Timeouts and limits of an entry daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryOptions {
    /// Time within which a scheduler has to answer a permit request; longer for one whose late answers took longer.
    pub answer_timeout: Duration,
    /// Interval at which the permit request of a queued request is repeated.
    pub refresh_every: Duration,
    /// Time within which a key holder has to answer a claim.
    pub key_limit: Duration,
    /// Number of claims sent before the key holder counts as unreachable.
    pub key_tries: u32,
    /// Maximum number of attempts of a request.
    pub attempt_limit: u32,
    /// Time for which an unresponsive scheduler is skipped.
    pub skip_for: Duration,
    /// Number of permit requests that a scheduler may leave unanswered before it is skipped.
    pub answer_tries: u32,
    /// Limits on the retries in each pool.
    pub retries: RetryLimits,
}

/// The settings `[peers] ask_limit` and `ask_tries` override `answer_timeout` and `answer_tries`; the other options
/// have no setting.
impl Default for EntryOptions {
    fn default() -> EntryOptions {
        EntryOptions {
            answer_timeout: Duration::from_millis(250),
            refresh_every: Duration::from_secs(1),
            key_limit: Duration::from_millis(150),
            key_tries: 3,
            attempt_limit: 3,
            skip_for: Duration::from_secs(3),
            answer_tries: 2,
            retries: RetryLimits::default(),
        }
    }
}

/// What an entry daemon knows of a request when it admits it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestSpec {
    /// Id of the request.
    pub request: RequestId,
    /// Pool that serves the request.
    pub pool: PoolId,
    /// Rank of its tier.
    pub tier: TierRank,
    /// Account that the request counts against.
    pub account: AccountId,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Latency objectives of the caller.
    pub objectives: LatencyObjectives,
    /// Maximum number of attempts, `None` for the limit in [`EntryOptions`].
    pub attempt_limit: Option<u32>,
    /// Estimated work of the prompt.
    pub prompt_work: WorkMicros,
    /// Estimated work of the output.
    pub output_work: WorkMicros,
    /// Hash of the beginning of the prompt.
    pub prefix: Option<u64>,
    /// Cost of the request, counted against its account's shared rate.
    pub cost: u64,
    /// Digest of what the caller sent, `None` if the body was not read whole.
    pub digest: Option<RequestDigest>,
    /// Features of the parts of its prompt that other prompts may share.
    pub part_features: Vec<RequestFeature>,
    /// Idempotency key of a request that may not be repeated, with the caller's attempt number.
    pub key: Option<(String, Option<u32>)>,
    /// The stream that the request takes up, `None` where it takes up none.
    pub takes_up: Option<TakenUpStream>,
    /// The version that its target must have, `None` for any.
    pub version: Option<VersionDigest>,
    /// The stream that the request begins, `None` where it begins none that may be taken up.
    pub begins: Option<StreamId>,
    /// Time for which its caller waits as the caller states it, `None` if it does not.
    pub caller_time_left: Option<Duration>,
}

impl RequestSpec {
    /// Returns until when the request may wait for a target. A stream that is taken up has waited already, and its caller has a
    /// part of the answer.
    pub fn wait_until(&self, now: Uptime) -> Uptime {
        match self.takes_up {
            Some(_) => now + self.time_left,
            None => now.saturating_add(self.objectives.wait_limit),
        }
    }

    /// Returns the features under which targets may terminate.
    pub fn features(&self) -> impl Iterator<Item = RequestFeature> + '_ {
        let whole = self.digest.map(RequestFeature::from);
        whole.into_iter().chain(self.part_features.iter().copied())
    }
}

/// A stream that a caller takes up again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TakenUpStream {
    /// The stream, `None` where the caller does not name the attempt that began it.
    pub stream: Option<StreamId>,
}
