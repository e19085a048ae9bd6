//! Holds the permits that are granted while this daemon does not know whether data centres were evacuated.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: [`EvacuationProof`](crate::evacuation_proof) for when permits
//! are held, and for the end of the wait.

use curlewcleat_core::{PermitId, TargetId};

use super::Node;
use crate::event::{NodeAction, PlatformCall};
use crate::freshness::ReadRole;

/// A permit that is used once the evacuated data centres are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeldGrant {
    permit: PermitId,
    target: TargetId,
}

impl Node {
    /// Requests the evacuated data centres if they are not known well enough after a standstill.
    pub(super) fn review_evacuations(&mut self) {
        if self.evacuation_proof.stood_still(self.now) && self.read_role != ReadRole::Idle {
            self.actions.push(NodeAction::Platform(PlatformCall::ReadEvacuations));
        }
    }

    /// Returns whether a granted permit is held, and holds it.
    pub(super) fn hold_grant(&mut self, permit: PermitId, target: &str) -> bool {
        let is_awaited = self.evacuation_proof.is_awaited(self.now);
        if is_awaited {
            self.held_grants.push(HeldGrant { permit, target: target.to_string() });
        }
        is_awaited
    }

    /// Uses the held permits if the evacuated data centres are known or the wait for them has ended.
    pub(super) fn release_held_grants(&mut self) {
        if !self.evacuation_proof.is_awaited(self.now) {
            self.step_held_grants();
        }
    }

    /// Refuses requests whose deadlines have passed while their permits were held, and uses the other permits if none is
    /// held any longer.
    pub(super) fn step_held_grants(&mut self) {
        for grant in std::mem::take(&mut self.held_grants) {
            if !self.entry.uses_permit(&grant.permit) {
                continue;
            }
            if self.entry.is_deadline_passed(self.now, grant.permit.request) {
                let actions = self.entry.deadline_passed(grant.permit.request);
                self.perform(actions);
                continue;
            }
            self.dispatch(grant.permit, &grant.target);
        }
    }
}
