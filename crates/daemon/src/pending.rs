//! A request that the node decides about, as the task that serves it sees it.
//!
//! Owns: the decisions that were not followed yet. Relies on: the node's thread ending last.

use curlewcleat_core::{AttemptEnd, RequestId, RetryReason};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::ReplacementStep;
use tokio::sync::mpsc;

use crate::context::DaemonContext;

/// The daemon's handle on a request that the node decides about. Dropped while open, it cancels the
/// request.
pub struct PendingRequest {
    request: RequestId,
    decisions: mpsc::UnboundedReceiver<CallerDecision>,
    /// A decision that was read and is still to be followed.
    unread: Option<CallerDecision>,
    context: DaemonContext,
    /// Whether its target is stalled and another one was asked for.
    stalled: bool,
    open: bool,
}

impl PendingRequest {
    /// A request that the node has been told of.
    pub fn new(
        request: RequestId,
        decisions: mpsc::UnboundedReceiver<CallerDecision>,
        context: DaemonContext,
    ) -> PendingRequest {
        PendingRequest { request, decisions, unread: None, context, stalled: false, open: true }
    }

    /// The next decision, `None` while the process ends.
    pub async fn decision(&mut self) -> Option<CallerDecision> {
        match self.unread.take() {
            Some(decision) => Some(decision),
            None => self.decisions.recv().await,
        }
    }

    /// A decision that was read is the next one again.
    pub fn put_back(&mut self, decision: CallerDecision) {
        self.unread = Some(decision);
    }

    /// The node knows that the request has ended, or learns it from another event.
    pub fn close(mut self) {
        self.open = false;
    }

    /// Tells the node how the request ended.
    pub fn finish(self, event: NodeEvent) {
        self.context.tell(event);
        self.close();
    }

    /// The request that is decided about.
    pub fn id(&self) -> RequestId {
        self.request
    }

    /// The caller has a part of the answer.
    pub fn answer_begun(&self) {
        self.context.tell(NodeEvent::AnswerBegun(self.request));
    }

    /// Whether its target is stalled.
    pub fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// The target is stalled. A further decision follows only if another one is granted.
    pub fn target_stalled(&mut self) {
        self.stalled = true;
        self.tell_replacement(ReplacementStep::Requested);
    }

    /// The target has sent something.
    pub fn target_heard(&mut self) {
        if std::mem::take(&mut self.stalled) {
            self.tell_replacement(ReplacementStep::Withdrawn);
        }
    }

    /// The stalled target is left for the one that was granted.
    pub fn take_replacement(&mut self) {
        self.stalled = false;
        self.tell_replacement(ReplacementStep::Accepted);
    }

    /// The target that was granted is not used.
    pub fn decline_replacement(&mut self) {
        self.tell_replacement(ReplacementStep::Declined);
    }

    /// The target that was granted takes no connection; the request stays at the stalled one.
    pub fn replacement_unreachable(&mut self) {
        self.tell_replacement(ReplacementStep::Unreachable);
    }

    fn tell_replacement(&self, step: ReplacementStep) {
        self.context.tell(NodeEvent::Replacement(self.request, step));
    }

    /// Tells the node that an attempt did not run; a further decision follows.
    pub fn not_run(&mut self, end: AttemptEnd, retry: RetryReason) {
        self.stalled = false;
        self.context.tell(NodeEvent::AttemptNotRun(self.request, end, retry));
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.open {
            self.context.metrics.caller_gone();
            self.context.tell(NodeEvent::CallerDisconnected(self.request));
        }
    }
}
