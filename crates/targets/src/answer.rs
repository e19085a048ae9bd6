//! Reads the answer of a target part by part and detects whether it is complete.
//!
//! Owns: one connection until the end of its answer. Relies on: actix-http's client codec.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_codec::{AsyncRead, Framed, ReadBuf};
use actix_http::h1::{ClientCodec, MessageType};
use actix_http::ResponseHead;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;

use crate::body_codec::BodyCodec;
use crate::error::AnswerExcess;
use crate::intake::IntakeHold;
use crate::pool::{ConnectionEndpoint, ConnectionPool};
use crate::stall::StallGuard;
use crate::stream::TargetStream;
use crate::unread::UnreadTime;

/// Size in bytes of one read from an answer that ends when its connection closes.
const READ_SIZE: usize = 16 << 10;

/// Bytes of one answer that are read before other tasks of the thread have their turn.
const TURN_SIZE: usize = 16 << 10;
/// Bytes that a part counts for in addition to its own, since each part takes time.
const TURN_PART_COST: usize = 64;

/// The body ended before its announced length or last chunk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("targets: the answer was truncated: {0}")]
pub struct TruncatedBody(pub String);

/// Head and body of an answer.
pub struct TargetAnswer {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body.
    pub body: AnswerBody,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFrame {
    /// The answer has no body.
    Empty,
    /// By its length.
    Length,
    /// By its last chunk.
    Chunks,
    /// By the end of the connection. A target that terminates while it answers may end the connection in the same way.
    UntilClose,
}

impl BodyFrame {
    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            BodyFrame::Empty => "no_body",
            BodyFrame::Length => "length",
            BodyFrame::Chunks => "last_chunk",
            BodyFrame::UntilClose => "connection_closed",
        }
    }
}

enum BodyState {
    /// The answer has no body.
    Empty(Framed<TargetStream, ClientCodec>),
    /// The body is being read.
    Open(Framed<TargetStream, BodyCodec>),
    /// The body is being read until the connection ends; the bytes arrived with the head.
    UntilClose(TargetStream, BytesMut),
    /// The body is complete, and the connection was not returned to the pool but may be reused.
    Complete(Framed<TargetStream, ClientCodec>),
    /// The body has ended, complete or truncated.
    Ended,
}

/// The body of an answer as a stream of parts. It ends with `None` only after the last byte of the announced length,
/// the last chunk, or, where that is allowed, the end of the connection. Otherwise it ends with [`TruncatedBody`]. The
/// connection of a complete body returns to its pool if it can be reused.
pub struct AnswerBody {
    state: BodyState,
    frame: BodyFrame,
    reusable: bool,
    /// Whether the connection has failed, so that its end does not show that the target has closed it.
    broken: bool,
    /// Why the body was ended, if that was its encoding.
    excess: Option<AnswerExcess>,
    /// Bytes that were read without a pause.
    turn: usize,
    /// Only that of an answer whose end the connection determines is counted.
    unread: UnreadTime,
    /// Counts the head, which is held as long as its answer.
    head_hold: Option<IntakeHold>,
    idle_limit: Option<Duration>,
    endpoint: ConnectionEndpoint,
    pool: ConnectionPool,
    stall: StallGuard,
}

impl AnswerBody {
    pub(crate) fn new(
        framed: Framed<TargetStream, ClientCodec>,
        frame: BodyFrame,
        reusable: bool,
        endpoint: ConnectionEndpoint,
        pool: ConnectionPool,
    ) -> AnswerBody {
        let stall = StallGuard::begin(&pool, &endpoint, framed.io_ref());
        let state = match frame {
            BodyFrame::Empty => BodyState::Empty(framed),
            BodyFrame::Length | BodyFrame::Chunks => {
                BodyState::Open(framed.into_map_codec(BodyCodec::new))
            }
            BodyFrame::UntilClose => {
                let parts = framed.into_parts();
                BodyState::UntilClose(parts.io, parts.read_buf)
            }
        };
        AnswerBody {
            state,
            frame,
            reusable,
            broken: false,
            excess: None,
            turn: 0,
            unread: UnreadTime::default(),
            head_hold: None,
            idle_limit: None,
            endpoint,
            pool,
            stall,
        }
    }

    /// Returns how the end of the body is determined.
    pub fn frame(&self) -> BodyFrame {
        self.frame
    }

    /// Returns why the body was ended, if that was its encoding.
    pub fn excess(&self) -> Option<AnswerExcess> {
        self.excess
    }

    /// Returns whether an answer that ends with its connection was left unread for so long that its target may have cut it
    /// off.
    pub fn is_left_unread(&self) -> bool {
        self.unread.is_long()
    }

    /// Returns a guard that counts undelivered bytes of this answer.
    pub fn intake_hold(&self) -> IntakeHold {
        self.pool.intake_hold(&self.endpoint)
    }

    /// Counts the head until the answer is dropped.
    pub(crate) fn keep_head_hold(&mut self, hold: IntakeHold) {
        self.head_hold = Some(hold);
    }

    /// Records that the connection has failed while the request was written to it. The system reports a reset once, so
    /// that reading may end as after an orderly close.
    pub(crate) fn set_broken(&mut self) {
        self.broken = true;
    }

    /// Sets the idle time after which the target closes the connection.
    pub fn set_idle_limit(&mut self, limit: Duration) {
        self.idle_limit = Some(limit);
    }

    /// Returns the connection after a complete body, if it was not returned to the pool.
    pub(crate) fn into_connection(self) -> Option<Framed<TargetStream, ClientCodec>> {
        match self.state {
            BodyState::Complete(framed) => Some(framed),
            _ => None,
        }
    }

    /// Returns the connection to the pool if it can be reused and no unread bytes remain on it.
    fn release(&mut self) {
        let framed = match std::mem::replace(&mut self.state, BodyState::Ended) {
            BodyState::Empty(framed) => framed,
            BodyState::Open(framed) => framed.into_map_codec(BodyCodec::into_codec),
            _ => return,
        };
        if !framed.codec_ref().keep_alive() {
            return;
        }
        if self.reusable && framed.is_read_buf_empty() {
            self.pool.put_idle(&self.endpoint, framed.into_parts().io, self.idle_limit);
        } else if framed.codec_ref().message_type() == MessageType::None {
            // Otherwise the codec expects a body that the status rules out, and cannot read the next head.
            self.state = BodyState::Complete(framed);
        }
    }

    fn poll_until_close(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        let BodyState::UntilClose(stream, bytes_with_head) = &mut self.state else {
            return Poll::Ready(None);
        };
        self.unread.record_asked();
        if !bytes_with_head.is_empty() {
            self.unread.record_part();
            return Poll::Ready(Some(Ok(bytes_with_head.split().freeze())));
        }
        let mut storage = [0u8; READ_SIZE];
        let mut buffer = ReadBuf::new(&mut storage);
        match Pin::new(stream).poll_read(context, &mut buffer) {
            Poll::Pending => {
                self.unread.record_drained();
                Poll::Pending
            }
            Poll::Ready(Ok(())) if buffer.filled().is_empty() => {
                self.state = BodyState::Ended;
                self.unread.record_end();
                let broken = || TruncatedBody("the connection broke".to_string());
                Poll::Ready(self.broken.then(|| Err(broken())))
            }
            Poll::Ready(Ok(())) => {
                self.unread.record_part();
                Poll::Ready(Some(Ok(Bytes::copy_from_slice(buffer.filled()))))
            }
            Poll::Ready(Err(error)) => {
                self.state = BodyState::Ended;
                Poll::Ready(Some(Err(TruncatedBody(error.to_string()))))
            }
        }
    }
}

impl Stream for AnswerBody {
    type Item = Result<Bytes, TruncatedBody>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.turn >= TURN_SIZE {
            self.turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = self.poll_part(context);
        match &polled {
            Poll::Pending => self.turn = 0,
            Poll::Ready(Some(Ok(part))) => {
                self.turn += part.len() + TURN_PART_COST;
                self.stall.record_activity();
            }
            Poll::Ready(Some(Err(_)) | None) => self.stall.finish(),
        }
        polled
    }
}

impl AnswerBody {
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        let polled = match &mut self.state {
            BodyState::Ended | BodyState::Complete(_) => return Poll::Ready(None),
            BodyState::Empty(_) => {
                self.release();
                return Poll::Ready(None);
            }
            BodyState::UntilClose(..) => return self.poll_until_close(context),
            BodyState::Open(framed) => {
                let polled = Pin::new(&mut *framed).next_item(context);
                self.excess = framed.codec_ref().excess();
                polled
            }
        };
        let truncated = match polled {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(Ok(Some(bytes)))) => return Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(Some(Ok(None))) => {
                self.release();
                return Poll::Ready(None);
            }
            Poll::Ready(Some(Err(error))) => TruncatedBody(error.to_string()),
            Poll::Ready(None) => TruncatedBody("the connection closed".to_string()),
        };
        self.state = BodyState::Ended;
        Poll::Ready(Some(Err(truncated)))
    }
}
