//! Admission rules: which requests they match, and which tier, pool and limits those requests get.
//!
//! Owns: matching of a request's host, method, path, account and header. Relies on: `config` for the validation.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{AccountId, PoolId, TierId};

/// A rule that assigns a tier and a pool to the requests that it matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdmissionRule {
    /// Name of the rule.
    pub id: String,
    /// Rules are evaluated in ascending order of this number.
    pub order: u32,
    /// HTTP method, `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// Path; a trailing `*` matches any suffix.
    pub path: String,
    /// Client account, `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// Header name in lower case and its value, `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub header: Option<(String, String)>,
    /// Tier of the matched requests.
    pub tier: TierId,
    /// Pool of the matched requests.
    pub pool: PoolId,
    /// Whether a request may run more than once. If not, it can carry an idempotency key.
    pub repeatable: bool,
    /// Longest body in bytes.
    pub body_limit: usize,
    /// Host of the request, `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Pools that share the requests, with their weights; empty where `pool` gets all of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<PoolShare>,
    /// Whether requests need no account.
    pub public: bool,
    /// Time limits and attempts of the requests.
    pub service: ServiceLimits,
    /// Whether all requests under the rule are refused, because part of its configuration cannot be used.
    pub closed: bool,
}

/// A pool's share of a rule's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolId,
    /// Weight relative to the other shares.
    pub weight: u32,
}

/// Time limits, attempts and streaming behaviour of a rule's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLimits {
    /// Longest time from the request to the end of its answer, `None` where only the deadline applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout: Option<Duration>,
    /// Longest time to the first part of the answer that still meets the latency objective.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective: Option<Duration>,
    /// Longest pause between two parts of the answer that still meets the latency objective.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause_limit: Option<Duration>,
    /// Highest number of targets to which one request may be sent.
    pub attempt_limit: u32,
    /// Whether the answer is an event stream.
    pub streams: bool,
    /// Whether an interrupted stream may be resumed at another target.
    pub resumable: bool,
}

impl Default for ServiceLimits {
    fn default() -> ServiceLimits {
        ServiceLimits {
            timeout: None,
            objective: None,
            pause_limit: None,
            attempt_limit: 3,
            streams: false,
            resumable: false,
        }
    }
}

impl AdmissionRule {
    /// Returns the pools to which the rule may send requests.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        let only_pool = self.split.is_empty().then_some(&self.pool);
        only_pool.into_iter().chain(self.split.iter().map(|share| &share.pool))
    }

    /// Returns the pool for a request, selected by a uniformly distributed random number.
    pub fn pool_for(&self, random: u64) -> &PoolId {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return &self.pool;
        }
        let mut remaining = random % total;
        for share in &self.split {
            match remaining.checked_sub(u64::from(share.weight)) {
                Some(difference) => remaining = difference,
                None => return &share.pool,
            }
        }
        &self.pool
    }

    /// Returns the pool for a stream, selected by the attempt that began it, so that every daemon sends all attempts of a
    /// caller at one stream to the same pool.
    pub fn pool_for_stream(&self, begun_as: &str) -> &PoolId {
        let digest = Sha256::digest(begun_as);
        let (first, _) = digest.split_at(size_of::<u64>());
        let drawn = first.iter().fold(0, |drawn: u64, byte| drawn << 8 | u64::from(*byte));
        self.pool_for(drawn)
    }

    /// Returns whether the rule has no account or header condition and matches host, method and path of a request.
    pub fn matches_route(&self, host: &str, method: &str, path: &str) -> bool {
        let host_matches =
            self.host.as_deref().is_none_or(|expected| expected.eq_ignore_ascii_case(host));
        host_matches && self.account.is_none() && self.matches(method, path, "", |_| None)
    }

    /// Returns whether the rule matches a request, whatever its host. `header` looks up a header by its lower-case
    /// name.
    pub fn matches<'a>(
        &self,
        method: &str,
        path: &str,
        account: &str,
        header: impl Fn(&str) -> Option<&'a str>,
    ) -> bool {
        let method_matches = self.method.as_deref().is_none_or(|expected| expected == method);
        let path_matches = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        let account_matches = self.account.as_deref().is_none_or(|expected| expected == account);
        let header_matches = match &self.header {
            Some((name, value)) => header(name) == Some(value.as_str()),
            None => true,
        };
        method_matches && path_matches && account_matches && header_matches
    }
}
