//! One request for a peer's state at a time.
//!
//! An answer that comes late is no reason to ask again at once: the same link then carries it twice, and
//! both are later still. Each request that stays without an answer doubles the wait for the next one, so
//! that a link too slow for the first wait is not kept full by repetitions.
//!
//! Owns: when the request was sent whose answer is awaited. Relies on: its owner for telling what
//! answers it.

use std::time::Duration;

use curlewcleat_core::Uptime;

/// First wait for an answer of a few kilobytes: a heartbeat's time, in which a link of 10 Mbit/s carries 600 kB.
const FIRST_WAIT: Duration = Duration::from_millis(500);
/// Doublings of the wait at most: with the first wait four seconds, after which a peer that is reachable has answered
/// over any link that is of use.
const MAX_DOUBLINGS: u32 = 3;

/// Whether an answer is on its way.
#[derive(Clone, Copy, Debug)]
pub struct AwaitedAnswer {
    first_wait: Duration,
    sent: Option<Uptime>,
    unanswered: u32,
}

impl Default for AwaitedAnswer {
    fn default() -> AwaitedAnswer {
        AwaitedAnswer::new(FIRST_WAIT)
    }
}

impl AwaitedAnswer {
    /// No answer is awaited; the first one will be for `first_wait`.
    pub const fn new(first_wait: Duration) -> AwaitedAnswer {
        AwaitedAnswer { first_wait, sent: None, unanswered: 0 }
    }

    /// Longest wait for an answer.
    pub fn longest_wait(&self) -> Duration {
        self.first_wait * (1 << MAX_DOUBLINGS)
    }

    /// Whether to ask now; if so, an answer is awaited from now on.
    pub fn begin(&mut self, now: Uptime) -> bool {
        let wait = self.first_wait * (1 << self.unanswered.min(MAX_DOUBLINGS));
        match self.sent {
            Some(sent) if now < sent + wait => return false,
            Some(_) => self.unanswered += 1,
            None => {}
        }
        self.sent = Some(now);
        true
    }

    /// Whether the request that was sent last repeats one that has no answer.
    pub fn is_repeated(&self) -> bool {
        self.unanswered > 0
    }

    /// Whether an answer is awaited.
    pub fn is_awaited(&self) -> bool {
        self.sent.is_some()
    }

    /// The answer has come.
    pub fn answered(&mut self) {
        self.sent = None;
        self.unanswered = 0;
    }
}
