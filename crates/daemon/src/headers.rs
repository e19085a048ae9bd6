//! Reads headers of requests and answers, and decides which headers are forwarded.
//!
//! Owns: the header names of the daemon's interface for callers (docs/CALLERS.md). Relies on: nothing.

use std::time::Duration;

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use spdlog::prelude::*;

/// Time in milliseconds for which the caller waits. `Prefer: wait` (RFC 7240) has whole seconds only.
const TIMEOUT_MS: &str = "curlewcleat-timeout-ms";
/// Idempotency key of a request that must not run twice.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of the caller's attempt with this key, counted from 1.
const IDEMPOTENCY_ATTEMPT: &str = "idempotency-attempt";
/// Longest key in bytes: bounds the memory used by a key.
const MAX_KEY_BYTES: usize = 255;
/// Longest time that a caller may request.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1).
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

/// A header value that is malformed or out of range.
#[derive(Debug, PartialEq, Eq)]
pub struct BadHeader;

/// Returns a header's text, or `None` if it is missing or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Sets a header to the bytes of a text. A text that is no valid header value is logged and left out.
pub fn set(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    match HeaderValue::from_bytes(text.as_bytes()) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(error) => {
            warn!("header_left_out", kv: { header = name.as_str(), error = error.to_string() })
        }
    }
}

/// Returns the bearer token (RFC 6750), which may be any bytes.
pub fn bearer_token(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get("authorization")?.as_bytes();
    let (scheme, token) = value.split_at(value.iter().position(|byte| *byte == b' ')?);
    scheme.eq_ignore_ascii_case("bearer".as_bytes()).then(|| token.trim_ascii())
}

/// Returns the time for which the caller waits, or `None` if no header gives it.
pub fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, BadHeader> {
    if let Some(millis) = text(headers, TIMEOUT_MS) {
        let millis: u64 = millis.trim().parse().map_err(|_| BadHeader)?;
        return check_range(Duration::from_millis(millis)).map(Some);
    }
    let Some(preferences) = text(headers, "prefer") else { return Ok(None) };
    let wait =
        preferences.split([',', ';']).filter_map(|part| part.trim().strip_prefix("wait=")).next();
    let Some(wait) = wait else { return Ok(None) };
    let seconds: u64 = wait.trim().parse().map_err(|_| BadHeader)?;
    check_range(Duration::from_secs(seconds)).map(Some)
}

fn check_range(timeout: Duration) -> Result<Duration, BadHeader> {
    if timeout.is_zero() || timeout > MAX_TIMEOUT {
        return Err(BadHeader);
    }
    Ok(timeout)
}

/// Returns the idempotency key of a request and, if given, the caller's attempt number.
pub fn idempotency(headers: &HeaderMap) -> Result<Option<(String, Option<u32>)>, BadHeader> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    // The draft standard writes the key as a quoted string; an unquoted key is accepted as the same key.
    let key = value.to_str().map_err(|_| BadHeader)?.trim().trim_matches('"').to_string();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
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

/// Returns whether a caller's header is forwarded to the target. The caller's token is not.
pub fn is_forwarded_to_target(name: &HeaderName) -> bool {
    !is_hop_by_hop(name)
        && ![header::HOST, header::AUTHORIZATION, header::CONTENT_LENGTH, header::EXPECT]
            .contains(name)
        && name.as_str() != "x-request-id"
        && name.as_str() != "priority"
}

/// Returns whether a target's header is forwarded to the caller.
pub fn is_forwarded_to_caller(name: &HeaderName) -> bool {
    !is_hop_by_hop(name) && *name != header::CONTENT_LENGTH && name.as_str() != "x-request-id"
}

/// Returns whether a header may be forwarded, in either direction.
pub fn may_forward(name: &HeaderName) -> bool {
    !is_hop_by_hop(name)
}

/// Returns whether a caller's header is meant for the daemon and not forwarded.
pub fn is_for_daemon_only(name: &HeaderName) -> bool {
    [header::AUTHORIZATION, header::CONTENT_LENGTH, header::EXPECT].contains(name)
}

/// Returns the headers that the sender's `Connection` header lists as belonging to this connection only.
pub fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let named = headers.get_all(header::CONNECTION).filter_map(|value| value.to_str().ok());
    named.flat_map(|text| text.split(',')).filter_map(|name| name.trim().parse().ok()).collect()
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
}
