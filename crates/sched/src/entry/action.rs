//! What an entry wants done.

use curlewcleat_core::{
    KeptAnswer, KeyClaim, KeyOutcome, PermitHeld, PermitId, PermitRequest, PermitReturn, Refusal,
    RequestId, RetryReason, TargetId, VmId,
};

use crate::retry::RetryBound;

/// What an entry wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EntryAction {
    /// Send a claim to the holder of the key.
    ClaimKey(KeyClaim),
    /// Tell the holder of the key how a claimed request ended.
    ReportKey(KeyOutcome),
    /// Send a permit request to a scheduler.
    RequestPermit(VmId, PermitRequest),
    /// Send a permit or a permit request back to the scheduler that has it.
    ReturnPermit(VmId, PermitReturn),
    /// Tell a scheduler of a permit in use.
    HoldPermit(VmId, PermitHeld),
    /// Send the request to the target. Given once per permit.
    Dispatch {
        /// The attempt.
        permit: PermitId,
        /// Where to.
        target: TargetId,
    },
    /// Answer the caller with a refusal.
    Refuse(RequestId, Refusal),
    /// Answer the caller with the kept answer of an earlier attempt.
    Replay(RequestId, KeptAnswer),
    /// Count a retry.
    Count(RetryReason),
    /// Note that a request is not tried again, and what keeps it from that.
    RetryDenied(RequestId, RetryBound),
}
