//! Is a request tried again inside the system?
//!
//! Inputs: why the attempt did not run, the attempts that were sent and how many there may be, the time
//! until the deadline, and the retry budget of the pool ([`budget`]).
//!
//! The rule: an attempt that provably did not run is followed by another one while the deadline has not
//! passed, fewer attempts were sent than the rule of the request allows, and the budget has room. An
//! attempt that was not even sent, because this daemon knows that its target is gone or takes nothing now, counts neither as
//! an attempt nor against the budget. Whatever may have run is tried again only where the caller's rule
//! lets requests run more than once; the daemon decides that before it reports the attempt here.
//!
//! Owns: the rule. Relies on: the entry for what it counts.

pub mod budget;

use curlewcleat_core::{RefusalReason, RetryReason, Uptime};

use self::budget::RetryBudget;

/// What is known of an attempt that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryInput {
    /// Why it did not run.
    pub reason: RetryReason,
    /// Attempts sent so far.
    pub attempts: u32,
    /// Attempts that may be sent.
    pub attempt_limit: u32,
    /// When the caller stops waiting.
    pub deadline: Uptime,
}

/// Whether the request is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It is.
    Again,
    /// It is refused for this reason; nothing of it has run.
    GiveUp(RefusalReason),
}

/// What keeps a request from being tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryBound {
    /// Its deadline has passed.
    Deadline,
    /// It was sent to as many targets as its rule allows.
    Attempts,
    /// There is no room in the retry budget.
    Budget,
    /// The scheduler refused another target.
    Refused(RefusalReason),
}

impl RetryBound {
    /// The code used in logs.
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
    /// What keeps the request from being tried again once [`decide_retry`] has given it up.
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

/// Decides, and spends from the budget where the request is tried again.
pub fn decide_retry(now: Uptime, input: RetryInput, budget: &mut RetryBudget) -> RetryDecision {
    if input.reason.is_unsent() {
        return RetryDecision::Again;
    }
    let in_time = now < input.deadline;
    if in_time && input.attempts < input.attempt_limit && budget.spend(now) {
        return RetryDecision::Again;
    }
    RetryDecision::GiveUp(input.reason.final_refusal())
}
