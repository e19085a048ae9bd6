//! Defines the status of a node for operators and metrics.
//!
//! Owns: the form of a status inside the product. Relies on: nothing.

use std::fmt;
use std::time::Duration;

use curlewcleat_core::{
    ConfigFault, DaemonId, DataCentreId, FeatureReport, Generation, ObjectVersion, PoolId,
    RequestFeature, RequestRate, RolloutStage, TargetId, TargetVersion, TierRank,
};
use curlewcleat_sched::{DrainPhase, PeerState, ReturnCounts};

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
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Whether the target is ejected because of failures.
    pub ejected: bool,
    /// The requests per second that the target accepts from all daemons, as it reports itself, `None` if unlimited.
    pub limit: Option<RequestRate>,
    /// Whether the target has requested rest from any daemon and the rest still lasts.
    pub is_resting: bool,
    /// The requests per second that the target accepts until it is warm, `None` if it is warm or states no limit.
    pub warm_up_rate: Option<RequestRate>,
    /// The slowness in percent that the target stated last, and the age of the statement; `None` if none is believed.
    pub stated_slowness: Option<(u32, Duration)>,
}

/// The share of the requested work of one urgency that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedShare {
    /// Rank of the tier.
    pub tier: TierRank,
    /// Rank of the rules.
    pub urgency: TierRank,
    /// Share, in percent.
    pub percent: u64,
}

impl fmt::Display for GrantedShare {
    fn fmt(&self, form: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(form, "{}/{}:{}", self.tier, self.urgency, self.percent)
    }
}

/// One pool as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolStatus {
    /// Name.
    pub id: PoolId,
    /// VM that schedules the pool.
    pub scheduler: String,
    /// Requests that wait here.
    pub waiting: usize,
    /// Waiting requests that can no longer start in time.
    pub late: usize,
    /// Returns of refused requests that were booked here.
    pub returns: ReturnCounts,
    /// The share of the requested work that was granted here recently, for each urgency of each tier.
    pub granted: Vec<GrantedShare>,
    /// Permits granted here and in use.
    pub in_flight: usize,
    /// Lowest tier that is admitted here, `None` for all.
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
    /// Stage of the order.
    pub stage: RolloutStage,
    /// Time since any daemon first knew the order.
    pub age: Duration,
    /// Time within which the pool has to be moved to the version, `None` if the order names no usable one.
    pub time: Option<Duration>,
    /// Requests granted by this daemon during the trial.
    pub requests: u64,
    /// How many of these requests went to the version.
    pub trial_requests: u64,
    /// Answers of the version that are known here.
    pub answers: usize,
    /// Answers of other versions that are known here.
    pub other_answers: usize,
    /// Answers of the version that failed or were interrupted.
    pub bad_answers: u64,
}

/// Bytes of configurations that peers have sent to a daemon since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigIntake {
    /// Bytes of configurations that were needed.
    pub taken: u64,
    /// Bytes of configurations that were here already or too old.
    pub unused: u64,
}

/// The state of a daemon and its view of its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// This daemon.
    pub me: DaemonId,
    /// Configuration in force.
    pub generation: Generation,
    /// Values of this configuration that cannot be used as they stand.
    pub config_faults: Vec<ConfigFault>,
    /// Version of the known key table.
    pub table: ObjectVersion,
    /// Features of requests that terminated their targets, or are suspected of it.
    pub suspects: Vec<FeatureReport>,
    /// Features whose requests are refused permanently.
    pub refused: Vec<RequestFeature>,
    /// Key slots held.
    pub key_slots: usize,
    /// Keys held.
    pub keys: usize,
    /// Requests in progress.
    pub requests: usize,
    /// Data centres whose targets get no new requests.
    pub evacuated: Vec<DataCentreId>,
    /// Orders to move pools to targets of other versions.
    pub rollouts: Vec<RolloutStatus>,
    /// Configurations that peers have sent.
    pub config_intake: ConfigIntake,
    /// Phase of the planned stop.
    pub drain: DrainPhase,
    /// Pools.
    pub pools: Vec<PoolStatus>,
    /// Peers by VM.
    pub peers: Vec<(String, PeerState)>,
}
