//! Limits how much of an account's burst is taken within a sliding window.
//!
//! Inputs: the burst in scaled units, the window over which the platform counts, the times and amounts
//! that were taken. The rule: within any window no more than the burst is taken, plus the unused units of the rate
//! that were repaid to it in that time. Units become available again one window after they were taken.
//!
//! Load pattern: an account that requests more than its rate for many seconds. The platform allows it rate
//! and burst in *every* window. A bucket that refills only from unused units grants the burst once, and only
//! the rate from then on: at twice its rate an account gets 53 % of what it requests instead of 58 % (over a minute,
//! tests/rates.rs).
//!
//! Owns: the units taken from one account's burst. Relies on: its caller for the limit and the window, which
//! may change from call to call.

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_core::Uptime;

/// Number of records per window: units taken within this fraction of a window share a record, and become available
/// again together. Bounds the records of an account.
const RECORDS_PER_WINDOW: u32 = 16;

/// Units that were taken within one fraction of a window.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TakenUnits {
    first: Uptime,
    last: Uptime,
    units: i128,
}

/// The burst of one account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct BurstWindow {
    /// Units that are not available again yet, oldest first.
    taken: VecDeque<TakenUnits>,
    /// Sum of the units in `taken`.
    taken_sum: i128,
    /// The limit at the latest call of `advance`.
    limit: i128,
    /// Time of the latest call of `advance`.
    advanced_at: Uptime,
}

impl BurstWindow {
    /// Creates the window of a daemon that has granted units since `since`.
    pub fn new(since: Uptime) -> BurstWindow {
        BurstWindow { advanced_at: since, ..BurstWindow::default() }
    }

    /// Advances the time and applies the limit. The amount by which the limit has grown counts as taken one window
    /// after the latest call: until then another daemon that does not know of this one may grant it (model `rates`).
    pub fn advance(&mut self, now: Uptime, window: Duration, limit: i128) {
        if limit > self.limit {
            self.record(self.advanced_at + window, window, limit - self.limit);
        }
        self.limit = limit;
        self.advanced_at = now;
        // Without a window no units become available again by time.
        while let Some(oldest) = self.taken.front().filter(|_| !window.is_zero()) {
            if now < oldest.last + window {
                return;
            }
            self.taken_sum -= oldest.units;
            self.taken.pop_front();
        }
    }

    /// Repays the units that were taken first with unused units of the rate.
    pub fn repay(&mut self, mut units: i128) {
        while let Some(oldest) = self.taken.front_mut().filter(|_| units > 0) {
            let paid = oldest.units.min(units);
            oldest.units -= paid;
            self.taken_sum -= paid;
            units -= paid;
            if oldest.units == 0 {
                self.taken.pop_front();
            }
        }
    }

    /// Returns the scaled units that may be taken now.
    pub fn available(&self) -> i128 {
        (self.limit - self.taken_sum).max(0)
    }

    /// Takes scaled units from the burst.
    pub fn take(&mut self, now: Uptime, window: Duration, units: i128) {
        if units > 0 {
            self.record(now, window, units);
        }
    }

    /// Returns the time until `missing` scaled units are available, from the burst or from a rate of `per_s`.
    pub fn wait_for(&self, now: Uptime, window: Duration, missing: i128, per_s: i128) -> Duration {
        let by_rate = |units: i128| Duration::from_micros((units / per_s.max(1)).max(0) as u64);
        let mut regained = 0;
        for taken in self.taken.iter().filter(|_| !window.is_zero()) {
            let due = (taken.last + window).saturating_sub(now);
            if by_rate(missing - regained) <= due {
                break;
            }
            regained += taken.units;
            if missing <= regained + per_s * due.as_micros() as i128 {
                return due;
            }
        }
        by_rate(missing - regained)
    }

    /// Records units as taken at `now`.
    fn record(&mut self, now: Uptime, window: Duration, units: i128) {
        self.taken_sum += units;
        match self.taken.back_mut() {
            Some(latest) if now < latest.first + window / RECORDS_PER_WINDOW => {
                latest.last = latest.last.max(now);
                latest.units += units;
            }
            _ => self.taken.push_back(TakenUnits { first: now, last: now, units }),
        }
    }
}
