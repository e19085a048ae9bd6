//! Discards idle connections to a target after an exchange with it has stalled.
//!
//! All connections to a target may stop working at once without a reset, and an idle connection doesn't show it.
//! Without this module, each of five idle connections makes one request wait for its full time limit, although the
//! target answers on new connections at once. With it, only one request waits.
//!
//! Owns: [`StallGuard`]. Relies on: callers that abandon an exchange or an answer by dropping it.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_clock::Moment;

use crate::links::TargetLinks;
use crate::pool::{ConnectionEndpoint, ConnectionPool};
use crate::stream::TargetStream;

/// Time without bytes from the target after which a dropped exchange is considered unanswered: half of the minimum
/// time after which a target is considered stalled. An exchange dropped sooner, as when its caller disconnects, shows
/// nothing about the target.
const UNANSWERED_AFTER: Duration = Duration::from_millis(250);

/// Monitors one exchange. If it is dropped unanswered, the connections to the same endpoint that became idle before the
/// target's last activity are closed. The links of the daemon learn what arrives and what waits.
pub(crate) struct StallGuard {
    pool: ConnectionPool,
    endpoint: ConnectionEndpoint,
    /// When the target last sent bytes, or the exchange began.
    last_activity: Moment,
    waiting: bool,
    /// Informed until the exchange has ended; `None` where it is not a direct one with a target.
    links: Option<Rc<dyn TargetLinks>>,
}

impl fmt::Debug for StallGuard {
    fn fmt(&self, form: &mut fmt::Formatter<'_>) -> fmt::Result {
        form.debug_struct("StallGuard").field("endpoint", &self.endpoint).finish_non_exhaustive()
    }
}

impl StallGuard {
    /// Starts to monitor an exchange on a connection.
    pub(crate) fn begin(
        pool: &ConnectionPool,
        endpoint: &ConnectionEndpoint,
        stream: &TargetStream,
    ) -> StallGuard {
        let (pool, endpoint) = (pool.clone(), endpoint.clone());
        let links = pool.observing_links(&endpoint, !stream.is_relayed());
        if let Some(links) = &links {
            links.exchange_begun(&endpoint.address);
        }
        StallGuard { pool, endpoint, last_activity: Moment::now(), waiting: true, links }
    }

    /// Records that bytes have arrived.
    pub(crate) fn record_activity(&mut self) {
        self.last_activity = Moment::now();
        if let Some(links) = &self.links {
            links.bytes_arrived(&self.endpoint.address);
        }
    }

    /// Stops monitoring: the answer is complete, or the connection has failed with an error.
    pub(crate) fn finish(&mut self) {
        self.waiting = false;
    }
}

impl Drop for StallGuard {
    fn drop(&mut self) {
        if let Some(links) = self.links.take() {
            links.exchange_ended(&self.endpoint.address);
        }
        if self.waiting && self.last_activity.elapsed() >= UNANSWERED_AFTER {
            self.pool.discard_idle_before(&self.endpoint, self.last_activity);
        }
    }
}
