//! Parses one line of a log.
//!
//! Owns: the form of a log line. Relies on: the JSON lines that the daemon writes.

use serde::Deserialize;
use serde_json::{Map, Value};

/// A log line of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The file, the word before the JSON, or both as `file:word`. The word is the name of the machine in a file that
    /// contains the lines of several daemons.
    pub source: String,
    /// Milliseconds since the Unix epoch by the daemon's clock.
    pub at_ms: u64,
    /// Name of the event.
    pub event: String,
    /// Fields of the event.
    pub fields: Map<String, Value>,
}

#[derive(Deserialize)]
struct RawLine {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; returns `None` if it is not a log line or was cut off.
    pub fn parse(file: &str, text: &str) -> Option<LogLine> {
        let json_start = text.find('{')?;
        let raw: RawLine = serde_json::from_str(text[json_start..].trim_end()).ok()?;
        // In a log of several machines a line begins with the time and the name of the machine; the name is the source.
        let prefix = text[..json_start].split_whitespace().next_back().unwrap_or_default();
        let source = match (file, prefix) {
            (file, "") => file.to_string(),
            ("", prefix) => prefix.to_string(),
            (file, prefix) => format!("{file}:{prefix}"),
        };
        Some(LogLine { source, at_ms: raw.timestamp, event: raw.payload, fields: raw.kv })
    }

    /// Returns a field's text, empty if the field is missing or no string.
    pub fn text(&self, name: &str) -> &str {
        // The output shows both as empty.
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns whether the line belongs to a request, given the system's or the caller's id.
    pub fn is_about(&self, id: &str) -> bool {
        !id.is_empty() && (self.text("request") == id || self.text("attempt") == id)
    }

    /// Returns the fields as `name=value`, without empty ones and those that identify the request.
    pub fn detail(&self) -> String {
        let fields =
            self.fields.iter().filter(|(name, _)| !["request", "attempt"].contains(&name.as_str()));
        let pairs: Vec<String> = fields
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .filter(|pair| !pair.ends_with('='))
            .collect();
        pairs.join(" ")
    }
}
