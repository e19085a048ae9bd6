//! Tells whether an answer was left unread for so long that its target may have cut it off.
//!
//! Load pattern: callers that read slowly, so that the next part is asked for only once the one before has been passed on.
//! Targets cut off an answer that waits for some seconds, and what they have sent until then ends as a whole answer does.
//!
//! Inputs: when parts are read and asked for. The rule: the time between both counts until nothing more waits, since the
//! connection moves on only once much of its buffer is free again.
//!
//! Owns: the time of one answer. Relies on: a loop that runs; a standstill of the process is not seen here.

use std::time::Duration;

use curlewcleat_clock::Moment;

/// Time after which an answer counts as left unread: half of the shortest time after which targets cut one off.
pub const UNREAD_LIMIT: Duration = Duration::from_secs(1);

/// Time for which an answer was left unread.
#[derive(Debug, Default)]
pub(crate) struct UnreadTime {
    /// When the latest part was read, until the next one is asked for.
    read: Option<Moment>,
    /// Time for which no part was asked for while more may have waited.
    unread: Duration,
    is_long: bool,
}

impl UnreadTime {
    /// Returns whether the answer was left unread for [`UNREAD_LIMIT`] or longer.
    pub(crate) fn is_long(&self) -> bool {
        self.is_long
    }

    /// Records that the next part is asked for.
    pub(crate) fn record_asked(&mut self) {
        if let Some(read) = self.read.take() {
            self.unread += read.elapsed();
        }
    }

    /// Records that a part has waited, and is read now.
    pub(crate) fn record_part(&mut self) {
        self.record_end();
        self.read = Some(Moment::now());
    }

    /// Records that the end of the answer has waited.
    pub(crate) fn record_end(&mut self) {
        self.is_long |= self.unread >= UNREAD_LIMIT;
    }

    /// Records that nothing waits.
    pub(crate) fn record_drained(&mut self) {
        self.unread = Duration::ZERO;
    }
}
