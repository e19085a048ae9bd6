//! A guard that counts bytes while they are held.
//!
//! Decides nothing.
//!
//! Owns: the number of bytes that one holder has. Relies on: [`SharedBudget`] for the sum.

use super::levels::ByteOwner;
use super::shared::SharedBudget;

/// Bytes that are held until this guard is closed or dropped.
pub struct ByteHold {
    budget: SharedBudget,
    owner: ByteOwner,
    bytes: u64,
}

impl ByteHold {
    /// Creates the guard of bytes that are counted already.
    pub(super) fn new(budget: SharedBudget, owner: ByteOwner, bytes: u64) -> ByteHold {
        ByteHold { budget, owner, bytes }
    }

    /// Returns the bytes held.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Holds more bytes.
    pub fn grow(&mut self, bytes: u64) {
        self.bytes += bytes;
        self.budget.add(self.owner, bytes);
    }

    /// Releases some of the bytes.
    pub fn shrink(&mut self, bytes: u64) {
        let released = bytes.min(self.bytes);
        self.bytes -= released;
        self.budget.remove(self.owner, released);
    }

    /// Holds exactly this many bytes.
    pub fn resize(&mut self, bytes: u64) {
        match bytes.checked_sub(self.bytes) {
            Some(0) => {}
            Some(more) => self.grow(more),
            None => self.shrink(self.bytes - bytes),
        }
    }

    /// Releases all bytes.
    pub fn close(self) {}
}

impl Drop for ByteHold {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
