//! Derives the options of the schedulers from the configuration.

use curlewcleat_core::{ActiveConfig, TargetPool};
use curlewcleat_sched::{AccountLimit, PoolOptions};

use crate::node::NodeOptions;

/// Returns the options of a pool's scheduler.
pub(crate) fn pool_options(
    config: &ActiveConfig,
    pool: &TargetPool,
    node: &NodeOptions,
) -> PoolOptions {
    let accounts = config.accounts.values().map(|account| {
        let limit = AccountLimit {
            weight: account.weight,
            rate_per_s: account.rate_per_s,
            queue_limit: account.queue_limit,
        };
        (account.id.clone(), limit)
    });
    // Without tiers no rule passes the checks, so no request needs the rank.
    let lowest = config.tiers.values().map(|tier| tier.rank).max().unwrap_or(0);
    PoolOptions {
        queue_limit: pool.queue_limit as usize,
        reserve_percent: pool.reserve_percent,
        cached_prefixes: pool.cached_prefixes as usize,
        top: config.top_rank(),
        lowest,
        age_per_work: node.age_per_work,
        books_returns: node.books_returns,
        accounts: accounts.collect(),
        reuses_connections: pool.reuse_connections,
    }
}
