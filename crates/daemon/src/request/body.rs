//! The body of a caller's request: its beginning is read before the scheduling, the rest streams.
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

use crate::headers;

/// Time between two parts of a caller's body.
const PART_LIMIT: Duration = Duration::from_secs(10);

/// How bodies are read and sent on.
#[derive(Clone, Copy, Debug)]
pub struct BodyOptions {
    /// Bytes read before the scheduling. A body that is longer can be sent only once.
    pub peek_limit: usize,
    /// How an empty body is framed towards a target.
    pub empty: BodySize,
}

/// Why a body cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyFault {
    /// Longer than the rule allows.
    #[error("body: longer than its rule allows")]
    TooLarge,
    /// The caller stopped sending.
    #[error("body: the caller stopped sending")]
    Incomplete,
}

impl BodyFault {
    /// The reason given to the caller.
    pub fn reason(self) -> RefusalReason {
        match self {
            BodyFault::TooLarge => RefusalReason::BodyTooLarge,
            BodyFault::Incomplete => RefusalReason::BodyIncomplete,
        }
    }
}

struct BodyState {
    /// `None` where the beginning is all.
    rest: Option<Payload>,
    /// Bytes of the rest that are still allowed.
    allowed: usize,
    /// Whether some of the rest was taken, after which the body cannot be sent again.
    taken: bool,
    fault: Option<BodyFault>,
}

/// A body that can be sent again as long as nothing but its beginning was taken.
#[derive(Clone)]
pub struct RequestBody {
    beginning: Bytes,
    state: Rc<RefCell<BodyState>>,
    length: Option<u64>,
    empty: BodySize,
}

impl RequestBody {
    /// Reads the beginning of a request's body; the whole may have `limit` bytes.
    pub async fn read(
        request: &mut Request,
        limit: usize,
        options: BodyOptions,
    ) -> Result<RequestBody, BodyFault> {
        let announced = headers::text(request.headers(), "content-length");
        let announced = announced.and_then(|text| text.parse::<u64>().ok());
        if announced.is_some_and(|length| length > limit as u64) {
            return Err(BodyFault::TooLarge);
        }
        let mut payload = request.take_payload();
        let mut beginning = BytesMut::new();
        let mut ended = false;
        while beginning.len() < options.peek_limit && !ended {
            match tokio::time::timeout(PART_LIMIT, payload.next()).await {
                Ok(Some(Ok(bytes))) => beginning.extend_from_slice(&bytes),
                Ok(None) => ended = true,
                Ok(Some(Err(_))) | Err(_) => return Err(BodyFault::Incomplete),
            }
            if beginning.len() > limit {
                return Err(BodyFault::TooLarge);
            }
        }
        let size = beginning.len();
        let rest = (!ended).then_some(payload);
        let state = BodyState { rest, allowed: limit - size, taken: false, fault: None };
        Ok(RequestBody {
            beginning: beginning.freeze(),
            state: Rc::new(RefCell::new(state)),
            length: if ended { Some(size as u64) } else { announced },
            empty: options.empty,
        })
    }

    /// The bytes read before the scheduling.
    pub fn beginning(&self) -> &Bytes {
        &self.beginning
    }

    /// Whether the beginning is all.
    pub fn is_whole(&self) -> bool {
        self.state.borrow().rest.is_none()
    }

    /// Length of the whole body in bytes, where it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the body can be sent (again).
    pub fn is_intact(&self) -> bool {
        !self.state.borrow().taken
    }

    /// What went wrong while the rest streamed.
    pub fn fault(&self) -> Option<BodyFault> {
        self.state.borrow().fault
    }

    /// The body for one sending.
    pub fn sending(&self) -> BodySending {
        BodySending { body: self.clone(), begun: false }
    }
}

/// One sending of a body.
pub struct BodySending {
    body: RequestBody,
    /// Whether the beginning was handed out.
    begun: bool,
}

impl MessageBody for BodySending {
    type Error = BodyFault;

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
    ) -> Poll<Option<Result<Bytes, BodyFault>>> {
        if !self.begun {
            self.begun = true;
            if !self.body.beginning.is_empty() {
                return Poll::Ready(Some(Ok(self.body.beginning.clone())));
            }
        }
        let mut state = self.body.state.borrow_mut();
        let Some(rest) = state.rest.as_mut() else { return Poll::Ready(None) };
        let polled = Pin::new(rest).poll_next(context);
        state.taken = true;
        match polled {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(Ok(bytes))) => match state.allowed.checked_sub(bytes.len()) {
                Some(allowed) => {
                    state.allowed = allowed;
                    Poll::Ready(Some(Ok(bytes)))
                }
                None => Poll::Ready(Some(Err(state.fail(BodyFault::TooLarge)))),
            },
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(state.fail(BodyFault::Incomplete)))),
        }
    }
}

impl BodyState {
    fn fail(&mut self, fault: BodyFault) -> BodyFault {
        self.fault = Some(fault);
        fault
    }
}
