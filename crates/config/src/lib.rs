//! The operators' files and the daemon's settings: reading, checking, manifest and apply.
//!
//! All files are INI. A check reports every problem of every file at once, each with its file, section, key and the
//! expected value. Nothing in this crate performs input or output.

mod apply;
mod archive;
mod check;
mod document;
mod manifest;
mod problem;
mod reader;
mod route_history;
mod settings;
mod store;

pub use apply::{ApplyAction, ApplyEvent, ApplyOptions, ApplyResult, ConfigApply};
pub use archive::{ArchiveError, ConfigArchive, MAX_ARCHIVE_BYTES, MAX_PART_BYTES};
pub use check::{check_files, default_pool, ACCOUNT_QUEUE_LIMIT, TIER_DEADLINE};
pub use document::{DocumentError, DOCUMENT_FILE};
pub use manifest::{content_hash, ApplyRecord, ConfigManifest, MAX_HISTORY_LENGTH};
pub use manifest::{content_key, manifest_bytes, parse_manifest, MANIFEST_KEY};
pub use problem::{CheckReport, ConfigProblem};
pub use reader::{IniFile, IniSection};
pub use route_history::{RouteHistory, TakenUpRoute};
pub use settings::{check_settings, DaemonSettings, FleetBounds, PlatformKind, RolloutBounds};
pub use store::{ConfigStore, OfferResult};

/// Contents of the files of a configuration, by file name.
pub type FileTexts = std::collections::BTreeMap<String, String>;
