//! Reads the fields of a complete event.
//!
//! Owns: nothing; pure functions. Relies on: lines that end with CR, LF or both.

use std::num::IntErrorKind;

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
    /// Whether it has an `event` field, the type under which callers dispatch it.
    pub has_type: bool,
    /// Whether it has a line that is a comment.
    pub has_comments: bool,
    /// Whether its first line is a field of a name that callers do not know: there targets state what the event is about.
    pub has_title: bool,
    /// Whether it has another line that is neither a comment nor a field that callers know.
    pub has_odd_lines: bool,
}

impl EventFields {
    /// Reads the fields of an event.
    pub fn read(event: &[u8]) -> EventFields {
        let mut fields = EventFields::default();
        let lines = event.split(|byte| matches!(byte, b'\r' | b'\n'));
        for (index, line) in lines.filter(|line| !line.is_empty()).enumerate() {
            fields.add_line(line, index == 0);
        }
        fields
    }

    fn add_line(&mut self, line: &[u8], is_first: bool) {
        let (name, value) = match line.iter().position(|byte| *byte == b':') {
            Some(end) => (&line[..end], Some(&line[end + 1..])),
            None => (line, None),
        };
        match name {
            b"id" => {
                self.ids += 1;
                self.number = value.and_then(read_number);
            }
            b"data" => self.data_lines += 1,
            b"event" => self.has_type = true,
            b"retry" => {}
            b"" => self.has_comments = true,
            _ if is_first && value.is_some() && is_field_name(name) => self.has_title = true,
            _ => self.has_odd_lines = true,
        }
        // Callers know fields without a colon, but targets write them by mistake only.
        self.has_odd_lines |= value.is_none();
    }

    /// Returns whether callers see the event.
    pub fn has_data(&self) -> bool {
        self.data_lines > 0
    }

    /// Returns whether the event says nothing about the place in the stream, and callers do not see it.
    pub fn is_comment(&self) -> bool {
        self.ids == 0 && self.data_lines == 0
    }

    /// Returns whether callers ignore a line that does not belong into an event like this.
    pub fn has_ignored_lines(&self) -> bool {
        let is_out_of_place = if self.is_comment() { self.has_title } else { self.has_comments };
        self.has_odd_lines || is_out_of_place
    }
}

fn is_field_name(name: &[u8]) -> bool {
    let is_name_byte = |byte: &u8| byte.is_ascii_alphanumeric() || *byte == b'-';
    name.first().is_some_and(u8::is_ascii_alphabetic) && name.iter().all(is_name_byte)
}

fn read_number(id: &[u8]) -> Option<u64> {
    match std::str::from_utf8(id).ok()?.trim().parse() {
        Ok(number) => Some(number),
        Err(error) => (*error.kind() == IntErrorKind::PosOverflow).then_some(u64::MAX),
    }
}
