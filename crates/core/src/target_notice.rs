//! What a target says of itself in the head of an answer.
//!
//! Owns: the form of it, and which rates there are. Relies on: whoever reads the head for the names.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::TargetLife;

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Thousandths of a request a second in one request a second.
    pub const SECOND: u64 = 1_000;
    /// The highest rate that is told apart; no target takes as many requests.
    pub const MOST: RequestRate = RequestRate(1_000_000 * RequestRate::SECOND);

    /// So many requests a second, at most [`MOST`](RequestRate::MOST); `None` for what is no rate: not a number,
    /// infinite, or below zero.
    pub fn per_second(rate: f64) -> Option<RequestRate> {
        if !rate.is_finite() || rate < 0.0 {
            return None;
        }
        let thousandths = (rate * RequestRate::SECOND as f64).min(RequestRate::MOST.0 as f64);
        Some(RequestRate(thousandths as u64))
    }

    /// Requests a second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / RequestRate::SECOND as f64
    }
}

/// What the head of an answer says of the requests a second that its target takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LimitNotice {
    /// Nothing: it takes what comes.
    #[default]
    Absent,
    /// Something that is no rate.
    Unreadable,
    /// At most so many, from all daemons together.
    Named(RequestRate),
}

/// What the head of an answer says of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TargetNotice {
    /// Whether the target leaves.
    pub leaving: bool,
    /// Time for which it wants nothing from the daemon that it answers.
    pub rest: Option<Duration>,
    /// The requests a second that it takes.
    pub limit: LimitNotice,
    /// Whether a part of this could not be read.
    pub unreadable: bool,
}

/// What is known of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LimitReport {
    /// The limit, `None` where the target names it no longer.
    pub rate: Option<RequestRate>,
    /// Time since the target said so.
    pub age: Duration,
}

/// What a life of a target has said to a daemon and still counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NoticeReport {
    /// The life.
    pub life: TargetLife,
    /// Whether it leaves.
    pub leaving: bool,
    /// Time for which it still wants nothing from the sender.
    pub rest: Option<Duration>,
    /// Its limit, `None` where it has named none.
    pub limit: Option<LimitReport>,
}
