//! Has an account room in its rate? Rates that hold over all daemons together.
//!
//! Inputs: the account's rate in units a second and its burst in units (configuration), the cost of the
//! request in units, what the platform tolerates beyond (settings `[bounds] rate_*`), the daemons that
//! this one reaches, whose turn it is. The rule: a request passes while the bucket and the burst that comes
//! back once a window ([`burst_window`](super::burst_window)) are above zero, and may take them below;
//! otherwise it is refused with the time until they, less what was promised to others before, are above
//! zero again.
//!
//! The daemon that schedules keeps them, since every request asks it. Where daemons cannot reach each
//! other, several may schedule at once; each then gives out only the part of the rate that belongs to
//! the daemons it reaches, so that the parts add up to the whole.
//!
//! Owns: one bucket an account. Relies on: the node for whose turn it is and how many daemons it
//! reaches.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{AccountId, SharedRate, Uptime};

use super::burst_window::BurstWindow;
use super::token_bucket::{TokenBucket, SCALE};
use crate::advice::{LEAST_ADVICE, MOST_ADVICE};

/// Divides a second's units into what a daemon that is asked out of turn may save: little, since the daemon whose
/// turn it is may have given the burst out.
const OUT_OF_TURN_DIVISOR: i128 = 4;
/// Divides the burst into what unused units of the rate fill, for gaps between requests; the rest comes back once a
/// window: no more than what the rate gains in a second.
const SAVED_DIVISOR: i128 = 2;
/// Windows in which the reserve of a deputy fills, so that what is saved and what fills up within one window are the
/// reserve together; model `rates`.
const RESERVE_WINDOWS: i128 = 2;

/// Whose turn it is to give out the rates, as a daemon sees itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RateTurn {
    /// It is asked first.
    Leader,
    /// It is asked next, where the leader is unresponsive. It has a reserve, which is what the platform
    /// tolerates beyond the rates and the leader does not use; it fills while the leader stays the
    /// same.
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

/// The rate of one account.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SharedBucket {
    units: TokenBucket,
    burst: BurstWindow,
    /// Scaled units of refused requests whose retries are expected before a newer request.
    promised: i128,
}

impl SharedBucket {
    /// A bucket of a daemon that has given out the rate since then, and nothing before.
    fn new(since: Uptime) -> SharedBucket {
        SharedBucket {
            units: TokenBucket::new(0, since),
            burst: BurstWindow::new(since),
            promised: 0,
        }
    }

    /// Lets time pass. Unused units of the rate pay back what was taken of the burst.
    fn pass(&mut self, now: Uptime, window: Duration, flow: &BucketFlow) {
        let before = self.units.level();
        let gained = self.units.refill(now, flow.per_s, flow.limit);
        self.promised = (self.promised - gained).max(0);
        self.burst.advance(now, window, flow.burst);
        self.burst.pay_back(before + gained - self.units.level());
    }

    /// Scaled units that may be taken now, below zero after more was taken than there was.
    fn level(&self) -> i128 {
        self.units.level() + self.burst.free()
    }

    /// Takes units of the rate first, then of the burst; what is missing the rate has to gain.
    fn take(&mut self, now: Uptime, window: Duration, cost: u64) {
        let beyond = i128::from(cost) * SCALE - self.units.level().max(0);
        let of_burst = beyond.clamp(0, self.burst.free());
        self.burst.take(now, window, of_burst);
        self.units.take(cost);
        self.units.put(of_burst);
    }
}

/// What a bucket gains and holds.
#[derive(Clone, Copy, Debug)]
struct BucketFlow {
    /// Units a second.
    per_s: i128,
    /// Scaled units at most.
    limit: i128,
    /// Scaled units that come back one window after they were taken.
    burst: i128,
}

/// The rates that a daemon keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AccountRates {
    margin: RateMargin,
    buckets: BTreeMap<AccountId, SharedBucket>,
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
        let bucket =
            self.buckets.entry(account.clone()).or_insert_with(|| SharedBucket::new(since));
        let window = self.margin.window;
        bucket.pass(now, window, &flow);
        if bucket.level() > 0 {
            bucket.take(now, window, cost);
            return Ok(());
        }
        // Earlier refused requests are scheduled to retry first.
        let missing = 1 - bucket.level() + bucket.promised;
        bucket.promised += i128::from(cost) * SCALE;
        let wait = bucket.burst.wait_for(now, window, missing, flow.per_s);
        Err((wait + Duration::from_millis(1)).clamp(LEAST_ADVICE, MOST_ADVICE))
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
                let all = of_part(rate.burst + self.margin.units) * SCALE;
                let limit = (all / SAVED_DIVISOR).min(per_s * SCALE);
                BucketFlow { per_s, limit, burst: all - limit }
            }
            RateTurn::Deputy => {
                let reserve = i128::from(self.margin.reserve(rate));
                let millis = self.margin.window.as_millis().max(1) as i128;
                // What is saved and what fills up within a window are the reserve together.
                let held = reserve * RESERVE_WINDOWS / (RESERVE_WINDOWS + 1);
                let refill = held * 1_000 / (millis * RESERVE_WINDOWS);
                BucketFlow { per_s: per_s + refill, limit: saved + held * SCALE, burst: 0 }
            }
            RateTurn::Other => BucketFlow { per_s, limit: saved, burst: 0 },
        }
    }

    /// Gives units back that were taken for a request that is refused.
    pub fn give_back(&mut self, account: &AccountId, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.units.give_back(cost);
        }
    }
}
