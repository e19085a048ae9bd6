//! Decides from the number of an event whether it is the next one of its stream.
//!
//! Numbers rise, but not every platform's by one: an event may stand for several steps of the work. So a number that
//! leaves out others is held back until the next event confirms it. A wrong number would otherwise become the position of
//! the stream, and the events behind it would count as seen.
//!
//! Owns: the position in a stream. Relies on: [`NumberSteps`] for what numbers are expected, [`AnswerOrder`] for the
//! numbers within one answer.

use crate::event_steps::NumberSteps;
use crate::stream_irregularity::{AnswerOrder, StreamIrregularity};

/// Where an event belongs in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPlace {
    /// It is the next event, and an event that was held back is confirmed.
    Next,
    /// It is held back until the next event confirms its number. An event that was held back is confirmed.
    Held,
    /// It was seen before.
    Repeated,
    /// Events before it are missing, or a number is wrong.
    Misplaced,
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

/// A number that leaves out others and is not confirmed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldNumber {
    number: u64,
    /// Whether it is the first new one of a continuation.
    is_join: bool,
}

/// A number that an earlier answer stated to follow on `after`, without confirming it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StatedNext {
    after: u64,
    number: u64,
}

/// The numbers of a stream's events so far.
#[derive(Debug, Default)]
pub struct EventNumbers {
    last: Option<u64>,
    /// Whether the last number is right even if a later one falls behind it.
    is_last_sure: bool,
    /// Whether a number was returned that turned out to be wrong.
    is_position_lost: bool,
    steps: NumberSteps,
    held: Option<HeldNumber>,
    stated: Option<StatedNext>,
    /// Whether the latest answer has ended after it repeated the last event alone.
    has_stated_end: bool,
    /// Events without a number since the last one with a number.
    unnumbered: u64,
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
        let is_known = last.is_some();
        EventNumbers {
            last,
            is_resuming: is_known,
            is_last_sure: is_known,
            ..EventNumbers::default()
        }
    }

    /// Returns the number of the last event that is not held back.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Records an event without a number.
    pub fn record_unnumbered(&mut self) {
        self.unnumbered += 1;
    }

    /// Records the number of an event. The position stays where it is if the event is held back or misplaced.
    pub fn record(&mut self, number: u64) -> EventPlace {
        let unnumbered = std::mem::take(&mut self.unnumbered);
        let previous = self.order.last();
        let has_fallen = previous.is_some_and(|previous| number <= previous);
        let starts_over = has_fallen && previous == self.last && self.order.may_start_over(number);
        self.order.record(number, self.last, self.steps.rise_by_one());
        if starts_over {
            (self.is_resuming, self.repeated) = (true, 0);
        } else if has_fallen {
            return self.reject_fall(previous);
        }
        let Some(last) = self.last else {
            self.last = Some(number);
            self.steps.begin(number);
            // No event can be before it.
            self.is_last_sure = number <= 1;
            return EventPlace::Next;
        };
        if number <= last {
            self.repeated += 1;
            return EventPlace::Repeated;
        }
        if let Some(held) = self.held.take() {
            if !self.confirm(held, last, number) {
                return EventPlace::Misplaced;
            }
        }
        match std::mem::take(&mut self.is_resuming) {
            true => self.place_first(number, last, previous),
            false => self.place(number, unnumbered),
        }
    }

    /// Rejects a number that is not higher than the one before: one of both is wrong.
    fn reject_fall(&mut self, previous: Option<u64>) -> EventPlace {
        let is_held_wrong = self.held.take().is_some();
        self.is_position_lost |= !is_held_wrong && previous == self.last && !self.is_last_sure;
        EventPlace::Misplaced
    }

    /// Confirms a number by the next one, unless a continuation goes on with smaller steps than it began.
    fn confirm(&mut self, held: HeldNumber, last: u64, number: u64) -> bool {
        let step = held.number - last;
        if held.is_join && self.steps.is_unknown() && step > number - held.number {
            self.stated = Some(StatedNext { after: last, number: held.number });
            return false;
        }
        if !held.is_join || self.steps.is_unknown() {
            self.steps.record(step);
        }
        self.accept(held.number, false);
        true
    }

    /// Places the first new event of a continuation.
    fn place_first(&mut self, number: u64, last: u64, previous: Option<u64>) -> EventPlace {
        self.join = Some(StreamJoin { after: last, first: number, repeated: self.repeated });
        let stated = StatedNext { after: last, number };
        if self.stated == Some(stated) {
            return self.accept(number, true);
        }
        let follows_repeated = self.repeated == 0 || previous == Some(last);
        let is_expected = self.steps.expects(number - last);
        if follows_repeated && (is_expected || self.steps.is_varying()) {
            return self.accept(number, is_expected);
        }
        if self.steps.rise_by_one() {
            return EventPlace::Misplaced;
        }
        if self.repeated > 0 && !(follows_repeated && self.steps.is_unknown()) {
            self.stated = Some(stated);
            return EventPlace::Misplaced;
        }
        self.held = Some(HeldNumber { number, is_join: true });
        EventPlace::Held
    }

    /// Places an event that follows on another one in the same answer.
    fn place(&mut self, number: u64, unnumbered: u64) -> EventPlace {
        let Some(last) = self.last else { return EventPlace::Misplaced };
        let step = number - last;
        let is_stated = self.stated == Some(StatedNext { after: last, number });
        if is_stated || self.steps.expects(step) {
            self.steps.record(step);
            return self.accept(number, true);
        }
        // Events without a number may have used up those between.
        if step <= unnumbered + 1 {
            self.steps.record_varying();
        }
        if self.steps.is_varying() {
            return self.accept(number, false);
        }
        self.held = Some(HeldNumber { number, is_join: false });
        EventPlace::Held
    }

    fn accept(&mut self, number: u64, is_sure: bool) -> EventPlace {
        (self.last, self.is_last_sure) = (Some(number), is_sure);
        EventPlace::Next
    }

    /// Takes back the latest event, which was not returned; `last` is the number before it.
    pub fn step_back(&mut self, last: Option<u64>) {
        (self.last, self.is_last_sure) = (last, true);
        // A continuation that begins with it has not begun.
        self.join = self.join.filter(|join| Some(join.after) != last);
    }

    /// Records that the latest event may be wrong, so that nothing can continue the stream.
    pub fn lose_position(&mut self) {
        self.is_position_lost = true;
    }

    /// Expects this number next, since several targets have stated it.
    pub fn expect(&mut self, number: u64) {
        self.stated = self.last.map(|after| StatedNext { after, number });
    }

    /// Returns whether the events of a continuation were all seen before, so far.
    pub fn is_repeating(&self) -> bool {
        self.is_resuming && self.repeated > 0
    }

    /// Returns whether the answer, which ends here, may be the last one: no event is held back, and one that repeats events
    /// has reached the last.
    pub fn may_end(&mut self) -> bool {
        let is_behind = self.order.last().is_some_and(|number| Some(number) < self.last);
        self.has_stated_end = self.is_end_unproven();
        self.held.is_none() && !is_behind && !self.has_stated_end
    }

    /// Returns whether the answer repeats the last event alone: a new event with a wrong number looks the same.
    fn is_end_unproven(&self) -> bool {
        self.is_resuming
            && self.repeated == 1
            && self.order.last() == self.last
            && self.stated != self.repeated_last()
    }

    fn repeated_last(&self) -> Option<StatedNext> {
        self.last.map(|last| StatedNext { after: last, number: last })
    }

    /// Returns whether a number that was returned is wrong, so that nothing can continue the stream.
    pub fn is_position_lost(&self) -> bool {
        self.is_position_lost
    }

    /// Returns where the latest continuation began, once.
    pub fn take_join(&mut self) -> Option<StreamJoin> {
        self.join.take()
    }

    /// Returns what was irregular in the latest answer, each kind once.
    pub fn take_irregularities(&mut self) -> Vec<StreamIrregularity> {
        self.order.take_irregularities()
    }

    /// Prepares for a continuation after the last event that is not held back.
    pub fn resume(&mut self) {
        // An answer that was cut states no end.
        if std::mem::take(&mut self.has_stated_end) {
            self.stated = self.repeated_last();
        }
        if let (Some(held), Some(after)) = (self.held.take(), self.last) {
            self.stated = Some(StatedNext { after, number: held.number });
        }
        self.is_resuming = self.last.is_some();
        (self.repeated, self.unnumbered) = (0, 0);
        self.join = None;
        self.order = AnswerOrder::default();
    }
}
