//! When did connections go silent together?
//!
//! Load: whatever makes open connections silent without a reset does so to many at once, also to those towards
//! targets, where an idle one shows nothing of it and each target costs a request its whole wait. Inputs: which
//! peers are dialed anew, when, and whether they were heard of on the connection before. The rule: where two of
//! them, or the only one, are dialed anew within the window, connections have gone silent together; a peer that
//! was not heard of meanwhile has ended and tells nothing. Counted once in a window.
//!
//! Owns: [`SilenceCounter`]. Relies on: `hearing` for which peers are dialed anew.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Peers that are dialed anew together where there are so many. Chosen, not measured: one alone may have ended.
const TOGETHER: usize = 2;

/// Counts the times that connections went silent together.
#[derive(Debug)]
pub struct SilenceCounter {
    /// Time within which peers count as dialed anew together.
    window: Duration,
    dialed: BTreeMap<String, Instant>,
    counted: Option<Instant>,
}

impl SilenceCounter {
    /// Nothing dialed anew yet.
    pub fn new(window: Duration) -> SilenceCounter {
        SilenceCounter { window, dialed: BTreeMap::new(), counted: None }
    }

    /// A peer out of so many is dialed anew that was heard of before. Returns whether this is a further time that
    /// connections went silent together.
    pub fn note(&mut self, now: Instant, address: &str, peers: usize) -> bool {
        let window = self.window;
        self.dialed.retain(|_, dialed| now.saturating_duration_since(*dialed) < window);
        self.dialed.insert(address.to_string(), now);
        let counted = self.counted.is_some_and(|at| now.saturating_duration_since(at) < window);
        if counted || self.dialed.len() < TOGETHER.min(peers) {
            return false;
        }
        self.counted = Some(now);
        true
    }
}
