//! Limits the requests for a peer's state to one at a time.
//!
//! A late answer must not be requested again at once: the same link would then carry it twice, and both copies would
//! be later still. Each unanswered request doubles the wait before the next one, so that a link that is too slow for
//! the first wait is not kept full by repetitions.
//!
//! Owns: when the request was sent whose answer is awaited. Relies on: its owner to report the answer.

use std::time::Duration;

use curlewcleat_core::Uptime;

/// First wait for an answer of a few kilobytes: a heartbeat interval, in which a link of 10 Mbit/s carries 600 kB.
const FIRST_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of doublings: the longest wait is four seconds, by which time a reachable peer has answered over
/// any usable link.
const MAX_DOUBLINGS: u32 = 3;

/// Whether an answer is awaited, and for how long.
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
    /// Returns a state in which no answer is awaited; `first_wait` is the wait for the first one.
    pub const fn new(first_wait: Duration) -> AwaitedAnswer {
        AwaitedAnswer { first_wait, sent: None, unanswered: 0 }
    }

    /// Returns the longest wait for an answer.
    pub fn longest_wait(&self) -> Duration {
        self.first_wait * (1 << MAX_DOUBLINGS)
    }

    /// Returns whether to send a request now; if so, an answer is awaited from now on.
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

    /// Returns whether the latest request repeats one that has no answer.
    pub fn is_repeated(&self) -> bool {
        self.unanswered > 0
    }

    /// Returns whether an answer is awaited.
    pub fn is_awaited(&self) -> bool {
        self.sent.is_some()
    }

    /// Records that the answer has arrived.
    pub fn answered(&mut self) {
        self.sent = None;
        self.unanswered = 0;
    }
}
