//! Model of applying configurations: two operators, a store that loses answers and returns old versions, and two
//! daemons that read configurations from the store and from each other.

mod invariants;
mod state;

use std::collections::BTreeMap;

use curlewcleat_config::{
    content_hash, ApplyAction, ApplyEvent, ApplyOptions, ConfigApply, ConfigManifest, ConfigStore,
    FileTexts,
};
use curlewcleat_core::{ConfigBundle, ObjectVersion};
use uuid::Uuid;

use self::invariants::violation;
use self::state::{apply_ids, ConfigState, Operator};
use crate::explore::SpecModel;

/// A fault injected into the protocol, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFault {
    /// No fault.
    None,
    /// The store ignores the version that a write expects, and always accepts the write.
    UnconditionalWrite,
    /// A daemon applies every configuration that it reads, also an older one.
    TakesOldVersions,
    /// An apply whose answer is lost is repeated under a new id.
    RetriesBlindly,
}

/// The specification and its bounds.
#[derive(Clone, Debug)]
pub struct ConfigModel {
    /// Injected fault.
    pub fault: ConfigFault,
    /// Whether both operators apply the same file.
    pub same_file: bool,
    /// Number of answers or writes that may be lost.
    pub losses: u8,
    /// Number of reads that may return an old manifest.
    pub old_reads: u8,
}

impl ConfigModel {
    fn texts(&self, operator: usize) -> FileTexts {
        let name = if self.same_file || operator == 0 { "a.ini" } else { "b.ini" };
        let text = format!("[tier t{operator}]\nrank = {operator}\n");
        BTreeMap::from([(name.to_string(), text)])
    }

    /// Creates an operator that starts an apply under this id.
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

    fn text_with_hash(&self, hash: &str) -> Option<String> {
        (0..2)
            .flat_map(|index| self.texts(index).into_values())
            .find(|text| content_hash(text) == hash)
    }

    fn bundle(&self, manifest: &ConfigManifest) -> ConfigBundle {
        let texts = manifest
            .files
            .iter()
            .filter_map(|(name, hash)| Some((name.clone(), self.text_with_hash(hash)?)));
        ConfigBundle { generation: manifest.generation, files: texts.collect() }
    }

    fn handle_event(state: &ConfigState, index: usize, event: ApplyEvent) -> ConfigState {
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
                let next = Self::handle_event(state, index, ApplyEvent::ContentStored);
                vec![(format!("operator {index} stores a file's content"), next)]
            }
            ApplyAction::PutManifest(expected, manifest) => {
                self.manifest_writes(state, index, *expected, manifest)
            }
            ApplyAction::Finish(_) => Vec::new(),
        }
    }

    /// Returns the reads of each manifest that the store may return; version 0 is none.
    fn manifest_reads(&self, state: &ConfigState, index: usize) -> Vec<(String, ConfigState)> {
        let mut steps = Vec::new();
        let latest = state.manifests.len();
        for version in 0..=latest {
            if version < latest && state.old_reads >= self.old_reads {
                continue;
            }
            let read = version
                .checked_sub(1)
                .map(|index| (version as u64, state.manifests[index].clone()));
            let mut next = Self::handle_event(state, index, ApplyEvent::Manifest(read));
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
        let Some(text) = self.text_with_hash(hash) else { return Vec::new() };
        let event = ApplyEvent::Content(hash.to_string(), text);
        vec![(
            format!("operator {index} reads a file's content"),
            Self::handle_event(state, index, event),
        )]
    }

    /// Returns the possible results of writing the manifest: stored, stored with the answer lost, refused, lost.
    fn manifest_writes(
        &self,
        state: &ConfigState,
        index: usize,
        expected: ObjectVersion,
        manifest: &ConfigManifest,
    ) -> Vec<(String, ConfigState)> {
        let mut steps = Vec::new();
        let name = format!("operator {index}");
        let may_be_lost = state.losses < self.losses;
        let is_current = expected == state.manifests.len() as u64;
        if is_current || self.fault == ConfigFault::UnconditionalWrite {
            let mut stored = Self::handle_event(state, index, ApplyEvent::ManifestStored);
            stored.manifests.push(manifest.clone());
            steps.push((format!("{name} stores manifest {}", stored.manifests.len()), stored));
            if may_be_lost {
                let mut lost = self.handle_lost_answer(state, index);
                lost.manifests.push(manifest.clone());
                steps.push((format!("{name} stores a manifest and the answer is lost"), lost));
            }
        } else {
            let next = Self::handle_event(state, index, ApplyEvent::ManifestConflict);
            steps.push((
                format!("{name}'s write is refused: the manifest has another version"),
                next,
            ));
        }
        if may_be_lost {
            steps.push((format!("{name}'s write is lost"), self.handle_lost_answer(state, index)));
        }
        steps
    }

    fn handle_lost_answer(&self, state: &ConfigState, index: usize) -> ConfigState {
        let mut next = Self::handle_event(state, index, ApplyEvent::OutcomeUnknown);
        next.losses += 1;
        if self.fault == ConfigFault::RetriesBlindly {
            let first_read = next.operators[index].first_read;
            let [_, second_id] = apply_ids(index);
            next.operators[index] = self.operator(index, second_id);
            next.operators[index].first_read = first_read;
        }
        next
    }

    fn offer(&self, state: &ConfigState, daemon: usize, bundle: ConfigBundle) -> ConfigState {
        let mut next = state.clone();
        if self.fault == ConfigFault::TakesOldVersions {
            next.daemons[daemon] = ConfigStore::default();
        }
        // Invalid and stale configurations don't change the daemon.
        let _ = next.daemons[daemon].offer(bundle);
        next.highest_generations[daemon] =
            next.highest_generations[daemon].max(next.daemons[daemon].generation());
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
            highest_generations: [0; 2],
        }
    }

    fn successors(&self, state: &ConfigState) -> Vec<(String, ConfigState)> {
        let mut steps = self.operator_steps(state, 0);
        steps.extend(self.operator_steps(state, 1));
        for daemon in 0..2 {
            for (position, manifest) in state.manifests.iter().enumerate() {
                let next = self.offer(state, daemon, self.bundle(manifest));
                steps.push((format!("daemon {daemon} reads manifest {}", position + 1), next));
            }
            if let Some(bundle) = state.daemons[1 - daemon].bundle() {
                let next = self.offer(state, daemon, bundle.clone());
                steps.push((format!("daemon {daemon} receives its peer's configuration"), next));
            }
        }
        steps
    }

    fn violation(&self, state: &ConfigState) -> Option<String> {
        violation(state, self.same_file)
    }
}
