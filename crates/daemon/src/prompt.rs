//! What the scheduling reads out of a request's body: prompt size, prefix, asked output.

use std::borrow::Cow;
use std::hash::Hasher;

use curlewcleat_core::{PoolKind, TargetPool, WorkMicros};
use serde::Deserialize;
use siphasher::sip::SipHasher13;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Bytes of a prompt that make its prefix; shorter prompts have none.
const PREFIX_BYTES: usize = 1_024;
/// Tokens assumed where the request does not ask for a number.
const DEFAULT_OUTPUT: u64 = 256;

/// Work of a request as estimated before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Prompt work.
    pub prompt: WorkMicros,
    /// Other work.
    pub output: WorkMicros,
    /// Hash of the prompt's beginning.
    pub prefix: Option<u64>,
}

#[derive(Deserialize)]
struct PromptFields<'a> {
    #[serde(borrow, default)]
    prompt: Option<Cow<'a, str>>,
    #[serde(default)]
    max_tokens: Option<u64>,
}

/// Estimates the work of a request. `peeked` is the beginning of its body, `length` the whole
/// body's length where it is known.
pub fn estimate(
    pool: &TargetPool,
    peeked: &[u8],
    whole: bool,
    length: Option<u64>,
) -> WorkEstimate {
    if pool.kind == PoolKind::Service {
        return WorkEstimate { prompt: 0, output: pool.base_us, prefix: None };
    }
    let fields = if whole { serde_json::from_slice::<PromptFields<'_>>(peeked).ok() } else { None };
    let output_tokens =
        fields.as_ref().and_then(|fields| fields.max_tokens).unwrap_or(DEFAULT_OUTPUT);
    let prompt = fields.as_ref().and_then(|fields| fields.prompt.as_deref());
    let text = prompt.map_or(peeked, str::as_bytes);
    let bytes =
        if prompt.is_some() { text.len() as u64 } else { length.unwrap_or(text.len() as u64) };
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
