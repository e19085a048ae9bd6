//! Bounds what the answers of a store hold while they are read.
//!
//! A store decides how long its answers are, and a daemon reads several kinds of objects at a time. An answer of usual
//! size is always read; the bytes beyond that size are shared by all answers, so that several that do not end cannot
//! fill the memory of a small VM together.
//!
//! Owns: the bytes beyond the usual size. Relies on: a small number of calls at a time.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use crate::store::{Error, Result};

/// Size in bytes of an answer that is read whatever others hold: a page of objects, and one more object of its size.
const USUAL_ANSWER: usize = 2 << 20;
/// Bytes of all answers beyond the usual size.
const SURPLUS_LIMIT: usize = 14 << 20;

/// The bytes that the answers of one store hold beyond the usual size.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerBudget(Arc<AtomicUsize>);

impl AnswerBudget {
    /// Begins to count an answer.
    pub fn begin(&self) -> AnswerHold {
        AnswerHold { budget: self.clone(), surplus: 0 }
    }
}

/// Counts one answer until it is dropped.
#[derive(Debug)]
pub(crate) struct AnswerHold {
    budget: AnswerBudget,
    surplus: usize,
}

impl AnswerHold {
    /// Counts an answer that has `size` bytes so far.
    ///
    /// # Errors
    /// Returns [`Error::Protocol`] if the answer must not be read further.
    pub fn grow(&mut self, size: usize) -> Result<()> {
        let more = size.saturating_sub(USUAL_ANSWER).saturating_sub(self.surplus);
        let total = self.budget.0.fetch_add(more, Ordering::Relaxed) + more;
        self.surplus += more;
        match more > 0 && total > SURPLUS_LIMIT {
            true => Err(Error::Protocol(format!(
                "the answer exceeds the size limit: {size} bytes, {total} beyond the usual size in all answers"
            ))),
            false => Ok(()),
        }
    }
}

impl Drop for AnswerHold {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.surplus, Ordering::Relaxed);
    }
}
