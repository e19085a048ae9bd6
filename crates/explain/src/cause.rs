//! The most likely cause of what happened to a request.
//!
//! Owns: what each refusal reason most likely comes from. Relies on: the log events of the daemon.

use curlewcleat_core::RefusalReason;
use serde::Serialize;

use crate::entries::unusable_text;
use crate::line::LogLine;

/// A cause, and where to read on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LikelyCause {
    /// What most likely happened.
    pub text: String,
    /// Page and section for operators.
    pub page: String,
}

/// What a refusal most likely comes from, and the section of docs/OPERATIONS.md to read on. As long as
/// there are reasons, so that the compiler misses none.
fn entry_of(reason: RefusalReason) -> (&'static str, &'static str) {
    use RefusalReason::*;
    match reason {
        Unauthorized => (
            "the key is unknown in the configuration in force, or was taken away",
            "Accounts",
        ),
        NoRule => ("no route has this host and path in the configuration in force", "Configuration"),
        BadHeader => ("a header that the daemon reads is missing or out of range", "Callers"),
        BodyTooLarge => ("the body is longer than its rule allows", "Refusals"),
        BodyIncomplete => ("the caller stopped sending its body", "Refusals"),
        NoConfiguration => ("the daemon has no configuration yet", "Platform lost"),
        ConfigurationStale => (
            "the daemon could not prove that its configuration is the newest: it had lost the platform's store",
            "Platform lost",
        ),
        Draining => ("the daemon was stopping", "Planned stop"),
        EntryFull => ("the daemon held as many requests as its settings allow", "Refused under load"),
        AccountRate => ("the account had used up its rate over all daemons", "Refused under load"),
        RateUnknown => (
            "the daemon that keeps the account's rate did not answer, and its deputy's reserve was used up",
            "Refused under load",
        ),
        AccountQueue => ("too much of this account was waiting", "Refused under load"),
        QueueFull => ("the pool was overloaded and its queue full", "Refused under load"),
        ShedForHigherTier => (
            "the pool was overloaded and made room for a higher tier",
            "Refused under load",
        ),
        TierShed => ("the pool was overloaded and shed this tier", "Refused under load"),
        DeadlineUnreachable => ("the request could not end within its time", "Refused under load"),
        WaitTooLong => (
            "the pool was overloaded: the wait would have been too long",
            "Refused under load",
        ),
        DeadlinePassed => (
            "the time of the request or of its rule passed",
            "Broken off by a target",
        ),
        NoTarget => (
            "every target was leaving, ejected, at rest, or had failed this request",
            "Broken off by a target",
        ),
        KeyInProgress => ("an attempt with the same key was still in progress", "Refusals"),
        KeyMayHaveRun => ("an earlier attempt with the same key may have run", "Refusals"),
        KeyRan => ("an earlier attempt with the same key ran; its answer is not kept", "Refusals"),
        KeyHomeUnreachable => ("the daemon that holds the key did not answer", "When a daemon dies"),
        KeyHistoryLost => (
            "the daemon that held the key died, and its history with it",
            "When a daemon dies",
        ),
        KeyStoreFull => ("the daemon that holds the key has no room for new ones", "Refusals"),
        KeyExpired => ("the key is older than keys are kept", "Refusals"),
        ConnectFailed => (
            "every target that was tried failed, or the retry budget was used up",
            "Broken off by a target",
        ),
        TargetNotStarted => (
            "every target that was tried said that it did not start the request",
            "Broken off by a target",
        ),
        TargetClosed => (
            "the target closed the connection under the request",
            "Broken off by a target",
        ),
        FirstByteTimeout => (
            "the target did not begin to answer within the time",
            "Broken off by a target",
        ),
        RequestSuspect => (
            "several targets closed their connections under this request, and it was not known yet whether they had ended",
            "Requests under which targets end",
        ),
        RequestLethal => (
            "several targets had ended under this request, whoever sent it",
            "Requests under which targets end",
        ),
        TargetProtocol => ("the target's answer could not be read", "Broken off by a target"),
    }
}

/// The most likely cause: the reason of the refusal, made sharper by failed attempts and by what the
/// daemon had noted; where targets were too few, also by the entries that named none.
pub fn likely_cause(own: &[&LogLine], lines: &[&LogLine], unusable: &[&LogLine]) -> LikelyCause {
    let refused = own.iter().rev().find(|line| line.event == "request_refused");
    let failed: Vec<&&LogLine> = own.iter().filter(|line| line.event == "attempt_failed").collect();
    let Some(refused) = refused else {
        return without_refusal(own, &failed);
    };
    let reason = refused.text("reason");
    let known = RefusalReason::ALL.iter().copied().find(|known| known.code() == reason);
    // A log of another version may have reasons that this one does not know.
    let (text, section) = known.map_or(("the reason has no entry here", "Refusals"), entry_of);
    let mut text = text.to_string();
    if let Some(last) = failed.last() {
        let target = last.text("target");
        let count = failed.len();
        text.push_str(&format!(
            "; {count} attempt(s) failed, the last at {target} ({})",
            last.text("reason")
        ));
    }
    if let Some(lost) = lines.iter().rev().find(|line| line.event == "platform_call_failed") {
        if reason.starts_with("configuration") || reason == "no_configuration" {
            text.push_str(&format!("; the store answered: {}", lost.text("error")));
        }
    }
    if known.is_some_and(is_for_want_of_targets) {
        text.push_str(&unusable_text(unusable));
    }
    LikelyCause { text, page: format!("docs/OPERATIONS.md, {section}") }
}

/// Whether more targets would have served the request.
fn is_for_want_of_targets(reason: RefusalReason) -> bool {
    use RefusalReason::*;
    matches!(
        reason,
        NoTarget | WaitTooLong | QueueFull | TierShed | ShedForHigherTier | DeadlineUnreachable
    )
}

fn without_refusal(own: &[&LogLine], failed: &[&&LogLine]) -> LikelyCause {
    let page = "docs/OPERATIONS.md, Broken off by a target".to_string();
    let served = own.iter().any(|line| line.event == "request_served");
    let text = match (served, failed.last()) {
        (true, None) => "none: served at the first attempt".to_string(),
        (true, Some(last)) => format!(
            "served after {} failed attempt(s), the last at {} ({})",
            failed.len(),
            last.text("target"),
            last.text("reason")
        ),
        (false, Some(last)) => format!(
            "broken off after a failed attempt at {} ({})",
            last.text("target"),
            last.text("reason")
        ),
        (false, None) => "the logs tell of no end".to_string(),
    };
    LikelyCause { text, page }
}
