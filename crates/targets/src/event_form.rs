//! Compares events with the form that the streams of a source have: they count from one by one, and each event has one
//! number and data.
//!
//! Owns: the shape of one stream. Relies on: [`FormEvidence`](crate::FormEvidence) for the form, which is known only once
//! enough streams have shown it.

use curlewcleat_core::EventForm;

use crate::event_fields::EventFields;

/// Number of the first event of a stream that has the form.
pub const FIRST_NUMBER: u64 = 1;
/// Longest beginning of a deviating event in bytes that is kept for a log line.
const EXCERPT_LIMIT: usize = 64;

/// How an event deviates from the form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeviationKind {
    /// It has data and no number.
    NoNumber,
    /// Its `id` field is no number.
    OddNumber,
    /// It has several `id` fields.
    SeveralNumbers,
    /// It has a number and no data.
    NoData,
    /// It has more or fewer `data` fields than others.
    OddData,
    /// It has no type, unlike others.
    NoType,
    /// It has a line that callers ignore, unlike others.
    OddLine,
    /// Its number leaves out others.
    Gap,
    /// Its number is not higher than the one before, in the same answer.
    Fell,
    /// There is none: the stream ends before its first event.
    Missing,
    /// The stream ends without the event that ends all others.
    NoEnd,
}

impl DeviationKind {
    /// All kinds.
    pub const ALL: [DeviationKind; 11] = [
        DeviationKind::NoNumber,
        DeviationKind::OddNumber,
        DeviationKind::SeveralNumbers,
        DeviationKind::NoData,
        DeviationKind::OddData,
        DeviationKind::NoType,
        DeviationKind::OddLine,
        DeviationKind::Gap,
        DeviationKind::Fell,
        DeviationKind::Missing,
        DeviationKind::NoEnd,
    ];

    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            DeviationKind::NoNumber => "no_number",
            DeviationKind::OddNumber => "odd_number",
            DeviationKind::SeveralNumbers => "several_numbers",
            DeviationKind::NoData => "no_data",
            DeviationKind::OddData => "odd_data",
            DeviationKind::NoType => "no_type",
            DeviationKind::OddLine => "odd_line",
            DeviationKind::Gap => "gap",
            DeviationKind::Fell => "fell",
            DeviationKind::Missing => "missing",
            DeviationKind::NoEnd => "no_end",
        }
    }
}

/// An event that deviates from the form of its source's streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventDeviation {
    /// How it deviates.
    pub kind: DeviationKind,
    /// Number of the last event before, 0 if there is none.
    pub after: u64,
    /// Its number, if it has one.
    pub number: Option<u64>,
    /// The beginning of the event, with other bytes than printable ASCII escaped.
    pub excerpt: String,
    /// Number of targets that have stated it for this stream.
    pub targets: usize,
    /// Whether it counts as sound because they agree.
    pub is_accepted: bool,
    /// Whether it deviates from the usual form only, since that of the source is not known.
    pub deviates_from_usual: bool,
}

impl EventDeviation {
    /// Describes how an event deviates.
    pub fn new(
        kind: DeviationKind,
        after: Option<u64>,
        number: Option<u64>,
        event: &[u8],
    ) -> EventDeviation {
        let excerpt = event[..event.len().min(EXCERPT_LIMIT)].escape_ascii().to_string();
        // Numbers of the form begin with one, so that none is before the first event.
        let after = after.unwrap_or(FIRST_NUMBER - 1);
        EventDeviation {
            kind,
            after,
            number,
            excerpt,
            targets: 1,
            is_accepted: false,
            deviates_from_usual: false,
        }
    }
}

/// Returns how the fields of an event deviate, whatever its number is. An event without a number deviates also where a
/// stream may end with one, since only the end of the answer shows that it is the last.
pub fn field_deviation(form: &EventForm, fields: &EventFields) -> Option<DeviationKind> {
    let is_odd_line = fields.has_ignored_lines() && !form.may_have_ignored_lines;
    if fields.is_comment() {
        return is_odd_line.then_some(DeviationKind::OddLine);
    }
    match (fields.ids, fields.number) {
        (0, _) => return Some(DeviationKind::NoNumber),
        (1, None) => return Some(DeviationKind::OddNumber),
        (1, Some(_)) => {}
        _ => return Some(DeviationKind::SeveralNumbers),
    }
    match fields.data_lines {
        0 => Some(DeviationKind::NoData),
        lines if !(form.min_data_lines..=form.max_data_lines).contains(&lines) => {
            Some(DeviationKind::OddData)
        }
        _ if form.must_have_type && !fields.has_type => Some(DeviationKind::NoType),
        _ => is_odd_line.then_some(DeviationKind::OddLine),
    }
}

/// What the events of one stream looked like, in the order in which they were accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamShape {
    events: u64,
    min_data_lines: u32,
    max_data_lines: u32,
    /// Whether the latest event had data and no number.
    ends_unnumbered: bool,
    has_ignored_lines: bool,
    /// Number of events with a number and a type.
    typed_events: u64,
    /// Whether an event did not count on from the one before, or lacked a number or data.
    is_irregular: bool,
}

impl StreamShape {
    /// Records the fields of an accepted event.
    pub fn record(&mut self, fields: &EventFields) {
        self.has_ignored_lines |= fields.has_ignored_lines();
        if fields.is_comment() {
            return;
        }
        // Only the last event may lack a number.
        self.is_irregular |= self.ends_unnumbered;
        if fields.ids == 0 {
            self.ends_unnumbered = true;
            return;
        }
        let is_first = self.events == 0;
        self.events += 1;
        self.typed_events += u64::from(fields.has_type);
        self.is_irregular |= fields.ids > 1 || !fields.has_data();
        self.is_irregular |= fields.number != Some(self.events);
        self.max_data_lines = self.max_data_lines.max(fields.data_lines);
        self.min_data_lines = match is_first {
            true => fields.data_lines,
            false => self.min_data_lines.min(fields.data_lines),
        };
    }

    /// Returns the number of events with a number.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the narrowest form that the stream has, `None` if it has no such form or no event with a number.
    pub fn form(&self) -> Option<EventForm> {
        let is_regular = !self.is_irregular && self.events > 0;
        is_regular.then_some(EventForm {
            min_data_lines: self.min_data_lines,
            max_data_lines: self.max_data_lines,
            may_end_unnumbered: self.ends_unnumbered,
            must_end_unnumbered: self.ends_unnumbered,
            must_have_type: self.typed_events == self.events,
            may_have_ignored_lines: self.has_ignored_lines,
        })
    }
}

/// Returns the number that counts on from the last one.
pub fn next_number(last: Option<u64>) -> u64 {
    last.map_or(FIRST_NUMBER, |last| last.saturating_add(1))
}
