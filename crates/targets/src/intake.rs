//! Counts what has been read of answers and cannot be delivered yet.
//!
//! A target decides how much it sends before a head ends, an event is complete or a record has its last byte. Each of
//! these is bounded by itself, but many of them at their bounds need more memory than a small VM has.
//!
//! Owns: the bytes counted for one answer. Relies on: [`AnswerIntake`] for the decision.

use std::fmt;
use std::rc::Rc;

use crate::error::{AnswerExcess, ExcessForm, ExcessLimit};

/// Undelivered bytes of an answer up to which none are counted: usual heads, events and records are delivered without it.
pub const UNCOUNTED_BYTES: u64 = 4 << 10;

/// Decides how many bytes of answers this process may hold before they can be delivered.
pub trait AnswerIntake {
    /// Counts that an answer of the target at `address` holds `held` bytes in place of `before`.
    ///
    /// # Errors
    /// Returns what prevents it, and counts nothing, if it may not hold that many.
    fn resize(&self, address: &str, before: u64, held: u64) -> Result<(), ExcessLimit>;
}

/// The undelivered bytes of one answer. They are no longer counted once this guard is dropped.
pub struct IntakeHold {
    /// `None` without a memory limit.
    intake: Option<Rc<dyn AnswerIntake>>,
    address: String,
    bytes: u64,
}

impl IntakeHold {
    pub(crate) fn new(intake: Option<Rc<dyn AnswerIntake>>, address: &str) -> IntakeHold {
        IntakeHold { intake, address: address.to_string(), bytes: 0 }
    }

    /// Counts this many undelivered bytes if they are more than [`UNCOUNTED_BYTES`]; `form` names what they are a part of.
    ///
    /// # Errors
    /// Returns an error if the target may not have that many; fewer are always allowed.
    pub fn resize(&mut self, bytes: u64, form: ExcessForm) -> Result<(), AnswerExcess> {
        let Some(intake) = &self.intake else { return Ok(()) };
        let counted = if bytes > UNCOUNTED_BYTES { bytes } else { 0 };
        if counted == self.bytes {
            return Ok(());
        }
        let resized = intake.resize(&self.address, self.bytes, counted);
        resized.map_err(|limit| AnswerExcess { form, bytes, limit })?;
        self.bytes = counted;
        Ok(())
    }

    /// Stops counting.
    pub fn close(self) {}
}

impl fmt::Debug for IntakeHold {
    fn fmt(&self, form: &mut fmt::Formatter<'_>) -> fmt::Result {
        form.debug_struct("IntakeHold")
            .field("address", &self.address)
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}

impl Drop for IntakeHold {
    fn drop(&mut self) {
        if let Some(intake) = self.intake.take().filter(|_| self.bytes > 0) {
            // Fewer bytes are always allowed.
            let _ = intake.resize(&self.address, self.bytes, 0);
        }
    }
}

/// Returns the size of a buffer that doubles whenever it is full.
pub fn buffer_size(bytes: usize) -> u64 {
    match bytes {
        0 => 0,
        _ => bytes.next_power_of_two() as u64,
    }
}
