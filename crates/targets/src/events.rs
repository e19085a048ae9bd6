//! Assembles complete events from the parts of an event stream.
//!
//! Owns: the bytes of an incomplete event and of one that is held back, what of the stream has no number. Relies on: events that end with a blank
//! line, [`EventNumbers`] for the position.

use bytes::{Bytes, BytesMut};

use crate::event_fields::EventFields;
use crate::event_form::{EventDeviation, EventForm, StreamShape};
use crate::event_numbers::{EventNumbers, EventPlace, StreamJoin};
use crate::form_check::FormCheck;
use crate::stream_irregularity::StreamIrregularity;

/// Maximum number of buffered bytes of an incomplete event; more are returned as they are.
const EVENT_LIMIT: usize = 1 << 20;

/// Splits a stream at the ends of events, so that a stream that is interrupted within an event can be resumed. Lines end
/// with CR, LF or both.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: BytesMut,
    scan: EventScan,
    /// Whether a part of an event was returned because the event is too long to be buffered. Its number is not known.
    has_returned_part: bool,
    /// Whether data without a number was returned after the last number.
    has_unnumbered_data: bool,
    numbers: EventNumbers,
    /// An event that is held back until the next one confirms its number, with the events without a number behind it.
    held: BytesMut,
    /// Whether data without a number is held back.
    holds_unnumbered_data: bool,
    /// Whether the latest answer is not in its place.
    is_misplaced: bool,
    /// What the events of the source's streams look like.
    check: FormCheck,
    /// What the events of this stream look like.
    shape: StreamShape,
}

/// Search for the end of the first buffered event, which continues where the bytes ended.
#[derive(Debug, Default)]
struct EventScan {
    /// Number of buffered bytes that were searched.
    searched: usize,
    /// Whether the line that has not ended yet has content.
    line_has_content: bool,
    /// Whether the latest byte was a carriage return.
    is_after_return: bool,
    /// Whether a line of the event has content.
    has_content: bool,
}

impl EventScan {
    /// Returns the length of the first event, including its blank line.
    fn event_end(&mut self, bytes: &[u8]) -> Option<usize> {
        while let Some(byte) = bytes.get(self.searched).copied() {
            self.searched += 1;
            let was_return = std::mem::replace(&mut self.is_after_return, byte == b'\r');
            match byte {
                // It belongs to the end of the line that the carriage return has ended.
                b'\n' if was_return => {}
                b'\r' | b'\n' => {
                    let is_blank = !std::mem::take(&mut self.line_has_content);
                    if is_blank && self.has_content {
                        let line_feed = bytes.get(self.searched) == Some(&b'\n');
                        return Some(self.searched + usize::from(byte == b'\r' && line_feed));
                    }
                }
                _ => (self.line_has_content, self.has_content) = (true, true),
            }
        }
        None
    }

    /// Returns whether no event is incomplete.
    fn is_between_events(&self) -> bool {
        !self.has_content
    }
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
        let mut out = BytesMut::new();
        let before = self.buffered.len();
        while let Some(end) = self.scan.event_end(&self.buffered) {
            self.scan = EventScan::default();
            let event = self.buffered.split_to(end);
            self.place_event(&event, &mut out);
        }
        // What is held back ends with a complete event that follows.
        self.is_misplaced |=
            self.numbers.is_holding() && self.held.len() + self.buffered.len() > EVENT_LIMIT;
        if self.is_misplaced {
            self.buffered.clear();
        }
        if self.buffered.len() < before {
            // What is left would keep the memory of the events before it.
            self.buffered = BytesMut::from(&self.buffered[..]);
        }
        if self.buffered.len() > EVENT_LIMIT {
            self.has_returned_part = true;
            self.scan.searched = 0;
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
        let fields = EventFields::read(event);
        self.check.check(&fields, self.numbers.last(), event);
        let Some(number) = fields.number else {
            return self.place_unnumbered(event, &fields, out);
        };
        match self.numbers.record(number) {
            EventPlace::Next => {
                self.return_held(out);
                self.shape.record(&fields);
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
        if self.numbers.is_holding() {
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

    /// Sets the form that the events of the source's streams have. What an earlier event was judged by stays.
    pub fn expect(&mut self, form: Option<EventForm>) {
        if self.shape == StreamShape::default() {
            self.check.expect(form);
        }
    }

    /// Returns what the events of the stream looked like so far.
    pub fn shape(&self) -> &StreamShape {
        &self.shape
    }

    /// Returns the events of the latest answer that deviate from the form, one of each kind.
    pub fn take_deviations(&mut self) -> Vec<EventDeviation> {
        self.check.take_deviations()
    }

    /// Returns whether the events of the latest answer may be all of its stream: none of them is held back, and those
    /// that it repeated reach the last one.
    pub fn may_end(&self) -> bool {
        self.numbers.may_end()
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

    /// Returns the buffered bytes at the end of a complete stream.
    pub fn take_remaining(&mut self) -> Bytes {
        self.scan = EventScan::default();
        self.buffered.split().freeze()
    }

    /// Prepares for a resumed stream: discards the bytes of the incomplete event and of what is held back.
    pub fn discard_incomplete(&mut self) {
        self.scan = EventScan::default();
        self.buffered = BytesMut::new();
        self.held = BytesMut::new();
        self.holds_unnumbered_data = false;
        self.is_misplaced = false;
        self.numbers.resume();
        self.check.resume();
    }
}
