//! Answers that break off: their rest is requested from the same target, or they end because of what cannot be delivered.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: the framing for the position in the answer.

use std::time::Duration;

use curlewcleat_core::{RefusalReason, RetryReason, TargetEntry};
use curlewcleat_targets::{AnswerBody, AnswerExcess};

use crate::request::attempt::report_excess;
use crate::request::run::{AttemptOutcome, RequestRun};

/// Time to connect when a stream is resumed.
const RESUME_CONNECT_LIMIT: Duration = Duration::from_secs(1);

impl RequestRun {
    /// Ends an answer of which too many bytes could not be delivered.
    pub(super) fn exceeded(
        &mut self,
        target: &TargetEntry,
        excess: AnswerExcess,
    ) -> AttemptOutcome {
        report_excess(&self.service.context, self.request.id, &target.id, excess);
        self.interrupted(RefusalReason::TargetProtocol, excess.limit.into())
    }

    /// Requests the rest of an interrupted answer from the same target, which does not run the request again.
    pub(super) async fn resume(
        &mut self,
        target: &TargetEntry,
        limit: Duration,
    ) -> Option<AnswerBody> {
        let connections = self.protocol().connections(&self.request.pool);
        while let Some(head) = self.framing.resume_request() {
            self.service.context.metrics.count_retry(RetryReason::StreamResumed);
            let request = Some(self.request.id);
            let exchange = async {
                let connection =
                    connections.connect_to(target, RESUME_CONNECT_LIMIT, request).await;
                connection?.exchange(head, ()).await
            };
            match tokio::time::timeout(limit, exchange).await {
                Ok(Ok(answer)) if answer.head.status.is_success() => {
                    self.progress.record_frame(answer.body.frame());
                    return Some(answer.body);
                }
                // Each failure counts as one resumption, and the framing limits their number.
                _ => {}
            }
        }
        None
    }
}
