//! Whether a daemon uses the form that the fleet knows of a source, beside the streams that it has cut by it.
//!
//! Load pattern: targets that damage an answer in twelve for some seconds, and sound streams of a form that the other daemons
//! have not seen. The former must not end all comparisons, the latter must not be cut for long.
//!
//! Owns: the weight of the cut streams of one source. Relies on: the daemons that add up the streams of all, which withdraw a
//! form that several daemons cut most streams by.

use curlewcleat_core::EventForm;

/// Whole streams that outweigh one that was cut.
const CUT_WEIGHT: u32 = 8;
/// Weight of cut streams above which the form is not used here.
const MAX_CUT_WEIGHT: u32 = 8 * CUT_WEIGHT;
/// Whole streams after which a form is used again that was not.
const FIRST_TERM: u32 = 64;
/// Factor by which that number grows each time.
const TERM_FACTOR: u32 = 4;

/// Trust of a daemon in the form that the fleet knows.
#[derive(Clone, Copy, Debug)]
pub struct FleetTrust {
    cut_weight: u32,
    /// The form that is not used, and the whole streams until it is.
    rejected: Option<(EventForm, u32)>,
    term: u32,
}

impl Default for FleetTrust {
    fn default() -> FleetTrust {
        FleetTrust { cut_weight: 0, rejected: None, term: FIRST_TERM }
    }
}

impl FleetTrust {
    /// Returns whether a form is used.
    pub fn allows(&self, form: &EventForm) -> bool {
        self.rejected.is_none_or(|(rejected, _)| rejected != *form)
    }

    /// Records a whole stream.
    pub fn record_whole(&mut self) {
        self.cut_weight = self.cut_weight.saturating_sub(1);
        let remaining = self.rejected.map(|(form, remaining)| (form, remaining.saturating_sub(1)));
        self.rejected = remaining.filter(|(_, remaining)| *remaining > 0);
    }

    /// Records a stream that was cut, while this form was known.
    pub fn record_cut(&mut self, known: Option<EventForm>) {
        let Some(form) = known else { return };
        self.cut_weight = self.cut_weight.saturating_add(CUT_WEIGHT);
        if self.cut_weight > MAX_CUT_WEIGHT {
            self.cut_weight = 0;
            self.rejected = Some((form, self.term));
            self.term = self.term.saturating_mul(TERM_FACTOR);
        }
    }
}
