//! Notices: what a target reports about itself in the response headers.
//!
//! Owns: the types of the notices and the range of rates. Relies on: the code that parses the response headers for
//! their names.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::TargetInstance;

/// A rate in thousandths of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// One request per second, in thousandths.
    pub const ONE_PER_SECOND: u64 = 1_000;
    /// Highest rate that `per_second` returns: one million requests per second, more than any target accepts.
    pub const MAX: RequestRate = RequestRate(1_000_000 * RequestRate::ONE_PER_SECOND);

    /// Converts requests per second to a rate, capped at [`MAX`](RequestRate::MAX). Returns `None` for a value that
    /// is no rate: not a number, infinite or negative.
    pub fn per_second(rate: f64) -> Option<RequestRate> {
        if !rate.is_finite() || rate < 0.0 {
            return None;
        }
        let thousandths =
            (rate * RequestRate::ONE_PER_SECOND as f64).min(RequestRate::MAX.0 as f64);
        Some(RequestRate(thousandths as u64))
    }

    /// Returns the rate in requests per second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / RequestRate::ONE_PER_SECOND as f64
    }
}

/// The rate limit that a target states in the response headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LimitNotice {
    /// No limit is stated: the target accepts any rate.
    #[default]
    Absent,
    /// The stated value is not a rate.
    Unreadable,
    /// The highest rate that the target accepts from all daemons together.
    Stated(RequestRate),
}

/// What a target states in the response headers about terminating when it has to turn requests away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BrittleNotice {
    /// Nothing is stated: the target can turn any number of requests away.
    #[default]
    Absent,
    /// The stated value is not a number of requests.
    Unreadable,
    /// The target terminates if it has to turn away more requests than this within a second.
    Stated(u32),
}

/// The notices in the response headers of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TargetNotice {
    /// Whether the target is leaving and accepts no new requests.
    pub leaving: bool,
    /// Time for which the target accepts no requests from the daemon that it answers.
    pub rest: Option<Duration>,
    /// The rate limit of the target.
    pub limit: LimitNotice,
    /// Whether the target terminates when it has to turn requests away.
    pub brittle: BrittleNotice,
    /// Whether one of the headers could not be parsed.
    pub unreadable: bool,
}

/// The last statement of a target about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LimitReport {
    /// The limit, `None` where the target no longer states one.
    pub rate: Option<RequestRate>,
    /// Time since the target stated it.
    pub age: Duration,
}

/// The notices of a target instance that a daemon has received and that are still in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NoticeReport {
    /// The target instance.
    #[serde(rename = "life")]
    pub instance: TargetInstance,
    /// Whether the instance is leaving and accepts no new requests.
    pub leaving: bool,
    /// Remaining time for which the instance accepts no requests from the sender.
    pub rest: Option<Duration>,
    /// The rate limit of the instance, `None` where it has never stated one.
    pub limit: Option<LimitReport>,
}
