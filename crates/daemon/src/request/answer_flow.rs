//! Bounds the bytes of one answer that wait for the caller's connection.
//!
//! Inputs: parts that arrive from the target, parts that the connection takes. The rule: a part waits while those before
//! it have more than [`answer_bound`](SharedBudget::answer_bound) bytes, for [`STANDSTILL_LIMIT`] at most; then the caller
//! loses its connection, since the target would cut the answer off.
//!
//! Load pattern: callers that read one part in seconds. Answers of usual length are read from their targets at once and
//! wait here, so that targets do not hold them.
//!
//! Owns: the bytes counted for one answer. Relies on: [`CallerReader`] to end the connection.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::byte_budget::{ByteHold, ByteOwner, CallerReader};

/// Longest time for which a target's answer is left unread because its caller does not read. Targets cut off an answer
/// after some seconds.
pub const STANDSTILL_LIMIT: Duration = Duration::from_secs(2);
/// Bytes that a waiting part needs besides its own: its entry in the queue and its allocation.
const PART_COST: u64 = 128;

/// The bytes of one answer that wait for the caller's connection; shared by both ends of the answer's channel.
#[derive(Clone)]
pub struct AnswerFlow(Rc<FlowState>);

struct FlowState {
    reader: CallerReader,
    held: RefCell<ByteHold>,
    released: Notify,
}

impl AnswerFlow {
    /// Creates the flow of an answer to a caller.
    pub fn new(reader: CallerReader) -> AnswerFlow {
        let held = RefCell::new(reader.budget().hold(ByteOwner::Answer, 0));
        AnswerFlow(Rc::new(FlowState { reader, held, released: Notify::new() }))
    }

    /// Waits until a part may be queued, and counts it. The first one never waits. Returns it without the unused rest of
    /// the buffer in which it was assembled, which would not be counted.
    pub async fn queue(&self, part: Bytes) -> Bytes {
        let cost = part.len() as u64 + PART_COST;
        while !self.has_room(cost) {
            self.0.released.notified().await;
        }
        self.0.held.borrow_mut().grow(cost);
        self.report_queued();
        Bytes::copy_from_slice(&part)
    }

    /// Releases a part that the caller's connection has taken.
    pub fn release(&self, bytes: usize) {
        self.0.held.borrow_mut().shrink(bytes as u64 + PART_COST);
        self.report_queued();
        self.0.released.notify_one();
    }

    fn report_queued(&self) {
        self.0.reader.set_queued(self.0.held.borrow().bytes());
    }

    /// Ends the connection of a caller that stands still.
    pub fn end_stalled(&self) {
        self.0.reader.end_stalled();
    }

    fn has_room(&self, cost: u64) -> bool {
        let held = self.0.held.borrow().bytes();
        held == 0 || held + cost <= self.0.reader.budget().answer_bound()
    }
}
