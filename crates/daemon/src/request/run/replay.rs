//! Builds the answer that was kept from an earlier attempt with the same idempotency key.
//!
//! Owns: nothing; pure functions. Relies on: what a target answered to the earlier attempt.

use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::StatusCode;
use bytes::Bytes;
use curlewcleat_core::{KeptAnswer, RequestId};

use crate::request::answer::{AnswerContent, CallerAnswer};
use crate::request::problem::REQUEST_ID;

/// Header that marks an answer replayed from an earlier attempt with the same idempotency key.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// Builds the answer that was kept.
pub fn replayed_answer(id: RequestId, kept: KeptAnswer) -> CallerAnswer {
    // Status and content type come from a target's answer. An invalid status becomes 200.
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    // An invalid content type is left out.
    let content_type = HeaderValue::from_str(&kept.content_type).ok();
    let mut headers = vec![(REPLAYED, HeaderValue::from_static("true"))];
    headers.extend(content_type.map(|value| (header::CONTENT_TYPE, value)));
    headers.extend(HeaderValue::from_str(&id.to_string()).ok().map(|value| (REQUEST_ID, value)));
    let content = AnswerContent::Complete(Bytes::from(kept.body));
    CallerAnswer { status, headers, content, close: false }
}
