//! Callers that send a request and compare the answer with the expected one.

use std::time::{Duration, Instant};

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use curlewcleat_targets::ConnectionPool;
use futures_util::StreamExt;
use serde_json::{json, Value};

use crate::ledger::{expected_record, expected_stream};

/// Outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A complete answer that equals the expected one.
    Complete,
    /// A complete answer that differs from the expected one.
    Unexpected(String),
    /// A problem document.
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason code.
        reason: String,
        /// Whether the request may have run, according to the document.
        may_have_run: bool,
        /// Whether the answer has a `retry-after` header.
        retry_after: bool,
    },
    /// The connection was interrupted before or within the answer, or the caller's time limit passed.
    Interrupted,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Nonce of the request, as recorded in the targets' ledgers.
    pub nonce: String,
    /// Tier of the request.
    pub tier: String,
    /// Outcome.
    pub outcome: CallerOutcome,
    /// Time to the first byte of the body.
    pub first_byte: Option<Duration>,
    /// Time until the outcome was known.
    pub duration: Duration,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct CallerCall {
    /// Path of the request.
    pub path: String,
    /// Bearer token.
    pub token: String,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
    /// Nonce, which the ledgers of targets record.
    pub nonce: String,
    /// Tier, for the record only.
    pub tier: String,
    /// Prompt of an engine request; `None` for a service request.
    pub prompt: Option<String>,
    /// Number of tokens requested from an engine.
    pub tokens: u64,
    /// Time after which the caller stops waiting.
    pub limit: Duration,
}

impl CallerCall {
    /// Creates a service request.
    pub fn service(path: &str, token: &str, nonce: &str) -> CallerCall {
        CallerCall {
            path: path.to_string(),
            token: token.to_string(),
            headers: Vec::new(),
            nonce: nonce.to_string(),
            tier: String::new(),
            prompt: None,
            tokens: 0,
            limit: Duration::from_secs(60),
        }
    }

    /// Creates an engine request.
    pub fn engine(path: &str, token: &str, nonce: &str, prompt: &str, tokens: u64) -> CallerCall {
        CallerCall {
            prompt: Some(prompt.to_string()),
            tokens,
            ..CallerCall::service(path, token, nonce)
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> CallerCall {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    fn body(&self) -> Value {
        match &self.prompt {
            Some(prompt) => {
                json!({"prompt": prompt, "max_tokens": self.tokens, "nonce": self.nonce})
            }
            None => json!({"nonce": self.nonce}),
        }
    }

    fn head(&self) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = Method::POST;
        head.uri = self.path.parse().unwrap_or_default();
        let defaults = [
            ("authorization".to_string(), format!("Bearer {}", self.token)),
            ("content-type".to_string(), "application/json".to_string()),
        ];
        for (name, value) in defaults.iter().chain(&self.headers) {
            if let (Ok(name), Ok(value)) =
                (name.parse::<HeaderName>(), HeaderValue::from_str(value))
            {
                head.headers.insert(name, value);
            }
        }
        head
    }

    fn expected(&self) -> String {
        match self.prompt {
            Some(_) => expected_stream(&self.nonce, self.tokens),
            None => expected_record(&self.nonce),
        }
    }

    /// Sends the request to an entry daemon and compares the answer with the expected one.
    pub async fn send(&self, client: &ConnectionPool, entry_daemon: &str) -> CallerRecord {
        let begun = Instant::now();
        let mut first_byte = None;
        let exchange = self.exchange(client, entry_daemon, begun, &mut first_byte);
        let outcome =
            tokio::time::timeout(self.limit, exchange).await.unwrap_or(CallerOutcome::Interrupted);
        CallerRecord {
            nonce: self.nonce.clone(),
            tier: self.tier.clone(),
            outcome,
            first_byte,
            duration: begun.elapsed(),
        }
    }

    async fn exchange(
        &self,
        client: &ConnectionPool,
        entry_daemon: &str,
        begun: Instant,
        first_byte: &mut Option<Duration>,
    ) -> CallerOutcome {
        let Ok(connection) = client.connect(entry_daemon, self.limit).await else {
            return CallerOutcome::Interrupted;
        };
        let Ok(mut answer) = connection.exchange(self.head(), self.body().to_string()).await else {
            return CallerOutcome::Interrupted;
        };
        let mut body = Vec::new();
        while let Some(part) = answer.body.next().await {
            let Ok(part) = part else { return CallerOutcome::Interrupted };
            first_byte.get_or_insert_with(|| begun.elapsed());
            body.extend_from_slice(&part);
        }
        let status = answer.head.status;
        if status.is_success() {
            let text = String::from_utf8_lossy(&body).to_string();
            return if text == self.expected() {
                CallerOutcome::Complete
            } else {
                CallerOutcome::Unexpected(text)
            };
        }
        let document: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        CallerOutcome::Refused {
            status: status.as_u16(),
            reason: document["reason"].as_str().unwrap_or("none").to_string(),
            may_have_run: document["may_have_run"].as_bool().unwrap_or(true),
            retry_after: answer.head.headers.contains_key("retry-after"),
        }
    }
}

/// Returns the connections of a caller, which distinguish interrupted from complete answers.
pub fn caller_client() -> ConnectionPool {
    ConnectionPool::default()
}
