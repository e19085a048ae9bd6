//! Names the most likely cause of what happened to a request.
//!
//! Owns: what the log lines of a request add to the cause of its refusal. Relies on: `refusals` for the cause of each
//! reason, the log events of the daemon.

mod refusals;

use curlewcleat_core::RefusalReason;
use serde::Serialize;

use self::refusals::RefusalCause;
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
    let cause = RefusalCause::of_code(reason);
    let mut text =
        cause.map_or("the reason is unknown to this version", |cause| cause.text).to_string();
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
    if cause.is_some_and(|cause| is_for_lack_of_targets(cause.reason)) {
        text.push_str(&unusable_text(unusable));
    }
    let section = cause.map_or("Refusals", |cause| cause.section);
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
