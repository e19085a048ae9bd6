//! Provides the clock by which ages, leases and deadlines are taken.
//!
//! A machine may be suspended for seconds. `std::time::Instant` and the timers of the runtime do not count that time,
//! so a daemon that used them would underestimate the ages of its configuration, permits and roles by the length of the
//! suspension. [`Moment`] counts it: it reads the clock that the process has installed, or [`BootClock`] by default.
//!
//! Owns: the clock of the process. Relies on: the kernel's `CLOCK_BOOTTIME`.

use std::ops::{Add, Sub};
use std::sync::OnceLock;
use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

/// A monotonic clock that continues to run while the machine is suspended.
pub trait AgeClock: Send + Sync {
    /// Returns the time since an origin that stays the same for the lifetime of the process.
    fn read(&self) -> Duration;
}

/// The kernel's `CLOCK_BOOTTIME`, the time since boot.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl AgeClock for BootClock {
    fn read(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        // Neither the seconds nor the nanoseconds are ever negative.
        Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or_default())
    }
}

static CLOCK: OnceLock<Box<dyn AgeClock>> = OnceLock::new();

/// Error: the process has a clock already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockInUse;

/// Installs the clock of this process. Must be called before the first [`Moment`] is read.
///
/// # Errors
/// Returns [`ClockInUse`] where a clock has been read or installed before.
pub fn install(clock: Box<dyn AgeClock>) -> Result<(), ClockInUse> {
    CLOCK.set(clock).map_err(|_| ClockInUse)
}

fn read() -> Duration {
    CLOCK.get_or_init(|| Box::new(BootClock)).read()
}

/// A point in time, like [`std::time::Instant`] but on the [`AgeClock`] of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(Duration);

impl Moment {
    /// Returns the current time.
    pub fn now() -> Moment {
        Moment(read())
    }

    /// Returns the time since this moment, zero where it is in the future.
    pub fn elapsed(self) -> Duration {
        Moment::now().saturating_duration_since(self)
    }

    /// Returns the time since an earlier moment, zero where that moment is later than this one.
    pub fn saturating_duration_since(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time until this moment, zero where it has passed.
    pub fn time_left(self) -> Duration {
        self.saturating_duration_since(Moment::now())
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, time: Duration) -> Moment {
        Moment(self.0.saturating_add(time))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, time: Duration) -> Moment {
        Moment(self.0.saturating_sub(time))
    }
}
