//! Checks the events of one stream against the form of its source, over all its answers.
//!
//! Owns: what the answers of the stream stated that deviates. Relies on: [`EventForm`] for what is expected.

use crate::event_fields::EventFields;
use crate::event_form::{DeviationKind, EventDeviation, EventForm, FIRST_NUMBER};

/// The form that the events of a stream have to have, and how they deviate.
#[derive(Debug, Default)]
pub struct FormCheck {
    /// `None` while no form is known.
    form: Option<EventForm>,
    /// First and latest number of the latest answer.
    numbers: Option<(u64, u64)>,
    has_started_over: bool,
    /// An event without a number that may be the last one.
    unnumbered: Option<EventDeviation>,
    /// What was found and not taken yet, each kind once for an answer.
    deviations: Vec<EventDeviation>,
    found: Vec<DeviationKind>,
}

impl FormCheck {
    /// Sets the form that the events have to have.
    pub fn expect(&mut self, form: Option<EventForm>) {
        self.form = form;
    }

    /// Checks an event; `last` is the number of the last one that was accepted.
    pub fn check(&mut self, fields: &EventFields, last: Option<u64>, event: &[u8]) {
        let Some(form) = self.form.filter(|_| !fields.is_comment()) else { return };
        if let Some(deviation) = self.unnumbered.take() {
            self.report(deviation);
        }
        let field_kind = form.field_deviation(fields);
        let number = fields.number.filter(|_| field_kind.is_none());
        let kind = field_kind.or_else(|| self.number_deviation(number?, last));
        if let Some(number) = number {
            let first = self.numbers.map_or(number, |(first, _)| first);
            self.numbers = Some((first, number));
        }
        let Some(kind) = kind else { return };
        let deviation = EventDeviation::new(kind, last, fields.number, event);
        match kind {
            DeviationKind::NoNumber if form.may_end_unnumbered => self.unnumbered = Some(deviation),
            _ => self.report(deviation),
        }
    }

    /// Returns how a number deviates from those before it: it counts on from them, or the answer begins again, once.
    fn number_deviation(&mut self, number: u64, last: Option<u64>) -> Option<DeviationKind> {
        let Some((first, latest)) = self.numbers else {
            let next = last.map_or(FIRST_NUMBER, |last| last.saturating_add(1));
            return (number > next).then_some(DeviationKind::Gap);
        };
        if number > latest {
            return (number - latest > 1).then_some(DeviationKind::Gap);
        }
        let starts_over = number <= first && latest > first && !self.has_started_over;
        self.has_started_over |= starts_over;
        (!starts_over).then_some(DeviationKind::Fell)
    }

    fn report(&mut self, deviation: EventDeviation) {
        if !self.found.contains(&deviation.kind) {
            self.found.push(deviation.kind);
            self.deviations.push(deviation);
        }
    }

    /// Returns the events that deviate and were not returned yet, one of each kind for an answer.
    pub fn take_deviations(&mut self) -> Vec<EventDeviation> {
        std::mem::take(&mut self.deviations)
    }

    /// Prepares for another answer.
    pub fn resume(&mut self) {
        (self.numbers, self.has_started_over, self.unnumbered) = (None, false, None);
        self.found.clear();
    }
}
