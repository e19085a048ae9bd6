//! Reads the parts of a prompt from the head of a request.
//!
//! Owns: nothing; pure functions. Relies on: callers that state the parts; a request without them has no such features.

use actix_http::header::HeaderMap;
use curlewcleat_core::{RequestFeature, SharedParts, TargetPool, PART_LIMIT};
use curlewcleat_store::WireProfile;

use crate::headers;

/// Returns the features of the parts that other prompts may share. The last part of a prompt belongs to the request
/// itself.
pub fn part_features(
    profile: &WireProfile,
    pool: &TargetPool,
    account: Option<&str>,
    head: &HeaderMap,
) -> Vec<RequestFeature> {
    let stated = headers::text(head, profile.prompt_parts);
    let Some((shared, _)) = stated.and_then(|parts| parts.rsplit_once(',')) else {
        return Vec::new();
    };
    let ids: Vec<&str> = shared
        .split(',')
        .map(|part| part.rsplit_once(':').map_or(part, |(id, _)| id).trim())
        .filter(|id| !id.is_empty())
        .take(PART_LIMIT)
        .collect();
    SharedParts { pool: &pool.id, account, ids: &ids }.features()
}
