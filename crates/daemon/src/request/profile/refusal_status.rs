//! The status of a refusal.
//!
//! Owns: nothing; a pure function. Relies on: nothing.

use actix_http::StatusCode;
use curlewcleat_core::{Refusal, RefusalReason, Verdict};

/// Returns the status of a refusal. Statuses that imply that nothing ran are used only for requests that did not run.
pub fn status_of(refusal: &Refusal) -> StatusCode {
    if refusal.verdict != Verdict::NotRun {
        return match refusal.reason {
            RefusalReason::DeadlinePassed | RefusalReason::FirstByteTimeout => {
                StatusCode::GATEWAY_TIMEOUT
            }
            _ => StatusCode::BAD_GATEWAY,
        };
    }
    match refusal.reason {
        RefusalReason::Unauthorized => StatusCode::UNAUTHORIZED,
        RefusalReason::NoRule => StatusCode::NOT_FOUND,
        RefusalReason::BadHeader | RefusalReason::BodyIncomplete => StatusCode::BAD_REQUEST,
        RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::AccountRate => StatusCode::TOO_MANY_REQUESTS,
        // The caller must change the request rather than retry it.
        RefusalReason::RequestLethal => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
