//! Target lists with the start of each target instance.
//!
//! The wire format of [`DiscoveredTarget`] has no start and cannot gain a field, because the
//! codec is positional. The starts are therefore sent as a separate list.
//!
//! Owns: the format of these messages. Relies on: nothing.

use serde::{Deserialize, Serialize};

use super::{TargetsContent, TargetsPush};
use crate::{DiscoveredTarget, TargetChange, TargetStart};

/// A [`TargetsPush`] with the starts of its targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetInstancesPush {
    /// The targets, without their starts.
    push: TargetsPush,
    /// Start of each listed target, in the order of the push; `None` where a target reports none.
    starts: Vec<Option<TargetStart>>,
}

impl TargetInstancesPush {
    /// Splits a push into the targets and their starts for sending.
    pub fn new(mut push: TargetsPush) -> TargetInstancesPush {
        let starts = listed_targets(&mut push).map(|target| target.entry.start.take()).collect();
        TargetInstancesPush { push, starts }
    }

    /// Returns the push with the starts restored. Targets beyond the end of the list of starts get none.
    pub fn into_push(self) -> TargetsPush {
        let mut push = self.push;
        for (target, start) in listed_targets(&mut push).zip(self.starts) {
            target.entry.start = start;
        }
        push
    }
}

/// Returns the listed targets of a push in order, without the removed ones.
pub(super) fn listed_targets(
    push: &mut TargetsPush,
) -> Box<dyn Iterator<Item = &mut DiscoveredTarget> + '_> {
    match &mut push.content {
        TargetsContent::All(targets) => Box::new(targets.iter_mut()),
        TargetsContent::Since(_, changes) => {
            Box::new(changes.iter_mut().filter_map(|change| match change {
                TargetChange::Present(target) => Some(target),
                TargetChange::Gone(_) => None,
            }))
        }
    }
}
