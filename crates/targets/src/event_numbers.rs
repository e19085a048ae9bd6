//! Decides from the number of an event whether it is the next one of its stream.
//!
//! Owns: the position in a stream. Relies on: numbers that rise within one answer.

/// Where an event belongs in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPlace {
    /// It is the next event.
    Next,
    /// It was seen before.
    Repeated,
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
    /// Whether the next number is the first of a continuation.
    is_resuming: bool,
    /// Events of the continuation that were seen before.
    repeated: u64,
    join: Option<StreamJoin>,
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

    /// Records the number of an event.
    pub fn record(&mut self, number: u64) -> EventPlace {
        if let Some(last) = self.last {
            if number <= last {
                self.repeated += u64::from(self.is_resuming);
                return EventPlace::Repeated;
            }
            if std::mem::take(&mut self.is_resuming) {
                let repeated = self.repeated;
                self.join = Some(StreamJoin { after: last, first: number, repeated });
            }
        }
        self.last = Some(number);
        EventPlace::Next
    }

    /// Returns whether the events of a continuation were all seen before, so far.
    pub fn is_repeating(&self) -> bool {
        self.is_resuming && self.repeated > 0
    }

    /// Returns where the latest continuation began, once.
    pub fn take_join(&mut self) -> Option<StreamJoin> {
        self.join.take()
    }

    /// Prepares for a continuation after the last event.
    pub fn resume(&mut self) {
        self.is_resuming = self.last.is_some();
        self.repeated = 0;
        self.join = None;
    }
}
