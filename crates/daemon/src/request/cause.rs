//! Lists the causes for which an attempt ends without an answer for its caller.
//!
//! Owns: the codes in log lines, which are stable. Relies on: nothing.

use curlewcleat_core::{AnswerObservation, AttemptEnd, InterruptionKind};
use curlewcleat_sched::GateStop;
use curlewcleat_targets::ExcessLimit;

/// Why an attempt ended without an answer for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCause {
    /// No connection was established within the limit, or the target refused it.
    ConnectFailed,
    /// The target reported that it did not start the request.
    NotStarted,
    /// The head of the answer did not arrive within its limit.
    HeadTimeout,
    /// The next part of the answer did not arrive within its limit.
    PartTimeout,
    /// The target closed the connection before the end of its answer, or terminated at the end of an unframed one.
    Closed,
    /// The answer ended with its connection, and nothing proves that it is whole: its target does not respond afterwards or may not be asked,
    /// another target has to confirm it, or it continues an answer whose caller expects a last chunk.
    EndUnproven,
    /// The target left out events of the stream, or numbered them wrongly.
    Misplaced,
    /// The target sent too many bytes that could not be delivered.
    Excess,
    /// This daemon had no memory left for the answer, because of other targets or of callers.
    NoMemory,
    /// The answer could not be read, or belongs to another request.
    Unreadable,
    /// The target answered with a server error.
    Failed,
    /// The caller's body was too long or incomplete.
    CallerBody,
    /// The target did not start the request and requested a rest.
    RestRequested,
    /// Nothing was sent: the data centre of the target is evacuated.
    TargetEvacuated,
    /// Nothing was sent: the target has reported that it is leaving.
    TargetLeaving,
    /// Nothing was sent: the target has requested a rest from this daemon.
    TargetResting,
    /// Nothing was sent: the target's request limit is reached.
    TargetLimited,
    /// Nothing was sent: the target has another version than the one that began the answer.
    OtherVersion,
    /// Nothing was sent: the target may terminate if it has to turn away another request.
    TargetBrittle,
}

impl AttemptCause {
    /// Returns how the request was interrupted, `None` where the cause gives no reason to suspect that the request
    /// terminated its target.
    pub fn interruption_kind(self) -> Option<InterruptionKind> {
        match self {
            AttemptCause::Closed => Some(InterruptionKind::Closed),
            AttemptCause::HeadTimeout | AttemptCause::PartTimeout => {
                Some(InterruptionKind::Stalled)
            }
            AttemptCause::ConnectFailed
            | AttemptCause::NotStarted
            | AttemptCause::EndUnproven
            | AttemptCause::Misplaced
            | AttemptCause::Excess
            | AttemptCause::NoMemory
            | AttemptCause::Unreadable
            | AttemptCause::Failed
            | AttemptCause::CallerBody
            | AttemptCause::RestRequested
            | AttemptCause::TargetEvacuated
            | AttemptCause::TargetLeaving
            | AttemptCause::TargetResting
            | AttemptCause::TargetLimited
            | AttemptCause::OtherVersion
            | AttemptCause::TargetBrittle => None,
        }
    }

    /// Returns whether the target broke off the answer, if it had begun it.
    pub fn is_broken_off(self) -> bool {
        matches!(self, AttemptCause::Closed | AttemptCause::Misplaced | AttemptCause::Unreadable)
    }

    /// Returns the observation about the target's version, `None` where the target did not cause the failure or
    /// reported that nothing ran.
    pub fn answer_observation(self) -> Option<AnswerObservation> {
        match self {
            AttemptCause::Failed => Some(AnswerObservation::Failed),
            AttemptCause::HeadTimeout
            | AttemptCause::PartTimeout
            | AttemptCause::Closed
            | AttemptCause::Misplaced
            | AttemptCause::Excess
            | AttemptCause::Unreadable => Some(AnswerObservation::Broken),
            AttemptCause::ConnectFailed
            | AttemptCause::NotStarted
            | AttemptCause::EndUnproven
            | AttemptCause::NoMemory
            | AttemptCause::CallerBody
            | AttemptCause::RestRequested
            | AttemptCause::TargetEvacuated
            | AttemptCause::TargetLeaving
            | AttemptCause::TargetResting
            | AttemptCause::TargetLimited
            | AttemptCause::OtherVersion
            | AttemptCause::TargetBrittle => None,
        }
    }

    /// Returns the result that is reported to the scheduler. A target that accepts no more requests has not failed;
    /// the scheduler learns of it from the target's notices.
    pub fn attempt_end(self) -> AttemptEnd {
        match self {
            AttemptCause::EndUnproven
            | AttemptCause::NoMemory
            | AttemptCause::RestRequested
            | AttemptCause::TargetEvacuated
            | AttemptCause::TargetLeaving
            | AttemptCause::TargetResting
            | AttemptCause::TargetLimited
            | AttemptCause::OtherVersion
            | AttemptCause::TargetBrittle => AttemptEnd::Unused,
            _ => AttemptEnd::Failed,
        }
    }

    /// Returns the code for log lines.
    pub fn code(self) -> &'static str {
        match self {
            AttemptCause::ConnectFailed => "connect_failed",
            AttemptCause::NotStarted => "not_started",
            AttemptCause::HeadTimeout => "head_timeout",
            AttemptCause::PartTimeout => "part_timeout",
            AttemptCause::Closed => "closed",
            AttemptCause::EndUnproven => "end_unproven",
            AttemptCause::Misplaced => "misplaced",
            AttemptCause::Excess => "excess",
            AttemptCause::NoMemory => "no_memory",
            AttemptCause::Unreadable => "unreadable",
            AttemptCause::Failed => "failed",
            AttemptCause::CallerBody => "caller_body",
            AttemptCause::RestRequested => "asked_for_rest",
            AttemptCause::TargetEvacuated => "target_evacuated",
            AttemptCause::TargetLeaving => "target_leaving",
            AttemptCause::TargetResting => "target_resting",
            AttemptCause::TargetLimited => "target_limited",
            AttemptCause::OtherVersion => "other_version",
            AttemptCause::TargetBrittle => "target_brittle",
        }
    }
}

impl From<ExcessLimit> for AttemptCause {
    fn from(limit: ExcessLimit) -> AttemptCause {
        match limit {
            ExcessLimit::Size | ExcessLimit::Share => AttemptCause::Excess,
            ExcessLimit::Memory => AttemptCause::NoMemory,
        }
    }
}

impl From<GateStop> for AttemptCause {
    fn from(stop: GateStop) -> AttemptCause {
        match stop {
            GateStop::Evacuated => AttemptCause::TargetEvacuated,
            GateStop::Leaving => AttemptCause::TargetLeaving,
            GateStop::Resting => AttemptCause::TargetResting,
            GateStop::Limited => AttemptCause::TargetLimited,
            GateStop::Brittle => AttemptCause::TargetBrittle,
        }
    }
}
