//! Passes an answer from the task of its request to the body that the caller's connection writes.
//!
//! Owns: the channel between both, and how an answer that is cut ends. Relies on: the caller's connection dropping the body
//! when it closes, [`AnswerFlow`] for the bytes that wait.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use curlewcleat_targets::BodyFrame;
use futures_util::Stream;
use tokio::sync::{mpsc, oneshot};

use super::answer::{AnswerContent, CallerAnswer, PartsFrame};
use super::answer_flow::{AnswerFlow, STANDSTILL_LIMIT};

/// Parts that may wait for the caller to read them. The queue is short so that a slow caller slows down the target's
/// connection instead of filling this daemon's memory.
const PART_QUEUE: usize = 8;
/// The same where [`AnswerFlow`] bounds their bytes, which it does long before there are as many parts.
const FLOW_PART_QUEUE: usize = 1 << 20;
/// Longest piece in bytes where [`AnswerFlow`] bounds the bytes: a long part must not wait as a whole.
const PIECE_SIZE: usize = 16 << 10;

/// The answer ended before it was complete; the caller's connection is closed too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answer was cut before its end")]
pub struct AnswerCut;

/// The sending end of an answer. An answer that is dropped before [`finish`](AnswerChannel::finish)
/// ends with [`AnswerCut`], so that no caller mistakes a partial answer for a complete one.
pub struct AnswerChannel {
    head_sender: Option<oneshot::Sender<CallerAnswer>>,
    parts: mpsc::Sender<Bytes>,
    /// Bounds the bytes of the parts; `None` without a memory limit.
    flow: Option<AnswerFlow>,
    complete: Rc<Cell<bool>>,
    /// How the end of the answer is marked, once its head was sent.
    frame: Option<PartsFrame>,
}

/// The receiving end: the body of the answer.
pub struct AnswerParts {
    parts: mpsc::Receiver<Bytes>,
    flow: Option<AnswerFlow>,
    complete: Rc<Cell<bool>>,
    ended: bool,
    /// Whether the end of a cut answer was delayed.
    cut_delayed: bool,
}

impl AnswerChannel {
    /// Creates both ends; the head of the answer is sent to `head_sender`. Where there is a `flow`, it bounds the bytes
    /// that wait in place of the number of parts.
    pub fn new(
        head_sender: oneshot::Sender<CallerAnswer>,
        flow: Option<AnswerFlow>,
    ) -> (AnswerChannel, AnswerParts) {
        let queue = if flow.is_some() { FLOW_PART_QUEUE } else { PART_QUEUE };
        let (sender, receiver) = mpsc::channel(queue);
        let complete = Rc::new(Cell::new(false));
        let channel = AnswerChannel {
            head_sender: Some(head_sender),
            parts: sender,
            flow: flow.clone(),
            complete: Rc::clone(&complete),
            frame: None,
        };
        let parts =
            AnswerParts { parts: receiver, flow, complete, ended: false, cut_delayed: false };
        (channel, parts)
    }

    /// Returns whether the head was sent.
    pub fn has_begun(&self) -> bool {
        self.head_sender.is_none()
    }

    /// Returns whether the answer may end where a target's answer has ended whose end is determined by `frame`. The
    /// end of a connection does not prove what a length or a last chunk would state.
    pub fn may_end_with(&self, frame: BodyFrame) -> bool {
        frame != BodyFrame::UntilClose
            || self.frame.is_none_or(|claimed| claimed == PartsFrame::UntilClose)
    }

    /// Sends the head; later calls are ignored.
    pub fn send_head(&mut self, answer: CallerAnswer) {
        if let Some(head_sender) = self.head_sender.take() {
            if let AnswerContent::Parts(frame) = &answer.content {
                self.frame = Some(*frame);
            }
            // If the caller has disconnected, its connection aborts the task of the request.
            let _ = head_sender.send(answer);
        }
    }

    /// Returns the longest time for which a part may wait for the caller, if it may be as long as `stall_limit` where
    /// the bytes that wait are not bounded.
    pub fn part_wait(&self, stall_limit: Duration) -> Duration {
        match self.flow {
            Some(_) => stall_limit.min(STANDSTILL_LIMIT),
            None => stall_limit,
        }
    }

    /// Ends the connection of a caller that stands still, where its unread bytes are counted.
    pub fn end_stalled(&self) {
        if let Some(flow) = &self.flow {
            flow.end_stalled();
        }
    }

    /// Splits off the piece of a part that is sent next: all of it, unless the bytes that wait are bounded.
    pub fn next_piece(&self, part: &mut Bytes) -> Bytes {
        let size = self.flow.as_ref().map_or(part.len(), |_| part.len().min(PIECE_SIZE));
        part.split_to(size)
    }

    /// Sends a piece; waits while the queue is full because the caller does not read.
    pub async fn send_piece(&self, piece: Bytes) {
        let piece = match &self.flow {
            Some(flow) => flow.queue(piece).await,
            None => piece,
        };
        // If the caller has disconnected, its connection aborts the task of the request.
        let _ = self.parts.send(piece).await;
    }

    /// Marks the answer as complete with the parts sent so far.
    pub fn finish(&self) {
        self.complete.set(true);
    }
}

impl Stream for AnswerParts {
    type Item = Result<Bytes, AnswerCut>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.parts.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(part)) => {
                if let Some(flow) = &self.flow {
                    flow.release(part.len());
                }
                Poll::Ready(Some(Ok(part)))
            }
            Poll::Ready(None) if self.complete.get() => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) if !self.cut_delayed => {
                // The connection writes what it has while the answer is pending, and drops it after an error.
                self.cut_delayed = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(Some(Err(AnswerCut)))
            }
        }
    }
}
