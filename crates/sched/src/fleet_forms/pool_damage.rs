//! Whether targets of a pool damage events, as several daemons have shown, and how many.
//!
//! Owns: when the latest two daemons have shown it. Relies on: daemons that state damage only where another target had the
//! sound event.

use std::time::Duration;

use curlewcleat_core::{StreamCounter, StreamTally, Uptime, VmId};

/// Time for which shown damage counts.
const SHOWN_TIME: Duration = Duration::from_secs(60);
/// Interval at which damage that goes on is announced again, so that daemons that hear nothing can stop believing it.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(20);
/// Streams above which both counts are halved, so that those of late count most.
const MAX_STREAMS: u64 = 4_096;

/// Damage of a pool's events.
#[derive(Clone, Debug, Default)]
pub struct PoolDamage {
    /// The latest daemon that has shown damage.
    latest: Option<(VmId, Uptime)>,
    /// The latest other one.
    other: Option<(VmId, Uptime)>,
    /// When it was last announced that several daemons have.
    announced: Option<Uptime>,
    /// Whole streams of the sources that have shown damage.
    streams: u64,
    /// Damaged events, of each report at most one a stream.
    damaged: u64,
}

impl PoolDamage {
    /// Records that a daemon has shown damage; returns whether that has to be announced.
    pub fn record(&mut self, now: Uptime, vm: &VmId) -> bool {
        let is_other = self.latest.as_ref().is_some_and(|(latest, _)| latest != vm);
        if is_other {
            self.other = self.latest.take();
        }
        self.latest = Some((vm.clone(), now));
        let is_shown = is_recent(now, &self.other);
        let is_due = self.announced.is_none_or(|announced| now >= announced + ANNOUNCE_INTERVAL);
        if is_shown && is_due {
            self.announced = Some(now);
        }
        is_shown && is_due
    }

    /// Counts streams of a source that has shown damage.
    pub fn count(&mut self, added: &StreamTally) {
        let whole = added.whole();
        self.streams = self.streams.saturating_add(whole);
        self.damaged += added.count(StreamCounter::Damaged).min(whole);
        if self.streams > MAX_STREAMS {
            (self.streams, self.damaged) = (self.streams / 2, self.damaged.div_ceil(2));
        }
    }

    /// Returns the number of streams of which one is damaged, `None` unless several daemons have shown damage.
    pub fn damaged_one_in(&self) -> Option<u64> {
        self.is_shown().then(|| self.streams / self.damaged.max(1))
    }

    /// Returns whether several daemons have shown damage.
    pub fn is_shown(&self) -> bool {
        self.announced.is_some()
    }

    /// Ends what was shown long ago, once.
    pub fn advance(&mut self, now: Uptime) -> Option<()> {
        let is_over = !is_recent(now, &self.latest) || !is_recent(now, &self.other);
        self.announced.filter(|_| is_over)?;
        self.announced = None;
        Some(())
    }

    /// Returns whether anything is known that counts.
    pub fn is_remembered(&self, now: Uptime) -> bool {
        is_recent(now, &self.latest)
    }
}

fn is_recent(now: Uptime, shown: &Option<(VmId, Uptime)>) -> bool {
    shown.as_ref().is_some_and(|(_, at)| now.saturating_sub(*at) < SHOWN_TIME)
}
