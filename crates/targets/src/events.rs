//! Assembles complete events from the parts of an event stream.
//!
//! Owns: the bytes of an incomplete event and of one that is held back, what of the stream has no number. Relies on:
//! [`EventNumbers`] for the position, [`FormCheck`] for events that are damaged.

mod deviations;

use bytes::{Bytes, BytesMut};
use curlewcleat_core::EventForm;

use crate::event_fields::EventFields;
use crate::event_form::{EventDeviation, StreamShape};
use crate::event_numbers::{EventNumbers, EventPlace, StreamJoin};
use crate::event_scan::EventScan;
use crate::form_check::{FormCheck, FormExpectation, FormVerdict};
use crate::stream_irregularity::StreamIrregularity;

use self::deviations::LatestEvent;

/// Maximum number of buffered bytes of an incomplete event; more are returned as they are.
const EVENT_LIMIT: usize = 1 << 20;

/// Encoding of the mark with which an answer may begin.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Splits a stream at the ends of events, so that a stream that is interrupted within an event can be resumed. Lines end
/// with CR, LF or both.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: BytesMut,
    scan: EventScan,
    /// Whether the latest answer has brought an event.
    has_begun: bool,
    /// Whether a part of an event was returned because the event is too long to be buffered. Its number is not known.
    has_returned_part: bool,
    /// Whether data without a number was returned after the last number.
    has_unnumbered_data: bool,
    numbers: EventNumbers,
    /// An event that is held back until the next one confirms its number, with the events without a number behind it.
    held: BytesMut,
    /// Whether data without a number is held back.
    holds_unnumbered_data: bool,
    /// Whether what is held back ends the stream if nothing follows.
    holds_last: bool,
    /// Whether the latest answer is not in its place.
    is_misplaced: bool,
    /// What the events of the source's streams look like.
    check: FormCheck,
    /// What the events of this stream look like.
    shape: StreamShape,
    /// The latest event, if it was accepted in the latest part and is not returned yet.
    latest: Option<LatestEvent>,
    /// Digest of the latest event that was accepted.
    latest_digest: u64,
}

impl EventSplitter {
    /// Creates a splitter for a stream of which the events up to this number are known already.
    pub fn after(number: Option<u64>) -> EventSplitter {
        EventSplitter { numbers: EventNumbers::after(number), ..EventSplitter::default() }
    }

    /// Returns the number of the last complete event returned by [`push`](EventSplitter::push), or the one after which
    /// the stream begins.
    pub fn last(&self) -> Option<u64> {
        self.numbers.last()
    }

    /// Appends a part and returns the events that it completes. Events whose number was already returned before the
    /// stream was resumed are skipped. Nothing more is returned of an answer that is
    /// [misplaced](EventSplitter::is_misplaced).
    pub fn push(&mut self, part: &[u8]) -> Bytes {
        self.buffered.extend_from_slice(part);
        self.latest = None;
        let mut out = BytesMut::new();
        let before = self.buffered.len();
        while let Some(end) = self.scan.event_end(&self.buffered) {
            self.scan = EventScan::default();
            let event = self.buffered.split_to(end);
            self.place_event(&event, &mut out);
        }
        // What is held back ends with a complete event that follows.
        self.is_misplaced |=
            !self.held.is_empty() && self.held.len() + self.buffered.len() > EVENT_LIMIT;
        if self.is_misplaced {
            self.buffered.clear();
        }
        if self.buffered.len() < before {
            // What is left would keep the memory of the events before it.
            self.buffered = BytesMut::from(&self.buffered[..]);
        }
        if self.buffered.len() > EVENT_LIMIT {
            self.has_returned_part = true;
            self.check.release();
            self.scan.restart();
            match out.is_empty() {
                true => out = std::mem::take(&mut self.buffered),
                false => out.extend_from_slice(&std::mem::take(&mut self.buffered)),
            }
        }
        out.freeze()
    }

    /// Returns the number of bytes that are kept until an event is complete, or confirmed.
    pub fn buffered(&self) -> usize {
        self.buffered.len() + self.held.len()
    }

    /// Returns a complete event, holds it back or leaves it out.
    fn place_event(&mut self, event: &[u8], out: &mut BytesMut) {
        if self.is_misplaced {
            return;
        }
        let is_first = !std::mem::replace(&mut self.has_begun, true);
        let unmarked = event.strip_prefix(BYTE_ORDER_MARK).filter(|_| is_first).unwrap_or(event);
        let fields = EventFields::read(unmarked);
        // Callers ignore the mark only where their own answer begins.
        let event = if self.last().is_some() { unmarked } else { event };
        match self.check.check(&fields, self.numbers.last(), event) {
            FormVerdict::Accepted => {}
            FormVerdict::Last => return self.hold_last(event),
            FormVerdict::Deviates(kind) => return self.reject(kind, &fields, event, out),
            FormVerdict::Confirmed => self.accept_other_form(&fields, out),
        }
        let Some(number) = fields.number else {
            return self.place_unnumbered(event, &fields, out);
        };
        let last = self.numbers.last();
        match self.numbers.record(number) {
            EventPlace::Next => {
                self.return_held(out);
                self.record_latest(&fields, event, last, out.len());
                self.has_unnumbered_data = false;
                out.extend_from_slice(event);
            }
            EventPlace::Held => {
                self.return_held(out);
                self.shape.record(&fields);
                self.held.extend_from_slice(event);
            }
            EventPlace::Repeated => {}
            EventPlace::Misplaced => self.is_misplaced = true,
        }
    }

    fn place_unnumbered(&mut self, event: &[u8], fields: &EventFields, out: &mut BytesMut) {
        self.numbers.record_unnumbered();
        if !self.held.is_empty() {
            self.shape.record(fields);
            self.holds_unnumbered_data |= fields.has_data();
            self.held.extend_from_slice(event);
            self.is_misplaced |= self.held.len() > EVENT_LIMIT;
        } else if !self.numbers.is_repeating() {
            // It is part of what is repeated if the events around it are.
            self.shape.record(fields);
            self.has_unnumbered_data |= fields.has_data();
            out.extend_from_slice(event);
        }
    }

    /// Returns what was held back, once its number is confirmed.
    fn return_held(&mut self, out: &mut BytesMut) {
        if !self.held.is_empty() {
            self.has_unnumbered_data = std::mem::take(&mut self.holds_unnumbered_data);
            out.extend_from_slice(&std::mem::take(&mut self.held));
        }
    }

    /// Returns whether the latest answer does not go on where the stream broke off, or a number in it is wrong.
    pub fn is_misplaced(&self) -> bool {
        self.is_misplaced
    }

    /// Returns where the resumed stream continued, once for each time that it was resumed.
    pub fn take_join(&mut self) -> Option<StreamJoin> {
        self.numbers.take_join()
    }

    /// Returns what was irregular about the numbers of the latest answer, each kind once.
    pub fn take_irregularities(&mut self) -> Vec<StreamIrregularity> {
        self.numbers.take_irregularities()
    }

    /// Begins an answer of a target. `form` is the one that the streams of its source have; what an earlier event was
    /// judged by stays.
    pub fn expect(&mut self, form: Option<EventForm>, target: &str) {
        self.check.begin(target);
        if self.shape == StreamShape::default() {
            self.check.expect(form);
        }
    }

    /// Sets how the answer that follows is judged, beside the form.
    pub fn judge_by(&mut self, expectation: FormExpectation) {
        self.check.judge_by(expectation);
    }

    /// Returns, once, whether an answer had a sound event in place of one that deviated.
    pub fn take_shown_damage(&mut self) -> bool {
        self.check.take_shown_damage()
    }

    /// Returns what the events of the stream looked like so far.
    pub fn shape(&self) -> &StreamShape {
        &self.shape
    }

    /// Returns whether an answer ended because of an event that deviates, and no other one has shown the right one.
    pub fn is_unresolved(&self) -> bool {
        self.check.is_unresolved()
    }

    /// Returns whether the stream may lack its end, and no other answer has shown one.
    pub fn is_end_unresolved(&self) -> bool {
        self.check.is_end_unresolved()
    }

    /// Returns whether an event is held back that ends the stream if nothing follows.
    pub fn holds_last(&self) -> bool {
        self.holds_last
    }

    /// Returns the events that deviate from the form and were not returned yet.
    pub fn take_deviations(&mut self) -> Vec<EventDeviation> {
        self.check.take_deviations()
    }

    /// Returns whether the events of the latest answer may be all of its stream: none of them is held back, those that it
    /// repeated reach the last one, and the stream ends like the others of its source.
    pub fn may_end(&mut self) -> bool {
        if self.is_misplaced || !self.numbers.may_end() {
            return false;
        }
        let last = self.numbers.last();
        match last.is_none() && !self.holds_last {
            true => self.check.check_empty(),
            false => self.check.check_end(last),
        }
    }

    /// Returns whether no event is incomplete.
    pub fn is_between_events(&self) -> bool {
        self.scan.is_between_events()
    }

    /// Returns whether the stream may continue after the last number: the number is right, and nothing was returned
    /// behind that event.
    pub fn is_resumable(&self) -> bool {
        !self.has_returned_part && !self.has_unnumbered_data && !self.numbers.is_position_lost()
    }

    /// Returns the buffered bytes at the end of a complete stream, behind an event that turns out to be the last one.
    pub fn take_remaining(&mut self) -> Bytes {
        self.scan = EventScan::default();
        if !std::mem::take(&mut self.holds_last) {
            return self.buffered.split().freeze();
        }
        self.shape.record(&EventFields { data_lines: 1, ..EventFields::default() });
        self.held.extend_from_slice(&self.buffered.split());
        self.held.split().freeze()
    }

    /// Prepares for a resumed stream: discards the bytes of the incomplete event and of what is held back.
    pub fn discard_incomplete(&mut self) {
        self.scan = EventScan::default();
        self.buffered = BytesMut::new();
        self.held = BytesMut::new();
        (self.holds_unnumbered_data, self.holds_last) = (false, false);
        (self.is_misplaced, self.has_begun) = (false, false);
        self.numbers.resume();
        self.check.resume();
    }
}
