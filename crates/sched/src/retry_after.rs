//! Computes when a refused caller should retry: the `Retry-After` of a refusal.
//!
//! Inputs: the estimated wait and the time remaining until the deadline, both durations, and the permit,
//! whose random id spreads the retries. The rule: not before the wait is over; spread over
//! [`SPREAD_PERCENT`] of the remaining time, so that callers that are refused together do not retry
//! together; never later than [`MAX_WAIT_PERCENT`] of the remaining time, after which a retry is of no use. If
//! nothing is known of the cause, [`DEFAULT_RETRY_AFTER`].
//!
//! Owns: every bound of a `Retry-After` in this crate; no state.

use std::time::Duration;

use curlewcleat_core::PermitId;

use crate::returns::SLICE;

/// Shortest `Retry-After`: a few round trips.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest `Retry-After`.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// The `Retry-After` if no better one is known, and the shortest for a pool without capacity.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Percentage of the remaining time over which retries are spread.
const SPREAD_PERCENT: u32 = 25;
/// Percentage of the remaining time after which a retry is of no use.
const MAX_WAIT_PERCENT: u32 = 30;
/// Number of steps over which retries are spread: finer than a millisecond at the callers' deadlines.
const SPREAD_STEPS: u32 = 1_024;

/// Returns when to retry: not before `wait`, spread over a fraction of the remaining time.
pub fn spread_retry_after(permit: PermitId, wait: Duration, time_left: Duration) -> Duration {
    let spread = time_left / 100 * SPREAD_PERCENT / SPREAD_STEPS * spread_step(permit);
    (wait + spread).clamp(MIN_RETRY_AFTER, latest_return(time_left))
}

/// Returns the latest time from now at which a request is advised to return.
pub fn latest_return(time_left: Duration) -> Duration {
    (time_left / 100 * MAX_WAIT_PERCENT).max(MIN_RETRY_AFTER)
}

/// Returns when to return in a slice that begins after `start`, so that the returns of one slice do not come together.
pub fn spread_return(permit: PermitId, start: Duration) -> Duration {
    (start + SLICE / SPREAD_STEPS * spread_step(permit)).max(MIN_RETRY_AFTER)
}

/// Returns a step of the spread, drawn from the permit's random id.
fn spread_step(permit: PermitId) -> u32 {
    (permit.request.as_u128() % u128::from(SPREAD_STEPS)) as u32
}

/// Returns when to retry a request whose account has used up its rate for `wait`: spread over as long again,
/// so that a caller whose wait is short can still be in time. Load pattern: a fleet that restarts with empty buckets,
/// whose accounts may send again after tens of milliseconds. With a spread over a quarter of the remaining time, the
/// requests of a day that ends in this way earned .880 of their credit instead of .885.
pub fn rate_retry_after(permit: PermitId, wait: Duration, time_left: Duration) -> Duration {
    spread_retry_after(permit, wait, time_left).clamp(wait, wait * 2)
}

/// Returns when to retry a request all of whose targets have requested a rest, the shortest for `rest`: spread over a
/// quarter of that, so that callers that wait for the same target do not retry together. Load pattern: a pool all of
/// whose targets decline requests.
pub fn rest_retry_after(permit: PermitId, rest: Duration) -> Duration {
    let spread = rest / 100 * SPREAD_PERCENT / SPREAD_STEPS * spread_step(permit);
    (rest + spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Returns when to retry at a pool that needs `drain_time` to serve its waiting requests.
pub fn capacity_retry_after(drain_time: Duration) -> Duration {
    drain_time.clamp(DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER)
}
