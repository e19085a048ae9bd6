//! Traces of requests: Poisson arrivals, sizes of work spread 1:100, shared prompt beginnings.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fakes::TargetSpec;

/// Smallest and largest work of a request in microseconds of a slot; spread 1:100.
const WORK_RANGE: (f64, f64) = (100_000.0, 10_000_000.0);
/// True output as a share of the asked one.
const OUTPUT_SHARE: (f64, f64) = (0.4, 1.0);

/// One request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number in the trace.
    pub id: usize,
    /// Arrival.
    pub at: Duration,
    /// Rank of its tier.
    pub tier: u8,
    /// Account.
    pub account: usize,
    /// Entry that it arrives at.
    pub entry: usize,
    /// Time for which its caller waits.
    pub deadline: Duration,
    /// Prompt work in microseconds at normal speed.
    pub prompt: u64,
    /// Asked output work.
    pub asked: u64,
    /// True output work.
    pub output: u64,
    /// Prompt beginning that it shares with others.
    pub prefix: Option<u64>,
}

/// Requests of one tier.
#[derive(Clone, Debug)]
pub struct TierSpec {
    /// Share of the offered work.
    pub share: f64,
    /// Fixed part of the deadline.
    pub deadline: Duration,
    /// Share of the work that is prompt.
    pub prompt_share: f64,
    /// Smallest and largest work, where it differs from the usual spread.
    pub work: Option<(f64, f64)>,
    /// Distinct prompt beginnings, 0 for none in common.
    pub prefixes: u64,
}

/// A whole trace.
#[derive(Clone, Debug)]
pub struct TraceSpec {
    /// Seed.
    pub seed: u64,
    /// Time over which requests arrive.
    pub duration: Duration,
    /// Offered work as a multiple of the capacity.
    pub load: f64,
    /// The load is this from one third to two thirds of the time, where given.
    pub burst: Option<f64>,
    /// Tiers, the highest first.
    pub tiers: Vec<TierSpec>,
    /// Accounts.
    pub accounts: usize,
    /// Account 0 makes this many times its share of requests.
    pub flood: f64,
    /// Entries.
    pub entries: usize,
}

/// Work per second that the targets do.
pub fn capacity(targets: &[TargetSpec]) -> f64 {
    targets.iter().map(|target| f64::from(target.slots) / target.slowness).sum::<f64>() * 1e6
}

/// Makes the trace; the same for the same seed and targets.
pub fn make_trace(spec: &TraceSpec, targets: &[TargetSpec]) -> Vec<Job> {
    let capacity = capacity(targets);
    let mut jobs = Vec::new();
    for (rank, tier) in spec.tiers.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(spec.seed * 1_000 + rank as u64);
        let range = tier.work.unwrap_or(WORK_RANGE);
        let mean = (range.1 - range.0) / (range.1 / range.0).ln();
        let end = spec.duration.as_secs_f64();
        let mut at = 0.0;
        loop {
            let middle = at > end / 3.0 && at < end * 2.0 / 3.0;
            let load = spec.burst.filter(|_| middle).unwrap_or(spec.load);
            let output_share = (OUTPUT_SHARE.0 + OUTPUT_SHARE.1) / 2.0;
            let true_mean = mean * (tier.prompt_share + (1.0 - tier.prompt_share) * output_share);
            let rate = load * capacity * tier.share / true_mean;
            at += -(1.0 - random.random::<f64>()).ln() / rate;
            if at >= end {
                break;
            }
            jobs.push(job(spec, tier, rank as u8, at, range, &mut random));
        }
    }
    jobs.sort_by_key(|job| job.at);
    for (id, job) in jobs.iter_mut().enumerate() {
        job.id = id;
        job.entry = id % spec.entries;
    }
    jobs
}

fn job(
    spec: &TraceSpec,
    tier: &TierSpec,
    rank: u8,
    at: f64,
    range: (f64, f64),
    random: &mut StdRng,
) -> Job {
    let work = (range.0.ln() + (range.1 / range.0).ln() * random.random::<f64>()).exp();
    let prompt = work * tier.prompt_share;
    let asked = work - prompt;
    let share = OUTPUT_SHARE.0 + (OUTPUT_SHARE.1 - OUTPUT_SHARE.0) * random.random::<f64>();
    let flood_share = spec.flood / (spec.flood + spec.accounts as f64 - 1.0);
    let account = if random.random::<f64>() < flood_share {
        0
    } else {
        random.random_range(1..spec.accounts)
    };
    let prefix =
        (tier.prefixes > 0).then(|| u64::from(rank) << 32 | random.random_range(0..tier.prefixes));
    Job {
        id: 0,
        at: Duration::from_secs_f64(at),
        tier: rank,
        account,
        entry: 0,
        deadline: tier.deadline + Duration::from_micros(work as u64 * 2),
        prompt: prompt as u64,
        asked: asked as u64,
        output: (asked * share) as u64,
        prefix,
    }
}
