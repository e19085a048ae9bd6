//! Headers that the daemon reads, and those that it passes on.
//!
//! Owns: names of the own interface's headers (docs/CALLERS.md). Relies on: nothing.

use std::time::Duration;

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use spdlog::prelude::*;

/// Time in milliseconds for which the caller waits; finer than `Prefer: wait` (RFC 7240).
const TIMEOUT_MS: &str = "curlewcleat-timeout-ms";
/// Key of a request that may not be repeated.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Count of the caller's attempts with one key, from 1.
const IDEMPOTENCY_ATTEMPT: &str = "idempotency-attempt";
/// Longest key in bytes: bounds what a key takes of memory.
const KEY_LIMIT: usize = 255;
/// Longest time that a caller may ask for.
const TIMEOUT_LIMIT: Duration = Duration::from_secs(24 * 3_600);

/// Headers of one connection, never passed on (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a header cannot be used.
#[derive(Debug, PartialEq, Eq)]
pub struct BadHeader;

/// A header's text, `None` where it is missing or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Sets a header. A value that is no header text is left out.
pub fn set(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(error) => {
            warn!("header_left_out", kv: { header = name.as_str(), error = error.to_string() })
        }
    }
}

/// The bearer token (RFC 6750).
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let (scheme, token) = text(headers, "authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// The time for which the caller waits, `None` where it does not say.
pub fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, BadHeader> {
    if let Some(millis) = text(headers, TIMEOUT_MS) {
        let millis: u64 = millis.trim().parse().map_err(|_| BadHeader)?;
        return in_range(Duration::from_millis(millis)).map(Some);
    }
    let Some(preferences) = text(headers, "prefer") else { return Ok(None) };
    let wait =
        preferences.split([',', ';']).filter_map(|part| part.trim().strip_prefix("wait=")).next();
    let Some(wait) = wait else { return Ok(None) };
    let seconds: u64 = wait.trim().parse().map_err(|_| BadHeader)?;
    in_range(Duration::from_secs(seconds)).map(Some)
}

fn in_range(timeout: Duration) -> Result<Duration, BadHeader> {
    if timeout.is_zero() || timeout > TIMEOUT_LIMIT {
        return Err(BadHeader);
    }
    Ok(timeout)
}

/// The key of a request that may not be repeated, with the caller's attempt number.
pub fn idempotency(headers: &HeaderMap) -> Result<Option<(String, Option<u32>)>, BadHeader> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    // The draft standard writes the key as a quoted string; a bare one means the same.
    let key = value.to_str().map_err(|_| BadHeader)?.trim().trim_matches('"').to_string();
    if key.is_empty() || key.len() > KEY_LIMIT {
        return Err(BadHeader);
    }
    let attempt = match headers.get(IDEMPOTENCY_ATTEMPT) {
        None => None,
        Some(value) => Some(parse_attempt(value.to_str().map_err(|_| BadHeader)?)?),
    };
    Ok(Some((key, attempt)))
}

fn parse_attempt(text: &str) -> Result<u32, BadHeader> {
    match text.trim().parse::<u32>() {
        Ok(0) | Err(_) => Err(BadHeader),
        Ok(attempt) => Ok(attempt),
    }
}

/// Whether a caller's header goes on to the target. Its token does not.
pub fn passes_to_target(name: &HeaderName) -> bool {
    !hop_by_hop(name)
        && ![header::HOST, header::AUTHORIZATION, header::CONTENT_LENGTH, header::EXPECT]
            .contains(name)
        && name.as_str() != "x-request-id"
        && name.as_str() != "priority"
}

/// Whether a target's header goes on to the caller.
pub fn passes_to_caller(name: &HeaderName) -> bool {
    !hop_by_hop(name) && *name != header::CONTENT_LENGTH && name.as_str() != "x-request-id"
}

/// Whether a header passes on, in either direction.
pub fn passes_on(name: &HeaderName) -> bool {
    !hop_by_hop(name)
}

/// Whether a caller's header ends at the daemon.
pub fn ends_here(name: &HeaderName) -> bool {
    [header::AUTHORIZATION, header::CONTENT_LENGTH, header::EXPECT].contains(name)
}

/// Headers that the sender names as belonging to this connection only.
pub fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let named = headers.get_all(header::CONNECTION).filter_map(|value| value.to_str().ok());
    named.flat_map(|text| text.split(',')).filter_map(|name| name.trim().parse().ok()).collect()
}

fn hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
}
