//! Measures how many bytes are released in a second, over the last one to two seconds.
//!
//! Inputs: releases and their moments. The rule: bytes are counted in intervals of a second; the pace is that of the
//! interval that is complete and of the one in progress.
//!
//! Owns: two counts. Relies on: nothing.

use std::time::Duration;

use curlewcleat_clock::Moment;

/// Length of an interval.
const INTERVAL: Duration = Duration::from_secs(1);

/// Pace of releases.
#[derive(Debug, Default)]
pub(super) struct ReleaseRate {
    /// Begin of the interval in progress; `None` before the first release.
    begun: Option<Moment>,
    current: u64,
    previous: u64,
}

impl ReleaseRate {
    /// Counts released bytes.
    pub fn add(&mut self, now: Moment, bytes: u64) {
        let begun = *self.begun.get_or_insert(now);
        let elapsed = now.saturating_duration_since(begun);
        if elapsed >= INTERVAL {
            // After an interval without releases, the previous one shows nothing about the present.
            self.previous = if elapsed < INTERVAL * 2 { self.current } else { 0 };
            (self.current, self.begun) = (0, Some(now));
        }
        self.current += bytes;
    }

    /// Returns the bytes released in a second, 0 if there were no releases recently.
    pub fn per_second(&self, now: Moment) -> u64 {
        let Some(begun) = self.begun else { return 0 };
        let elapsed = now.saturating_duration_since(begun);
        if elapsed >= INTERVAL * 2 {
            return 0;
        }
        let micros = (INTERVAL + elapsed).as_micros() as u64;
        (self.previous + self.current).saturating_mul(1_000_000) / micros
    }
}
