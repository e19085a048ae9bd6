//! The form of the events of streams, and what daemons have seen of it.
//!
//! Owns: the types, and how evidence is added up. Relies on: streams that began at a daemon and ended whole.

use serde::{Deserialize, Serialize};

use crate::{PoolId, TargetEntry, VersionDigest};

/// What the events of all recent streams of a source have in common, beside numbers that count from one by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EventForm {
    /// Fewest `data` fields of an event, at least one.
    pub min_data_lines: u32,
    /// Most `data` fields of an event.
    pub max_data_lines: u32,
    /// Whether streams may end with an event that has data and no number.
    pub may_end_unnumbered: bool,
    /// Whether all streams end with such an event, so that one without it has not ended.
    pub must_end_unnumbered: bool,
    /// Whether all events with a number have a type.
    pub must_have_type: bool,
    /// Whether events may have lines that callers ignore.
    pub may_have_ignored_lines: bool,
}

impl EventForm {
    /// Returns the narrowest form that streams of both forms have.
    pub fn widened(self, other: EventForm) -> EventForm {
        EventForm {
            min_data_lines: self.min_data_lines.min(other.min_data_lines),
            max_data_lines: self.max_data_lines.max(other.max_data_lines),
            may_end_unnumbered: self.may_end_unnumbered || other.may_end_unnumbered,
            must_end_unnumbered: self.must_end_unnumbered && other.must_end_unnumbered,
            must_have_type: self.must_have_type && other.must_have_type,
            may_have_ignored_lines: self.may_have_ignored_lines || other.may_have_ignored_lines,
        }
    }
}

/// What writes streams of one form. Another version may write another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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

/// Ranges of the number of `data` lines by which streams are counted, by their first number.
const LINE_RANGES: [u32; 6] = [1, 2, 3, 4, 5, 17];
/// Most events of a stream that count.
const MAX_EVENTS_OF_STREAM: u64 = 1 << 16;
/// Number of counters of a [`StreamTally`].
const COUNTERS: usize = StreamCounter::MostLines as usize + LINE_RANGES.len();

/// What streams are counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamCounter {
    /// Streams whose events count on from one.
    Regular,
    /// Their events with a number.
    Events,
    /// Whole streams whose events do not count on from one.
    Irregular,
    /// Regular streams that end with an event without a number.
    EndsUnnumbered,
    /// Regular streams with an event that has a number and no type.
    Untyped,
    /// Regular streams with lines that callers ignore.
    IgnoredLines,
    /// Streams that were cut because an event of theirs deviated, or their end.
    Cut,
    /// Events that a target has damaged, as another one has shown.
    Damaged,
    /// Regular streams by the fewest `data` lines of their events, a counter for each range.
    FewestLines,
    /// The same by the most.
    MostLines = StreamCounter::FewestLines as isize + LINE_RANGES.len() as isize,
}

/// Counts of streams by what they look like.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamTally {
    counts: [u64; COUNTERS],
}

impl StreamTally {
    /// Returns a counter.
    pub fn count(&self, counted: StreamCounter) -> u64 {
        self.counts[counted as usize]
    }

    /// Counts whole streams, cut ones or damaged events.
    pub fn add_one(&mut self, counted: StreamCounter) {
        self.add(counted as usize, 1);
    }

    /// Counts a whole stream of this form with this many events.
    pub fn add_regular(&mut self, form: EventForm, events: u64) {
        self.add_one(StreamCounter::Regular);
        self.add(StreamCounter::Events as usize, events);
        let traits = [
            (form.may_end_unnumbered, StreamCounter::EndsUnnumbered),
            (!form.must_have_type, StreamCounter::Untyped),
            (form.may_have_ignored_lines, StreamCounter::IgnoredLines),
        ];
        for (_, counted) in traits.into_iter().filter(|(has_it, _)| *has_it) {
            self.add_one(counted);
        }
        self.add(StreamCounter::FewestLines as usize + line_range(form.min_data_lines), 1);
        self.add(StreamCounter::MostLines as usize + line_range(form.max_data_lines), 1);
    }

    /// Returns the number of whole streams.
    pub fn whole(&self) -> u64 {
        self.count(StreamCounter::Regular).saturating_add(self.count(StreamCounter::Irregular))
    }

    /// Returns the form of the regular streams, without what at most one in `rare_one_in` of them has.
    pub fn form(&self, rare_one_in: u64) -> EventForm {
        let regular = self.count(StreamCounter::Regular);
        let is_common = |count: u64| count.saturating_mul(rare_one_in) > regular;
        let has_common =
            |first: StreamCounter, range: &usize| is_common(self.counts[first as usize + range]);
        let mut ranges = 0..LINE_RANGES.len();
        let fewest = ranges.find(|range| has_common(StreamCounter::FewestLines, range));
        let mut ranges = 0..LINE_RANGES.len();
        let most = ranges.rfind(|range| has_common(StreamCounter::MostLines, range));
        let numbered_ends = regular.saturating_sub(self.count(StreamCounter::EndsUnnumbered));
        EventForm {
            min_data_lines: fewest.map_or(1, |range| LINE_RANGES[range]),
            max_data_lines: most.map_or(u32::MAX, last_of_range),
            may_end_unnumbered: is_common(self.count(StreamCounter::EndsUnnumbered)),
            must_end_unnumbered: regular > 0 && !is_common(numbered_ends),
            must_have_type: regular > 0 && !is_common(self.count(StreamCounter::Untyped)),
            may_have_ignored_lines: is_common(self.count(StreamCounter::IgnoredLines)),
        }
    }

    /// Returns what has been counted since an earlier tally, `None` if that one counts more of anything.
    pub fn since(&self, earlier: &StreamTally) -> Option<StreamTally> {
        let mut counts = [0; COUNTERS];
        for (index, count) in counts.iter_mut().enumerate() {
            *count = self.counts[index].checked_sub(earlier.counts[index])?;
        }
        Some(StreamTally { counts })
    }

    /// Adds up two tallies.
    pub fn plus(&self, other: &StreamTally) -> StreamTally {
        self.combined(other, u64::saturating_add)
    }

    /// Returns the tally without what the other one counts.
    pub fn minus(&self, other: &StreamTally) -> StreamTally {
        self.combined(other, u64::saturating_sub)
    }

    /// Returns the larger count of each kind.
    pub fn largest(&self, other: &StreamTally) -> StreamTally {
        self.combined(other, u64::max)
    }

    /// Returns a tally of the same shares in which at most this many whole streams are counted. Every other count is limited
    /// to what that many streams can have; cut, damaged and irregular ones are rounded up.
    pub fn limited(&self, most: u64) -> StreamTally {
        let divisor = self.whole().div_ceil(most.max(1)).max(1);
        let mut limited =
            StreamTally { counts: self.counts.map(|count| (count / divisor).min(most)) };
        let events = self.count(StreamCounter::Events) / divisor;
        limited.counts[StreamCounter::Events as usize] = events.min(most * MAX_EVENTS_OF_STREAM);
        for rare in [StreamCounter::Cut, StreamCounter::Damaged, StreamCounter::Irregular] {
            limited.counts[rare as usize] = self.count(rare).div_ceil(divisor).min(most);
        }
        limited
    }

    fn add(&mut self, index: usize, count: u64) {
        self.counts[index] = self.counts[index].saturating_add(count);
    }

    fn combined(&self, other: &StreamTally, combine: impl Fn(u64, u64) -> u64) -> StreamTally {
        let mut counts = self.counts;
        for (count, other) in counts.iter_mut().zip(other.counts) {
            *count = combine(*count, other);
        }
        StreamTally { counts }
    }
}

/// Returns the range that a number of lines is counted in.
fn line_range(lines: u32) -> usize {
    LINE_RANGES.partition_point(|first| *first <= lines).saturating_sub(1)
}

/// Returns the largest number of lines of a range.
fn last_of_range(range: usize) -> u32 {
    LINE_RANGES.get(range + 1).map_or(u32::MAX, |next| next - 1)
}
