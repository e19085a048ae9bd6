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
    let (limit, limit_read) = read_limit(texts(&head.headers, profile.limit));
    let (rest, rest_read) = match turns_away(head.status) {
        true => read_rest(texts(&head.headers, header::RETRY_AFTER.as_str())),
        false => (None, true),
    };
    let leaving = texts(&head.headers, profile.leaving).any(|text| text == LEAVES);
    Some(TargetNotice { leaving, rest, limit, unreadable: !(limit_read && rest_read) })
}

/// Whether a status says that the target takes no request now.
fn turns_away(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

/// The texts of a header; one that is no text is empty.
fn texts<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a str> {
    // What is no text is no number either.
    headers.get_all(name).map(|value| value.to_str().unwrap_or_default().trim())
}

/// The lowest limit, and whether all could be read.
fn read_limit<'a>(texts: impl Iterator<Item = &'a str>) -> (LimitNotice, bool) {
    let mut limit = LimitNotice::Absent;
    let mut read = true;
    for text in texts {
        match text.parse().ok().and_then(RequestRate::per_second) {
            Some(rate) => {
                limit = match limit {
                    LimitNotice::Named(known) => LimitNotice::Named(known.min(rate)),
                    LimitNotice::Absent | LimitNotice::Unreadable => LimitNotice::Named(rate),
                }
            }
            None => read = false,
        }
    }
    match (limit, read) {
        (LimitNotice::Absent, false) => (LimitNotice::Unreadable, false),
        known => known,
    }
}

/// The longest rest, and whether all could be read. A date is no number of seconds.
fn read_rest<'a>(texts: impl Iterator<Item = &'a str>) -> (Option<Duration>, bool) {
    let mut rest = None;
    let mut read = true;
    for text in texts {
        match text.parse().ok().and_then(seconds) {
            Some(time) => rest = rest.max(Some(time)),
            None => read = false,
        }
    }
    (rest, read)
}

fn seconds(seconds: f64) -> Option<Duration> {
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    Some(Duration::from_secs_f64(seconds.min(REST_LIMIT.as_secs_f64())))
}
