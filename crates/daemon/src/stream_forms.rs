//! The forms that the streams of rules have, shared by all threads of the daemon.
//!
//! Owns: the [`FormEvidence`] of each rule, pool and version that has served streams, and which pools have damaged events.
//! Relies on: the tasks of requests, which report how streams ended; the node, which exchanges what it counts with peers.

mod fleet_table;
mod fleet_trust;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use curlewcleat_core::{
    EventForm, PoolId, SourceForm, StreamCounter, StreamSource, StreamTally, TargetId,
};
use curlewcleat_targets::{
    AgreementRule, DamageEvidence, FormBasis, FormEvidence, FormExpectation, ServingTargets,
    StreamShape, UsualFormChecks,
};

use self::fleet_table::FleetFormTable;
pub use self::fleet_table::FormChanges;
use self::fleet_trust::FleetTrust;

/// Sources whose evidence is kept; the one that was used longest ago gives way. Each has about 700 bytes.
const MAX_SOURCES: usize = 1_024;

/// Streams of this daemon that show which forms are common beside damage.
const MIN_STREAMS_BESIDE_DAMAGE: u64 = 64;
/// Streams of which more than one has a form that is common.
const RARE_ONE_IN_BESIDE_DAMAGE: u64 = 16;

/// Evidence of one source, and when it was last used.
#[derive(Debug, Default)]
struct SourceEvidence {
    evidence: FormEvidence,
    targets: ServingTargets,
    usual_checks: UsualFormChecks,
    /// All streams of the source since the start of the daemon, which peers add up.
    tally: StreamTally,
    has_unread_tally: bool,
    trust: FleetTrust,
    used: u64,
}

/// The evidence of all sources.
#[derive(Debug, Default)]
struct StreamForms {
    sources: BTreeMap<StreamSource, SourceEvidence>,
    /// Pools whose targets have damaged events lately, as this daemon has seen.
    damaged: BTreeMap<PoolId, DamageEvidence>,
    /// What the daemons know together.
    fleet: FleetFormTable,
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
        let is_beside_damage = forms.is_beside_damage(&source.pool);
        let is_damaged_elsewhere = forms.fleet.is_damaged(&source.pool);
        let damage =
            forms.damaged.get(&source.pool).map_or(DamageEvidence::default(), |shown| *shown);
        let fleet_form = forms.fleet.form(source, may_repeat).map(|known| known.form);
        let kept = forms.source(source);
        let (form, basis) = kept.form(fleet_form, may_repeat, is_beside_damage);
        FormExpectation {
            form,
            basis,
            agreement: match is_damaged_elsewhere {
                true => AgreementRule::Never,
                false => kept.targets.agreement_rule(damage, has_further_attempt),
            },
            checks_usual: may_repeat && kept.usual_checks.are_allowed(),
        }
    }

    /// Returns what the streams of the sources look like that have changed since the last time.
    pub fn take_tallies(&self) -> Vec<(StreamSource, StreamTally)> {
        let mut forms = self.lock();
        let unread = forms.sources.iter_mut().filter(|(_, kept)| kept.has_unread_tally);
        let tallies = unread.map(|(source, kept)| {
            kept.has_unread_tally = false;
            (source.clone(), kept.tally)
        });
        tallies.collect()
    }

    /// Sets what the daemons know together, and returns what has changed.
    pub fn set_fleet_forms(&self, forms: Vec<SourceForm>, damaged: Vec<PoolId>) -> FormChanges {
        self.lock().fleet.replace(forms, damaged)
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
        kept.trust.record_whole();
        kept.count(|tally| match shape.form() {
            Some(form) => tally.add_regular(form, shape.events()),
            None => tally.add_one(StreamCounter::Irregular),
        });
    }

    /// Records an event that a target of a source has damaged, as another one has shown.
    pub fn record_damage(&self, source: &StreamSource) {
        let pool = &source.pool;
        let mut forms = self.lock();
        let kept = forms.source(source);
        kept.usual_checks.record_damage();
        kept.count(|tally| tally.add_one(StreamCounter::Damaged));
        let is_full = forms.damaged.len() >= MAX_SOURCES;
        if is_full && !forms.damaged.contains_key(pool) {
            forms.damaged.pop_first();
        }
        forms.damaged.entry(pool.clone()).or_default().record_damage();
    }

    /// Records a stream that was cut because an event of it deviated.
    pub fn record_cut(&self, source: &StreamSource) {
        let mut forms = self.lock();
        let is_beside_damage = forms.is_beside_damage(&source.pool);
        let fleet_form = forms.fleet.form(source, true).map(|known| known.form);
        let kept = forms.source(source);
        kept.count(|tally| tally.add_one(StreamCounter::Cut));
        kept.evidence.record_cut(is_beside_damage);
        kept.trust.record_cut(fleet_form);
    }

    /// Records a stream that was cut because it may lack its end.
    pub fn record_cut_end(&self, source: &StreamSource) {
        let mut forms = self.lock();
        let fleet_form = forms.fleet.form(source, true).map(|known| known.form);
        let kept = forms.source(source);
        kept.count(|tally| tally.add_one(StreamCounter::Cut));
        kept.evidence.record_cut_end();
        kept.trust.record_cut(fleet_form.filter(|form| form.must_end_unnumbered));
    }

    fn lock(&self) -> MutexGuard<'_, StreamForms> {
        self.forms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SourceEvidence {
    /// Returns the form of the source's streams, and who has learned it.
    fn form(
        &self,
        fleet_form: Option<EventForm>,
        may_repeat: bool,
        is_beside_damage: bool,
    ) -> (Option<EventForm>, FormBasis) {
        let learned = self.evidence.form(may_repeat).map(|form| (form, FormBasis::Learned));
        let seen = if is_beside_damage { self.common_form() } else { self.evidence.seen_form() };
        let fleet_form = fleet_form.filter(|form| self.trust.allows(form));
        let shared = fleet_form.map(|form| seen.map_or(form, |seen| form.widened(seen)));
        let shared = shared.map(|form| (form, FormBasis::Fleet));
        // Where another target can show what is right, the narrower form costs an attempt and no stream.
        let prefers_own = may_repeat && !is_beside_damage;
        let known = if prefers_own { learned.or(shared) } else { shared.or(learned) };
        known.map_or((None, FormBasis::Nothing), |(form, basis)| (Some(form), basis))
    }

    /// Returns the form of the streams that this daemon has served, without what few of them have: that may be damage.
    fn common_form(&self) -> Option<EventForm> {
        let is_shown = self.tally.count(StreamCounter::Regular) >= MIN_STREAMS_BESIDE_DAMAGE;
        is_shown.then(|| self.tally.form(RARE_ONE_IN_BESIDE_DAMAGE))
    }

    fn count(&mut self, add: impl FnOnce(&mut StreamTally)) {
        add(&mut self.tally);
        self.has_unread_tally = true;
    }
}

impl StreamForms {
    /// Returns whether targets of a pool damage events, as this daemon or several others have seen.
    fn is_beside_damage(&self, pool: &PoolId) -> bool {
        self.damaged.contains_key(pool) || self.fleet.is_damaged(pool)
    }

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
