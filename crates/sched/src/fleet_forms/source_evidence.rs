//! What the streams of one source look like, as all daemons count them together.
//!
//! Owns: the counts of each daemon. Relies on: daemons that count what they have served.

use std::collections::{BTreeMap, BTreeSet};

use curlewcleat_core::{DaemonId, EventForm, Incarnation, StreamTally, StreamTrait, VmId};

/// Fewest streams that show a form.
const MIN_STREAMS: u64 = 8;
/// Fewest events that show a form.
const MIN_EVENTS: u64 = 64;
/// Events that show a form by which streams are cut that may not be repeated.
const MIN_EVENTS_FOR_CUTS: u64 = 16 * MIN_EVENTS;
/// Streams that show how all of them end.
const MIN_STREAMS_FOR_END: u64 = 128;
/// Factor by which more events are needed each time that a form turned out to be wrong.
const CONTRADICTION_FACTOR: u64 = 4;
/// Largest such factor.
const MAX_FACTOR: u64 = 256;
/// Streams of which one may have another form without it being allowed for, while no damage is shown.
const RARE_ONE_IN: u64 = 1_024;
/// The same where targets damage most answers that still show a form.
const MIN_RARE_ONE_IN: u64 = 8;
/// Whole streams that outweigh one that was cut: a form that no longer holds cuts nearly all.
const CUT_WEIGHT: u64 = 16;
/// The same while targets damage events.
const CUT_WEIGHT_BESIDE_DAMAGE: u64 = 4;
/// Weight of cut streams above which the form no longer holds: more than eight beside each other.
const MAX_CUT_WEIGHT: u64 = 8 * CUT_WEIGHT;
/// Daemons that have to have cut streams before the form is taken back, where there are as many.
const CUTTING_DAEMONS: usize = 3;
/// Most streams that count of one report: a daemon that was not heard for long, or states nonsense.
const MAX_STREAMS_OF_REPORT: u64 = 1_024;
/// Streams of a daemon above which its counts are halved, so that those of late count most.
const MAX_STREAMS_OF_DAEMON: u64 = 4 * MAX_STREAMS_OF_REPORT;
/// Daemons whose streams are counted.
const MAX_DAEMONS: usize = 4_096;

/// What follows from the streams of a source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FormConclusion {
    /// Too few streams were counted.
    #[default]
    Unknown,
    /// The form, and whether enough events show it for cuts.
    Known(EventForm, bool),
    /// The streams have no form, or another one than was known.
    Withdrawn,
}

/// What one daemon has counted.
#[derive(Clone, Debug)]
struct DaemonCounts {
    incarnation: Incarnation,
    /// Since it started.
    stated: StreamTally,
    /// What of it counts here.
    part: StreamTally,
}

/// The streams of one source.
#[derive(Clone, Debug, Default)]
pub struct SourceEvidence {
    daemons: BTreeMap<VmId, DaemonCounts>,
    /// The sum over all daemons.
    total: StreamTally,
    /// The largest count of each kind by one daemon.
    largest: StreamTally,
    cut_weight: u64,
    /// Daemons that have cut streams while the cut ones outweighed the whole ones, [`CUTTING_DAEMONS`] at most.
    cut_by: BTreeSet<VmId>,
    /// Times that a form turned out to be wrong.
    contradictions: u32,
    /// Whether targets damage events.
    is_beside_damage: bool,
    conclusion: FormConclusion,
    /// Number of the latest use.
    pub used: u64,
}

impl SourceEvidence {
    /// Records what a daemon has counted since it started, and returns what is new in it.
    pub fn record(&mut self, from: &DaemonId, stated: &StreamTally) -> StreamTally {
        let known = self.daemons.get(&from.vm);
        if known.is_none() && self.daemons.len() >= MAX_DAEMONS {
            return StreamTally::default();
        }
        let earlier = known.filter(|counts| counts.incarnation == from.incarnation);
        let is_first = earlier.is_none();
        let earlier = earlier.map_or(StreamTally::default(), |counts| counts.stated);
        // An earlier report that arrives late tells nothing new.
        let Some(added) = stated.since(&earlier) else { return StreamTally::default() };
        let added = added.limited(MAX_STREAMS_OF_REPORT);
        let part = known.map_or(StreamTally::default(), |counts| counts.part).plus(&added);
        self.total = self.total.plus(&added);
        self.largest = self.largest.largest(&part);
        let counts = DaemonCounts { incarnation: from.incarnation, stated: *stated, part };
        self.daemons.insert(from.vm.clone(), counts);
        // A first report tells of cuts by a form that is not known here.
        let has_cut = !is_first && added.count(StreamTrait::Cut) > 0;
        self.weigh_cuts(&from.vm, added.whole(), has_cut);
        if part.whole() > MAX_STREAMS_OF_DAEMON {
            self.halve_part(&from.vm);
        }
        added
    }

    /// Returns the sum of what the daemons have counted.
    pub fn total(&self) -> &StreamTally {
        &self.total
    }

    /// Returns what follows from the streams.
    pub fn conclusion(&self) -> FormConclusion {
        self.conclusion
    }

    /// Takes over what other daemons have concluded from more streams; returns whether less was known here.
    pub fn adopt(&mut self, form: EventForm, suffices_for_cuts: bool) -> bool {
        let is_less_known = match self.conclusion {
            FormConclusion::Unknown => true,
            FormConclusion::Known(_, suffices_here) => suffices_for_cuts && !suffices_here,
            FormConclusion::Withdrawn => false,
        };
        if is_less_known {
            self.conclusion = FormConclusion::Known(form, suffices_for_cuts);
        }
        is_less_known
    }

    /// Concludes anew; returns whether anything has changed. `damaged_one_in` is the number of streams of which targets have
    /// damaged one, `None` while no damage is shown.
    pub fn conclude(&mut self, damaged_one_in: Option<u64>) -> bool {
        let former = self.conclusion;
        self.is_beside_damage = damaged_one_in.is_some();
        let is_outweighed = self.cut_weight > MAX_CUT_WEIGHT;
        if is_outweighed && self.cut_by.len() >= self.daemons.len().min(CUTTING_DAEMONS) {
            self.take_back();
        }
        // Most of what is as rare as damage is damage.
        let rare_one_in = damaged_one_in.map_or(RARE_ONE_IN, |damaged_one_in| damaged_one_in / 2);
        self.conclusion = self.shown(rare_one_in.clamp(MIN_RARE_ONE_IN, RARE_ONE_IN));
        self.conclusion != former
    }

    /// Returns what the streams show. What was known before stays while they are too few.
    fn shown(&self, rare_one_in: u64) -> FormConclusion {
        // What one daemon alone states does not count.
        let shared = self.total.minus(&self.largest);
        let (regular, events) =
            (shared.count(StreamTrait::Regular), shared.count(StreamTrait::Events));
        let irregular = shared.count(StreamTrait::Irregular);
        let factor = CONTRADICTION_FACTOR.saturating_pow(self.contradictions).min(MAX_FACTOR);
        if regular.saturating_add(irregular) < MIN_STREAMS || events < MIN_EVENTS * factor {
            return self.conclusion;
        }
        if irregular.saturating_mul(rare_one_in) > regular {
            return FormConclusion::Withdrawn;
        }
        let shown = shared.form(rare_one_in);
        let must_end_unnumbered = shown.must_end_unnumbered && regular >= MIN_STREAMS_FOR_END;
        let form = EventForm { must_end_unnumbered, ..shown };
        if events >= MIN_EVENTS_FOR_CUTS * factor {
            return FormConclusion::Known(form, true);
        }
        match self.conclusion {
            // More streams than were counted here have shown it.
            FormConclusion::Known(_, true) => self.conclusion,
            _ => FormConclusion::Known(form, false),
        }
    }

    /// Weighs the streams of a report that were cut, of which one counts, against the whole ones.
    fn weigh_cuts(&mut self, vm: &VmId, whole: u64, has_cut: bool) {
        self.cut_weight = self.cut_weight.saturating_sub(whole);
        if self.cut_weight == 0 {
            self.cut_by.clear();
        }
        if !has_cut || !matches!(self.conclusion, FormConclusion::Known(..)) {
            return;
        }
        let is_beside_damage = self.is_beside_damage;
        self.cut_weight += if is_beside_damage { CUT_WEIGHT_BESIDE_DAMAGE } else { CUT_WEIGHT };
        if self.cut_by.len() < CUTTING_DAEMONS {
            self.cut_by.insert(vm.clone());
        }
    }

    /// Begins anew after sound streams of another form.
    fn take_back(&mut self) {
        self.conclusion = FormConclusion::Withdrawn;
        self.contradictions = self.contradictions.saturating_add(1);
        self.cut_weight = 0;
        self.cut_by.clear();
        (self.total, self.largest) = (StreamTally::default(), StreamTally::default());
        self.daemons.values_mut().for_each(|counts| counts.part = StreamTally::default());
    }

    /// Halves what a daemon has counted.
    fn halve_part(&mut self, vm: &VmId) {
        let Some(counts) = self.daemons.get_mut(vm) else { return };
        let halved = counts.part.limited(counts.part.whole().div_ceil(2));
        self.total = self.total.minus(&counts.part).plus(&halved);
        counts.part = halved;
        let parts = self.daemons.values().map(|counts| &counts.part);
        self.largest = parts.fold(StreamTally::default(), |largest, part| largest.largest(part));
    }
}
