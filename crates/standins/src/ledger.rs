//! Records the requests that a target ran, and defines the expected answers. Tests compare both with what the callers
//! received.

use std::cell::RefCell;

use serde::{Deserialize, Serialize};

/// A run of a request on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The caller's nonce, unique for each request.
    pub nonce: String,
    /// Request id assigned by the scheduler.
    pub request: String,
    /// Start of the run in milliseconds after the target's start.
    pub started_ms: u64,
    /// Number of prompt tokens that were computed, without cached ones.
    pub prefill: u64,
    /// Whether the complete answer was written.
    pub whole: bool,
}

/// All runs of one target.
#[derive(Debug, Default)]
pub struct RunLedger {
    entries: RefCell<Vec<LedgerEntry>>,
}

impl RunLedger {
    /// Records that a request begins to run and returns the index of its ledger entry.
    pub fn begin(&self, entry: LedgerEntry) -> usize {
        let mut entries = self.entries.borrow_mut();
        entries.push(entry);
        entries.len() - 1
    }

    /// Records that the complete answer was written.
    pub fn complete(&self, index: usize) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(index) {
            entry.whole = true;
        }
    }

    /// Returns a copy of all entries.
    pub fn entries(&self) -> Vec<LedgerEntry> {
        self.entries.borrow().clone()
    }
}

/// Returns token number `index` of the answer to a nonce.
pub fn expected_token(nonce: &str, index: u64) -> String {
    let seed = nonce.bytes().fold(index.wrapping_mul(0x9E37_79B9), |sum, byte| {
        sum.rotate_left(5).wrapping_add(u64::from(byte)).wrapping_mul(0x0100_0000_01B3)
    });
    format!("{:04x}", seed & 0xffff)
}

/// Returns one event of an engine's stream.
pub fn token_event(nonce: &str, index: u64) -> String {
    format!("data: {{\"token\":\"{}\"}}\n\n", expected_token(nonce, index))
}

/// Returns the complete stream that an engine sends for a nonce.
pub fn expected_stream(nonce: &str, tokens: u64) -> String {
    let mut stream: String = (0..tokens).map(|index| token_event(nonce, index)).collect();
    stream.push_str(END_EVENT);
    stream
}

/// Returns the record that a service sends for a nonce.
pub fn expected_record(nonce: &str) -> String {
    format!("{{\"nonce\":\"{nonce}\",\"receipt\":\"{}\"}}", expected_token(nonce, 7))
}

/// Last event of a stream.
pub const END_EVENT: &str = "data: [DONE]\n\n";
