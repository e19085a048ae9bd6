//! The forms that the streams of rules have, shared by all threads of the daemon.
//!
//! Owns: the [`FormEvidence`] of each rule, pool and version that has served streams. Relies on: the tasks of requests, which
//! report how streams ended.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use curlewcleat_core::{PoolId, TargetEntry, VersionDigest};
use curlewcleat_targets::{EventForm, FormEvidence, StreamShape};

/// Sources whose evidence is kept; the one that was used longest ago gives way. Each has about 200 bytes.
const MAX_SOURCES: usize = 1_024;

/// What writes streams of one form. Another version may write another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamSource {
    /// Name of the rule of the requests.
    pub rule: String,
    /// Pool of the targets.
    pub pool: PoolId,
    /// Version of the targets.
    pub version: VersionDigest,
}

impl StreamSource {
    /// Returns the source of a target's answers to requests of a rule.
    pub fn new(rule: &str, pool: &PoolId, target: &TargetEntry) -> StreamSource {
        let version = VersionDigest::of(target.version.as_ref());
        StreamSource { rule: rule.to_string(), pool: pool.clone(), version }
    }
}

/// Evidence of one source, and when it was last used.
#[derive(Debug, Default)]
struct SourceEvidence {
    evidence: FormEvidence,
    used: u64,
}

/// The evidence of all sources.
#[derive(Debug, Default)]
struct StreamForms {
    sources: BTreeMap<StreamSource, SourceEvidence>,
    /// Number of uses, which orders them.
    uses: u64,
}

/// The daemon's forms of streams, shared by its threads.
#[derive(Clone, Debug, Default)]
pub struct SharedForms {
    forms: Arc<Mutex<StreamForms>>,
}

impl SharedForms {
    /// Returns the form of a source's events, `None` while too few streams have shown one. Streams that may not be repeated
    /// need more of them.
    pub fn form(&self, source: &StreamSource, may_repeat: bool) -> Option<EventForm> {
        self.lock().evidence(source).form(may_repeat)
    }

    /// Records a stream that began and ended whole at one source.
    pub fn record_whole(&self, source: &StreamSource, shape: &StreamShape) {
        self.lock().evidence(source).record_whole(shape);
    }

    /// Records a stream that was cut because an event of it deviated.
    pub fn record_cut(&self, source: &StreamSource) {
        self.lock().evidence(source).record_cut();
    }

    /// Records a stream that was cut because it may lack its end.
    pub fn record_cut_end(&self, source: &StreamSource) {
        self.lock().evidence(source).record_cut_end();
    }

    fn lock(&self) -> MutexGuard<'_, StreamForms> {
        self.forms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamForms {
    fn evidence(&mut self, source: &StreamSource) -> &mut FormEvidence {
        self.uses += 1;
        if !self.sources.contains_key(source) {
            self.make_room();
        }
        let kept = self.sources.entry(source.clone()).or_default();
        kept.used = self.uses;
        &mut kept.evidence
    }

    /// Removes the evidence that was used longest ago if there is no room for another source.
    fn make_room(&mut self) {
        if self.sources.len() < MAX_SOURCES {
            return;
        }
        let oldest = self.sources.iter().min_by_key(|(_, kept)| kept.used);
        if let Some(oldest) = oldest.map(|(source, _)| source.clone()) {
            self.sources.remove(&oldest);
        }
    }
}
