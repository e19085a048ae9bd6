//! What a target really ran, and the answers that it owes: the other half of every verdict.

use std::cell::RefCell;

use serde::{Deserialize, Serialize};

/// One run of a request on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The caller's nonce, unique for each request that it makes.
    pub nonce: String,
    /// The request id that the scheduler gave.
    pub request: String,
    /// Milliseconds since the target's start.
    pub started_ms: u64,
    /// Prompt tokens that were computed, cached ones not counted.
    pub prefill: u64,
    /// Whether the whole answer was written.
    pub whole: bool,
}

/// All runs of one target.
#[derive(Debug, Default)]
pub struct RunLedger {
    entries: RefCell<Vec<LedgerEntry>>,
}

impl RunLedger {
    /// Notes that a request begins to run; gives its place.
    pub fn begin(&self, entry: LedgerEntry) -> usize {
        let mut entries = self.entries.borrow_mut();
        entries.push(entry);
        entries.len() - 1
    }

    /// Notes that the whole answer was written.
    pub fn complete(&self, place: usize) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(place) {
            entry.whole = true;
        }
    }

    /// A copy of all entries.
    pub fn entries(&self) -> Vec<LedgerEntry> {
        self.entries.borrow().clone()
    }
}

/// Token number `index` of the answer to a nonce.
pub fn expected_token(nonce: &str, index: u64) -> String {
    let seed = nonce.bytes().fold(index.wrapping_mul(0x9E37_79B9), |sum, byte| {
        sum.rotate_left(5).wrapping_add(u64::from(byte)).wrapping_mul(0x0100_0000_01B3)
    });
    format!("{:04x}", seed & 0xffff)
}

/// One event of an engine's stream.
pub fn token_event(nonce: &str, index: u64) -> String {
    format!("data: {{\"token\":\"{}\"}}\n\n", expected_token(nonce, index))
}

/// The whole stream that an engine sends for a nonce.
pub fn expected_stream(nonce: &str, tokens: u64) -> String {
    let mut stream: String = (0..tokens).map(|index| token_event(nonce, index)).collect();
    stream.push_str(END_EVENT);
    stream
}

/// The record that a service sends for a nonce.
pub fn expected_record(nonce: &str) -> String {
    format!("{{\"nonce\":\"{nonce}\",\"receipt\":\"{}\"}}", expected_token(nonce, 7))
}

/// Last event of a stream.
pub const END_EVENT: &str = "data: [DONE]\n\n";
