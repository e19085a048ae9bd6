//! Reads the beginning of a caller's body before scheduling and streams the rest to the target.
//!
//! Owns: the bytes read so far and the caller's payload. Relies on: nothing; the limits come from the
//! request's rule and protocol.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::{HttpMessage, Payload, Request};
use bytes::{Bytes, BytesMut};
use curlewcleat_core::RefusalReason;
use futures_util::{Stream, StreamExt};

use super::body_intake::BodyIntake;
use crate::byte_budget::ByteHold;
use crate::headers;

/// Longest time between two parts of a caller's body.
const PART_LIMIT: Duration = Duration::from_secs(10);

/// How bodies are read and forwarded.
#[derive(Clone, Copy, Debug)]
pub struct BodyOptions {
    /// Bytes read before scheduling. A longer body can be sent only once.
    pub peek_limit: usize,
    /// Body size with which an empty body is sent to a target.
    pub empty: BodySize,
}

/// Why a body cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// Longer than the rule allows.
    #[error("request body is longer than its rule allows")]
    TooLarge,
    /// The caller stopped sending before the end.
    #[error("caller stopped sending the request body before its end")]
    Incomplete,
    /// The daemon's memory has no room for it.
    #[error("no memory for the request body")]
    NoRoom,
}

impl BodyError {
    /// Returns the refusal reason that the caller gets.
    pub fn reason(self) -> RefusalReason {
        match self {
            BodyError::TooLarge => RefusalReason::BodyTooLarge,
            BodyError::Incomplete => RefusalReason::BodyIncomplete,
            BodyError::NoRoom => RefusalReason::EntryFull,
        }
    }
}

struct BodyState {
    /// `None` where the beginning is the complete body.
    rest: Option<Payload>,
    /// Bytes that the rest may still have.
    allowed: usize,
    /// Whether reading the rest has started, after which the body cannot be sent again.
    rest_started: bool,
    error: Option<BodyError>,
    /// Counts the beginning; `None` without a memory limit.
    _held: Option<ByteHold>,
}

/// A body that can be sent again as long as only its beginning was read.
#[derive(Clone)]
pub struct RequestBody {
    beginning: Bytes,
    state: Rc<RefCell<BodyState>>,
    length: Option<u64>,
    empty: BodySize,
}

impl RequestBody {
    /// Reads the beginning of a request's body; the complete body may have `limit` bytes. Where there is an `intake`, it
    /// decides whether the body is read; one that it refuses at once stays unread.
    pub async fn read(
        request: &mut Request,
        limit: usize,
        options: BodyOptions,
        intake: Option<&BodyIntake>,
    ) -> Result<RequestBody, BodyError> {
        let stated_length = stated_length(request);
        if stated_length.is_some_and(|length| length > limit as u64) {
            return Err(BodyError::TooLarge);
        }
        // A chunked body states no length; it is counted as it arrives.
        let size = stated_length.unwrap_or_default().min(options.peek_limit as u64);
        let mut held = match intake {
            Some(intake) => Some((intake, intake.admit(size).await?)),
            None => None,
        };
        let mut payload = request.take_payload();
        let (beginning, ended) =
            read_beginning(&mut payload, limit, options.peek_limit, &mut held).await?;
        let size = beginning.len();
        let rest = (!ended).then_some(payload);
        let _held = held.map(|(_, held)| held);
        let state =
            BodyState { rest, allowed: limit - size, rest_started: false, error: None, _held };
        Ok(RequestBody {
            beginning: beginning.freeze(),
            state: Rc::new(RefCell::new(state)),
            length: if ended { Some(size as u64) } else { stated_length },
            empty: options.empty,
        })
    }

    /// Returns the bytes read before scheduling.
    pub fn beginning(&self) -> &Bytes {
        &self.beginning
    }

    /// Returns whether the complete body was read before scheduling.
    pub fn is_fully_read(&self) -> bool {
        self.state.borrow().rest.is_none()
    }

    /// Returns the length of the complete body in bytes, if it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns whether the body can be sent, or sent again.
    pub fn can_be_sent(&self) -> bool {
        !self.state.borrow().rest_started
    }

    /// Returns the error that occurred while the rest was streamed.
    pub fn error(&self) -> Option<BodyError> {
        self.state.borrow().error
    }

    /// Returns the body as a stream for one attempt.
    pub fn outgoing(&self) -> OutgoingBody {
        OutgoingBody { body: self.clone(), beginning_sent: false }
    }
}

/// Returns the length that the caller states for the body, if it does.
pub fn stated_length(request: &Request) -> Option<u64> {
    headers::text(request.headers(), "content-length")?.parse().ok()
}

/// Reads a body until `peek_limit` or its end, and returns what was read and whether it has ended. What is read is counted
/// in `held`.
async fn read_beginning(
    payload: &mut Payload,
    limit: usize,
    peek_limit: usize,
    held: &mut Option<(&BodyIntake, ByteHold)>,
) -> Result<(BytesMut, bool), BodyError> {
    let mut beginning = BytesMut::new();
    let mut ended = false;
    while beginning.len() < peek_limit && !ended {
        match tokio::time::timeout(PART_LIMIT, payload.next()).await {
            Ok(Some(Ok(bytes))) => beginning.extend_from_slice(&bytes),
            Ok(None) => ended = true,
            Ok(Some(Err(_))) | Err(_) => return Err(BodyError::Incomplete),
        }
        if beginning.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if let Some((intake, held)) = held {
            intake.grow(held, beginning.len() as u64)?;
        }
    }
    Ok((beginning, ended))
}

/// The body of one attempt.
pub struct OutgoingBody {
    body: RequestBody,
    /// Whether the beginning was sent.
    beginning_sent: bool,
}

impl MessageBody for OutgoingBody {
    type Error = BodyError;

    fn size(&self) -> BodySize {
        match self.body.length {
            Some(0) => self.body.empty,
            Some(length) => BodySize::Sized(length),
            None => BodySize::Stream,
        }
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        if !self.beginning_sent {
            self.beginning_sent = true;
            if !self.body.beginning.is_empty() {
                return Poll::Ready(Some(Ok(self.body.beginning.clone())));
            }
        }
        let mut state = self.body.state.borrow_mut();
        let Some(rest) = state.rest.as_mut() else { return Poll::Ready(None) };
        let polled = Pin::new(rest).poll_next(context);
        state.rest_started = true;
        match polled {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(Ok(bytes))) => match state.allowed.checked_sub(bytes.len()) {
                Some(allowed) => {
                    state.allowed = allowed;
                    Poll::Ready(Some(Ok(bytes)))
                }
                None => Poll::Ready(Some(Err(state.fail(BodyError::TooLarge)))),
            },
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(state.fail(BodyError::Incomplete)))),
        }
    }
}

impl BodyState {
    fn fail(&mut self, error: BodyError) -> BodyError {
        self.error = Some(error);
        error
    }
}
