//! What a scheduler keeps of a permit in use.
//!
//! Owns: [`PermitRecord`]. Relies on: nothing.

use std::time::Duration;

use curlewcleat_core::{DaemonId, TargetInstance, Uptime, WorkMicros};

/// A permit in use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PermitRecord {
    /// The entry daemon that uses it.
    pub entry: DaemonId,
    /// The target instance for which it was granted.
    pub target: TargetInstance,
    /// Estimated work at normal speed, without the prompt if its prefix was cached.
    pub expected: WorkMicros,
    /// Prompt work as estimated by the entry daemon.
    pub prompt_work: WorkMicros,
    /// Other work as estimated by the entry daemon.
    pub output_work: WorkMicros,
    /// Time that the target needed for earlier prompts when the permit was granted.
    pub backlog: Duration,
    /// When it was granted or last confirmed.
    pub confirmed: Uptime,
    /// Whether its target stalled, so that its request requested another one; this was counted as a failure.
    pub stalled: bool,
}
