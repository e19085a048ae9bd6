//! Rates of client accounts that hold over all daemons together.
//!
//! The daemon that schedules keeps them, since every request asks it. Where daemons cannot reach each
//! other, several may schedule at once; each then gives out only the part of the rate that belongs to
//! the daemons it reaches, so that the parts add up to the whole.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{AccountId, SharedRate, Uptime};

/// Shortest advice when to come back.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);
/// Longest advice when to come back.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// A daemon that is asked out of turn saves at most this part of a second's units, one in so many.
const OUT_OF_TURN_DIVISOR: i128 = 4;
/// Scale of the units in a bucket, so that small rates do not round to nothing.
const SCALE: i128 = 1_000_000;

/// The part of all rates that a daemon gives out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RatePart {
    /// Daemons that it reaches, itself among them.
    pub reached: usize,
    /// Daemons that there are.
    pub all: usize,
    /// Whether it is the one to ask. One that is asked out of turn has no burst saved, since the one
    /// whose turn it is may have given it out.
    pub leads: bool,
}

/// How far the daemons may go beyond the rates, half of what the platform tolerates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RateMargin {
    /// Above the rate, in percent.
    pub percent: u64,
    /// Above the burst, in units.
    pub units: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnitBucket {
    /// Scaled units that may be given out now; below zero after a large request.
    level: i128,
    filled: Uptime,
    /// Scaled units of requests that were told to come back and are expected before a newer one.
    told: i128,
}

/// The rates that a daemon keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AccountRates {
    margin: RateMargin,
    buckets: BTreeMap<AccountId, UnitBucket>,
    since: Uptime,
}

impl AccountRates {
    /// Rates that are kept with a margin.
    pub fn new(margin: RateMargin) -> AccountRates {
        AccountRates { margin, ..AccountRates::default() }
    }

    /// Begins with nothing saved: another daemon may just have given the burst out.
    pub fn restart(&mut self, now: Uptime) {
        self.buckets.clear();
        self.since = now;
    }

    /// Takes `cost` units out of an account's rate, or says how long to wait.
    ///
    /// # Errors
    /// The time until there is room again.
    pub fn take(
        &mut self,
        now: Uptime,
        account: &AccountId,
        rate: &SharedRate,
        cost: u64,
        part: RatePart,
    ) -> Result<(), Duration> {
        let of_part = |units: u64| {
            i128::from(units) * part.reached.min(part.all) as i128 / part.all.max(1) as i128
        };
        let per_s = of_part(rate.per_s + rate.per_s * self.margin.percent / 100);
        let limit = match part.leads {
            true => of_part(rate.burst + self.margin.units) * SCALE,
            false => per_s * SCALE / OUT_OF_TURN_DIVISOR,
        };
        let since = self.since;
        let bucket = self.buckets.entry(account.clone()).or_insert(UnitBucket {
            level: 0,
            filled: since,
            told: 0,
        });
        let elapsed = now.saturating_sub(bucket.filled).as_micros() as i128;
        bucket.filled = now;
        let gained = elapsed * per_s * SCALE / 1_000_000;
        bucket.level = (bucket.level + gained).min(limit);
        bucket.told = (bucket.told - gained).max(0);
        if bucket.level > 0 {
            bucket.level -= i128::from(cost) * SCALE;
            return Ok(());
        }
        // Those that were refused before are told to come back first.
        let missing = (1 - bucket.level + bucket.told) / SCALE + 1;
        bucket.told += i128::from(cost) * SCALE;
        let millis = missing * 1_000 / per_s.max(1) + 1;
        let wait = Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
        Err(wait.clamp(SHORTEST_WAIT, LONGEST_WAIT))
    }

    /// Gives units back that were taken for a request that is refused.
    pub fn give_back(&mut self, account: &AccountId, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += i128::from(cost) * SCALE;
        }
    }
}
