//! List entries of engines, and invalid entries of other writers.

use serde::Serialize;
use serde_json::{json, Value};

/// The list entry of an engine.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct EngineEntry<'a> {
    /// Service of the engine.
    pub backend: &'a str,
    /// Address of the engine.
    pub address: &'a str,
    /// Data centre of the engine.
    pub zone: &'a str,
    /// Number of slots.
    pub slots: u32,
    /// Whether the engine serves or is leaving.
    pub state: &'a str,
    /// Version of the engine's software; earlier engines do not write it.
    #[serde(rename = "resource_version", skip_serializing_if = "Option::is_none")]
    pub version: Option<&'a str>,
    /// Start of the engine in Unix milliseconds; earlier engines do not write it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
}

/// Placeholder for bytes that are not UTF-8, which the store replaces when it writes an answer: a private-use
/// character that occurs nowhere else.
pub(crate) const INVALID_UTF8_MARKER: char = '\u{f8ff}';
/// Bytes that replace the placeholder.
const INVALID_UTF8: [u8; 3] = [0xff, 0xfe, 0xfd];

/// A list entry that no engine wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForeignEntry {
    /// Some fields are missing.
    MissingFields,
    /// Some fields have other types.
    WrongTypes,
    /// The state is unknown.
    UnknownState,
    /// The service is unknown.
    UnknownService,
    /// A string instead of fields.
    NotAnObject,
    /// Bytes that are not UTF-8.
    InvalidUtf8,
}

impl ForeignEntry {
    /// All kinds.
    pub const ALL: [ForeignEntry; 6] = [
        ForeignEntry::MissingFields,
        ForeignEntry::WrongTypes,
        ForeignEntry::UnknownState,
        ForeignEntry::UnknownService,
        ForeignEntry::NotAnObject,
        ForeignEntry::InvalidUtf8,
    ];

    /// Returns the content of the list entry, with this address if it has one.
    pub fn spec(self, backend: &str, address: &str) -> Value {
        match self {
            ForeignEntry::MissingFields => json!({ "address": address, "state": "ready" }),
            ForeignEntry::WrongTypes => {
                json!({ "backend": [backend], "address": address, "slots": "8", "state": 1 })
            }
            ForeignEntry::UnknownState => {
                json!({ "backend": backend, "address": address, "slots": 8, "state": "resting" })
            }
            ForeignEntry::UnknownService => {
                json!({ "backend": "unnamed", "address": address, "slots": 8, "state": "ready" })
            }
            ForeignEntry::NotAnObject => json!("nothing of an engine"),
            ForeignEntry::InvalidUtf8 => json!(INVALID_UTF8_MARKER.to_string()),
        }
    }
}

/// Returns the bytes of an answer, with the placeholders replaced by bytes that are not UTF-8.
pub(crate) fn with_invalid_utf8(text: &str) -> Vec<u8> {
    let parts: Vec<&[u8]> = text.split(INVALID_UTF8_MARKER).map(str::as_bytes).collect();
    parts.join(&INVALID_UTF8[..])
}
