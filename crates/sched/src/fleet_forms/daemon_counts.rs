//! What one daemon has counted of the streams of a source, over its starts.
//!
//! Owns: which reports count. Relies on: starts that are drawn at random, so that only the latest two can be distinguished.

use curlewcleat_core::{Incarnation, StreamTally, Uptime};

/// A start of a daemon's counts: that of its process, or a later one since a form was withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountStart {
    /// The process.
    pub incarnation: Incarnation,
    /// Number of withdrawals in it.
    pub epoch: u32,
}

/// What one daemon has counted.
#[derive(Clone, Debug)]
pub struct DaemonCounts {
    /// Since when it counts.
    pub start: CountStart,
    /// The process before this one, whose reports may still arrive.
    former: Option<Incarnation>,
    /// Since the start.
    pub stated: StreamTally,
    /// What of it counts here.
    pub part: StreamTally,
    /// Weight of the streams that it has cut lately.
    pub cut_weight: u64,
    /// When it last reported.
    pub reported: Uptime,
}

impl DaemonCounts {
    /// Returns counts that begin here.
    pub fn new(start: CountStart, former: Option<Incarnation>) -> DaemonCounts {
        DaemonCounts {
            start,
            former,
            stated: StreamTally::default(),
            part: StreamTally::default(),
            cut_weight: 0,
            reported: Uptime::ZERO,
        }
    }

    /// Returns the counts that a report since this start adds to, `None` if it was sent before a later start.
    pub fn started(&self, start: CountStart) -> Option<DaemonCounts> {
        let is_same_process = self.start.incarnation == start.incarnation;
        let is_late = self.former == Some(start.incarnation)
            || is_same_process && self.start.epoch > start.epoch;
        if is_late {
            return None;
        }
        if self.start == start {
            return Some(self.clone());
        }
        let former = if is_same_process { self.former } else { Some(self.start.incarnation) };
        Some(DaemonCounts { part: self.part, ..DaemonCounts::new(start, former) })
    }
}
