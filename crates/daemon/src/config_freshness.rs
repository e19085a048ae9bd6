//! How old the proof is that the configuration in force is the newest.

use std::cell::Cell;
use std::time::Duration;

use curlewcleat_clock::Moment;

/// Age of the configuration, counted from the sending of the read that proved it.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    proved: Cell<Option<Moment>>,
    /// Whether the latest own read failed.
    failing: Cell<bool>,
}

impl ConfigFreshness {
    /// A read of this daemon, sent at that time, has shown the configuration in force to be the newest.
    pub fn prove(&self, sent: Moment) {
        self.confirm_by_peer(sent);
        self.failing.set(false);
    }

    /// A peer's read has; it says nothing of the own way to the platform.
    pub fn confirm_by_peer(&self, sent: Moment) {
        self.proved.set(self.proved.get().max(Some(sent)));
    }

    /// A read has failed.
    pub fn fail(&self) {
        self.failing.set(true);
    }

    /// Whether the latest own read failed.
    pub fn is_failing(&self) -> bool {
        self.failing.get()
    }

    /// Age of the proof, `None` where there never was one.
    pub fn age(&self) -> Option<Duration> {
        self.proved.get().map(|proved| proved.elapsed())
    }

    /// Whether requests may rely on the configuration: the proof is younger than the limit, where there is
    /// one.
    pub fn allows(&self, age_limit: Option<Duration>) -> bool {
        age_limit.is_none_or(|limit| self.is_within(limit))
    }

    /// Whether the proof is younger than a limit.
    pub fn is_within(&self, limit: Duration) -> bool {
        self.age().is_some_and(|age| age < limit)
    }
}
