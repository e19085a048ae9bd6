//! Applying configurations: two operators, a store that loses answers and shows old versions, two
//! daemons that read the store and each other.

mod promises;
mod state;

use std::collections::BTreeMap;

use curlewcleat_config::{
    content_hash, ApplyAction, ApplyEvent, ApplyOptions, ConfigApply, ConfigManifest, ConfigStore,
    FileTexts,
};
use curlewcleat_core::{ConfigBundle, ObjectVersion};
use uuid::Uuid;

use self::promises::violation;
use self::state::{apply_ids, ConfigState, Operator};
use crate::explore::SpecModel;

/// A fault put into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFault {
    /// The protocol as it is.
    None,
    /// The store ignores the version that a write expects.
    UnconditionalWrite,
    /// A daemon takes whatever it reads.
    TakesOldVersions,
    /// An apply whose answer is lost is made again under a new id.
    RetriesBlindly,
}

/// The specification with its bounds.
#[derive(Clone, Debug)]
pub struct ConfigModel {
    /// Fault put in.
    pub fault: ConfigFault,
    /// Whether both operators apply the same file.
    pub same_file: bool,
    /// Answers that may be lost, or writes that may fail.
    pub losses: u8,
    /// Old manifests that may be shown.
    pub old_reads: u8,
}

impl ConfigModel {
    fn texts(&self, operator: usize) -> FileTexts {
        let name = if self.same_file || operator == 0 { "a.ini" } else { "b.ini" };
        let text = format!("[tier t{operator}]\nrank = {operator}\n");
        BTreeMap::from([(name.to_string(), text)])
    }

    /// An operator who begins to apply under this id.
    fn operator(&self, index: usize, apply: Uuid) -> Operator {
        let options = ApplyOptions {
            apply,
            operator: format!("operator {index}"),
            applied_at: 0,
            expected_generation: None,
        };
        let (apply, pending) = ConfigApply::start(options, self.texts(index));
        Operator { apply, pending, first_read: None }
    }

    fn text_of(&self, hash: &str) -> Option<String> {
        (0..2)
            .flat_map(|index| self.texts(index).into_values())
            .find(|text| content_hash(text) == hash)
    }

    fn bundle(&self, manifest: &ConfigManifest) -> ConfigBundle {
        let texts = manifest
            .files
            .iter()
            .filter_map(|(name, hash)| Some((name.clone(), self.text_of(hash)?)));
        ConfigBundle { generation: manifest.generation, files: texts.collect() }
    }

    fn feed(state: &ConfigState, index: usize, event: ApplyEvent) -> ConfigState {
        let mut next = state.clone();
        let operator = &mut next.operators[index];
        if let ApplyEvent::Manifest(read) = &event {
            let generation = read.as_ref().map_or(0, |(_, manifest)| manifest.generation);
            operator.first_read.get_or_insert(generation);
        }
        operator.pending = operator.apply.handle(event);
        next
    }

    fn operator_steps(&self, state: &ConfigState, index: usize) -> Vec<(String, ConfigState)> {
        match &state.operators[index].pending {
            ApplyAction::ReadManifest => self.manifest_reads(state, index),
            ApplyAction::ReadContent(hash) => self.content_reads(state, index, hash),
            ApplyAction::PutContent(..) => {
                let next = Self::feed(state, index, ApplyEvent::ContentStored);
                vec![(format!("operator {index} stores a content"), next)]
            }
            ApplyAction::PutManifest(expected, manifest) => {
                self.manifest_writes(state, index, *expected, manifest)
            }
            ApplyAction::Finish(_) => Vec::new(),
        }
    }

    /// Reads of each manifest that the store may show.
    fn manifest_reads(&self, state: &ConfigState, index: usize) -> Vec<(String, ConfigState)> {
        let mut steps = Vec::new();
        let latest = state.manifests.len();
        for version in 0..=latest {
            if version < latest && state.old_reads >= self.old_reads {
                continue;
            }
            let read = version
                .checked_sub(1)
                .map(|place| (version as u64, state.manifests[place].clone()));
            let mut next = Self::feed(state, index, ApplyEvent::Manifest(read));
            next.old_reads += u8::from(version < latest);
            steps.push((format!("operator {index} reads manifest {version} of {latest}"), next));
        }
        steps
    }

    fn content_reads(
        &self,
        state: &ConfigState,
        index: usize,
        hash: &str,
    ) -> Vec<(String, ConfigState)> {
        let Some(text) = self.text_of(hash) else { return Vec::new() };
        let event = ApplyEvent::Content(hash.to_string(), text);
        vec![(format!("operator {index} reads a content"), Self::feed(state, index, event))]
    }

    /// The ends of a write of the manifest: stored, stored without an answer, refused, lost.
    fn manifest_writes(
        &self,
        state: &ConfigState,
        index: usize,
        expected: ObjectVersion,
        manifest: &ConfigManifest,
    ) -> Vec<(String, ConfigState)> {
        let mut steps = Vec::new();
        let who = format!("operator {index}");
        let may_lose = state.losses < self.losses;
        let fits = expected == state.manifests.len() as u64;
        if fits || self.fault == ConfigFault::UnconditionalWrite {
            let mut stored = Self::feed(state, index, ApplyEvent::ManifestStored);
            stored.manifests.push(manifest.clone());
            steps.push((format!("{who} stores manifest {}", stored.manifests.len()), stored));
            if may_lose {
                let mut lost = self.lose_answer(state, index);
                lost.manifests.push(manifest.clone());
                steps.push((format!("{who} stores a manifest and the answer is lost"), lost));
            }
        } else {
            let next = Self::feed(state, index, ApplyEvent::ManifestConflict);
            steps.push((format!("{who} finds another version"), next));
        }
        if may_lose {
            steps.push((format!("{who}'s write is lost"), self.lose_answer(state, index)));
        }
        steps
    }

    fn lose_answer(&self, state: &ConfigState, index: usize) -> ConfigState {
        let mut next = Self::feed(state, index, ApplyEvent::OutcomeUnknown);
        next.losses += 1;
        if self.fault == ConfigFault::RetriesBlindly {
            let first_read = next.operators[index].first_read;
            let [_, again] = apply_ids(index);
            next.operators[index] = self.operator(index, again);
            next.operators[index].first_read = first_read;
        }
        next
    }

    fn offer(&self, state: &ConfigState, daemon: usize, bundle: ConfigBundle) -> ConfigState {
        let mut next = state.clone();
        if self.fault == ConfigFault::TakesOldVersions {
            next.daemons[daemon] = ConfigStore::default();
        }
        // Invalid and stale offers leave the daemon as it is.
        let _ = next.daemons[daemon].offer(bundle);
        next.highest[daemon] = next.highest[daemon].max(next.daemons[daemon].generation());
        next
    }
}

impl SpecModel for ConfigModel {
    type State = ConfigState;

    fn initial(&self) -> ConfigState {
        ConfigState {
            operators: [0, 1].map(|index| self.operator(index, apply_ids(index)[0])),
            manifests: Vec::new(),
            losses: 0,
            old_reads: 0,
            daemons: Default::default(),
            highest: [0; 2],
        }
    }

    fn successors(&self, state: &ConfigState) -> Vec<(String, ConfigState)> {
        let mut steps = self.operator_steps(state, 0);
        steps.extend(self.operator_steps(state, 1));
        for daemon in 0..2 {
            for (place, manifest) in state.manifests.iter().enumerate() {
                let next = self.offer(state, daemon, self.bundle(manifest));
                steps.push((format!("daemon {daemon} reads manifest {}", place + 1), next));
            }
            if let Some(bundle) = state.daemons[1 - daemon].bundle() {
                let next = self.offer(state, daemon, bundle.clone());
                steps.push((format!("daemon {daemon} hears of its peer's configuration"), next));
            }
        }
        steps
    }

    fn violation(&self, state: &ConfigState) -> Option<String> {
        violation(state, self.same_file)
    }
}
