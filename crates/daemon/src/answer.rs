//! Answers that the daemon makes itself: problem documents (RFC 9457) and kept answers.

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use curlewcleat_core::{KeptAnswer, Refusal, RefusalReason, RequestId};
use serde::Serialize;

/// Header with the id of a request, on every answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header that marks an answer which an earlier attempt got.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

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

/// The problem document of a refusal.
pub fn problem_body(request: RequestId, status: StatusCode, refusal: &Refusal) -> Vec<u8> {
    let document = ProblemDocument {
        r#type: "about:blank",
        title: status.canonical_reason().unwrap_or("refused"),
        status: status.as_u16(),
        reason: refusal.reason.code(),
        may_have_run: refusal.verdict.may_have_run(),
        request_id: request.to_string(),
        retry_after_ms: refusal.retry_after.map(|wait| wait.as_millis() as u64),
    };
    serde_json::to_vec(&document).unwrap_or_default()
}

/// The answer for a refusal.
pub fn refusal_response(request: RequestId, refusal: &Refusal) -> Response<BoxBody> {
    let status = status_of(refusal.reason);
    let mut response = Response::build(status);
    response.insert_header((header::CONTENT_TYPE, "application/problem+json"));
    response.insert_header((REQUEST_ID, request.to_string()));
    if let Some(wait) = refusal.retry_after {
        // The header counts whole seconds; rounding up never calls the caller back too early.
        let seconds = wait.as_millis().div_ceil(1_000).max(1);
        response.insert_header((header::RETRY_AFTER, seconds.to_string()));
    }
    if matches!(
        refusal.reason,
        RefusalReason::Draining | RefusalReason::BodyTooLarge | RefusalReason::BodyIncomplete
    ) {
        response.force_close();
    }
    response.body(problem_body(request, status, refusal)).map_into_boxed_body()
}

/// The answer that an earlier attempt of the same key got.
pub fn kept_response(request: RequestId, answer: KeptAnswer) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut response = Response::build(status);
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        response.insert_header((header::CONTENT_TYPE, value));
    }
    response.insert_header((REQUEST_ID, request.to_string()));
    response.insert_header((REPLAYED, "true"));
    response.body(answer.body).map_into_boxed_body()
}

fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Unauthorized => StatusCode::UNAUTHORIZED,
        RefusalReason::NoRule => StatusCode::NOT_FOUND,
        RefusalReason::BadHeader | RefusalReason::BodyIncomplete => StatusCode::BAD_REQUEST,
        RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::AccountRate | RefusalReason::AccountQueue => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::KeyInProgress
        | RefusalReason::KeyMayHaveRun
        | RefusalReason::KeyRan
        | RefusalReason::KeyHistoryLost
        | RefusalReason::KeyExpired => StatusCode::CONFLICT,
        RefusalReason::ConnectFailed
        | RefusalReason::TargetClosed
        | RefusalReason::TargetProtocol => StatusCode::BAD_GATEWAY,
        RefusalReason::FirstByteTimeout | RefusalReason::DeadlinePassed => {
            StatusCode::GATEWAY_TIMEOUT
        }
        RefusalReason::NoConfiguration
        | RefusalReason::RateUnknown
        | RefusalReason::ConfigurationStale
        | RefusalReason::Draining
        | RefusalReason::EntryFull
        | RefusalReason::QueueFull
        | RefusalReason::ShedForHigherTier
        | RefusalReason::TierShed
        | RefusalReason::DeadlineUnreachable
        | RefusalReason::WaitTooLong
        | RefusalReason::NoTarget
        | RefusalReason::KeyHomeUnreachable
        | RefusalReason::KeyStoreFull
        | RefusalReason::TargetNotStarted => StatusCode::SERVICE_UNAVAILABLE,
    }
}
