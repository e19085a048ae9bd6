//! The manifest: the single stored object that names the files in force and orders all configurations.
//!
//! Owns: the stored form of the manifest. Relies on: the object API for the versions of the object.

use std::collections::BTreeMap;

use curlewcleat_core::{hash_token, Generation};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Key of the manifest in the object API.
pub const MANIFEST_KEY: &str = "config/manifest";
/// Number of latest applies that the manifest keeps.
pub const MAX_HISTORY_LENGTH: usize = 100;

/// The files in force by the hash of their contents, and the latest applies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigManifest {
    /// Number of this configuration; each apply increments it by one.
    pub generation: Generation,
    /// Content hash by file name.
    pub files: BTreeMap<String, String>,
    /// Latest applies, oldest first.
    pub history: Vec<ApplyRecord>,
}

/// One apply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ApplyRecord {
    /// Random id from the tool; shows whether an apply whose answer was lost took effect.
    pub apply: Uuid,
    /// Generation that the apply created.
    pub generation: Generation,
    /// Name of the operator, from the command line.
    pub operator: String,
    /// Seconds since the Unix epoch, by the clock of the operator's VM.
    pub applied_at: u64,
    /// Names of the files that were applied.
    pub files: Vec<String>,
}

impl ConfigManifest {
    /// Returns the record of an apply, or `None` if the history does not hold it.
    pub fn record(&self, apply: Uuid) -> Option<&ApplyRecord> {
        self.history.iter().find(|record| record.apply == apply)
    }

    /// Returns the latest apply in the history that contained a file.
    pub fn last_change(&self, file: &str) -> Option<&ApplyRecord> {
        self.history.iter().rev().find(|record| record.files.iter().any(|name| name == file))
    }

    /// Returns the manifest that an apply of `files` (content hash by name) leads to.
    pub fn with_apply(
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
        let excess = next.history.len().saturating_sub(MAX_HISTORY_LENGTH);
        next.history.drain(..excess);
        next
    }
}

/// Returns the hash under which a file's content is stored.
pub fn content_hash(text: &str) -> String {
    // The token hash is plain SHA-256, which is also the content hash.
    format!("{:x}", HexHash(text))
}

/// Returns the key in the object API of the content with this hash.
pub fn content_key(hash: &str) -> String {
    format!("config/content/{hash}")
}

/// Encodes a manifest as stored.
///
/// # Errors
/// The JSON error if it cannot be encoded; the caller must not store anything then.
pub fn manifest_bytes(manifest: &ConfigManifest) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(manifest)
}

/// Decodes a stored manifest.
///
/// # Errors
/// The JSON error if the object is not a manifest.
pub fn parse_manifest(bytes: &[u8]) -> Result<ConfigManifest, serde_json::Error> {
    serde_json::from_slice(bytes)
}

struct HexHash<'a>(&'a str);

impl std::fmt::LowerHex for HexHash<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        hash_token(self.0).bytes().iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
