//! Defines rollouts. A rollout is an operator's order to move a pool to targets of another version.
//!
//! Owns: the order and its stages. Relies on: the platform, which stores the order and its result.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ObjectVersion, PoolId, TargetId, TargetVersion, WorkMicros};

/// Stage of a rollout. Where daemons disagree, the stage that is listed later here applies: a move can still be rolled
/// back, but a rollout that the platform stores as completed cannot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutStage {
    /// Targets of the new version get a small share of the requests.
    Trial,
    /// Targets of the new version get all new requests; the others finish the requests that they run.
    Move,
    /// The new version is rolled back.
    RolledBack,
    /// The new version is the pool's version, and targets of other versions stop.
    Completed,
}

impl RolloutStage {
    /// Returns whether the stage can no longer change.
    pub fn is_final(self) -> bool {
        matches!(self, RolloutStage::RolledBack | RolloutStage::Completed)
    }

    /// Returns the code used in logs and status.
    pub fn code(self) -> &'static str {
        match self {
            RolloutStage::Trial => "trial",
            RolloutStage::Move => "move",
            RolloutStage::RolledBack => "rolled_back",
            RolloutStage::Completed => "completed",
        }
    }
}

/// An operator's order for a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The pool to move.
    pub pool: PoolId,
    /// The version to move it to.
    pub version: TargetVersion,
    /// Time within which the rollout must finish, `None` where the order states no valid one.
    pub time: Option<Duration>,
}

/// An order as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutRecord {
    /// Name of the platform's object.
    pub name: String,
    /// The order.
    pub order: RolloutOrder,
    /// The final stage in the stored status, `None` where there is no status or the rollout is still running.
    pub ended: Option<RolloutStage>,
    /// Whether the object has a status for this version.
    pub has_status: bool,
    /// Revision of the object.
    pub revision: ObjectVersion,
}

/// A write of a rollout's stage to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutWrite {
    /// Name of the platform's object.
    pub name: String,
    /// The version that is rolled out.
    pub version: TargetVersion,
    /// The stage to store.
    pub stage: RolloutStage,
    /// Revision of the object on which the stage was decided; the platform refuses the write where the object has
    /// another.
    pub revision: ObjectVersion,
}

/// State of a rollout as one daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Name of the platform's object.
    pub name: String,
    /// The order.
    pub order: RolloutOrder,
    /// The stage.
    pub stage: RolloutStage,
    /// Latest known revision of the object.
    pub revision: ObjectVersion,
    /// Time since any daemon first received the order.
    pub age: Duration,
}

/// An observation of a target's answer. It is reported at once and not at the end of the answer, because slow answers
/// would otherwise be observed last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AnswerObservation {
    /// The target answered that it failed.
    Failed,
    /// The answer was interrupted, could not be read, or did not arrive in time.
    Broken,
    /// The first part arrived this long after the request.
    Begun(Duration),
    /// Several parts arrived with this mean time between two of them.
    Paced(Duration),
    /// The answer was complete this long after the request.
    Whole(Duration),
}

/// An observation of an answer from a target whose pool has a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AnswerSample {
    /// Rule of the request.
    pub rule: String,
    /// The target.
    pub target: TargetId,
    /// Version of the target, `None` where it reports none.
    pub version: Option<TargetVersion>,
    /// Estimated work until the first part, in microseconds of a slot.
    pub work: WorkMicros,
    /// The observation.
    #[serde(rename = "sight")]
    pub observation: AnswerObservation,
}

/// Consecutive observations of one daemon, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutAnswers {
    /// The pool.
    pub pool: PoolId,
    /// The version that is rolled out.
    pub version: TargetVersion,
    /// Index of the first sample among all that the daemon has observed during this rollout.
    pub first: u64,
    /// The observations.
    pub samples: Vec<AnswerSample>,
}
