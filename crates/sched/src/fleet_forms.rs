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

mod daemon_counts;
mod pool_damage;
mod source_evidence;

use std::collections::BTreeMap;

use curlewcleat_core::{
    DaemonId, PoolId, SourceForm, SourceTally, StreamCounter, StreamFormsPush, StreamSource,
    StreamTally, Uptime, VmId,
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
        for SourceTally { source, epoch, tally } in tallies {
            let evidence = self.evidence(&source, &from.vm);
            let added = evidence.record(now, from, epoch, &tally);
            let has_damage = added.are_recent && added.tally.count(StreamCounter::Damaged) > 0;
            evidence.has_shown_damage |= has_damage;
            if evidence.has_shown_damage {
                self.record_damage(now, from, &source.pool, &added.tally, has_damage);
            }
            let damaged_one_in = self.damage.get(&source.pool).and_then(PoolDamage::damaged_one_in);
            // The entry was made above.
            let Some(evidence) = self.sources.get_mut(&source) else { continue };
            self.changes += u64::from(evidence.conclude(now, damaged_one_in));
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

    /// Takes over the forms that other daemons know, where too few streams were reported to this one. They give way to those
    /// of sources that daemons report.
    pub fn adopt(&mut self, known: &[SourceForm]) {
        for SourceForm { source, form, suffices_for_cuts } in known {
            if self.sources.len() >= MAX_SOURCES && !self.sources.contains_key(source) {
                continue;
            }
            let evidence = self.sources.entry(source.clone()).or_default();
            self.changes += u64::from(evidence.adopt(*form, *suffices_for_cuts));
        }
    }

    /// Forgets the form of a source that another daemon has withdrawn.
    pub fn forget(&mut self, source: &StreamSource) {
        let is_known = self.sources.get_mut(source).is_some_and(SourceEvidence::forget);
        self.changes += u64::from(is_known);
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

    fn record_damage(
        &mut self,
        now: Uptime,
        from: &DaemonId,
        pool: &PoolId,
        added: &StreamTally,
        has_damage: bool,
    ) {
        if self.damage.len() >= MAX_POOLS && !self.damage.contains_key(pool) {
            return;
        }
        let damage = self.damage.entry(pool.clone()).or_default();
        damage.count(added);
        if has_damage && damage.record(now, &from.vm) {
            self.changes += 1;
        }
    }

    /// Returns the evidence of a source that a daemon reports.
    fn evidence(&mut self, source: &StreamSource, vm: &VmId) -> &mut SourceEvidence {
        if self.sources.len() >= MAX_SOURCES && !self.sources.contains_key(source) {
            self.remove_oldest(vm);
        }
        self.uses += 1;
        let evidence = self.sources.entry(source.clone()).or_default();
        evidence.used = self.uses;
        evidence
    }

    /// Makes room for another source: those that only the same daemon reports go first, then others of one daemon, so that
    /// sources that one daemon makes up don't push out those of all.
    fn remove_oldest(&mut self, vm: &VmId) {
        let rank = |evidence: &SourceEvidence| match evidence {
            own if own.is_reported_only_by(vm) => 0,
            other if other.is_reported_by_one() => 1,
            _ => 2,
        };
        let oldest =
            self.sources.iter().min_by_key(|(_, evidence)| (rank(evidence), evidence.used));
        if let Some(oldest) = oldest.map(|(source, _)| source.clone()) {
            self.sources.remove(&oldest);
        }
    }
}
