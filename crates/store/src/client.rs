//! One exchange with a store over HTTP: the only way in which the product calls its platform.
//!
//! Owns: the connections to one store. Relies on: `curlewcleat-targets`, which tells a whole answer
//! from a cut one.

use std::future::Future;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, StatusCode};
use bytes::Bytes;
use curlewcleat_targets::{ConnectionOptions, ConnectionPool, TargetAnswer};
use futures_util::StreamExt;
use serde::Deserialize;

use crate::store::{Error, Result};

/// Longest answer in bytes: a page of objects, of which each has a megabyte at most.
const ANSWER_LIMIT: usize = 16 << 20;
/// Times the limit of a call that its answer may take in all, as long as its parts keep coming: a megabyte takes most
/// of a second over 10 Mbit/s, and several beside callers' requests.
const WHOLE_LIMITS: u32 = 8;
/// Time for the answer of a watch beyond the time for which it waits.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// A call of a store.
pub struct StoreRequest {
    method: Method,
    path: String,
    header: Option<(HeaderName, String)>,
    body: Option<Vec<u8>>,
}

impl StoreRequest {
    /// A read.
    pub fn get(path: String) -> StoreRequest {
        StoreRequest { method: Method::GET, path, header: None, body: None }
    }

    /// A write.
    pub fn write(method: Method, path: String, body: Vec<u8>) -> StoreRequest {
        StoreRequest { method, path, header: None, body: Some(body) }
    }

    /// The same with a header.
    pub fn header(self, name: HeaderName, value: String) -> StoreRequest {
        StoreRequest { header: Some((name, value)), ..self }
    }

    fn head(&self) -> Result<RequestHead> {
        let mut head = RequestHead::default();
        head.method = self.method.clone();
        head.uri = self.path.parse().map_err(unreadable)?;
        if let Some((name, value)) = &self.header {
            head.headers.insert(name.clone(), HeaderValue::from_str(value).map_err(unreadable)?);
        }
        Ok(head)
    }
}

/// The whole answer of a store.
pub struct StoreReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

impl StoreReply {
    /// The answer where the store has carried the call out.
    ///
    /// # Errors
    /// What its status says otherwise.
    pub fn success(self) -> Result<StoreReply> {
        match self.status {
            status if status.is_success() => Ok(self),
            status => Err(refusal(status)),
        }
    }

    /// The body in a type.
    ///
    /// # Errors
    /// [`Error::Protocol`] where it cannot be read as one.
    pub fn json<'r, T: Deserialize<'r>>(&'r self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(unreadable)
    }
}

/// When a call is given up.
#[derive(Clone, Copy)]
struct CallLimits {
    /// Time until its answer begins, and between two parts of it.
    pause: Duration,
    /// Time for all of it.
    whole: Duration,
}

/// Calls one store.
pub struct StoreClient {
    address: String,
    limit: Duration,
    connections: ConnectionPool,
}

impl StoreClient {
    /// A client of the store at `ip:port`. A call is given up where `limit` passes without a part of its
    /// answer.
    pub fn new(address: &str, limit: Duration) -> StoreClient {
        let options = ConnectionOptions { rest: Duration::ZERO, ..ConnectionOptions::default() };
        let connections = ConnectionPool::new(options);
        StoreClient { address: address.to_string(), limit, connections }
    }

    /// Makes one call. Its connection is used again only after a whole answer.
    ///
    /// # Errors
    /// [`Error::Unclear`] where no whole answer comes in time; the call may have taken effect.
    pub async fn call(&self, request: StoreRequest) -> Result<StoreReply> {
        let limits = CallLimits { pause: self.limit, whole: self.limit * WHOLE_LIMITS };
        self.call_within(request, limits).await
    }

    /// Makes a call for which the store waits up to `wait` for a change, before its answer or within it.
    ///
    /// # Errors
    /// As [`call`](StoreClient::call).
    pub async fn watch(&self, request: StoreRequest, wait: Duration) -> Result<StoreReply> {
        let limit = wait + WATCH_SLACK;
        self.call_within(request, CallLimits { pause: limit, whole: limit }).await
    }

    async fn call_within(&self, request: StoreRequest, limits: CallLimits) -> Result<StoreReply> {
        let exchange = async {
            let answer = within(limits.pause, self.begin(request, limits.pause)).await?;
            read(answer, limits.pause).await
        };
        within(limits.whole, exchange).await
    }

    async fn begin(&self, request: StoreRequest, limit: Duration) -> Result<TargetAnswer> {
        let connection = self.connections.connect(&self.address, limit).await.map_err(unclear)?;
        let head = request.head()?;
        // Reads have no body.
        let body = request.body.map(Bytes::from).unwrap_or_default();
        connection.exchange(head, body).await.map_err(unclear)
    }
}

/// Reads an answer whole. It is given up when nothing comes for `pause`: one that was given up while it
/// comes would have to be carried again from its beginning.
async fn read(answer: TargetAnswer, pause: Duration) -> Result<StoreReply> {
    let TargetAnswer { head, mut body } = answer;
    let mut bytes = Vec::new();
    while let Some(part) = within(pause, async { Ok(body.next().await) }).await? {
        bytes.extend_from_slice(&part.map_err(unclear)?);
        if bytes.len() > ANSWER_LIMIT {
            return Err(Error::Protocol("the answer is too long".to_string()));
        }
    }
    Ok(StoreReply { status: head.status, headers: head.headers, body: bytes })
}

/// Gives a step of a call up after a limit.
async fn within<T>(limit: Duration, step: impl Future<Output = Result<T>>) -> Result<T> {
    match tokio::time::timeout(limit, step).await {
        Ok(result) => result,
        Err(_) => Err(Error::Unclear(format!("no answer within {limit:?}"))),
    }
}

/// What a status says that is no success.
pub(crate) fn refusal(status: StatusCode) -> Error {
    match status {
        StatusCode::TOO_MANY_REQUESTS => Error::RateLimited,
        // A failing store may have carried a write out before it failed.
        status if status.is_server_error() => Error::Unclear(format!("status {status}")),
        status => Error::Refused(status.as_u16()),
    }
}

fn unclear(error: impl std::fmt::Display) -> Error {
    Error::Unclear(error.to_string())
}

fn unreadable(error: impl std::fmt::Display) -> Error {
    Error::Protocol(error.to_string())
}
