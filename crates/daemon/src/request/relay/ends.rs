//! Answers that end with their connection: what their target does afterwards.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: [`LivenessQuery`] for the question to the target.

use std::time::Instant;

use curlewcleat_core::TargetEntry;
use curlewcleat_targets::BodyFrame;

use crate::request::liveness::LivenessQuery;
use crate::request::run::RequestRun;

impl RequestRun {
    /// Prepares the question to the target of an answer that ends with its connection.
    pub(super) fn prepare_end_check(&self, frame: BodyFrame, target: &TargetEntry) {
        if frame == BodyFrame::UntilClose {
            self.liveness_query(target).prepare();
        }
    }

    /// Records what the target does after the end of an answer that ends with its connection.
    pub(super) async fn observe_end(&self, frame: BodyFrame, target: &TargetEntry) {
        if frame != BodyFrame::UntilClose {
            return;
        }
        let asked = Instant::now();
        let liveness = self.liveness_query(target).ask().await;
        self.log_end_check(target, liveness, asked.elapsed());
    }

    fn liveness_query<'a>(&'a self, target: &'a TargetEntry) -> LivenessQuery<'a> {
        LivenessQuery {
            context: &self.service.context,
            protocol: self.protocol(),
            request: &self.request,
            target,
        }
    }
}
