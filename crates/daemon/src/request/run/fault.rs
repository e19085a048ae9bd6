//! Decides whether a failed attempt says anything about its target, or only about this daemon's link to it, and reports
//! it accordingly.
//!
//! A daemon that has lost its links fails at every target. If these failures counted against the targets, it would get
//! targets ejected for all daemons, and a version under rollout or a request would be blamed for them.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: [`SharedReach`](crate::target_reach::SharedReach) for
//! the lost links.

use curlewcleat_core::{
    AttemptEnd, RefusalReason, RequestFeature, RequestInterruption, RetryReason, TargetEntry,
};
use curlewcleat_node::NodeEvent;
use curlewcleat_sched::TargetRoute;

use super::RequestRun;
use crate::pending::PendingRequest;
use crate::request::cause::AttemptCause;

/// Whose fault a failed attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFault {
    /// The target's, or the request's.
    Target,
    /// That of this daemon's link to the target, or of the peer that relays the connection.
    Link,
}

impl AttemptFault {
    /// Returns the result that is reported to the scheduler for an attempt with this result of its own.
    pub fn reported_end(self, end: AttemptEnd) -> AttemptEnd {
        match self {
            AttemptFault::Target => end,
            AttemptFault::Link => AttemptEnd::Unused,
        }
    }
}

impl RequestRun {
    /// Logs a failed attempt and reports to the node what interrupted it; returns whose fault that was.
    pub(super) fn record_failed_attempt(
        &self,
        target: &TargetEntry,
        reason: &str,
        cause: AttemptCause,
    ) -> AttemptFault {
        self.log_failed_attempt(&target.id, reason, cause);
        let fault = self.fault_of(target, cause);
        self.report_interruption(target, cause, fault);
        self.record_break(cause, fault);
        fault
    }

    /// Leaves a target for another one that was granted. One whose end the other one confirms has not failed.
    pub(super) fn leave_target(&mut self, target: &TargetEntry, cause: AttemptCause) {
        if self.settled.is_none() {
            self.record_failed_attempt(target, RetryReason::StreamResumed.code(), cause);
        }
        self.framing.restart();
    }

    /// Refuses a request after its last attempt.
    pub(super) fn give_up(
        &mut self,
        target: &TargetEntry,
        end: AttemptEnd,
        reason: RefusalReason,
        cause: AttemptCause,
    ) {
        let fault = self.record_failed_attempt(target, reason.code(), cause);
        self.report_end(fault.reported_end(end));
        self.refuse(reason);
    }

    /// Returns whether the latest attempt goes through a peer, or over a link that is lost.
    pub(super) fn is_over_lost_link(&self) -> bool {
        let reach = &self.service.context.reach;
        let address = self.progress.address.as_ref();
        self.progress.is_relayed()
            || address.is_some_and(|address| reach.route(address) == TargetRoute::Peer)
    }

    /// Returns whose fault the failure of the latest attempt is.
    pub(super) fn fault_of(&self, target: &TargetEntry, cause: AttemptCause) -> AttemptFault {
        let context = &self.service.context;
        let is_link_fault = match cause {
            AttemptCause::Closed if !self.progress.is_relayed() => {
                context.reach.broke(context.uptime(), &target.address)
            }
            AttemptCause::ConnectFailed
            | AttemptCause::Closed
            | AttemptCause::HeadTimeout
            | AttemptCause::PartTimeout => self.is_over_lost_link(),
            _ => false,
        };
        match is_link_fault {
            true => AttemptFault::Link,
            false => AttemptFault::Target,
        }
    }

    /// Reports an interrupted attempt to the node: the request may be what terminated its target.
    pub(super) fn report_interruption(
        &self,
        target: &TargetEntry,
        cause: AttemptCause,
        fault: AttemptFault,
    ) {
        if fault == AttemptFault::Link {
            return;
        }
        self.report_observations(target, cause.answer_observation());
        let Some(kind) = cause.interruption_kind() else { return };
        let features = self.interrupted_features();
        if !features.is_empty() {
            let begun = self.progress.attempt_parts() > 0;
            let interruption = RequestInterruption { instance: target.instance(), kind, begun };
            self.service.context.send_event(NodeEvent::RequestInterrupted(features, interruption));
        }
    }

    /// Records that the target broke off its answer, after which ends that prove little are doubted in its pool.
    pub(super) fn record_break(&self, cause: AttemptCause, fault: AttemptFault) {
        let is_broken_off = cause.is_broken_off() && self.progress.frame().is_some();
        if is_broken_off && fault == AttemptFault::Target {
            let context = &self.service.context;
            context.breaks.record(context.uptime(), &self.request.pool.id);
        }
    }

    /// Returns the features that may be why the target of the latest attempt terminated: the whole request, and the
    /// parts of its prompt unless the target had begun the answer and gone on with it.
    fn interrupted_features(&self) -> Vec<RequestFeature> {
        let whole = self.request.digest.map(RequestFeature::from);
        let parts = match self.progress.is_established() {
            true => &[][..],
            false => &self.request.part_features,
        };
        whole.into_iter().chain(parts.iter().copied()).collect()
    }

    /// Returns what is reported to the scheduler about the target that still runs the request at its deadline.
    pub(super) fn attempt_end_at_deadline(&self) -> AttemptEnd {
        let is_stalled = self.pending.as_ref().is_some_and(PendingRequest::is_stalled);
        match is_stalled && !self.is_over_lost_link() {
            true => AttemptEnd::Failed,
            false => AttemptEnd::Unused,
        }
    }
}
