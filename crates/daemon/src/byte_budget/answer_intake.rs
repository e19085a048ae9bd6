//! Decides how many undelivered bytes the answers of each target may have.
//!
//! Undelivered bytes are those that a target has sent and that cannot be passed on yet: heads and events that have not
//! ended, and records that are buffered until they are complete. Targets decide their number.
//!
//! The rule, a dynamic threshold: the undelivered bytes of one target may not exceed what is left of the room for all of
//! them. A target alone gets half of the room, each of `n` targets that take all they can gets a part of `n + 1`, and one
//! part is always left. So faulty targets end their own answers, and others still find room. A target is at fault only if no
//! other one holds more: where callers or other targets use the room, an answer that ends says nothing about its target.
//!
//! Load pattern: some targets that send without end on all their connections, beside sound ones with answers of up to the
//! size limit.
//!
//! Owns: the undelivered bytes by target. Relies on: holders that release what they hold.

use std::collections::HashMap;

use curlewcleat_targets::ExcessLimit;

use super::levels::END_PERCENT;

/// Share of the budget that undelivered bytes may have. More than half is left for bodies and for slow callers.
pub const INTAKE_PERCENT: u64 = 40;
/// The same where callers hold nearly all of the budget: the part that no caller may use.
pub const LEAST_INTAKE_PERCENT: u64 = 100 - END_PERCENT;

/// Undelivered bytes of answers, by the address of their target.
#[derive(Debug, Default)]
pub struct AnswerIntakes {
    held: HashMap<String, u64>,
    total: u64,
}

impl AnswerIntakes {
    /// Returns the undelivered bytes of all answers.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Decides whether an answer of a target may hold `held` bytes in place of `before`, where all undelivered bytes have
    /// `room`.
    ///
    /// # Errors
    /// Returns what prevents it: the share of the target if no other one holds more, otherwise the memory.
    pub fn check(
        &self,
        target: &str,
        before: u64,
        held: u64,
        room: u64,
    ) -> Result<(), ExcessLimit> {
        let more = held.saturating_sub(before);
        if more == 0 {
            return Ok(());
        }
        let of_target = self.of_target(target) + more;
        if of_target <= room.saturating_sub(self.total + more) {
            return Ok(());
        }
        match self.held.values().all(|of_other| *of_other <= of_target) {
            true => Err(ExcessLimit::Share),
            false => Err(ExcessLimit::Memory),
        }
    }

    /// Counts that an answer of a target holds `held` bytes in place of `before`.
    pub fn record(&mut self, target: &str, before: u64, held: u64) {
        let remaining = self.of_target(target) + held - before;
        self.total = self.total + held - before;
        match remaining {
            0 => drop(self.held.remove(target)),
            _ => drop(self.held.insert(target.to_string(), remaining)),
        }
    }

    fn of_target(&self, target: &str) -> u64 {
        // A target that is not listed has no undelivered bytes.
        self.held.get(target).copied().unwrap_or(0)
    }
}
