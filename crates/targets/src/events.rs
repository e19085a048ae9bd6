//! Assembles complete events from the parts of an event stream.
//!
//! Owns: the bytes of an incomplete event. Relies on: events that end with a blank line.

use bytes::{Bytes, BytesMut};

/// Maximum number of buffered bytes of an incomplete event; more are returned as they are.
const EVENT_LIMIT: usize = 1 << 20;

/// Encoding of the mark with which a stream may begin.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Splits a stream at the ends of events, so that a stream that is interrupted within an event can be resumed. Lines end
/// with CR, LF or both.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: BytesMut,
    scan: EventScan,
    last_event_number: Option<u64>,
}

/// Search for the end of the first buffered event, which continues where the bytes ended.
#[derive(Debug, Default)]
struct EventScan {
    /// Number of bytes that were searched.
    searched: usize,
    /// Start of the line that has not ended yet.
    line_start: usize,
    /// Whether a line of the event has content.
    has_content: bool,
}

impl EventScan {
    /// Returns the length of the first event, including its blank line.
    fn event_end(&mut self, bytes: &[u8]) -> Option<usize> {
        while self.searched < bytes.len() {
            let index = self.searched;
            self.searched += 1;
            let is_line_end = match bytes[index] {
                b'\r' => true,
                // The line feed after a carriage return belongs to the end of the same line.
                b'\n' if index > 0 && bytes[index - 1] == b'\r' => {
                    self.line_start = index + 1;
                    false
                }
                byte => byte == b'\n',
            };
            if !is_line_end {
                continue;
            }
            let is_blank = self.line_start == index;
            self.line_start = index + 1;
            if is_blank && self.has_content {
                let has_line_feed = bytes[index] == b'\r' && bytes.get(index + 1) == Some(&b'\n');
                return Some(index + 1 + usize::from(has_line_feed));
            }
            self.has_content |= !is_blank;
        }
        None
    }
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
        while let Some(end) = self.scan.event_end(&self.buffered) {
            self.scan = EventScan::default();
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
            out.extend_from_slice(&self.take_remaining());
        }
        out.freeze()
    }

    /// Returns whether no event is incomplete.
    pub fn is_between_events(&self) -> bool {
        self.scan.line_start == self.buffered.len() && !self.scan.has_content
    }

    /// Returns the buffered bytes at the end of a complete stream.
    pub fn take_remaining(&mut self) -> Bytes {
        self.scan = EventScan::default();
        self.buffered.split().freeze()
    }

    /// Prepares for a resumed stream: discards the bytes of the incomplete event.
    pub fn discard_incomplete(&mut self) {
        self.scan = EventScan::default();
        self.buffered.clear();
    }
}

/// Returns the number in the last `id` field of an event.
fn event_number(event: &[u8]) -> Option<u64> {
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    let lines = event.split(|byte| matches!(byte, b'\r' | b'\n'));
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
