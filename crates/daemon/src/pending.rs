//! A request at the node, for the task that serves the caller: receives the node's decisions and reports events.
//!
//! Owns: the decisions that the task has not yet carried out. Relies on: the node's thread ending last.

use curlewcleat_core::{AttemptEnd, RequestId, RetryReason};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::{AnswerEnd, ReplacementStep};
use tokio::sync::mpsc;

use crate::context::DaemonContext;

/// Handle of a request that the node schedules. Dropping it while it is open cancels the request.
pub struct PendingRequest {
    request: RequestId,
    decisions: mpsc::UnboundedReceiver<CallerDecision>,
    /// A decision that was received and put back, to be returned next.
    put_back: Option<CallerDecision>,
    context: DaemonContext,
    /// Whether the target is stalled and a replacement was requested.
    stalled: bool,
    open: bool,
}

impl PendingRequest {
    /// Creates the handle of a request that was passed to the node.
    pub fn new(
        request: RequestId,
        decisions: mpsc::UnboundedReceiver<CallerDecision>,
        context: DaemonContext,
    ) -> PendingRequest {
        PendingRequest { request, decisions, put_back: None, context, stalled: false, open: true }
    }

    /// Waits for the next decision; returns `None` while the process is ending.
    pub async fn decision(&mut self) -> Option<CallerDecision> {
        match self.put_back.take() {
            Some(decision) => Some(decision),
            None => self.decisions.recv().await,
        }
    }

    /// Puts a received decision back, so that it is returned next.
    pub fn put_back(&mut self, decision: CallerDecision) {
        self.put_back = Some(decision);
    }

    /// Closes the handle without cancelling the request: the node knows that it has ended, or learns it from another
    /// event.
    pub fn close(mut self) {
        self.open = false;
    }

    /// Reports to the node how the request ended.
    pub fn finish(self, event: NodeEvent) {
        self.context.send_event(event);
        self.close();
    }

    /// Returns the id of the request.
    pub fn id(&self) -> RequestId {
        self.request
    }

    /// Reports to the node that the caller has received a part of the answer.
    pub fn answer_begun(&self) {
        self.context.send_event(NodeEvent::AnswerBegun(self.request));
    }

    /// Returns whether the target is stalled.
    pub fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// Reports a stalled target and requests a replacement. A further decision follows only if one is granted.
    pub fn target_stalled(&mut self) {
        self.stalled = true;
        self.report_replacement(ReplacementStep::Requested);
    }

    /// Requests another target that confirms the end of the answer, which the target that has the request has ended. A
    /// further decision follows only if one is granted.
    pub fn confirm_end(&self, end: AnswerEnd) {
        self.report_replacement(ReplacementStep::ConfirmationRequested(end));
    }

    /// Withdraws the request for a replacement, if there is one: the target has sent something.
    pub fn target_resumed(&mut self) {
        if std::mem::take(&mut self.stalled) {
            self.report_replacement(ReplacementStep::Withdrawn);
        }
    }

    /// Reports that the granted replacement is used instead of the former target.
    pub fn accept_replacement(&mut self) {
        self.stalled = false;
        self.report_replacement(ReplacementStep::Accepted);
    }

    /// Reports that the granted replacement is not used.
    pub fn decline_replacement(&mut self) {
        self.report_replacement(ReplacementStep::Declined);
    }

    /// Reports that the granted replacement cannot be connected to; the request stays at the stalled target.
    pub fn replacement_unreachable(&mut self) {
        self.report_replacement(ReplacementStep::Unreachable);
    }

    fn report_replacement(&self, step: ReplacementStep) {
        self.context.send_event(NodeEvent::Replacement(self.request, step));
    }

    /// Reports to the node that an attempt did not run; a further decision follows.
    pub fn attempt_not_run(&mut self, end: AttemptEnd, retry: RetryReason) {
        self.stalled = false;
        self.context.send_event(NodeEvent::AttemptNotRun(self.request, end, retry));
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.open {
            self.context.metrics.count_caller_disconnected();
            self.context.send_event(NodeEvent::CallerDisconnected(self.request));
        }
    }
}
