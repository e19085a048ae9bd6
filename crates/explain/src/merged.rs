//! Collects the lines of all logs.

use crate::line::LogLine;
use crate::timeline::RequestTimeline;

/// Lines from the logs of many daemons.
#[derive(Clone, Debug, Default)]
pub struct MergedLog {
    lines: Vec<LogLine>,
    unreadable: usize,
}

impl MergedLog {
    /// Adds the lines of a log; `file` is its name.
    pub fn add_log(&mut self, file: &str, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(file, line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
    }

    /// Returns the number of lines that could not be parsed.
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// Returns what happened to a request, given the system's or the caller's id; `None` if no line has this id.
    pub fn request_timeline(&self, id: &str) -> Option<RequestTimeline> {
        RequestTimeline::from_lines(id, &self.lines)
    }
}
