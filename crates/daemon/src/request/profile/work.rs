//! Computes the cost of a request from its headers: its work, and its units of the account's rate.
//!
//! Owns: nothing; pure functions. Relies on: callers that state the token counts of a request. If they are missing or
//! unreadable, the work counts zero tokens and the rate counts the account's plain cost.

use std::hash::Hasher;

use actix_http::header::HeaderMap;
use curlewcleat_core::{ClientAccount, PoolKind, RateUnit, TargetPool};
use curlewcleat_store::WireProfile;
use siphasher::sip::SipHasher13;

use crate::headers;
use crate::request::admitted::WorkEstimate;

/// The shared parts of a prompt are its prefix if they have at least the prompt's tokens divided by this. A smaller
/// prefix saves less than the choice of a busier target costs.
const PREFIX_DIVISOR: u64 = 2;

/// Token counts of a request as its caller states them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum tokens of the answer.
    pub output: u64,
}

/// Reads the token counts from a header, `None` if it is missing or unreadable.
pub fn token_counts(head: &HeaderMap, name: &str) -> Option<TokenCounts> {
    let (prompt, output) = headers::text(head, name)?.split_once(',')?;
    Some(TokenCounts { prompt: prompt.trim().parse().ok()?, output: output.trim().parse().ok()? })
}

/// Returns the units that a request counts against its account's shared rate.
pub fn cost(account: &ClientAccount, tokens: Option<TokenCounts>) -> u64 {
    let Some(rate) = account.shared_rate else { return 1 };
    let count = match rate.unit {
        RateUnit::Request => 1,
        RateUnit::Tokens(plain) => {
            tokens.map_or(plain, |tokens| tokens.prompt.saturating_add(tokens.output))
        }
    };
    count.saturating_mul(rate.scale)
}

/// Estimates the work of a request.
pub fn estimate(
    profile: &WireProfile,
    pool: &TargetPool,
    head: &HeaderMap,
    tokens: Option<TokenCounts>,
) -> WorkEstimate {
    if pool.kind == PoolKind::Service {
        return WorkEstimate { prompt: 0, output: pool.base_us, prefix: None };
    }
    let tokens = tokens.unwrap_or(TokenCounts { prompt: 0, output: 0 });
    let hint = headers::text(head, profile.length_hint);
    let hint = hint.and_then(|text| text.trim().parse::<f64>().ok()).map(|hint| hint as u64);
    let parts = headers::text(head, profile.prompt_parts);
    WorkEstimate {
        prompt: tokens.prompt * pool.prompt_token_us,
        output: pool.base_us + hint.unwrap_or(tokens.output) * pool.output_token_us,
        prefix: parts.and_then(|parts| shared_prefix(parts, tokens.prompt)),
    }
}

/// Returns the hash of a prompt's shared parts if they are large enough, see [`PREFIX_DIVISOR`].
fn shared_prefix(parts: &str, prompt: u64) -> Option<u64> {
    let (shared, _) = parts.rsplit_once(',')?;
    let sizes =
        shared.split(',').filter_map(|part| part.rsplit_once(':')?.1.trim().parse::<u64>().ok());
    let size: u64 = sizes.sum();
    if size * PREFIX_DIVISOR < prompt {
        return None;
    }
    let mut hasher = SipHasher13::new();
    hasher.write(shared.as_bytes());
    Some(hasher.finish())
}
