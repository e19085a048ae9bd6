//! The status request, which shows whether a target is running.
//!
//! Owns: nothing; pure functions. Relies on: targets that take no request for another instance and run none without an
//! attempt id.

use actix_http::header::HeaderName;
use actix_http::{RequestHead, ResponseHead, Uri};
use curlewcleat_core::TargetEntry;
use curlewcleat_store::WireProfile;

use crate::headers;
use crate::request::liveness::TargetLiveness;

/// Builds the status request to a target.
pub fn status_request(profile: &WireProfile, target: &TargetEntry) -> RequestHead {
    let mut head = RequestHead::default();
    head.uri = Uri::from_static(profile.status_path);
    let instance = HeaderName::from_static(profile.instance);
    headers::set(&mut head.headers, instance, &target.id);
    head
}

/// Returns what the head of an answer shows; `None` for a late answer to an earlier request on the connection, which repeats
/// the attempt id of that request.
pub fn evaluate_status(profile: &WireProfile, head: &ResponseHead) -> Option<TargetLiveness> {
    if headers::text(&head.headers, profile.attempt_id).is_some_and(|attempt| !attempt.is_empty()) {
        return None;
    }
    match head.status.as_u16() == profile.misdirected_status {
        true => Some(TargetLiveness::Replaced),
        false => Some(TargetLiveness::Alive),
    }
}
