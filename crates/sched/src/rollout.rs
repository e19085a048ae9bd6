//! How is a pool moved to targets of another version, and when is the version sent back?
//!
//! Inputs: the operator's order, the versions that the pool's targets show, the answers that all daemons saw of them, and
//! the requests at work there. The rule, for one order:
//! - *Trial*: targets of the version get a small part of the pool's requests ([`exposure`]), so that their answers can be
//!   compared with those of the others ([`evidence`]), for as long as the move leaves time.
//! - *Move*: nothing spoke against it, so they get all new requests. Once nothing is at work at the others it is completed.
//! - *Rolled back*: its answers fail or are late more often than those of the others, or were too few to tell.
//!
//! A version that no order names is held back until it is known that there is none ([`versions`]).
//!
//! [`plan`] has the steps. Owns: how far the order is. Relies on: the node, which tells the other daemons and the platform.

pub mod evidence;
pub mod exposure;
mod measures;
mod plan;
mod samples;
mod statistics;
pub mod versions;

use std::time::Duration;

use curlewcleat_core::{
    AnswerSample, DaemonId, ObjectVersion, RolloutNews, RolloutOrder, RolloutRecord, RolloutStage,
    Uptime,
};

use self::evidence::AnswerLog;
pub use self::plan::{RolloutReason, RolloutSight, RolloutStep};

/// One order and how far it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolRollout {
    name: String,
    order: RolloutOrder,
    revision: ObjectVersion,
    stage: RolloutStage,
    /// Whether the platform keeps the stage, and whether it keeps any of this version.
    ended: Option<RolloutStage>,
    noted: bool,
    /// When the order was known to a daemon first, and since when the stage holds.
    begun: Uptime,
    staged: Uptime,
    log: AnswerLog,
    judged: Uptime,
    written: Option<(RolloutStage, Uptime)>,
    /// Whether the version is to be sent back although the platform may have taken that it is completed.
    recalled: bool,
    /// When that was written last.
    recalled_at: Option<Uptime>,
}

impl PoolRollout {
    /// An order that the platform shows.
    pub fn of_record(now: Uptime, record: RolloutRecord) -> PoolRollout {
        let RolloutRecord { name, order, ended, noted, revision } = record;
        let stage = ended.unwrap_or_default();
        PoolRollout { ended, noted, ..PoolRollout::new(now, now, name, order, stage, revision) }
    }

    /// An order that a peer tells of.
    pub fn of_news(now: Uptime, news: RolloutNews) -> PoolRollout {
        let begun = now.saturating_sub(news.age);
        PoolRollout::new(now, begun, news.name, news.order, news.stage, news.revision)
    }

    fn new(
        now: Uptime,
        begun: Uptime,
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
            noted: false,
            begun,
            staged: now,
            log: AnswerLog::default(),
            judged: Duration::ZERO,
            written: None,
            recalled: false,
            recalled_at: None,
        }
    }

    /// The order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// How far it is.
    pub fn stage(&self) -> RolloutStage {
        self.stage
    }

    /// Whether it is on trial.
    pub fn is_on_trial(&self) -> bool {
        self.stage == RolloutStage::Trial
    }

    /// Whether the platform keeps how it ended, so that nothing is left to decide or to write.
    pub fn is_kept(&self) -> bool {
        self.ended.is_some()
    }

    /// Since when the stage holds.
    pub fn staged(&self) -> Uptime {
        self.staged
    }

    /// Name of the platform's object.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Revision of the platform's object.
    pub fn revision(&self) -> ObjectVersion {
        self.revision
    }

    /// When it was known to any daemon first.
    pub fn begun(&self) -> Uptime {
        self.begun
    }

    /// The answers that were seen.
    pub fn answers(&self) -> &AnswerLog {
        &self.log
    }

    /// Takes in what the platform shows; returns whether the stage has changed. What the platform keeps as ended counts.
    pub fn shown(&mut self, now: Uptime, record: &RolloutRecord) -> bool {
        if record.revision < self.revision {
            return false;
        }
        if record.revision > self.revision {
            // A write that was decided on an earlier one was not taken, or is this one.
            self.written = None;
            self.recalled = false;
        }
        self.revision = record.revision;
        self.order.time = record.order.time;
        self.noted |= record.noted;
        match record.ended {
            Some(ended) => {
                self.ended = Some(ended);
                self.set_stage(now, ended)
            }
            None => false,
        }
    }

    /// Takes in what a peer knows; returns whether the stage has changed.
    pub fn told(&mut self, now: Uptime, news: &RolloutNews) -> bool {
        self.begun = self.begun.min(now.saturating_sub(news.age));
        self.revision = self.revision.max(news.revision);
        news.stage > self.stage && self.ended.is_none() && self.go_to(now, news.stage)
    }

    /// What peers are told.
    pub fn news(&self, now: Uptime) -> RolloutNews {
        RolloutNews {
            name: self.name.clone(),
            order: self.order.clone(),
            stage: self.stage,
            revision: self.revision,
            age: now.saturating_sub(self.begun),
        }
    }

    /// Takes answers in that a daemon has seen.
    pub fn answered(&mut self, now: Uptime, from: &DaemonId, first: u64, samples: &[AnswerSample]) {
        if !self.stage.is_final() {
            self.log.take(now, &self.order.version, from, first, samples);
        }
    }

    /// Goes to a stage that was decided on. Once the platform may have taken that the version is completed, the targets of
    /// others may stop at any moment: then it is only sent back once the platform shows that it has taken that instead.
    fn go_to(&mut self, now: Uptime, stage: RolloutStage) -> bool {
        let may_be_completed =
            self.written.is_some_and(|(written, _)| written == RolloutStage::Completed);
        if stage == RolloutStage::RolledBack && may_be_completed {
            self.recalled = true;
            return false;
        }
        self.set_stage(now, stage)
    }

    fn set_stage(&mut self, now: Uptime, stage: RolloutStage) -> bool {
        if self.stage == stage {
            return false;
        }
        self.stage = stage;
        self.staged = now;
        true
    }
}
