//! A model engine that streams: batches continuously, caches prompt prefixes, keeps finished and
//! cut streams for resumption, honours nothing it is not told.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_core::{CacheEviction, TargetReport};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::http::{AfterAnswer, HandlerFuture, PlainConnection, PlainHandler, PlainRequest};
use crate::ledger::{token_event, LedgerEntry, RunLedger, END_EVENT};

/// Characters of a prompt that count as one token.
pub const CHARS_PER_TOKEN: usize = 4;
/// Characters of a prompt that make its prefix.
pub const PREFIX_CHARS: usize = 1_024;

/// Cache events that a report carries; older ones are lost.
const EVICTIONS_KEPT: usize = 8;

/// Speed and size of an engine.
#[derive(Clone, Debug, clap::Args)]
pub struct EngineOptions {
    /// Address to listen on.
    #[arg(long)]
    pub address: String,
    /// Requests that run at the same time; further ones wait inside the engine.
    #[arg(long, default_value_t = 8)]
    pub slots: usize,
    /// Microseconds per prompt token.
    #[arg(long, default_value_t = 20)]
    pub prompt_token_us: u64,
    /// Microseconds per generated token.
    #[arg(long, default_value_t = 2_000)]
    pub output_token_us: u64,
    /// Prompt prefixes held.
    #[arg(long, default_value_t = 8)]
    pub prefixes: usize,
}

/// Fault switches of a target; all off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetFaults {
    /// Times are multiplied by this, 0 counts as 1.
    pub slow_factor: u64,
    /// Answers this many requests with "not started" status 503.
    pub not_started: u64,
    /// Reads this many requests, runs them and closes without an answer.
    pub close_after_read: u64,
    /// Closes this many pooled connections under a written request without running it.
    pub close_pooled: u64,
    /// Cuts this many answers after `cut_bytes`.
    pub cuts: u64,
    /// Bytes after which an answer is cut.
    pub cut_bytes: u64,
    /// Stalls this many answers before their first byte for as long as the connection lives.
    pub stalls: u64,
    /// Writes this many answers twice.
    pub doubles: u64,
    /// Answers this many requests with a redirect to the same path.
    pub redirects: u64,
    /// Reports of load come this many milliseconds late.
    pub report_lag_ms: u64,
    /// Delays each answer by this many milliseconds.
    pub delay_ms: u64,
}

impl TargetFaults {
    /// Uses one occasion of a counted fault up.
    pub fn use_up(counter: &mut u64) -> bool {
        let left = *counter > 0;
        *counter = counter.saturating_sub(1);
        left
    }
}

#[derive(Deserialize)]
struct GenerateBody {
    prompt: String,
    max_tokens: u64,
    nonce: String,
}

#[derive(Clone)]
struct KeptStream {
    nonce: String,
    tokens: u64,
}

/// A running engine.
pub struct EngineStandIn {
    options: EngineOptions,
    faults: RefCell<TargetFaults>,
    ledger: RunLedger,
    slots: Semaphore,
    prefixes: RefCell<VecDeque<String>>,
    streams: RefCell<BTreeMap<String, KeptStream>>,
    running: Cell<usize>,
    evictions: RefCell<VecDeque<CacheEviction>>,
    evicted: Cell<u64>,
    born: Instant,
}

impl EngineStandIn {
    /// An idle engine.
    pub fn new(options: EngineOptions) -> Rc<EngineStandIn> {
        Rc::new(EngineStandIn {
            slots: Semaphore::new(options.slots),
            options,
            faults: RefCell::default(),
            ledger: RunLedger::default(),
            prefixes: RefCell::default(),
            streams: RefCell::default(),
            running: Cell::new(0),
            evictions: RefCell::default(),
            evicted: Cell::new(0),
            born: Instant::now(),
        })
    }

    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/_ledger") => connection.answer_json(200, &self.ledger.entries()).await?,
            ("POST", "/_fault") => {
                *self.faults.borrow_mut() = serde_json::from_slice(&request.body)?;
                connection.answer(200, &[], b"").await?;
            }
            ("GET", "/load") => {
                let lag = Duration::from_millis(self.faults.borrow().report_lag_ms);
                let report = TargetReport {
                    running: self.running.get() as u32,
                    evictions: self.evictions.borrow().iter().copied().collect(),
                };
                tokio::time::sleep(lag).await;
                connection.answer_json(200, &report).await?;
            }
            ("GET", path) if path.starts_with("/v1/streams/") => {
                return self.resume(&request, connection).await;
            }
            ("POST", _) => return self.generate(request, connection).await,
            _ => connection.answer(404, &[], b"").await?,
        }
        Ok(AfterAnswer::KeepOpen)
    }

    async fn generate(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let Ok(body) = serde_json::from_slice::<GenerateBody>(&request.body) else {
            connection.answer(400, &[], b"bad body").await?;
            return Ok(AfterAnswer::KeepOpen);
        };
        let mut faults = self.faults.borrow().clone();
        if TargetFaults::use_up(&mut self.faults.borrow_mut().not_started) {
            connection.answer(503, &[], b"not started").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        if TargetFaults::use_up(&mut self.faults.borrow_mut().close_pooled) {
            return Ok(AfterAnswer::Close);
        }
        let _slot = self.slots.acquire().await?;
        let _running = RunningGuard::new(&self.running);
        let prompt_tokens = (body.prompt.len() / CHARS_PER_TOKEN) as u64;
        let prefill = prompt_tokens - self.cached_tokens(&body.prompt);
        let entry = LedgerEntry {
            nonce: body.nonce.clone(),
            request: request.header("x-request-id").to_string(),
            started_ms: self.born.elapsed().as_millis() as u64,
            prefill,
            whole: false,
        };
        let place = self.ledger.begin(entry);
        if TargetFaults::use_up(&mut self.faults.borrow_mut().close_after_read) {
            return Ok(AfterAnswer::Close);
        }
        self.pause(prefill * self.options.prompt_token_us + faults.delay_ms * 1_000).await;
        if TargetFaults::use_up(&mut self.faults.borrow_mut().stalls) {
            connection.closed().await;
            return Ok(AfterAnswer::Close);
        }
        if !TargetFaults::use_up(&mut self.faults.borrow_mut().cuts) {
            faults.cut_bytes = 0;
        }
        let stream_id = uuid::Uuid::new_v4().to_string();
        let kept = KeptStream { nonce: body.nonce, tokens: body.max_tokens };
        self.streams.borrow_mut().insert(stream_id.clone(), kept.clone());
        let headers = [("Content-Type", "text/event-stream"), ("Stream-Id", stream_id.as_str())];
        connection.begin_chunked(&headers).await?;
        if !self.stream(&kept, 0, faults.cut_bytes, connection).await? {
            return Ok(AfterAnswer::Close);
        }
        self.ledger.complete(place);
        Ok(AfterAnswer::KeepOpen)
    }

    /// Streams tokens from a byte offset on; `cut` bytes later it stops, where that is not 0.
    /// Returns whether the end was written.
    async fn stream(
        &self,
        kept: &KeptStream,
        offset: u64,
        cut: u64,
        connection: &mut PlainConnection,
    ) -> Result<bool> {
        let mut position = 0u64;
        let mut written = 0u64;
        for index in 0..=kept.tokens {
            let event = if index < kept.tokens {
                token_event(&kept.nonce, index)
            } else {
                END_EVENT.to_string()
            };
            let end = position + event.len() as u64;
            if end > offset {
                if index < kept.tokens {
                    self.pause(self.options.output_token_us).await;
                }
                let skip = offset.saturating_sub(position) as usize;
                connection.chunk(&event.as_bytes()[skip..]).await?;
                written += (event.len() - skip) as u64;
            }
            position = end;
            if cut > 0 && written >= cut {
                return Ok(false);
            }
        }
        connection.chunk(b"").await?;
        Ok(true)
    }

    /// Sends the rest of a stream whose connection was cut. Nothing runs again.
    async fn resume(
        &self,
        request: &PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let id = request.path.trim_start_matches("/v1/streams/");
        let Some(kept) = self.streams.borrow().get(id).cloned() else {
            connection.answer(404, &[], b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        };
        let offset: u64 = request.query.get("offset").map_or(Ok(0), |text| text.parse())?;
        connection.begin_chunked(&[("Content-Type", "text/event-stream")]).await?;
        self.stream(&kept, offset, 0, connection).await?;
        Ok(AfterAnswer::KeepOpen)
    }

    /// Tokens of the prompt that are cached; the prefix is cached from now on.
    fn cached_tokens(&self, prompt: &str) -> u64 {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        if prefix.len() < PREFIX_CHARS || self.options.prefixes == 0 {
            return 0;
        }
        let mut prefixes = self.prefixes.borrow_mut();
        let hit = prefixes.iter().position(|known| *known == prefix);
        if let Some(position) = hit {
            prefixes.remove(position);
        }
        prefixes.push_back(prefix);
        if prefixes.len() > self.options.prefixes {
            let evicted = prefixes.pop_front().unwrap_or_default();
            self.note_eviction(&evicted);
        }
        // The whole prompt of a known prefix counts as cached but for a tenth.
        if hit.is_some() {
            (prompt.len() / CHARS_PER_TOKEN) as u64 * 9 / 10
        } else {
            0
        }
    }

    /// Publishes an eviction under the hash that schedulers use; only the latest ones are kept.
    fn note_eviction(&self, prefix: &str) {
        let mut hasher = siphasher::sip::SipHasher13::new();
        std::hash::Hasher::write(&mut hasher, prefix.as_bytes());
        self.evicted.set(self.evicted.get() + 1);
        let eviction = CacheEviction {
            number: self.evicted.get(),
            prefix: std::hash::Hasher::finish(&hasher),
        };
        let mut evictions = self.evictions.borrow_mut();
        evictions.push_back(eviction);
        if evictions.len() > EVICTIONS_KEPT {
            evictions.pop_front();
        }
    }

    async fn pause(&self, micros: u64) {
        // Even an empty sleep takes a turn of the timer.
        if micros == 0 {
            return;
        }
        let factor = self.faults.borrow().slow_factor.max(1);
        tokio::time::sleep(Duration::from_micros(micros * factor)).await;
    }
}

impl PlainHandler for EngineStandIn {
    fn handle<'a>(
        &'a self,
        request: PlainRequest,
        connection: &'a mut PlainConnection,
    ) -> HandlerFuture<'a> {
        Box::pin(self.route(request, connection))
    }
}

struct RunningGuard<'a>(&'a Cell<usize>);

impl<'a> RunningGuard<'a> {
    fn new(count: &'a Cell<usize>) -> RunningGuard<'a> {
        count.set(count.get() + 1);
        RunningGuard(count)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
