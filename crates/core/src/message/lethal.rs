//! What daemons tell each other of requests under which targets ended.
//!
//! Reports are merged as sets: each may be lost, repeated, or come in any order and by any way.
//!
//! Owns: the form of these messages. Relies on: nothing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{RequestDigest, TargetLife};

/// How a request broke off at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BreakKind {
    /// The target ended the connection.
    Closed,
    /// The target said nothing for too long.
    Stalled,
}

/// A request broke off at a life of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestBreak {
    /// The life.
    pub life: TargetLife,
    /// How it broke off.
    pub kind: BreakKind,
    /// Whether a part of its answer had come from there.
    pub begun: bool,
}

/// What is known of a break.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BreakReport {
    /// Where and how.
    pub broke: RequestBreak,
    /// Whether the life is known to have ended.
    pub ended: bool,
    /// Time since then.
    pub age: Duration,
}

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub digest: RequestDigest,
    /// The lives under which it broke off.
    pub breaks: Vec<BreakReport>,
    /// Those that do not count, since it was served whole afterwards, or an operator says so.
    pub cleared: Vec<TargetLife>,
    /// Whether the platform keeps that it is refused.
    pub stored: bool,
}

/// Asks for what the receiver has come to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuspectsPull {
    /// Count of changes at the receiver up to which the sender knows them, 0 for none.
    pub known: u64,
}

/// The answer, or what the sender has just come to know.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuspectsPush {
    /// Count of changes at the sender up to which this tells all after the count that was asked for; 0 where nothing
    /// was asked for.
    pub at: u64,
    /// What is known.
    pub requests: Vec<SuspectReport>,
}
