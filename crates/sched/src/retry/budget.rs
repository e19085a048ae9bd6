//! The retry budget: bounds retries to a share of the requests, so that they cannot multiply an
//! overload.
//!
//! Inputs: requests and retries of the last window, by this daemon; limits from the settings (`[bounds]
//! retry_*`) or [`RetryLimits::default`]. The rule: retries of a window are at most `percent` of its
//! requests and `extra` besides, which daemons share where a platform counts them together.
//!
//! Owns: the counts of the last window. Relies on: the entry for the clock.

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_core::Uptime;

/// How many retries the daemons may make in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryLimits {
    /// Retries allowed for each hundred requests of the window.
    pub percent: u64,
    /// Retries allowed in a window besides, over all daemons where `shared` is set.
    pub extra: u64,
    /// Whether `extra` is divided among the daemons.
    pub shared: bool,
    /// Time over which requests and retries are counted.
    pub window: Duration,
}

impl Default for RetryLimits {
    fn default() -> RetryLimits {
        RetryLimits { percent: 10, extra: 20, shared: false, window: Duration::from_secs(10) }
    }
}

/// Daemons that share a budget where fewer are known, since others may not be known yet.
const LEAST_DAEMONS: u64 = 4;
/// A daemon that restarts forgets its retries; each has only one part in this many of its share.
/// One restart in a window stays within the bound.
const RESTART_PARTS: u64 = 2;
/// Parts in which a window is counted.
const WINDOW_PARTS: u32 = 20;

/// Requests and retries of a part of the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct WindowPart {
    begin: Uptime,
    requests: u64,
    retries: u64,
}

/// Counts requests and retries over a window that slides.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    limits: RetryLimits,
    daemons: u64,
    parts: VecDeque<WindowPart>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RetryLimits::default(), 1)
    }
}

impl RetryBudget {
    /// The budget of one of `daemons` daemons.
    pub fn new(limits: RetryLimits, daemons: u64) -> RetryBudget {
        RetryBudget { limits, daemons, parts: VecDeque::new() }
    }

    /// The number of daemons has changed.
    pub fn set_daemons(&mut self, daemons: u64) {
        self.daemons = daemons;
    }

    /// Counts a new request.
    pub fn earn(&mut self, now: Uptime) {
        self.part(now).requests += 1;
    }

    /// Counts a retry if there is room for one.
    pub fn spend(&mut self, now: Uptime) -> bool {
        self.part(now);
        // The oldest part reaches beyond the window: its retries still count, its requests do not.
        let requests: u64 = self.parts.iter().skip(1).map(|part| part.requests).sum();
        let retries: u64 = self.parts.iter().map(|part| part.retries).sum();
        let newest = self.parts.back().filter(|_| self.parts.len() == 1);
        let requests = requests + newest.map_or(0, |part| part.requests);
        if (retries + 1) * 100 > requests * self.limits.percent + self.extra_hundredths() {
            return false;
        }
        self.part(now).retries += 1;
        true
    }

    /// A retry that was counted then is not made. It is taken back where it was counted: taken off a later part,
    /// a retry that was made would leave the window too early.
    pub fn refund(&mut self, spent: Uptime) {
        if let Some(part) = self.parts.iter_mut().rev().find(|part| part.begin <= spent) {
            part.retries = part.retries.saturating_sub(1);
        }
    }

    fn extra_hundredths(&self) -> u64 {
        match self.limits.shared {
            true => self.limits.extra * 100 / (self.daemons.max(LEAST_DAEMONS) * RESTART_PARTS),
            false => self.limits.extra * 100,
        }
    }

    /// The part of the window that is counted now; parts that have left the window are dropped.
    fn part(&mut self, now: Uptime) -> &mut WindowPart {
        let length = self.limits.window / WINDOW_PARTS;
        let oldest = now.saturating_sub(self.limits.window + length);
        while self.parts.front().is_some_and(|part| part.begin < oldest) {
            self.parts.pop_front();
        }
        let current = self.parts.back().is_some_and(|part| now < part.begin + length);
        if !current {
            self.parts.push_back(WindowPart { begin: now, requests: 0, retries: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
