//! Counts connections of callers with bytes that the kernel does not accept yet.
//!
//! For the node, a request has ended once the last part of its answer is passed to the caller's connection. A caller
//! that reads slowly receives the end of the answer later; if the process exits before that, the answer is cut off.
//!
//! Owns: the count of such connections. Relies on: writers that retry a write that was pending.

use std::cell::Cell;
use std::rc::Rc;

/// Number of connections that have bytes to write.
#[derive(Clone, Default)]
pub struct UnwrittenCount(Rc<Cell<usize>>);

impl UnwrittenCount {
    /// Returns the number of connections that have bytes to write.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Returns whether no connection has bytes to write.
    pub fn is_zero(&self) -> bool {
        self.get() == 0
    }

    /// Counts one connection more.
    pub(crate) fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Counts one connection less.
    pub(crate) fn decrement(&self) {
        self.0.set(self.0.get() - 1);
    }
}
