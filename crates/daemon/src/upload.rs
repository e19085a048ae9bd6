//! The body of a caller's request: its beginning is read for the scheduling, the rest streams.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::Payload;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};

/// Bytes read before the scheduling.
const PEEK_LIMIT: usize = 64 << 10;
/// Time between two parts of a caller's body.
const PART_LIMIT: Duration = Duration::from_secs(10);

/// Why a body cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadFault {
    /// Longer than allowed.
    TooLarge,
    /// The caller stopped sending.
    Incomplete,
}

impl std::fmt::Display for UploadFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "upload: {self:?}")
    }
}

impl std::error::Error for UploadFault {}

struct UploadState {
    peeked: VecDeque<Bytes>,
    rest: Option<Payload>,
    /// Bytes of the rest that are still allowed.
    allowed: usize,
    /// Whether some of the rest was taken, after which the body cannot be sent again.
    taken: bool,
    fault: Option<UploadFault>,
}

/// A body that can be sent again as long as nothing but its beginning was taken.
#[derive(Clone)]
pub struct CallerUpload {
    state: Rc<RefCell<UploadState>>,
    length: Option<u64>,
}

impl CallerUpload {
    /// Reads the beginning of a body. `length` is what the caller announced.
    pub async fn peek(
        mut payload: Payload,
        length: Option<u64>,
        limit: usize,
    ) -> Result<CallerUpload, UploadFault> {
        if length.is_some_and(|length| length > limit as u64) {
            return Err(UploadFault::TooLarge);
        }
        let mut peeked = VecDeque::new();
        let mut size = 0;
        let mut ended = false;
        while size < PEEK_LIMIT && !ended {
            match tokio::time::timeout(PART_LIMIT, payload.next()).await {
                Ok(Some(Ok(bytes))) => {
                    size += bytes.len();
                    peeked.push_back(bytes);
                }
                Ok(None) => ended = true,
                Ok(Some(Err(_))) | Err(_) => return Err(UploadFault::Incomplete),
            }
            if size > limit {
                return Err(UploadFault::TooLarge);
            }
        }
        let length = if ended { Some(size as u64) } else { length };
        let rest = (!ended).then_some(payload);
        let state = UploadState { peeked, rest, allowed: limit - size, taken: false, fault: None };
        Ok(CallerUpload { state: Rc::new(RefCell::new(state)), length })
    }

    /// The beginning in one piece, and whether it is all.
    pub fn beginning(&self) -> (Vec<u8>, bool) {
        let state = self.state.borrow();
        (state.peeked.iter().flatten().copied().collect(), state.rest.is_none())
    }

    /// Length of the whole body, where it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the body can be sent (again).
    pub fn intact(&self) -> bool {
        !self.state.borrow().taken
    }

    /// What went wrong while the rest streamed.
    pub fn fault(&self) -> Option<UploadFault> {
        self.state.borrow().fault
    }

    /// The body for one sending.
    pub fn body(&self) -> UploadBody {
        UploadBody { upload: self.clone(), next: 0 }
    }
}

/// One sending of a body.
pub struct UploadBody {
    upload: CallerUpload,
    next: usize,
}

impl MessageBody for UploadBody {
    type Error = UploadFault;

    fn size(&self) -> BodySize {
        match self.upload.length {
            Some(0) => BodySize::None,
            Some(length) => BodySize::Sized(length),
            None => BodySize::Stream,
        }
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, UploadFault>>> {
        let shared = Rc::clone(&self.upload.state);
        let mut state = shared.borrow_mut();
        if let Some(bytes) = state.peeked.get(self.next).cloned() {
            self.next += 1;
            return Poll::Ready(Some(Ok(bytes)));
        }
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
                None => Poll::Ready(Some(Err(fail(&mut state, UploadFault::TooLarge)))),
            },
            Poll::Ready(Some(Err(_))) => {
                Poll::Ready(Some(Err(fail(&mut state, UploadFault::Incomplete))))
            }
        }
    }
}

fn fail(state: &mut UploadState, fault: UploadFault) -> UploadFault {
    state.fault = Some(fault);
    fault
}
