//! Decides from the streams of all daemons which form the streams of each source have.
//!
//! Load pattern: the streams of a source are spread over a hundred daemons, so that each of them sees a hundredth, and
//! targets damage some answers. One daemon alone would learn the form in minutes, all of them together do in seconds.
//!
//! What the daemon that counts the most of something counts of it is left out, so that one daemon alone neither shows a form
//! nor takes one back.
//!
//! Inputs: what each daemon has counted since it started, in any order, repeated or with gaps. Owns: the counts of the
//! daemons, and what follows from them. Relies on: its caller for the time.

mod pool_damage;
mod source_evidence;

use std::collections::BTreeMap;

use curlewcleat_core::{
    DaemonId, PoolId, SourceForm, SourceTally, StreamFormsPush, StreamSource, StreamTally,
    StreamTrait, Uptime,
};

use self::pool_damage::PoolDamage;
use self::source_evidence::{FormConclusion, SourceEvidence};

/// Sources whose streams are counted; the one that was reported longest ago gives way.
const MAX_SOURCES: usize = 256;
/// Pools of which damage is remembered.
const MAX_POOLS: usize = 64;

/// What the daemons of a fleet know together of the form of streams.
#[derive(Clone, Debug, Default)]
pub struct FleetForms {
    sources: BTreeMap<StreamSource, SourceEvidence>,
    damage: BTreeMap<PoolId, PoolDamage>,
    /// Number of changes of what follows from the counts.
    changes: u64,
    /// Number of uses, which orders the sources.
    uses: u64,
}

impl FleetForms {
    /// Records what a daemon has counted since it started.
    pub fn record(&mut self, now: Uptime, from: &DaemonId, tallies: Vec<SourceTally>) {
        for SourceTally { source, tally } in tallies {
            self.record_tally(now, from, source, &tally);
        }
    }

    /// Forgets damage that was shown long ago.
    pub fn advance(&mut self, now: Uptime) {
        let ended = self.damage.values_mut().filter_map(|damage| damage.advance(now)).count();
        self.changes += ended as u64;
        self.damage.retain(|_, damage| damage.is_remembered(now));
    }

    /// Returns the number of the latest change; 1 while nothing is known.
    pub fn changes(&self) -> u64 {
        self.changes + 1
    }

    /// Takes over the forms that other daemons know, where too few streams were reported to this one.
    pub fn adopt(&mut self, known: &[SourceForm]) {
        for SourceForm { source, form, suffices_for_cuts } in known {
            let is_new = self.evidence(source).adopt(*form, *suffices_for_cuts);
            self.changes += u64::from(is_new);
        }
    }

    /// Returns all forms that are known, those that do not hold, and the pools whose targets damage events.
    pub fn known(&self) -> StreamFormsPush {
        let mut known = StreamFormsPush { at: self.changes(), ..StreamFormsPush::default() };
        for (source, evidence) in &self.sources {
            let source = source.clone();
            match evidence.conclusion() {
                FormConclusion::Unknown => {}
                FormConclusion::Known(form, suffices_for_cuts) => {
                    known.forms.push(SourceForm { source, form, suffices_for_cuts });
                }
                FormConclusion::Withdrawn => known.withdrawn.push(source),
            }
        }
        let damaged = self.damage.iter().filter(|(_, damage)| damage.is_shown());
        known.damaged = damaged.map(|(pool, _)| pool.clone()).collect();
        known
    }

    fn record_tally(
        &mut self,
        now: Uptime,
        from: &DaemonId,
        source: StreamSource,
        tally: &StreamTally,
    ) {
        let added = self.evidence(&source).record(from, tally);
        if added.count(StreamTrait::Damaged) > 0 {
            self.record_damage(now, from, &source.pool);
        }
        let damaged_one_in = self.damaged_one_in(&source.pool);
        // The entry was made above.
        let Some(evidence) = self.sources.get_mut(&source) else { return };
        if evidence.conclude(damaged_one_in) {
            self.changes += 1;
        }
    }

    /// Returns the number of streams of a pool of which its targets have damaged one, as the sources show of which another
    /// target can state what is right; `None` unless several daemons have shown damage.
    fn damaged_one_in(&self, pool: &PoolId) -> Option<u64> {
        if !self.damage.get(pool).is_some_and(PoolDamage::is_shown) {
            return None;
        }
        let tallies = self.sources.iter().filter(|(source, _)| source.pool == *pool);
        let tallies = tallies.map(|(_, evidence)| evidence.total());
        let tallies = tallies.filter(|tally| tally.count(StreamTrait::Damaged) > 0);
        let sum = tallies.fold(StreamTally::default(), |sum, tally| sum.plus(tally));
        Some(sum.whole() / sum.count(StreamTrait::Damaged).max(1))
    }

    fn record_damage(&mut self, now: Uptime, from: &DaemonId, pool: &PoolId) {
        if self.damage.len() >= MAX_POOLS && !self.damage.contains_key(pool) {
            return;
        }
        let damage = self.damage.entry(pool.clone()).or_default();
        if damage.record(now, &from.vm) {
            self.changes += 1;
        }
    }

    /// Returns the evidence of a source. If there is no room for another one, the one that was reported longest ago goes.
    fn evidence(&mut self, source: &StreamSource) -> &mut SourceEvidence {
        if self.sources.len() >= MAX_SOURCES && !self.sources.contains_key(source) {
            let oldest = self.sources.iter().min_by_key(|(_, evidence)| evidence.used);
            if let Some(oldest) = oldest.map(|(source, _)| source.clone()) {
                self.sources.remove(&oldest);
            }
        }
        self.uses += 1;
        let evidence = self.sources.entry(source.clone()).or_default();
        evidence.used = self.uses;
        evidence
    }
}
