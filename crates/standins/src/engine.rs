//! Stand-in of a streaming model engine with slots, a cache of prompt prefixes, and streams that can be resumed
//! after their end or an interruption.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_core::{CacheEviction, TargetReport};
use serde::Deserialize;

use crate::http::{handle_by_route, AfterAnswer, PlainConnection, PlainRequest};
use crate::ledger::{token_event, END_EVENT};
use crate::target::TargetBase;

/// Number of characters of a prompt that count as one token.
pub const CHARS_PER_TOKEN: usize = 4;
/// Number of characters of a prompt that form its prefix.
pub const PREFIX_CHARS: usize = 1_024;

/// Maximum number of cache evictions in a report; older ones are dropped.
const MAX_EVICTIONS: usize = 8;

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

#[derive(Deserialize)]
struct GenerateBody {
    prompt: String,
    max_tokens: u64,
    nonce: String,
}

#[derive(Clone)]
struct StoredStream {
    nonce: String,
    tokens: u64,
}

/// A running engine.
pub struct EngineStandIn {
    options: EngineOptions,
    base: TargetBase,
    prefixes: RefCell<VecDeque<String>>,
    streams: RefCell<BTreeMap<String, StoredStream>>,
    running: Cell<usize>,
    evictions: RefCell<VecDeque<CacheEviction>>,
    eviction_count: Cell<u64>,
}

impl EngineStandIn {
    /// Creates an idle engine.
    pub fn new(options: EngineOptions) -> Rc<EngineStandIn> {
        Rc::new(EngineStandIn {
            base: TargetBase::new(options.slots),
            options,
            prefixes: RefCell::default(),
            streams: RefCell::default(),
            running: Cell::new(0),
            evictions: RefCell::default(),
            eviction_count: Cell::new(0),
        })
    }

    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        if self.base.handle_control_request(&request, connection).await? {
            return Ok(AfterAnswer::KeepOpen);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/load") => {
                let lag = Duration::from_millis(self.base.faults().report_lag_ms);
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
        let mut faults = self.base.faults();
        if let Some(declined) = self.base.answer_declined(&request, connection).await? {
            return Ok(declined);
        }
        let _slot = self.base.slots.acquire().await?;
        let _running = RunningGuard::new(&self.running);
        let prompt_tokens = (body.prompt.len() / CHARS_PER_TOKEN) as u64;
        let prefill = prompt_tokens - self.cached_tokens(&body.prompt);
        let ledger_index = self.base.begin(&body.nonce, &request, prefill);
        if self.base.use_fault(|faults| &mut faults.close_after_read) {
            return Ok(AfterAnswer::Close);
        }
        self.sleep(prefill * self.options.prompt_token_us + faults.delay_ms * 1_000).await;
        if self.base.use_fault(|faults| &mut faults.stalls) {
            connection.closed().await;
            return Ok(AfterAnswer::Close);
        }
        if !self.base.use_fault(|faults| &mut faults.cuts) {
            faults.cut_bytes = 0;
        }
        let stream_id = uuid::Uuid::new_v4().to_string();
        let stored = StoredStream { nonce: body.nonce, tokens: body.max_tokens };
        self.streams.borrow_mut().insert(stream_id.clone(), stored.clone());
        let headers = [("Content-Type", "text/event-stream"), ("Stream-Id", stream_id.as_str())];
        connection.begin_chunked(&headers).await?;
        if !self.stream(&stored, 0, faults.cut_bytes, connection).await? {
            return Ok(AfterAnswer::Close);
        }
        self.base.ledger.complete(ledger_index);
        Ok(AfterAnswer::KeepOpen)
    }

    /// Streams tokens from a byte offset on and stops after `cut` bytes, unless that is 0. Returns whether the end of
    /// the stream was written.
    async fn stream(
        &self,
        stored: &StoredStream,
        offset: u64,
        cut: u64,
        connection: &mut PlainConnection,
    ) -> Result<bool> {
        let mut position = 0u64;
        let mut written = 0u64;
        for index in 0..=stored.tokens {
            let event = if index < stored.tokens {
                token_event(&stored.nonce, index)
            } else {
                END_EVENT.to_string()
            };
            let end = position + event.len() as u64;
            if end > offset {
                if index < stored.tokens {
                    self.sleep(self.options.output_token_us).await;
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

    /// Sends the remaining part of a stream whose connection was interrupted, without running the request again.
    async fn resume(
        &self,
        request: &PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let id = request.path.trim_start_matches("/v1/streams/");
        let Some(stored) = self.streams.borrow().get(id).cloned() else {
            connection.answer(404, &[], b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        };
        let offset: u64 = request.query.get("offset").map_or(Ok(0), |text| text.parse())?;
        connection.begin_chunked(&[("Content-Type", "text/event-stream")]).await?;
        self.stream(&stored, offset, 0, connection).await?;
        Ok(AfterAnswer::KeepOpen)
    }

    /// Returns the number of prompt tokens that are cached, and caches the prefix.
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
            self.record_eviction(&evicted);
        }
        // With a known prefix, nine tenths of the prompt count as cached.
        if hit.is_some() {
            (prompt.len() / CHARS_PER_TOKEN) as u64 * 9 / 10
        } else {
            0
        }
    }

    /// Adds an eviction to the reports, with the hash that schedulers use for the prefix. Only the latest are kept.
    fn record_eviction(&self, prefix: &str) {
        let mut hasher = siphasher::sip::SipHasher13::new();
        std::hash::Hasher::write(&mut hasher, prefix.as_bytes());
        self.eviction_count.set(self.eviction_count.get() + 1);
        let eviction = CacheEviction {
            number: self.eviction_count.get(),
            prefix: std::hash::Hasher::finish(&hasher),
        };
        let mut evictions = self.evictions.borrow_mut();
        evictions.push_back(eviction);
        if evictions.len() > MAX_EVICTIONS {
            evictions.pop_front();
        }
    }

    async fn sleep(&self, micros: u64) {
        // A sleep of zero duration would still wait for a timer tick.
        if micros == 0 {
            return;
        }
        let factor = self.base.faults().slow_factor.max(1);
        tokio::time::sleep(Duration::from_micros(micros * factor)).await;
    }
}

handle_by_route!(EngineStandIn);

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
