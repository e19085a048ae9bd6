//! Messages between daemons. They are one-way; each is safe to lose, repeat or delay.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    AccountId, DiscoveredTarget, Generation, IdempotencyKey, Incarnation, KeySlot, ObjectVersion,
    PermitId, PoolId, Refusal, RequestId, TargetChange, TargetId, TierRank, Uptime, Verdict, VmId,
    WallTime, WorkMicros,
};

/// One start of a daemon on a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DaemonId {
    /// VM that the daemon runs on.
    pub vm: VmId,
    /// Start of the process.
    pub incarnation: Incarnation,
}

/// What travels in one peer frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Sender.
    pub from: DaemonId,
    /// Messages in the order in which the sender made them.
    pub messages: Vec<PeerMessage>,
}

/// A message from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Liveness and what the sender knows.
    Heartbeat(Heartbeat),
    /// Requests for what the receiver has newer.
    StatePull(StatePull),
    /// The whole configuration.
    ConfigPush(ConfigBundle),
    /// The key table.
    TablePush(TablePush),
    /// Requests a daemon that reads the platform how old its latest read is.
    FreshnessQuery(FreshnessQuery),
    /// The answer.
    FreshnessAnswer(FreshnessAnswer),
    /// Requests for the targets as the platform showed them after a revision.
    TargetsPull(ObjectVersion),
    /// The answer.
    TargetsPush(TargetsPush),
    /// Requests the scheduler of a pool for a permit.
    PermitRequest(PermitRequest),
    /// The scheduler's answer.
    PermitAnswer(PermitAnswer),
    /// The entry no longer wants the permit, or is done with it.
    PermitReturn(PermitReturn),
    /// The entry tells a new scheduler what it has in flight.
    PermitHeld(PermitHeld),
    /// A scheduler refuses a tier for want of capacity; the receiver is to shed all below it.
    ShedRequest(ShedRequest),
    /// The receiver of a raise has done so; the number is that of the round.
    ShedConfirm(PoolId, u64),
    /// Requests the holder of a key whether a request may run.
    KeyClaim(KeyClaim),
    /// The holder's answer.
    KeyAnswer(KeyAnswer),
    /// The entry tells the holder how the claimed request ended.
    KeyOutcome(KeyOutcome),
    /// A holder passes a slot with its keys to the next holder.
    KeyHandOver(KeyHandOver),
    /// The next holder has taken the keys in.
    KeyHandOverAck(KeySlot),
}

/// Sent to peers every beat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// `ip:port` at which the sender receives peer frames.
    pub address: String,
    /// Data centre of the sender.
    pub data_centre: String,
    /// Configuration in force at the sender, 0 for none.
    pub generation: Generation,
    /// Version of the key table that the sender knows.
    pub table: ObjectVersion,
    /// Whether the sender is draining and takes no role.
    pub draining: bool,
    /// Whether the sender's view of the platform is old; it takes roles only after all others.
    pub stale: bool,
    /// Processor of the sender's VM, in percent of a core.
    pub capacity: u32,
    /// When the sender's process was born, for the order of schedulers; 0 where that does not count.
    pub started: u64,
    /// Whether the receiver is to send a heartbeat back at its next beat.
    pub answer_wanted: bool,
    /// Peer addresses that the sender knows, so that a new daemon learns the rest.
    pub known: Vec<String>,
}

/// Requests how old the receiver's latest read of the platform is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FreshnessQuery {
    /// Start of the asking process; an answer to an earlier one is void.
    pub incarnation: Incarnation,
    /// When the permit request was sent, by the asker's own clock.
    pub sent: Uptime,
}

/// What the answering daemon knew when the permit request reached it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FreshnessAnswer {
    /// The permit request, as it was.
    pub query: FreshnessQuery,
    /// Age of the latest own read that showed the configuration below to be the newest, counted from
    /// its sending; `None` where the answering daemon does not read the platform.
    pub age: Option<Duration>,
    /// Configuration in force at the answering daemon.
    pub generation: Generation,
    /// Revision of the platform up to which it knows the targets.
    pub targets_at: ObjectVersion,
}

/// Targets as the platform shows them at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetsPush {
    /// What is pushed.
    pub content: TargetsContent,
    /// Revision of the platform.
    pub at: ObjectVersion,
}

/// All targets, or what changed among them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetsContent {
    /// All of them.
    All(Vec<DiscoveredTarget>),
    /// Changes in order, all that happened after this revision.
    Since(ObjectVersion, Vec<TargetChange>),
}

/// What the sender has; the receiver sends what it has newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StatePull {
    /// Configuration in force at the sender, 0 for none.
    pub generation: Generation,
    /// Version of the key table known to the sender, 0 for none.
    pub table: ObjectVersion,
}

/// The key table as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TablePush {
    /// Its version at the platform.
    pub version: ObjectVersion,
    /// For each slot its holder and since when its history is complete.
    pub slots: Vec<SlotHolder>,
}

/// Holder of one slot of the key table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotHolder {
    /// The daemon.
    pub holder: DaemonId,
    /// Since when the holder's history is complete, in milliseconds since the Unix epoch; 0 where
    /// it has been complete since the table was made.
    pub complete_since_ms: u64,
}

/// A configuration with the texts of its files.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigBundle {
    /// Its place in the order.
    pub generation: Generation,
    /// Texts by file name.
    pub files: BTreeMap<String, String>,
}

/// What a scheduler has to know of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The attempt that wants the permit.
    pub permit: PermitId,
    /// Pool asked for.
    pub pool: PoolId,
    /// Rank of the tier.
    pub tier: TierRank,
    /// Account that pays.
    pub account: AccountId,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// What its caller hopes for.
    pub objectives: LatencyObjectives,
    /// Prompt work in microseconds of a slot.
    pub prompt_work: WorkMicros,
    /// The rest of the work in microseconds of a slot.
    pub output_work: WorkMicros,
    /// Hash of the prompt's beginning, `None` for services.
    pub prefix: Option<u64>,
    /// What it counts against its account's shared rate.
    pub cost: u64,
    /// Targets that already failed this request.
    pub avoid: Vec<TargetId>,
}

/// What the caller of a request hopes for; nothing is promised about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LatencyObjectives {
    /// Time for which the request may wait for a target.
    pub wait_limit: Duration,
    /// It is refused at once where it is expected to wait longer than this.
    pub forecast_limit: Duration,
    /// Time until the first part of its answer is late.
    pub first_part_by: Duration,
    /// Pause between two parts of the answer above which it is late.
    pub pause_limit: Duration,
    /// Rank of the rule; decides between requests of one account and tier.
    pub urgency: TierRank,
    /// Whether the length of its answer is a guess, so that it may well end sooner than it seems.
    pub length_guessed: bool,
    /// Whether it was refused before and has come back as it was told.
    pub is_retry: bool,
}

impl Default for LatencyObjectives {
    fn default() -> LatencyObjectives {
        let ever = Duration::MAX;
        LatencyObjectives {
            wait_limit: ever,
            forecast_limit: ever,
            first_part_by: ever,
            pause_limit: ever,
            urgency: 0,
            length_guessed: false,
            is_retry: false,
        }
    }
}

/// The answer to a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The attempt that is answered.
    pub permit: PermitId,
    /// Pool of the permit.
    pub pool: PoolId,
    /// The decision.
    pub decision: PermitDecision,
}

/// Decision of a scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The permit request is in the queue; says that the scheduler lives.
    Queued,
    /// Go to the target.
    Granted(TargetId),
    /// Not served.
    Refused(Refusal),
}

/// What was seen of a whole stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamTiming {
    /// Time from the sending of the request to the first part.
    pub first: Duration,
    /// Time from the first part to the end.
    pub rest: Duration,
    /// Parts.
    pub parts: u32,
    /// Longest time between two parts.
    pub pause: Duration,
}

/// How an attempt ended, for the scheduler's view of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The permit was not used.
    Unused,
    /// A whole answer arrived after this time.
    Whole(Duration),
    /// A whole stream arrived.
    Streamed(StreamTiming),
    /// The target failed or was too slow.
    Failed,
}

/// Gives a permit back or cancels a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitReturn {
    /// The attempt.
    pub permit: PermitId,
    /// Pool of the permit.
    pub pool: PoolId,
    /// How it ended.
    pub end: AttemptEnd,
}

/// A permit in use, told to a new scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitHeld {
    /// The permit request that led to the permit.
    pub request: PermitRequest,
    /// The target in use.
    pub target: TargetId,
}

/// A tier that is refused for want of capacity.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShedRequest {
    /// The pool.
    pub pool: PoolId,
    /// The tier; all below it are to be shed.
    pub tier: TierRank,
    /// Number of the sender's round, for the confirmation.
    pub round: u64,
}

/// Requests whether a keyed request may run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The request that wants to run.
    pub request: RequestId,
    /// Account of the caller; keys of different accounts are unrelated.
    pub account: AccountId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Count of the caller's attempts from 1, where the caller tells it.
    pub attempt: Option<u32>,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyAnswer {
    /// The request that asked.
    pub request: RequestId,
    /// The decision.
    pub decision: KeyDecision,
}

/// Decision of the holder of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyDecision {
    /// The request may run; nothing else with this key will.
    First,
    /// The request may not run; here is what is known of the earlier attempt.
    Known(Refusal),
    /// An earlier attempt ran and its answer is still there.
    Answer(KeptAnswer),
    /// The asked daemon does not hold the key; it knows this version of the table.
    NotHolder(ObjectVersion),
}

/// A small whole answer that is kept with its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyOutcome {
    /// The claim that it belongs to.
    pub claim: KeyClaim,
    /// The verdict.
    pub verdict: Verdict,
    /// The answer, where it is small and whole.
    pub answer: Option<KeptAnswer>,
}

/// A slot with all that is known of its keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyHandOver {
    /// The slot.
    pub slot: KeySlot,
    /// Key table under which the sender holds the slot; a hand-over under an older one is void.
    pub table: ObjectVersion,
    /// Since when the history is complete.
    pub complete_since: WallTime,
    /// Records of the slot.
    pub records: Vec<KeyRecord>,
}

/// What is known of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Account and key.
    pub key: (AccountId, IdempotencyKey),
    /// The last request that was let run, or reported.
    pub request: RequestId,
    /// How it ended, `None` while it is in progress.
    pub verdict: Option<Verdict>,
    /// The answer, where it is kept.
    pub answer: Option<KeptAnswer>,
    /// When the key was last used.
    pub touched: WallTime,
}
