//! Tracks when the configuration in force was last confirmed to be the newest.
//!
//! Owns: the time of the latest confirmation. Relies on: the reads of this daemon and of its peers.

use std::cell::Cell;
use std::time::Duration;

use curlewcleat_clock::Moment;

/// Age of the configuration, counted from the sending of the read that confirmed it.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    confirmed_at: Cell<Option<Moment>>,
    /// Whether the latest read by this daemon failed.
    failing: Cell<bool>,
    /// When the latest read was sent that showed an object that is no configuration.
    unusable_at: Cell<Option<Moment>>,
}

impl ConfigFreshness {
    /// Records that a read by this daemon, sent at this moment, confirmed the configuration in force as the newest.
    pub fn confirm(&self, sent: Moment) {
        self.confirm_by_peer(sent);
        self.failing.set(false);
    }

    /// Records that a peer's read confirmed it. This does not show that this daemon can reach the platform.
    pub fn confirm_by_peer(&self, sent: Moment) {
        self.confirmed_at.set(self.confirmed_at.get().max(Some(sent)));
    }

    /// Records that a read by this daemon failed.
    pub fn record_failure(&self) {
        self.failing.set(true);
    }

    /// Records that a read by this daemon, sent at this moment, showed that the newest object is no configuration.
    pub fn record_unusable(&self, sent: Moment) {
        self.unusable_at.set(Some(sent));
    }

    /// Returns whether the newest object at the platform is no configuration, so that an earlier one is in force.
    pub fn is_unusable(&self) -> bool {
        self.unusable_at.get() > self.confirmed_at.get()
    }

    /// Returns whether the latest read by this daemon failed.
    pub fn is_failing(&self) -> bool {
        self.failing.get()
    }

    /// Returns the time since the latest confirming read was sent, or `None` if there was none.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.get().map(|confirmed_at| confirmed_at.elapsed())
    }

    /// Returns whether requests may rely on the configuration: there is no age limit, or its age is below the limit.
    pub fn allows(&self, age_limit: Option<Duration>) -> bool {
        age_limit.is_none_or(|limit| self.is_within(limit))
    }

    /// Returns whether the age of the configuration is below a limit.
    pub fn is_within(&self, limit: Duration) -> bool {
        self.age().is_some_and(|age| age < limit)
    }
}
