//! Lines of all logs.

use crate::line::LogLine;
use crate::story::RequestStory;

/// Lines of the logs of many daemons.
#[derive(Clone, Debug, Default)]
pub struct MergedLog {
    lines: Vec<LogLine>,
    unreadable: usize,
}

impl MergedLog {
    /// Takes the text of a log in; `file` names it.
    pub fn read(&mut self, file: &str, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(file, line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
    }

    /// Lines that could not be read.
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// The story of a request by the system's id or the caller's, `None` where no line tells of it.
    pub fn story(&self, id: &str) -> Option<RequestStory> {
        RequestStory::join(id, &self.lines)
    }
}
