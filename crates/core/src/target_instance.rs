//! Identifies target instances. An instance is one run of a target's process, from its start to its end.
//!
//! A target may restart under the same id. The new process has none of the old one's requests or state, so everything
//! that a daemon records about a target belongs to one instance.
//!
//! Owns: the identity and the order of a target's instances. Relies on: the platform for the start.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use crate::TargetId;

/// When a target's process started, in milliseconds since the Unix epoch on the target's clock. It orders the instances
/// of one target and is never compared with another clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetStart(pub u64);

/// One run of a target's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetInstance {
    /// The target.
    pub id: TargetId,
    /// Start of the process, `None` where the target does not report it; then the id alone identifies the instance.
    pub start: Option<TargetStart>,
}

/// Order of a stated target instance relative to the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceOrder {
    /// The stated instance is older than the known one and has terminated.
    Earlier,
    /// Both are the same instance, or a start is missing and they cannot be distinguished.
    Same,
    /// The stated instance is newer: the target has restarted.
    Later,
}

impl InstanceOrder {
    /// Compares the stated start with the known one. Where either is missing, the instances count as the same.
    pub fn compare(stated: Option<TargetStart>, known: Option<TargetStart>) -> InstanceOrder {
        match stated.zip(known).map(|(stated, known)| stated.cmp(&known)) {
            Some(Ordering::Less) => InstanceOrder::Earlier,
            Some(Ordering::Greater) => InstanceOrder::Later,
            Some(Ordering::Equal) | None => InstanceOrder::Same,
        }
    }
}
