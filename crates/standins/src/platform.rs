//! Stand-in of the platform: objects with versions, a delayed list of VMs, rate limits, and fault switches.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::http::{handle_by_route, AfterAnswer, PlainConnection, PlainRequest};

/// Maximum size of a value in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Rate limits and delays of the platform.
#[derive(Clone, Debug, clap::Args)]
pub struct PlatformOptions {
    /// Address to listen on.
    #[arg(long)]
    pub address: String,
    /// Writes per second.
    #[arg(long, default_value_t = 100)]
    pub writes_per_s: u64,
    /// Reads per second; a watch counts as one.
    #[arg(long, default_value_t = 2_000)]
    pub reads_per_s: u64,
    /// Delay in milliseconds before a change of the VM list is visible.
    #[arg(long, default_value_t = 500)]
    pub list_lag_ms: u64,
}

/// Fault switches, off by default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Closes the connection of every call, without an answer or effect.
    pub down: bool,
    /// Delays each answer by this many milliseconds.
    pub slow_ms: u64,
    /// Applies this many writes without answering them.
    pub lose_answers: u64,
    /// Interrupts this many answers to reads of objects in the middle of the value.
    pub cut_reads: u64,
    /// Returns the version before the latest one to reads.
    pub old_versions: bool,
}

/// Number of calls.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads, lists and VM lists.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls refused by the rate limits.
    pub limited: u64,
}

#[derive(Default)]
struct ObjectVersions {
    current: Option<(u64, Vec<u8>)>,
    previous: Option<(u64, Vec<u8>)>,
}

struct TokenBucket {
    rate: u64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: u64) -> TokenBucket {
        TokenBucket { rate, tokens: rate as f64, refilled_at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let rate = self.rate as f64;
        self.tokens = (self.tokens + self.refilled_at.elapsed().as_secs_f64() * rate).min(rate);
        self.refilled_at = Instant::now();
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A running platform.
pub struct PlatformStandIn {
    options: PlatformOptions,
    faults: RefCell<PlatformFaults>,
    counts: RefCell<CallCounts>,
    objects: RefCell<BTreeMap<String, ObjectVersions>>,
    vms: RefCell<Vec<(Instant, serde_json::Value)>>,
    changed: Notify,
    writes: RefCell<TokenBucket>,
    reads: RefCell<TokenBucket>,
}

impl PlatformStandIn {
    /// Creates an empty platform.
    pub fn new(options: PlatformOptions) -> Rc<PlatformStandIn> {
        Rc::new(PlatformStandIn {
            faults: RefCell::default(),
            counts: RefCell::default(),
            objects: RefCell::default(),
            vms: RefCell::new(vec![(
                Instant::now() - Duration::from_secs(3_600),
                serde_json::json!([]),
            )]),
            changed: Notify::new(),
            writes: RefCell::new(TokenBucket::new(options.writes_per_s)),
            reads: RefCell::new(TokenBucket::new(options.reads_per_s)),
            options,
        })
    }

    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/_fault") => {
                *self.faults.borrow_mut() = serde_json::from_slice(&request.body)?;
                connection.answer(200, &[], b"").await?;
            }
            ("PUT", "/_vms") => {
                let list = serde_json::from_slice(&request.body)?;
                self.vms.borrow_mut().push((Instant::now(), list));
                connection.answer(200, &[], b"").await?;
            }
            ("GET", "/_counts") => {
                let counts = *self.counts.borrow();
                connection.answer_json(200, &counts).await?;
            }
            _ => return self.call(request, connection).await,
        }
        Ok(AfterAnswer::KeepOpen)
    }

    async fn call(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let faults = self.faults.borrow().clone();
        if faults.down {
            return Ok(AfterAnswer::Close);
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if !self.admit(&request) {
            connection.answer(429, &[("Retry-After", "1")], b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        let key = request.path.trim_start_matches("/objects").trim_start_matches('/').to_string();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/vms") => connection.answer_json(200, &self.listed_vms()).await?,
            ("GET", "/objects") => {
                let prefix = request.query.get("prefix").cloned().unwrap_or_default();
                let keys: Vec<String> = self
                    .objects
                    .borrow()
                    .keys()
                    .filter(|key| key.starts_with(&prefix))
                    .cloned()
                    .collect();
                connection.answer_json(200, &keys).await?;
            }
            ("GET", _) if request.query.contains_key("after") => {
                return self.watch(&key, &request, connection).await
            }
            ("GET", _) => self.answer_object(&key, connection).await?,
            ("PUT", _) => return self.put(&key, request, connection).await,
            _ => connection.answer(404, &[], b"").await?,
        }
        Ok(AfterAnswer::KeepOpen)
    }

    fn admit(&self, request: &PlainRequest) -> bool {
        let mut counts = self.counts.borrow_mut();
        let admitted = if request.method == "PUT" {
            counts.writes += 1;
            self.writes.borrow_mut().take()
        } else {
            counts.reads += 1;
            counts.watches += u64::from(request.query.contains_key("after"));
            self.reads.borrow_mut().take()
        };
        counts.limited += u64::from(!admitted);
        admitted
    }

    fn visible(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        let objects = self.objects.borrow();
        let versions = objects.get(key)?;
        if self.faults.borrow().old_versions && versions.previous.is_some() {
            return versions.previous.clone();
        }
        versions.current.clone()
    }

    fn use_cut_fault(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let cut = faults.cut_reads > 0;
        faults.cut_reads = faults.cut_reads.saturating_sub(1);
        cut
    }

    fn use_lost_answer(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }

    async fn answer_object(&self, key: &str, connection: &mut PlainConnection) -> Result<()> {
        match self.visible(key) {
            Some((version, bytes)) => {
                let tag = format!("\"{version}\"");
                if self.use_cut_fault() {
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nETag: {tag}\r\nContent-Length: {}\r\n\r\n",
                        bytes.len()
                    );
                    connection.write_raw(head.as_bytes()).await?;
                    connection.write_raw(&bytes[..bytes.len() / 2]).await?;
                    anyhow::bail!("stand-in: answer interrupted");
                }
                connection.answer(200, &[("ETag", &tag)], &bytes).await
            }
            None => connection.answer(404, &[], b"").await,
        }
    }

    async fn watch(
        &self,
        key: &str,
        request: &PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let after: u64 = request.query.get("after").map_or(Ok(0), |text| text.parse())?;
        let wait: u64 = request.query.get("wait_ms").map_or(Ok(0), |text| text.parse())?;
        let end = tokio::time::Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            if self.faults.borrow().down {
                return Ok(AfterAnswer::Close);
            }
            if self.visible(key).is_some_and(|(version, _)| version > after) {
                self.answer_object(key, connection).await?;
                return Ok(AfterAnswer::KeepOpen);
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                connection.answer(304, &[], b"").await?;
                return Ok(AfterAnswer::KeepOpen);
            }
        }
    }

    async fn put(
        &self,
        key: &str,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        if request.body.len() > MAX_VALUE_BYTES {
            connection.answer(413, &[], b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        let Some(version) = self.store(key, request) else {
            connection.answer(412, &[], b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        };
        self.changed.notify_waiters();
        if self.use_lost_answer() {
            return Ok(AfterAnswer::Close);
        }
        let tag = format!("\"{version}\"");
        connection.answer(if version == 1 { 201 } else { 200 }, &[("ETag", &tag)], b"").await?;
        Ok(AfterAnswer::KeepOpen)
    }

    /// Stores a value if its conditions hold, and returns the new version.
    fn store(&self, key: &str, request: PlainRequest) -> Option<u64> {
        let expected = request.header("if-match").trim_matches('"').parse::<u64>().ok();
        let absent = request.header("if-none-match") == "*";
        let mut objects = self.objects.borrow_mut();
        let versions = objects.entry(key.to_string()).or_default();
        let current = versions.current.as_ref().map(|(version, _)| *version);
        let is_allowed =
            if absent { current.is_none() } else { expected.is_none() || expected == current };
        is_allowed.then(|| {
            let version = current.unwrap_or(0) + 1;
            versions.previous = versions.current.replace((version, request.body));
            version
        })
    }

    fn listed_vms(&self) -> serde_json::Value {
        let lag = Duration::from_millis(self.options.list_lag_ms);
        let vms = self.vms.borrow();
        let visible = vms.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        visible.map_or(serde_json::json!([]), |(_, list)| list.clone())
    }
}

handle_by_route!(PlatformStandIn);
