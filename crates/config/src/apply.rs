//! Applying files as a state machine: check, store the contents, move the manifest once.
//!
//! The caller performs the actions and feeds their results back. A lost answer is read again; the
//! apply's id in the history says whether it took effect. A change by somebody else to another file
//! is checked together with the own files and tried again; a change to the same file is a conflict.
//!
//! Owns: the state of one apply. Relies on: a driver that performs its actions (`curlewcleat-store`).

use std::collections::{BTreeMap, VecDeque};

use curlewcleat_core::{Generation, ObjectVersion};
use uuid::Uuid;

use crate::check::check_files;
use crate::manifest::{content_hash, ApplyRecord, ConfigManifest};
use crate::problem::CheckReport;
use crate::FileTexts;

/// Rounds of conditional updates before the apply gives up.
const ROUND_LIMIT: u32 = 20;

/// Who applies what.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ApplyOptions {
    /// Drawn at random for this apply.
    pub apply: Uuid,
    /// Operator for the history.
    pub operator: String,
    /// Seconds since the Unix epoch.
    pub applied_at: u64,
    /// Generation that the operator has read; a later change to the same files is a conflict.
    pub expected: Option<Generation>,
}

/// What the apply wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ApplyAction {
    /// Read the manifest.
    ReadManifest,
    /// Read the content with this hash.
    ReadContent(String),
    /// Store a content under its hash unless it is there.
    PutContent(String, String),
    /// Store the manifest if its version is still this one, 0 for absent.
    PutManifest(ObjectVersion, ConfigManifest),
    /// Nothing more.
    Finish(ApplyResult),
}

/// What an action led to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ApplyEvent {
    /// The manifest and its version; `None` where there is none yet.
    Manifest(Option<(ObjectVersion, ConfigManifest)>),
    /// A content.
    Content(String, String),
    /// The content is stored.
    ContentStored,
    /// The manifest is stored.
    ManifestStored,
    /// The manifest has another version.
    ManifestConflict,
    /// The call failed or its answer was lost; a write may have taken effect.
    Unclear,
}

/// How an apply ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ApplyResult {
    /// In the manifest under this generation.
    Applied(Generation),
    /// The files are in force already.
    Unchanged(Generation),
    /// Somebody changed the same file since it was read.
    Conflict {
        /// The file.
        file: String,
        /// Who changed it and when, where the history still says so.
        by: Option<ApplyRecord>,
    },
    /// The files do not pass the checks.
    Invalid(String),
    /// The platform cannot be reached; whether the apply took effect is not known.
    Unclear,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ApplyPhase {
    Reading,
    Fetching,
    Storing,
    Moving,
    Done,
}

/// One apply of some files.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigApply {
    options: ApplyOptions,
    edited: FileTexts,
    hashes: BTreeMap<String, String>,
    base: Option<ConfigManifest>,
    current: ConfigManifest,
    version: ObjectVersion,
    contents: BTreeMap<String, String>,
    to_store: VecDeque<String>,
    phase: ApplyPhase,
    rounds: u32,
    wrote: bool,
}

impl ConfigApply {
    /// Starts an apply; perform the returned action first.
    pub fn start(options: ApplyOptions, edited: FileTexts) -> (ConfigApply, ApplyAction) {
        let hashes = edited.iter().map(|(name, text)| (name.clone(), content_hash(text))).collect();
        let apply = ConfigApply {
            options,
            edited,
            hashes,
            base: None,
            current: ConfigManifest::default(),
            version: 0,
            contents: BTreeMap::new(),
            to_store: VecDeque::new(),
            phase: ApplyPhase::Reading,
            rounds: 0,
            wrote: false,
        };
        (apply, ApplyAction::ReadManifest)
    }

    /// Takes the result of the last action and gives the next one.
    pub fn handle(&mut self, event: ApplyEvent) -> ApplyAction {
        match (&self.phase, event) {
            (_, ApplyEvent::Unclear) => self.read_again(),
            (ApplyPhase::Reading, ApplyEvent::Manifest(read)) => self.manifest_read(read),
            (ApplyPhase::Fetching, ApplyEvent::Content(hash, text)) => {
                self.contents.insert(hash, text);
                self.fetch_or_check()
            }
            (ApplyPhase::Storing, ApplyEvent::ContentStored) => {
                self.to_store.pop_front();
                self.store_or_move()
            }
            (ApplyPhase::Moving, ApplyEvent::ManifestStored) => {
                self.finish(ApplyResult::Applied(self.next_generation()))
            }
            (ApplyPhase::Moving, ApplyEvent::ManifestConflict) => self.read_again(),
            _ => self.finish(ApplyResult::Unclear),
        }
    }

    fn next_generation(&self) -> Generation {
        self.current.generation + 1
    }

    fn finish(&mut self, result: ApplyResult) -> ApplyAction {
        self.phase = ApplyPhase::Done;
        ApplyAction::Finish(result)
    }

    fn read_again(&mut self) -> ApplyAction {
        self.rounds += 1;
        if self.rounds > ROUND_LIMIT {
            return self.finish(ApplyResult::Unclear);
        }
        self.phase = ApplyPhase::Reading;
        ApplyAction::ReadManifest
    }

    fn manifest_read(&mut self, read: Option<(ObjectVersion, ConfigManifest)>) -> ApplyAction {
        // Nothing applied yet: an empty manifest, which the store creates at version 0.
        let (version, manifest) = read.unwrap_or_default();
        // An update whose answer was lost has taken effect if the history knows its id.
        if let Some(record) = manifest.record(self.options.apply) {
            let generation = record.generation;
            return self.finish(ApplyResult::Applied(generation));
        }
        // A store that shows an old version must not let us judge conflicts by it.
        if manifest.generation < self.current.generation {
            return self.read_again();
        }
        self.version = version;
        self.current = manifest;
        let base = self.base.get_or_insert_with(|| self.current.clone()).clone();
        if let Some(file) = self.conflicting_file(&base) {
            let by = self.current.last_change(&file).cloned();
            return self.finish(ApplyResult::Conflict { file, by });
        }
        let unchanged =
            self.hashes.iter().all(|(name, hash)| self.current.files.get(name) == Some(hash));
        // After an own write whose outcome is unknown, equal files alone do not prove who wrote them;
        // the state wanted is in force either way.
        if unchanged && !self.wrote {
            return self.finish(ApplyResult::Unchanged(self.current.generation));
        }
        self.phase = ApplyPhase::Fetching;
        self.fetch_or_check()
    }

    /// An edited file that somebody else changed since the operator's read.
    fn conflicting_file(&self, base: &ConfigManifest) -> Option<String> {
        self.hashes.keys().find(|name| self.changed_since_read(name, base)).cloned()
    }

    fn changed_since_read(&self, name: &str, base: &ConfigManifest) -> bool {
        if self.current.files.get(name) != base.files.get(name) {
            return true;
        }
        match (self.options.expected, self.current.last_change(name)) {
            (Some(expected), Some(record)) => record.generation > expected,
            _ => false,
        }
    }

    fn fetch_or_check(&mut self) -> ApplyAction {
        let missing = self
            .current
            .files
            .iter()
            .find(|(name, hash)| {
                !self.edited.contains_key(*name) && !self.contents.contains_key(*hash)
            })
            .map(|(_, hash)| hash.clone());
        if let Some(hash) = missing {
            return ApplyAction::ReadContent(hash);
        }
        if let Err(report) = self.check() {
            return self.finish(ApplyResult::Invalid(report.to_string()));
        }
        self.phase = ApplyPhase::Storing;
        self.to_store = self.edited.keys().cloned().collect();
        self.store_or_move()
    }

    fn check(&self) -> Result<(), CheckReport> {
        let mut merged = self.edited.clone();
        for (name, hash) in &self.current.files {
            if let Some(text) = self.contents.get(hash) {
                merged.entry(name.clone()).or_insert_with(|| text.clone());
            }
        }
        check_files(self.next_generation(), &merged).map(|_| ())
    }

    fn store_or_move(&mut self) -> ApplyAction {
        if let Some(name) = self.to_store.front() {
            return ApplyAction::PutContent(self.hashes[name].clone(), self.edited[name].clone());
        }
        self.phase = ApplyPhase::Moving;
        self.wrote = true;
        let record = ApplyRecord {
            apply: self.options.apply,
            generation: 0,
            operator: self.options.operator.clone(),
            applied_at: self.options.applied_at,
            files: Vec::new(),
        };
        ApplyAction::PutManifest(self.version, self.current.succeed(&self.hashes, record))
    }
}
