//! How long may a request wait for a target? Its latency objectives, from its rule and its headers.
//!
//! Inputs: the rule's objective (time to the first part that counts as in time), the time that the
//! caller gives, the longest that callers of the rule have given, the time until the deadline; all are
//! durations.
//!
//! The rule: a request may wait for its objective, but for no more than [`WAIT_PERCENT`] of its time. A
//! new request is refused at once where its forecast wait is above [`FORECAST_PERCENT`] of the objective,
//! so that its caller can retry in time; a retry (it gives less time than others,
//! [`RETRY_TIME_PERCENT`]) is refused only where the forecast is above the whole wait. Its objective counts
//! from the caller's first attempt: what has passed since is the time that it gives less. A rule without an
//! objective lets requests wait until their deadline.
//!
//! Owns: nothing; a pure function. Relies on: callers that give less time when they retry.

use std::time::Duration;

use curlewcleat_core::{AdmissionRule, LatencyObjectives, TierRank};

/// Part of its time for which a request may wait, in percent; a longer wait only keeps its caller from
/// a better use of the time.
const WAIT_PERCENT: u32 = 40;
/// Forecast wait above which a new request is refused at once, in percent of its objective.
const FORECAST_PERCENT: u32 = 60;
/// A caller that gives less than this part of the longest time, in percent, retries after a refusal: callers that
/// retry have lost at least the advised wait.
const RETRY_TIME_PERCENT: u32 = 95;

/// The objectives and limits of a request.
pub fn objectives(
    rule: &AdmissionRule,
    asked: Option<Duration>,
    longest: Duration,
    time: Duration,
    urgency: TierRank,
) -> LatencyObjectives {
    let objectives = LatencyObjectives {
        urgency,
        length_guessed: true,
        pause_limit: rule.service.pause_limit.unwrap_or(Duration::MAX),
        ..LatencyObjectives::default()
    };
    let (Some(objective), Some(asked)) = (rule.service.objective, asked) else {
        return LatencyObjectives { wait_limit: time, ..objectives };
    };
    let wait_limit = objective.min(time / 100 * WAIT_PERCENT);
    let is_retry = asked * 100 < longest * RETRY_TIME_PERCENT;
    let forecast_limit = match is_retry {
        true => wait_limit,
        false => (objective * FORECAST_PERCENT / 100).min(wait_limit),
    };
    LatencyObjectives {
        wait_limit,
        forecast_limit,
        first_part_by: match is_retry {
            true => objective.saturating_sub(longest - asked),
            false => objective,
        },
        is_retry,
        ..objectives
    }
}
