//! Warm-up: how much a target accepts for some time after its start.
//!
//! Owns: the form of the limit. Relies on: the platform, which states it for each pool.

use std::time::Duration;

use crate::RequestRate;

/// What the targets of a pool accept while they warm up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WarmUpLimit {
    /// Highest request rate of one target, from all daemons together.
    pub rate: RequestRate,
    /// Time that a target takes to warm up.
    pub time: Duration,
}
