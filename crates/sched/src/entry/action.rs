//! The actions that an entry daemon's requests call for.

use curlewcleat_core::{
    KeptAnswer, KeyClaim, KeyOutcome, PermitHeld, PermitId, PermitRequest, PermitReturn, Refusal,
    RequestId, RetryReason, TargetId, VmId,
};

use crate::retry::RetryBound;

/// An action that the caller of [`EntryRequests`](super::EntryRequests) must perform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EntryAction {
    /// Send a claim to the key holder.
    ClaimKey(KeyClaim),
    /// Report to the key holder how a claimed request ended.
    ReportKey(KeyOutcome),
    /// Send a permit request to a scheduler.
    RequestPermit(VmId, PermitRequest),
    /// Return a permit, or withdraw a permit request, at the scheduler that has it.
    ReturnPermit(VmId, PermitReturn),
    /// Report a permit in use to a scheduler.
    HoldPermit(VmId, PermitHeld),
    /// Send the request to the target. Emitted once per permit.
    Dispatch {
        /// The permit of the attempt.
        permit: PermitId,
        /// The target to send the request to.
        target: TargetId,
    },
    /// Answer the caller with a refusal.
    Refuse(RequestId, Refusal),
    /// Answer the caller with the kept answer of an earlier attempt.
    Replay(RequestId, KeptAnswer),
    /// Count a retry.
    Count(RetryReason),
    /// Log that a request is not tried again, with the limit or refusal that prevents it.
    RetryDenied(RequestId, RetryBound),
}
