//! Defines the values that hold where a configuration states none.
//!
//! Owns: the defaults of pools, accounts and tiers, for every source of a configuration. Relies on: nothing.

use std::time::Duration;

use curlewcleat_core::{PoolId, PoolKind, TargetLimits, TargetPool};

/// Highest number of requests of an account that wait in one pool.
pub const ACCOUNT_QUEUE_LIMIT: u32 = 10_000;
/// Deadline of requests that state none.
pub const TIER_DEADLINE: Duration = Duration::from_secs(30);
/// Work of a prompt token on an engine, in microseconds.
const PROMPT_TOKEN_US: u64 = 100;
/// Work of an answer token on an engine, in microseconds.
const OUTPUT_TOKEN_US: u64 = 10_000;
/// Fixed work of a request, in microseconds.
const BASE_US: u64 = 5_000;
/// Highest number of requests that wait in a pool.
const POOL_QUEUE_LIMIT: u32 = 1_000;
/// Number of prompt prefixes that a target is assumed to cache.
const CACHED_PREFIXES: u32 = 16;

/// Returns a pool of a kind without targets.
pub fn default_pool(id: PoolId, kind: PoolKind) -> TargetPool {
    let (prompt_token_us, output_token_us) = match kind {
        PoolKind::Engine => (PROMPT_TOKEN_US, OUTPUT_TOKEN_US),
        PoolKind::Service => (0, 0),
    };
    TargetPool {
        id,
        kind,
        queue_limit: POOL_QUEUE_LIMIT,
        cached_prefixes: CACHED_PREFIXES,
        prompt_token_us,
        output_token_us,
        base_us: BASE_US,
        limits: default_limits(kind),
        ..TargetPool::default()
    }
}

fn default_limits(kind: PoolKind) -> TargetLimits {
    match kind {
        PoolKind::Engine => TargetLimits {
            connect: Duration::from_secs(1),
            first_byte: Duration::from_secs(60),
            between_bytes: Duration::from_secs(20),
        },
        PoolKind::Service => TargetLimits {
            connect: Duration::from_millis(500),
            first_byte: Duration::from_secs(5),
            between_bytes: Duration::from_secs(2),
        },
    }
}
