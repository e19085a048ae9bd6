//! One line of a log.
//!
//! Owns: the form of a log line. Relies on: JSON lines as the daemon writes them.

use serde::Deserialize;
use serde_json::{Map, Value};

/// A line as a daemon wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// File, and what stands before the JSON, as where several daemons share a file.
    pub source: String,
    /// Milliseconds since the Unix epoch by the daemon's clock.
    pub at_ms: u64,
    /// Name of the event.
    pub event: String,
    /// What the event says.
    pub fields: Map<String, Value>,
}

#[derive(Deserialize)]
struct WrittenLine {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; `None` where it is none, as where it was cut.
    pub fn parse(file: &str, text: &str) -> Option<LogLine> {
        let begin = text.find('{')?;
        let written: WrittenLine = serde_json::from_str(text[begin..].trim_end()).ok()?;
        // A bench puts the time before the name of the machine; the name is what tells sources apart.
        let prefix = text[..begin].split_whitespace().next_back().unwrap_or_default();
        let source = match (file, prefix) {
            (file, "") => file.to_string(),
            ("", prefix) => prefix.to_string(),
            (file, prefix) => format!("{file}:{prefix}"),
        };
        Some(LogLine {
            source,
            at_ms: written.timestamp,
            event: written.payload,
            fields: written.kv,
        })
    }

    /// A field as text, empty where it is missing.
    pub fn text(&self, name: &str) -> &str {
        // Stories show a missing field as empty.
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Whether the line is about a request, by the system's id or by the caller's.
    pub fn is_about(&self, id: &str) -> bool {
        !id.is_empty() && (self.text("request") == id || self.text("attempt") == id)
    }

    /// The fields as `name=value`, without those that name the request.
    pub fn detail(&self) -> String {
        let fields =
            self.fields.iter().filter(|(name, _)| !["request", "attempt"].contains(&name.as_str()));
        let words: Vec<String> = fields
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .filter(|word| !word.ends_with('='))
            .collect();
        words.join(" ")
    }
}
