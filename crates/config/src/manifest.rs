//! The manifest: the one object whose versions order all configurations.
//!
//! Owns: the form of the manifest as stored. Relies on: the object API for its versions.

use std::collections::BTreeMap;

use curlewcleat_core::{hash_token, Generation};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Key of the manifest in the object API.
pub const MANIFEST_KEY: &str = "config/manifest";
/// Applies that the manifest remembers.
pub const HISTORY_LENGTH: usize = 100;

/// What is in force: the files by the hash of their contents, and who applied what.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigManifest {
    /// Place in the order of configurations; counts up by one with each apply.
    pub generation: Generation,
    /// Content hash by file name.
    pub files: BTreeMap<String, String>,
    /// Latest applies, oldest first.
    pub history: Vec<ApplyRecord>,
}

/// One apply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ApplyRecord {
    /// Drawn by the tool; tells whether an apply whose answer was lost took effect.
    pub apply: Uuid,
    /// Generation that it made.
    pub generation: Generation,
    /// Operator, from the command line.
    pub operator: String,
    /// Seconds since the Unix epoch at the operator's VM.
    pub applied_at: u64,
    /// Files that it changed.
    pub files: Vec<String>,
}

impl ConfigManifest {
    /// The record of an apply, where it is still remembered.
    pub fn record(&self, apply: Uuid) -> Option<&ApplyRecord> {
        self.history.iter().find(|record| record.apply == apply)
    }

    /// The latest apply that changed a file.
    pub fn last_change(&self, file: &str) -> Option<&ApplyRecord> {
        self.history.iter().rev().find(|record| record.files.iter().any(|name| name == file))
    }

    /// The manifest after an apply of some files.
    pub fn succeed(
        &self,
        files: &BTreeMap<String, String>,
        mut record: ApplyRecord,
    ) -> ConfigManifest {
        let mut next = self.clone();
        next.generation += 1;
        record.generation = next.generation;
        record.files = files.keys().cloned().collect();
        next.files.extend(files.clone());
        next.history.push(record);
        let surplus = next.history.len().saturating_sub(HISTORY_LENGTH);
        next.history.drain(..surplus);
        next
    }
}

/// Hash under which a file's content is stored.
pub fn content_hash(text: &str) -> String {
    // The token hash is plain SHA-256, which is what contents are named by too.
    format!("{:x}", HexHash(text))
}

/// Key of a content in the object API.
pub fn content_key(hash: &str) -> String {
    format!("config/content/{hash}")
}

/// Bytes of a manifest as stored.
///
/// # Errors
/// The JSON error where it cannot be written; nothing may be stored in its place.
pub fn manifest_bytes(manifest: &ConfigManifest) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(manifest)
}

/// Reads a stored manifest.
///
/// # Errors
/// The JSON error where the object is not a manifest.
pub fn parse_manifest(bytes: &[u8]) -> Result<ConfigManifest, serde_json::Error> {
    serde_json::from_slice(bytes)
}

struct HexHash<'a>(&'a str);

impl std::fmt::LowerHex for HexHash<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        hash_token(self.0).bytes().iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
