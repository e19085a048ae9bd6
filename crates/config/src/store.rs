//! The configuration a daemon has in force; it only ever moves forward.
//!
//! Owns: the configuration in force, its texts and what was read of them. Relies on: `check` for what
//! files have to meet, `archive` for the form that other daemons get.

use std::collections::BTreeMap;
use std::sync::Arc;

use curlewcleat_core::{ActiveConfig, ConfigBundle, Generation};

use crate::archive::{ArchiveError, ConfigArchive};
use crate::check::{join_files, CheckedFile};
use crate::problem::CheckReport;

/// What an offered configuration led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// It is in force now.
    Accepted,
    /// It is not newer than what is in force.
    Stale,
    /// It does not pass the checks of this daemon; the earlier one stays in force.
    Invalid(CheckReport),
}

/// Holds the configuration in force with its texts, so that peers can have them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigStore {
    active: Arc<ActiveConfig>,
    bundle: Option<ConfigBundle>,
    /// The files in force as they were checked, so that a change costs what it changes.
    files: BTreeMap<String, Arc<CheckedFile>>,
    /// The texts packed, once a peer has asked for them.
    archive: Option<ConfigArchive>,
}

impl ConfigStore {
    /// Generation in force, 0 for none.
    pub fn generation(&self) -> Generation {
        self.active.generation
    }

    /// The configuration in force; empty at generation 0.
    pub fn active(&self) -> Arc<ActiveConfig> {
        Arc::clone(&self.active)
    }

    /// The texts in force.
    pub fn bundle(&self) -> Option<&ConfigBundle> {
        self.bundle.as_ref()
    }

    /// The texts in force, packed; `None` where there are none.
    ///
    /// # Errors
    /// Where they cannot be packed.
    pub fn archive(&mut self) -> Result<Option<&ConfigArchive>, ArchiveError> {
        if self.archive.is_none() {
            self.archive = self.bundle.as_ref().map(ConfigArchive::pack).transpose()?;
        }
        Ok(self.archive.as_ref())
    }

    /// Takes an offer from the platform or a peer. Only a higher generation is accepted, so a
    /// store or peer that shows an old version never causes a rollback.
    pub fn offer(&mut self, bundle: ConfigBundle) -> StoreChange {
        if bundle.generation <= self.generation() {
            return StoreChange::Stale;
        }
        let files = self.checked_files(&bundle);
        match join_files(bundle.generation, files.values().map(Arc::as_ref)) {
            Ok(active) => {
                self.active = Arc::new(active);
                self.files = files;
                self.bundle = Some(bundle);
                self.archive = None;
                StoreChange::Accepted
            }
            Err(report) => StoreChange::Invalid(report),
        }
    }

    /// Checks the files of an offer; those that stand in force unchanged are not read again.
    fn checked_files(&self, offer: &ConfigBundle) -> BTreeMap<String, Arc<CheckedFile>> {
        let checked = offer.files.iter().map(|(name, text)| {
            let file = self.unchanged_file(name, text);
            (name.clone(), file.unwrap_or_else(|| Arc::new(CheckedFile::read(name, text))))
        });
        checked.collect()
    }

    fn unchanged_file(&self, name: &str, text: &str) -> Option<Arc<CheckedFile>> {
        let in_force = self.bundle.as_ref()?.files.get(name)?;
        self.files.get(name).filter(|_| in_force == text).map(Arc::clone)
    }
}
