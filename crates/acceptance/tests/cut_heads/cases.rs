//! Answers that stop at a byte, and what a caller may receive of them.

use curlewcleat_standins::fleet::FleetEngine;
use rand::rngs::StdRng;
use rand::Rng;

use crate::caller::{AnswerEnd, Received};
use crate::target::{whole_body, Script, TargetStop, EVENTS};

/// Paths of each kind of route.
pub const PATHS: [&str; 4] = ["/once/a", "/again/a", "/plain/stream/a", "/resumed/stream/a"];
/// Bytes of the body of a request that is uploaded while its target answers.
const LONG_BODY: usize = 60_000;

/// How the end of a target's answer is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Marking {
    Length,
    Chunks,
    LastAnnounced,
    UntilClose,
    OldVersion,
    OldVersionWithLength,
    /// Framing headers that contradict each other, by their index.
    Odd(usize),
}

/// Answers before the one to the request; `M` stands for the header of another attempt.
const BEFORE: [&str; 6] = [
    "",
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-attempt-id: before\r\ncontent-length: 4\r\n\r\nlate",
    "HTTP/1.1 200 OK\r\nx-attempt-id: before\r\ntransfer-encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n",
];

/// Status line and framing headers; `N` stands for the length, `B` for the body, `C` for the body in chunks.
const ODD: [(&str, &str); 14] = [
    ("HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n", "B"),
    ("HTTP/1.1 200 OK\r\nupgrade: websocket\r\ncontent-length: N\r\n", "B"),
    ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n", "C"),
    ("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n", "C"),
    ("HTTP/1.1 101 Switched\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: N\r\n", "B"),
    ("HTTP/1.1 100 Continue\r\ncontent-length: 9\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: N\r\n", "B"),
    ("HTTP/1.1 200 OK\r\ncontent-length: N\r\ncontent-length: 5\r\n", "B"),
    ("HTTP/1.1 200 OK\r\ncontent-length: -5\r\n", "B"),
    ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n", "B"),
    ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n", "10000000000000005\r\nB\r\n0\r\n\r\n"),
    ("HTTP/1.1 99 Low\r\ncontent-length: N\r\n", "B"),
    ("HTTP/1.1 1000 High\r\ncontent-length: N\r\n", "B"),
    ("HTTP/1.1 200 OK\r\nno colon\r\ncontent-length: N\r\n", "B"),
    ("HTTP/1.1 200 OK\r\nx-nul: a\0b\r\ncontent-length: N\r\n", "B"),
];

impl Marking {
    pub fn all() -> Vec<Marking> {
        let sound = [
            Marking::Length,
            Marking::Chunks,
            Marking::LastAnnounced,
            Marking::UntilClose,
            Marking::OldVersion,
            Marking::OldVersionWithLength,
        ];
        sound.into_iter().chain((0..ODD.len()).map(Marking::Odd)).collect()
    }

    fn template(self) -> (&'static str, &'static str) {
        match self {
            Marking::Length => ("HTTP/1.1 200 OK\r\ncontent-length: N\r\n", "B"),
            Marking::Chunks => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n", "C"),
            Marking::LastAnnounced => {
                ("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: N\r\n", "B")
            }
            Marking::UntilClose => ("HTTP/1.1 200 OK\r\nconnection: close\r\n", "B"),
            Marking::OldVersion => ("HTTP/1.0 200 OK\r\n", "B"),
            Marking::OldVersionWithLength => ("HTTP/1.0 200 OK\r\ncontent-length: N\r\n", "B"),
            Marking::Odd(index) => ODD[index],
        }
    }

    /// Returns whether the end of the connection is the end of the answer.
    fn ends_with_connection(self) -> bool {
        matches!(self, Marking::UntilClose | Marking::OldVersion | Marking::Odd(0))
    }
}

/// One answer that stops.
#[derive(Clone, Debug)]
pub struct CutCase {
    pub path: &'static str,
    pub marking: Marking,
    pub before: usize,
    pub stop: TargetStop,
    pub is_slow: bool,
    /// Whether the body of the request is long and its second half is sent while the target answers.
    pub is_uploading: bool,
    /// Number of bytes that the target sends.
    pub cut: usize,
}

impl CutCase {
    /// Returns cases that stop at every byte of an answer, whose other properties are random.
    pub fn at_every_byte(
        path: &'static str,
        marking: Marking,
        random: &mut StdRng,
    ) -> Vec<CutCase> {
        let mut cases = Vec::new();
        loop {
            let case = CutCase {
                path,
                marking,
                before: random.random_range(0..BEFORE.len()),
                stop: TargetStop::ALL[random.random_range(0..TargetStop::ALL.len())],
                is_slow: random.random_range(0..4) == 0,
                is_uploading: random.random_range(0..8) == 0,
                cut: 0,
            };
            // Counted from the status line, whatever precedes it.
            let (start, cut) = (BEFORE[case.before].len(), cases.len());
            if start + cut > case.bytes("c00000").0.len() {
                return cases;
            }
            cases.push(CutCase { cut: start + cut, ..case });
        }
    }

    pub fn body_length(&self) -> usize {
        if self.is_uploading {
            LONG_BODY
        } else {
            10
        }
    }

    pub fn script(&self, attempt: &str) -> Script {
        let mut bytes = self.bytes(attempt).0;
        bytes.truncate(self.cut);
        Script { bytes, stop: self.stop, is_slow: self.is_slow, is_early: self.is_uploading }
    }

    /// Returns all bytes, and where the head ends.
    fn bytes(&self, attempt: &str) -> (Vec<u8>, usize) {
        let body = whole_body(self.path, attempt);
        let (head, content) = self.marking.template();
        let head = head.replace(": N", &format!(": {}", body.len()));
        let head = format!("{}{head}x-attempt-id: {attempt}\r\n\r\n", BEFORE[self.before]);
        let (first, second) = body.split_at(body.len() / 2 + 1);
        let (first_length, second_length) = (first.len(), second.len());
        let chunks =
            format!("{first_length:x}\r\n{first}\r\n{second_length:x}\r\n{second}\r\n0\r\n\r\n");
        let content = match content {
            "C" => chunks,
            content => content.replace('B', &body),
        };
        (format!("{head}{content}").into_bytes(), head.len())
    }

    /// Checks that an answer states no more than what the target has sent.
    ///
    /// # Errors
    /// Returns what is wrong.
    pub fn check(&self, attempt: &str, answer: &Received) -> Result<(), String> {
        let is_success = (200..300).contains(&answer.status);
        let whole = whole_body(self.path, attempt);
        let is_true = match answer.end {
            AnswerEnd::Cut => is_success || answer.status == 0,
            AnswerEnd::Complete if is_success => answer.body == whole,
            AnswerEnd::Closed if is_success => self.may_end_with(attempt, &answer.body, &whole),
            // The target has begun to run the request.
            _ => {
                let refusal: serde_json::Value =
                    serde_json::from_str(&answer.body).unwrap_or_default();
                refusal["may_have_run"] == true
                    && matches!(answer.status, 502 | 504)
                    && answer.header("retry-after").is_none()
            }
        };
        let is_own = !is_success || answer.header("x-attempt-id") == Some(attempt);
        match is_true && is_own {
            true => Ok(()),
            false => Err(format!("{self:?} of {attempt}: {answer:?}")),
        }
    }

    /// Returns whether an answer that ends with its connection may have this body.
    fn may_end_with(&self, attempt: &str, body: &str, whole: &str) -> bool {
        if body == whole {
            return true;
        }
        let (bytes, head_end) = self.bytes(attempt);
        let is_orderly = self.stop != TargetStop::Reset;
        let is_end = match self.path.contains("stream") {
            // An end within an event is no end.
            true => {
                (1..=EVENTS).any(|events| body == FleetEngine::expected_stream(attempt, events))
            }
            false => true,
        };
        let is_sent = self.cut >= head_end && body.as_bytes() == &bytes[head_end..self.cut];
        self.marking.ends_with_connection() && is_orderly && is_end && is_sent
    }
}
