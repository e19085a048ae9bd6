//! Sends a caller the head of an answer and its parts as they arrive.
//!
//! Owns: the channel between a request's task and the body of its answer. Relies on: the caller's
//! connection dropping that body when it closes.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Request, Response, StatusCode, Version};
use bytes::Bytes;
use curlewcleat_targets::BodyFrame;
use futures_util::{stream, Stream, StreamExt};
use tokio::sync::{mpsc, oneshot};

use super::TaskGuard;
use crate::connection_guard::ConnectionGuard;

/// Parts that may wait for the caller to read them. The queue is short so that a slow caller slows down the target's
/// connection instead of filling this daemon's memory.
const PART_QUEUE: usize = 8;

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

/// The answer ended before it was complete; the caller's connection is closed too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answer was cut before its end")]
pub struct AnswerCut;

/// The sending end of an answer. An answer that is dropped before [`finish`](AnswerChannel::finish)
/// ends with [`AnswerCut`], so that no caller mistakes a partial answer for a complete one.
pub struct AnswerChannel {
    head_sender: Option<oneshot::Sender<CallerAnswer>>,
    parts: mpsc::Sender<Bytes>,
    complete: Rc<Cell<bool>>,
    /// How the end of the answer is marked, once its head was sent.
    frame: Option<PartsFrame>,
}

/// The receiving end: the body of the answer.
pub struct AnswerParts {
    parts: mpsc::Receiver<Bytes>,
    complete: Rc<Cell<bool>>,
    ended: bool,
    /// Whether the end of a cut answer was delayed.
    cut_delayed: bool,
}

impl AnswerChannel {
    /// Creates both ends; the head of the answer is sent to `head_sender`.
    pub fn new(head_sender: oneshot::Sender<CallerAnswer>) -> (AnswerChannel, AnswerParts) {
        let (sender, receiver) = mpsc::channel(PART_QUEUE);
        let complete = Rc::new(Cell::new(false));
        let channel = AnswerChannel {
            head_sender: Some(head_sender),
            parts: sender,
            complete: Rc::clone(&complete),
            frame: None,
        };
        (channel, AnswerParts { parts: receiver, complete, ended: false, cut_delayed: false })
    }

    /// Returns whether the head was sent.
    pub fn has_begun(&self) -> bool {
        self.head_sender.is_none()
    }

    /// Returns whether the answer may end where a target's answer has ended whose end is determined by `frame`. The
    /// end of a connection does not prove what a length or a last chunk would state.
    pub fn may_end_with(&self, frame: BodyFrame) -> bool {
        frame != BodyFrame::UntilClose
            || self.frame.is_none_or(|claimed| claimed == PartsFrame::UntilClose)
    }

    /// Sends the head; later calls are ignored.
    pub fn send_head(&mut self, answer: CallerAnswer) {
        if let Some(head_sender) = self.head_sender.take() {
            if let AnswerContent::Parts(frame) = &answer.content {
                self.frame = Some(*frame);
            }
            // If the caller has disconnected, its connection aborts the task of the request.
            let _ = head_sender.send(answer);
        }
    }

    /// Sends a part; waits while the queue is full because the caller does not read.
    pub async fn send_part(&self, part: Bytes) {
        // If the caller has disconnected, its connection aborts the task of the request.
        let _ = self.parts.send(part).await;
    }

    /// Marks the answer as complete with the parts sent so far.
    pub fn finish(&self) {
        self.complete.set(true);
    }
}

impl Stream for AnswerParts {
    type Item = Result<Bytes, AnswerCut>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.parts.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(part)) => Poll::Ready(Some(Ok(part))),
            Poll::Ready(None) if self.complete.get() => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) if !self.cut_delayed => {
                // The connection writes what it has while the answer is pending, and drops it after an error.
                self.cut_delayed = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(Some(Err(AnswerCut)))
            }
        }
    }
}
