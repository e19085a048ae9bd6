//! A model engine that streams: batches continuously, caches prompt prefixes, keeps finished and
//! cut streams for resumption, honours nothing it is not told.

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
    base: TargetBase,
    prefixes: RefCell<VecDeque<String>>,
    streams: RefCell<BTreeMap<String, KeptStream>>,
    running: Cell<usize>,
    evictions: RefCell<VecDeque<CacheEviction>>,
    evicted: Cell<u64>,
}

impl EngineStandIn {
    /// An idle engine.
    pub fn new(options: EngineOptions) -> Rc<EngineStandIn> {
        Rc::new(EngineStandIn {
            base: TargetBase::new(options.slots),
            options,
            prefixes: RefCell::default(),
            streams: RefCell::default(),
            running: Cell::new(0),
            evictions: RefCell::default(),
            evicted: Cell::new(0),
        })
    }

    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        if self.base.administer(&request, connection).await? {
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
        if let Some(declined) = self.base.decline(&request, connection).await? {
            return Ok(declined);
        }
        let _slot = self.base.slots.acquire().await?;
        let _running = RunningGuard::new(&self.running);
        let prompt_tokens = (body.prompt.len() / CHARS_PER_TOKEN) as u64;
        let prefill = prompt_tokens - self.cached_tokens(&body.prompt);
        let place = self.base.begin(&body.nonce, &request, prefill);
        if self.base.strikes(|faults| &mut faults.close_after_read) {
            return Ok(AfterAnswer::Close);
        }
        self.pause(prefill * self.options.prompt_token_us + faults.delay_ms * 1_000).await;
        if self.base.strikes(|faults| &mut faults.stalls) {
            connection.closed().await;
            return Ok(AfterAnswer::Close);
        }
        if !self.base.strikes(|faults| &mut faults.cuts) {
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
        self.base.ledger.complete(place);
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
