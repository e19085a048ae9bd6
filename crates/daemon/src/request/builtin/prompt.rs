//! Estimates the work of a request from its body: prompt size, prompt prefix and requested output.
//!
//! Owns: the estimate for callers that send no token counts. Relies on: the pool's costs per token.

use std::borrow::Cow;
use std::hash::Hasher;

use curlewcleat_core::{PoolKind, TargetPool};
use serde::Deserialize;
use siphasher::sip::SipHasher13;

use crate::request::admitted::WorkEstimate;
use crate::request::body::RequestBody;

/// Bytes of a prompt that count as one token, the usual estimate for English text.
const BYTES_PER_TOKEN: u64 = 4;
/// Length of a prompt's prefix in bytes; shorter prompts have none.
const PREFIX_BYTES: usize = 1_024;
/// Output tokens assumed where the request states no `max_tokens`.
const DEFAULT_OUTPUT: u64 = 256;

#[derive(Deserialize)]
struct PromptFields<'a> {
    #[serde(borrow, default)]
    prompt: Option<Cow<'a, str>>,
    #[serde(default)]
    max_tokens: Option<u64>,
}

/// Estimates the work of a request from the part of its body that was read.
pub fn estimate(pool: &TargetPool, body: &RequestBody) -> WorkEstimate {
    if pool.kind == PoolKind::Service {
        return WorkEstimate { prompt: 0, output: pool.base_us, prefix: None };
    }
    let beginning: &[u8] = body.beginning();
    // A body that cannot be parsed is estimated by its length.
    let fields = match body.is_fully_read() {
        true => serde_json::from_slice::<PromptFields<'_>>(beginning).ok(),
        false => None,
    };
    let output_tokens =
        fields.as_ref().and_then(|fields| fields.max_tokens).unwrap_or(DEFAULT_OUTPUT);
    let prompt = fields.as_ref().and_then(|fields| fields.prompt.as_deref());
    let text = prompt.map_or(beginning, str::as_bytes);
    let length = body.length().filter(|_| prompt.is_none());
    let bytes = length.unwrap_or(text.len() as u64);
    WorkEstimate {
        prompt: bytes / BYTES_PER_TOKEN * pool.prompt_token_us,
        output: pool.base_us + output_tokens * pool.output_token_us,
        prefix: text.get(..PREFIX_BYTES).map(hash),
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    hasher.finish()
}
