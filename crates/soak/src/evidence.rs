//! Holds what a run recorded, as the input of the checks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use curlewcleat_standins::fleet::EngineRun;

use crate::callers::CallRecord;
use crate::crowds::CrowdRecord;
use crate::notices::SentNotice;

/// Time after an unplanned fault during which requests may still fail because of it.
pub(crate) const AFTERMATH: Duration = Duration::from_millis(1_500);

/// A key that was revoked.
#[derive(Clone, Debug)]
pub struct KeyRevocation {
    /// The key.
    pub key: &'static str,
    /// When the configuration without the key was stored.
    pub revoked: Instant,
    /// When the configuration with the key was stored again.
    pub restored: Option<Instant>,
}

/// An engine whose leaving was written to the store.
#[derive(Clone, Debug)]
pub struct EngineLeave {
    /// Id of the engine.
    pub engine: String,
    /// When the store had the change.
    pub announced: Instant,
}

/// A daemon that was stopped with SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// Index of the daemon.
    pub daemon: usize,
    /// When the signal was sent.
    pub signalled: Instant,
}

/// Everything that a run recorded.
#[derive(Default)]
pub struct SoakEvidence {
    /// Requests of the callers with their outcomes.
    pub records: Vec<CallRecord>,
    /// Requests that reached engines, with the engine's id.
    pub runs: Vec<(String, EngineRun)>,
    /// Number of events of a complete stream.
    pub events: u64,
    /// Keys that were revoked.
    pub key_revocations: Vec<KeyRevocation>,
    /// Time since the last confirmation of a configuration above which its keys are refused.
    pub age_limit: Duration,
    /// Engines whose leaving was written to the store.
    pub leaves: Vec<EngineLeave>,
    /// Time after which no request may reach these engines.
    pub leave_limit: Duration,
    /// Daemons that were stopped with SIGTERM.
    pub stops: Vec<PlannedStop>,
    /// Start and end of each unplanned fault.
    pub faults: Vec<(Instant, Instant)>,
    /// Daemons that were suspended or restarted, with start and end.
    pub interruptions: Vec<(usize, Instant, Instant)>,
    /// Versions of the engines, in runs with releases.
    pub versions: BTreeMap<String, String>,
    /// Notices that engines have sent about themselves.
    pub notices: Vec<SentNotice>,
    /// Crowds, with the requests of their callers.
    pub crowds: Vec<CrowdRecord>,
    /// Names of list entries that no engine wrote.
    pub foreign_entries: BTreeSet<String>,
    /// Processes that exited by themselves, and faults that could not be injected.
    pub failures: Vec<String>,
    /// When the last fault ended.
    pub faults_ended: Option<Instant>,
}

impl SoakEvidence {
    /// Returns all requests with their outcomes.
    pub(crate) fn all_records(&self) -> impl Iterator<Item = &CallRecord> {
        self.records.iter().chain(self.crowds.iter().flat_map(|crowd| &crowd.records))
    }

    /// Returns whether no unplanned fault, or its aftermath, overlaps a time span.
    pub(crate) fn is_undisturbed(&self, from: Instant, to: Instant) -> bool {
        self.faults.iter().all(|(begin, end)| *begin > to || *end + AFTERMATH < from)
    }

    /// Returns whether a daemon was neither suspended nor restarted in a time span, or shortly before.
    pub(crate) fn ran_uninterrupted(&self, daemon: usize, from: Instant, to: Instant) -> bool {
        let interruptions = self.interruptions.iter().filter(|(index, ..)| *index == daemon);
        interruptions.into_iter().all(|(_, begin, end)| *begin > to || *end + AFTERMATH < from)
    }

    /// Returns whether a daemon received a SIGTERM before a time.
    pub(crate) fn is_stopping(&self, daemon: usize, at: Instant) -> bool {
        self.stops.iter().any(|stop| stop.daemon == daemon && stop.signalled <= at)
    }
}
