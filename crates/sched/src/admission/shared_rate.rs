//! Enforces account rates that hold over all daemons together.
//!
//! Inputs: the account's rate in units per second and its burst in units (configuration), the cost of the
//! request in units, what the platform tolerates beyond them (settings `[bounds] rate_*`), the number of daemons that
//! this one reaches, and its role. The rule: a request passes while the bucket and the available burst together
//! ([`burst_window`](super::burst_window)) are above zero, and may take them below zero.
//! Otherwise it is refused with the time until they are above zero again, after the units promised to requests that
//! were refused before it.
//!
//! The daemon that schedules keeps the rates, since it receives every request. If daemons cannot reach each
//! other, several may schedule at once; each then grants only the share of the rate of the daemons that it reaches, so
//! that the shares add up to the whole rate.
//!
//! Owns: one bucket per account. Relies on: the node for the role and the number of daemons that it
//! reaches.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{AccountId, SharedRate, Uptime};

use super::burst_window::BurstWindow;
use super::token_bucket::{TokenBucket, SCALE};
use crate::retry_after::{MAX_RETRY_AFTER, MIN_RETRY_AFTER};

/// Divides the units of one second into what a daemon that is not the leader may save. It may save little, since
/// the leader may have granted the burst.
const NON_LEADER_SAVED_DIVISOR: i128 = 4;
/// Divides the burst into what the leader's bucket may save of unused units, to bridge gaps between requests; at most
/// the units of one second. The rest of the burst becomes available again one window after it was taken.
const LEADER_SAVED_DIVISOR: i128 = 2;
/// Windows in which the saved units of a deputy fill. The saved units and those gained within one window together make
/// up its reserve; model `rates`.
const RESERVE_FILL_WINDOWS: i128 = 2;
/// Shortest time until an account has units again that has none.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The role in which a daemon grants units of the rates, from its own point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RateRole {
    /// It receives the requests first.
    Leader,
    /// It receives the requests if the leader is unresponsive. It has a reserve: what the platform
    /// tolerates beyond the rates and the leader does not use. The reserve fills while the leader stays the
    /// same.
    Deputy,
    /// It receives requests only after these two. It has no burst, since the others may have granted it.
    Other,
}

/// The share of all rates that a daemon grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RateShare {
    /// Number of daemons that it reaches, including itself.
    pub reached: usize,
    /// Number of all daemons.
    pub all: usize,
    /// The role of this daemon.
    pub role: RateRole,
}

/// How far the daemons may exceed the rates: the leader by half of what the platform tolerates, its
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
    /// Returns the units above a burst.
    fn units(&self, rate: &SharedRate) -> u64 {
        self.units.saturating_mul(rate.scale)
    }

    /// Returns the units that a deputy may grant within a window.
    fn reserve(&self, rate: &SharedRate) -> u64 {
        let of_window = u128::from(rate.per_s) * self.window.as_millis() / 1_000;
        let of_rate = of_window * u128::from(self.percent) / 100;
        u64::try_from(of_rate).unwrap_or(u64::MAX).saturating_add(self.units(rate))
    }

    /// Returns the refill rate and the limits of a bucket in a daemon with this share and role.
    fn limits(&self, rate: &SharedRate, rate_share: RateShare) -> BucketLimits {
        let share_of = |units: u64| {
            i128::from(units) * rate_share.reached.min(rate_share.all) as i128
                / rate_share.all.max(1) as i128
        };
        let per_s = share_of(rate.per_s + rate.per_s * self.percent / 100);
        let saved = per_s * SCALE / NON_LEADER_SAVED_DIVISOR;
        match rate_share.role {
            RateRole::Leader => {
                let whole_burst = share_of(rate.burst + self.units(rate)) * SCALE;
                // Without a burst the bucket has to rise above zero, as a request passes only then.
                let limit = (whole_burst / LEADER_SAVED_DIVISOR).min(per_s * SCALE).max(1);
                BucketLimits { per_s, limit, burst: (whole_burst - limit).max(0) }
            }
            RateRole::Deputy => {
                let reserve = i128::from(self.reserve(rate));
                let millis = self.window.as_millis().max(1) as i128;
                // The saved units and those gained within a window together make up the reserve.
                let held = reserve * RESERVE_FILL_WINDOWS / (RESERVE_FILL_WINDOWS + 1);
                let refill = held * 1_000 / (millis * RESERVE_FILL_WINDOWS);
                BucketLimits { per_s: per_s + refill, limit: saved + held * SCALE, burst: 0 }
            }
            RateRole::Other => BucketLimits { per_s, limit: saved, burst: 0 },
        }
    }
}

/// The bucket and the burst of one account.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SharedBucket {
    units: TokenBucket,
    burst: BurstWindow,
    /// Scaled units of refused requests whose retries are expected before a newer request.
    promised: i128,
}

impl SharedBucket {
    /// Creates an empty bucket of a daemon that has granted units since `since`.
    fn new(since: Uptime) -> SharedBucket {
        SharedBucket {
            units: TokenBucket::new(0, since),
            burst: BurstWindow::new(since),
            promised: 0,
        }
    }

    /// Refills the bucket. Unused units of the rate repay what was taken from the burst.
    fn refill(&mut self, now: Uptime, window: Duration, limits: &BucketLimits) {
        let before = self.units.level();
        let gained = self.units.refill(now, limits.per_s, limits.limit);
        self.promised = (self.promised - gained).max(0);
        self.burst.advance(now, window, limits.burst);
        self.burst.repay(before + gained - self.units.level());
    }

    /// Returns the scaled units that may be taken now; below zero after more was taken than was available.
    fn level(&self) -> i128 {
        self.units.level() + self.burst.available()
    }

    /// Takes units of the rate first, then of the burst; the rest overdraws the bucket.
    fn take(&mut self, now: Uptime, window: Duration, cost: u64) {
        let beyond = i128::from(cost) * SCALE - self.units.level().max(0);
        let of_burst = beyond.clamp(0, self.burst.available());
        self.burst.take(now, window, of_burst);
        self.units.take(cost);
        self.units.add(of_burst);
    }
}

/// Refill rate and limits of a bucket.
#[derive(Clone, Copy, Debug)]
struct BucketLimits {
    /// Units per second.
    per_s: i128,
    /// Maximum level, in scaled units.
    limit: i128,
    /// Scaled units that become available again one window after they were taken.
    burst: i128,
}

/// The rates of all accounts that a daemon keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AccountRates {
    margin: RateMargin,
    buckets: BTreeMap<AccountId, SharedBucket>,
    since: Uptime,
}

impl AccountRates {
    /// Creates rates that may be exceeded by a margin.
    pub fn new(margin: RateMargin) -> AccountRates {
        AccountRates { margin, ..AccountRates::default() }
    }

    /// Resets all buckets to empty, since another daemon may just have granted the burst.
    pub fn restart(&mut self, now: Uptime) {
        self.buckets.clear();
        self.since = now;
    }

    /// Advances the buckets of all accounts in a daemon that reaches only a part of the others, who may grant the rest of
    /// each burst. Otherwise an account that requests nothing in that time gets its burst again when the daemon reaches all.
    pub fn advance(
        &mut self,
        now: Uptime,
        rate_share: RateShare,
        rate_of: impl Fn(&AccountId) -> Option<SharedRate>,
    ) {
        for (account, bucket) in &mut self.buckets {
            if let Some(rate) = rate_of(account) {
                bucket.refill(now, self.margin.window, &self.margin.limits(&rate, rate_share));
            }
        }
    }

    /// Takes `cost` units from an account's rate.
    ///
    /// # Errors
    /// The time until units are available again.
    pub fn take(
        &mut self,
        now: Uptime,
        account: &AccountId,
        rate: &SharedRate,
        cost: u64,
        rate_share: RateShare,
    ) -> Result<(), Duration> {
        let window = self.margin.window;
        let (bucket, _) = self.refilled(now, account, rate, rate_share);
        if bucket.level() > 0 {
            bucket.take(now, window, cost);
            return Ok(());
        }
        Err(self.promise(now, account, rate, cost, rate_share))
    }

    /// Returns the time after which the caller of a refused request may retry, and keeps its units in mind for those that
    /// are refused after it.
    pub fn promise(
        &mut self,
        now: Uptime,
        account: &AccountId,
        rate: &SharedRate,
        cost: u64,
        rate_share: RateShare,
    ) -> Duration {
        let window = self.margin.window;
        let (bucket, limits) = self.refilled(now, account, rate, rate_share);
        // Requests that were refused earlier are advised to retry before this one.
        let missing = 1 - bucket.level() + bucket.promised;
        bucket.promised += i128::from(cost) * SCALE;
        let wait = bucket.burst.wait_for(now, window, missing, limits.per_s);
        (wait + Duration::from_millis(1)).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the time until an account has units again, after others have taken `units` before; zero if it has some now.
    pub fn wait_after(
        &mut self,
        now: Uptime,
        account: &AccountId,
        rate: &SharedRate,
        units: u64,
        rate_share: RateShare,
    ) -> Duration {
        let window = self.margin.window;
        let (bucket, limits) = self.refilled(now, account, rate, rate_share);
        let missing = 1 - bucket.level() + i128::from(units) * SCALE;
        match missing > 0 {
            true => bucket.burst.wait_for(now, window, missing, limits.per_s).max(MIN_WAIT),
            false => Duration::ZERO,
        }
    }

    /// Returns the bucket of an account, refilled, with its limits.
    fn refilled(
        &mut self,
        now: Uptime,
        account: &AccountId,
        rate: &SharedRate,
        rate_share: RateShare,
    ) -> (&mut SharedBucket, BucketLimits) {
        let limits = self.margin.limits(rate, rate_share);
        let since = self.since;
        let bucket =
            self.buckets.entry(account.clone()).or_insert_with(|| SharedBucket::new(since));
        bucket.refill(now, self.margin.window, &limits);
        (bucket, limits)
    }

    /// Puts back the units that were taken for a request that is refused.
    pub fn refund(&mut self, account: &AccountId, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.units.refund(cost);
        }
    }
}
