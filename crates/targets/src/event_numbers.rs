//! Decides from the number of an event whether it is the next one of its stream.
//!
//! Numbers rise, but not every platform's by one: an event may stand for several steps of the work. So an event that
//! follows in one answer is always the next one, and whether a continuation leaves out events is decided by how the numbers
//! of this stream have risen so far.
//!
//! Owns: the position in a stream. Relies on: numbers that rise within one answer; [`StreamIrregularity`] for what is
//! reported where they do not.

use crate::stream_irregularity::{AnswerOrder, StreamIrregularity};

/// Numbers that followed on the one before, after which a continuation has to do so as well.
const MIN_STEPS_OF_ONE: u32 = 2;

/// Where an event belongs in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPlace {
    /// It is the next event.
    Next,
    /// It was seen before.
    Repeated,
    /// Events before it are missing.
    Skipping,
}

/// Where a resumed stream continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamJoin {
    /// Number of the last event before.
    pub after: u64,
    /// Number of the first event that was not seen before.
    pub first: u64,
    /// Events that were left out because they had been seen.
    pub repeated: u64,
}

/// The numbers of a stream's events so far.
#[derive(Debug, Default)]
pub struct EventNumbers {
    last: Option<u64>,
    /// Numbers that followed on the one before.
    steps_of_one: u32,
    /// Whether a number left out others within one answer.
    has_other_step: bool,
    /// Whether the next number is the first of a continuation.
    is_resuming: bool,
    /// Events of the continuation that were seen before.
    repeated: u64,
    join: Option<StreamJoin>,
    /// Order of the numbers within the latest answer.
    order: AnswerOrder,
}

impl EventNumbers {
    /// Begins after the event with this number.
    pub fn after(last: Option<u64>) -> EventNumbers {
        EventNumbers { last, is_resuming: last.is_some(), ..EventNumbers::default() }
    }

    /// Returns the number of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Records the number of an event, unless events before it are missing.
    pub fn record(&mut self, number: u64) -> EventPlace {
        self.order.record(number, self.last, self.rises_by_one());
        let Some(last) = self.last else {
            self.last = Some(number);
            return EventPlace::Next;
        };
        if number <= last {
            self.repeated += u64::from(self.is_resuming);
            return EventPlace::Repeated;
        }
        let is_step_of_one = number - last == 1;
        if std::mem::take(&mut self.is_resuming) {
            self.join = Some(StreamJoin { after: last, first: number, repeated: self.repeated });
            if !is_step_of_one && self.rises_by_one() {
                return EventPlace::Skipping;
            }
        } else if is_step_of_one {
            self.steps_of_one += 1;
        } else {
            self.has_other_step = true;
        }
        self.last = Some(number);
        EventPlace::Next
    }

    fn rises_by_one(&self) -> bool {
        self.steps_of_one >= MIN_STEPS_OF_ONE && !self.has_other_step
    }

    /// Returns whether the events of a continuation were all seen before, so far.
    pub fn is_repeating(&self) -> bool {
        self.is_resuming && self.repeated > 0
    }

    /// Returns where the latest continuation began, once.
    pub fn take_join(&mut self) -> Option<StreamJoin> {
        self.join.take()
    }

    /// Returns what was irregular in the latest answer, each kind once.
    pub fn take_irregularities(&mut self) -> Vec<StreamIrregularity> {
        self.order.take_irregularities()
    }

    /// Prepares for a continuation after the last event.
    pub fn resume(&mut self) {
        self.is_resuming = self.last.is_some();
        self.repeated = 0;
        self.join = None;
        self.order = AnswerOrder::default();
    }
}
