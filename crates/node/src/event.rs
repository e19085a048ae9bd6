//! Events into a node and actions out of it.
//!
//! Owns: the form of both. Relies on: nothing.

use curlewcleat_config::CheckReport;
use curlewcleat_core::{
    AnswerSample, AttemptEnd, ConfigBundle, DaemonId, DaemonRecord, DiscoveredTarget, Generation,
    KeptAnswer, NoticeReport, ObjectVersion, PeerFrame, PermitId, PoolId, Refusal, RequestBreak,
    RequestDigest, RequestId, RetryReason, RolloutRecord, RolloutWrite, SuspectReport,
    TargetChange, TargetEntry, TargetLife, TargetReport, TargetVersion, Uptime, Verdict, VmId,
};
use curlewcleat_keys::KeyTable;
use curlewcleat_sched::{ReplacementStep, RequestSpec, RetryBound, RolloutReason};

use crate::freshness::ReadRole;
use crate::status::{PoolStatus, RolloutStatus};
use crate::target_view::{GoneTarget, LifeNews};

/// A line of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedVm {
    /// Name.
    pub vm: VmId,
    /// Whether it is about to be taken away.
    pub leaving: bool,
}

/// Result of proposing a key table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableWrite {
    /// Stored under this version.
    Stored(ObjectVersion, KeyTable),
    /// Another table was stored before, or the answer was lost: read it again.
    ReadAgain,
}

/// An event for a node.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Time has passed.
    Tick,
    /// A frame of a peer.
    Peer(PeerFrame),
    /// A caller's request.
    Admit(Box<RequestSpec>),
    /// A dispatched request ended for good.
    Finished(RequestId, Verdict, AttemptEnd, Option<KeptAnswer>),
    /// An attempt provably did not run.
    NotRun(RequestId, AttemptEnd, RetryReason),
    /// A dispatched request's target is stalled, or speaks again.
    Replacement(RequestId, ReplacementStep),
    /// The caller of a dispatched request has a part of its answer.
    AnswerBegun(RequestId),
    /// The caller has gone while its request waited.
    Cancelled(RequestId),
    /// A configuration as the platform shows it.
    ConfigRead(ConfigBundle),
    /// The key table as the platform shows it; `None` where there is none.
    TableRead(Option<(ObjectVersion, KeyTable)>),
    /// The result of a proposal.
    TableWritten(TableWrite),
    /// A request broke off at a life of a target.
    BrokeOff(RequestDigest, RequestBreak),
    /// What a target of a pool has said to this daemon and still counts.
    TargetSaid(PoolId, NoticeReport),
    /// The orders to move pools to targets of other versions, all of them at a revision.
    RolloutsListed {
        /// The orders.
        rollouts: Vec<RolloutRecord>,
        /// The revision.
        at: ObjectVersion,
        /// When the read was sent.
        sent: Uptime,
    },
    /// A target of a pool that is being rolled out has answered.
    AnswerSeen(PoolId, Box<AnswerSample>),
    /// The requests that are refused for good, as the platform keeps them.
    RefusalsRead(Vec<SuspectReport>),
    /// The platform keeps that a request is refused.
    RefusalStored(RequestDigest),
    /// An operator says that a request is not the reason for which targets ended.
    ClearSuspect(RequestDigest),
    /// A target's report, for the scheduler of its pool.
    TargetReported(PoolId, TargetLife, TargetReport),
    /// Targets that announced themselves at the platform, all of them at a revision.
    TargetsListed(Vec<DiscoveredTarget>, ObjectVersion),
    /// What changed among them between two revisions.
    TargetsChanged {
        /// The earlier revision.
        from: ObjectVersion,
        /// The changes in order.
        changes: Vec<TargetChange>,
        /// The later revision.
        at: ObjectVersion,
    },
    /// A read of the platform that was sent then showed the configuration in force to be the newest.
    PlatformRead(Uptime),
    /// A read of the platform failed.
    PlatformFailed,
    /// All daemons that are recorded at the platform.
    DaemonsListed(Vec<DaemonRecord>),
    /// The settings name these addresses of peers to begin with.
    SeedsChanged(Vec<String>),
    /// The platform's VM list.
    VmsRead(Vec<ListedVm>),
    /// Begin a planned stop.
    Drain,
}

/// The answer to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerDecision {
    /// Send it to this target, once.
    Dispatch(PermitId, TargetEntry),
    /// Refuse it.
    Refuse(Refusal),
    /// Answer with what an earlier attempt got.
    Replay(KeptAnswer),
}

/// What a node wants of its platform.
#[derive(Clone, Debug)]
pub enum PlatformCall {
    /// Store a key table if the version is still this one.
    ProposeTable(ObjectVersion, KeyTable),
    /// Read the key table.
    ReadTable,
    /// The configuration in force was the newest then, as a peer's read has shown.
    ConfigConfirmed(Uptime),
    /// Read the platform from now on, or no longer.
    Read(ReadRole),
    /// Keep that a request is refused.
    StoreRefusal(SuspectReport),
    /// Keep that no longer.
    DropRefusal(RequestDigest),
    /// Read the orders of roll-outs anew.
    ReadRollouts,
    /// Keep how far an order is, and read the orders anew.
    WriteRollout(RolloutWrite),
}

/// What a node wants done.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Send a frame to an `ip:port`.
    Send(String, PeerFrame),
    /// Answer a caller.
    Decide(RequestId, CallerDecision),
    /// Make a call of the platform, or take note of what is said about them.
    Platform(PlatformCall),
    /// A new configuration is in force.
    ConfigChanged,
    /// Count a retry.
    Count(RetryReason),
    /// Tell the operators.
    Note(NodeNote),
    /// The planned stop is complete.
    End,
}

/// Something an operator may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeNote {
    /// A configuration is in force.
    ConfigAccepted(Generation),
    /// A configuration does not pass the checks here.
    ConfigInvalid(Generation, CheckReport),
    /// The configuration in force cannot be packed for peers.
    ConfigNotPacked(Generation, String),
    /// A configuration that came from peers cannot be unpacked.
    ConfigUnreadable(Generation, String),
    /// A request is not tried again.
    RetryDenied(RequestId, RetryBound),
    /// A peer became unreachable.
    PeerLost(DaemonId),
    /// A peer's VM has started a new daemon.
    PeerReplaced(DaemonId),
    /// An entry stated another life of its target.
    TargetLife(LifeNews),
    /// The entry of a target has gone.
    TargetGone(GoneTarget),
    /// A list of targets was left out, since a later one is known.
    TargetListLate {
        /// Revision of the list.
        at: ObjectVersion,
        /// Revision that is known.
        known: ObjectVersion,
    },
    /// A target has ended under a request.
    TargetEnded(RequestDigest, TargetLife),
    /// A request is refused for good from now on.
    RequestLethal(SuspectReport),
    /// A request is refused no longer.
    RequestAllowed(RequestDigest),
    /// An operator has cleared a request.
    SuspectCleared(RequestDigest),
    /// An order is this far, where this daemon has decided that for this reason.
    RolloutStage(RolloutStatus, Option<RolloutReason>),
    /// These versions of a pool's targets are held back until the orders are read; none any more where there are none.
    VersionsHeld(PoolId, Vec<TargetVersion>),
    /// A key table is known, and the number of slots that this daemon holds.
    TableKnown(ObjectVersion, usize),
    /// What the scheduler of a pool sees while requests wait there.
    PoolWaits(PoolStatus),
    /// The planned stop has begun.
    DrainBegun,
    /// New requests are refused from now on.
    DrainClosing,
}
