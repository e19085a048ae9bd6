//! Defines the events that a node handles and the actions that it returns.
//!
//! Owns: the form of both. Relies on: nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_config::CheckReport;
use curlewcleat_core::{
    ActiveConfig, AnswerSample, AttemptEnd, ConfigBundle, ConfigFault, DaemonId, DaemonRecord,
    DataCentreId, DiscoveredTarget, EvacuationList, FeatureReport, Generation, KeptAnswer,
    NoticeReport, ObjectVersion, PeerFrame, PermitId, PoolId, Refusal, RequestDigest,
    RequestFeature, RequestId, RequestInterruption, RetryReason, RolloutRecord, RolloutWrite,
    SourceForm, StatedLoad, StreamSource, StreamTally, StreamVersion, TargetChange, TargetEntry,
    TargetInstance, TargetReport, TargetVersion, Uptime, Verdict, VersionHistory, VmId,
    WarmUpLimit,
};
use curlewcleat_keys::KeyTable;
use curlewcleat_sched::{ReplacementStep, RequestSpec, RetryBound, RolloutReason, VersionProof};

use crate::evacuation_view::EvacuationChange;
use crate::freshness::ReadRole;
use crate::status::{PoolStatus, RolloutStatus};
use crate::target_view::{InstanceChange, RemovedTarget};

/// A VM in the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Whether the VM is about to be removed.
    pub leaving: bool,
}

/// Result of proposing a key table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableWrite {
    /// The table was stored under this version.
    Stored(ObjectVersion, KeyTable),
    /// Another table was stored before, or the answer was lost: the table has to be read again.
    ReadAgain,
}

/// How a dispatched request has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestEnd {
    /// Whether it has run.
    pub verdict: Verdict,
    /// How its last attempt ended.
    pub attempt_end: AttemptEnd,
    /// Whether the target's answer proved that it was complete. The end of a connection does not.
    pub is_proved: bool,
    /// The answer, if it is kept with its idempotency key.
    pub kept_answer: Option<KeptAnswer>,
}

/// An event for a node.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Time has passed.
    Tick,
    /// A frame of a peer.
    PeerFrameReceived(PeerFrame),
    /// A caller's request.
    Admit(Box<RequestSpec>),
    /// A dispatched request has ended and is not retried.
    Finished(RequestId, Box<RequestEnd>),
    /// An attempt provably did not run.
    AttemptNotRun(RequestId, AttemptEnd, RetryReason),
    /// A dispatched request's target is stalled or responds again, or a step of its replacement.
    Replacement(RequestId, ReplacementStep),
    /// The caller of a dispatched request has received a part of its answer.
    AnswerBegun(RequestId),
    /// The answer to a dispatched request has begun and went on for a while, so that its target did not terminate as it
    /// began.
    AnswerEstablished(RequestId),
    /// A target has sent the first event of a stream that may be continued.
    StreamBegun(RequestId, PoolId, StreamVersion),
    /// The caller disconnected while its request waited.
    CallerDisconnected(RequestId),
    /// The configuration that the platform shows.
    ConfigRead(ConfigBundle),
    /// A configuration that the platform's adapter has decoded.
    ConfigDecoded(Box<ActiveConfig>),
    /// The key table that the platform shows; `None` if it has none.
    TableRead(Option<(ObjectVersion, KeyTable)>),
    /// The result of proposing a key table.
    TableWritten(TableWrite),
    /// A request was interrupted at a target instance.
    RequestInterrupted(Vec<RequestFeature>, RequestInterruption),
    /// The valid notices of a target of a pool that this daemon has received.
    NoticeReceived(PoolId, NoticeReport),
    /// A target of a pool stated its load in an answer to this daemon.
    LoadStated {
        /// The pool.
        pool: PoolId,
        /// The target instance.
        instance: TargetInstance,
        /// What it stated.
        load: StatedLoad,
        /// When the head of the answer arrived.
        seen: Uptime,
    },
    /// The targets of a pool bear this many refusals a second before they terminate; `None` if they are not brittle.
    BrittleChanged(PoolId, Option<u32>),
    /// All rollout orders at a revision.
    RolloutsListed {
        /// The orders.
        rollouts: Vec<RolloutRecord>,
        /// The revision.
        at: ObjectVersion,
        /// When the read was sent.
        sent: Uptime,
    },
    /// An answer of a target was observed in a pool that is being rolled out.
    AnswerObserved(PoolId, Box<AnswerSample>),
    /// The permanently refused requests that the platform has stored.
    RefusalsRead(Vec<FeatureReport>),
    /// What the streams of this daemon look like that have ended since the last time.
    StreamTalliesRead(Vec<(StreamSource, StreamTally)>),
    /// What the streams of targets look like, as the platform has kept it.
    StoredFormsRead(Vec<SourceForm>),
    /// The platform has stored what the streams of a pool look like.
    StreamFormsStored(PoolId, Vec<SourceForm>),
    /// The platform has stored the refusal of a request.
    RefusalStored(RequestFeature),
    /// The versions at which the streams of all pools begin and began, from a read sent at `sent`.
    VersionHistoriesRead {
        /// The histories of the pools that have one.
        histories: Vec<VersionHistory>,
        /// When the read was sent.
        sent: Uptime,
    },
    /// An operator states that a request is not the reason for which targets terminated.
    ClearSuspect(RequestDigest),
    /// The report on a target, for the scheduler of its pool.
    TargetReported(PoolId, TargetInstance, TargetReport),
    /// All discovered targets at a revision.
    TargetsListed(Vec<DiscoveredTarget>, ObjectVersion),
    /// The changes of the discovered targets between two revisions.
    TargetsChanged {
        /// The earlier revision.
        from: ObjectVersion,
        /// The changes in order.
        changes: Vec<TargetChange>,
        /// The later revision.
        at: ObjectVersion,
    },
    /// The evacuated data centres that the platform shows.
    EvacuationsListed {
        /// The list.
        list: EvacuationList,
        /// When the read was sent.
        sent: Uptime,
    },
    /// What the targets of each pool accept while they warm up, as the platform states it.
    WarmUpLimitsRead(BTreeMap<PoolId, WarmUpLimit>),
    /// A read of the platform that was sent at this time showed the configuration in force to be the newest.
    PlatformRead(Uptime),
    /// A read of the platform failed.
    PlatformFailed,
    /// All daemons that are recorded at the platform.
    DaemonsListed(Vec<DaemonRecord>),
    /// The initial peer addresses in the settings have changed.
    SeedsChanged(Vec<String>),
    /// The platform's VM list.
    VmsRead(Vec<ListedVm>),
    /// Begin a planned stop.
    Drain,
}

/// The answer to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerDecision {
    /// Send the request to this target, once.
    Dispatch(PermitId, TargetEntry),
    /// Refuse the request.
    Refuse(Refusal),
    /// Answer with the stored answer of an earlier attempt.
    Replay(KeptAnswer),
}

/// A call that a node requests of its platform, or a fact that the platform's tasks need.
#[derive(Clone, Debug)]
pub enum PlatformCall {
    /// Store a key table if the stored version is still this one.
    ProposeTable(ObjectVersion, KeyTable),
    /// Read the key table.
    ReadTable,
    /// The configuration in force was the newest at this time, as a peer's read has shown.
    ConfigConfirmed(Uptime),
    /// Set whether the daemon reads the platform from now on.
    Read(ReadRole),
    /// Store the refusal of a request.
    StoreRefusal(FeatureReport),
    /// Delete the stored refusal of a request.
    DropRefusal(RequestFeature),
    /// Read the rollout orders again.
    ReadRollouts,
    /// Store the stage of an order, and read the orders again.
    WriteRollout(RolloutWrite),
    /// Read the evacuated data centres, if this daemon reads the platform.
    ReadEvacuations,
    /// Read at which versions the streams of all pools begin.
    ReadVersionHistories,
    /// Store at which versions the streams of a pool begin if the stored object still has the revision, and read them
    /// again.
    WriteVersionHistory(VersionHistory),
    /// Store what the streams of a pool look like.
    WriteStreamForms(PoolId, Vec<SourceForm>),
}

/// An action that the driver of a node has to perform.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Send a frame to an `ip:port`.
    Send(String, PeerFrame),
    /// Answer a caller.
    Decide(RequestId, CallerDecision),
    /// Call the platform, or pass a fact to the tasks that call it.
    Platform(PlatformCall),
    /// A new configuration is in force.
    ConfigChanged,
    /// Send nothing more to the targets of these data centres, and of no others.
    SetEvacuated(BTreeSet<DataCentreId>),
    /// Read what the streams of this daemon look like.
    ReadStreamTallies,
    /// Compare streams with these forms, which the daemons know together; targets of these pools damage events.
    SetStreamForms(Vec<SourceForm>, Vec<PoolId>),
    /// Count a retry.
    Count(RetryReason),
    /// Report to the operators.
    Note(NodeNote),
    /// The planned stop is complete.
    End,
}

/// How the version that began a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// This daemon remembers the stream.
    Own,
    /// Another daemon remembers it, or has proved it by the stored splits.
    Peer,
    /// It was not found; the request is refused.
    Unknown,
}

impl VersionSource {
    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            VersionSource::Own => "own",
            VersionSource::Peer => "peer",
            VersionSource::Unknown => "unknown",
        }
    }
}

/// Why a new stream may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartObstacle {
    /// The splits were not read for too long, and this daemon cannot tell that they are still in use.
    NotRead,
    /// The version of the stream's slot has no targets, and the next split is not stored.
    VersionWithoutTargets,
    /// The next split gives the stream's slot another version, and this daemon reaches too few others to use it.
    SplitNotInUse,
    /// The platform has not stored that callers have as much time as this one, so that a proof would not count back far
    /// enough.
    TimeoutNotStored,
}

impl StartObstacle {
    /// All obstacles.
    pub const ALL: [StartObstacle; 4] = [
        StartObstacle::NotRead,
        StartObstacle::VersionWithoutTargets,
        StartObstacle::SplitNotInUse,
        StartObstacle::TimeoutNotStored,
    ];

    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            StartObstacle::NotRead => "splits_not_read",
            StartObstacle::VersionWithoutTargets => "version_without_targets",
            StartObstacle::SplitNotInUse => "split_not_in_use",
            StartObstacle::TimeoutNotStored => "timeout_not_stored",
        }
    }
}

/// An event that is reported to the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeNote {
    /// A configuration is in force.
    ConfigAccepted(Generation),
    /// A configuration does not pass the checks of this daemon.
    ConfigInvalid(Generation, CheckReport),
    /// Values of the configuration in force cannot be used as they stand.
    ConfigFaults(Generation, Vec<ConfigFault>),
    /// The configuration in force cannot be packed for peers.
    ConfigNotPacked(Generation, String),
    /// A configuration that was received from peers cannot be unpacked.
    ConfigUnreadable(Generation, String),
    /// A request is not retried, because of this bound.
    RetryDenied(RequestId, RetryBound),
    /// A request takes up a stream.
    StreamTakenUp {
        /// The request.
        request: RequestId,
        /// How the version that began the stream was found.
        source: VersionSource,
        /// How long the request waited for it.
        waited: Duration,
    },
    /// This daemon answers a query for the version of a stream by the stored splits.
    StreamProof {
        /// The request that takes up the stream.
        request: RequestId,
        /// The version, or why it is not proved, and by what.
        proof: VersionProof,
        /// Age of the read that showed the splits, `None` where there was none.
        read_age: Option<Duration>,
    },
    /// A new stream is refused, since no split selects its version.
    StreamStartRefused {
        /// The request.
        request: RequestId,
        /// Pool of the stream.
        pool: PoolId,
        /// What was missing.
        obstacle: StartObstacle,
        /// How long the request waited for it.
        waited: Duration,
        /// Age of the latest read of the splits, `None` where there was none.
        read_age: Option<Duration>,
    },
    /// A peer became unreachable.
    PeerLost(DaemonId),
    /// A peer's VM has started a new daemon.
    PeerReplaced(DaemonId),
    /// A list entry stated another instance of its target.
    InstanceChanged(InstanceChange),
    /// The list entry of a target was removed.
    TargetRemoved(RemovedTarget),
    /// A list of targets was ignored, since a later one is known.
    StaleTargetList {
        /// Revision of the list.
        at: ObjectVersion,
        /// Revision that is known.
        known: ObjectVersion,
    },
    /// A target has terminated while running a request with a feature.
    TargetTerminated(RequestFeature, TargetInstance),
    /// Requests with a feature are refused permanently from now on.
    RequestLethal(FeatureReport),
    /// Requests with a feature are no longer refused.
    RequestAllowed(RequestFeature),
    /// An operator has cleared a feature.
    SuspectCleared(RequestFeature),
    /// An order has reached this stage, and the reason if this daemon has decided it.
    RolloutStage(RolloutStatus, Option<RolloutReason>),
    /// These versions of a pool's targets are held back until the orders are read; empty if none is held back any
    /// more.
    VersionsHeld(PoolId, Vec<TargetVersion>),
    /// Data centres are evacuated, or no longer are.
    EvacuationsChanged(EvacuationChange),
    /// A key table became known; with the number of slots that this daemon holds.
    TableKnown(ObjectVersion, usize),
    /// The state of a pool's scheduler while requests wait there.
    PoolQueueStatus(PoolStatus),
    /// The planned stop has begun.
    DrainBegun,
    /// New requests are refused from now on.
    DrainClosing,
}
