//! Open-loop load generator: requests start at their planned times, independently of earlier ones, and latencies count
//! from the planned start, so that a slow system cannot hide delays (coordinated omission).

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::callers::{caller_client, CallerCall, CallerOutcome, CallerRecord};
use crate::engine::CHARS_PER_TOKEN;
use crate::ledger::LedgerEntry;

/// Upper bound of the histograms in milliseconds.
const MAX_LATENCY_MS: u64 = 600_000;

/// A kind of request in a load.
#[derive(Clone, Debug)]
pub struct LoadStream {
    /// Tier in the report.
    pub tier: String,
    /// Path of the requests.
    pub path: String,
    /// Bearer token.
    pub token: String,
    /// Mean rate of requests per second; arrivals are a Poisson process.
    pub rate_per_s: f64,
    /// Range of the number of prompt tokens, log-uniform; `None` for a service.
    pub prompt_tokens: Option<(u64, u64)>,
    /// Range of the number of output tokens, log-uniform.
    pub output_tokens: (u64, u64),
    /// Number of distinct prompt prefixes; 0 if each request has its own.
    pub prefixes: u64,
    /// Whether requests carry an idempotency key.
    pub keyed: bool,
    /// Timeout that the caller states.
    pub timeout: Duration,
}

/// A load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Time over which requests start.
    pub duration: Duration,
    /// Factor for the rates in the middle third of the duration.
    pub burst: f64,
    /// Kinds of requests.
    pub streams: Vec<LoadStream>,
}

/// Results of a tier.
#[derive(Debug)]
pub struct TierReport {
    /// Number of requests.
    pub offered: u64,
    /// Number of complete answers within the timeout.
    pub goodput: u64,
    /// Times to the first byte of complete answers, in milliseconds.
    pub first_byte_ms: Histogram<u64>,
    /// Number of refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Number of interrupted, timed-out or unexpected answers.
    pub broken: u64,
}

/// Results of a load.
#[derive(Debug)]
pub struct LoadReport {
    /// Results by tier.
    pub tiers: BTreeMap<String, TierReport>,
    /// Number of prompt tokens computed for answers that did not reach their callers completely.
    pub wasted_prefill: u64,
    /// Total number of prompt tokens computed.
    pub total_prefill: u64,
}

impl LoadPlan {
    /// Returns the calls ordered by their start times; equal seeds give equal calls.
    pub fn schedule(&self) -> Vec<(Duration, CallerCall)> {
        let mut calls = Vec::new();
        for (index, stream) in self.streams.iter().enumerate() {
            let mut random = StdRng::seed_from_u64(self.seed.wrapping_add(index as u64));
            let mut at = 0.0;
            let end = self.duration.as_secs_f64();
            loop {
                let middle = at > end / 3.0 && at < end * 2.0 / 3.0;
                let rate = if middle { stream.rate_per_s * self.burst } else { stream.rate_per_s };
                at += -(1.0 - random.random::<f64>()).ln() / rate.max(1e-9);
                if at >= end {
                    break;
                }
                let nonce = format!("{}-{}-{}", self.seed, index, calls.len());
                calls.push((Duration::from_secs_f64(at), stream.call(&nonce, &mut random)));
            }
        }
        calls.sort_by_key(|(at, _)| *at);
        calls
    }

    /// Sends all calls, distributed over the entry daemons in round-robin order.
    pub async fn run(&self, entry_daemons: &[String]) -> Vec<CallerRecord> {
        let client = Rc::new(caller_client());
        let begun = tokio::time::Instant::now();
        let mut tasks = Vec::new();
        for (index, (at, call)) in self.schedule().into_iter().enumerate() {
            let client = Rc::clone(&client);
            let entry_daemon = entry_daemons[index % entry_daemons.len()].clone();
            tasks.push(actix_rt::spawn(async move {
                let planned = begun + at;
                tokio::time::sleep_until(planned).await;
                let late = planned.elapsed();
                let mut record = call.send(&client, &entry_daemon).await;
                record.duration += late;
                record.first_byte = record.first_byte.map(|time| time + late);
                record
            }));
        }
        let mut records = Vec::new();
        for task in tasks {
            if let Ok(record) = task.await {
                records.push(record);
            }
        }
        records
    }
}

impl LoadStream {
    fn call(&self, nonce: &str, random: &mut StdRng) -> CallerCall {
        let mut call = match self.prompt_tokens {
            None => CallerCall::service(&self.path, &self.token, nonce),
            Some(range) => {
                let tokens = log_uniform(random, range);
                let prompt = self.prompt(tokens, nonce, random);
                CallerCall::engine(
                    &self.path,
                    &self.token,
                    nonce,
                    &prompt,
                    log_uniform(random, self.output_tokens),
                )
            }
        };
        call.tier = self.tier.clone();
        call.limit = self.timeout + Duration::from_secs(5);
        call = call.header("Curlewcleat-Timeout-Ms", &self.timeout.as_millis().to_string());
        if self.keyed {
            call = call.header("Idempotency-Key", &format!("key-{nonce}"));
        }
        call
    }

    fn prompt(&self, tokens: u64, nonce: &str, random: &mut StdRng) -> String {
        let length = tokens as usize * CHARS_PER_TOKEN;
        let subject = match self.prefixes {
            0 => nonce.to_string(),
            prefixes => format!("document {} of {}", random.random_range(0..prefixes), self.path),
        };
        let mut prompt = format!("{subject} ").repeat(length / (subject.len() + 1) + 1);
        prompt.truncate(length);
        prompt
    }
}

/// Summarizes records and ledgers.
pub fn report(plan: &LoadPlan, records: &[CallerRecord], entries: &[LedgerEntry]) -> LoadReport {
    let mut tiers: BTreeMap<String, TierReport> = BTreeMap::new();
    let mut prefill: BTreeMap<&str, u64> = BTreeMap::new();
    for entry in entries {
        *prefill.entry(&entry.nonce).or_default() += entry.prefill;
    }
    let mut wasted_prefill = 0;
    for record in records {
        let tier = tiers.entry(record.tier.clone()).or_insert_with(TierReport::empty);
        let timeout = plan
            .streams
            .iter()
            .find(|stream| stream.tier == record.tier)
            .map(|stream| stream.timeout);
        tier.offered += 1;
        match &record.outcome {
            CallerOutcome::Complete => {
                tier.goodput += u64::from(timeout.is_none_or(|timeout| record.duration <= timeout));
                let first = record.first_byte.unwrap_or(record.duration).as_millis() as u64;
                // The histogram clamps values above its upper bound.
                tier.first_byte_ms.saturating_record(first);
            }
            CallerOutcome::Refused { reason, .. } => {
                *tier.refusals.entry(reason.clone()).or_default() += 1
            }
            CallerOutcome::Interrupted | CallerOutcome::Unexpected(_) => tier.broken += 1,
        }
        if record.outcome != CallerOutcome::Complete {
            wasted_prefill += prefill.get(record.nonce.as_str()).copied().unwrap_or(0);
        }
    }
    LoadReport { tiers, wasted_prefill, total_prefill: prefill.values().sum() }
}

impl TierReport {
    fn empty() -> TierReport {
        TierReport {
            offered: 0,
            goodput: 0,
            first_byte_ms: Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3)
                .unwrap_or_else(|error| panic!("{error}")),
            refusals: BTreeMap::new(),
            broken: 0,
        }
    }

    /// Returns the share of the requests that got a complete answer within the timeout.
    pub fn share(&self) -> f64 {
        self.goodput as f64 / (self.offered.max(1)) as f64
    }
}

impl LoadReport {
    /// Prints one line per tier.
    pub fn print(&self) {
        println!(
            "{:<12} {:>7} {:>7} {:>7} {:>8} {:>8}  refusals",
            "tier", "offered", "goodput", "share", "p50 ms", "p99 ms"
        );
        for (name, tier) in &self.tiers {
            let refusals: Vec<String> =
                tier.refusals.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
            println!(
                "{name:<12} {:>7} {:>7} {:>7.3} {:>8} {:>8}  {}{}",
                tier.offered,
                tier.goodput,
                tier.share(),
                tier.first_byte_ms.value_at_quantile(0.5),
                tier.first_byte_ms.value_at_quantile(0.99),
                refusals.join(", "),
                if tier.broken > 0 { format!(" (broken {})", tier.broken) } else { String::new() }
            );
        }
        println!(
            "wasted prefill: {} of {} prompt tokens computed",
            self.wasted_prefill, self.total_prefill
        );
    }
}

fn log_uniform(random: &mut StdRng, (least, most): (u64, u64)) -> u64 {
    let (least, most) = ((least.max(1) as f64).ln(), (most.max(1) as f64).ln());
    (least + (most - least) * random.random::<f64>()).exp().round() as u64
}
