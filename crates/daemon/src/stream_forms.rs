//! The forms that the streams of rules have, shared by all threads of the daemon.
//!
//! Owns: the [`FormEvidence`] of each rule, pool and version that has served streams, and which pools have damaged events.
//! Relies on: the tasks of requests, which report how streams ended.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use curlewcleat_core::{PoolId, TargetEntry, TargetId, VersionDigest};
use curlewcleat_targets::{
    DamageEvidence, FormEvidence, FormExpectation, ServingTargets, StreamShape, UsualFormChecks,
};

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
    targets: ServingTargets,
    usual_checks: UsualFormChecks,
    used: u64,
}

/// The evidence of all sources.
#[derive(Debug, Default)]
struct StreamForms {
    sources: BTreeMap<StreamSource, SourceEvidence>,
    /// Pools whose targets have damaged events lately.
    damaged: BTreeMap<PoolId, DamageEvidence>,
    /// Number of uses, which orders them.
    uses: u64,
}

/// The daemon's forms of streams, shared by its threads.
#[derive(Clone, Debug, Default)]
pub struct SharedForms {
    forms: Arc<Mutex<StreamForms>>,
}

impl SharedForms {
    /// Returns what the events of a source are compared with. Streams that may not be repeated need more streams to show a
    /// form, and are not compared while it is not known: no other target can show which is right.
    pub fn expectation(
        &self,
        source: &StreamSource,
        may_repeat: bool,
        has_further_attempt: bool,
    ) -> FormExpectation {
        let mut forms = self.lock();
        let damage =
            forms.damaged.get(&source.pool).map_or(DamageEvidence::default(), |shown| *shown);
        let kept = forms.source(source);
        FormExpectation {
            form: kept.evidence.form(may_repeat),
            agreement: kept.targets.agreement_rule(damage, has_further_attempt),
            checks_usual: may_repeat && kept.usual_checks.are_allowed(),
        }
    }

    /// Records an event that deviated while the form of its source was not known.
    pub fn record_usual_deviation(&self, source: &StreamSource) {
        self.lock().source(source).usual_checks.record_deviation();
    }

    /// Returns whether a third target serves a source beside two that have answered.
    pub fn has_third_target(&self, source: &StreamSource) -> bool {
        self.lock().source(source).targets.is_choice()
    }

    /// Records a stream that began at one source and that `target` ended whole.
    pub fn record_whole(&self, source: &StreamSource, target: &TargetId, shape: &StreamShape) {
        let mut forms = self.lock();
        forms.record_whole_of_pool(&source.pool);
        let kept = forms.source(source);
        kept.targets.record(target);
        kept.usual_checks.record_whole(shape.form().is_some());
        kept.evidence.record_whole(shape);
    }

    /// Records an event that a target of a source has damaged, as another one has shown.
    pub fn record_damage(&self, source: &StreamSource) {
        let pool = &source.pool;
        let mut forms = self.lock();
        forms.source(source).usual_checks.record_damage();
        let is_full = forms.damaged.len() >= MAX_SOURCES;
        if is_full && !forms.damaged.contains_key(pool) {
            forms.damaged.pop_first();
        }
        forms.damaged.entry(pool.clone()).or_default().record_damage();
    }

    /// Records a stream that was cut because an event of it deviated.
    pub fn record_cut(&self, source: &StreamSource) {
        let mut forms = self.lock();
        let is_beside_damage = forms.damaged.contains_key(&source.pool);
        forms.source(source).evidence.record_cut(is_beside_damage);
    }

    /// Records a stream that was cut because it may lack its end.
    pub fn record_cut_end(&self, source: &StreamSource) {
        self.lock().source(source).evidence.record_cut_end();
    }

    fn lock(&self) -> MutexGuard<'_, StreamForms> {
        self.forms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamForms {
    fn source(&mut self, source: &StreamSource) -> &mut SourceEvidence {
        self.uses += 1;
        if !self.sources.contains_key(source) {
            self.make_room();
        }
        let kept = self.sources.entry(source.clone()).or_default();
        kept.used = self.uses;
        kept
    }

    /// Counts a whole stream of a pool against the damage that its targets have shown.
    fn record_whole_of_pool(&mut self, pool: &PoolId) {
        let Some(damage) = self.damaged.get_mut(pool) else { return };
        damage.record_whole();
        if !damage.is_recent() {
            self.damaged.remove(pool);
        }
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
