//! What the events of an answer show about the streams of its source.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: the framing for the events of the answer, the daemon's
//! [`SharedForms`](crate::stream_forms::SharedForms).

use curlewcleat_core::{StreamSource, TargetEntry};

use crate::request::run::RequestRun;

impl RequestRun {
    /// Sets what the events of the target are compared with.
    pub(super) fn expect_form(&mut self, target: &TargetEntry) {
        let source = self.stream_source(target);
        let may_repeat = self.protocol().may_repeat(&self.request);
        let has_further_attempt = self.has_further_attempt();
        let forms = &self.service.context.forms;
        let expectation = forms.expectation(&source, may_repeat, has_further_attempt);
        // An attempt before the first event sets it anew.
        if self.form_basis.is_none() || self.framing.last_event().is_none() {
            self.form_basis = Some(expectation.basis());
        }
        self.framing.expect(expectation, &target.id);
    }

    /// Returns whether the request may be sent to a further target.
    pub(super) fn has_further_attempt(&self) -> bool {
        self.request.attempt_limit.is_some_and(|limit| self.progress.attempts < limit)
    }

    /// Logs where a continuation begins, and what is irregular about the target's events.
    pub(super) fn report_numbers(&mut self, target: &TargetEntry) {
        if self.framing.take_shown_damage() {
            let source =
                self.deviating_source.clone().unwrap_or_else(|| self.stream_source(target));
            self.service.context.forms.record_damage(&source);
        }
        for deviation in self.framing.take_deviations() {
            self.log_deviation(target, &deviation);
            let source = self.stream_source(target);
            if deviation.deviates_from_usual {
                self.service.context.forms.record_usual_deviation(&source);
            }
            self.deviating_source = Some(source);
        }
        for irregularity in self.framing.take_irregularities() {
            self.log_irregularity(target, irregularity);
        }
        if let Some(join) = self.framing.take_join() {
            self.log_join(target, join);
        }
    }

    /// Returns the source that shares the form of its events with the answers of this target.
    pub(super) fn stream_source(&self, target: &TargetEntry) -> StreamSource {
        StreamSource::new(&self.request.rule.id, &self.request.pool.id, target)
    }

    /// Records what the events of a stream looked like that its caller has whole. Other answers show no form.
    pub(super) fn record_stream_shape(&self, target: &TargetEntry) {
        if let Some(shape) = self.framing.shape() {
            let source = self.stream_source(target);
            self.service.context.forms.record_whole(&source, &target.id, shape);
        }
    }

    /// Records that the request ends unserved after an event that deviates, and no other target has shown the right one.
    pub(in crate::request) fn record_unresolved_deviation(&mut self) {
        let Some(source) = self.deviating_source.take() else { return };
        let forms = &self.service.context.forms;
        if self.framing.is_end_unresolved() {
            forms.record_cut_end(&source);
        } else if self.framing.is_unresolved() {
            forms.record_cut(&source);
        }
    }
}
