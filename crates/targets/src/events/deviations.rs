//! Ends an answer at an event that deviates from the form of its source.
//!
//! Owns: nothing; these are methods of [`EventSplitter`]. Relies on: [`FormCheck`](crate::form_check::FormCheck) for what
//! deviates.

use std::hash::{DefaultHasher, Hasher};

use bytes::BytesMut;

use super::EventSplitter;
use crate::event_fields::EventFields;
use crate::event_form::{DeviationKind, StreamShape};

/// An event that can still be taken back.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatestEvent {
    /// Where it begins in the events that are returned together.
    begin: usize,
    /// Shape and position of the stream before it.
    shape: StreamShape,
    last: Option<u64>,
}

impl EventSplitter {
    /// Remembers an event as the latest one that was accepted.
    pub(super) fn record_latest(
        &mut self,
        fields: &EventFields,
        event: &[u8],
        last: Option<u64>,
        begin: usize,
    ) {
        self.latest = Some(LatestEvent { begin, shape: self.shape, last });
        self.latest_digest = digest(event);
        self.shape.record(fields);
    }

    /// Holds back an event without a number that ends the stream if nothing follows.
    pub(super) fn hold_last(&mut self, event: &[u8]) {
        self.holds_last = true;
        self.held.extend_from_slice(event);
    }

    /// Ends the answer at an event that deviates from the form. The one before it may be damaged as well: it is taken
    /// back if it was not returned yet.
    pub(super) fn reject(
        &mut self,
        kind: DeviationKind,
        fields: &EventFields,
        event: &[u8],
        out: &mut BytesMut,
    ) {
        self.is_misplaced = true;
        if let Some(latest) = self.latest.take() {
            out.truncate(latest.begin);
            self.shape = latest.shape;
            self.numbers.step_back(latest.last);
        } else if kind == DeviationKind::Fell
            && fields.number == self.numbers.last()
            && digest(event) != self.latest_digest
        {
            // Which of two different events with this number is right is not known.
            self.numbers.lose_position();
        }
    }

    /// Goes on with a stream that has another form, as several targets have stated.
    pub(super) fn accept_other_form(&mut self, fields: &EventFields, out: &mut BytesMut) {
        if std::mem::take(&mut self.holds_last) {
            self.holds_unnumbered_data = true;
            self.shape.record(&EventFields { data_lines: 1, ..EventFields::default() });
            self.return_held(out);
            // What follows was not stated by another target.
            return;
        }
        if let Some(number) = fields.number {
            self.numbers.expect(number);
        }
    }
}

fn digest(event: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(event);
    hasher.finish()
}
