//! Decides whether a target is ejected, which means that it gets no requests for a time since it keeps failing.
//!
//! Inputs: how each request at the target ended, and how many of the pool's targets are ejected.
//!
//! The rule: after [`EJECT_AFTER`] consecutive failures a target is ejected for [`EJECT_FIRST`], doubled
//! with each further failure up to [`EJECT_LIMIT`]. After that time it is tried with one request at a
//! time; the first success ends the ejection. No more than [`EJECT_PERCENT`] of a pool's targets are
//! ejected at the same time: if all targets fail, the cause is probably elsewhere, and refusing every
//! request would help no caller.
//!
//! Owns: the ejection of one target. Relies on: verdicts of entry daemons that attribute to a target only
//! its own failures.

use std::time::Duration;

use curlewcleat_core::Uptime;

/// Consecutive failures after which a target is ejected.
const EJECT_AFTER: u32 = 3;
/// Duration of the first ejection; doubles while the target keeps failing.
const EJECT_FIRST: Duration = Duration::from_secs(2);
/// Longest duration of an ejection.
const EJECT_LIMIT: Duration = Duration::from_secs(60);
/// Share of a pool's targets that may be ejected at the same time, in percent.
const EJECT_PERCENT: usize = 50;

/// Returns whether a pool may eject one more target, by its number of ejected targets and of all targets.
pub fn may_eject_one_more(ejected: usize, targets: usize) -> bool {
    (ejected + 1) * 100 <= targets * EJECT_PERCENT
}

/// Consecutive failures of one target, and its ejection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetEjection {
    /// Consecutive failures.
    failures: u32,
    /// When the target may be tried again, `None` if it is not ejected.
    ejected_until: Option<Uptime>,
    /// Duration of the current or next ejection.
    duration: Duration,
}

impl Default for TargetEjection {
    fn default() -> TargetEjection {
        TargetEjection { failures: 0, ejected_until: None, duration: EJECT_FIRST }
    }
}

impl TargetEjection {
    /// Returns whether the target is ejected, also while it is tried again.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the target may get a request: it is not ejected, or may be tried again.
    pub fn admits(&self, now: Uptime) -> bool {
        self.ejected_until.is_none_or(|ejected_until| now >= ejected_until)
    }

    /// Returns the time until an ejected target may be tried again, `None` if it is not ejected.
    pub fn remaining(&self, now: Uptime) -> Option<Duration> {
        self.ejected_until.map(|ejected_until| ejected_until.saturating_sub(now))
    }

    /// Records a request that succeeded, which ends an ejection.
    pub fn succeeded(&mut self) {
        *self = TargetEjection::default();
    }

    /// Records a request that failed; `may_eject` is whether the pool may eject one more target.
    pub fn failed(&mut self, now: Uptime, may_eject: bool) {
        self.failures += 1;
        if self.ejected_until.is_some() {
            self.duration = (self.duration * 2).min(EJECT_LIMIT);
            self.ejected_until = Some(now + self.duration);
        } else if self.failures >= EJECT_AFTER && may_eject {
            self.ejected_until = Some(now + self.duration);
        }
    }
}
