//! Notices that this daemon did not run for some time.
//!
//! What has arrived in the meantime is handled afterwards as if it were new: frames of peers that have long taken this
//! daemon for unreachable, and requests whose callers have less time than they stated.
//!
//! Owns: the last standstill. Relies on: an event every few milliseconds, at least a tick, and a clock that continues.

use std::time::Duration;

use curlewcleat_core::Uptime;
use curlewcleat_sched::RateShare;

use super::Node;

/// Time between two events from which this daemon counts as having stood still.
const MIN_STANDSTILL: Duration = Duration::from_millis(500);
/// Time after it in which what has arrived in the meantime is handled.
const BACKLOG_TIME: Duration = Duration::from_secs(1);

/// A time for which this daemon did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Standstill {
    ended: Uptime,
    length: Duration,
}

impl Node {
    /// Returns the node of a process that has run for some time, in which nothing can have arrived here.
    pub fn starting_at(self, now: Uptime) -> Node {
        Node { now, ..self }
    }

    /// Returns whether this daemon stood still until now.
    pub(super) fn record_standstill(&mut self, now: Uptime) -> bool {
        let length = now.saturating_sub(self.now);
        let stood_still = length >= MIN_STANDSTILL;
        if stood_still {
            let length = length.max(self.handling_delay());
            self.standstill = Some(Standstill { ended: now, length });
        }
        stood_still
    }

    /// Returns for how long the frames may have waited by which peers seem to be reached.
    pub(super) fn handling_delay(&self) -> Duration {
        self.standstill_within(BACKLOG_TIME + self.options.members.suspect_after)
    }

    /// Returns whether peers that seem lost may be reached: their frames have waited.
    pub(super) fn stood_still_lately(&self) -> bool {
        !self.handling_delay().is_zero()
    }

    /// Returns the share of the fleet-wide limits that this daemon grants where it schedules. After a standstill in which
    /// another daemon can have taken over, frames that have waited show nothing.
    pub(super) fn leader_share(&self) -> RateShare {
        // A peer counts the time from its last frame, which is up to a heartbeat older: a third of the timeout.
        let takeover_time = self.options.members.suspect_after * 2 / 3;
        let long = self.standstill.filter(|standstill| standstill.length >= takeover_time);
        let since = long.map_or(Uptime::ZERO, |standstill| standstill.ended + BACKLOG_TIME);
        self.members.reached_share(self.now, since)
    }

    /// Returns by how much longer ago than it seems something can have arrived that is handled now.
    pub(super) fn recent_standstill(&self) -> Duration {
        self.standstill_within(BACKLOG_TIME)
    }

    fn standstill_within(&self, limit: Duration) -> Duration {
        let recent = self.standstill.filter(|last| self.now < last.ended + limit);
        recent.map_or(Duration::ZERO, |standstill| standstill.length)
    }
}
