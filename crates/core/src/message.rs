//! Defines the messages between daemons. They are one-way; each may be lost, repeated or delayed without harm.
//!
//! The codec (postcard) is positional: the order, number and types of fields and variants may not change.
//! `acceptance/tests/golden/peer-messages.txt` holds the encoded bytes. The codec doesn't write names; `serde(rename)`
//! keeps the outer name of a renamed field or variant stable all the same.
//!
//! Owns: the format of peer frames. Relies on: nothing.

mod archive;
mod instances;
mod keys;
mod lethal;
mod loads;
mod notices;
mod permits;
mod stream_forms;
mod streams;
mod versions;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    DataCentreId, DiscoveredTarget, EvacuationList, Generation, Incarnation, KeySlot,
    ObjectVersion, PoolId, RolloutAnswers, RolloutReport, TargetChange, Uptime, VmId,
};

pub use archive::*;
pub use instances::*;
pub use keys::*;
pub use lethal::*;
pub use loads::*;
pub use notices::*;
pub use permits::*;
pub use stream_forms::*;
pub use streams::*;
pub use versions::*;

/// One start of a daemon on a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DaemonId {
    /// VM that the daemon runs on.
    pub vm: VmId,
    /// The start of its process.
    pub incarnation: Incarnation,
}

/// Content of one peer frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The sender.
    pub from: DaemonId,
    /// Messages in the order in which the sender created them.
    pub messages: Vec<PeerMessage>,
}

/// A message from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Shows that the sender is alive, and which versions of the shared state it has.
    Heartbeat(Heartbeat),
    /// Requests, complete, the configuration and the key table where the receiver has newer ones.
    StatePull(StatePull),
    /// The whole configuration, for daemons that cannot request it in parts.
    ConfigPush(ConfigBundle),
    /// The key table.
    TablePush(TablePush),
    /// Requests the age of the latest read from a daemon that reads the platform.
    FreshnessQuery(FreshnessQuery),
    /// Answers a [`FreshnessQuery`](PeerMessage::FreshnessQuery).
    FreshnessAnswer(FreshnessAnswer),
    /// Requests the changes to the target list after a platform revision.
    TargetsPull(ObjectVersion),
    /// Answers a [`TargetsPull`](PeerMessage::TargetsPull).
    TargetsPush(TargetsPush),
    /// Requests a permit from the scheduler of a pool.
    PermitRequest(PermitRequest),
    /// The scheduler's answer to a permit request.
    PermitAnswer(PermitAnswer),
    /// The entry daemon returns a permit that it no longer needs, or cancels its request for one.
    PermitReturn(PermitReturn),
    /// The entry daemon reports a permit in use to a new scheduler.
    PermitHeld(PermitHeld),
    /// A scheduler refuses a tier because of too little capacity; the receiver must shed all tiers below it.
    ShedRequest(ShedRequest),
    /// Confirms that the receiver of a [`ShedRequest`](PeerMessage::ShedRequest) sheds the lower tiers; the number is
    /// the round of the request.
    ShedConfirm(PoolId, u64),
    /// Requests permission from the holder of a key to run a request.
    KeyClaim(KeyClaim),
    /// The holder's answer to a claim.
    KeyAnswer(KeyAnswer),
    /// The entry daemon reports to the holder how the claimed request ended.
    KeyOutcome(KeyOutcome),
    /// A holder sends a slot with its keys to the next holder.
    KeyHandOver(KeyHandOver),
    /// The next holder acknowledges that it has stored the keys of a slot.
    KeyHandOverAck(KeySlot),
    /// Requests a part of the receiver's configuration.
    ConfigPartPull(ConfigPartPull),
    /// Answers a [`ConfigPartPull`](PeerMessage::ConfigPartPull).
    ConfigPart(ConfigPart),
    /// Like [`TargetsPull`](PeerMessage::TargetsPull), but requests the starts of the targets as well. A daemon of an
    /// earlier version drops the frame.
    #[serde(rename = "TargetLivesPull")]
    TargetInstancesPull(ObjectVersion),
    /// Answers a [`TargetInstancesPull`](PeerMessage::TargetInstancesPull).
    #[serde(rename = "TargetLivesPush")]
    TargetInstancesPush(TargetInstancesPush),
    /// Requests the reports on requests under which targets terminated. A daemon of an earlier version drops the frame.
    SuspectsPull(SuspectsPull),
    /// Answers a [`SuspectsPull`](PeerMessage::SuspectsPull), or sends an update that was not requested.
    SuspectsPush(SuspectsPush),
    /// The notices that a target has sent to the sender. A daemon of an earlier version drops the frame.
    TargetNotice(PoolNotice),
    /// Like [`TargetInstancesPull`](PeerMessage::TargetInstancesPull), but requests the versions of the targets as
    /// well. A daemon of an earlier version drops the frame; the same holds for all messages below.
    TargetVersionsPull(ObjectVersion),
    /// Answers a [`TargetVersionsPull`](PeerMessage::TargetVersionsPull).
    TargetVersionsPush(TargetVersionsPush),
    /// The state of a rollout as the sender knows it.
    #[serde(rename = "RolloutNews")]
    RolloutReport(RolloutReport),
    /// Observations of target answers that the sender made during a rollout.
    RolloutAnswers(RolloutAnswers),
    /// Requests the evacuated data centres if the receiver knows a list of a later version.
    EvacuationsPull(ObjectVersion),
    /// The evacuated data centres as the sender knows them.
    EvacuationsPush(EvacuationList),
    /// The versions that began streams for callers of the sender.
    StreamsBegun(Vec<StreamVersion>),
    /// Requests the version that began a stream.
    StreamQuery(StreamQuery),
    /// Answers a [`StreamQuery`](PeerMessage::StreamQuery).
    StreamAnswer(StreamAnswer),
    /// Like [`PermitRequest`](PeerMessage::PermitRequest), for a target of one version.
    VersionPermitRequest(VersionPermitRequest),
    /// What targets state of their load, for the pools whose targets state a slowness.
    TargetLoads(Vec<PoolLoads>),
    /// Like [`SuspectsPull`](PeerMessage::SuspectsPull), but requests the reports on all kinds of features.
    FeaturesPull(SuspectsPull),
    /// Answers a [`FeaturesPull`](PeerMessage::FeaturesPull), or sends an update that was not requested.
    FeaturesPush(FeaturesPush),
    /// States that the next permit request of this permit is for a new stream.
    StreamStart(StreamStart),
    /// Like [`StreamQuery`](PeerMessage::StreamQuery), but requests a proof where the receiver does not remember the
    /// stream.
    StreamProofQuery(StreamProofQuery),
    /// Reports what the streams of the sender look like, and requests the forms that the receiver knows.
    StreamFormsReport(StreamFormsReport),
    /// Answers a [`StreamFormsReport`](PeerMessage::StreamFormsReport).
    StreamFormsPush(StreamFormsPush),
}

impl PeerMessage {
    /// Returns whether the message needs a frame of its own, because a daemon of an earlier version cannot decode it
    /// and drops the whole frame.
    pub fn needs_own_frame(&self) -> bool {
        match self {
            PeerMessage::TargetInstancesPull(_)
            | PeerMessage::TargetInstancesPush(_)
            | PeerMessage::SuspectsPush(_)
            | PeerMessage::TargetNotice(_)
            | PeerMessage::TargetVersionsPull(_)
            | PeerMessage::TargetVersionsPush(_)
            | PeerMessage::RolloutReport(_)
            | PeerMessage::RolloutAnswers(_)
            | PeerMessage::EvacuationsPull(_)
            | PeerMessage::EvacuationsPush(_)
            | PeerMessage::StreamsBegun(_)
            | PeerMessage::StreamQuery(_)
            | PeerMessage::StreamAnswer(_)
            | PeerMessage::VersionPermitRequest(_)
            | PeerMessage::TargetLoads(_)
            | PeerMessage::FeaturesPush(_)
            | PeerMessage::StreamStart(_)
            | PeerMessage::StreamProofQuery(_)
            | PeerMessage::StreamFormsPush(_) => true,
            // A receiver that has answered a pull before can decode this one.
            PeerMessage::SuspectsPull(pull) | PeerMessage::FeaturesPull(pull) => pull.known == 0,
            PeerMessage::StreamFormsReport(report) => report.known == 0,
            _ => false,
        }
    }
}

/// Sent to peers once per heartbeat interval.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// `ip:port` at which the sender receives peer frames.
    pub address: String,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Generation of the configuration in force at the sender, 0 for none.
    pub generation: Generation,
    /// Version of the key table at the sender.
    pub table: ObjectVersion,
    /// Whether the sender is draining and accepts no role.
    pub draining: bool,
    /// Whether the sender's view of the platform is stale; such a daemon gets roles only after all others.
    pub stale: bool,
    /// Processor capacity of the sender's VM, in percent of one core.
    pub capacity: u32,
    /// When the sender's process started, which orders the candidates for schedulers; 0 where it is ignored.
    pub started: u64,
    /// Whether the receiver must answer with a heartbeat at its next heartbeat interval.
    pub answer_wanted: bool,
    /// Peer addresses that the sender knows, from which a new daemon learns of the other peers.
    pub known: Vec<String>,
}

/// Requests the age of the receiver's latest read of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FreshnessQuery {
    /// Incarnation of the querying daemon; answers to queries of an earlier incarnation are ignored.
    pub incarnation: Incarnation,
    /// When the query was sent, on the clock of the querying daemon.
    pub sent: Uptime,
}

/// State of the answering daemon when it received the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FreshnessAnswer {
    /// The query that is answered, unchanged.
    pub query: FreshnessQuery,
    /// Age of the answering daemon's latest platform read that showed the configuration below to be the newest, counted
    /// from the moment at which the read was sent; `None` where the daemon does not read the platform.
    pub age: Option<Duration>,
    /// Generation of the configuration in force at the answering daemon.
    pub generation: Generation,
    /// Platform revision up to which the answering daemon knows the targets.
    pub targets_at: ObjectVersion,
}

/// Targets as the platform lists them at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetsPush {
    /// All targets, or the changes since an earlier revision.
    pub content: TargetsContent,
    /// Platform revision up to which the content is complete.
    pub at: ObjectVersion,
}

/// All targets, or the changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetsContent {
    /// The complete list.
    All(Vec<DiscoveredTarget>),
    /// All changes after this revision, in order.
    Since(ObjectVersion, Vec<TargetChange>),
}

/// Names the versions that the sender has; the receiver answers with those that it has in a newer version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StatePull {
    /// Generation of the configuration in force at the sender, 0 for none.
    pub generation: Generation,
    /// Version of the key table at the sender, 0 for none.
    pub table: ObjectVersion,
}

/// The key table as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TablePush {
    /// Version of the table's object at the platform.
    pub version: ObjectVersion,
    /// For each slot, its holder and the time since which the holder's history is complete.
    pub slots: Vec<SlotHolder>,
}

/// Holder of one slot of the key table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotHolder {
    /// The daemon that holds the slot.
    pub holder: DaemonId,
    /// Time since which the holder's history of the slot is complete, in milliseconds since the Unix epoch; 0 where it
    /// has been complete since the table was created.
    pub complete_since_ms: u64,
}

/// A configuration as the texts of its files.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigBundle {
    /// Position in the order of all accepted configurations.
    pub generation: Generation,
    /// Texts of the files by file name.
    pub files: BTreeMap<String, String>,
}

impl ConfigBundle {
    /// Returns the total length of all texts in bytes.
    pub fn text_bytes(&self) -> u64 {
        self.files.values().map(|text| text.len() as u64).sum()
    }
}
