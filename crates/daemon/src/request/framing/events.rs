//! Splits an answer that consists of events, and tracks the last one that the caller has.
//!
//! Owns: the position in the stream of one request, over all its attempts. Relies on: [`EventSplitter`].

use actix_http::{RequestHead, ResponseHead};
use bytes::Bytes;
use curlewcleat_core::{KeptAnswer, TargetId};
use curlewcleat_targets::{
    BodyFrame, EventDeviation, EventSplitter, FormExpectation, StreamIrregularity, StreamJoin,
    StreamShape,
};

use super::AnswerFraming;
use crate::request::admitted::TakeUpHeaders;

/// Relays complete events. An attempt at another target continues an interrupted stream after its last event.
#[derive(Default)]
pub struct EventFraming {
    events: EventSplitter,
    /// Whether the latest attempt has brought an event.
    has_events: bool,
    /// What the caller has of the stream from an earlier request.
    position: StreamPosition,
    /// Last event of an attempt whose end nothing proved.
    unproven_end: Option<u64>,
    /// Whether the end of an attempt was doubted although its target lived.
    has_doubted: bool,
}

/// What the caller has of a stream before the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamPosition {
    /// Nothing.
    #[default]
    Beginning,
    /// The events up to this number.
    After(u64),
    /// Events up to one whose id is no number.
    Unknown,
}

impl StreamPosition {
    /// Returns the position at which a caller takes up its stream, if it does.
    pub fn of(take_up: Option<&TakeUpHeaders>) -> StreamPosition {
        match take_up {
            None => StreamPosition::Beginning,
            Some(headers) => {
                headers.last_number().map_or(StreamPosition::Unknown, StreamPosition::After)
            }
        }
    }

    fn number(self) -> Option<u64> {
        match self {
            StreamPosition::After(number) => Some(number),
            StreamPosition::Beginning | StreamPosition::Unknown => None,
        }
    }
}

impl EventFraming {
    /// Creates the framing of a stream that goes on from this position.
    pub fn from(position: StreamPosition) -> EventFraming {
        let events = EventSplitter::after(position.number());
        EventFraming { events, position, ..EventFraming::default() }
    }
}

impl EventFraming {
    /// Returns whether an earlier attempt ended after the same event.
    fn is_at_unproven_end(&self) -> bool {
        let is_same = self.unproven_end.is_some() && self.unproven_end == self.events.last();
        is_same || self.events.is_end_unresolved()
    }
}

impl AnswerFraming for EventFraming {
    fn begin(&mut self, _: &ResponseHead) {}

    fn delays_head(&self) -> bool {
        true
    }

    fn push(&mut self, part: Bytes) -> Bytes {
        let events = self.events.push(&part);
        self.has_events |= !events.is_empty() || self.events.holds_last();
        events
    }

    fn buffered(&self) -> usize {
        self.events.buffered()
    }

    /// A stream that ends within an event was cut, and so was one that ends with its connection before any event of the
    /// same attempt, unless that confirms the end of an earlier one.
    fn is_complete(&self, frame: BodyFrame) -> bool {
        let may_be_empty = frame != BodyFrame::UntilClose || self.is_at_unproven_end();
        self.events.is_between_events() && (self.has_events || may_be_empty)
    }

    fn adds_nothing(&self) -> bool {
        self.events.is_between_events() && !self.has_events && self.events.last().is_some()
    }

    fn may_end(&mut self) -> bool {
        self.events.may_end()
    }

    fn leave_end_unproven(&mut self) {
        self.unproven_end = self.events.last();
    }

    fn agrees_on_end(&mut self) -> bool {
        let agrees = self.is_at_unproven_end();
        self.leave_end_unproven();
        agrees
    }

    fn begins_doubt(&mut self) -> bool {
        !std::mem::replace(&mut self.has_doubted, true)
    }

    /// An event without a number that is held back ends all streams of the source, and is no place to go on after.
    fn may_go_on(&self) -> bool {
        let has_place = self.events.last().is_some() && !self.events.holds_last();
        has_place && self.events.is_resumable()
    }

    fn take_remaining(&mut self) -> Bytes {
        self.events.take_remaining()
    }

    fn resume_request(&mut self) -> Option<RequestHead> {
        None
    }

    fn restart(&mut self) {
        self.events.discard_incomplete();
        self.has_events = false;
    }

    fn is_resumable(&self) -> bool {
        self.events.is_resumable()
    }

    fn last_event(&self) -> Option<u64> {
        self.events.last()
    }

    fn is_misplaced(&self) -> bool {
        self.events.is_misplaced()
    }

    fn take_join(&mut self) -> Option<StreamJoin> {
        self.events.take_join()
    }

    fn take_irregularities(&mut self) -> Vec<StreamIrregularity> {
        self.events.take_irregularities()
    }

    fn expect(&mut self, expectation: FormExpectation, target: &TargetId) {
        // Without a position the first number tells nothing.
        let expectation = match self.position {
            StreamPosition::Unknown => {
                FormExpectation { form: None, checks_usual: false, ..expectation }
            }
            StreamPosition::Beginning | StreamPosition::After(_) => expectation,
        };
        self.events.expect(expectation.form, target);
        self.events.judge_by(expectation);
    }

    fn take_shown_damage(&mut self) -> bool {
        self.events.take_shown_damage()
    }

    fn is_unresolved(&self) -> bool {
        self.events.is_unresolved()
    }

    fn is_end_unresolved(&self) -> bool {
        self.events.is_end_unresolved()
    }

    fn take_deviations(&mut self) -> Vec<EventDeviation> {
        self.events.take_deviations()
    }

    fn shape(&self) -> Option<&StreamShape> {
        (self.position == StreamPosition::Beginning).then(|| self.events.shape())
    }

    fn reports_timing(&self) -> bool {
        true
    }

    fn kept_answer(&mut self) -> Option<KeptAnswer> {
        None
    }
}
