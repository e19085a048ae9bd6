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
/// Windows in which the reserve of a deputy fills.
const RESERVE_WINDOWS: i128 = 2;
/// Scale of the units in a bucket, so that small rates do not round to nothing.
const SCALE: i128 = 1_000_000;

/// Whose turn it is to give out the rates, as a daemon sees itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RateTurn {
    /// It is asked first.
    Leader,
    /// It is asked next, where the leader is silent. It has a reserve, which is what the platform
    /// tolerates beyond the rates and the leader does not use; it fills while the leader stays the same.
    Deputy,
    /// It is asked after these. It has no burst saved, since the others may have given it out.
    Other,
}

/// The part of all rates that a daemon gives out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RatePart {
    /// Daemons that it reaches, itself among them.
    pub reached: usize,
    /// Daemons that there are.
    pub all: usize,
    /// Whose turn it is.
    pub turn: RateTurn,
}

/// How far the daemons may go beyond the rates: the leader by half of what the platform tolerates, its
/// deputy by the other half.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RateMargin {
    /// Above the rate, in percent.
    pub percent: u64,
    /// Above the burst, in units.
    pub units: u64,
    /// Time over which the platform counts.
    pub window: Duration,
}

impl RateMargin {
    /// What a deputy may give out within a window.
    fn reserve(&self, rate: &SharedRate) -> u64 {
        let of_window = u128::from(rate.per_s) * self.window.as_millis() / 1_000;
        let of_rate = of_window * u128::from(self.percent) / 100;
        u64::try_from(of_rate).unwrap_or(u64::MAX).saturating_add(self.units)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnitBucket {
    /// Scaled units that may be given out now; below zero after a large request.
    level: i128,
    filled: Uptime,
    /// Scaled units of requests that were told to come back and are expected before a newer one.
    told: i128,
}

/// What a bucket gains and holds.
#[derive(Clone, Copy, Debug)]
struct BucketFlow {
    /// Units a second.
    per_s: i128,
    /// Scaled units at most.
    limit: i128,
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
        let flow = self.flow(rate, part);
        let since = self.since;
        let bucket = self.buckets.entry(account.clone()).or_insert(UnitBucket {
            level: 0,
            filled: since,
            told: 0,
        });
        let elapsed = now.saturating_sub(bucket.filled).as_micros() as i128;
        bucket.filled = now;
        let gained = elapsed * flow.per_s * SCALE / 1_000_000;
        bucket.level = (bucket.level + gained).min(flow.limit);
        bucket.told = (bucket.told - gained).max(0);
        if bucket.level > 0 {
            bucket.level -= i128::from(cost) * SCALE;
            return Ok(());
        }
        // Those that were refused before are told to come back first.
        let missing = (1 - bucket.level + bucket.told) / SCALE + 1;
        bucket.told += i128::from(cost) * SCALE;
        let millis = missing * 1_000 / flow.per_s.max(1) + 1;
        let wait = Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
        Err(wait.clamp(SHORTEST_WAIT, LONGEST_WAIT))
    }

    /// What a bucket gains and holds.
    fn flow(&self, rate: &SharedRate, part: RatePart) -> BucketFlow {
        let of_part = |units: u64| {
            i128::from(units) * part.reached.min(part.all) as i128 / part.all.max(1) as i128
        };
        let per_s = of_part(rate.per_s + rate.per_s * self.margin.percent / 100);
        let saved = per_s * SCALE / OUT_OF_TURN_DIVISOR;
        match part.turn {
            RateTurn::Leader => {
                let limit = of_part(rate.burst + self.margin.units) * SCALE;
                BucketFlow { per_s, limit }
            }
            RateTurn::Deputy => {
                let reserve = i128::from(self.margin.reserve(rate));
                let millis = self.margin.window.as_millis().max(1) as i128;
                // What is saved and what fills up within a window are the reserve together.
                let held = reserve * RESERVE_WINDOWS / (RESERVE_WINDOWS + 1);
                let refill = held * 1_000 / (millis * RESERVE_WINDOWS);
                BucketFlow { per_s: per_s + refill, limit: saved + held * SCALE }
            }
            RateTurn::Other => BucketFlow { per_s, limit: saved },
        }
    }

    /// Gives units back that were taken for a request that is refused.
    pub fn give_back(&mut self, account: &AccountId, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += i128::from(cost) * SCALE;
        }
    }
}
