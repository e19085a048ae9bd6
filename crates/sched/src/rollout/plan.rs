//! Decides the next step of an order: its next stage, and what the platform is to store.
//!
//! Inputs: the stage and since when it holds, the verdict on the answers, and the view of the pool of the daemon that
//! decides.
//!
//! The rule: the trial lasts for as long as the order's time leaves besides the move, or until the answers show a fault
//! of the version. The move ends once no request is in flight at the other targets, as reported by all daemons. A write
//! is repeated until the platform lists it.
//!
//! Owns: nothing; these are methods of [`PoolRollout`]. Relies on: [`evidence`](super::evidence) for the verdict.

use std::time::Duration;

use curlewcleat_core::{RolloutStage, Uptime};

use super::evidence::{VersionFault, VersionVerdict};
use super::PoolRollout;

/// Time between two evaluations of the answers.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time for a move: the requests in flight at the other targets are known by then ([`SETTLE_TIME`]), and the
/// final stage is written.
const MIN_MOVE_TIME: Duration = Duration::from_millis(2_500);
/// Maximum share of the order's time for a move, in percent; the rest is for the trial.
const MAX_MOVE_PERCENT: u32 = 30;
/// Time for a move relative to the longest answers, in percent; the excess covers the write that ends the rollout.
const MOVE_TIME_PERCENT: u32 = 125;
/// Time for which a daemon that begins to decide, or to move, waits for the reports of requests in flight at other
/// daemons: longer than a peer may be unresponsive before it counts as lost.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a write that the platform does not list is repeated.
const REWRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a rollout entered its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RolloutReason {
    /// Its targets answer as the others do.
    Sound,
    /// There are no targets of other versions.
    NoOthers,
    /// Its answers show this fault.
    Faulty(VersionFault),
    /// Its answers were too few for a verdict.
    Inconclusive,
    /// The order contains no usable time.
    NoTime,
}

impl RolloutReason {
    /// Returns the code used in logs.
    pub fn code(self) -> &'static str {
        match self {
            RolloutReason::Sound => "sound",
            RolloutReason::NoOthers => "no_others",
            RolloutReason::Faulty(fault) => fault.code(),
            RolloutReason::Inconclusive => "unproved",
            RolloutReason::NoTime => "no_time",
        }
    }
}

/// The view of a pool of the daemon that decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutView {
    /// Since when this daemon decides.
    pub deciding_since: Uptime,
    /// Targets of the version that accept requests.
    pub targets: usize,
    /// Listed targets of other versions.
    pub others: usize,
    /// Requests in flight at the targets of other versions.
    pub others_in_flight: usize,
    /// Requests of the pool since the order that count for the share of the trial, as far as they are known.
    pub requests: u64,
    /// Number of requests that may be risked at a version without a verdict.
    pub slack: u64,
}

/// A step of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// It has entered this stage.
    Stage(RolloutStage, RolloutReason),
    /// The platform is to store this stage.
    Write(RolloutStage),
}

impl PoolRollout {
    /// Decides the next step, at the daemon that decides.
    pub fn step(&mut self, now: Uptime, view: &RolloutView) -> Option<RolloutStep> {
        if let Some((stage, reason)) = self.next_stage(now, view) {
            if self.enter_stage(now, stage) {
                return Some(RolloutStep::Stage(stage, reason));
            }
        }
        self.next_write(now, view).map(|stage| {
            if !self.rollback_pending {
                self.latest_write = Some((stage, now));
            }
            self.rollback_written_at = self.rollback_pending.then_some(now);
            RolloutStep::Write(stage)
        })
    }

    fn next_stage(
        &mut self,
        now: Uptime,
        view: &RolloutView,
    ) -> Option<(RolloutStage, RolloutReason)> {
        if self.stage.is_final() || now < self.evaluated_at + EVALUATION_INTERVAL {
            return None;
        }
        self.evaluated_at = now;
        let Some(time) = self.order.time else {
            return Some((RolloutStage::RolledBack, RolloutReason::NoTime));
        };
        let verdict = self.log.verdict(now);
        if let VersionVerdict::Faulty(fault) = verdict {
            return Some((RolloutStage::RolledBack, RolloutReason::Faulty(fault)));
        }
        if self.stage != RolloutStage::Trial || now < view.deciding_since + SETTLE_TIME {
            return None;
        }
        if view.others == 0 && view.targets > 0 {
            return Some((RolloutStage::Move, RolloutReason::NoOthers));
        }
        if now < self.known_since + self.trial_time(time) {
            return None;
        }
        let has_few_requests = view.requests <= view.slack;
        match verdict {
            VersionVerdict::Sound if view.targets > 0 => {
                Some((RolloutStage::Move, RolloutReason::Sound))
            }
            // So few requests that all of them may be risked at a version without a verdict.
            _ if has_few_requests && view.targets > 0 => {
                Some((RolloutStage::Move, RolloutReason::Sound))
            }
            _ => Some((RolloutStage::RolledBack, RolloutReason::Inconclusive)),
        }
    }

    /// Returns the time for the trial: what the order leaves besides the move.
    fn trial_time(&self, time: Duration) -> Duration {
        let longest = self.log.long_answer();
        let move_time = longest * MOVE_TIME_PERCENT / 100;
        time.saturating_sub(move_time.max(MIN_MOVE_TIME).min(time * MAX_MOVE_PERCENT / 100))
    }

    /// Returns the stage that the platform is to store now.
    fn next_write(&self, now: Uptime, view: &RolloutView) -> Option<RolloutStage> {
        let settled = now >= self.stage_since.max(view.deciding_since) + SETTLE_TIME;
        let stage = match self.stage {
            RolloutStage::Trial if self.has_status => return None,
            RolloutStage::Trial => RolloutStage::Trial,
            RolloutStage::Move if self.rollback_pending => RolloutStage::RolledBack,
            RolloutStage::Move if !settled || view.others_in_flight > 0 => return None,
            RolloutStage::Move => RolloutStage::Completed,
            final_stage => final_stage,
        };
        let is_stored = self.ended.is_some();
        let latest_write_at = match self.rollback_pending {
            true => self.rollback_written_at,
            false => self.latest_write.filter(|(written, _)| *written == stage).map(|(_, at)| at),
        };
        let write_pending = latest_write_at.is_some_and(|at| now < at + REWRITE_INTERVAL);
        (!is_stored && !write_pending).then_some(stage)
    }
}
