//! The clock by which ages, leases and deadlines are counted.
//!
//! A machine may be suspended for seconds. `std::time::Instant` and the timers of the runtime do not count that time,
//! so that a daemon took its configuration, its permits and its roles for that much younger than they were.
//! [`Moment`] counts it. It reads the clock that the process has installed, or [`BootClock`].
//!
//! Owns: the installed clock. Relies on: the kernel's `CLOCK_BOOTTIME`.

use std::ops::{Add, Sub};
use std::sync::OnceLock;
use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

/// A clock that never goes back and goes on while the machine is suspended.
pub trait AgeClock: Send + Sync {
    /// Time since a moment that stays the same as long as the process lives.
    fn read(&self) -> Duration;
}

/// The kernel's clock since the boot.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl AgeClock for BootClock {
    fn read(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        // Neither part is ever negative.
        Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or_default())
    }
}

static CLOCK: OnceLock<Box<dyn AgeClock>> = OnceLock::new();

/// A clock is in use already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockInUse;

/// Installs the clock of this process, before the first [`Moment`] is read.
///
/// # Errors
/// [`ClockInUse`] where one has been read or installed.
pub fn install(clock: Box<dyn AgeClock>) -> Result<(), ClockInUse> {
    CLOCK.set(clock).map_err(|_| ClockInUse)
}

fn read() -> Duration {
    CLOCK.get_or_init(|| Box::new(BootClock)).read()
}

/// A moment, as [`std::time::Instant`] but on the [`AgeClock`] of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(Duration);

impl Moment {
    /// This moment.
    pub fn now() -> Moment {
        Moment(read())
    }

    /// Time since then, zero for a moment to come.
    pub fn elapsed(self) -> Duration {
        Moment::now().saturating_duration_since(self)
    }

    /// Time since an earlier moment, zero for a later one.
    pub fn saturating_duration_since(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time until then, zero where it has passed.
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
