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
use curlewcleat_targets::UNREAD_LIMIT;

#[cfg(test)]
mod tests;

/// Time between two beats.
const BEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two beats of a loop that runs: the interval, and the delay of a timer.
const MAX_BEAT_GAP: Duration = Duration::from_millis(75);
/// Time without a beat in which targets may have cut off answers, since nothing was read.
const LONG_STANDSTILL: Duration = UNREAD_LIMIT;

thread_local! {
    static BEATS: Cell<Option<LoopBeats>> = const { Cell::new(None) };
}

/// The beats of one loop.
#[derive(Clone, Copy, Debug)]
struct LoopBeats {
    latest: Moment,
    /// Time for which the loop did not run before the latest beat.
    missed: Duration,
    /// When the latest long standstill ended.
    stood_still: Option<Moment>,
}

impl LoopBeats {
    fn start(now: Moment) -> LoopBeats {
        LoopBeats { latest: now, missed: Duration::ZERO, stood_still: None }
    }

    /// Returns the beats after one at this moment.
    fn with_beat(self, now: Moment) -> LoopBeats {
        let stood_still = if self.stands_still(now) { Some(now) } else { self.stood_still };
        LoopBeats { latest: now, missed: self.missed_until(now), stood_still }
    }

    /// Returns the time for which the loop did not run until a moment.
    fn missed_until(self, now: Moment) -> Duration {
        let gap = now.saturating_duration_since(self.latest);
        self.missed + gap.saturating_sub(MAX_BEAT_GAP)
    }

    /// Returns whether the latest beat is so old that the loop did not run for long.
    fn stands_still(self, now: Moment) -> bool {
        now.saturating_duration_since(self.latest) >= LONG_STANDSTILL
    }

    /// Returns whether a long standstill ended between both moments.
    fn has_stood_still(self, since: Moment, now: Moment) -> bool {
        self.stands_still(now) || self.stood_still.is_some_and(|ended| ended >= since)
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

/// Returns whether this thread's loop has stood still since a moment for so long that targets may have cut off what it did
/// not read. Without beats on this thread, it has not.
pub fn has_stood_still_since(moment: Moment) -> bool {
    BEATS.get().is_some_and(|beats| beats.has_stood_still(moment, Moment::now()))
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
