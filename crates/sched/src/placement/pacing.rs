//! Decides whether one more request may be sent now to a target that limits its request rate.
//!
//! Inputs: the limit in requests per second, of which a daemon has a share; the requests sent to the target.
//!
//! The rule is a token bucket that refills at the share of the limit. It holds one request and the refill of
//! [`BURST_TIME`]. It begins empty, to account for requests that are under way when the limit is received. A limit
//! below [`PROBE_RATE`] is raised to that rate, so that a target whose limit is nearly zero still gets requests,
//! which show whether the limit still holds.
//!
//! The share is a daemon's part of what all daemons together may send ([`RateShare`]): the whole limit at the
//! scheduling daemon while it reaches all others, and nothing at a daemon that is not the leader. While daemons are
//! cut off from each other, the rates that several schedulers allow therefore add up to no more than the limit.
//!
//! Owns: the bucket of one target. Relies on: its user for the limit and the share.

use std::time::Duration;

use curlewcleat_core::{RequestRate, Uptime};

use crate::admission::shared_rate::{RateRole, RateShare};
use crate::admission::token_bucket::{TokenBucket, SCALE};

/// Time over which the refill may be sent at once, in addition to one request.
const BURST_TIME: Duration = Duration::from_millis(200);
/// Lowest rate at which all daemons together send requests to a target.
const PROBE_RATE: RequestRate = RequestRate(100);

/// Returns the share of a limit that a daemon may use.
pub(crate) fn share_of(rate: RequestRate, rate_share: RateShare) -> RequestRate {
    if rate_share.role != RateRole::Leader {
        return RequestRate(0);
    }
    let whole = u128::from(rate.max(PROBE_RATE).0);
    let share =
        whole * rate_share.reached.min(rate_share.all) as u128 / rate_share.all.max(1) as u128;
    RequestRate(u64::try_from(share).unwrap_or(u64::MAX))
}

/// Limits the rate of the requests sent to one target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SendPace {
    /// Tokens are thousandths of a request.
    bucket: TokenBucket,
    /// Additional capacity of the bucket, in thousandths of a request.
    extra_burst: u64,
}

impl SendPace {
    /// Returns a limiter that begins now and allows `extra_burst` more requests at once, also at its beginning.
    pub fn begin(now: Uptime, extra_burst: u64) -> SendPace {
        let extra_burst = extra_burst * RequestRate::ONE_PER_SECOND;
        SendPace { bucket: TokenBucket::new(i128::from(extra_burst) * SCALE, now), extra_burst }
    }

    /// Returns whether one more request may be sent.
    pub fn admits(&self, now: Uptime, rate: RequestRate) -> bool {
        self.refilled(now, rate).level() >= i128::from(RequestRate::ONE_PER_SECOND) * SCALE
    }

    /// Returns the time until one more request may be sent, `None` if the rate is zero and no request ever may.
    pub fn wait(&self, now: Uptime, rate: RequestRate) -> Option<Duration> {
        let missing =
            i128::from(RequestRate::ONE_PER_SECOND) * SCALE - self.refilled(now, rate).level();
        if missing <= 0 {
            return Some(Duration::ZERO);
        }
        let micros = missing.checked_div(i128::from(rate.0))?;
        Some(Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)))
    }

    /// Records that a request is sent.
    pub fn sent(&mut self, now: Uptime, rate: RequestRate) {
        self.bucket = self.refilled(now, rate);
        self.bucket.take(RequestRate::ONE_PER_SECOND);
    }

    fn refilled(&self, now: Uptime, rate: RequestRate) -> TokenBucket {
        let in_burst = u128::from(rate.0) * BURST_TIME.as_millis() / 1_000;
        let limit = i128::from(RequestRate::ONE_PER_SECOND + self.extra_burst) + in_burst as i128;
        let mut bucket = self.bucket.clone();
        bucket.refill(now, i128::from(rate.0), limit * SCALE);
        bucket
    }
}
