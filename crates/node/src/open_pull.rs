//! One pull of a peer's state at a time.
//!
//! An answer that comes late is no reason to ask again at once: the same link then carries it twice, and
//! both are later still.
//!
//! Owns: when the pull was sent whose answer is awaited. Relies on: its owner for telling what answers
//! it.

use std::time::Duration;

use curlewcleat_core::Uptime;

/// Time after which an answer counts as lost. Chosen, not measured: a heartbeat's time, in which a link
/// of 10 Mbit/s carries 600 kB.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Whether the answer to a pull is on its way.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenPull {
    sent: Option<Uptime>,
}

impl OpenPull {
    /// Whether to pull now; if so, an answer is awaited from now on.
    pub fn begin(&mut self, now: Uptime) -> bool {
        let awaited = self.sent.is_some_and(|sent| now < sent + ANSWER_LIMIT);
        if !awaited {
            self.sent = Some(now);
        }
        !awaited
    }

    /// The answer has come.
    pub fn answered(&mut self) {
        self.sent = None;
    }
}
