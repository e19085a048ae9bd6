//! HTTP client of the platform's store; all calls to the platform go through it.
//!
//! Owns: the connections to one store. Relies on: `curlewcleat-targets`, which distinguishes complete answers from
//! truncated ones.

use std::future::Future;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, StatusCode};
use bytes::Bytes;
use curlewcleat_targets::{ConnectionOptions, ConnectionPool, TargetAnswer};
use futures_util::StreamExt;
use serde::Deserialize;

use crate::answer_budget::{AnswerBudget, AnswerHold};
use crate::store::{Error, Result};

/// Time limit of a complete call, as a multiple of the limit on a pause within its answer. A megabyte takes most of a
/// second over 10 Mbit/s, and several seconds when callers' requests share the link.
const TOTAL_LIMIT_FACTOR: u32 = 8;
/// Time for the answer of a watch in addition to the time for which the store waits.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// A call to a store.
pub struct StoreRequest {
    method: Method,
    path: String,
    header: Option<(HeaderName, String)>,
    body: Option<Vec<u8>>,
}

impl StoreRequest {
    /// Creates a read.
    pub fn get(path: String) -> StoreRequest {
        StoreRequest { method: Method::GET, path, header: None, body: None }
    }

    /// Creates a write.
    pub fn write(method: Method, path: String, body: Vec<u8>) -> StoreRequest {
        StoreRequest { method, path, header: None, body: Some(body) }
    }

    /// Sets the header of the call, in place of an earlier one.
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

/// The complete answer of a store.
pub struct StoreReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

impl StoreReply {
    /// Returns the answer if its status is a success.
    ///
    /// # Errors
    /// Returns the error for any other status.
    pub fn success(self) -> Result<StoreReply> {
        match self.status {
            status if status.is_success() => Ok(self),
            status => Err(refusal(status)),
        }
    }

    /// Decodes the body from JSON.
    ///
    /// # Errors
    /// Returns [`Error::Protocol`] if the body is not a valid `T`.
    pub fn json<'r, T: Deserialize<'r>>(&'r self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(unreadable)
    }
}

/// Time limits after which a call is abandoned.
#[derive(Clone, Copy)]
struct CallLimits {
    /// Time until the answer begins, and between two parts of it.
    pause: Duration,
    /// Time for the complete call.
    total: Duration,
}

/// Client of one store.
pub struct StoreClient {
    address: String,
    limit: Duration,
    connections: ConnectionPool,
    budget: AnswerBudget,
}

impl StoreClient {
    /// Creates a client for the store at `ip:port`. A call fails when no part of its answer arrives for `limit`.
    pub fn new(address: &str, limit: Duration) -> StoreClient {
        let options =
            ConnectionOptions { min_idle: Duration::ZERO, ..ConnectionOptions::default() };
        let connections = ConnectionPool::new(options);
        StoreClient {
            address: address.to_string(),
            limit,
            connections,
            budget: AnswerBudget::default(),
        }
    }

    /// Makes one call. Its connection is reused only after a complete answer.
    ///
    /// # Errors
    /// Returns [`Error::OutcomeUnknown`] if no complete answer arrives in time; the call may have taken effect.
    pub async fn call(&self, request: StoreRequest) -> Result<StoreReply> {
        let limits = CallLimits { pause: self.limit, total: self.limit * TOTAL_LIMIT_FACTOR };
        self.call_within(request, limits).await
    }

    /// Makes a call in which the store waits up to `wait` for a change, before the answer begins or after.
    ///
    /// # Errors
    /// Same as [`call`](StoreClient::call).
    pub async fn watch(&self, request: StoreRequest, wait: Duration) -> Result<StoreReply> {
        let limit = wait + WATCH_SLACK;
        self.call_within(request, CallLimits { pause: limit, total: limit }).await
    }

    async fn call_within(&self, request: StoreRequest, limits: CallLimits) -> Result<StoreReply> {
        let exchange = async {
            let answer = within(limits.pause, self.begin(request, limits.pause)).await?;
            read(answer, limits.pause, self.budget.begin()).await
        };
        within(limits.total, exchange).await
    }

    async fn begin(&self, request: StoreRequest, limit: Duration) -> Result<TargetAnswer> {
        let connection =
            self.connections.connect(&self.address, limit).await.map_err(outcome_unknown)?;
        let head = request.head()?;
        // Reads are sent with an empty body.
        let body = request.body.map(Bytes::from).unwrap_or_default();
        connection.exchange(head, body).await.map_err(outcome_unknown)
    }
}

/// Reads a complete answer. It is abandoned only when nothing arrives for `pause`, because an answer abandoned while it
/// arrives would have to be sent again from its beginning.
async fn read(answer: TargetAnswer, pause: Duration, mut held: AnswerHold) -> Result<StoreReply> {
    let TargetAnswer { head, mut body } = answer;
    let mut bytes = Vec::new();
    while let Some(part) = within(pause, async { Ok(body.next().await) }).await? {
        let part = part.map_err(outcome_unknown)?;
        held.grow(bytes.len() + part.len())?;
        bytes.extend_from_slice(&part);
    }
    Ok(StoreReply { status: head.status, headers: head.headers, body: bytes })
}

/// Runs a step of a call and abandons it after a limit.
async fn within<T>(limit: Duration, step: impl Future<Output = Result<T>>) -> Result<T> {
    match tokio::time::timeout(limit, step).await {
        Ok(result) => result,
        Err(_) => Err(Error::OutcomeUnknown(format!("no answer within {limit:?}"))),
    }
}

/// Returns the error for a status that is no success.
pub(crate) fn refusal(status: StatusCode) -> Error {
    match status {
        StatusCode::TOO_MANY_REQUESTS => Error::RateLimited,
        // The store may have made the write before it failed.
        status if status.is_server_error() => Error::OutcomeUnknown(format!("status {status}")),
        status => Error::Refused(status.as_u16()),
    }
}

fn outcome_unknown(error: impl std::fmt::Display) -> Error {
    Error::OutcomeUnknown(error.to_string())
}

fn unreadable(error: impl std::fmt::Display) -> Error {
    Error::Protocol(error.to_string())
}
