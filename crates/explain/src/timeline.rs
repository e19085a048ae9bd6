//! Reconstructs what happened to a request, in order.
//!
//! Owns: the selection of the log lines that concern a request. Relies on: `cause` for the most likely cause.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::cause::{likely_cause, LikelyCause};
use crate::entries::{unusable_targets, ENTRY_FAULT_ENDED, ENTRY_UNUSABLE};
use crate::line::LogLine;

/// Time before the arrival of a request from which state changes of its daemons are shown.
const STATE_WINDOW_MS: u64 = 10_000;
/// Events that change the state of a daemon.
const STATE_EVENTS: [&str; 19] = [
    "started",
    "drain_begun",
    "drain_closing",
    "config_accepted",
    "config_invalid",
    "settings_reloaded",
    "platform_call_failed",
    "platform_regained",
    "peer_lost",
    "peer_replaced",
    "pool_waits",
    "accept_failed",
    ENTRY_UNUSABLE,
    ENTRY_FAULT_ENDED,
    "target_started_again",
    "target_gone",
    "target_ended_under_request",
    "request_lethal",
    "suspect_cleared",
];

/// One step in the course of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TimelineStep {
    /// Milliseconds since the request arrived; negative for earlier state changes of the daemon.
    pub after_ms: i64,
    /// Source of the line, see [`LogLine::source`].
    pub source: String,
    /// Name of the event.
    pub event: String,
    /// Fields of the event as text.
    pub detail: String,
    /// Whether the step belongs to the request itself; otherwise it is a state change of a daemon.
    pub own: bool,
}

/// What happened to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestTimeline {
    /// The id by which the request was looked up.
    pub id: String,
    /// Steps by the time of the daemons' clocks; each log has a clock of its own.
    pub steps: Vec<TimelineStep>,
    /// How the request ended.
    pub outcome: String,
    /// The most likely cause.
    pub cause: LikelyCause,
}

impl RequestTimeline {
    /// Selects the lines of a request and the state changes that its daemons logged shortly before and while it ran.
    pub(crate) fn from_lines(id: &str, lines: &[LogLine]) -> Option<RequestTimeline> {
        let request_lines: Vec<&LogLine> = lines.iter().filter(|line| line.is_about(id)).collect();
        let first = request_lines.iter().map(|line| line.at_ms).min()?;
        let last = request_lines.iter().map(|line| line.at_ms).max()?;
        let arrival = first.saturating_sub(held_before_first_line_ms(&request_lines));
        let unusable = unusable_targets(lines, last);
        let sources: BTreeSet<&str> =
            request_lines.iter().map(|line| line.source.as_str()).collect();
        let state_changes = lines.iter().filter(|line| {
            STATE_EVENTS.contains(&line.event.as_str())
                && sources.contains(line.source.as_str())
                && (arrival.saturating_sub(STATE_WINDOW_MS)..=last).contains(&line.at_ms)
        });
        let mut lines: Vec<&LogLine> = state_changes.chain(request_lines.iter().copied()).collect();
        lines.sort_by_key(|line| line.at_ms);
        let steps = lines.iter().map(|line| TimelineStep {
            after_ms: line.at_ms as i64 - arrival as i64,
            source: line.source.clone(),
            event: line.event.clone(),
            detail: line.detail(),
            own: line.is_about(id),
        });
        let outcome = outcome(&request_lines);
        Some(RequestTimeline {
            id: id.to_string(),
            steps: steps.collect(),
            outcome,
            cause: likely_cause(&request_lines, &lines, &unusable),
        })
    }

    /// Returns the steps, the outcome and the cause as text for people.
    pub fn to_text(&self) -> String {
        let mut text = format!("request {}: {}\n", self.id, self.outcome);
        for step in &self.steps {
            let marker = if step.own { '*' } else { ' ' };
            text.push_str(&format!(
                "{marker} {:>8} ms  {}  {}  {}\n",
                step.after_ms, step.source, step.event, step.detail
            ));
        }
        text.push_str(&format!("cause: {}\nread on: {}\n", self.cause.text, self.cause.page));
        text
    }
}

/// Returns for how many milliseconds the request had been held when its first line was written.
fn held_before_first_line_ms(request_lines: &[&LogLine]) -> u64 {
    let held_at = |line: &&LogLine| {
        let held = line.fields.get("held_ms").or(line.fields.get("end_ms"));
        // A line without either field gives no earlier time.
        held.and_then(serde_json::Value::as_u64).unwrap_or(0)
    };
    // A request that was found has at least one line.
    request_lines.first().map(held_at).unwrap_or(0)
}

fn outcome(request_lines: &[&LogLine]) -> String {
    let last_line = request_lines.iter().rev().find(|line| line.event != "attempt_failed");
    match last_line {
        Some(line) if line.event == "request_served" => "served".to_string(),
        Some(line) if line.event == "request_refused" => {
            let may_have_run = line.fields.get("may_have_run") == Some(&serde_json::Value::Bool(true));
            let ran = if may_have_run { "it may have run" } else { "it did not run" };
            format!("refused ({}); {ran}", line.text("reason"))
        }
        _ => "no end in these logs: the daemon stopped, the caller disconnected, or lines are missing"
            .to_string(),
    }
}
