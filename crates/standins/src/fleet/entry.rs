//! What an engine writes of itself, and what other writers may leave in its place.

use serde::Serialize;
use serde_json::{json, Value};

/// The entry of an engine.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct EngineEntry<'a> {
    /// Its service.
    pub backend: &'a str,
    /// Where it serves.
    pub address: &'a str,
    /// Where it stands.
    pub zone: &'a str,
    /// Its slots.
    pub slots: u32,
    /// Whether it serves or leaves.
    pub state: &'a str,
    /// Version of its software; earlier engines do not write it.
    #[serde(rename = "resource_version", skip_serializing_if = "Option::is_none")]
    pub version: Option<&'a str>,
    /// Unix millisecond of its start; earlier engines do not write it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
}

/// Stands for bytes that are no UTF-8 until the store writes them: a character that nobody uses.
pub(crate) const UNREADABLE: char = '\u{f8ff}';
/// What the store writes in its place.
const NO_UTF8: [u8; 3] = [0xff, 0xfe, 0xfd];

/// An entry that is not an engine's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForeignEntry {
    /// Fields are missing.
    Missing,
    /// Fields are of other types.
    Types,
    /// A state that nobody named.
    State,
    /// A service that nobody named.
    Service,
    /// No fields at all.
    Text,
    /// Bytes that are no UTF-8.
    Bytes,
}

impl ForeignEntry {
    /// All of them.
    pub const ALL: [ForeignEntry; 6] = [
        ForeignEntry::Missing,
        ForeignEntry::Types,
        ForeignEntry::State,
        ForeignEntry::Service,
        ForeignEntry::Text,
        ForeignEntry::Bytes,
    ];

    /// The content; where it has an address, it is this one.
    pub fn spec(self, backend: &str, address: &str) -> Value {
        match self {
            ForeignEntry::Missing => json!({ "address": address, "state": "ready" }),
            ForeignEntry::Types => {
                json!({ "backend": [backend], "address": address, "slots": "8", "state": 1 })
            }
            ForeignEntry::State => {
                json!({ "backend": backend, "address": address, "slots": 8, "state": "resting" })
            }
            ForeignEntry::Service => {
                json!({ "backend": "unnamed", "address": address, "slots": 8, "state": "ready" })
            }
            ForeignEntry::Text => json!("nothing of an engine"),
            ForeignEntry::Bytes => json!(UNREADABLE.to_string()),
        }
    }
}

/// The bytes of an answer, with those that are no UTF-8 where they belong.
pub(crate) fn with_unreadable_bytes(text: &str) -> Vec<u8> {
    let parts: Vec<&[u8]> = text.split(UNREADABLE).map(str::as_bytes).collect();
    parts.join(&NO_UTF8[..])
}
