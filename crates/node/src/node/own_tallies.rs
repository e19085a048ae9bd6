//! What a daemon has counted of its own streams, and what of it the other daemons need to know.
//!
//! Owns: the counts of one source. Relies on: the driver for the streams.

use std::time::Duration;

use curlewcleat_core::{SourceTally, StreamCounter, StreamSource, StreamTally, Uptime};

/// Interval at which streams are reported of a source whose form is known.
pub(super) const KNOWN_INTERVAL: Duration = Duration::from_secs(10);

/// What this daemon has counted of a source, and what of it was reported.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnTally {
    /// Since the start of the daemon.
    pub counted: StreamTally,
    /// What was counted when a form of the source was last withdrawn, and how often that was.
    withdrawn: StreamTally,
    epoch: u32,
    pub reported: StreamTally,
    pub reported_at: Uptime,
}

impl OwnTally {
    /// Counts anew: what was counted has shown a form that does not hold.
    pub(super) fn begin_epoch(&mut self) {
        (self.withdrawn, self.epoch) = (self.counted, self.epoch.saturating_add(1));
    }

    /// Returns what is reported, and records that it was.
    pub(super) fn report(&mut self, now: Uptime, source: &StreamSource) -> SourceTally {
        (self.reported, self.reported_at) = (self.counted, now);
        let tally = self.counted.minus(&self.withdrawn);
        SourceTally { source: source.clone(), epoch: self.epoch, tally }
    }

    /// Returns whether the other daemons need to know what has changed.
    pub(super) fn is_due(&self, now: Uptime, is_form_known: bool) -> bool {
        let Some(added) = self.counted.since(&self.reported) else { return false };
        let rare = [StreamCounter::Irregular, StreamCounter::Cut, StreamCounter::Damaged];
        let has_rare = rare.into_iter().any(|counted| added.count(counted) > 0);
        let is_late = now >= self.reported_at + KNOWN_INTERVAL;
        has_rare || added.whole() > 0 && (!is_form_known || is_late)
    }
}
