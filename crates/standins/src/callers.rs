//! Callers: single requests with checked answers, and an open-loop load.

use std::time::{Duration, Instant};

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use curlewcleat_targets::ConnectionPool;
use futures_util::StreamExt;
use serde_json::{json, Value};

use crate::ledger::{expected_record, expected_stream};

/// How a caller's request ended, in the caller's eyes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerEnd {
    /// A whole answer, byte for byte the expected one.
    Whole,
    /// A whole answer that is not the expected one.
    Wrong(String),
    /// A problem document.
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason code.
        reason: String,
        /// The document's verdict.
        may_have_run: bool,
        /// Whether it says when to come back.
        retry_after: bool,
    },
    /// The connection broke before or within the answer.
    Broken,
}

/// A request with what came of it.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// The request's nonce, as it stands in the targets' ledgers.
    pub nonce: String,
    /// Tier that it belongs to.
    pub tier: String,
    /// How it ended.
    pub end: CallerEnd,
    /// Time to the first byte of the body.
    pub first_byte: Option<Duration>,
    /// Time to the end.
    pub took: Duration,
}

/// A request to make.
#[derive(Clone, Debug)]
pub struct CallerCall {
    /// Path.
    pub path: String,
    /// Bearer token.
    pub token: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Nonce.
    pub nonce: String,
    /// Tier, for the record only.
    pub tier: String,
    /// Prompt of an engine request; `None` for a service request.
    pub prompt: Option<String>,
    /// Tokens asked of an engine.
    pub tokens: u64,
    /// Time after which the caller gives up.
    pub limit: Duration,
}

impl CallerCall {
    /// A service request.
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

    /// An engine request.
    pub fn engine(path: &str, token: &str, nonce: &str, prompt: &str, tokens: u64) -> CallerCall {
        CallerCall {
            prompt: Some(prompt.to_string()),
            tokens,
            ..CallerCall::service(path, token, nonce)
        }
    }

    /// The same with a header.
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
        let own = [
            ("authorization".to_string(), format!("Bearer {}", self.token)),
            ("content-type".to_string(), "application/json".to_string()),
        ];
        for (name, value) in own.iter().chain(&self.headers) {
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

    /// Makes the request of an entry and checks the answer.
    pub async fn send(&self, client: &ConnectionPool, entry: &str) -> CallerRecord {
        let begun = Instant::now();
        let mut first_byte = None;
        let exchange = self.exchange(client, entry, begun, &mut first_byte);
        let end = tokio::time::timeout(self.limit, exchange).await.unwrap_or(CallerEnd::Broken);
        CallerRecord {
            nonce: self.nonce.clone(),
            tier: self.tier.clone(),
            end,
            first_byte,
            took: begun.elapsed(),
        }
    }

    async fn exchange(
        &self,
        client: &ConnectionPool,
        entry: &str,
        begun: Instant,
        first_byte: &mut Option<Duration>,
    ) -> CallerEnd {
        let Ok(connection) = client.connect(entry, self.limit).await else {
            return CallerEnd::Broken;
        };
        let Ok(mut answer) = connection.exchange(self.head(), self.body().to_string()).await else {
            return CallerEnd::Broken;
        };
        let mut body = Vec::new();
        while let Some(part) = answer.body.next().await {
            let Ok(part) = part else { return CallerEnd::Broken };
            first_byte.get_or_insert_with(|| begun.elapsed());
            body.extend_from_slice(&part);
        }
        let status = answer.head.status;
        if status.is_success() {
            let text = String::from_utf8_lossy(&body).to_string();
            return if text == self.expected() { CallerEnd::Whole } else { CallerEnd::Wrong(text) };
        }
        let document: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        CallerEnd::Refused {
            status: status.as_u16(),
            reason: document["reason"].as_str().unwrap_or("none").to_string(),
            may_have_run: document["may_have_run"].as_bool().unwrap_or(true),
            retry_after: answer.head.headers.contains_key("retry-after"),
        }
    }
}

/// Connections of a caller. They tell a cut answer from a whole one.
pub fn caller_client() -> ConnectionPool {
    ConnectionPool::default()
}
