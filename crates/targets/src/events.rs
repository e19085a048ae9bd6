//! Whole events out of the parts of an event stream.
//!
//! Owns: the beginning of an event that is not whole yet. Relies on: events that end with a blank line.

use bytes::{Bytes, BytesMut};

/// Longest event that is held back until it is whole.
const EVENT_LIMIT: usize = 1 << 20;

/// Splits a stream after whole events, so that a stream that breaks within one can be taken up.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Number of the last whole event that was given out.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes a part and gives the whole events that it completes. Events that were given out before,
    /// by the stream that this one takes up, are left out.
    pub fn push(&mut self, part: &[u8]) -> Bytes {
        self.held.extend_from_slice(part);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.held) {
            let event = self.held.split_to(end);
            match event_number(&event) {
                Some(number) if self.last.is_some_and(|last| number <= last) => {}
                Some(number) => {
                    self.last = Some(number);
                    out.extend_from_slice(&event);
                }
                None => out.extend_from_slice(&event),
            }
        }
        if self.held.len() > EVENT_LIMIT {
            out.extend_from_slice(&self.held.split());
        }
        out.freeze()
    }

    /// What is left at the end of a whole stream.
    pub fn rest(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// The stream broke: the beginning of an event is dropped.
    pub fn restart(&mut self) {
        self.held.clear();
    }
}

/// Where the first event ends, blank line included.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let content = &bytes[line..index];
        if index > 0 && (content.is_empty() || content == b"\r") {
            return Some(index + 1);
        }
        line = index + 1;
    }
    None
}

fn event_number(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:")).and_then(|id| id.trim().parse().ok())
}
