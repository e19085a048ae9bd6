//! Computes the latency objectives of a request, which limit its wait for a target, from its rule and its headers.
//!
//! Inputs, all durations: the rule's objective (longest time to the first part that counts as in time), the timeout
//! that the caller sends, the longest timeout that callers of the rule have sent, the time until the deadline.
//!
//! A request may wait for the length of its objective, but for no more than [`WAIT_PERCENT`] of the time until its
//! deadline. A new request is refused at once if its forecast wait exceeds [`FORECAST_PERCENT`] of the objective, so
//! that its caller can retry in time. A request with a shorter timeout than others ([`RETRY_TIMEOUT_PERCENT`]) is a
//! retry; it is refused only if the forecast exceeds its longest wait. The objective of a retry counts from the
//! caller's first attempt: the difference of the timeouts is the time that has passed since. Under a rule without an
//! objective, requests may wait until their deadline.
//!
//! Owns: nothing; a pure function. Relies on: callers that send a shorter timeout when they retry.

use std::time::Duration;

use curlewcleat_core::{AdmissionRule, LatencyObjectives, ServiceLimits, TierRank};

/// Shortest time between two parts of a stream after which callers give it up.
const MIN_CALLER_GAP: Duration = Duration::from_secs(2);
/// Number of latency objectives for which callers wait between two parts.
const CALLER_GAP_OBJECTIVES: u32 = 4;
/// Number of longest pauses for which callers wait between two parts.
const CALLER_GAP_PAUSES: u32 = 8;
/// Longest wait of a request, in percent of the time until its deadline. A longer wait only keeps the caller from
/// using the time better.
const WAIT_PERCENT: u32 = 40;
/// Forecast wait above which a new request is refused at once, in percent of its objective.
const FORECAST_PERCENT: u32 = 60;
/// A request whose timeout is below this percentage of the longest one is a retry after a refusal: callers that retry
/// have spent at least the `Retry-After` of the refusal.
const RETRY_TIMEOUT_PERCENT: u32 = 95;

/// Returns the objectives and limits of a request.
pub fn objectives(
    rule: &AdmissionRule,
    caller_timeout: Option<Duration>,
    longest_timeout: Duration,
    timeout: Duration,
    urgency: TierRank,
) -> LatencyObjectives {
    let objectives = LatencyObjectives {
        urgency,
        length_guessed: true,
        pause_limit: rule.service.pause_limit.unwrap_or(Duration::MAX),
        ..LatencyObjectives::default()
    };
    let (Some(objective), Some(caller_timeout)) = (rule.service.objective, caller_timeout) else {
        return LatencyObjectives { wait_limit: timeout, ..objectives };
    };
    let wait_limit = objective.min(timeout / 100 * WAIT_PERCENT);
    let is_retry = caller_timeout * 100 < longest_timeout * RETRY_TIMEOUT_PERCENT;
    let forecast_limit = match is_retry {
        true => wait_limit,
        false => (objective * FORECAST_PERCENT / 100).min(wait_limit),
    };
    LatencyObjectives {
        wait_limit,
        forecast_limit,
        first_part_by: match is_retry {
            true => objective.saturating_sub(longest_timeout - caller_timeout),
            false => objective,
        },
        is_retry,
        ..objectives
    }
}

/// Returns the time between two parts of a stream after which its caller may give it up.
pub fn caller_gap(limits: &ServiceLimits) -> Duration {
    let multiple =
        |limit: Option<Duration>, factor| limit.map_or(Duration::ZERO, |limit| limit * factor);
    let objective = multiple(limits.objective, CALLER_GAP_OBJECTIVES);
    let pause = multiple(limits.pause_limit, CALLER_GAP_PAUSES);
    objective.max(pause).max(MIN_CALLER_GAP)
}
