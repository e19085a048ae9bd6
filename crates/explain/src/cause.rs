//! Names the most likely cause of what happened to a request.
//!
//! Owns: the most likely cause of each refusal reason. Relies on: the log events of the daemon.

use curlewcleat_core::RefusalReason;
use serde::Serialize;

use crate::entries::unusable_text;
use crate::line::LogLine;

/// A cause and the documentation to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LikelyCause {
    /// What most likely happened.
    pub text: String,
    /// Page and section of the operators' documentation.
    pub page: String,
}

/// Returns the most likely cause of a refusal and the section of docs/OPERATIONS.md about it. The match has no wildcard
/// arm, so that the compiler reports a reason without a cause.
fn cause_and_section(reason: RefusalReason) -> (&'static str, &'static str) {
    use RefusalReason::*;
    match reason {
        Unauthorized => (
            "the caller's key is not in the configuration in force; it is wrong or was removed",
            "Accounts",
        ),
        NoRule => ("no route has this host and path in the configuration in force", "Configuration"),
        BadHeader => ("a header that the daemon reads is missing or out of range", "Callers"),
        BodyTooLarge => ("the body is longer than its rule allows", "Refusals"),
        BodyIncomplete => ("the caller stopped sending its body before the end", "Refusals"),
        NoConfiguration => ("the daemon has no configuration yet", "Platform lost"),
        ConfigurationStale => (
            "the daemon could not prove that its configuration is the newest: it had lost the platform's store",
            "Platform lost",
        ),
        Draining => ("the daemon was stopping", "Planned stop"),
        EntryFull => ("the daemon held as many requests as its settings allow", "Refused under load"),
        AccountRate => ("the account had used up its rate limit over all daemons", "Refused under load"),
        RateUnknown => (
            "the daemon that counts the account's rate did not answer, and the reserve of its deputy was used up",
            "Refused under load",
        ),
        AccountQueue => ("too many requests of this account were waiting in this pool", "Refused under load"),
        QueueFull => ("the pool was overloaded and its queue full", "Refused under load"),
        ShedForHigherTier => (
            "the pool was overloaded and refused this request in favour of a higher tier",
            "Refused under load",
        ),
        TierShed => ("the pool was overloaded and shed this tier", "Refused under load"),
        DeadlineUnreachable => ("the request could not be completed within its deadline", "Refused under load"),
        WaitTooLong => (
            "the pool was overloaded: the wait would have been too long",
            "Refused under load",
        ),
        DeadlinePassed => (
            "the deadline of the request or of its rule passed",
            "Broken off by a target",
        ),
        NoTarget => (
            "every target was leaving, ejected, resting, or had failed this request",
            "Broken off by a target",
        ),
        KeyInProgress => ("an attempt with the same key was still in progress", "Refusals"),
        KeyMayHaveRun => ("an earlier attempt with the same key may have run", "Refusals"),
        KeyRan => ("an earlier attempt with the same key ran; its answer is not kept", "Refusals"),
        KeyHomeUnreachable => ("the daemon that holds the key did not answer", "When a daemon dies"),
        KeyHistoryLost => (
            "the daemon that held the key terminated, and its history of keys was lost",
            "When a daemon dies",
        ),
        KeyStoreFull => ("the daemon that holds the key has no capacity for new keys", "Refusals"),
        KeyExpired => ("the key is older than the time for which keys are kept", "Refusals"),
        ConnectFailed => (
            "every target that was tried failed, or the retry budget was used up",
            "Broken off by a target",
        ),
        TargetNotStarted => (
            "every target that was tried reported that it did not start the request",
            "Broken off by a target",
        ),
        TargetClosed => (
            "the target closed the connection while running the request",
            "Broken off by a target",
        ),
        FirstByteTimeout => (
            "the target did not begin to answer within its time limit",
            "Broken off by a target",
        ),
        RequestSuspect => (
            "several targets closed their connections while running this request, and it was not known yet whether \
             they had terminated",
            "Requests under which targets end",
        ),
        StreamVersionUnknown => (
            "the caller took up a stream, and no daemon knew the version of the target that had begun it",
            "Streams beside several versions",
        ),
        RequestLethal => (
            "several targets had terminated while running this request, or others that share a part of its prompt",
            "Requests under which targets end",
        ),
        RuleClosed => (
            "part of the route's configuration cannot be used; config_fault in the log names it",
            "Values that cannot be used",
        ),
        AccountClosed => (
            "part of the account's configuration cannot be used; config_fault in the log names it",
            "Values that cannot be used",
        ),
        TargetProtocol => ("the target's answer could not be parsed", "Broken off by a target"),
    }
}

/// Returns the most likely cause: that of the refusal's reason, with the failed attempts and the last failure of the
/// platform's store. If too few targets were available, it also names the unusable list entries of targets.
pub fn likely_cause(
    request_lines: &[&LogLine],
    lines: &[&LogLine],
    unusable: &[&LogLine],
) -> LikelyCause {
    let refusal = request_lines.iter().rev().find(|line| line.event == "request_refused");
    let failed_attempts: Vec<&&LogLine> =
        request_lines.iter().filter(|line| line.event == "attempt_failed").collect();
    let Some(refusal) = refusal else {
        return cause_without_refusal(request_lines, &failed_attempts);
    };
    let reason = refusal.text("reason");
    let known_reason = RefusalReason::ALL.iter().copied().find(|known| known.code() == reason);
    // The log may come from another version with reasons that are unknown here.
    let (text, section) = known_reason
        .map_or(("the reason is unknown to this version", "Refusals"), cause_and_section);
    let mut text = text.to_string();
    if let Some(last) = failed_attempts.last() {
        let target = last.text("target");
        let count = failed_attempts.len();
        text.push_str(&format!(
            "; {count} attempt(s) failed, the last at {target} ({})",
            last.text("reason")
        ));
    }
    if let Some(failure) = lines.iter().rev().find(|line| line.event == "platform_call_failed") {
        if reason.starts_with("configuration") || reason == "no_configuration" {
            text.push_str(&format!("; the store answered: {}", failure.text("error")));
        }
    }
    if let Some(line) = lethal_line(refusal, lines) {
        text.push_str(&lethal_text(line));
    }
    if known_reason.is_some_and(is_for_lack_of_targets) {
        text.push_str(&unusable_text(unusable));
    }
    LikelyCause { text, page: format!("docs/OPERATIONS.md, {section}") }
}

/// Returns the latest line that named the request, or a part of its prompt, as the reason why targets terminated; `None`
/// for a request that was refused for another reason, or before any daemon had established it.
fn lethal_line<'l>(refusal: &LogLine, lines: &[&'l LogLine]) -> Option<&'l LogLine> {
    let reasons = [RefusalReason::RequestLethal, RefusalReason::RequestSuspect];
    if !reasons.iter().any(|reason| reason.code() == refusal.text("reason")) {
        return None;
    }
    let (whole, parts) = (refusal.text("digest"), refusal.text("prompt_parts"));
    let names_request = |line: &&&LogLine| {
        let digest = line.text("digest");
        let is_part = parts.split_whitespace().any(|part| digest.starts_with(part));
        line.event == "request_lethal" && (digest == whole || is_part)
    };
    lines.iter().rev().find(names_request).copied()
}

fn lethal_text(line: &LogLine) -> String {
    let kind = match line.text("kind") {
        "part" => "a part of its prompt",
        "account_part" => "a part of its prompt in requests of its account",
        _ => "the request itself",
    };
    format!("; it is {kind}, digest {}, targets {}", line.text("digest"), line.text("targets"))
}

/// Returns whether the request might have been served if more targets had been available.
fn is_for_lack_of_targets(reason: RefusalReason) -> bool {
    use RefusalReason::*;
    matches!(
        reason,
        NoTarget | WaitTooLong | QueueFull | TierShed | ShedForHigherTier | DeadlineUnreachable
    )
}

fn cause_without_refusal(request_lines: &[&LogLine], failed_attempts: &[&&LogLine]) -> LikelyCause {
    let page = "docs/OPERATIONS.md, Broken off by a target".to_string();
    let served = request_lines.iter().any(|line| line.event == "request_served");
    let text = match (served, failed_attempts.last()) {
        (true, None) => "none: served at the first attempt".to_string(),
        (true, Some(last)) => format!(
            "served after {} failed attempt(s), the last at {} ({})",
            failed_attempts.len(),
            last.text("target"),
            last.text("reason")
        ),
        (false, Some(last)) => format!(
            "interrupted after a failed attempt at {} ({})",
            last.text("target"),
            last.text("reason")
        ),
        (false, None) => "unknown: the logs contain no end of the request".to_string(),
    };
    LikelyCause { text, page }
}
