//! How the stand-in of an engine frames its answers.
//!
//! Owns: the framing of each path. Relies on: [`PlainConnection`] for the bytes.

use anyhow::Result;

use super::stream_engine::{MEASURED_MARK, UNFRAMED_MARK};
use crate::http::{chunk_of, AfterAnswer, PlainConnection};

/// How the end of an answer is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerFraming {
    Chunked,
    Measured,
    Unframed,
}

impl AnswerFraming {
    pub(super) fn of(path: &str) -> AnswerFraming {
        match () {
            () if path.contains(UNFRAMED_MARK) => AnswerFraming::Unframed,
            () if path.contains(MEASURED_MARK) => AnswerFraming::Measured,
            () => AnswerFraming::Chunked,
        }
    }

    pub(super) async fn begin(
        self,
        headers: &[(&str, &str)],
        parts: &[Vec<u8>],
        connection: &mut PlainConnection,
    ) -> Result<()> {
        match self {
            AnswerFraming::Chunked => connection.begin_chunked(headers).await,
            AnswerFraming::Measured => {
                let length = parts.iter().map(Vec::len).sum();
                connection.begin_measured(headers, length).await
            }
            AnswerFraming::Unframed => connection.begin_unframed(headers).await,
        }
    }

    /// Returns the bytes with which a part is sent.
    pub(super) fn part(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            AnswerFraming::Chunked => chunk_of(bytes),
            AnswerFraming::Measured | AnswerFraming::Unframed => bytes.to_vec(),
        }
    }

    pub(super) async fn send(self, bytes: &[u8], connection: &mut PlainConnection) -> Result<()> {
        match self {
            AnswerFraming::Chunked => connection.chunk(bytes).await,
            AnswerFraming::Measured | AnswerFraming::Unframed => connection.write_raw(bytes).await,
        }
    }

    pub(super) async fn end(self, connection: &mut PlainConnection) -> Result<AfterAnswer> {
        match self {
            AnswerFraming::Chunked => connection.chunk(b"").await?,
            AnswerFraming::Measured => {}
            AnswerFraming::Unframed => return Ok(AfterAnswer::Close),
        }
        Ok(AfterAnswer::KeepOpen)
    }
}

/// Returns the bytes of an answer with its length.
pub(super) fn measured_answer(headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut answer = "HTTP/1.1 200 OK\r\n".to_string();
    for (name, value) in headers {
        answer.push_str(&format!("{name}: {value}\r\n"));
    }
    answer.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    [answer.as_bytes(), body].concat()
}
