//! Decides how many targets have to state the same deviation before it counts as sound.
//!
//! Load pattern: targets that damage some of their answers. A stream that breaks off at a damaged event goes on at another
//! target, whose answer is short, so that both are damaged alike at the same place in one of some hundred such streams.
//!
//! Owns: which targets have damaged events, and which serve a source. Relies on: its caller for the streams.

use std::collections::VecDeque;

/// Whole streams of a pool after which its targets no longer count as damaging events.
const DAMAGE_STREAMS: u32 = 1_024;
/// Targets that have to state the same where as many serve the source and can be asked.
const AGREEING_TARGETS: usize = 3;
/// The same where fewer serve the source, or no further attempt can be made.
const FEWER_AGREEING_TARGETS: usize = 2;

/// How many targets have to state the same deviation before it counts as sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgreementRule {
    /// This many, one of which is the latest.
    Targets(usize),
    /// No number suffices.
    Never,
}

impl Default for AgreementRule {
    fn default() -> AgreementRule {
        AgreementRule::Targets(FEWER_AGREEING_TARGETS)
    }
}

impl AgreementRule {
    /// Returns whether a deviation that this number of targets has stated counts as sound.
    pub fn is_met(self, targets: usize) -> bool {
        match self {
            AgreementRule::Targets(required) => targets >= required,
            AgreementRule::Never => false,
        }
    }
}

/// Whether targets of a pool have damaged events lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DamageEvidence {
    /// Whole streams until the latest damage no longer counts.
    remaining_streams: u32,
}

impl DamageEvidence {
    /// Records an event that deviated, and in whose place another answer had a sound one.
    pub fn record_damage(&mut self) {
        self.remaining_streams = DAMAGE_STREAMS;
    }

    /// Records a stream that its caller has whole.
    pub fn record_whole(&mut self) {
        self.remaining_streams = self.remaining_streams.saturating_sub(1);
    }

    /// Returns whether targets damage events.
    pub fn is_recent(&self) -> bool {
        self.remaining_streams > 0
    }
}

/// Whole streams of a source without one of a target after which this one no longer counts as serving it.
const MAX_ABSENCE: u64 = 64;

/// A target and the number of the latest whole stream that it ended.
#[derive(Clone, Debug)]
struct ServingTarget {
    id: String,
    latest: u64,
}

/// The latest targets that served whole streams of a source.
#[derive(Clone, Debug, Default)]
pub struct ServingTargets {
    /// At most [`AGREEING_TARGETS`], the latest one last.
    targets: VecDeque<ServingTarget>,
    /// Number of whole streams.
    streams: u64,
}

impl ServingTargets {
    /// Records the target of a whole stream.
    pub fn record(&mut self, target: &str) {
        self.streams += 1;
        let oldest = self.streams.saturating_sub(MAX_ABSENCE);
        self.targets.retain(|known| known.id != target && known.latest >= oldest);
        if self.targets.len() == AGREEING_TARGETS {
            self.targets.pop_front();
        }
        self.targets.push_back(ServingTarget { id: target.to_string(), latest: self.streams });
    }

    /// Returns the rule for deviations of this source.
    pub fn agreement_rule(
        &self,
        damage: DamageEvidence,
        has_further_attempt: bool,
    ) -> AgreementRule {
        if damage.is_recent() {
            return AgreementRule::Never;
        }
        match has_further_attempt && self.is_choice() {
            true => AgreementRule::Targets(AGREEING_TARGETS),
            false => AgreementRule::Targets(FEWER_AGREEING_TARGETS),
        }
    }

    /// Returns whether a third target serves the source beside two that have answered.
    pub fn is_choice(&self) -> bool {
        self.targets.len() >= AGREEING_TARGETS
    }
}
