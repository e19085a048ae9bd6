//! Decides whether a request whose attempt did not run is tried again.
//!
//! Inputs: why the attempt did not run, the number of attempts sent and allowed, the deadline, and the
//! retry budget of the pool ([`budget`]).
//!
//! The rule: an attempt that provably did not run is followed by another one if the deadline has not
//! passed, fewer attempts were sent than the rule of the request allows, and the budget allows a retry.
//! An attempt that was never sent, because this daemon knows that its target is unlisted or accepts no
//! requests now, counts neither as an attempt nor against the budget. An attempt that may have run is
//! retried only if the caller's rule lets requests run more than once; the daemon decides that before it
//! reports the attempt here.
//!
//! Owns: the rule. Relies on: the entry daemon for the number of attempts.

pub mod budget;

use curlewcleat_core::{RefusalReason, RetryReason, Uptime};

use self::budget::RetryBudget;

/// An attempt that did not run, with the limits of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryInput {
    /// Why it did not run.
    pub reason: RetryReason,
    /// Number of attempts sent so far.
    pub attempts: u32,
    /// Maximum number of attempts.
    pub attempt_limit: u32,
    /// Time at which the caller stops waiting.
    pub deadline: Uptime,
}

/// Whether the request is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It is tried again.
    Again,
    /// It is refused for this reason; no attempt of it has run.
    GiveUp(RefusalReason),
}

/// The limit or refusal that prevents a further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryBound {
    /// The deadline of the request has passed.
    Deadline,
    /// As many attempts were sent as the rule of the request allows.
    Attempts,
    /// The retry budget is used up.
    Budget,
    /// The scheduler refused another target.
    Refused(RefusalReason),
}

impl RetryBound {
    /// Returns the code used in logs.
    pub fn code(self) -> &'static str {
        match self {
            RetryBound::Deadline => "deadline",
            RetryBound::Attempts => "attempts",
            RetryBound::Budget => "budget",
            RetryBound::Refused(reason) => reason.code(),
        }
    }
}

impl RetryInput {
    /// Returns whether deadline and number of attempts allow a further one.
    fn is_within_limits(&self, now: Uptime) -> bool {
        now < self.deadline && self.attempts < self.attempt_limit
    }

    /// Returns the limit that made [`decide_retry`] give the request up.
    pub fn bound(&self, now: Uptime) -> RetryBound {
        if now >= self.deadline {
            return RetryBound::Deadline;
        }
        match self.attempts < self.attempt_limit {
            true => RetryBound::Budget,
            false => RetryBound::Attempts,
        }
    }
}

/// Decides whether the request is tried again, and counts a retry of a sent attempt against the budget.
pub fn decide_retry(now: Uptime, input: RetryInput, budget: &mut RetryBudget) -> RetryDecision {
    if input.reason.is_unsent() {
        return RetryDecision::Again;
    }
    if input.is_within_limits(now) && budget.try_spend(now) {
        return RetryDecision::Again;
    }
    RetryDecision::GiveUp(input.reason.final_refusal())
}

/// Decides whether another target is asked to confirm the end of an answer, and counts that as a retry against the budget.
/// Other retries keep half of the budget, and a quarter of it where the end is doubtful.
pub fn allows_confirmation(
    now: Uptime,
    input: RetryInput,
    is_doubtful: bool,
    budget: &mut RetryBudget,
) -> bool {
    if !input.is_within_limits(now) {
        return false;
    }
    match is_doubtful {
        true => budget.try_spend_most(now),
        false => budget.try_spend_spare(now),
    }
}
