//! The fake behind each target: slots, speed, a limited prompt cache, an inner queue.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::trace::Job;

/// Share of the prompt work that is left when its beginning is cached.
const CACHED_SHARE: f64 = 0.1;

/// What a target is like.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Requests served at the same time.
    pub slots: u32,
    /// Time taken relative to normal speed.
    pub slowness: f64,
    /// From then on it is this slow instead.
    pub slowed: Option<(Duration, f64)>,
    /// From then on it is gone.
    pub gone: Option<Duration>,
    /// Prompt beginnings cached.
    pub prefixes: usize,
}

impl TargetSpec {
    /// A target of normal speed.
    pub fn normal(slowness: f64) -> TargetSpec {
        TargetSpec { slots: 8, slowness, slowed: None, gone: None, prefixes: 16 }
    }
}

/// A request that runs.
#[derive(Clone, Debug)]
pub struct Running {
    /// When the prompt is computed.
    pub prefill_end: Duration,
    /// When it ends.
    pub end: Duration,
    /// Prompt work computed for it.
    pub prefill: u64,
    /// When it began.
    pub begun: Duration,
}

/// State of one target.
#[derive(Clone, Debug)]
pub struct FakeTarget {
    /// What it is like.
    pub spec: TargetSpec,
    /// Requests that run, by number.
    pub running: BTreeMap<usize, Running>,
    /// Requests that wait inside it.
    pub waiting: VecDeque<usize>,
    cache: VecDeque<u64>,
}

impl FakeTarget {
    /// An idle target.
    pub fn new(spec: TargetSpec) -> FakeTarget {
        FakeTarget {
            spec,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
        }
    }

    /// Whether it still lives.
    pub fn lives(&self, now: Duration) -> bool {
        self.spec.gone.is_none_or(|gone| now < gone)
    }

    /// Requests that run or wait here.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Starts a request if a slot is free; otherwise it waits inside.
    pub fn accept(&mut self, now: Duration, job: &Job) {
        if self.running.len() < self.spec.slots as usize {
            self.start(now, job);
        } else {
            self.waiting.push_back(job.id);
        }
    }

    /// Starts a request.
    pub fn start(&mut self, now: Duration, job: &Job) {
        let slowness = match self.spec.slowed {
            Some((from, slowness)) if now >= from => slowness,
            _ => self.spec.slowness,
        };
        let cached = job.prefix.is_some_and(|prefix| self.touch(prefix));
        let prefill = if cached { (job.prompt as f64 * CACHED_SHARE) as u64 } else { job.prompt };
        let prefill_end = now + Duration::from_micros((prefill as f64 * slowness) as u64);
        let end = prefill_end + Duration::from_micros((job.output as f64 * slowness) as u64);
        self.running.insert(job.id, Running { prefill_end, end, prefill, begun: now });
    }

    fn touch(&mut self, prefix: u64) -> bool {
        let place = self.cache.iter().position(|known| *known == prefix);
        if let Some(place) = place {
            self.cache.remove(place);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > self.spec.prefixes {
            self.cache.pop_front();
        }
        place.is_some()
    }
}

impl Running {
    /// Prompt work computed until now.
    pub fn prefill_done(&self, now: Duration) -> u64 {
        let whole = (self.prefill_end - self.begun).as_secs_f64();
        let done = now.saturating_sub(self.begun).as_secs_f64().min(whole);
        if whole > 0.0 {
            (self.prefill as f64 * done / whole) as u64
        } else {
            self.prefill
        }
    }
}
