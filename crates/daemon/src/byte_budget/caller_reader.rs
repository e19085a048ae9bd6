//! A caller's connection as a reader: what it has not read, and whether it has to end.
//!
//! Decides nothing; reports the progress of each write to the ledger.
//!
//! Owns: the bytes counted for one connection. Relies on: a connection that reports each write and checks
//! [`is_ended`](CallerReader::is_ended) before it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::Waker;

use curlewcleat_clock::Moment;
use curlewcleat_core::RequestId;

use super::hold::ByteHold;
use super::levels::ByteOwner;
use super::readers::{ReaderId, CONNECTION_COST};
use super::shared::SharedBudget;

/// The caller's end of a connection, shared by the connection and its requests.
#[derive(Clone)]
pub struct CallerReader(Rc<ReaderState>);

struct ReaderState {
    budget: SharedBudget,
    id: ReaderId,
    ended: Arc<AtomicBool>,
    /// `None` once the connection has closed.
    connection: Cell<Option<ByteHold>>,
    unread: RefCell<ByteHold>,
    /// Bytes of the answer that wait for the connection.
    queued: Cell<u64>,
}

impl CallerReader {
    /// Counts a connection that was accepted.
    pub fn open(budget: &SharedBudget) -> CallerReader {
        let (id, ended) = budget.lock().open_reader();
        CallerReader(Rc::new(ReaderState {
            budget: budget.clone(),
            id,
            ended,
            connection: Cell::new(Some(budget.hold(ByteOwner::Connection, CONNECTION_COST))),
            unread: RefCell::new(budget.hold(ByteOwner::Unread, 0)),
            queued: Cell::default(),
        }))
    }

    /// Returns the budget in which the connection is counted.
    pub fn budget(&self) -> &SharedBudget {
        &self.0.budget
    }

    /// Records the request that the connection serves now, for the log line if it ends.
    pub fn begin_request(&self, request: RequestId) {
        if let Some(link) = self.0.budget.lock().links.get_mut(&self.0.id) {
            link.request = Some(request);
        }
    }

    /// Returns whether the connection has to end.
    pub fn is_ended(&self) -> bool {
        self.0.ended.load(Ordering::Relaxed)
    }

    /// Records a write: the bytes that the kernel accepted, and those that it did not. `waker` wakes the writing task.
    pub fn record_write(&self, accepted: u64, unread: u64, waker: &Waker) {
        let was_waiting = self.0.unread.borrow().bytes() > 0;
        if !was_waiting && unread == 0 {
            return;
        }
        let mut state = self.0.budget.lock();
        state.ledger.record_reader(Moment::now(), self.0.id, accepted, unread);
        state.ledger.set_reader_held(self.0.id, buffer_size(unread) + self.0.queued.get());
        if let Some(link) = state.links.get_mut(&self.0.id) {
            link.waker = (unread > 0).then(|| waker.clone());
        }
        drop(state);
        self.0.unread.borrow_mut().resize(buffer_size(unread));
    }

    /// Records the bytes of the answer that wait for the connection.
    pub fn set_queued(&self, bytes: u64) {
        self.0.queued.set(bytes);
        let unread = self.0.unread.borrow().bytes();
        if unread > 0 {
            self.0.budget.lock().ledger.set_reader_held(self.0.id, unread + bytes);
        }
    }

    /// Ends the connection because its caller stands still.
    pub fn end_stalled(&self) {
        let mut state = self.0.budget.lock();
        state.ledger.counts.readers_stalled += 1;
        state.end_reader(Moment::now(), self.0.id, "stalled");
    }

    /// Releases what is counted for the connection, which has closed.
    pub fn close(self) {
        let mut state = self.0.budget.lock();
        state.ledger.forget_reader(self.0.id);
        state.links.remove(&self.0.id);
        drop(state);
        self.0.unread.borrow_mut().resize(0);
        self.0.connection.take();
    }
}

/// Returns the size of the buffer in which a connection holds unread bytes; it doubles whenever it is full.
fn buffer_size(unread: u64) -> u64 {
    match unread {
        0 => 0,
        _ => unread.next_power_of_two(),
    }
}
