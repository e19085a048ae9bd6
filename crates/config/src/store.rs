//! Holds the configuration that a daemon has in force, and replaces it by higher generations only.
//!
//! Owns: the configuration in force, its texts and the checked files. Relies on: `check` for the checks of the files,
//! `archive` for the compressed form that other daemons get.

use std::collections::BTreeMap;
use std::sync::Arc;

use curlewcleat_core::{ActiveConfig, ConfigBundle, Generation};

use crate::archive::{ArchiveError, ConfigArchive};
use crate::check::{merge_files, CheckedFile};
use crate::document;
use crate::problem::CheckReport;

/// The outcome of offering a configuration to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// It is in force now.
    Accepted,
    /// Its generation is not higher than the one in force.
    Stale,
    /// It fails the checks of this daemon; the earlier configuration stays in force.
    Invalid(CheckReport),
}

/// Holds the configuration in force with its texts, which peers can request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigStore {
    active: Arc<ActiveConfig>,
    bundle: Option<ConfigBundle>,
    /// The checked files in force, so that a new configuration checks only the files that changed.
    files: BTreeMap<String, Arc<CheckedFile>>,
    /// The texts in compressed form, made when a peer first requests them.
    archive: Option<ConfigArchive>,
    /// Whether configurations of a platform are accepted, which pass no checks of operators' files.
    accepts_documents: bool,
}

impl ConfigStore {
    /// Creates a store for a platform that keeps the configuration itself.
    pub fn for_platform() -> ConfigStore {
        ConfigStore { accepts_documents: true, ..ConfigStore::default() }
    }

    /// Returns the generation in force, 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.active.generation
    }

    /// Returns the configuration in force; it is empty at generation 0.
    pub fn active(&self) -> Arc<ActiveConfig> {
        Arc::clone(&self.active)
    }

    /// Returns the texts in force with their generation.
    pub fn bundle(&self) -> Option<&ConfigBundle> {
        self.bundle.as_ref()
    }

    /// Returns the texts in force in compressed form, or `None` if no configuration is in force.
    ///
    /// # Errors
    /// If they cannot be packed.
    pub fn archive(&mut self) -> Result<Option<&ConfigArchive>, ArchiveError> {
        if self.archive.is_none() {
            self.archive = self.bundle.as_ref().map(ConfigArchive::pack).transpose()?;
        }
        Ok(self.archive.as_ref())
    }

    /// Checks a configuration from the platform or a peer and puts it in force if it is valid. Only a higher generation
    /// is accepted, so that a store or peer with an old version never causes a rollback.
    pub fn offer(&mut self, bundle: ConfigBundle) -> OfferResult {
        if bundle.generation <= self.generation() {
            return OfferResult::Stale;
        }
        match document::decode(&bundle).filter(|_| self.accepts_documents) {
            None => self.offer_files(bundle),
            Some(Ok(config)) => self.accept(config, BTreeMap::new(), bundle),
            Some(Err(error)) => invalid_document(&error),
        }
    }

    /// Puts a configuration in force that the platform's adapter has decoded, under the same condition.
    pub fn offer_decoded(&mut self, config: ActiveConfig) -> OfferResult {
        if config.generation <= self.generation() {
            return OfferResult::Stale;
        }
        match document::encode(&config) {
            Ok(bundle) => self.accept(config, BTreeMap::new(), bundle),
            Err(error) => invalid_document(&error),
        }
    }

    fn offer_files(&mut self, bundle: ConfigBundle) -> OfferResult {
        let files = self.checked_files(&bundle);
        match merge_files(bundle.generation, files.values().map(Arc::as_ref)) {
            Ok(active) => self.accept(active, files, bundle),
            Err(report) => OfferResult::Invalid(report),
        }
    }

    fn accept(
        &mut self,
        active: ActiveConfig,
        files: BTreeMap<String, Arc<CheckedFile>>,
        bundle: ConfigBundle,
    ) -> OfferResult {
        self.active = Arc::new(active);
        self.files = files;
        self.bundle = Some(bundle);
        self.archive = None;
        OfferResult::Accepted
    }

    /// Checks the files of an offered configuration; reuses the result for files equal to those in force.
    fn checked_files(&self, offered: &ConfigBundle) -> BTreeMap<String, Arc<CheckedFile>> {
        let checked = offered.files.iter().map(|(name, text)| {
            let file = self.reusable_file(name, text);
            (name.clone(), file.unwrap_or_else(|| Arc::new(CheckedFile::read(name, text))))
        });
        checked.collect()
    }

    fn reusable_file(&self, name: &str, text: &str) -> Option<Arc<CheckedFile>> {
        let in_force = self.bundle.as_ref()?.files.get(name)?;
        self.files.get(name).filter(|_| in_force == text).map(Arc::clone)
    }
}

fn invalid_document(error: &document::DocumentError) -> OfferResult {
    let mut report = CheckReport::default();
    report.add(document::DOCUMENT_FILE, "", "", error.to_string());
    OfferResult::Invalid(report)
}
