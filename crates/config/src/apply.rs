//! Applies files as a state machine: checks them, stores their contents, then updates the manifest once.
//!
//! The caller performs the actions and passes their results back. If the answer of a call is lost, the manifest is read
//! again; the apply's id in its history shows whether the update took effect. If another apply changed other files, the
//! files are checked together with these and the update is tried again; a change to the same file is a conflict.
//!
//! Owns: the state of one apply. Relies on: a driver that performs its actions (`curlewcleat-store`).

use std::collections::{BTreeMap, VecDeque};

use curlewcleat_core::{Generation, ObjectVersion};
use uuid::Uuid;

use crate::check::check_files;
use crate::manifest::{content_hash, ApplyRecord, ConfigManifest};
use crate::problem::CheckReport;
use crate::FileTexts;

/// Number of times that the manifest is read again before the apply gives up.
const REREAD_LIMIT: u32 = 20;

/// Options of one apply: its id, the operator, and the generation that the operator expects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ApplyOptions {
    /// Random id of this apply.
    pub apply: Uuid,
    /// Name of the operator, for the history.
    pub operator: String,
    /// Seconds since the Unix epoch.
    pub applied_at: u64,
    /// Generation that the operator has read; a later change to the same files is a conflict.
    pub expected_generation: Option<Generation>,
}

/// The next action that the caller must perform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ApplyAction {
    /// Read the manifest.
    ReadManifest,
    /// Read the content with this hash.
    ReadContent(String),
    /// Store a content under its hash unless it exists: the hash and the content.
    PutContent(String, String),
    /// Store the manifest if the stored one still has this version; 0 if there is none.
    PutManifest(ObjectVersion, ConfigManifest),
    /// The apply is finished.
    Finish(ApplyResult),
}

/// The result of an action.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ApplyEvent {
    /// The manifest and its version; `None` where there is none yet.
    Manifest(Option<(ObjectVersion, ConfigManifest)>),
    /// The requested hash and its content.
    Content(String, String),
    /// The content is stored.
    ContentStored,
    /// The manifest is stored.
    ManifestStored,
    /// The stored manifest has another version.
    ManifestConflict,
    /// The call failed or its answer was lost; a write may have taken effect.
    OutcomeUnknown,
}

/// How an apply ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ApplyResult {
    /// The manifest holds the files under this generation.
    Applied(Generation),
    /// The files were already in force at this generation.
    Unchanged(Generation),
    /// Another apply changed the same file since it was read.
    Conflict {
        /// The file.
        file: String,
        /// The apply that changed it, if the history still holds it.
        by: Option<ApplyRecord>,
    },
    /// The files fail the checks, for the reasons in the text.
    Invalid(String),
    /// The platform cannot be reached or the manifest changed too often; it is unknown whether the apply took effect.
    OutcomeUnknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ApplyPhase {
    ReadingManifest,
    ReadingContents,
    StoringContents,
    UpdatingManifest,
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
    contents_to_store: VecDeque<String>,
    phase: ApplyPhase,
    rereads: u32,
    sent_manifest: bool,
}

impl ConfigApply {
    /// Starts an apply and returns its first action.
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
            contents_to_store: VecDeque::new(),
            phase: ApplyPhase::ReadingManifest,
            rereads: 0,
            sent_manifest: false,
        };
        (apply, ApplyAction::ReadManifest)
    }

    /// Handles the result of the last action and returns the next one.
    pub fn handle(&mut self, event: ApplyEvent) -> ApplyAction {
        match (&self.phase, event) {
            (_, ApplyEvent::OutcomeUnknown) => self.reread_manifest(),
            (ApplyPhase::ReadingManifest, ApplyEvent::Manifest(stored)) => {
                self.handle_manifest(stored)
            }
            (ApplyPhase::ReadingContents, ApplyEvent::Content(hash, text)) => {
                self.contents.insert(hash, text);
                self.read_contents_or_check()
            }
            (ApplyPhase::StoringContents, ApplyEvent::ContentStored) => {
                self.contents_to_store.pop_front();
                self.store_or_update_manifest()
            }
            (ApplyPhase::UpdatingManifest, ApplyEvent::ManifestStored) => {
                self.finish(ApplyResult::Applied(self.next_generation()))
            }
            (ApplyPhase::UpdatingManifest, ApplyEvent::ManifestConflict) => self.reread_manifest(),
            _ => self.finish(ApplyResult::OutcomeUnknown),
        }
    }

    fn next_generation(&self) -> Generation {
        self.current.generation + 1
    }

    fn finish(&mut self, result: ApplyResult) -> ApplyAction {
        self.phase = ApplyPhase::Done;
        ApplyAction::Finish(result)
    }

    fn reread_manifest(&mut self) -> ApplyAction {
        self.rereads += 1;
        if self.rereads > REREAD_LIMIT {
            return self.finish(ApplyResult::OutcomeUnknown);
        }
        self.phase = ApplyPhase::ReadingManifest;
        ApplyAction::ReadManifest
    }

    fn handle_manifest(&mut self, stored: Option<(ObjectVersion, ConfigManifest)>) -> ApplyAction {
        // Before the first apply there is no manifest: start from an empty one, to be created at version 0.
        let (version, manifest) = stored.unwrap_or_default();
        // An update whose answer was lost took effect if the history holds the id of this apply.
        if let Some(record) = manifest.record(self.options.apply) {
            let generation = record.generation;
            return self.finish(ApplyResult::Applied(generation));
        }
        // Conflicts must not be detected against an older manifest than one read before.
        if manifest.generation < self.current.generation {
            return self.reread_manifest();
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
        // After an update by this apply with unknown outcome, equal files do not prove which apply wrote them, so the
        // result cannot be `Unchanged`; the requested files are in force either way.
        if unchanged && !self.sent_manifest {
            return self.finish(ApplyResult::Unchanged(self.current.generation));
        }
        self.phase = ApplyPhase::ReadingContents;
        self.read_contents_or_check()
    }

    /// Returns an edited file that another apply changed since the operator read it.
    fn conflicting_file(&self, base: &ConfigManifest) -> Option<String> {
        self.hashes.keys().find(|name| self.changed_since_read(name, base)).cloned()
    }

    fn changed_since_read(&self, name: &str, base: &ConfigManifest) -> bool {
        if self.current.files.get(name) != base.files.get(name) {
            return true;
        }
        match (self.options.expected_generation, self.current.last_change(name)) {
            (Some(expected), Some(record)) => record.generation > expected,
            _ => false,
        }
    }

    fn read_contents_or_check(&mut self) -> ApplyAction {
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
        self.phase = ApplyPhase::StoringContents;
        self.contents_to_store = self.edited.keys().cloned().collect();
        self.store_or_update_manifest()
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

    fn store_or_update_manifest(&mut self) -> ApplyAction {
        if let Some(name) = self.contents_to_store.front() {
            return ApplyAction::PutContent(self.hashes[name].clone(), self.edited[name].clone());
        }
        self.phase = ApplyPhase::UpdatingManifest;
        self.sent_manifest = true;
        let record = ApplyRecord {
            apply: self.options.apply,
            generation: 0,
            operator: self.options.operator.clone(),
            applied_at: self.options.applied_at,
            files: Vec::new(),
        };
        ApplyAction::PutManifest(self.version, self.current.with_apply(&self.hashes, record))
    }
}
