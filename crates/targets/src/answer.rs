//! The answer of a target, part by part, with its true end.
//!
//! Owns: one connection until the end of its answer. Relies on: actix-http's client codec.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_codec::{AsyncRead, Framed, ReadBuf};
use actix_http::h1::{ClientCodec, ClientPayloadCodec};
use actix_http::ResponseHead;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::net::TcpStream;

use crate::pool::{ConnectionEnd, ConnectionPool};
use crate::stall::StallGuard;

/// Bytes read at once from an answer that ends with its connection.
const READ_SIZE: usize = 16 << 10;

/// The body ended before its own end mark.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("targets: the answer was cut: {0}")]
pub struct BodyCut(pub String);

/// Head and body of an answer.
pub struct TargetAnswer {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body.
    pub body: AnswerBody,
}

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFrame {
    /// There is none.
    Empty,
    /// After its length, or its last chunk.
    Framed,
    /// With its connection.
    UntilClose,
}

enum BodyState {
    /// No body.
    Empty(Framed<TcpStream, ClientCodec>),
    /// Parts are awaited.
    Open(Framed<TcpStream, ClientPayloadCodec>),
    /// Parts are awaited until the connection ends; the bytes came with the head.
    UntilClose(TcpStream, BytesMut),
    /// Whole; the connection may be used again.
    Whole(Framed<TcpStream, ClientCodec>),
    /// Ended, whole or cut.
    Ended,
}

/// Parts of an answer. Ends with `None` only after the last byte that the length announced or the
/// last chunk; then the connection goes back to its pool.
pub struct AnswerBody {
    state: BodyState,
    reusable: bool,
    idle_limit: Option<Duration>,
    end: ConnectionEnd,
    pool: ConnectionPool,
    stall: StallGuard,
}

impl AnswerBody {
    pub(crate) fn new(
        framed: Framed<TcpStream, ClientCodec>,
        frame: BodyFrame,
        reusable: bool,
        end: ConnectionEnd,
        pool: ConnectionPool,
    ) -> AnswerBody {
        let state = match frame {
            BodyFrame::Empty => BodyState::Empty(framed),
            BodyFrame::Framed => {
                BodyState::Open(framed.into_map_codec(ClientCodec::into_payload_codec))
            }
            BodyFrame::UntilClose => {
                let parts = framed.into_parts();
                BodyState::UntilClose(parts.io, parts.read_buf)
            }
        };
        let stall = StallGuard::begin(&pool, &end);
        AnswerBody { state, reusable, idle_limit: None, end, pool, stall }
    }

    /// The target closes the connection after it has rested for so long.
    pub fn set_idle_limit(&mut self, limit: Duration) {
        self.idle_limit = Some(limit);
    }

    /// The connection after a whole body that is not given back to the pool.
    pub(crate) fn into_connection(self) -> Option<Framed<TcpStream, ClientCodec>> {
        match self.state {
            BodyState::Whole(framed) => Some(framed),
            _ => None,
        }
    }

    /// Gives the connection back if it may be used again and nothing was left to read on it.
    fn release(&mut self) {
        let framed = match std::mem::replace(&mut self.state, BodyState::Ended) {
            BodyState::Empty(framed) => framed,
            BodyState::Open(framed) => {
                framed.into_map_codec(ClientPayloadCodec::into_message_codec)
            }
            _ => return,
        };
        if !framed.codec_ref().keep_alive() {
            return;
        }
        if self.reusable && framed.is_read_buf_empty() {
            self.pool.put_idle(&self.end, framed.into_parts().io, self.idle_limit);
        } else {
            self.state = BodyState::Whole(framed);
        }
    }

    fn poll_until_close(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyCut>>> {
        let BodyState::UntilClose(stream, early) = &mut self.state else {
            return Poll::Ready(None);
        };
        if !early.is_empty() {
            return Poll::Ready(Some(Ok(early.split().freeze())));
        }
        let mut space = [0u8; READ_SIZE];
        let mut buffer = ReadBuf::new(&mut space);
        match Pin::new(stream).poll_read(context, &mut buffer) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(())) if buffer.filled().is_empty() => {
                self.state = BodyState::Ended;
                Poll::Ready(None)
            }
            Poll::Ready(Ok(())) => Poll::Ready(Some(Ok(Bytes::copy_from_slice(buffer.filled())))),
            Poll::Ready(Err(error)) => {
                self.state = BodyState::Ended;
                Poll::Ready(Some(Err(BodyCut(error.to_string()))))
            }
        }
    }
}

/// Why an answer could not be read whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CollectError {
    /// It was cut.
    #[error(transparent)]
    Cut(#[from] BodyCut),
    /// It has more bytes than were wanted.
    #[error("targets: the answer has more than {0} bytes")]
    TooLong(usize),
}

/// Reads the parts of an answer to its end, `limit` bytes at most.
///
/// # Errors
/// Where it is cut or too long.
pub async fn collect(
    mut parts: impl Stream<Item = std::result::Result<Bytes, BodyCut>> + Unpin,
    limit: usize,
) -> std::result::Result<Bytes, CollectError> {
    let mut bytes = BytesMut::new();
    while let Some(part) = parts.next().await {
        bytes.extend_from_slice(&part?);
        if bytes.len() > limit {
            return Err(CollectError::TooLong(limit));
        }
    }
    Ok(bytes.freeze())
}

impl Stream for AnswerBody {
    type Item = Result<Bytes, BodyCut>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = self.poll_part(context);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(_))) => self.stall.note_sign(),
            Poll::Ready(Some(Err(_)) | None) => self.stall.end(),
        }
        polled
    }
}

impl AnswerBody {
    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyCut>>> {
        let polled = match &mut self.state {
            BodyState::Ended | BodyState::Whole(_) => return Poll::Ready(None),
            BodyState::Empty(_) => {
                self.release();
                return Poll::Ready(None);
            }
            BodyState::UntilClose(..) => return self.poll_until_close(context),
            BodyState::Open(framed) => Pin::new(framed).next_item(context),
        };
        let cut = match polled {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(Ok(Some(bytes)))) => return Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(Some(Ok(None))) => {
                self.release();
                return Poll::Ready(None);
            }
            Poll::Ready(Some(Err(error))) => BodyCut(error.to_string()),
            Poll::Ready(None) => BodyCut("the connection closed".to_string()),
        };
        self.state = BodyState::Ended;
        Poll::Ready(Some(Err(cut)))
    }
}
