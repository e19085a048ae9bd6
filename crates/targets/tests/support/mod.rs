//! A target whose bytes are scripted, without a network.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Uri};
use curlewcleat_clock::Moment;
use curlewcleat_core::{RequestId, TargetEntry};
use curlewcleat_targets::{
    BodyFrame, ConnectFuture, ConnectionPool, ExchangeOptions, TargetLinks, TargetStream,
};
use futures_util::StreamExt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Header that an answer repeats, and the value of the request.
pub const ECHO: HeaderName = HeaderName::from_static("x-attempt-id");
pub const ATTEMPT: &str = "own";
const LIMIT: Duration = Duration::from_secs(5);

/// How a target stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetEnd {
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
}

/// A connection on which each read returns one of the parts, and which accepts all writes.
struct ScriptedStream {
    parts: VecDeque<Vec<u8>>,
    end: TargetEnd,
    /// Whether the next read waits, so that each part is read by itself.
    pauses: bool,
}

impl AsyncRead for ScriptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.pauses = !self.pauses;
        if self.pauses {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        match self.parts.pop_front() {
            Some(mut part) => {
                let rest = part.split_off(part.len().min(buffer.remaining()));
                buffer.put_slice(&part);
                if !rest.is_empty() {
                    self.parts.push_front(rest);
                }
                Poll::Ready(Ok(()))
            }
            None if self.end == TargetEnd::Close => Poll::Ready(Ok(())),
            None => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }
}

impl AsyncWrite for ScriptedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Links over which every connection reads the same bytes.
struct ScriptedLinks {
    parts: VecDeque<Vec<u8>>,
    end: TargetEnd,
}

impl TargetLinks for ScriptedLinks {
    fn connect<'a>(
        &'a self,
        _: &'a TargetEntry,
        _: Duration,
        _: Option<RequestId>,
    ) -> ConnectFuture<'a> {
        let stream = ScriptedStream { parts: self.parts.clone(), end: self.end, pauses: false };
        Box::pin(async move { Ok(TargetStream::Relayed(Box::new(stream))) })
    }

    fn trusts_idle(&self, _: &str, _: Moment) -> bool {
        true
    }

    fn exchange_begun(&self, _: &str) {}

    fn bytes_arrived(&self, _: &str) {}

    fn exchange_ended(&self, _: &str) {}
}

/// What an exchange returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The exchange failed before the body.
    Failed(String),
    /// The body ended with an error.
    Cut { frame: BodyFrame, body: Vec<u8> },
    /// The body ended without an error.
    Ended { status: u16, frame: BodyFrame, body: Vec<u8>, length: Option<String> },
}

impl Outcome {
    /// Returns the body of an answer that states that it is complete.
    pub fn claimed_body(&self) -> Option<&[u8]> {
        match self {
            Outcome::Ended { frame, body, .. } if *frame != BodyFrame::UntilClose => Some(body),
            _ => None,
        }
    }
}

/// Sends a request to a target that sends these parts and stops.
pub async fn exchange(
    method: Method,
    parts: Vec<Vec<u8>>,
    end: TargetEnd,
    allow_close_delimited: bool,
) -> Outcome {
    let links = ScriptedLinks { parts: parts.into(), end };
    let pool = ConnectionPool::default().with_links(Rc::new(links));
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = Uri::from_static("/x");
    head.headers.insert(ECHO, HeaderValue::from_static(ATTEMPT));
    let echo = Some((ECHO, ATTEMPT.to_string()));
    let options = ExchangeOptions { echo, allow_close_delimited };
    let connection = pool.connect_to(&TargetEntry::default(), LIMIT, None).await;
    let connection = connection.expect("scripted connections are established");
    let mut answer = match connection.exchange_with(head, "body", &options).await {
        Ok(answer) => answer,
        Err(error) => return Outcome::Failed(error.to_string()),
    };
    let (frame, mut body) = (answer.body.frame(), Vec::new());
    while let Some(part) = answer.body.next().await {
        match part {
            Ok(part) => body.extend_from_slice(&part),
            Err(_) => return Outcome::Cut { frame, body },
        }
    }
    let length = answer.head.headers.get("content-length");
    let length = length.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
    Outcome::Ended { status: answer.head.status.as_u16(), frame, body, length }
}

/// Splits bytes into parts of these lengths in turn; the last one is repeated.
pub fn split(bytes: &[u8], lengths: &[usize]) -> Vec<Vec<u8>> {
    let mut rest = bytes;
    let mut parts = Vec::new();
    let mut lengths = lengths.iter().copied().cycle();
    while !rest.is_empty() {
        let length = lengths.next().unwrap_or(1).clamp(1, rest.len());
        parts.push(rest[..length].to_vec());
        rest = &rest[length..];
    }
    parts
}
