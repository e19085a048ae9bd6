//! The answer of a target, part by part, with its true end.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_codec::Framed;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::ResponseHead;
use bytes::Bytes;
use futures_util::Stream;
use tokio::net::TcpStream;

use crate::pool::ConnectionPool;

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

enum BodyState {
    /// No body.
    Empty(Framed<TcpStream, ClientCodec>),
    /// Parts are awaited.
    Open(Framed<TcpStream, ClientPayloadCodec>),
    /// Ended, whole or cut.
    Ended,
}

/// Parts of an answer. Ends with `None` only after the last byte that the length announced or the
/// last chunk; then the connection goes back to its pool.
pub struct AnswerBody {
    state: BodyState,
    address: String,
    pool: ConnectionPool,
}

impl AnswerBody {
    pub(crate) fn new(
        framed: Framed<TcpStream, ClientCodec>,
        address: String,
        pool: ConnectionPool,
    ) -> AnswerBody {
        let state = match framed.codec_ref().message_type() {
            MessageType::None => BodyState::Empty(framed),
            _ => BodyState::Open(framed.into_map_codec(ClientCodec::into_payload_codec)),
        };
        AnswerBody { state, address, pool }
    }

    /// Gives the connection back if it may be used again and nothing was left to read on it.
    fn release(&mut self) {
        let (stream, reusable) = match std::mem::replace(&mut self.state, BodyState::Ended) {
            BodyState::Empty(framed) => {
                let reusable = framed.codec_ref().keep_alive() && framed.is_read_buf_empty();
                (framed.into_parts().io, reusable)
            }
            BodyState::Open(framed) => {
                let reusable = framed.codec_ref().keep_alive() && framed.is_read_buf_empty();
                (framed.into_parts().io, reusable)
            }
            BodyState::Ended => return,
        };
        if reusable {
            self.pool.put_idle(&self.address, stream);
        }
    }
}

impl Stream for AnswerBody {
    type Item = Result<Bytes, BodyCut>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = match &mut self.state {
            BodyState::Ended => return Poll::Ready(None),
            BodyState::Empty(_) => {
                self.release();
                return Poll::Ready(None);
            }
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
