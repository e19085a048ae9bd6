//! What is known after a run, for the judge.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use curlewcleat_standins::fleet::EngineRun;

use crate::callers::CallRecord;
use crate::words::SaidWord;

/// Time after an unplanned fault in which what it broke may still show.
pub(crate) const AFTERMATH: Duration = Duration::from_millis(1_500);

/// A key that was taken away.
#[derive(Clone, Debug)]
pub struct KeyLoss {
    /// The key.
    pub key: &'static str,
    /// When the store had the configuration without it.
    pub lost: Instant,
    /// When it had one with it again.
    pub back: Option<Instant>,
}

/// An engine that was said to leave.
#[derive(Clone, Debug)]
pub struct EngineLeave {
    /// Name of its start.
    pub engine: String,
    /// When the store had it.
    pub told: Instant,
}

/// A daemon that was told to stop.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// Number of the daemon.
    pub daemon: usize,
    /// When.
    pub told: Instant,
}

/// All that is known after a run.
#[derive(Default)]
pub struct SoakEvidence {
    /// Requests and their outcomes.
    pub records: Vec<CallRecord>,
    /// What reached each engine, by its name.
    pub runs: Vec<(String, EngineRun)>,
    /// Events of a whole stream.
    pub events: u64,
    /// Keys that were taken away.
    pub key_losses: Vec<KeyLoss>,
    /// Age of the proof of a configuration above which keys are refused.
    pub age_limit: Duration,
    /// Engines that left.
    pub leaves: Vec<EngineLeave>,
    /// Time after which nothing reaches them.
    pub leave_limit: Duration,
    /// Daemons that were stopped.
    pub stops: Vec<PlannedStop>,
    /// Times of unplanned faults.
    pub faults: Vec<(Instant, Instant)>,
    /// Daemons that stood still or began anew, and when.
    pub struck: Vec<(usize, Instant, Instant)>,
    /// What engines have said of themselves.
    pub words: Vec<SaidWord>,
    /// Names of entries that name no engine.
    pub foreign: BTreeSet<String>,
    /// What processes did that nobody asked for.
    pub exits: Vec<String>,
    /// When the last fault had ended.
    pub healed: Option<Instant>,
}

impl SoakEvidence {
    /// Whether no unplanned fault could have had a part in what happened in a time.
    pub(crate) fn is_calm(&self, from: Instant, to: Instant) -> bool {
        self.faults.iter().all(|(begin, end)| *begin > to || *end + AFTERMATH < from)
    }

    /// Whether a daemon neither stood still nor began anew in a time.
    pub(crate) fn was_sound(&self, daemon: usize, from: Instant, to: Instant) -> bool {
        let struck = self.struck.iter().filter(|(struck, ..)| *struck == daemon);
        struck.into_iter().all(|(_, begin, end)| *begin > to || *end + AFTERMATH < from)
    }

    /// Whether a daemon was told to stop before a time.
    pub(crate) fn is_stopping(&self, daemon: usize, at: Instant) -> bool {
        self.stops.iter().any(|stop| stop.daemon == daemon && stop.told <= at)
    }
}
