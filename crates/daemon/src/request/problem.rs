//! Writes problem documents (RFC 9457), the body of every refusal.
//!
//! Owns: the format described in docs/CALLERS.md. Relies on: each protocol for statuses and headers.

use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::StatusCode;
use bytes::Bytes;
use curlewcleat_core::{Refusal, RefusalReason, RequestId};
use serde::Serialize;
use spdlog::prelude::*;

use super::answer::{AnswerContent, CallerAnswer};

/// Header with the id of a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

#[derive(Serialize)]
struct ProblemDocument<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    reason: &'a str,
    may_have_run: bool,
    request_id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Builds the answer for a refusal, without the headers that protocols add.
pub fn problem_answer(id: RequestId, status: StatusCode, refusal: &Refusal) -> CallerAnswer {
    let document = ProblemDocument {
        r#type: "about:blank",
        title: status.canonical_reason().unwrap_or("refused"),
        status: status.as_u16(),
        reason: refusal.reason.code(),
        may_have_run: refusal.verdict.may_have_run(),
        request_id: id.to_string(),
        retry_after_ms: refusal.retry_after.map(|wait| wait.as_millis() as u64),
    };
    let body = serde_json::to_vec(&document).unwrap_or_else(|error| {
        error!("problem_not_written", kv: { request = id.to_string(), error = error.to_string() });
        Vec::new()
    });
    let content_type = HeaderValue::from_static("application/problem+json");
    CallerAnswer {
        status,
        headers: vec![(header::CONTENT_TYPE, content_type)],
        content: AnswerContent::Complete(Bytes::from(body)),
        // On an open connection the unread rest of the body would be read as the next request.
        close: matches!(
            refusal.reason,
            RefusalReason::BodyTooLarge | RefusalReason::BodyIncomplete
        ),
    }
}
