//! Sends the requests of callers over persistent connections and reads the answers.

use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use curlewcleat_platform::example::HOST;
use curlewcleat_platform::names::{SEAL_HEADER, WIRE_PROFILE};
use curlewcleat_targets::{BodyFrame, ConnectionPool, ExchangeOptions};
use futures_util::StreamExt;

use crate::callers::{CallKind, CallOutcome};
use crate::streams::TakenUp;

/// Timeout that a caller states in each request, unless it has less time left.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Sends a request with a key and an attempt id to the daemon at an address, and reads the answer.
pub async fn send_request(
    connections: &ConnectionPool,
    daemon: &str,
    kind: CallKind,
    (key, attempt): (&str, &str),
    body: Bytes,
) -> CallOutcome {
    let head = CallHead { kind, key, attempt, time_left: REQUEST_TIMEOUT, taken_up: None };
    exchange_until(connections, daemon, head, body, None).await
}

/// Sends a request and reads the answer, or closes the connection once this many of its events have arrived.
pub async fn exchange_until(
    connections: &ConnectionPool,
    daemon: &str,
    head: CallHead<'_>,
    body: Bytes,
    leaves_after: Option<u64>,
) -> CallOutcome {
    let Ok(connection) = connections.connect(daemon, Duration::from_secs(1)).await else {
        return CallOutcome::Unsent;
    };
    let options = ExchangeOptions { allow_close_delimited: true, ..ExchangeOptions::default() };
    let answer = match connection.exchange_with(head.to_request(), body, &options).await {
        Ok(answer) => answer,
        Err(error) => return CallOutcome::NoAnswer(error.to_string()),
    };
    let header = |name: &str| {
        let value = answer.head.headers.get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_string)
    };
    let (sealed_by, echoed_attempt) = (header(SEAL_HEADER), header(WIRE_PROFILE.attempt_id));
    let status = answer.head.status.as_u16();
    let mut body = answer.body;
    let mut bytes = Vec::new();
    // The end of the connection does not state that the answer is complete.
    let mut complete = body.frame() != BodyFrame::UntilClose;
    while let Some(part) = body.next().await {
        match part {
            Ok(part) => bytes.extend_from_slice(&part),
            Err(_) => complete = false,
        }
        if leaves_after.is_some_and(|events| count_events(&bytes) >= events) {
            complete = false;
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes).to_string();
    CallOutcome::Answer { status, text, complete, sealed_by, echoed_attempt }
}

fn count_events(bytes: &[u8]) -> u64 {
    bytes.windows(2).filter(|pair| pair == b"\n\n").count() as u64
}

/// Returns the body of a request.
pub fn request_body(attempt: &str) -> Bytes {
    Bytes::from(format!("body of {attempt}"))
}

/// What the head of a request states.
pub struct CallHead<'a> {
    /// Kind of the request.
    pub kind: CallKind,
    /// API key, empty for none.
    pub key: &'a str,
    /// Id of the attempt.
    pub attempt: &'a str,
    /// Time that the caller has left.
    pub time_left: Duration,
    /// The stream that the request takes up.
    pub taken_up: Option<&'a TakenUp>,
}

impl CallHead<'_> {
    fn to_request(&self) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = Method::POST;
        if let Ok(uri) = self.kind.path().parse() {
            head.uri = uri;
        }
        let time_left = self.time_left.as_millis().to_string();
        let bearer = format!("Bearer {}", self.key);
        let mut headers = vec![
            ("host", HOST),
            (WIRE_PROFILE.attempt_id, self.attempt),
            (WIRE_PROFILE.time_left, time_left.as_str()),
        ];
        if !self.key.is_empty() {
            headers.push(("authorization", &bearer));
        }
        let after = self.taken_up.map(|taken_up| taken_up.after.to_string()).unwrap_or_default();
        if let Some(taken_up) = self.taken_up {
            headers.push((WIRE_PROFILE.last_event, &after));
            headers.push((WIRE_PROFILE.resumes, &taken_up.begun_as));
        }
        for (name, value) in headers {
            if let Ok(value) = HeaderValue::from_str(value) {
                head.headers.insert(HeaderName::from_static(name), value);
            }
        }
        head
    }
}
