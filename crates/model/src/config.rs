//! Applying configurations: two operators, a store that loses answers and shows old versions, two
//! daemons that read the store and each other.

use std::collections::BTreeMap;

use curlewcleat_config::{
    content_hash, ApplyAction, ApplyEvent, ApplyOptions, ApplyResult, ConfigApply, ConfigManifest,
    ConfigStore, FileTexts,
};
use curlewcleat_core::{ConfigBundle, Generation};
use uuid::Uuid;

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

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    apply: ConfigApply,
    pending: ApplyAction,
    /// Generation of the first manifest that it read.
    first_read: Option<Generation>,
}

/// A state: operators, store, daemons.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigState {
    operators: [Operator; 2],
    manifests: Vec<ConfigManifest>,
    losses: u8,
    old_reads: u8,
    daemons: [ConfigStore; 2],
    /// Highest generation that each daemon has had in force.
    highest: [Generation; 2],
}

impl ConfigModel {
    fn texts(&self, operator: usize) -> FileTexts {
        let name = if self.same_file || operator == 0 { "a.ini" } else { "b.ini" };
        let text = format!("[tier t{operator}]\nrank = {operator}\n");
        BTreeMap::from([(name.to_string(), text)])
    }

    fn operator(&self, index: usize, salt: u128) -> Operator {
        let options = ApplyOptions {
            apply: Uuid::from_u128(index as u128 + 1 + salt),
            operator: format!("operator {index}"),
            applied_at: 0,
            expected: None,
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
        let mut steps = Vec::new();
        let who = format!("operator {index}");
        match &state.operators[index].pending {
            ApplyAction::ReadManifest => {
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
                    steps.push((format!("{who} reads manifest {version} of {latest}"), next));
                }
            }
            ApplyAction::ReadContent(hash) => {
                if let Some(text) = self.text_of(hash) {
                    let event = ApplyEvent::Content(hash.clone(), text);
                    steps.push((format!("{who} reads a content"), Self::feed(state, index, event)));
                }
            }
            ApplyAction::PutContent(..) => {
                steps.push((
                    format!("{who} stores a content"),
                    Self::feed(state, index, ApplyEvent::ContentStored),
                ));
            }
            ApplyAction::PutManifest(expected, manifest) => {
                let fits = *expected == state.manifests.len() as u64;
                if fits || self.fault == ConfigFault::UnconditionalWrite {
                    let mut stored = Self::feed(state, index, ApplyEvent::ManifestStored);
                    stored.manifests.push(manifest.clone());
                    steps.push((
                        format!("{who} stores manifest {}", stored.manifests.len()),
                        stored,
                    ));
                    if state.losses < self.losses {
                        let mut lost = self.lose_answer(state, index);
                        lost.manifests.push(manifest.clone());
                        steps.push((
                            format!("{who} stores a manifest and the answer is lost"),
                            lost,
                        ));
                    }
                } else {
                    let event = ApplyEvent::ManifestConflict;
                    steps.push((
                        format!("{who} finds another version"),
                        Self::feed(state, index, event),
                    ));
                }
                if state.losses < self.losses {
                    steps.push((format!("{who}'s write is lost"), self.lose_answer(state, index)));
                }
            }
            ApplyAction::Finish(_) => {}
        }
        steps
    }

    fn lose_answer(&self, state: &ConfigState, index: usize) -> ConfigState {
        let mut next = Self::feed(state, index, ApplyEvent::Unclear);
        next.losses += 1;
        if self.fault == ConfigFault::RetriesBlindly {
            let first_read = next.operators[index].first_read;
            next.operators[index] = self.operator(index, 100);
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
            operators: [self.operator(0, 0), self.operator(1, 0)],
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
        for daemon in 0..2 {
            if state.daemons[daemon].generation() < state.highest[daemon] {
                return Some(format!("daemon {daemon} went back"));
            }
        }
        let [one, two] = &state.daemons;
        if one.generation() == two.generation() && one.bundle() != two.bundle() {
            return Some("two configurations of one generation".to_string());
        }
        let applied = |operator: &Operator| match &operator.pending {
            ApplyAction::Finish(ApplyResult::Applied(generation)) => Some(*generation),
            _ => None,
        };
        if let (Some(first), Some(second)) =
            (applied(&state.operators[0]), applied(&state.operators[1]))
        {
            if first == second {
                return Some("two applies in one place".to_string());
            }
            let later = usize::from(second > first);
            if self.same_file && state.operators[later].first_read < Some(first.min(second)) {
                return Some("an apply overwrote one that its operator had not seen".to_string());
            }
        }
        for (index, operator) in state.operators.iter().enumerate() {
            let id = Uuid::from_u128(index as u128 + 1);
            let id_again = Uuid::from_u128(index as u128 + 101);
            let records = state.manifests.last().map_or(0, |manifest| {
                manifest
                    .history
                    .iter()
                    .filter(|record| record.apply == id || record.apply == id_again)
                    .count()
            });
            if records > 1 {
                return Some(format!("operator {index}'s apply took effect twice"));
            }
            let done = matches!(operator.pending, ApplyAction::Finish(_));
            let claimed = applied(operator).is_some();
            if done
                && claimed != (records == 1)
                && !matches!(operator.pending, ApplyAction::Finish(ApplyResult::Unclear))
            {
                return Some(format!("operator {index} was told the wrong end"));
            }
        }
        None
    }
}
