//! Decides from the streams of one source which form its events have.
//!
//! Load pattern: many streams of one rule at one version, of which some in a thousand are damaged by a target. One stream
//! is too short to tell a damaged event from a sound one, all of them together are not.
//!
//! Owns: what the recent streams had in common. Relies on: streams that began here and ended whole.

use curlewcleat_core::EventForm;

use crate::end_evidence::EndEvidence;
use crate::event_form::StreamShape;
use crate::recent_form::RecentForm;

/// Fewest streams that show a form. One stream may have it by chance.
const MIN_STREAMS: u32 = 8;
/// Fewest events that show a form: numbers that leave out one in three others show it by chance in no process's life.
const MIN_EVENTS: u64 = 64;
/// Events that show a form by which streams are cut that may not be repeated: no other target can show that such a stream
/// is sound.
const MIN_EVENTS_FOR_CUTS: u64 = 16 * MIN_EVENTS;
/// Factor by which more events are needed each time that targets agreed on another form.
const CONTRADICTION_FACTOR: u64 = 4;
/// Whole streams that outweigh one that was cut because it deviated.
const CUT_WEIGHT: u32 = 32;
/// The same while targets damage events: most streams that are cut were damaged then.
const CUT_WEIGHT_BESIDE_DAMAGE: u32 = 4;
/// Weight of cut streams above which the form no longer holds: more than two beside each other.
const MAX_CUT_WEIGHT: u32 = 2 * CUT_WEIGHT;

/// What the recent streams of a source had in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormEvidence {
    /// Form that covers all of them, `None` before the first one.
    form: Option<EventForm>,
    streams: u32,
    events: u64,
    /// Events that show a form.
    required_events: u64,
    cut_weight: u32,
    end: EndEvidence,
    recent: RecentForm,
}

impl Default for FormEvidence {
    fn default() -> FormEvidence {
        FormEvidence {
            form: None,
            streams: 0,
            events: 0,
            required_events: MIN_EVENTS,
            cut_weight: 0,
            end: EndEvidence::default(),
            recent: RecentForm::default(),
        }
    }
}

impl FormEvidence {
    /// Returns the form that events have, `None` while too few streams have shown one. Streams that may not be repeated
    /// need more of them.
    pub fn form(&self, may_repeat: bool) -> Option<EventForm> {
        let required = match may_repeat {
            true => self.required_events,
            false => self.required_events.max(MIN_EVENTS_FOR_CUTS),
        };
        let form = self.form.filter(|_| self.streams >= MIN_STREAMS && self.events >= required)?;
        // A stream that may not be repeated is cut where its form was forgotten, so that all streams count there.
        let form = self.recent.form().filter(|_| may_repeat).unwrap_or(form);
        Some(EventForm { must_end_unnumbered: self.end.is_known(may_repeat), ..form })
    }

    /// Returns the form of the streams so far, however few they are; `None` before the first one.
    pub fn seen_form(&self) -> Option<EventForm> {
        self.form
    }

    /// Records a stream that its caller has whole.
    pub fn record_whole(&mut self, shape: &StreamShape) {
        let Some(shown) = shape.form() else { return self.take_back() };
        self.end.record(shown.must_end_unnumbered);
        self.recent.record(EventForm { must_end_unnumbered: false, ..shown });
        self.streams = self.streams.saturating_add(1);
        self.events = self.events.saturating_add(shape.events());
        self.cut_weight = self.cut_weight.saturating_sub(1);
        self.form = Some(self.form.map_or(shown, |form| form.widened(shown)));
    }

    /// Records a stream that was cut because an event of it deviated, and no other target showed which of both is right.
    pub fn record_cut(&mut self, is_beside_damage: bool) {
        self.recent = self.recent.anew();
        self.cut_weight += if is_beside_damage { CUT_WEIGHT_BESIDE_DAMAGE } else { CUT_WEIGHT };
        if self.cut_weight > MAX_CUT_WEIGHT {
            self.take_back();
        }
    }

    /// Records a stream that was cut because it lacked the end of all others, and no other target showed whether it had
    /// one.
    pub fn record_cut_end(&mut self) {
        self.end.record(false);
    }

    /// Begins anew after a sound stream of another form.
    fn take_back(&mut self) {
        let was_known = self.form(true).is_some();
        let factor = if was_known { CONTRADICTION_FACTOR } else { 1 };
        let required_events = self.required_events.saturating_mul(factor);
        let (end, recent) = (self.end.anew(), self.recent.anew());
        *self = FormEvidence { required_events, end, recent, ..FormEvidence::default() };
    }
}
