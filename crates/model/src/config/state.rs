//! A state of the model of applying configurations.

use curlewcleat_config::{ApplyAction, ApplyResult, ConfigApply, ConfigManifest, ConfigStore};
use curlewcleat_core::Generation;
use uuid::Uuid;

/// Distance between an operator's two ids: more than there are operators, so that all ids differ.
const SECOND_ID: u128 = 100;

/// An operator in the middle of an apply.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Operator {
    /// Its apply.
    pub apply: ConfigApply,
    /// What the apply waits for.
    pub pending: ApplyAction,
    /// Generation of the first manifest that it read.
    pub first_read: Option<Generation>,
}

impl Operator {
    /// Generation at which its apply took effect, as it was told.
    pub fn applied(&self) -> Option<Generation> {
        match &self.pending {
            ApplyAction::Finish(ApplyResult::Applied(generation)) => Some(*generation),
            _ => None,
        }
    }

    /// Whether it was told another end than the one that happened; an unclear end is never wrong.
    pub fn told_wrong_end(&self, took_effect: bool) -> bool {
        match &self.pending {
            ApplyAction::Finish(ApplyResult::OutcomeUnknown) => false,
            ApplyAction::Finish(_) => self.applied().is_some() != took_effect,
            _ => false,
        }
    }
}

/// A state: operators, store, daemons.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigState {
    /// The operators.
    pub operators: [Operator; 2],
    /// Manifests that were stored, oldest first.
    pub manifests: Vec<ConfigManifest>,
    /// Answers and writes lost so far.
    pub losses: u8,
    /// Old manifests shown so far.
    pub old_reads: u8,
    /// The daemons.
    pub daemons: [ConfigStore; 2],
    /// Highest generation that each daemon has had in force.
    pub highest: [Generation; 2],
}

/// Ids of an operator's apply: the first, and the one under which it is made again.
pub fn apply_ids(operator: usize) -> [Uuid; 2] {
    let first = operator as u128 + 1;
    [first, first + SECOND_ID].map(Uuid::from_u128)
}
