//! Reads what a caller states about a stream that it takes up again.
//!
//! Owns: nothing; pure functions. Relies on: callers that name the attempt that brought the stream's first event.

use actix_http::header::HeaderMap;
use curlewcleat_store::WireProfile;

use crate::request::admitted::TakeUpHeaders;

/// Longest attempt id in bytes that is looked up.
const ATTEMPT_ID_LIMIT: usize = 256;

/// Returns what the caller states, `None` where it does not take up a stream: it has received no event yet.
pub fn read_take_up(profile: &WireProfile, caller: &HeaderMap) -> Option<TakeUpHeaders> {
    let last_event = caller.get(profile.last_event)?;
    // A value that is no text does not name the beginning of a stream either.
    let last_event = String::from_utf8_lossy(last_event.as_bytes()).trim().to_string();
    if last_event.is_empty() || last_event == "0" {
        return None;
    }
    Some(TakeUpHeaders { begun_as: first_attempt(profile, caller), last_event })
}

/// Returns whether the caller states one position at most: a target may read another one of several than this daemon.
pub fn has_one_position(profile: &WireProfile, caller: &HeaderMap) -> bool {
    let mut stated = caller.get_all(profile.last_event);
    let first = stated.next();
    stated.all(|other| Some(other) == first)
}

/// Returns the attempt that brought the first event, `None` where the caller does not name exactly one.
fn first_attempt(profile: &WireProfile, caller: &HeaderMap) -> Option<String> {
    let mut named = caller.get_all(profile.resumes);
    let attempt = named.next()?.to_str().ok()?.trim();
    let is_usable = !attempt.is_empty() && attempt.len() <= ATTEMPT_ID_LIMIT;
    (is_usable && named.next().is_none()).then(|| attempt.to_string())
}
