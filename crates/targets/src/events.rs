//! Assembles complete events from the parts of an event stream.
//!
//! Owns: the bytes of an incomplete event. Relies on: events that end with a blank line.

use bytes::{Bytes, BytesMut};

/// Maximum number of buffered bytes of an incomplete event; more are returned as they are.
const EVENT_LIMIT: usize = 1 << 20;

/// Splits a stream at the ends of events, so that a stream that is interrupted within an event can be resumed.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: BytesMut,
    last_event_number: Option<u64>,
}

impl EventSplitter {
    /// Returns the number of the last complete event returned by [`push`](EventSplitter::push).
    pub fn last(&self) -> Option<u64> {
        self.last_event_number
    }

    /// Appends a part and returns the events that it completes. Events whose number was already returned before the
    /// stream was resumed are skipped.
    pub fn push(&mut self, part: &[u8]) -> Bytes {
        self.buffered.extend_from_slice(part);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.buffered) {
            let event = self.buffered.split_to(end);
            match event_number(&event) {
                Some(number) if self.last_event_number.is_some_and(|last| number <= last) => {}
                Some(number) => {
                    self.last_event_number = Some(number);
                    out.extend_from_slice(&event);
                }
                None => out.extend_from_slice(&event),
            }
        }
        if self.buffered.len() > EVENT_LIMIT {
            out.extend_from_slice(&self.buffered.split());
        }
        out.freeze()
    }

    /// Returns the buffered bytes at the end of a complete stream.
    pub fn take_remaining(&mut self) -> Bytes {
        self.buffered.split().freeze()
    }

    /// Prepares for a resumed stream: discards the bytes of the incomplete event.
    pub fn discard_incomplete(&mut self) {
        self.buffered.clear();
    }
}

/// Returns the length of the first event, including its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let content = &bytes[line_start..index];
        if index > 0 && (content.is_empty() || content == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_number(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:")).and_then(|id| id.trim().parse().ok())
}
