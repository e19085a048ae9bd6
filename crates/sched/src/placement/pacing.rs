//! May one more request go now to a target that limits its rate?
//!
//! Inputs: the limit in requests a second, of which a daemon has a part; the requests that went there.
//!
//! The rule: a bucket that gains the part of the limit and holds one request and what the part gains in
//! [`BURST_TIME`], and begins empty: what is on its way there when the limit is heard of counts before it. A limit below
//! [`TRIAL_RATE`] lets that much pass, so that a target whose limit is nearly zero goes on to be asked whether it still
//! names it.
//!
//! The part is a daemon's share of what all together may send ([`RatePart`]): all of it at the daemon that schedules while it
//! reaches all others, nothing at one that is asked out of turn. So what several schedulers let pass while daemons are cut off
//! from each other adds up to the limit.
//!
//! Owns: the bucket of one target. Relies on: its user for the limit and the part.

use std::time::Duration;

use curlewcleat_core::{RequestRate, Uptime};

use crate::admission::shared_rate::{RatePart, RateTurn};
use crate::admission::token_bucket::{TokenBucket, SCALE};

/// Time of a limit that may pass at once beyond one request.
const BURST_TIME: Duration = Duration::from_millis(200);
/// Least rate at which all daemons together ask a target.
const TRIAL_RATE: RequestRate = RequestRate(100);

/// The part of a limit that a daemon may use.
pub(crate) fn part_of(rate: RequestRate, part: RatePart) -> RequestRate {
    if part.turn != RateTurn::Leader {
        return RequestRate(0);
    }
    let whole = u128::from(rate.max(TRIAL_RATE).0);
    let share = whole * part.reached.min(part.all) as u128 / part.all.max(1) as u128;
    RequestRate(u64::try_from(share).unwrap_or(u64::MAX))
}

/// What may go to one target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SendPace {
    /// Thousandths of a request.
    bucket: TokenBucket,
    /// Thousandths of a request that it holds beyond its burst.
    spare: u64,
}

impl SendPace {
    /// A bucket that begins now and lets `spare` requests more pass at once, also at its beginning.
    pub fn begin(now: Uptime, spare: u64) -> SendPace {
        let spare = spare * RequestRate::SECOND;
        SendPace { bucket: TokenBucket::new(i128::from(spare) * SCALE, now), spare }
    }

    /// Whether one more request may go.
    pub fn admits(&self, now: Uptime, rate: RequestRate) -> bool {
        self.refilled(now, rate).level() >= i128::from(RequestRate::SECOND) * SCALE
    }

    /// Time until one more request may go, `None` where none ever may at this rate.
    pub fn wait(&self, now: Uptime, rate: RequestRate) -> Option<Duration> {
        let missing = i128::from(RequestRate::SECOND) * SCALE - self.refilled(now, rate).level();
        if missing <= 0 {
            return Some(Duration::ZERO);
        }
        let micros = missing.checked_div(i128::from(rate.0))?;
        Some(Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)))
    }

    /// A request goes.
    pub fn sent(&mut self, now: Uptime, rate: RequestRate) {
        self.bucket = self.refilled(now, rate);
        self.bucket.take(RequestRate::SECOND);
    }

    fn refilled(&self, now: Uptime, rate: RequestRate) -> TokenBucket {
        let in_burst = u128::from(rate.0) * BURST_TIME.as_millis() / 1_000;
        let limit = i128::from(RequestRate::SECOND + self.spare) + in_burst as i128;
        let mut bucket = self.bucket.clone();
        bucket.refill(now, i128::from(rate.0), limit * SCALE);
        bucket
    }
}
