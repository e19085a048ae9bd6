//! Is a target ejected? One that keeps failing gets no work for a while.
//!
//! Inputs: how each request at the target ended, and how many of the pool's targets are ejected.
//!
//! The rule: a target is ejected after [`EJECT_AFTER`] consecutive failures for [`EJECT_FIRST`],
//! doubled with each further failure up to [`EJECT_LIMIT`]. After that time one request at a time tries
//! it out; the first success ends the ejection. No more than [`EJECT_PERCENT`] of a pool's targets are
//! ejected at the same time: where all fail, the fault is hardly theirs, and refusing everything would
//! help no caller.
//!
//! Owns: the ejection of one target. Relies on: verdicts of entries that blame a target only for its
//! own failures.

use std::time::Duration;

use curlewcleat_core::Uptime;

/// Consecutive failures after which a target is ejected.
const EJECT_AFTER: u32 = 3;
/// First time of ejection; doubles while the target keeps failing.
const EJECT_FIRST: Duration = Duration::from_secs(2);
/// Longest time of ejection.
const EJECT_LIMIT: Duration = Duration::from_secs(60);
/// Share of a pool's targets that may be ejected at the same time, in percent.
const EJECT_PERCENT: usize = 50;

/// Whether a pool may eject one more target, by its counts of ejected targets and of all.
pub fn may_eject_one_more(ejected: usize, targets: usize) -> bool {
    (ejected + 1) * 100 <= targets * EJECT_PERCENT
}

/// Failures of one target, and its ejection for them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetEjection {
    /// Consecutive failures.
    failures: u32,
    /// When it may be tried out, `None` where it is not ejected.
    until: Option<Uptime>,
    /// How long the present or next ejection lasts.
    lasts: Duration,
}

impl Default for TargetEjection {
    fn default() -> TargetEjection {
        TargetEjection { failures: 0, until: None, lasts: EJECT_FIRST }
    }
}

impl TargetEjection {
    /// Whether the target is ejected, also while it is tried out.
    pub fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Whether the target may get work: it is not ejected, or may be tried out.
    pub fn admits(&self, now: Uptime) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Time until an ejected target may be tried out.
    pub fn time_left(&self, now: Uptime) -> Option<Duration> {
        self.until.map(|until| until.saturating_sub(now))
    }

    /// A request ended well.
    pub fn succeeded(&mut self) {
        *self = TargetEjection::default();
    }

    /// A request failed; `may_eject` says whether the pool can spare the target.
    pub fn failed(&mut self, now: Uptime, may_eject: bool) {
        self.failures += 1;
        if self.until.is_some() {
            self.lasts = (self.lasts * 2).min(EJECT_LIMIT);
            self.until = Some(now + self.lasts);
        } else if self.failures >= EJECT_AFTER && may_eject {
            self.until = Some(now + self.lasts);
        }
    }
}
