//! State of the store, the daemons and the stream.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use curlewcleat_core::{StreamId, VersionDigest, VersionHistory, WallTime, SPLIT_SLOTS};
use curlewcleat_sched::{confirm_last_split, revise_history, VersionWeights};

use super::{StreamStage, DAEMONS};

/// Second at which the search starts; the first daemon schedules since second 0.
pub(super) const START: u8 = 50;
/// Time that callers have for a stream.
pub(super) const TIMEOUT: Duration = Duration::from_secs(20);

/// The splits as one write stored them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StoredHistory(pub(super) Arc<VersionHistory>);

impl Hash for StoredHistory {
    // The slots differ only where the times or the number of splits do, nearly always.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.0.splits.iter().for_each(|split| (split.since, split.until).hash(hasher));
    }
}

/// Which daemons reach each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum DaemonCut {
    None,
    /// The first daemon reaches no other one.
    FirstAlone,
    /// The second daemon reaches no other one.
    SecondAlone,
    /// Each reaches half of the fleet.
    Halves,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct StreamDaemon {
    /// Changes of the targets that it knows of, and when it learned of the last one.
    pub(super) targets_seen: u8,
    pub(super) targets_changed: u8,
    /// The splits that it has read, as their number in the store.
    pub(super) history: usize,
    /// When the read was sent that showed them.
    pub(super) last_read: Option<u8>,
    pub(super) started: u8,
    /// The write that may still reach the store, when it was sent, and the number of the splits that it replaces.
    pub(super) write: Option<(StoredHistory, u8, usize)>,
    /// The number of the splits that it has last wanted to replace.
    pub(super) replaced: Option<usize>,
    /// Whether it has reached half of the fleet without a break since it read the splits, or had them stored.
    pub(super) is_split_in_step: bool,
    /// Whether it did not reach half of the fleet when it had splits stored that it has not read.
    pub(super) is_write_out_of_step: bool,
    /// When it last heard most of the fleet, and half of it.
    pub(super) fleet_heard: Option<u8>,
    pub(super) half_heard: Option<u8>,
    /// Since when it has reached most of the fleet, and half of it, without a break.
    pub(super) most_since: Option<u8>,
    pub(super) half_since: Option<u8>,
    /// When the second daemon last heard the first one.
    pub(super) other_heard: Option<u8>,
    pub(super) leading_since: Option<u8>,
    /// Since when it stands still.
    pub(super) stalled: Option<u8>,
    /// When its last standstill ended, and its length.
    pub(super) standstill: Option<(u8, u8)>,
}

/// State of the store, the daemons and the stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamState {
    pub(super) now: u8,
    /// Number of changes of the targets.
    pub(super) releases: u8,
    /// All splits that were stored and since when, the current ones last.
    pub(super) store: Vec<(StoredHistory, u8)>,
    pub(super) daemons: [StreamDaemon; DAEMONS],
    pub(super) cut: DaemonCut,
    pub(super) cuts: u8,
    pub(super) standstills: u8,
    pub(super) kills: u8,
    pub(super) stream: StreamStage,
    /// Whether a keeper remembers the stream.
    pub(super) is_remembered: bool,
}

impl StreamDaemon {
    /// Returns a daemon that has just started.
    pub(super) fn started(now: u8, targets_seen: u8) -> StreamDaemon {
        StreamDaemon {
            targets_seen,
            targets_changed: now,
            history: 0,
            last_read: None,
            started: now,
            write: None,
            replaced: None,
            is_split_in_step: false,
            is_write_out_of_step: false,
            fleet_heard: None,
            half_heard: None,
            most_since: None,
            half_since: None,
            other_heard: None,
            leading_since: Some(now),
            stalled: None,
            standstill: None,
        }
    }
}

impl StreamState {
    /// Returns a fleet that has run for long with targets of one version.
    pub(super) fn new(releases: u8, targets_seen: u8) -> StreamState {
        let daemon = |index| StreamDaemon {
            targets_changed: if targets_seen > 0 { START } else { 0 },
            started: 0,
            last_read: Some(START),
            fleet_heard: Some(START),
            half_heard: Some(START),
            most_since: Some(0),
            half_since: Some(0),
            other_heard: (index == 1).then_some(START),
            leading_since: (index == 0).then_some(0),
            ..StreamDaemon::started(START, targets_seen)
        };
        StreamState {
            now: START,
            releases,
            store: vec![(StoredHistory(Arc::new(initial_history())), 0)],
            daemons: [0, 1].map(daemon),
            cut: DaemonCut::None,
            cuts: 0,
            standstills: 0,
            kills: 0,
            stream: StreamStage::NotBegun,
            is_remembered: false,
        }
    }

    /// Returns the number of the current splits.
    pub(super) fn head(&self) -> usize {
        self.store.len().saturating_sub(1)
    }

    /// Returns the numbers of the splits that a read may show that was sent in a second.
    pub(super) fn shown_at(&self, sent: u8) -> impl Iterator<Item = usize> + '_ {
        let replaced = |index: usize| self.store.get(index + 1).map(|(_, since)| *since);
        let is_shown =
            move |index: &usize| replaced(*index).is_none_or(|replaced| replaced >= sent);
        let stored = self.store.iter().take_while(move |(_, since)| *since <= sent).count();
        (0..stored).filter(is_shown)
    }

    /// Has the store accept a write, unless it replaces other splits than the current ones.
    pub(super) fn apply_write(&mut self, index: usize) {
        let Some((history, _, replaced)) = self.daemons[index].write.take() else { return };
        if replaced == self.head() {
            self.store.push((history, self.now));
        }
    }
}

/// Returns the time of a second.
pub(super) fn wall(second: u8) -> WallTime {
    Duration::from_secs(1_000) + Duration::from_secs(u64::from(second))
}

/// Returns a version of the targets.
pub(super) fn version(name: &str) -> VersionDigest {
    VersionDigest::of(Some(&name.to_string()))
}

/// Returns the targets after a number of changes.
pub(super) fn weights(releases: u8) -> VersionWeights {
    let versions: &[&str] = match releases {
        0 => &["v1"],
        1 => &["v1", "v2"],
        _ => &["v2"],
    };
    versions.iter().map(|name| (version(name), 1)).collect()
}

/// Returns a stream whose slot the second version gets as soon as it has joined.
pub(super) fn stream() -> StreamId {
    let joined = revise_history(&initial_history(), wall(START), &weights(1), false, TIMEOUT);
    let slots = joined.and_then(|history| history.splits.last().map(|split| split.slots));
    let gets_second = |stream: &StreamId| {
        slots.is_some_and(|slots| slots[stream.slot(SPLIT_SLOTS)] == version("v2"))
    };
    let mut streams = (0..1_000).map(|attempt| StreamId::new("p", "a", &attempt.to_string()));
    streams.find(gets_second).expect("half of the slots get the second version")
}

/// Returns the splits of a pool that has had one version for long.
fn initial_history() -> VersionHistory {
    let mut history = VersionHistory::default();
    for second in [1, 2] {
        let revised = revise_history(&history, wall(second), &weights(0), false, TIMEOUT);
        history = revised.unwrap_or(history);
    }
    confirm_last_split(&history, wall(3)).expect("the first split is open")
}
