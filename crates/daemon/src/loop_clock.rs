//! Provides a clock that stands still while this thread's loop does not run.
//!
//! A process that is stopped, a machine that is suspended, or a long turn of the loop lets the daemon read late what its
//! targets sent in time. An interval on this clock does not contain that time, so it is not taken for a target's.
//!
//! Inputs: beats, which a timer of the loop records. The rule: the time since the latest beat counts up to
//! [`MAX_BEAT_GAP`]; the clock stands still from then until the next beat.
//!
//! Owns: the beats of each thread. Relies on: requests that stay on the thread on which they began.

use std::cell::Cell;
use std::time::Duration;

use curlewcleat_clock::Moment;

#[cfg(test)]
mod tests;

/// Time between two beats.
const BEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two beats of a loop that runs: the interval, and the delay of a timer.
const MAX_BEAT_GAP: Duration = Duration::from_millis(75);

thread_local! {
    static BEATS: Cell<Option<LoopBeats>> = const { Cell::new(None) };
}

/// The beats of one loop.
#[derive(Clone, Copy, Debug)]
struct LoopBeats {
    latest: Moment,
    /// Time for which the loop did not run before the latest beat.
    missed: Duration,
}

impl LoopBeats {
    fn start(now: Moment) -> LoopBeats {
        LoopBeats { latest: now, missed: Duration::ZERO }
    }

    /// Returns the beats after one at this moment.
    fn with_beat(self, now: Moment) -> LoopBeats {
        LoopBeats { latest: now, missed: self.missed_until(now) }
    }

    /// Returns the time for which the loop did not run until a moment.
    fn missed_until(self, now: Moment) -> Duration {
        let gap = now.saturating_duration_since(self.latest);
        self.missed + gap.saturating_sub(MAX_BEAT_GAP)
    }

    fn read(self, now: Moment) -> LoopMoment {
        LoopMoment(now - self.missed_until(now))
    }
}

/// A point in time on the clock of this thread's loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoopMoment(Moment);

impl LoopMoment {
    /// Returns the current time. Without beats on this thread, no time counts as missed.
    pub fn now() -> LoopMoment {
        let now = Moment::now();
        BEATS.get().map_or(LoopMoment(now), |beats| beats.read(now))
    }

    /// Returns the time since this moment for which the loop ran.
    pub fn elapsed(self) -> Duration {
        LoopMoment::now().saturating_duration_since(self)
    }

    /// Returns the time since an earlier moment for which the loop ran.
    pub fn saturating_duration_since(self, earlier: LoopMoment) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }
}

/// Starts the beats of this thread's loop, unless they have begun.
pub fn start_beats() {
    if BEATS.get().is_some() {
        return;
    }
    BEATS.set(Some(LoopBeats::start(Moment::now())));
    actix_rt::spawn(async {
        loop {
            tokio::time::sleep(BEAT_INTERVAL).await;
            let now = Moment::now();
            BEATS.set(BEATS.get().map(|beats| beats.with_beat(now)));
        }
    });
}
