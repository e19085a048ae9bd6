//! How much of an account's burst may be taken? What was taken comes back one window later.
//!
//! Inputs: the burst in scaled units, the window over which the platform counts, the times and amounts
//! that were taken. The rule: within any window no more than the burst is taken, except for what unused
//! units of the rate have paid back meanwhile.
//!
//! Load pattern: an account that asks for more than its rate for many seconds. The platform allows it rate
//! and burst in *every* window; a bucket that refills from unused units alone gives the burst once, and
//! the rate from then on: 53 % of what an account asks for at twice its rate, in place of 58 (a minute,
//! tests/rates.rs).
//!
//! Owns: what was taken of one account's burst. Relies on: its user for the limit and the window, which
//! may change from call to call.

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_core::Uptime;

/// What is taken within one part in this many of a window is remembered together, and comes back together: bounds the
/// entries of an account.
const WINDOW_PARTS: u32 = 16;

/// Units that were taken within a short time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TakenUnits {
    first: Uptime,
    last: Uptime,
    units: i128,
}

/// The burst of one account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct BurstWindow {
    taken: VecDeque<TakenUnits>,
    sum: i128,
    /// The limit at the latest call.
    limit: i128,
    /// When time passed last.
    advanced: Uptime,
}

impl BurstWindow {
    /// The burst of a daemon that has given out the rate since then.
    pub fn new(since: Uptime) -> BurstWindow {
        BurstWindow { advanced: since, ..BurstWindow::default() }
    }

    /// Lets time pass. What the limit has grown by counts as taken one window after the latest call: until
    /// then another daemon that does not know of this one may give it out (model `rates`).
    pub fn advance(&mut self, now: Uptime, window: Duration, limit: i128) {
        if limit > self.limit {
            self.note(self.advanced + window, window, limit - self.limit);
        }
        self.limit = limit;
        self.advanced = now;
        // Without a window nothing comes back by time.
        while let Some(oldest) = self.taken.front().filter(|_| !window.is_zero()) {
            if now < oldest.last + window {
                return;
            }
            self.sum -= oldest.units;
            self.taken.pop_front();
        }
    }

    /// Unused units of the rate pay back what was taken first.
    pub fn pay_back(&mut self, mut units: i128) {
        while let Some(oldest) = self.taken.front_mut().filter(|_| units > 0) {
            let paid = oldest.units.min(units);
            oldest.units -= paid;
            self.sum -= paid;
            units -= paid;
            if oldest.units == 0 {
                self.taken.pop_front();
            }
        }
    }

    /// Scaled units that may be taken now.
    pub fn free(&self) -> i128 {
        (self.limit - self.sum).max(0)
    }

    /// Takes scaled units.
    pub fn take(&mut self, now: Uptime, window: Duration, units: i128) {
        if units > 0 {
            self.note(now, window, units);
        }
    }

    /// Time until `missing` scaled units have come back from the burst or from a rate of `per_s`.
    pub fn wait_for(&self, now: Uptime, window: Duration, missing: i128, per_s: i128) -> Duration {
        let by_rate = |units: i128| Duration::from_micros((units / per_s.max(1)).max(0) as u64);
        let mut back = 0;
        for taken in self.taken.iter().filter(|_| !window.is_zero()) {
            let due = (taken.last + window).saturating_sub(now);
            if by_rate(missing - back) <= due {
                break;
            }
            back += taken.units;
            if missing <= back + per_s * due.as_micros() as i128 {
                return due;
            }
        }
        by_rate(missing - back)
    }

    fn note(&mut self, now: Uptime, window: Duration, units: i128) {
        self.sum += units;
        match self.taken.back_mut() {
            Some(latest) if now < latest.first + window / WINDOW_PARTS => {
                latest.last = latest.last.max(now);
                latest.units += units;
            }
            _ => self.taken.push_back(TakenUnits { first: now, last: now, units }),
        }
    }
}
