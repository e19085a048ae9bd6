//! Sends one request on a connection and reads the head of its answer.
//!
//! Owns: one exchange until the head of its answer. Relies on: actix-http's client codec.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_codec::Framed;
use actix_http::body::{BodySize, MessageBody};
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{RequestHead, RequestHeadType, ResponseHead};
use futures_util::StreamExt;

use crate::answer::{AnswerBody, BodyFrame, TargetAnswer};
use crate::error::{AnswerExcess, Error, ExcessForm, ExcessLimit, Result};
use crate::frame::{body_frame, remove_contradicted_length};
use crate::head_codec::HeadCodec;
use crate::pool::{ConnectionEndpoint, ConnectionPool, PooledConnection};
use crate::stall::StallGuard;
use crate::stream::TargetStream;

/// Maximum number of heads that one exchange reads: informational ones, answers to earlier requests, and its own.
const HEAD_LIMIT: usize = 4;
/// Longest body in bytes of an answer to an earlier request that is skipped: no record is longer.
const SKIPPED_BODY_LIMIT: usize = 1 << 20;

/// How to match the answers of a target to requests, and how the answers may end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExchangeOptions {
    /// Header and value that the answer must repeat. Answers with another value belong to earlier requests on this
    /// connection and are skipped.
    pub echo: Option<(HeaderName, String)>,
    /// Whether the end of the connection may be the end of an answer.
    pub allow_close_delimited: bool,
}

type Connection = Framed<TargetStream, HeadCodec>;

impl PooledConnection {
    /// Writes a request and reads the head of its answer. Consumes the connection, so that nothing else can be sent on
    /// it before the end of the answer.
    ///
    /// # Errors
    /// Returns any error but [`Error::Connect`]: bytes may have been written.
    pub async fn exchange<B>(self, head: RequestHead, body: B) -> Result<TargetAnswer>
    where
        B: MessageBody,
        B::Error: std::fmt::Display,
    {
        self.exchange_with(head, body, &ExchangeOptions::default()).await
    }

    /// Same as [`exchange`](PooledConnection::exchange), with options.
    ///
    /// # Errors
    /// Returns any error but [`Error::Connect`]: bytes may have been written.
    pub async fn exchange_with<B>(
        self,
        mut head: RequestHead,
        body: B,
        options: &ExchangeOptions,
    ) -> Result<TargetAnswer>
    where
        B: MessageBody,
        B::Error: std::fmt::Display,
    {
        set_host(&mut head, &self.endpoint)?;
        let method = head.method.clone();
        let mut stall = StallGuard::begin(&self.pool, &self.endpoint, &self.stream);
        let codec = HeadCodec::new(ClientCodec::default(), self.pool.intake_hold(&self.endpoint));
        let mut framed = Framed::new(self.stream, codec);
        let mut upload = Upload::begin(&mut framed, head, body)?;
        for _ in 0..HEAD_LIMIT {
            let answer_head = upload.answer_head(&mut framed).await;
            let mut answer_head = answer_head.inspect_err(|_| stall.finish())?;
            stall.record_activity();
            let decoded = framed.codec_ref().codec().message_type();
            if answer_head.status.is_informational() {
                check_informational(decoded)?;
                continue;
            }
            let frame = body_frame(&method, &answer_head, decoded, options.allow_close_delimited)?;
            if !is_answer_to_request(&answer_head.headers, options)? {
                framed = skip_body(framed, frame, &self.endpoint, &self.pool).await?;
                continue;
            }
            remove_contradicted_length(&mut answer_head, frame);
            let reusable = upload.is_flushed();
            let mut body = answer_body(framed, frame, reusable, self.endpoint, self.pool);
            if upload.failed.is_some() {
                body.set_broken();
            }
            return Ok(TargetAnswer { head: answer_head, body });
        }
        Err(Error::Protocol(
            "too many informational answers or answers to earlier requests".to_string(),
        ))
    }
}

/// Returns the body of an answer whose head has been read. The head counts as undelivered as long as its answer.
fn answer_body(
    mut framed: Connection,
    frame: BodyFrame,
    reusable: bool,
    endpoint: ConnectionEndpoint,
    pool: ConnectionPool,
) -> AnswerBody {
    let head_hold = framed.codec_mut().replace_hold(pool.intake_hold(&endpoint));
    let framed = framed.into_map_codec(HeadCodec::into_codec);
    let mut body = AnswerBody::new(framed, frame, reusable, endpoint, pool);
    body.keep_head_hold(head_hold);
    body
}

/// Sends a request body while its answer may already arrive.
struct Upload<B> {
    body: Pin<Box<B>>,
    /// Whether the complete body is in the write buffer.
    written: bool,
    /// Whether the complete body has been written to the connection.
    flushed: bool,
    failed: Option<Error>,
}

impl<B> Upload<B>
where
    B: MessageBody,
    B::Error: std::fmt::Display,
{
    fn begin(framed: &mut Connection, head: RequestHead, body: B) -> Result<Upload<B>> {
        let size = body.size();
        let message = Message::Item((RequestHeadType::Owned(head), size));
        Pin::new(framed).write(message).map_err(closed)?;
        let written = matches!(size, BodySize::None | BodySize::Sized(0));
        Ok(Upload { body: Box::pin(body), written, flushed: false, failed: None })
    }

    fn is_flushed(&self) -> bool {
        self.flushed
    }

    /// Sends the body and reads at the same time until the head of an answer has arrived.
    async fn answer_head(&mut self, framed: &mut Connection) -> Result<ResponseHead> {
        poll_fn(|context| {
            if !self.flushed && self.failed.is_none() {
                if let Poll::Ready(Err(error)) = self.poll_send(framed, context) {
                    if matches!(error, Error::Upload(_)) {
                        return Poll::Ready(Err(error));
                    }
                    // The target may have answered before it closed the connection, so reading continues.
                    self.failed = Some(error);
                }
            }
            match Pin::new(&mut *framed).next_item(context) {
                Poll::Pending => match self.failed.take() {
                    Some(error) => Poll::Ready(Err(error)),
                    None => Poll::Pending,
                },
                Poll::Ready(Some(Ok(head))) => Poll::Ready(Ok(head)),
                Poll::Ready(Some(Err(actix_http::error::ParseError::Io(error)))) => {
                    Poll::Ready(Err(closed(error)))
                }
                Poll::Ready(Some(Err(error))) => {
                    let excess = framed.codec_ref().excess().map(Error::Excess);
                    Poll::Ready(Err(excess.unwrap_or(Error::Protocol(error.to_string()))))
                }
                Poll::Ready(None) => {
                    Poll::Ready(Err(Error::Closed("before the answer".to_string())))
                }
            }
        })
        .await
    }

    fn poll_send(
        &mut self,
        framed: &mut Connection,
        context: &mut Context<'_>,
    ) -> Poll<Result<()>> {
        type Sent = Message<(RequestHeadType, BodySize)>;
        loop {
            std::task::ready!(Pin::new(&mut *framed).flush::<Sent>(context)).map_err(closed)?;
            if self.written {
                self.flushed = true;
                return Poll::Ready(Ok(()));
            }
            match std::task::ready!(self.body.as_mut().poll_next(context)) {
                Some(Ok(part)) => {
                    Pin::new(&mut *framed).write(Message::Chunk(Some(part))).map_err(closed)?;
                }
                Some(Err(error)) => return Poll::Ready(Err(Error::Upload(error.to_string()))),
                None => {
                    Pin::new(&mut *framed).write(Message::Chunk(None)).map_err(closed)?;
                    self.written = true;
                }
            }
        }
    }
}

/// Names the endpoint as the host, unless the request names one.
fn set_host(head: &mut RequestHead, endpoint: &ConnectionEndpoint) -> Result<()> {
    if !head.headers.contains_key(header::HOST) {
        let host = HeaderValue::from_str(&endpoint.address);
        let host = host.map_err(|error| Error::Protocol(error.to_string()))?;
        head.headers.insert(header::HOST, host);
    }
    Ok(())
}

/// Checks that the next head follows an informational answer at once. The codec would read what follows a switch of
/// protocols, or a body, by rules that no longer change with the next head.
fn check_informational(decoded: MessageType) -> Result<()> {
    match decoded {
        MessageType::None => Ok(()),
        MessageType::Payload | MessageType::Stream => {
            Err(Error::Protocol("an informational answer has a body".to_string()))
        }
    }
}

fn closed(error: std::io::Error) -> Error {
    Error::Closed(error.to_string())
}

/// Returns whether an answer belongs to this request, and not to an earlier one.
fn is_answer_to_request(headers: &HeaderMap, options: &ExchangeOptions) -> Result<bool> {
    let Some((name, expected)) = &options.echo else { return Ok(true) };
    match headers.get(name) {
        Some(value) => Ok(value.as_bytes() == expected.as_bytes()),
        None => Err(Error::Protocol(
            "the answer does not repeat the header that identifies its request".to_string(),
        )),
    }
}

/// Reads the remaining body of an answer to an earlier request and returns the connection.
async fn skip_body(
    framed: Connection,
    frame: BodyFrame,
    endpoint: &ConnectionEndpoint,
    pool: &ConnectionPool,
) -> Result<Connection> {
    let framed = framed.into_map_codec(HeadCodec::into_codec);
    let mut body = AnswerBody::new(framed, frame, false, endpoint.clone(), pool.clone());
    let mut skipped = 0;
    while let Some(part) = body.next().await {
        skipped += part.map_err(|truncated| Error::Closed(truncated.to_string()))?.len();
        if skipped > SKIPPED_BODY_LIMIT {
            let (form, limit) = (ExcessForm::Body, ExcessLimit::Size);
            return Err(AnswerExcess { form, bytes: skipped as u64, limit }.into());
        }
    }
    let framed = body.into_connection();
    let framed =
        framed.ok_or_else(|| Error::Closed("after an answer to an earlier request".to_string()))?;
    Ok(framed.into_map_codec(|codec| HeadCodec::new(codec, pool.intake_hold(endpoint))))
}
