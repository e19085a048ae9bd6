//! The begin of a faulty engine's answer, which names engine and request as a sound one does.
//!
//! Owns: nothing. Relies on: the names of the platform.

use curlewcleat_platform::names::{SEAL_HEADER, WIRE_PROFILE};

use crate::fleet::FleetEngine;

/// Events of a whole stream.
const EVENTS: u64 = 3;

/// What the begin of an answer depends on.
#[derive(Clone, Copy, Debug)]
pub struct AnswerBegin<'a> {
    /// The caller's attempt id.
    pub attempt: &'a str,
    /// Id of the engine.
    pub engine: &'a str,
    /// Whether the answer is an event stream.
    pub is_stream: bool,
}

impl AnswerBegin<'_> {
    /// Returns the head of an answer in chunks.
    pub fn chunked(&self) -> Vec<u8> {
        self.chunked_after("")
    }

    /// Returns the head of an answer in chunks that begins with these lines.
    pub fn chunked_after(&self, lines: &str) -> Vec<u8> {
        self.head(&format!("{lines}transfer-encoding: chunked\r\n"))
    }

    /// Returns the head of an answer of this length in bytes.
    pub fn length(&self, length: u64) -> Vec<u8> {
        self.head(&format!("content-length: {length}\r\n"))
    }

    /// Returns the head of an answer that ends with its connection.
    pub fn unframed(&self) -> Vec<u8> {
        self.head("connection: close\r\n")
    }

    /// Returns a whole answer.
    pub fn whole(&self) -> Vec<u8> {
        let content = self.content();
        [self.length(content.len() as u64), content].concat()
    }

    /// Returns the content of a whole answer.
    pub fn content(&self) -> Vec<u8> {
        let content = match self.is_stream {
            true => FleetEngine::expected_stream(self.attempt, EVENTS),
            false => format!("record of {}", self.attempt),
        };
        content.into_bytes()
    }

    fn head(&self, lines: &str) -> Vec<u8> {
        let content_type = match self.is_stream {
            true => "content-type: text/event-stream\r\n",
            false => "",
        };
        format!(
            "HTTP/1.1 200 OK\r\n{}: {}\r\n{SEAL_HEADER}: {}\r\n{content_type}{lines}\r\n",
            WIRE_PROFILE.attempt_id, self.attempt, self.engine
        )
        .into_bytes()
    }
}
