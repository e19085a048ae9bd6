//! The form that the streams of late have, which may be narrower than that of all streams.
//!
//! Load pattern: a damaged stream that counted as whole before the form was known, and thousands of sound ones behind it.
//!
//! Owns: what the streams of two periods had in common. Relies on: streams that began here and ended whole.

use curlewcleat_core::EventForm;

/// Streams of a period. A form is forgotten after one to two periods without a stream that needs it.
const MIN_PERIOD: u32 = 1_024;
/// Factor by which a period grows each time that a stream of late needed a wider form, so that sound streams of a kind
/// that is seldom seen deviate ever more seldom.
const WIDER_FACTOR: u32 = 4;

/// What the streams of late had in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecentForm {
    /// Form of the streams of the period before, `None` in the first one.
    previous: Option<EventForm>,
    /// Form of the streams of this period.
    current: Option<EventForm>,
    /// Streams of this period.
    streams: u32,
    /// Streams of a whole period.
    period: u32,
}

impl Default for RecentForm {
    fn default() -> RecentForm {
        RecentForm { previous: None, current: None, streams: 0, period: MIN_PERIOD }
    }
}

impl RecentForm {
    /// Returns the form, `None` before the end of the first period.
    pub fn form(&self) -> Option<EventForm> {
        let previous = self.previous?;
        Some(self.current.map_or(previous, |current| current.widened(previous)))
    }

    /// Records a whole stream.
    pub fn record(&mut self, shown: EventForm) {
        if self.form().is_some_and(|form| form.widened(shown) != form) {
            *self = self.anew();
        }
        self.current = Some(self.current.map_or(shown, |current| current.widened(shown)));
        self.streams += 1;
        if self.streams >= self.period {
            (self.previous, self.current, self.streams) = (self.current, None, 0);
        }
    }

    /// Begins anew after a stream that may have been sound and had another form.
    pub fn anew(&self) -> RecentForm {
        let factor = if self.previous.is_some() { WIDER_FACTOR } else { 1 };
        RecentForm { period: self.period.saturating_mul(factor), ..RecentForm::default() }
    }
}
