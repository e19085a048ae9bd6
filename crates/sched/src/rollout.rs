//! Moves a pool to targets of another version, and rolls the version back if it is faulty.
//!
//! Inputs: the operator's order, the versions that the pool's targets report, the answers of these targets that all
//! daemons observed, and the requests in flight there. The rule, for one order:
//! - *Trial*: targets of the version get a small share of the pool's requests ([`exposure`]), so that their answers can
//!   be compared with those of the other targets ([`evidence`]), for as long as the move leaves time.
//! - *Move*: no fault was found, so they get all new requests. Once no request is in flight at the other targets the
//!   order is completed.
//! - *Rolled back*: its answers fail or are late more often than those of the others, or were too few for a verdict.
//!
//! A version that no order names is held back until it is known that there is no order for it ([`versions`]).
//!
//! [`plan`] has the steps. Owns: the stage of the order. Relies on: the node, which informs the other daemons and the
//! platform.

pub mod evidence;
pub mod exposure;
mod measures;
mod plan;
mod samples;
mod statistics;
pub mod versions;

use std::time::Duration;

use curlewcleat_core::{
    AnswerSample, DaemonId, ObjectVersion, RolloutOrder, RolloutRecord, RolloutReport,
    RolloutStage, Uptime,
};

use self::evidence::AnswerLog;
pub use self::plan::{RolloutReason, RolloutStep, RolloutView};

/// An order and its stage.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolRollout {
    name: String,
    order: RolloutOrder,
    revision: ObjectVersion,
    stage: RolloutStage,
    /// The final stage that the platform has stored, and whether the platform has stored the trial.
    ended: Option<RolloutStage>,
    has_status: bool,
    /// When any daemon first knew the order, and since when the stage holds.
    known_since: Uptime,
    stage_since: Uptime,
    log: AnswerLog,
    evaluated_at: Uptime,
    latest_write: Option<(RolloutStage, Uptime)>,
    /// Whether the version is to be rolled back although the platform may have stored that it is completed.
    rollback_pending: bool,
    /// When that was last written.
    rollback_written_at: Option<Uptime>,
}

impl PoolRollout {
    /// Returns the state of an order that the platform lists.
    pub fn from_record(now: Uptime, record: RolloutRecord) -> PoolRollout {
        let RolloutRecord { name, order, ended, has_status, revision } = record;
        let stage = ended.unwrap_or(RolloutStage::Trial);
        PoolRollout {
            ended,
            has_status,
            ..PoolRollout::new(now, now, name, order, stage, revision)
        }
    }

    /// Returns the state of an order that a peer reports.
    pub fn from_report(now: Uptime, report: RolloutReport) -> PoolRollout {
        let known_since = now.saturating_sub(report.age);
        PoolRollout::new(now, known_since, report.name, report.order, report.stage, report.revision)
    }

    fn new(
        now: Uptime,
        known_since: Uptime,
        name: String,
        order: RolloutOrder,
        stage: RolloutStage,
        revision: ObjectVersion,
    ) -> PoolRollout {
        PoolRollout {
            name,
            order,
            revision,
            stage,
            ended: None,
            has_status: false,
            known_since,
            stage_since: now,
            log: AnswerLog::default(),
            evaluated_at: Duration::ZERO,
            latest_write: None,
            rollback_pending: false,
            rollback_written_at: None,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the stage.
    pub fn stage(&self) -> RolloutStage {
        self.stage
    }

    /// Returns whether the version is on trial.
    pub fn is_on_trial(&self) -> bool {
        self.stage == RolloutStage::Trial
    }

    /// Returns whether the platform has stored the final stage, so that nothing remains to be decided or written.
    pub fn is_stored(&self) -> bool {
        self.ended.is_some()
    }

    /// Returns since when the stage holds.
    pub fn stage_since(&self) -> Uptime {
        self.stage_since
    }

    /// Returns the name of the platform's object.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the revision of the platform's object.
    pub fn revision(&self) -> ObjectVersion {
        self.revision
    }

    /// Returns when any daemon first knew the order.
    pub fn known_since(&self) -> Uptime {
        self.known_since
    }

    /// Returns the observed answers.
    pub fn answers(&self) -> &AnswerLog {
        &self.log
    }

    /// Merges what the platform lists; returns whether the stage changed. A final stage that the platform has stored
    /// overrides any other.
    pub fn merge_record(&mut self, now: Uptime, record: &RolloutRecord) -> bool {
        if record.revision < self.revision {
            return false;
        }
        if record.revision > self.revision {
            // A write that was based on an earlier revision was rejected, or is this one.
            self.latest_write = None;
            self.rollback_pending = false;
        }
        self.revision = record.revision;
        self.order.time = record.order.time;
        self.has_status |= record.has_status;
        match record.ended {
            Some(ended) => {
                self.ended = Some(ended);
                self.set_stage(now, ended)
            }
            None => false,
        }
    }

    /// Merges a peer's report; returns whether the stage changed.
    pub fn merge_report(&mut self, now: Uptime, report: &RolloutReport) -> bool {
        self.known_since = self.known_since.min(now.saturating_sub(report.age));
        self.revision = self.revision.max(report.revision);
        report.stage > self.stage && self.ended.is_none() && self.enter_stage(now, report.stage)
    }

    /// Returns the report for peers.
    pub fn report(&self, now: Uptime) -> RolloutReport {
        RolloutReport {
            name: self.name.clone(),
            order: self.order.clone(),
            stage: self.stage,
            revision: self.revision,
            age: now.saturating_sub(self.known_since),
        }
    }

    /// Records answers that a daemon observed.
    pub fn record_answers(
        &mut self,
        now: Uptime,
        from: &DaemonId,
        first: u64,
        samples: &[AnswerSample],
    ) {
        if !self.stage.is_final() {
            self.log.record_answers(now, &self.order.version, from, first, samples);
        }
    }

    /// Enters a stage that was decided. Once the platform may have stored that the version is completed, the targets of
    /// other versions may stop at any moment: from then on the version is only rolled back once the platform lists that
    /// it has stored the rollback instead.
    fn enter_stage(&mut self, now: Uptime, stage: RolloutStage) -> bool {
        let may_be_completed =
            self.latest_write.is_some_and(|(written, _)| written == RolloutStage::Completed);
        if stage == RolloutStage::RolledBack && may_be_completed {
            self.rollback_pending = true;
            return false;
        }
        self.set_stage(now, stage)
    }

    fn set_stage(&mut self, now: Uptime, stage: RolloutStage) -> bool {
        if self.stage == stage {
            return false;
        }
        self.stage = stage;
        self.stage_since = now;
        true
    }
}
