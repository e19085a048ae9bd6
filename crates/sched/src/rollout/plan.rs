//! What is next for an order: its next stage, and what the platform is to keep.
//!
//! Inputs: the stage and since when it holds, the verdict on the answers, and what the daemon that decides sees of the pool.
//!
//! The rule: the trial lasts for as long as the order's time leaves it beside the move, or until the answers speak against the
//! version. The move ends once nothing is at work at the other targets, by what all daemons have told. What is written is written
//! again until the platform shows it.
//!
//! Owns: nothing; these are methods of [`PoolRollout`]. Relies on: [`evidence`](super::evidence) for the verdict.

use std::time::Duration;

use curlewcleat_core::{RolloutStage, Uptime};

use super::evidence::{VersionFault, VersionVerdict};
use super::PoolRollout;

/// Time between two judgements.
const JUDGE_EVERY: Duration = Duration::from_millis(100);
/// Least time that a move is given: what is at work at the other targets is known by then ([`SETTLE`]), and the end written.
const LEAST_MOVE: Duration = Duration::from_millis(2_500);
/// Time of the order that a move is given at most, in percent; the rest is for the trial.
const MOST_MOVE_PERCENT: u32 = 30;
/// What the longest answers take is exceeded by this, in percent, with the write that ends the roll-out.
const MOVE_MARGIN_PERCENT: u32 = 125;
/// Time for which a daemon that begins to decide, or to move, waits for what others have at work: longer than a peer
/// may be silent before it counts as lost.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Time after which a write that the platform does not show is made again.
const WRITE_AGAIN: Duration = Duration::from_secs(1);

/// Why a roll-out has changed its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RolloutReason {
    /// Its targets answer as the others do.
    Sound,
    /// No other target is left.
    NoOthers,
    /// Its answers speak against it.
    Faulty(VersionFault),
    /// Its answers were too few to tell.
    Unproved,
    /// The order names no usable time.
    NoTime,
}

impl RolloutReason {
    /// The code used in logs.
    pub fn code(self) -> &'static str {
        match self {
            RolloutReason::Sound => "sound",
            RolloutReason::NoOthers => "no_others",
            RolloutReason::Faulty(fault) => fault.code(),
            RolloutReason::Unproved => "unproved",
            RolloutReason::NoTime => "no_time",
        }
    }
}

/// What the daemon that decides sees of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutSight {
    /// Since when it decides.
    pub leads_since: Uptime,
    /// Targets of the version that take requests.
    pub targets: usize,
    /// Targets of other versions that are shown.
    pub others: usize,
    /// Requests at work at these.
    pub others_in_flight: usize,
    /// Requests of the pool since the order that could be at stake, as far as they are known.
    pub requests: u64,
    /// Requests that may go to a version of which nothing is known.
    pub slack: u64,
}

/// What is to be done about a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// It is this far from now on.
    Stage(RolloutStage, RolloutReason),
    /// The platform is to keep this.
    Write(RolloutStage),
}

impl PoolRollout {
    /// Decides what is next, at the daemon that decides.
    pub fn step(&mut self, now: Uptime, sight: &RolloutSight) -> Option<RolloutStep> {
        if let Some((stage, reason)) = self.next_stage(now, sight) {
            if self.go_to(now, stage) {
                return Some(RolloutStep::Stage(stage, reason));
            }
        }
        self.next_write(now, sight).map(|stage| {
            if !self.recalled {
                self.written = Some((stage, now));
            }
            self.recalled_at = self.recalled.then_some(now);
            RolloutStep::Write(stage)
        })
    }

    fn next_stage(
        &mut self,
        now: Uptime,
        sight: &RolloutSight,
    ) -> Option<(RolloutStage, RolloutReason)> {
        if self.stage.is_final() || now < self.judged + JUDGE_EVERY {
            return None;
        }
        self.judged = now;
        let Some(time) = self.order.time else {
            return Some((RolloutStage::RolledBack, RolloutReason::NoTime));
        };
        let verdict = self.log.verdict(now);
        if let VersionVerdict::Faulty(fault) = verdict {
            return Some((RolloutStage::RolledBack, RolloutReason::Faulty(fault)));
        }
        if self.stage != RolloutStage::Trial || now < sight.leads_since + SETTLE {
            return None;
        }
        if sight.others == 0 && sight.targets > 0 {
            return Some((RolloutStage::Move, RolloutReason::NoOthers));
        }
        if now < self.begun + self.trial_time(time) {
            return None;
        }
        let few = sight.requests <= sight.slack;
        match verdict {
            VersionVerdict::Sound if sight.targets > 0 => {
                Some((RolloutStage::Move, RolloutReason::Sound))
            }
            // So few requests that none of them would be too many at a version of which nothing is known.
            _ if few && sight.targets > 0 => Some((RolloutStage::Move, RolloutReason::Sound)),
            _ => Some((RolloutStage::RolledBack, RolloutReason::Unproved)),
        }
    }

    /// Time of the trial: what the order leaves beside the move.
    fn trial_time(&self, time: Duration) -> Duration {
        let longest = self.log.long_answer();
        let of_move = longest * MOVE_MARGIN_PERCENT / 100;
        time.saturating_sub(of_move.max(LEAST_MOVE).min(time * MOST_MOVE_PERCENT / 100))
    }

    /// What the platform is to keep now.
    fn next_write(&self, now: Uptime, sight: &RolloutSight) -> Option<RolloutStage> {
        let settled = now >= self.staged.max(sight.leads_since) + SETTLE;
        let stage = match self.stage {
            RolloutStage::Trial if self.noted => return None,
            RolloutStage::Trial => RolloutStage::Trial,
            RolloutStage::Move if self.recalled => RolloutStage::RolledBack,
            RolloutStage::Move if !settled || sight.others_in_flight > 0 => return None,
            RolloutStage::Move => RolloutStage::Completed,
            ended => ended,
        };
        let kept = self.ended.is_some();
        let latest = match self.recalled {
            true => self.recalled_at,
            false => self.written.filter(|(written, _)| *written == stage).map(|(_, at)| at),
        };
        let under_way = latest.is_some_and(|at| now < at + WRITE_AGAIN);
        (!kept && !under_way).then_some(stage)
    }
}
