//! Reads the fields of a complete event.
//!
//! Owns: nothing; pure functions. Relies on: lines that end with CR, LF or both.

use std::num::IntErrorKind;

/// Encoding of the mark with which a stream may begin.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// The fields of an event that tell its place in the stream, and whether callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventFields {
    /// Number in the last `id` field, the highest one if it is too high to be represented. `None` without such a field, or
    /// if it is no number.
    pub number: Option<u64>,
    /// Number of `id` fields.
    pub ids: u32,
    /// Number of `data` fields. Callers do not see an event without any: it is a comment.
    pub data_lines: u32,
}

impl EventFields {
    /// Reads the fields of an event.
    pub fn read(event: &[u8]) -> EventFields {
        let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
        let mut fields = EventFields::default();
        for line in event.split(|byte| matches!(byte, b'\r' | b'\n')) {
            if let Some(id) = line.strip_prefix(b"id:") {
                fields.ids += 1;
                fields.number = read_number(id);
            } else if line == b"data" || line.starts_with(b"data:") {
                fields.data_lines += 1;
            }
        }
        fields
    }

    /// Returns whether callers see the event.
    pub fn has_data(&self) -> bool {
        self.data_lines > 0
    }

    /// Returns whether the event says nothing about the place in the stream, and callers do not see it.
    pub fn is_comment(&self) -> bool {
        self.ids == 0 && self.data_lines == 0
    }
}

fn read_number(id: &[u8]) -> Option<u64> {
    match std::str::from_utf8(id).ok()?.trim().parse() {
        Ok(number) => Some(number),
        Err(error) => (*error.kind() == IntErrorKind::PosOverflow).then_some(u64::MAX),
    }
}
