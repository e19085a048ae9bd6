//! Finds the end of an event in bytes that arrive in parts.
//!
//! Owns: how far the bytes were searched. Relies on: events that end with a blank line; lines end with CR, LF or both.

/// Search for the end of the first buffered event, which continues where the bytes ended.
#[derive(Debug, Default)]
pub struct EventScan {
    /// Number of buffered bytes that were searched.
    searched: usize,
    /// Whether the line that has not ended yet has content.
    line_has_content: bool,
    /// Whether the latest byte was a carriage return.
    is_after_return: bool,
    /// Whether a line of the event has content.
    has_content: bool,
}

impl EventScan {
    /// Searches on from where the bytes ended, for an event that is one part of a longer one as well.
    pub fn restart(&mut self) {
        self.searched = 0;
    }

    /// Returns the length of the first event, including its blank line.
    pub fn event_end(&mut self, bytes: &[u8]) -> Option<usize> {
        while let Some(byte) = bytes.get(self.searched).copied() {
            self.searched += 1;
            let was_return = std::mem::replace(&mut self.is_after_return, byte == b'\r');
            match byte {
                // It belongs to the end of the line that the carriage return has ended.
                b'\n' if was_return => {}
                b'\r' | b'\n' => {
                    let is_blank = !std::mem::take(&mut self.line_has_content);
                    if is_blank && self.has_content {
                        let line_feed = bytes.get(self.searched) == Some(&b'\n');
                        return Some(self.searched + usize::from(byte == b'\r' && line_feed));
                    }
                }
                _ => (self.line_has_content, self.has_content) = (true, true),
            }
        }
        None
    }

    /// Returns whether no event is incomplete.
    pub fn is_between_events(&self) -> bool {
        !self.has_content
    }
}
