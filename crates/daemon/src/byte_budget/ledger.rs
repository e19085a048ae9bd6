//! Counts the bytes that are held by owner and decides what gives way.
//!
//! Inputs: changes of what is held, bodies that callers offer, the progress of readers. No clock, no input or output.
//!
//! The rule: see [`byte_budget`](super). A level is left only [`RETURN_PERCENT`] below its mark, so that a request that
//! ends and another that begins do not change it back and forth.
//!
//! Owns: the sum by owner, the level, the counts of decisions. Relies on: [`ReaderBook`] for the slowest reader.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_targets::ExcessLimit;

use super::answer_intake::{AnswerIntakes, INTAKE_PERCENT, LEAST_INTAKE_PERCENT};
use super::levels::{
    ByteOwner, PressureLevel, END_PERCENT, PAUSE_PERCENT, REFUSE_PERCENT, RETURN_PERCENT,
};
use super::readers::{ReaderBook, ReaderId};
use super::release_rate::ReleaseRate;

/// Share of the VM's memory that may be held for callers and targets. The rest is for the program, its configuration,
/// the lists of targets and peers, the peers' frames, and what the allocator takes beyond the bytes that are counted.
pub const BUDGET_PERCENT: u64 = 70;
/// Size in bytes above which a body counts as large. A smaller one fits into the buffers of its connection, which hold
/// it whether the daemon reads it or not.
pub const LARGE_BODY: u64 = 64 << 10;
/// Share of the budget that a single answer may have waiting for its caller while there is room: an answer of usual
/// length is then read from its target without a pause, however slowly its caller reads.
const CALM_ANSWER_SHARE: u64 = 64;
/// The same while large bodies are refused.
const PRESSED_ANSWER_SHARE: u64 = 1_024;
/// Fewest bytes that an answer may have waiting, so that targets are never read byte by byte.
const MIN_ANSWER_BYTES: u64 = 32 << 10;
/// Bounds of `Retry-After`: the time of a short answer, and a time after which callers with a deadline of ten seconds can
/// still be served.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(3));

/// A body that a caller offers.
#[derive(Clone, Copy, Debug)]
pub struct BodyOffer {
    /// Whether the request is of the lowest tier.
    pub lowest_tier: bool,
    /// Bytes of the body, as far as they are known: the stated length, or what was read so far.
    pub size: u64,
    /// Bytes of it that are not counted yet.
    pub uncounted: u64,
}

/// What happens to an offered body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyDecision {
    /// It is read.
    Read,
    /// It waits until the level falls.
    Wait,
    /// Its request is refused.
    Refuse,
}

/// Counts of decisions since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    /// Bodies that had to wait.
    pub bodies_paused: u64,
    /// Requests refused because of their bodies.
    pub bodies_refused: u64,
    /// Readers that lost their connections because the budget was used up.
    pub readers_ended: u64,
    /// Readers that lost their connections because they stood still.
    pub readers_stalled: u64,
}

/// The bytes that a daemon holds for callers and targets.
#[derive(Debug)]
pub struct ByteLedger {
    budget: u64,
    held: [u64; ByteOwner::ALL.len()],
    total: u64,
    level: PressureLevel,
    readers: ReaderBook,
    intakes: AnswerIntakes,
    released: ReleaseRate,
    /// Counts of decisions.
    pub counts: DecisionCounts,
}

impl ByteLedger {
    /// Creates an empty ledger for a VM with this much memory in bytes.
    pub fn new(memory_limit: u64) -> ByteLedger {
        ByteLedger {
            budget: memory_limit / 100 * BUDGET_PERCENT,
            held: [0; ByteOwner::ALL.len()],
            total: 0,
            level: PressureLevel::Calm,
            readers: ReaderBook::default(),
            intakes: AnswerIntakes::default(),
            released: ReleaseRate::default(),
            counts: DecisionCounts::default(),
        }
    }

    /// Returns the budget in bytes.
    pub fn budget(&self) -> u64 {
        self.budget
    }

    /// Returns all bytes held.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the bytes held for an owner.
    pub fn held(&self, owner: ByteOwner) -> u64 {
        self.held[owner as usize]
    }

    /// Returns the level in force.
    pub fn level(&self) -> PressureLevel {
        self.level
    }

    /// Returns the readers that wait.
    pub fn readers(&self) -> &ReaderBook {
        &self.readers
    }

    /// Counts bytes that are held from now on. Returns the readers that have to end.
    pub fn add(&mut self, now: Moment, owner: ByteOwner, bytes: u64) -> Vec<ReaderId> {
        self.held[owner as usize] += bytes;
        self.total += bytes;
        self.update_level();
        self.end_readers(now)
    }

    /// Returns the readers that have to end now. Called while the level is [`Ending`](PressureLevel::Ending) also where
    /// nothing more is held: a reader may end only after it has waited.
    pub fn end_readers(&mut self, now: Moment) -> Vec<ReaderId> {
        if self.level < PressureLevel::Ending {
            return Vec::new();
        }
        let excess = self.total.saturating_sub(self.mark(END_PERCENT));
        let ended = self.readers.end_slowest(now, excess);
        self.counts.readers_ended += ended.len() as u64;
        ended
    }

    /// Counts bytes that are no longer held.
    pub fn remove(&mut self, now: Moment, owner: ByteOwner, bytes: u64) {
        self.held[owner as usize] -= bytes;
        self.total -= bytes;
        self.released.add(now, bytes);
        self.update_level();
    }

    /// Decides about a body before it is read, or before more of it is read.
    pub fn decide_body(&mut self, offer: BodyOffer) -> BodyDecision {
        let is_large = offer.size > LARGE_BODY;
        let total = self.total.saturating_add(offer.uncounted);
        if is_large && total > self.mark(REFUSE_PERCENT) {
            self.counts.bodies_refused += 1;
            return BodyDecision::Refuse;
        }
        match is_large && offer.lowest_tier && self.level >= PressureLevel::Pausing {
            true => BodyDecision::Wait,
            false => BodyDecision::Read,
        }
    }

    /// Records that a caller's connection has accepted bytes and could not accept others.
    pub fn record_reader(&mut self, now: Moment, reader: ReaderId, accepted: u64, unread: u64) {
        self.readers.record(now, reader, accepted, unread);
    }

    /// Records what is held for a caller that has unread bytes.
    pub fn set_reader_held(&mut self, reader: ReaderId, held: u64) {
        self.readers.set_held(reader, held);
    }

    /// Records that a caller's connection has closed.
    pub fn forget_reader(&mut self, reader: ReaderId) {
        self.readers.forget(reader);
    }

    /// Returns how many bytes of one answer may wait for the caller. The wait for room is bounded by its user, since the
    /// target's answer is not read meanwhile.
    pub fn answer_bound(&self) -> u64 {
        let share = match self.level {
            PressureLevel::Calm | PressureLevel::Pausing => CALM_ANSWER_SHARE,
            PressureLevel::Refusing | PressureLevel::Ending => PRESSED_ANSWER_SHARE,
        };
        (self.budget / share).max(MIN_ANSWER_BYTES)
    }

    /// Counts that an answer of a target holds `held` undelivered bytes in place of `before`. Returns the readers that have to
    /// end.
    ///
    /// # Errors
    /// Returns what prevents it, and counts nothing, if the target may not have that many.
    pub fn resize_intake(
        &mut self,
        now: Moment,
        target: &str,
        before: u64,
        held: u64,
    ) -> Result<Vec<ReaderId>, ExcessLimit> {
        self.intakes.check(target, before, held, self.intake_room())?;
        self.intakes.record(target, before, held);
        match held.checked_sub(before) {
            Some(more) => Ok(self.add(now, ByteOwner::Answer, more)),
            None => {
                self.remove(now, ByteOwner::Answer, before - held);
                Ok(Vec::new())
            }
        }
    }

    /// Returns how many bytes all answers together may hold undelivered: their share of the budget, as far as the rest of
    /// what is held leaves it.
    fn intake_room(&self) -> u64 {
        let others = self.total - self.intakes.total();
        let left = self.mark(END_PERCENT).saturating_sub(others);
        left.clamp(self.mark(LEAST_INTAKE_PERCENT), self.mark(INTAKE_PERCENT))
    }

    /// Returns when a refused body may be accepted: after the time in which the bytes above the pause mark are released
    /// at the pace of the last seconds.
    pub fn retry_after(&self, now: Moment, size: u64) -> Duration {
        let (shortest, longest) = RETRY_AFTER_RANGE;
        let total = self.total.saturating_add(size);
        let excess = total.saturating_sub(self.mark(PAUSE_PERCENT));
        match self.released.per_second(now) {
            0 => longest,
            pace => {
                let millis = excess.saturating_mul(1_000) / pace;
                Duration::from_millis(millis).clamp(shortest, longest)
            }
        }
    }

    fn mark(&self, percent: u64) -> u64 {
        self.budget / 100 * percent
    }

    fn update_level(&mut self) {
        let levels = [PressureLevel::Ending, PressureLevel::Refusing, PressureLevel::Pausing];
        let reached = levels.into_iter().find(|level| {
            let margin = if *level <= self.level { RETURN_PERCENT } else { 0 };
            self.total >= self.mark(level.mark_percent() - margin)
        });
        // Below all marks the level is the default, calm.
        self.level = reached.unwrap_or_default();
    }
}
