//! When should a refused caller retry? The `Retry-After` of a refusal.
//!
//! Inputs: the estimated wait and the time left until the deadline, both durations, and the permit,
//! whose random id spreads the advice. The rule: not before the wait is over; spread over
//! [`SPREAD_PERCENT`] of the time left, so that those who are refused together do not come back
//! together; never later than
//! [`ADVICE_PERCENT`] of the time left, after which coming back is no use. Where nothing is known of
//! the cause, [`DEFAULT_ADVICE`].
//!
//! Owns: every bound of an advice in this crate; no state.

use std::time::Duration;

use curlewcleat_core::PermitId;

/// Shortest advice: a few round trips.
pub const LEAST_ADVICE: Duration = Duration::from_millis(100);
/// Longest advice.
pub const MOST_ADVICE: Duration = Duration::from_secs(60);
/// Advice where nothing better is known, and the least for a pool without room.
pub const DEFAULT_ADVICE: Duration = Duration::from_secs(1);
/// Part of the remaining time over which returns are spread, in percent.
const SPREAD_PERCENT: u32 = 25;
/// Part of the time left after which there is no use in coming back, in percent.
const ADVICE_PERCENT: u32 = 30;
/// Steps in which returns are spread: finer than a millisecond for the users' deadlines.
const SPREAD_STEPS: u32 = 1_024;

/// Advice when to come back: not before `wait`, and spread over a part of the time that is left.
pub fn spread_advice(permit: PermitId, wait: Duration, time_left: Duration) -> Duration {
    let spread = time_left / 100 * SPREAD_PERCENT / SPREAD_STEPS * drawn(permit);
    let most = (time_left / 100 * ADVICE_PERCENT).max(LEAST_ADVICE);
    (wait + spread).clamp(LEAST_ADVICE, most)
}

/// A step of the spread, by the permit's random id.
fn drawn(permit: PermitId) -> u32 {
    (permit.request.as_u128() % u128::from(SPREAD_STEPS)) as u32
}

/// Advice for a request for which its account has no room in its rate for `wait`: spread over as long again,
/// so that a caller whose wait is short can still be in time. Load pattern: a fleet that begins anew with
/// nothing saved, whose accounts have room after tens of milliseconds. With a spread over
/// a quarter of the time left, the requests of a day that ends so earned .880 of their credit, in place of .885
/// (mean of six seeds).
pub fn rate_advice(permit: PermitId, wait: Duration, time_left: Duration) -> Duration {
    spread_advice(permit, wait, time_left).clamp(wait, wait * 2)
}

/// Advice for a request all of whose targets have asked for rest, the shortest for `rest`: spread over a quarter of that, so
/// that those who wait for the same target do not meet there. Load pattern: a pool all of whose targets turn requests away.
pub fn rest_advice(permit: PermitId, rest: Duration) -> Duration {
    let spread = rest / 100 * SPREAD_PERCENT / SPREAD_STEPS * drawn(permit);
    (rest + spread).clamp(LEAST_ADVICE, MOST_ADVICE)
}

/// Advice for a pool that needs so long to take in what waits.
pub fn capacity_advice(drain_time: Duration) -> Duration {
    drain_time.clamp(DEFAULT_ADVICE, MOST_ADVICE)
}
