//! Admission rules: which requests they take, and what they grant them.
//!
//! Owns: matching of a request's host, method, path, account and header. Relies on: `config` for
//! checks.

use std::time::Duration;

use crate::{AccountId, PoolId, TierId};

/// Gives requests their tier and pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionRule {
    /// Name of the rule.
    pub id: String,
    /// Rules are tried in ascending order.
    pub order: u32,
    /// Method, `None` for any.
    pub method: Option<String>,
    /// Path; a trailing `*` matches any rest.
    pub path: String,
    /// Account, `None` for any.
    pub account: Option<AccountId>,
    /// Header name in lower case and its value, `None` for any.
    pub header: Option<(String, String)>,
    /// Tier given.
    pub tier: TierId,
    /// Pool given.
    pub pool: PoolId,
    /// Whether a request may run more than once. A request that may not takes an idempotency key.
    pub repeatable: bool,
    /// Longest body in bytes.
    pub body_limit: usize,
    /// Host that the request names, `None` for any.
    pub host: Option<String>,
    /// Pools that share the requests, with their weights; empty where `pool` gets all.
    pub split: Vec<PoolShare>,
    /// Whether requests need no account.
    pub public: bool,
    /// How requests are served.
    pub service: ServiceTerms,
}

/// A pool's share of a rule's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolId,
    /// Its weight among the shares.
    pub weight: u32,
}

/// Times and attempts that a rule grants its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServiceTerms {
    /// Longest time from the request to the end of its answer, `None` for the deadline alone.
    pub timeout: Option<Duration>,
    /// Time to the first part of the answer that counts as in time.
    pub objective: Option<Duration>,
    /// Pause between two parts of the answer that still counts as in time.
    pub pause_limit: Option<Duration>,
    /// Targets that one request may be sent to.
    pub attempt_limit: u32,
    /// Whether the answer is a series of events.
    pub streams: bool,
    /// Whether a broken stream may be taken up at another target.
    pub resumable: bool,
}

impl Default for ServiceTerms {
    fn default() -> ServiceTerms {
        ServiceTerms {
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
    /// Pools that the rule may send to.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        let alone = self.split.is_empty().then_some(&self.pool);
        alone.into_iter().chain(self.split.iter().map(|share| &share.pool))
    }

    /// The pool for a request, by a number that is drawn evenly from all.
    pub fn pool_for(&self, drawn: u64) -> &PoolId {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return &self.pool;
        }
        let mut rest = drawn % total;
        for share in &self.split {
            match rest.checked_sub(u64::from(share.weight)) {
                Some(left) => rest = left,
                None => return &share.pool,
            }
        }
        &self.pool
    }

    /// Whether the rule matches host, method and path of a request.
    pub fn takes(&self, host: &str, method: &str, path: &str) -> bool {
        let host_fits = self.host.as_deref().is_none_or(|wanted| wanted.eq_ignore_ascii_case(host));
        host_fits && self.account.is_none() && self.matches(method, path, "", |_| None)
    }

    /// Whether the rule matches a request. `header` looks a header up by its lower-case name.
    pub fn matches<'a>(
        &self,
        method: &str,
        path: &str,
        account: &str,
        header: impl Fn(&str) -> Option<&'a str>,
    ) -> bool {
        let method_fits = self.method.as_deref().is_none_or(|wanted| wanted == method);
        let path_fits = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        let account_fits = self.account.as_deref().is_none_or(|wanted| wanted == account);
        let header_fits = match &self.header {
            Some((name, value)) => header(name) == Some(value.as_str()),
            None => true,
        };
        method_fits && path_fits && account_fits && header_fits
    }
}
