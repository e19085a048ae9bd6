//! Checks the events of one stream against the form of its source, over all its answers.
//!
//! An event that deviates is damaged, unless other targets state the same at the same place, as many as the
//! [`AgreementRule`] requires.
//!
//! Owns: what the answers of the stream stated that deviates. Relies on: [`EventForm`] for what is expected.

use std::collections::BTreeSet;

use curlewcleat_core::EventForm;

use crate::agreement::AgreementRule;
use crate::event_fields::EventFields;
use crate::event_form::{
    field_deviation, next_number, DeviationKind, EventDeviation, FIRST_NUMBER,
};
use crate::usual_form::UsualForm;

/// Where the form comes from that the events of a stream are compared with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FormBasis {
    /// None is known, so that any event is passed on.
    #[default]
    Nothing,
    /// The usual form, since that of the source is not known.
    Usual,
    /// Streams of the source that this daemon has served.
    Learned,
    /// Streams of the source that all daemons have served.
    Fleet,
}

impl FormBasis {
    /// All of them.
    pub const ALL: [FormBasis; 4] =
        [FormBasis::Nothing, FormBasis::Usual, FormBasis::Learned, FormBasis::Fleet];

    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            FormBasis::Nothing => "nothing",
            FormBasis::Usual => "usual",
            FormBasis::Learned => "learned",
            FormBasis::Fleet => "fleet",
        }
    }
}

/// What the events of an answer are compared with.
#[derive(Clone, Copy, Debug, Default)]
pub struct FormExpectation {
    /// The form of the source's streams, `None` while it is not known.
    pub form: Option<EventForm>,
    /// Who has learned it.
    pub basis: FormBasis,
    /// How many targets have to agree on a deviation before it counts as sound.
    pub agreement: AgreementRule,
    /// Whether events are compared with the usual form while that of the source is not known.
    pub checks_usual: bool,
}

impl FormExpectation {
    /// Returns what the events of a stream are compared with.
    pub fn basis(&self) -> FormBasis {
        match self.form {
            None if self.checks_usual => FormBasis::Usual,
            _ => self.basis,
        }
    }
}

/// What the form says about an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormVerdict {
    /// It has the form, or none is known.
    Accepted,
    /// It has no number, so that it has to be the last one.
    Last,
    /// It deviates, or the one before it was not the last one.
    Deviates(DeviationKind),
    /// It deviates in what enough other targets stated as well, so the form does not hold for this stream.
    Confirmed,
}

/// A deviation that a target stated.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StatedDeviation {
    source: String,
    kind: DeviationKind,
    after: u64,
    number: Option<u64>,
}

impl StatedDeviation {
    /// Returns whether another answer stated the same.
    fn agrees_with(&self, other: &StatedDeviation) -> bool {
        let statement = |stated: &StatedDeviation| (stated.kind, stated.after, stated.number);
        statement(self) == statement(other)
    }
}

/// The form that the events of a stream have to have, and how they deviate.
#[derive(Debug, Default)]
pub struct FormCheck {
    /// `None` while no form is known, or once targets have agreed on another one.
    form: Option<EventForm>,
    /// Target of the latest answer.
    source: String,
    agreement: AgreementRule,
    /// Whether events are compared with the usual form while that of the source is not known.
    checks_usual: bool,
    usual: UsualForm,
    /// What answers stated of events that were not returned yet, one for each answer.
    stated: Vec<StatedDeviation>,
    /// First and latest number of the latest answer.
    numbers: Option<(u64, u64)>,
    has_started_over: bool,
    /// An event without a number that has to be the last one.
    unnumbered: Option<EventDeviation>,
    /// What was found and not taken yet.
    deviations: Vec<EventDeviation>,
    /// Whether an answer had a sound event in place of one that deviated, and that was not taken yet.
    has_shown_damage: bool,
}

impl FormCheck {
    /// Sets the form that the events have to have.
    pub fn expect(&mut self, form: Option<EventForm>) {
        self.form = form;
    }

    /// Sets the target of the answer that follows.
    pub fn begin(&mut self, source: &str) {
        self.source = source.to_string();
    }

    /// Sets how the answer that follows is judged, beside the form.
    pub fn judge_by(&mut self, expectation: FormExpectation) {
        self.agreement = expectation.agreement;
        self.checks_usual = expectation.checks_usual;
    }

    /// Accepts events of any form from here on.
    pub fn release(&mut self) {
        self.form = None;
        self.usual.release();
    }

    /// Checks an event; `last` is the number of the last one that was accepted.
    pub fn check(&mut self, fields: &EventFields, last: Option<u64>, event: &[u8]) -> FormVerdict {
        let usual_form = self.usual.form().filter(|_| self.checks_usual);
        let Some(form) = self.form.or(usual_form) else {
            self.record(fields, last);
            return FormVerdict::Accepted;
        };
        let kind = field_deviation(&form, fields);
        if kind.is_none() && fields.is_comment() {
            return FormVerdict::Accepted;
        }
        if let Some(deviation) = self.unnumbered.take() {
            return self.evaluate(deviation);
        }
        let kind = kind.or_else(|| self.number_deviation(fields.number?, last));
        let Some(kind) = kind else {
            self.record(fields, last);
            return FormVerdict::Accepted;
        };
        let deviation = EventDeviation::new(kind, last, fields.number, event);
        if kind == DeviationKind::NoNumber && form.may_end_unnumbered {
            self.unnumbered = Some(deviation);
            return FormVerdict::Last;
        }
        self.evaluate(deviation)
    }

    /// Checks the end of an answer to a stream of which nothing has been accepted; returns whether the stream may end.
    pub fn check_empty(&mut self) -> bool {
        if self.form.is_none() {
            return true;
        }
        let deviation = EventDeviation::new(DeviationKind::Missing, None, None, b"");
        self.evaluate(deviation) == FormVerdict::Confirmed
    }

    /// Checks the end of an answer; returns whether the stream may end after `last`.
    pub fn check_end(&mut self, last: Option<u64>) -> bool {
        let is_ended =
            self.unnumbered.is_some() || !self.form.is_some_and(|form| form.must_end_unnumbered);
        if is_ended {
            return true;
        }
        let deviation = EventDeviation::new(DeviationKind::NoEnd, last, None, b"");
        self.evaluate(deviation) == FormVerdict::Confirmed
    }

    /// Returns how a number deviates from those before it: it counts on from them, or the answer begins again, once.
    fn number_deviation(&mut self, number: u64, last: Option<u64>) -> Option<DeviationKind> {
        let Some((first, latest)) = self.numbers else {
            return match number {
                _ if number < FIRST_NUMBER => Some(DeviationKind::Fell),
                _ => (number > next_number(last)).then_some(DeviationKind::Gap),
            };
        };
        if number > latest {
            return (number - latest > 1).then_some(DeviationKind::Gap);
        }
        let starts_over = number <= first && latest > first && !self.has_started_over;
        self.has_started_over |= starts_over;
        (!starts_over).then_some(DeviationKind::Fell)
    }

    /// Records an event that has the form. It shows what was wrong with those that others stated in its place.
    fn record(&mut self, fields: &EventFields, last: Option<u64>) {
        self.usual.record(fields, last);
        let Some(number) = fields.number else { return };
        let first = self.numbers.map_or(number, |(first, _)| first);
        self.numbers = Some((first, number));
        if number == next_number(last) {
            let stated = self.stated.len();
            self.stated.retain(|stated| stated.after >= number);
            self.has_shown_damage |= self.stated.len() < stated;
        }
    }

    fn evaluate(&mut self, mut deviation: EventDeviation) -> FormVerdict {
        let EventDeviation { kind, after, number, .. } = deviation;
        self.stated.push(StatedDeviation { source: self.source.clone(), kind, after, number });
        deviation.targets = self.agreeing_targets();
        deviation.deviates_from_usual = self.form.is_none();
        deviation.is_accepted = self.agreement.is_met(deviation.targets);
        let is_accepted = deviation.is_accepted;
        self.deviations.push(deviation);
        if !is_accepted {
            return FormVerdict::Deviates(kind);
        }
        self.stated.clear();
        self.release();
        FormVerdict::Confirmed
    }

    /// Returns the number of targets that have stated what the latest answer did.
    fn agreeing_targets(&self) -> usize {
        let Some(latest) = self.stated.last() else { return 0 };
        let agreeing = self.stated.iter().filter(|stated| stated.agrees_with(latest));
        agreeing.map(|stated| &stated.source).collect::<BTreeSet<_>>().len()
    }

    /// Returns whether the latest deviation that no other target has resolved is an end.
    pub fn is_end_unresolved(&self) -> bool {
        self.stated.last().is_some_and(|stated| stated.kind == DeviationKind::NoEnd)
    }

    /// Returns whether an answer ended because of an event that deviates, and no other one has shown the right one.
    pub fn is_unresolved(&self) -> bool {
        !self.stated.is_empty()
    }

    /// Returns the events that deviate and were not returned yet.
    pub fn take_deviations(&mut self) -> Vec<EventDeviation> {
        std::mem::take(&mut self.deviations)
    }

    /// Returns, once, whether an answer had a sound event in place of one that deviated.
    pub fn take_shown_damage(&mut self) -> bool {
        std::mem::take(&mut self.has_shown_damage)
    }

    /// Prepares for another answer.
    pub fn resume(&mut self) {
        (self.numbers, self.has_started_over, self.unnumbered) = (None, false, None);
    }
}
