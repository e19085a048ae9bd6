//! Message with which a daemon forwards the notices of a target to the pool's scheduler.
//!
//! Owns: the format of the message. Relies on: nothing.

use serde::{Deserialize, Serialize};

use crate::{NoticeReport, PoolId};

/// The notices of a target that the sender has received and that are still in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PoolNotice {
    /// Pool of the target.
    pub pool: PoolId,
    /// The notices.
    pub report: NoticeReport,
}
