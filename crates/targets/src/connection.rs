//! One request on one connection.

use std::future::poll_fn;
use std::pin::Pin;

use actix_codec::Framed;
use actix_http::body::{BodySize, MessageBody};
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::{self, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode};
use tokio::net::TcpStream;

use crate::answer::{AnswerBody, TargetAnswer};
use crate::pool::PooledConnection;

/// How an exchange fails before its answer begins.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection; nothing was written.
    #[error("targets: connect: {0}")]
    Connect(String),
    /// The connection ended after something was written.
    #[error("targets: closed under a request: {0}")]
    Closed(String),
    /// The answer cannot be read, or does not say where it ends.
    #[error("targets: unreadable answer: {0}")]
    Protocol(String),
    /// The body of the request failed while it was sent.
    #[error("targets: request body: {0}")]
    Upload(String),
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Error>;

type Connection = Framed<TcpStream, ClientCodec>;

impl PooledConnection {
    /// Writes a request and reads the head of its answer. Consumes the connection, so that nothing
    /// can be sent on it again before the answer's end.
    ///
    /// # Errors
    /// Any but [`Error::Connect`]: from here on bytes may have been written.
    pub async fn exchange<B>(self, mut head: RequestHead, body: B) -> Result<TargetAnswer>
    where
        B: MessageBody,
        B::Error: std::fmt::Display,
    {
        let host = HeaderValue::from_str(&self.address)
            .map_err(|error| Error::Protocol(error.to_string()))?;
        head.headers.insert(header::HOST, host);
        let method = head.method.clone();
        let mut framed = Framed::new(self.stream, ClientCodec::default());
        send(&mut framed, head, body).await?;
        let answer_head = loop {
            let answer_head = receive_head(&mut framed).await?;
            if !answer_head.status.is_informational() {
                break answer_head;
            }
        };
        check_length(&method, &answer_head, framed.codec_ref().message_type())?;
        let body = AnswerBody::new(framed, self.address, self.pool);
        Ok(TargetAnswer { head: answer_head, body })
    }
}

async fn send<B>(framed: &mut Connection, head: RequestHead, body: B) -> Result<()>
where
    B: MessageBody,
    B::Error: std::fmt::Display,
{
    let size = body.size();
    let closed = |error: std::io::Error| Error::Closed(error.to_string());
    let message = Message::Item((RequestHeadType::Owned(head), size));
    Pin::new(&mut *framed).write(message).map_err(closed)?;
    if !matches!(size, BodySize::None | BodySize::Sized(0)) {
        let mut body = std::pin::pin!(body);
        while let Some(part) = poll_fn(|context| body.as_mut().poll_next(context)).await {
            let part = part.map_err(|error| Error::Upload(error.to_string()))?;
            Pin::new(&mut *framed).write(Message::Chunk(Some(part))).map_err(closed)?;
            flush(framed).await?;
        }
        Pin::new(&mut *framed).write(Message::Chunk(None)).map_err(closed)?;
    }
    flush(framed).await
}

async fn flush(framed: &mut Connection) -> Result<()> {
    let flushed = poll_fn(|context| {
        Pin::new(&mut *framed).flush::<Message<(RequestHeadType, BodySize)>>(context)
    });
    flushed.await.map_err(|error| Error::Closed(error.to_string()))
}

async fn receive_head(framed: &mut Connection) -> Result<ResponseHead> {
    match poll_fn(|context| Pin::new(&mut *framed).next_item(context)).await {
        Some(Ok(head)) => Ok(head),
        Some(Err(actix_http::error::ParseError::Io(error))) => {
            Err(Error::Closed(error.to_string()))
        }
        Some(Err(error)) => Err(Error::Protocol(error.to_string())),
        None => Err(Error::Closed("before the answer".to_string())),
    }
}

/// An answer that ends with its connection cannot be told from a cut one, so it is not taken.
fn check_length(method: &Method, head: &ResponseHead, kind: MessageType) -> Result<()> {
    let bodiless = *method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    let framed = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    match kind {
        MessageType::Stream => Err(Error::Protocol("an answer without its own end".to_string())),
        _ if bodiless || framed => Ok(()),
        _ => Err(Error::Protocol("an answer without its length".to_string())),
    }
}
