//! What a target says of itself in the head of an answer, as a fleet's platform names it.
//!
//! The rules for values that cannot be meant: what is no number, below zero, infinite or empty says nothing, and the
//! operators are told. A rest is cut at [`REST_LIMIT`], so that no word but leaving shuts a target out for good. Of several
//! limits the lowest counts, of several rests the longest.
//!
//! Owns: these rules. Relies on: [`WireProfile`] for the names.

use std::time::Duration;

use actix_http::header::{self, HeaderMap};
use actix_http::{ResponseHead, StatusCode};
use curlewcleat_core::{LimitNotice, RequestRate, TargetNotice};
use curlewcleat_store::WireProfile;

/// Longest rest. A target that wants more is asked again after that time.
const REST_LIMIT: Duration = Duration::from_secs(300);
/// What a target that leaves says.
const LEAVES: &str = "1";

/// What the head of an answer says of the target that was meant; `None` where another one has answered.
pub fn read_notice(profile: &WireProfile, head: &ResponseHead) -> Option<TargetNotice> {
    if head.status.as_u16() == profile.misdirected_status {
        return None;
    }
    let (limits, limits_read) = read_values(&head.headers, profile.limit, RequestRate::per_second);
    let limit = match limits.into_iter().min() {
        Some(rate) => LimitNotice::Stated(rate),
        None if limits_read => LimitNotice::Absent,
        None => LimitNotice::Unreadable,
    };
    let (rests, rests_read) = match turns_away(head.status) {
        true => read_values(&head.headers, header::RETRY_AFTER.as_str(), seconds),
        false => (Vec::new(), true),
    };
    let rest = rests.into_iter().max();
    let leaving = texts(&head.headers, profile.leaving).any(|text| text == LEAVES);
    Some(TargetNotice { leaving, rest, limit, unreadable: !(limits_read && rests_read) })
}

/// Whether a status says that the target takes no request now. That one request is one too many speaks of that request or its
/// account.
fn turns_away(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
}

/// The texts of a header; one that is no text is empty.
fn texts<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a str> {
    // What is no text is no number either.
    headers.get_all(name).map(|value| value.to_str().unwrap_or_default().trim())
}

/// The values of a header that can be read, and whether all can.
fn read_values<T>(
    headers: &HeaderMap,
    name: &str,
    read: impl Fn(f64) -> Option<T>,
) -> (Vec<T>, bool) {
    let mut values = Vec::new();
    let mut all_read = true;
    for text in texts(headers, name) {
        match text.parse().ok().and_then(&read) {
            Some(value) => values.push(value),
            None => all_read = false,
        }
    }
    (values, all_read)
}

/// A time in seconds, at most [`REST_LIMIT`]; `None` for what is none.
fn seconds(seconds: f64) -> Option<Duration> {
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    Some(Duration::from_secs_f64(seconds.min(REST_LIMIT.as_secs_f64())))
}
