//! What a caller gets.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::StatusCode;
use bytes::Bytes;
use curlewcleat_core::{Refusal, RefusalReason, RequestId, Verdict};
use futures_util::Stream;
use tokio::sync::mpsc;

use crate::answer::problem_body;
use crate::answer_stream::AnswerCut;
use crate::headers;

/// Parts that wait for a caller to read them.
const PART_QUEUE: usize = 8;

/// The beginning of an answer, or all of it.
pub(super) struct CallerAnswer {
    pub status: StatusCode,
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The whole body; `None` where parts follow.
    pub body: Option<Bytes>,
    pub close: bool,
}

impl CallerAnswer {
    /// The head of a target's answer, whose parts follow.
    pub fn begin(status: StatusCode, from: &HeaderMap) -> CallerAnswer {
        let headers = from
            .iter()
            .filter(|(name, _)| headers::passes_on(name) && **name != header::CONTENT_LENGTH)
            .map(|(name, value)| (name.clone(), value.clone()));
        CallerAnswer { status, headers: headers.collect(), body: None, close: false }
    }

    /// The whole answer of a target.
    pub fn whole(status: StatusCode, from: &HeaderMap, body: Bytes) -> CallerAnswer {
        CallerAnswer { body: Some(body), ..CallerAnswer::begin(status, from) }
    }

    /// The answer where the process has nothing better to say.
    pub fn cut() -> CallerAnswer {
        CallerAnswer {
            status: StatusCode::BAD_GATEWAY,
            headers: Vec::new(),
            body: Some(Bytes::new()),
            close: true,
        }
    }
}

/// Sends the parts of an answer; full while the caller does not read.
pub(super) struct AnswerParts(mpsc::Sender<Result<Bytes, AnswerCut>>);

/// The receiving end, which is the body of the answer.
pub(super) struct ReceivedParts(mpsc::Receiver<Result<Bytes, AnswerCut>>);

impl AnswerParts {
    /// Both ends.
    pub fn channel() -> (AnswerParts, ReceivedParts) {
        let (sender, receiver) = mpsc::channel(PART_QUEUE);
        (AnswerParts(sender), ReceivedParts(receiver))
    }

    /// Hands a part out; waits while the caller does not read.
    pub async fn send(&self, part: Bytes) {
        // A caller that has gone ends this task by itself.
        let _ = self.0.send(Ok(part)).await;
    }

    /// Ends the answer so that the caller sees that it is not whole.
    pub async fn cut(self) {
        let _ = self.0.send(Err(AnswerCut)).await;
    }
}

impl Stream for ReceivedParts {
    type Item = Result<Bytes, AnswerCut>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(context)
    }
}

/// The answer for a refusal.
pub(super) fn refusal_answer(id: RequestId, refusal: &Refusal) -> CallerAnswer {
    let status = status_of(refusal);
    let mut headers =
        vec![(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"))];
    if let Some(wait) = refusal.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.push((header::RETRY_AFTER, value));
        }
    }
    let unread =
        matches!(refusal.reason, RefusalReason::BodyTooLarge | RefusalReason::BodyIncomplete);
    let body = Some(Bytes::from(problem_body(id, status, refusal)));
    CallerAnswer { status, headers, body, close: unread }
}

/// Statuses that promise that nothing ran are kept for what did not run.
fn status_of(refusal: &Refusal) -> StatusCode {
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
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
