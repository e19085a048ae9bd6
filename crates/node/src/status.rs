//! A view of a node for operators and metrics.
//!
//! Owns: the form of a status inside the product. Relies on: nothing.

use std::fmt;
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, Generation, ObjectVersion, PoolId, RequestDigest, RequestRate, RolloutStage,
    SuspectReport, TargetId, TargetVersion, TierRank,
};
use curlewcleat_sched::{DrainPhase, PeerState};

/// One target as the scheduler of its pool sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Name.
    pub id: TargetId,
    /// Permits in use.
    pub in_flight: u32,
    /// Slots.
    pub slots: u32,
    /// Learned slowness in thousandths.
    pub slowness: u64,
    /// Whether it leaves.
    pub leaving: bool,
    /// Whether it is ejected for failures.
    pub ejected: bool,
    /// The requests a second that it takes from all daemons, by its own word, `None` for any number.
    pub limit: Option<RequestRate>,
    /// Whether it has asked any daemon for rest that lasts.
    pub rests: bool,
}

/// The part of the work of one urgency that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedPart {
    /// Rank of the tier.
    pub tier: TierRank,
    /// Rank of the rules.
    pub urgency: TierRank,
    /// Part, in percent.
    pub percent: u64,
}

impl fmt::Display for GrantedPart {
    fn fmt(&self, form: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(form, "{}/{}:{}", self.tier, self.urgency, self.percent)
    }
}

/// One pool as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolStatus {
    /// Name.
    pub id: PoolId,
    /// VM that schedules it.
    pub scheduler: String,
    /// Requests that wait here.
    pub waiting: usize,
    /// Those of them that can no longer begin in time.
    pub late: usize,
    /// Of each urgency of each tier the part of the work asked for that was granted here lately, in percent.
    pub granted: Vec<GrantedPart>,
    /// Permits given here and in use.
    pub in_flight: usize,
    /// Lowest tier taken in here, `None` for all.
    pub lowest_open: Option<TierRank>,
    /// Targets.
    pub targets: Vec<TargetStatus>,
}

/// One order to move a pool to targets of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The pool.
    pub pool: PoolId,
    /// The version.
    pub version: TargetVersion,
    /// How far it is.
    pub stage: RolloutStage,
    /// Time since the order was known to any daemon.
    pub age: Duration,
    /// Time within which the pool is to have the version, `None` where the order names no usable one.
    pub time: Option<Duration>,
    /// Requests granted by this daemon during the trial, and those of them that went to the version.
    pub requests: u64,
    pub trial_requests: u64,
    /// Answers of the version and of others that are known here.
    pub answers: usize,
    pub other_answers: usize,
    /// Answers of the version that failed or broke off.
    pub bad_answers: u64,
}

/// Bytes of configurations that peers have sent to a daemon since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigIntake {
    /// Of those that were needed.
    pub taken: u64,
    /// Of those that were here already, or too old.
    pub unused: u64,
}

/// A daemon as it sees itself and its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// This daemon.
    pub me: DaemonId,
    /// Configuration in force.
    pub generation: Generation,
    /// Known key table.
    pub table: ObjectVersion,
    /// Requests under which targets ended, or may have.
    pub suspects: Vec<SuspectReport>,
    /// Those that are refused for good.
    pub refused: Vec<RequestDigest>,
    /// Key slots held.
    pub key_slots: usize,
    /// Keys held.
    pub keys: usize,
    /// Requests in progress.
    pub requests: usize,
    /// Orders to move pools to targets of other versions.
    pub rollouts: Vec<RolloutStatus>,
    /// Configurations that peers have sent.
    pub config_intake: ConfigIntake,
    /// Planned stop.
    pub drain: DrainPhase,
    /// Pools.
    pub pools: Vec<PoolStatus>,
    /// Peers by VM.
    pub peers: Vec<(String, PeerState)>,
}
