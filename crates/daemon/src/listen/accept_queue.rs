//! Decides which of the accepted connections is read next, and which are closed unread.
//!
//! Load pattern: for some seconds a load balancer sends one daemon many times the connections that its processor can
//! handle. A caller whose connection is closed unread loses a moment, since its next one meets another daemon; one whose
//! request was read and then waits for the processor loses the request.
//!
//! The rule: one connection is read in each turn of the daemon's loop, so that what was read goes first and the time of a
//! turn limits what is read. A connection that has waited for the limit is closed unread. The oldest connection is read
//! first, so that a short burst is read whole. Once the oldest has waited for half of the limit the newest is read first:
//! otherwise each connection would be read only just before its limit.
//!
//! Owns: the accepted connections that were not read. Relies on: callers that try again at once.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_clock::Moment;

/// Fraction of the limit after which the newest connection is read before the oldest.
const LATE_DIVISOR: u32 = 2;

/// A connection that was accepted and not read.
struct UnreadConnection<C> {
    connection: C,
    accepted: Moment,
}

/// Accepted connections that were not read, from the oldest to the newest.
pub struct AcceptQueue<C> {
    unread: VecDeque<UnreadConnection<C>>,
}

impl<C> Default for AcceptQueue<C> {
    fn default() -> AcceptQueue<C> {
        AcceptQueue { unread: VecDeque::new() }
    }
}

impl<C> AcceptQueue<C> {
    /// Adds a connection.
    pub fn push(&mut self, accepted: Moment, connection: C) {
        self.unread.push_back(UnreadConnection { connection, accepted });
    }

    /// Removes the connection to be read next.
    pub fn take_next(&mut self, now: Moment, limit: Duration) -> Option<C> {
        let oldest = self.unread.front()?;
        let is_late = now.saturating_duration_since(oldest.accepted) >= limit / LATE_DIVISOR;
        let next = if is_late { self.unread.pop_back() } else { self.unread.pop_front() };
        next.map(|next| next.connection)
    }

    /// Removes a connection that has waited for `limit`, to be closed unread.
    pub fn take_expired(&mut self, now: Moment, limit: Duration) -> Option<C> {
        self.unread
            .pop_front_if(|oldest| now.saturating_duration_since(oldest.accepted) >= limit)
            .map(|oldest| oldest.connection)
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.unread.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.unread.is_empty()
    }
}
