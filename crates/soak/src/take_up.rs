//! How callers take up streams that break off, and how much time they state.

use std::time::Duration;

use crate::callers::CallKind;
use crate::exchange::REQUEST_TIMEOUT;
use crate::streams::TakenUp;

/// Time that persistent callers have for a stream.
const STREAM_TIME: Duration = Duration::from_millis(5_000);
/// Most attempts at which a caller takes up a stream.
const TAKE_UPS: usize = 3;
/// Most attempts at which a persistent caller takes up a stream.
const PERSISTENT_TAKE_UPS: usize = 8;

/// How callers handle streams that break off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeUpPolicy {
    /// They drop the streams.
    Never,
    /// They take them up at once, until an attempt is refused, and state their whole time at each.
    Once,
    /// Most of their requests are streams. They repeat refused attempts at other daemons, and state the time that is left
    /// since the stream began.
    Persistent,
    /// The same, and they close their connections within a part of the streams and take them up.
    Restless,
    /// The same, with streams of several lengths and other requests alike.
    Mixed,
}

impl TakeUpPolicy {
    /// Returns the most attempts at which a caller takes up a stream.
    pub fn attempts(self) -> usize {
        match self {
            TakeUpPolicy::Never => 0,
            TakeUpPolicy::Once => TAKE_UPS,
            _ => PERSISTENT_TAKE_UPS,
        }
    }

    /// Returns the time that a caller states in an attempt.
    pub fn time_left(self, taken_up: Option<&TakenUp>) -> Duration {
        match (self.is_persistent(), taken_up) {
            (true, Some(stream)) => STREAM_TIME.saturating_sub(stream.begun.elapsed()),
            (true, None) => STREAM_TIME,
            (false, _) => REQUEST_TIMEOUT,
        }
    }

    /// Returns whether callers repeat refused attempts.
    pub fn is_persistent(self) -> bool {
        !matches!(self, TakeUpPolicy::Never | TakeUpPolicy::Once)
    }

    /// Returns whether callers leave a part of their streams.
    pub fn is_restless(self) -> bool {
        matches!(self, TakeUpPolicy::Restless | TakeUpPolicy::Mixed)
    }

    /// Returns whether most requests are streams that may be taken up.
    pub fn prefers_streams(self) -> bool {
        self.is_persistent() && self != TakeUpPolicy::Mixed
    }

    /// Returns the kinds of requests that callers send.
    pub fn kinds(self) -> &'static [CallKind] {
        match self {
            TakeUpPolicy::Mixed => &CallKind::MIXED,
            _ => &CallKind::ALL,
        }
    }
}
