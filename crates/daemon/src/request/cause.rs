//! Why an attempt ended without an answer for its caller.
//!
//! Owns: the codes, which stand in log lines and are stable. Relies on: nothing.

use curlewcleat_core::{AnswerObservation, AttemptEnd, InterruptionKind};
use curlewcleat_sched::GateStop;

/// Why an attempt ended without an answer for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCause {
    /// No connection stood within its limit, or the target refused it.
    ConnectFailed,
    /// The target said that it did not start the request.
    NotStarted,
    /// The head of the answer did not come within its limit.
    HeadTimeout,
    /// The next part of the answer did not come within its limit.
    PartTimeout,
    /// The target ended the connection before the end of its answer.
    Closed,
    /// The answer could not be read, or belongs to another request.
    Unreadable,
    /// The target answered that it failed.
    Failed,
    /// The body that the caller sent is at fault.
    CallerBody,
    /// The target did not start the request, and asked for rest.
    AskedForRest,
    /// Nothing was sent: the target has said that it leaves.
    TargetLeaving,
    /// Nothing was sent: the target has asked this daemon for rest.
    TargetResting,
    /// Nothing was sent: as many requests have gone to the target as it takes.
    TargetLimited,
}

impl AttemptCause {
    /// How the request broke off at its target, `None` where that says nothing of the target's end.
    pub fn break_kind(self) -> Option<InterruptionKind> {
        match self {
            AttemptCause::Closed => Some(InterruptionKind::Closed),
            AttemptCause::HeadTimeout | AttemptCause::PartTimeout => {
                Some(InterruptionKind::Stalled)
            }
            AttemptCause::ConnectFailed
            | AttemptCause::NotStarted
            | AttemptCause::Unreadable
            | AttemptCause::Failed
            | AttemptCause::CallerBody
            | AttemptCause::AskedForRest
            | AttemptCause::TargetLeaving
            | AttemptCause::TargetResting
            | AttemptCause::TargetLimited => None,
        }
    }

    /// What it says of the target's version, `None` where the target had no part in it or said that nothing ran.
    pub fn answer_sight(self) -> Option<AnswerObservation> {
        match self {
            AttemptCause::Failed => Some(AnswerObservation::Failed),
            AttemptCause::HeadTimeout
            | AttemptCause::PartTimeout
            | AttemptCause::Closed
            | AttemptCause::Unreadable => Some(AnswerObservation::Broken),
            AttemptCause::ConnectFailed
            | AttemptCause::NotStarted
            | AttemptCause::CallerBody
            | AttemptCause::AskedForRest
            | AttemptCause::TargetLeaving
            | AttemptCause::TargetResting
            | AttemptCause::TargetLimited => None,
        }
    }

    /// What the scheduler learns of the target. One that says that it takes no more has not failed; of that the scheduler
    /// learns by what the target says.
    pub fn attempt_end(self) -> AttemptEnd {
        match self {
            AttemptCause::AskedForRest
            | AttemptCause::TargetLeaving
            | AttemptCause::TargetResting
            | AttemptCause::TargetLimited => AttemptEnd::Unused,
            _ => AttemptEnd::Failed,
        }
    }

    /// The code used in logs.
    pub fn code(self) -> &'static str {
        match self {
            AttemptCause::ConnectFailed => "connect_failed",
            AttemptCause::NotStarted => "not_started",
            AttemptCause::HeadTimeout => "head_timeout",
            AttemptCause::PartTimeout => "part_timeout",
            AttemptCause::Closed => "closed",
            AttemptCause::Unreadable => "unreadable",
            AttemptCause::Failed => "failed",
            AttemptCause::CallerBody => "caller_body",
            AttemptCause::AskedForRest => "asked_for_rest",
            AttemptCause::TargetLeaving => "target_leaving",
            AttemptCause::TargetResting => "target_resting",
            AttemptCause::TargetLimited => "target_limited",
        }
    }
}

impl From<GateStop> for AttemptCause {
    fn from(stop: GateStop) -> AttemptCause {
        match stop {
            GateStop::Leaving => AttemptCause::TargetLeaving,
            GateStop::Resting => AttemptCause::TargetResting,
            GateStop::Limited => AttemptCause::TargetLimited,
        }
    }
}
