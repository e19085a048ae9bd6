//! Reads the notices of a target from the headers of an answer, with the header names of a fleet's platform.
//!
//! Rules for invalid values: one that is not a number, negative, infinite or empty is ignored, and the notice is marked
//! as unreadable for the operators. A rest is shortened to [`REST_LIMIT`], so that only the notice that it is leaving
//! excludes a target permanently. Of several limits or numbers of refusals the lowest applies, of several rests the longest.
//!
//! Owns: these rules. Relies on: [`WireProfile`] for the header names.

use std::time::Duration;

use actix_http::header::{self, HeaderMap};
use actix_http::{ResponseHead, StatusCode};
use curlewcleat_core::{BrittleNotice, LimitNotice, RequestRate, TargetNotice};
use curlewcleat_store::WireProfile;

/// Longest rest. A target that requests a longer one gets requests again after this time.
const REST_LIMIT: Duration = Duration::from_secs(300);
/// Header value of a target that is leaving.
const LEAVING_VALUE: &str = "1";

/// Reads the notice of the intended target; `None` if another target has answered.
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
    let (rests, rests_read) = match refuses_requests(head.status) {
        true => read_values(&head.headers, header::RETRY_AFTER.as_str(), seconds),
        false => (Vec::new(), true),
    };
    let rest = rests.into_iter().max();
    let leaving = header_texts(&head.headers, profile.leaving).any(|text| text == LEAVING_VALUE);
    let (borne, borne_read) = read_values(&head.headers, profile.brittle, refusals);
    let brittle = match borne.into_iter().min() {
        Some(borne) => BrittleNotice::Stated(borne),
        None if borne_read => BrittleNotice::Absent,
        None => BrittleNotice::Unreadable,
    };
    let unreadable = !(limits_read && rests_read && borne_read);
    Some(TargetNotice { leaving, rest, limit, brittle, unreadable })
}

/// Returns whether a status means that the target accepts no requests now. 429 is not one: it concerns the single
/// request or its account.
fn refuses_requests(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
}

/// Returns the values of a header as text; a value that is not text becomes empty.
fn header_texts<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a str> {
    // An empty text is not a number, so it counts as unreadable.
    headers.get_all(name).map(|value| value.to_str().unwrap_or_default().trim())
}

/// Returns the readable values of a header, and whether all values are readable.
fn read_values<T>(
    headers: &HeaderMap,
    name: &str,
    read: impl Fn(f64) -> Option<T>,
) -> (Vec<T>, bool) {
    let mut values = Vec::new();
    let mut all_read = true;
    for text in header_texts(headers, name) {
        match text.parse().ok().and_then(&read) {
            Some(value) => values.push(value),
            None => all_read = false,
        }
    }
    (values, all_read)
}

/// Converts a value to a number of refused requests, rounded down; `None` for a negative or infinite value.
fn refusals(value: f64) -> Option<u32> {
    let is_valid = value.is_finite() && value >= 0.0;
    // A value beyond the range is more than any target turns away.
    is_valid.then_some(value as u32)
}

/// Converts seconds to a rest of at most [`REST_LIMIT`]; `None` for a negative or infinite value.
fn seconds(seconds: f64) -> Option<Duration> {
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    Some(Duration::from_secs_f64(seconds.min(REST_LIMIT.as_secs_f64())))
}
