//! The most likely cause of what happened to a request.
//!
//! Owns: what each refusal reason most likely comes from. Relies on: the log events of the daemon.

use serde::Serialize;

use crate::line::LogLine;

/// A cause, and where to read on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LikelyCause {
    /// What most likely happened.
    pub text: String,
    /// Page and section for operators.
    pub page: String,
}

/// What each refusal reason most likely comes from, and the section of docs/OPERATIONS.md.
const REASONS: [(&str, &str, &str); 14] = [
    ("unauthorized", "the key is unknown in the configuration in force, or was taken away", "Accounts"),
    ("no_rule", "no route has this host and path in the configuration in force", "Configuration"),
    ("bad_header", "a header that the daemon reads is missing or out of range", "Callers"),
    ("no_configuration", "the daemon has no configuration yet", "Platform lost"),
    (
        "configuration_stale",
        "the daemon could not prove that its configuration is the newest: it had lost the platform's store",
        "Platform lost",
    ),
    ("draining", "the daemon was stopping", "Planned stop"),
    ("account_rate", "the account had used up its rate over all daemons", "Refused under load"),
    ("wait_too_long", "the pool was overloaded: the wait would have been too long", "Refused under load"),
    ("tier_shed", "the pool was overloaded and shed this tier", "Refused under load"),
    ("shed_for_higher_tier", "the pool was overloaded and made room for a higher tier", "Refused under load"),
    ("deadline_unreachable", "the request could not end within its time", "Refused under load"),
    ("deadline_passed", "the time of the request or of its rule passed", "Broken off by a target"),
    ("target_closed", "the target closed the connection under the request", "Broken off by a target"),
    ("connect_failed", "every target that was tried failed, or the retry budget was used up", "Broken off by a target"),
];

/// The most likely cause: the reason of the refusal, made sharper by failed attempts and by what the
/// daemon had noted.
pub fn likely_cause(own: &[&LogLine], lines: &[&LogLine]) -> LikelyCause {
    let refused = own.iter().rev().find(|line| line.event == "request_refused");
    let failed: Vec<&&LogLine> = own.iter().filter(|line| line.event == "attempt_failed").collect();
    let Some(refused) = refused else {
        return without_refusal(own, &failed);
    };
    let reason = refused.text("reason");
    let known = REASONS.iter().find(|(known, _, _)| *known == reason);
    let (text, section) =
        known.map_or(("the reason has no entry here", "Refusals"), |known| (known.1, known.2));
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
    LikelyCause { text, page: format!("docs/OPERATIONS.md, {section}") }
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
