//! What an exchange that is given up tells of the idle connections to the same target.
//!
//! Connections may die without a reset, all at once; an idle one shows nothing of it. Without this,
//! each of five idle connections cost a request its whole limit, at a target that served new connections at
//! once; with it one request is enough.
//!
//! Owns: [`StallGuard`]. Relies on: whoever waits gives up by dropping the exchange or the answer.

use std::time::Duration;

use curlewcleat_clock::Moment;

use crate::pool::{ConnectionEnd, ConnectionPool};

/// Time without a sign of the target after which an exchange that is given up counts as unanswered: half of the least
/// time after which a target counts as stalled; callers that leave sooner say nothing of the target.
const UNANSWERED_AFTER: Duration = Duration::from_millis(250);

/// Watches one exchange. Where it is dropped while an answer is awaited, the connections that have rested
/// since before the target's last sign are not used again.
#[derive(Debug)]
pub(crate) struct StallGuard {
    pool: ConnectionPool,
    end: ConnectionEnd,
    /// The target's last sign, or the beginning.
    heard: Moment,
    waiting: bool,
}

impl StallGuard {
    /// An exchange begins.
    pub(crate) fn begin(pool: &ConnectionPool, end: &ConnectionEnd) -> StallGuard {
        let (pool, end) = (pool.clone(), end.clone());
        StallGuard { pool, end, heard: Moment::now(), waiting: true }
    }

    /// Bytes have come.
    pub(crate) fn note_sign(&mut self) {
        self.heard = Moment::now();
    }

    /// Nothing is awaited any more: the answer is whole, or the connection has ended visibly.
    pub(crate) fn end(&mut self) {
        self.waiting = false;
    }
}

impl Drop for StallGuard {
    fn drop(&mut self) {
        if self.waiting && self.heard.elapsed() >= UNANSWERED_AFTER {
            self.pool.discard_rested(&self.end, self.heard);
        }
    }
}
