//! Converts times to work, and adds the margin with which estimates are compared with deadlines.
//!
//! Owns: the margin. Relies on: nothing.

use std::time::Duration;

use curlewcleat_core::WorkMicros;

/// Percentage of an estimate that is compared with a deadline.
const ESTIMATE_PERCENT: u64 = 125;

/// Returns a duration in microseconds, saturating at the maximum.
pub(crate) fn micros(time: Duration) -> WorkMicros {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns an estimate with a margin for its error.
pub(crate) fn with_margin(estimate: WorkMicros) -> WorkMicros {
    estimate * ESTIMATE_PERCENT / 100
}
