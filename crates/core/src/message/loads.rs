//! Message with which a daemon forwards the stated loads of targets to the scheduler of their pools.
//!
//! Owns: the format of the message. Relies on: nothing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{PoolId, StatedLoad, TargetInstance};

/// The latest statements of the targets of a pool that the sender has received since its previous message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PoolLoads {
    /// The pool.
    pub pool: PoolId,
    /// The statements, one for each target instance.
    pub loads: Vec<LoadReport>,
}

/// The latest statement of one target instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadReport {
    /// The target instance.
    pub instance: TargetInstance,
    /// What it stated.
    pub load: StatedLoad,
    /// Time in milliseconds from the arrival of the statement to the sending of this message.
    pub age_ms: u16,
}

impl LoadReport {
    /// Builds the report of a statement with this age. No statement is believed for as long as the largest age.
    pub fn new(instance: TargetInstance, load: StatedLoad, age: Duration) -> LoadReport {
        let age_ms = u16::try_from(age.as_millis()).unwrap_or(u16::MAX);
        LoadReport { instance, load, age_ms }
    }

    /// Returns the age of the statement when the message was sent.
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }
}
