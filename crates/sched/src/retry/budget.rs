//! Limits retries to a share of the requests, so that retries cannot amplify an overload.
//!
//! Inputs: requests and retries of this daemon in the last window; limits from the settings (`[bounds]
//! retry_*`) or [`RetryLimits::default`]. The rule: a window has at most `percent` of its requests plus
//! `extra` as retries. Where a platform counts the retries of all daemons together, the daemons share
//! `extra`. Retries that requests can do without may use half of it.
//!
//! Owns: the counts of the last window. Relies on: the entry daemon for the clock.

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_core::Uptime;

/// Limits on the retries in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryLimits {
    /// Retries allowed per hundred requests of the window.
    pub percent: u64,
    /// Additional retries allowed in a window, in total over all daemons if `shared` is set.
    pub extra: u64,
    /// Whether `extra` is divided among the daemons.
    pub shared: bool,
    /// Length of the sliding window over which requests and retries are counted.
    pub window: Duration,
}

impl Default for RetryLimits {
    fn default() -> RetryLimits {
        RetryLimits { percent: 10, extra: 20, shared: false, window: Duration::from_secs(10) }
    }
}

/// Minimum number of daemons that `extra` is divided among: a daemon that has just started may not know
/// all others yet.
const MIN_SHARING_DAEMONS: u64 = 4;
/// Divisor of a daemon's share of `extra`. A daemon that restarts forgets its retries; with half a share
/// each, one restart in a window stays within the limit.
const RESTART_DIVISOR: u64 = 2;
/// Divisor of the limits for retries that requests can do without: the rest is kept for those that fail.
const SPARE_DIVISOR: u64 = 2;
/// Number of buckets in a window.
const WINDOW_BUCKETS: u32 = 20;

/// Requests and retries counted in one bucket of the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct WindowBucket {
    begin: Uptime,
    requests: u64,
    retries: u64,
}

/// Counts requests and retries over a sliding window.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    limits: RetryLimits,
    daemons: u64,
    buckets: VecDeque<WindowBucket>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RetryLimits::default(), 1)
    }
}

impl RetryBudget {
    /// Returns the budget of one of `daemons` daemons.
    pub fn new(limits: RetryLimits, daemons: u64) -> RetryBudget {
        RetryBudget { limits, daemons, buckets: VecDeque::new() }
    }

    /// Sets the number of daemons that share `extra`.
    pub fn set_daemons(&mut self, daemons: u64) {
        self.daemons = daemons;
    }

    /// Counts a new request.
    pub fn count_request(&mut self, now: Uptime) {
        self.current_bucket(now).requests += 1;
    }

    /// Counts a retry if the limits allow one more, and returns whether it was counted.
    pub fn try_spend(&mut self, now: Uptime) -> bool {
        self.try_spend_share(now, 1, 1)
    }

    /// Counts a retry that is to leave some to others.
    pub fn try_spend_most(&mut self, now: Uptime) -> bool {
        self.try_spend_share(now, 3, 4)
    }

    /// Counts a retry that a request can do without, if most of what the limits allow is left.
    pub fn try_spend_spare(&mut self, now: Uptime) -> bool {
        self.try_spend_share(now, 1, SPARE_DIVISOR)
    }

    /// Counts a retry if all of them stay within this share of the limits.
    fn try_spend_share(&mut self, now: Uptime, share: u64, divisor: u64) -> bool {
        self.current_bucket(now);
        // The oldest bucket may begin before the window. Its retries still count, its requests do not.
        let requests: u64 = self.buckets.iter().skip(1).map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let newest = self.buckets.back().filter(|_| self.buckets.len() == 1);
        let requests = requests + newest.map_or(0, |bucket| bucket.requests);
        let allowed = requests * self.limits.percent + self.extra_hundredths();
        if (retries + 1) * 100 * divisor > allowed * share {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
    }

    /// Removes a retry that was counted at `spent` and not made. It is removed from the bucket in which it
    /// was counted: removed from a later one, a retry that was made would leave the window too early.
    pub fn refund(&mut self, spent: Uptime) {
        if let Some(bucket) = self.buckets.iter_mut().rev().find(|bucket| bucket.begin <= spent) {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    fn extra_hundredths(&self) -> u64 {
        match self.limits.shared {
            true => {
                self.limits.extra * 100 / (self.daemons.max(MIN_SHARING_DAEMONS) * RESTART_DIVISOR)
            }
            false => self.limits.extra * 100,
        }
    }

    /// Returns the bucket for `now`, after dropping the buckets that have left the window.
    fn current_bucket(&mut self, now: Uptime) -> &mut WindowBucket {
        let length = self.limits.window / WINDOW_BUCKETS;
        let oldest = now.saturating_sub(self.limits.window + length);
        while self.buckets.front().is_some_and(|bucket| bucket.begin < oldest) {
            self.buckets.pop_front();
        }
        let current = self.buckets.back().is_some_and(|bucket| now < bucket.begin + length);
        if !current {
            self.buckets.push_back(WindowBucket { begin: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
