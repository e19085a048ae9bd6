//! What daemons tell schedulers of what targets say of themselves.
//!
//! Owns: the form of the message. Relies on: nothing.

use serde::{Deserialize, Serialize};

use crate::{NoticeReport, PoolId};

/// What a target of a pool has said to the sender and still counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PoolNotice {
    /// The pool.
    pub pool: PoolId,
    /// What was said.
    pub report: NoticeReport,
}
