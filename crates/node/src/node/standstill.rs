//! Notices that this daemon did not run for some time.
//!
//! What has arrived in the meantime is handled afterwards as if it were new: frames of peers that have long taken this
//! daemon for unreachable, and requests whose callers have less time than was measured.
//!
//! Owns: the last standstill. Relies on: an event every few milliseconds, at least a tick, and a clock that continues.

use std::time::Duration;

use curlewcleat_core::Uptime;

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
    pub(super) fn record_standstill(&mut self, now: Uptime) {
        let length = now.saturating_sub(self.now);
        if length >= MIN_STANDSTILL {
            let length = length.max(self.handling_delay());
            self.standstill = Some(Standstill { ended: now, length });
        }
    }

    /// Returns for how long the frames may have waited by which peers seem to be reached.
    pub(super) fn handling_delay(&self) -> Duration {
        self.standstill_within(BACKLOG_TIME + self.options.members.suspect_after)
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
