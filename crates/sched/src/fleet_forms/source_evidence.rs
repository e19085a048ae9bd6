//! What the streams of one source look like, as all daemons count them together.
//!
//! Owns: the counts of each daemon since the latest conclusion. Relies on: daemons that count what they have served.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{DaemonId, EventForm, StreamCounter, StreamTally, Uptime, VmId};

use super::daemon_counts::{CountStart, DaemonCounts};

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
/// Streams after which those that follow are counted anew: a known form is judged by the streams of late.
const REVIEW_STREAMS: u64 = 1_024;
/// The same while no form is known, and too many streams have none.
const IRREGULAR_REVIEW_STREAMS: u64 = 256;
/// Whole streams of a daemon that outweigh one that it has cut: a form that no longer holds cuts nearly all.
const CUT_WEIGHT: u64 = 4;
/// Largest weight of the cut streams of one daemon.
const MAX_DAEMON_WEIGHT: u64 = 16 * CUT_WEIGHT;
/// Weight of the cut streams of all daemons above which the form no longer holds.
const MIN_CUT_WEIGHT: u64 = 8 * CUT_WEIGHT;
/// The same for each daemon: some cut a few streams beside each other by chance.
const CUT_WEIGHT_PER_DAEMON: u64 = 2;
/// Time after its latest report after which a daemon no longer counts for that.
const REPORTED_TIME: Duration = Duration::from_secs(60);
/// Most streams that count of one report: a daemon that was not heard for long, or states nonsense.
const MAX_STREAMS_OF_REPORT: u64 = 1_024;
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

/// What is new in a report.
#[derive(Clone, Copy, Debug, Default)]
pub struct AddedStreams {
    /// The streams.
    pub tally: StreamTally,
    /// Whether the daemon has reported before, so that these streams are of late.
    pub are_recent: bool,
}

/// The streams of one source.
#[derive(Clone, Debug, Default)]
pub struct SourceEvidence {
    daemons: BTreeMap<VmId, DaemonCounts>,
    /// The sum over all daemons since the latest review.
    total: StreamTally,
    /// The largest count of each kind by one daemon.
    largest: StreamTally,
    /// Sum of the weights of cut streams.
    cut_weight: u64,
    /// Times that a form turned out to be wrong.
    contradictions: u32,
    conclusion: FormConclusion,
    /// Whether targets have damaged events of the source.
    pub has_shown_damage: bool,
    /// Number of the latest use.
    pub used: u64,
}

impl SourceEvidence {
    /// Records what a daemon has counted since it started, in an epoch that begins anew with each withdrawn form. Returns what
    /// is new in it.
    pub fn record(
        &mut self,
        now: Uptime,
        from: &DaemonId,
        epoch: u32,
        stated: &StreamTally,
    ) -> AddedStreams {
        let start = CountStart { incarnation: from.incarnation, epoch };
        let Some(mut counts) = self.counts_before(from, start) else {
            return AddedStreams::default();
        };
        // An earlier report that arrives late tells nothing new.
        let Some(added) = stated.since(&counts.stated) else { return AddedStreams::default() };
        let are_recent = counts.stated != StreamTally::default();
        let added = added.limited(MAX_STREAMS_OF_REPORT);
        let is_known = matches!(self.conclusion, FormConclusion::Known(..));
        // A first report tells of cuts by a form that is not known here.
        let cuts = added.count(StreamCounter::Cut) * u64::from(are_recent && is_known);
        let weight = counts.cut_weight.saturating_add(cuts.saturating_mul(CUT_WEIGHT));
        let weight = weight.saturating_sub(added.whole()).min(MAX_DAEMON_WEIGHT);
        self.cut_weight = self.cut_weight.saturating_sub(counts.cut_weight) + weight;
        counts.part = counts.part.plus(&added);
        (counts.cut_weight, counts.stated, counts.reported) = (weight, *stated, now);
        self.total = self.total.plus(&added);
        self.largest = self.largest.largest(&counts.part);
        self.daemons.insert(from.vm.clone(), counts);
        AddedStreams { tally: added, are_recent }
    }

    /// Returns what follows from the streams.
    pub fn conclusion(&self) -> FormConclusion {
        self.conclusion
    }

    /// Returns whether no daemon but this one has reported streams.
    pub fn is_reported_only_by(&self, vm: &VmId) -> bool {
        self.daemons.keys().all(|reporting| reporting == vm)
    }

    /// Returns whether at most one daemon has reported streams.
    pub fn is_reported_by_one(&self) -> bool {
        self.daemons.len() <= 1
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
            self.count_anew();
        }
        is_less_known
    }

    /// Forgets a form that another daemon has withdrawn; returns whether one was known.
    pub fn forget(&mut self) -> bool {
        let is_known = matches!(self.conclusion, FormConclusion::Known(..));
        if is_known {
            self.conclusion = FormConclusion::Unknown;
            self.count_anew();
        }
        is_known
    }

    /// Concludes anew; returns whether anything has changed. `damaged_one_in` is the number of streams of which targets have
    /// damaged one, `None` while no damage is shown.
    pub fn conclude(&mut self, now: Uptime, damaged_one_in: Option<u64>) -> bool {
        let before = self.conclusion;
        // Most of what is as rare as damage is damage.
        let rare_one_in = damaged_one_in.map_or(RARE_ONE_IN, |damaged_one_in| damaged_one_in / 2);
        let rare_one_in = rare_one_in.clamp(MIN_RARE_ONE_IN, RARE_ONE_IN);
        // What one daemon alone states does not count.
        let shared = self.total.minus(&self.largest);
        match self.conclusion {
            FormConclusion::Known(..) if self.is_outweighed(now) => self.withdraw(),
            FormConclusion::Known(form, true) => {
                self.review_known(form, &shared, rare_one_in, damaged_one_in.is_some());
            }
            _ => self.review_unknown(&shared, rare_one_in),
        }
        self.conclusion != before
    }

    /// Judges a form that is known for cuts. It only widens until it is withdrawn: few streams show a rare form.
    fn review_known(
        &mut self,
        form: EventForm,
        shared: &StreamTally,
        rare_one_in: u64,
        is_beside_damage: bool,
    ) {
        let is_review_due = shared.whole() >= REVIEW_STREAMS;
        if is_review_due && is_irregular(shared, rare_one_in) {
            return self.withdraw();
        }
        if shared.count(StreamCounter::Regular) > 0 && (is_review_due || !is_beside_damage) {
            let widened = form.widened(shared.form(rare_one_in));
            self.conclusion = FormConclusion::Known(widened, true);
        }
        if is_review_due {
            self.count_anew();
        }
    }

    /// Judges the streams of a source whose form is not known for cuts.
    fn review_unknown(&mut self, shared: &StreamTally, rare_one_in: u64) {
        let factor = CONTRADICTION_FACTOR.saturating_pow(self.contradictions).min(MAX_FACTOR);
        let events = shared.count(StreamCounter::Events);
        if is_irregular(shared, rare_one_in) {
            if let FormConclusion::Known(..) = self.conclusion {
                self.conclusion = FormConclusion::Withdrawn;
            }
            if shared.whole() >= IRREGULAR_REVIEW_STREAMS {
                self.count_anew();
            }
            return;
        }
        let regular = shared.count(StreamCounter::Regular);
        if regular < MIN_STREAMS || events < MIN_EVENTS * factor {
            return;
        }
        let shown = shared.form(rare_one_in);
        let must_end_unnumbered = shown.must_end_unnumbered && regular >= MIN_STREAMS_FOR_END;
        let suffices_for_cuts = events >= MIN_EVENTS_FOR_CUTS * factor;
        let form = EventForm { must_end_unnumbered, ..shown };
        self.conclusion = FormConclusion::Known(form, suffices_for_cuts);
        if suffices_for_cuts {
            self.count_anew();
        }
    }

    /// Returns the counts that a report adds to, `None` if the report does not count.
    fn counts_before(&self, from: &DaemonId, start: CountStart) -> Option<DaemonCounts> {
        match self.daemons.get(&from.vm) {
            Some(known) => known.started(start),
            None => (self.daemons.len() < MAX_DAEMONS).then(|| DaemonCounts::new(start, None)),
        }
    }

    /// Returns whether the streams that were cut outweigh the whole ones, those of the daemon with the most left out.
    fn is_outweighed(&self, now: Uptime) -> bool {
        if self.cut_weight <= MIN_CUT_WEIGHT {
            return false;
        }
        let recent = |counts: &&DaemonCounts| now < counts.reported + REPORTED_TIME;
        let recent = self.daemons.values().filter(recent);
        let (count, largest) = recent
            .fold((0, 0), |(count, largest), counts| (count + 1, counts.cut_weight.max(largest)));
        self.cut_weight - largest > MIN_CUT_WEIGHT.max(CUT_WEIGHT_PER_DAEMON * count)
    }

    /// Begins anew after sound streams of another form.
    fn withdraw(&mut self) {
        self.conclusion = FormConclusion::Withdrawn;
        self.contradictions = self.contradictions.saturating_add(1);
        self.cut_weight = 0;
        self.daemons.values_mut().for_each(|counts| counts.cut_weight = 0);
        self.count_anew();
    }

    /// Counts the streams that follow from zero.
    fn count_anew(&mut self) {
        (self.total, self.largest) = (StreamTally::default(), StreamTally::default());
        self.daemons.values_mut().for_each(|counts| counts.part = StreamTally::default());
    }
}

/// Returns whether more streams have no form than may be left out.
fn is_irregular(shared: &StreamTally, rare_one_in: u64) -> bool {
    let irregular = shared.count(StreamCounter::Irregular);
    irregular.saturating_mul(rare_one_in) > shared.count(StreamCounter::Regular)
}
