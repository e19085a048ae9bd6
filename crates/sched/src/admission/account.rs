//! Limits of one client account in one pool.
//!
//! Inputs: the account's rate in requests per second and its queue limit in requests, both from its
//! section in the configuration. The rule: a request takes one token from a bucket that holds one
//! second's worth of requests; if the bucket is empty, the request is refused with the time until the next token.
//!
//! Owns: the token bucket of an account in one pool. Relies on: the configuration for its rate.

use std::time::Duration;

use curlewcleat_core::Uptime;

use super::token_bucket::{TokenBucket, SCALE};

/// Weight and limits of an account in a pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AccountLimit {
    /// Share relative to the other accounts.
    pub weight: u32,
    /// Requests per second; `None` is unlimited.
    pub rate_per_s: Option<u32>,
    /// Maximum number of waiting requests.
    pub queue_limit: u32,
}

impl Default for AccountLimit {
    fn default() -> AccountLimit {
        AccountLimit { weight: 1, rate_per_s: None, queue_limit: 10_000 }
    }
}

/// The token bucket of one account in one pool, in requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RateBucket {
    tokens: TokenBucket,
}

impl RateBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_s: u32, now: Uptime) -> RateBucket {
        RateBucket { tokens: TokenBucket::new(capacity(rate_per_s), now) }
    }

    /// Takes the token of one request.
    ///
    /// # Errors
    /// The time until the next token is available.
    pub fn take(&mut self, rate_per_s: u32, now: Uptime) -> Result<(), Duration> {
        self.tokens.refill(now, i128::from(rate_per_s), capacity(rate_per_s));
        let missing = SCALE - self.tokens.level();
        if missing <= 0 {
            self.tokens.take(1);
            return Ok(());
        }
        let micros = missing / i128::from(rate_per_s.max(1)) + 1;
        Err(Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)))
    }
}

/// Returns the capacity of a bucket in scaled tokens: those of one second.
fn capacity(rate_per_s: u32) -> i128 {
    i128::from(rate_per_s.max(1)) * SCALE
}
