//! State of the model of applying configurations.

use curlewcleat_config::{ApplyAction, ApplyResult, ConfigApply, ConfigManifest, ConfigStore};
use curlewcleat_core::Generation;
use uuid::Uuid;

/// Difference between an operator's two ids: larger than the number of operators, so that all ids differ.
const SECOND_ID: u128 = 100;

/// An operator and the progress of its apply.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Operator {
    /// State machine of the apply.
    pub apply: ConfigApply,
    /// Action whose result the apply waits for.
    pub pending: ApplyAction,
    /// Generation of the first manifest that the operator read.
    pub first_read: Option<Generation>,
}

impl Operator {
    /// Returns the generation that the apply produced, as reported to the operator.
    pub fn applied(&self) -> Option<Generation> {
        match &self.pending {
            ApplyAction::Finish(ApplyResult::Applied(generation)) => Some(*generation),
            _ => None,
        }
    }

    /// Checks whether the operator received a false result. An unclear result is never false.
    pub fn received_false_result(&self, took_effect: bool) -> bool {
        match &self.pending {
            ApplyAction::Finish(ApplyResult::OutcomeUnknown) => false,
            ApplyAction::Finish(_) => self.applied().is_some() != took_effect,
            _ => false,
        }
    }
}

/// State of the operators, the store and the daemons.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigState {
    /// Operators that apply a configuration.
    pub operators: [Operator; 2],
    /// Stored manifests, oldest first.
    pub manifests: Vec<ConfigManifest>,
    /// Number of answers and writes lost so far.
    pub losses: u8,
    /// Number of reads so far that returned an old manifest.
    pub old_reads: u8,
    /// Configuration of each daemon.
    pub daemons: [ConfigStore; 2],
    /// Highest generation that has been active at each daemon.
    pub highest_generations: [Generation; 2],
}

/// Returns the ids of an operator's apply: the first one, and the one under which it is repeated.
pub fn apply_ids(operator: usize) -> [Uuid; 2] {
    let first = operator as u128 + 1;
    [first, first + SECOND_ID].map(Uuid::from_u128)
}
