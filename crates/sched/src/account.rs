//! Limits of one client account in one pool.

use std::time::Duration;

use curlewcleat_core::Uptime;

/// Millionths of a request, the unit of the bucket.
const REQUEST: u64 = 1_000_000;

/// What an account may do in a pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AccountLimit {
    /// Share relative to the other accounts.
    pub weight: u32,
    /// Requests a second; `None` is unlimited.
    pub rate_per_s: Option<u32>,
    /// Requests that may wait.
    pub queue_limit: u32,
}

impl Default for AccountLimit {
    fn default() -> AccountLimit {
        AccountLimit { weight: 1, rate_per_s: None, queue_limit: 10_000 }
    }
}

/// A token bucket that holds one second's worth of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RateBucket {
    level: u64,
    filled_at: Uptime,
}

impl RateBucket {
    /// A full bucket.
    pub fn new(rate_per_s: u32, now: Uptime) -> RateBucket {
        RateBucket { level: capacity(rate_per_s), filled_at: now }
    }

    /// Takes one request out, or says how long it takes until one is there.
    ///
    /// # Errors
    /// The time until the next request fits.
    pub fn take(&mut self, rate_per_s: u32, now: Uptime) -> Result<(), Duration> {
        let elapsed = now.saturating_sub(self.filled_at).as_micros() as u64;
        self.filled_at = now;
        self.level =
            (self.level + elapsed.saturating_mul(u64::from(rate_per_s))).min(capacity(rate_per_s));
        if self.level >= REQUEST {
            self.level -= REQUEST;
            return Ok(());
        }
        Err(Duration::from_micros((REQUEST - self.level) / u64::from(rate_per_s.max(1)) + 1))
    }
}

fn capacity(rate_per_s: u32) -> u64 {
    u64::from(rate_per_s.max(1)) * REQUEST
}
