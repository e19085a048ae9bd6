//! Messages about idempotency keys. The codec is positional: names may change, order and types may not.
//!
//! Owns: the form of these messages. Relies on: nothing; `keys` decides.

use serde::{Deserialize, Serialize};

use crate::{
    AccountId, IdempotencyKey, KeySlot, ObjectVersion, Refusal, RequestId, Verdict, WallTime,
};

/// Asks whether a keyed request may run.
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
