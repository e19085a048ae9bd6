//! A token bucket.
//!
//! Owns: a level in millionths of a token, so that small rates do not round to zero. Relies on: its
//! caller for rate and limit, which may change from call to call.

use curlewcleat_core::Uptime;

/// Scaled tokens in a token. A scaled token is one millionth of a token, so that a rate of one token per second adds
/// one scaled token per microsecond.
pub const SCALE: i128 = 1_000_000;

/// A token bucket that may be overdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TokenBucket {
    /// Scaled tokens that may be taken now; below zero after more was taken than there was.
    level: i128,
    refilled_at: Uptime,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` scaled tokens.
    pub fn new(level: i128, now: Uptime) -> TokenBucket {
        TokenBucket { level, refilled_at: now }
    }

    /// Returns the scaled tokens that may be taken now.
    pub fn level(&self) -> i128 {
        self.level
    }

    /// Refills the bucket at `per_s` tokens per second up to `limit` scaled tokens. Returns the scaled tokens
    /// gained, including those beyond the limit.
    pub fn refill(&mut self, now: Uptime, per_s: i128, limit: i128) -> i128 {
        let elapsed = now.saturating_sub(self.refilled_at).as_micros() as i128;
        self.refilled_at = now;
        let gained = elapsed * per_s;
        self.level = (self.level + gained).min(limit);
        gained
    }

    /// Takes tokens, also more than the bucket holds.
    pub fn take(&mut self, tokens: u64) {
        self.level -= i128::from(tokens) * SCALE;
    }

    /// Puts tokens back into the bucket.
    pub fn refund(&mut self, tokens: u64) {
        self.add(i128::from(tokens) * SCALE);
    }

    /// Adds scaled tokens.
    pub fn add(&mut self, scaled: i128) {
        self.level += scaled;
    }
}
