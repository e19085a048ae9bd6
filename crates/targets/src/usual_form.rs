//! The form that is expected of one stream where that of its source is not known: its events count on from one, or from where
//! it is taken up, and each has data.
//!
//! Load pattern: targets that damage answers while a daemon has just started, or a version of the targets is new.
//!
//! Owns: whether the events so far had that form. Relies on: [`EventForm`] for how others deviate.

use curlewcleat_core::EventForm;

use crate::event_fields::EventFields;
use crate::event_form::next_number;

/// What is expected of events beside numbers that count on. An event without a number is not held back for what follows on it:
/// its target may pause behind it.
const FORM: EventForm = EventForm {
    min_data_lines: 1,
    max_data_lines: 1,
    may_end_unnumbered: false,
    must_end_unnumbered: false,
    must_have_type: false,
    may_have_ignored_lines: true,
};

/// The form of one stream.
#[derive(Debug, Default)]
pub struct UsualForm {
    is_irregular: bool,
}

impl UsualForm {
    /// Records an event that was accepted behind the one with the number `last`.
    pub fn record(&mut self, fields: &EventFields, last: Option<u64>) {
        let is_repeated = fields.number.is_some() && fields.number <= last;
        if fields.is_comment() || is_repeated {
            return;
        }
        let counts_on = fields.number == Some(next_number(last));
        self.is_irregular |= fields.ids != 1 || !counts_on || !fields.has_data();
    }

    /// Forgets the form: events of any form may follow.
    pub fn release(&mut self) {
        self.is_irregular = true;
    }

    /// Returns what further events have to look like, `None` once one has deviated.
    pub fn form(&self) -> Option<EventForm> {
        (!self.is_irregular).then_some(FORM)
    }
}

/// How often streams of a source whose form is not known may be compared with the usual one.
///
/// A sound source whose streams do not count from one throughout pays for each deviation with another attempt, so that only a
/// few are open at a time, and none behind a whole stream that did not.
#[derive(Clone, Copy, Debug)]
pub struct UsualFormChecks {
    remaining: u32,
    is_irregular: bool,
}

/// Deviations that may be open at a time.
const MAX_OPEN: u32 = 2;

impl Default for UsualFormChecks {
    fn default() -> UsualFormChecks {
        UsualFormChecks { remaining: MAX_OPEN, is_irregular: false }
    }
}

impl UsualFormChecks {
    /// Returns whether a stream may be compared with the usual form.
    pub fn are_allowed(&self) -> bool {
        self.remaining > 0 && !self.is_irregular
    }

    /// Records an event that deviated.
    pub fn record_deviation(&mut self) {
        self.remaining = self.remaining.saturating_sub(1);
    }

    /// Records that another target had a sound event in place of one that deviated.
    pub fn record_damage(&mut self) {
        self.remaining = MAX_OPEN.min(self.remaining + 1);
    }

    /// Records a whole stream, and whether its events counted on throughout.
    pub fn record_whole(&mut self, is_regular: bool) {
        self.is_irregular = !is_regular;
        self.remaining = MAX_OPEN.min(self.remaining + 1);
    }
}
