//! Builds the response of a caller from the head of an answer and its parts, which follow as they arrive.
//!
//! Owns: how the end of an answer is marked. Relies on: [`AnswerParts`] for the parts, the caller's connection dropping
//! the body when it closes.

use std::convert::Infallible;

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Payload, Request, Response, StatusCode, Version};
use bytes::Bytes;
use curlewcleat_targets::BodyFrame;
use futures_util::{stream, Stream, StreamExt};

use super::answer_channel::AnswerParts;
use super::body_intake::discarding_body;
use super::TaskGuard;
use crate::connection_guard::ConnectionGuard;

/// What follows the head of an answer.
pub enum AnswerContent {
    /// The complete body.
    Complete(Bytes),
    /// A body that the target may have cut off. It ends with the connection, and so claims no more than the target did.
    UntilClose(Bytes),
    /// Parts that follow.
    Parts(PartsFrame),
}

/// How the end of an answer in parts is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartsFrame {
    /// By its length in bytes.
    Length(u64),
    /// By a last chunk.
    Chunks,
    /// By the end of the connection.
    UntilClose,
}

/// What an answer depends on of the connection on which it is sent.
pub struct CallerConnection {
    version: Version,
    guard: ConnectionGuard,
}

impl CallerConnection {
    /// Returns the connection of a request.
    pub fn of(request: &Request) -> CallerConnection {
        // Every listener of callers has a guard for each connection.
        let guard = request.conn_data::<ConnectionGuard>().cloned().unwrap_or_default();
        CallerConnection { version: request.version(), guard }
    }

    /// Returns how the end of an answer in parts is marked: HTTP/1.0 has no chunks.
    fn frame_of(&self, frame: PartsFrame) -> PartsFrame {
        match frame {
            PartsFrame::Chunks if self.version < Version::HTTP_11 => PartsFrame::UntilClose,
            frame => frame,
        }
    }
}

/// The head of an answer, with the complete body or parts that follow.
pub struct CallerAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Headers of the answer; connection headers are added when it is sent.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub content: AnswerContent,
    /// Whether the connection closes after the answer.
    pub close: bool,
}

impl CallerAnswer {
    /// Returns an empty 502 for a request whose task ended without an answer.
    pub fn bad_gateway() -> CallerAnswer {
        CallerAnswer {
            status: StatusCode::BAD_GATEWAY,
            headers: Vec::new(),
            content: AnswerContent::Complete(Bytes::new()),
            close: true,
        }
    }

    /// Replaces the content by the body of the target's answer, whose end is determined by `frame`.
    pub fn with_body(self, frame: BodyFrame, body: Bytes) -> CallerAnswer {
        let content = match frame {
            BodyFrame::UntilClose => AnswerContent::UntilClose(body),
            BodyFrame::Empty | BodyFrame::Length | BodyFrame::Chunks => {
                AnswerContent::Complete(body)
            }
        };
        CallerAnswer { content, ..self }
    }

    /// Lets the parts end with the connection if those of the target's answer do.
    pub fn with_parts_of(mut self, frame: BodyFrame) -> CallerAnswer {
        if frame == BodyFrame::UntilClose {
            self.content = AnswerContent::Parts(PartsFrame::UntilClose);
        }
        self
    }

    /// Returns the response for an answer without parts.
    pub fn into_complete_response(self) -> Response<BoxBody> {
        let body = match &self.content {
            AnswerContent::Complete(body) | AnswerContent::UntilClose(body) => body.clone(),
            AnswerContent::Parts(_) => Bytes::new(),
        };
        self.head().set_body(body).map_into_boxed_body()
    }

    /// Returns the response for a request whose body was not read. The connection closes after the answer.
    pub fn into_discarding_response(mut self, payload: Payload) -> Response<BoxBody> {
        self.close = true;
        let body = match &self.content {
            AnswerContent::Complete(body) | AnswerContent::UntilClose(body) => body.clone(),
            AnswerContent::Parts(_) => Bytes::new(),
        };
        self.head().set_body(discarding_body(body, payload)).map_into_boxed_body()
    }

    /// Returns the response. Dropping its body aborts the task of the request.
    pub(super) fn into_response(
        self,
        parts: AnswerParts,
        guard: TaskGuard,
        connection: &CallerConnection,
    ) -> Response<BoxBody> {
        let frame = match &self.content {
            AnswerContent::Complete(_) => return self.into_complete_response(),
            AnswerContent::UntilClose(body) => {
                let body = stream::iter([Ok::<_, Infallible>(body.clone())]);
                return self.into_response_until_close(body, connection);
            }
            AnswerContent::Parts(frame) => connection.frame_of(*frame),
        };
        let stream = parts.map(move |part| {
            // The closure owns the guard, so the task ends with the body.
            let _ = &guard;
            part
        });
        match frame {
            PartsFrame::Length(length) => {
                self.head().set_body(SizedStream::new(length, stream)).map_into_boxed_body()
            }
            PartsFrame::Chunks => {
                self.head().set_body(BodyStream::new(stream)).map_into_boxed_body()
            }
            PartsFrame::UntilClose => self.into_response_until_close(stream, connection),
        }
    }

    /// Returns the response with a body that ends with the connection.
    fn into_response_until_close<E>(
        mut self,
        body: impl Stream<Item = Result<Bytes, E>> + 'static,
        connection: &CallerConnection,
    ) -> Response<BoxBody>
    where
        E: Into<Box<dyn std::error::Error>> + 'static,
    {
        self.close = true;
        connection.guard.activate();
        let mut head = self.head();
        head.head_mut().no_chunking(true);
        head.set_body(BodyStream::new(Box::pin(body))).map_into_boxed_body()
    }

    fn head(self) -> Response<()> {
        let mut builder = Response::build(self.status);
        for (name, value) in self.headers {
            builder.append_header((name, value));
        }
        if self.close {
            builder.force_close();
        }
        builder.finish().set_body(())
    }
}
