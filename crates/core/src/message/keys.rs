//! Messages about idempotency keys. The codec is positional: names may change, order and types may not.
//!
//! Owns: the format of these messages. Relies on: nothing; `keys` decides.

use serde::{Deserialize, Serialize};

use crate::{
    AccountId, IdempotencyKey, KeySlot, ObjectVersion, Refusal, RequestId, Verdict, WallTime,
};

/// Requests permission to run a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The request that is to run.
    pub request: RequestId,
    /// Account of the caller; keys of different accounts are unrelated.
    pub account: AccountId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Number of the caller's attempt, from 1; `None` where the caller states none.
    pub attempt: Option<u32>,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyAnswer {
    /// The request that the claim was for.
    pub request: RequestId,
    /// The decision.
    pub decision: KeyDecision,
}

/// Decision of the holder of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyDecision {
    /// The request may run; no other request with this key may.
    First,
    /// The request may not run; the refusal states why, and whether an earlier attempt may have run.
    Known(Refusal),
    /// An earlier attempt ran and its answer is still stored.
    Answer(KeptAnswer),
    /// The receiver of the claim does not hold the key; it has this version of the key table.
    NotHolder(ObjectVersion),
}

/// A small complete answer that is stored with its key.
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
    /// The claim of the request.
    pub claim: KeyClaim,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// The answer, where it is small and complete.
    pub answer: Option<KeptAnswer>,
}

/// A slot with the records of all its keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyHandOver {
    /// The slot.
    pub slot: KeySlot,
    /// Version of the key table under which the sender holds the slot; a hand-over under an older version is ignored.
    pub table: ObjectVersion,
    /// Time since which the history of the slot is complete.
    pub complete_since: WallTime,
    /// Records of the slot.
    pub records: Vec<KeyRecord>,
}

/// State of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Account and key.
    pub key: (AccountId, IdempotencyKey),
    /// The last request that was allowed to run, or whose outcome was reported.
    pub request: RequestId,
    /// How it ended, `None` while it is in progress.
    pub verdict: Option<Verdict>,
    /// The answer, where it is stored.
    pub answer: Option<KeptAnswer>,
    /// When a claim was last granted or an outcome recorded.
    pub touched: WallTime,
}
