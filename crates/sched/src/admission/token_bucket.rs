//! A token bucket: what may pass now, and how fast more may.
//!
//! Owns: a level in millionths of a token, so that small rates do not round to nothing. Relies on: its
//! user for rate and limit, which may change from call to call.

use curlewcleat_core::Uptime;

/// Millionths of a token in a token; one token a second is one millionth a microsecond, so that a token a second is
/// one millionth of a token a microsecond.
pub const SCALE: i128 = 1_000_000;

/// The bucket.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TokenBucket {
    /// Scaled tokens that may be taken now; below zero after more was taken than there was.
    level: i128,
    filled_at: Uptime,
}

impl TokenBucket {
    /// A bucket that holds `level` scaled tokens.
    pub fn new(level: i128, now: Uptime) -> TokenBucket {
        TokenBucket { level, filled_at: now }
    }

    /// Scaled tokens that may be taken now.
    pub fn level(&self) -> i128 {
        self.level
    }

    /// Lets time pass at `per_s` tokens a second up to `limit` scaled tokens. Returns the scaled tokens
    /// that the time has brought, whether they fit or not.
    pub fn refill(&mut self, now: Uptime, per_s: i128, limit: i128) -> i128 {
        let elapsed = now.saturating_sub(self.filled_at).as_micros() as i128;
        self.filled_at = now;
        let gained = elapsed * per_s;
        self.level = (self.level + gained).min(limit);
        gained
    }

    /// Takes tokens out, also more than there are.
    pub fn take(&mut self, tokens: u64) {
        self.level -= i128::from(tokens) * SCALE;
    }

    /// Puts tokens back.
    pub fn give_back(&mut self, tokens: u64) {
        self.put(i128::from(tokens) * SCALE);
    }

    /// Puts scaled tokens in.
    pub fn put(&mut self, scaled: i128) {
        self.level += scaled;
    }
}
