//! Callers that keep their connections until the process behind them is gone, and note what they got.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use curlewcleat_platform::example::{DEPOTS_KEY, DRIVERS_KEY, DRIVERS_SECOND_KEY, HOST};
use curlewcleat_platform::names::{SEAL_HEADER, WIRE_PROFILE};
use curlewcleat_targets::ConnectionPool;
use futures_util::StreamExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Time that a caller gives a request, in milliseconds.
const TIME_LEFT: u64 = 3_000;
/// Time beyond it after which a caller stops listening.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Longest pause between two requests of a caller, in milliseconds.
const PAUSE_MS: u64 = 40;

/// Kinds of requests, by what may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A record that may run once.
    Once,
    /// The same without a key.
    Open,
    /// A record that may be repeated.
    Again,
    /// A stream that may be taken up at another engine.
    Resumed,
    /// A stream that may not.
    Plain,
}

impl CallKind {
    const ALL: [CallKind; 5] =
        [CallKind::Once, CallKind::Open, CallKind::Again, CallKind::Resumed, CallKind::Plain];

    /// Path of its route.
    pub fn path(self) -> &'static str {
        match self {
            CallKind::Once => "/once/1",
            CallKind::Open => "/once/open/1",
            CallKind::Again => "/again/1",
            CallKind::Resumed => "/resumed/stream/1",
            CallKind::Plain => "/plain/stream/1",
        }
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, CallKind::Again | CallKind::Resumed)
    }

    /// Whether its answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Resumed | CallKind::Plain)
    }
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// No connection; nothing was sent.
    Unsent,
    /// The connection ended, or the caller stopped listening, without an answer.
    NoAnswer(String),
    /// An answer, whole or cut.
    Answer {
        /// HTTP status.
        status: u16,
        /// What came of the body.
        text: String,
        /// Whether its own end was seen.
        whole: bool,
        /// Engine that signed it.
        seal: Option<String>,
        /// Try that it names.
        echo: Option<String>,
    },
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Name of the try.
    pub attempt: String,
    /// Its kind.
    pub kind: CallKind,
    /// Key that it carried.
    pub key: &'static str,
    /// Number of the daemon.
    pub daemon: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When the caller had its outcome.
    pub ended: Instant,
    /// The outcome.
    pub outcome: CallOutcome,
}

/// Callers of one run.
pub struct SoakCallers {
    /// What they noted.
    pub records: Rc<RefCell<Vec<CallRecord>>>,
    ended: Rc<Cell<bool>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl SoakCallers {
    /// Starts callers at the daemons with these addresses.
    pub fn start(seed: u64, count: usize, daemons: &[String]) -> SoakCallers {
        let records = Rc::new(RefCell::new(Vec::new()));
        let ended = Rc::new(Cell::new(false));
        let tasks = (0..count).map(|number| {
            let caller = SoakCaller {
                number,
                random: StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32),
                daemons: daemons.to_vec(),
                connections: ConnectionPool::default(),
                records: Rc::clone(&records),
                ended: Rc::clone(&ended),
            };
            actix_rt::spawn(caller.run())
        });
        let tasks = tasks.collect();
        SoakCallers { records, ended, tasks }
    }

    /// Ends all callers once their present requests have ended; gives what they noted.
    pub async fn close(self) -> Vec<CallRecord> {
        self.ended.set(true);
        for task in self.tasks {
            // A caller that panicked shows in what is missing.
            let _ = task.await;
        }
        self.records.take()
    }
}

struct SoakCaller {
    number: usize,
    random: StdRng,
    daemons: Vec<String>,
    connections: ConnectionPool,
    records: Rc<RefCell<Vec<CallRecord>>>,
    ended: Rc<Cell<bool>>,
}

impl SoakCaller {
    async fn run(mut self) {
        let mut count = 0;
        while !self.ended.get() {
            count += 1;
            let attempt = format!("c{}-{count}", self.number);
            let record = self.call(attempt).await;
            self.records.borrow_mut().push(record);
            let pause = Duration::from_millis(self.random.random_range(0..PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    async fn call(&mut self, attempt: String) -> CallRecord {
        let daemon = self.random.random_range(0..self.daemons.len());
        let kind = CallKind::ALL.choose(&mut self.random).copied().unwrap_or(CallKind::Once);
        let keys = [DRIVERS_KEY, DRIVERS_SECOND_KEY, DEPOTS_KEY];
        let key = match kind {
            CallKind::Open => "",
            _ => keys.choose(&mut self.random).copied().unwrap_or(DRIVERS_KEY),
        };
        let sent = Instant::now();
        let limit = Duration::from_millis(TIME_LEFT) + PATIENCE;
        let exchange = self.exchange(daemon, kind, key, &attempt);
        let outcome = match tokio::time::timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => CallOutcome::NoAnswer("the caller stopped listening".to_string()),
        };
        CallRecord { attempt, kind, key, daemon, sent, ended: Instant::now(), outcome }
    }

    async fn exchange(
        &self,
        daemon: usize,
        kind: CallKind,
        key: &str,
        attempt: &str,
    ) -> CallOutcome {
        let daemon = &self.daemons[daemon];
        exchange_as(&self.connections, daemon, kind, (key, attempt), body_of(attempt)).await
    }
}

/// One exchange with the daemon at an address, by a key and a name of the try.
pub async fn exchange_as(
    connections: &ConnectionPool,
    daemon: &str,
    kind: CallKind,
    (key, attempt): (&str, &str),
    body: Bytes,
) -> CallOutcome {
    let Ok(connection) = connections.connect(daemon, Duration::from_secs(1)).await else {
        return CallOutcome::Unsent;
    };
    let answer = match connection.exchange(head(kind, key, attempt), body).await {
        Ok(answer) => answer,
        Err(error) => return CallOutcome::NoAnswer(error.to_string()),
    };
    let header = |name: &str| {
        let value = answer.head.headers.get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_string)
    };
    let (seal, echo) = (header(SEAL_HEADER), header(WIRE_PROFILE.attempt_id));
    let status = answer.head.status.as_u16();
    let mut body = answer.body;
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(part) = body.next().await {
        match part {
            Ok(part) => bytes.extend_from_slice(&part),
            Err(_) => whole = false,
        }
    }
    let text = String::from_utf8_lossy(&bytes).to_string();
    CallOutcome::Answer { status, text, whole, seal, echo }
}

/// Body of a request.
pub fn body_of(attempt: &str) -> Bytes {
    Bytes::from(format!("body of {attempt}"))
}

fn head(kind: CallKind, key: &str, attempt: &str) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    if let Ok(uri) = kind.path().parse() {
        head.uri = uri;
    }
    let time_left = TIME_LEFT.to_string();
    let bearer = format!("Bearer {key}");
    let mut headers = vec![
        ("host", HOST),
        (WIRE_PROFILE.attempt_id, attempt),
        (WIRE_PROFILE.time_left, time_left.as_str()),
    ];
    if !key.is_empty() {
        headers.push(("authorization", &bearer));
    }
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            head.headers.insert(HeaderName::from_static(name), value);
        }
    }
    head
}
