//! A roll-out before two daemons that may be cut off from each other: what the version gets, and how it ends.
//!
//! Each daemon has the product's [`PoolVersions`] and [`TrialShare`]. Whoever believes to schedule decides, in any way; words
//! between daemons, reads of the platform and writes to it come at any later time, or never. A move is completed once the words
//! of it have had time to reach the other daemon, if it is in reach.

use std::time::Duration;

use curlewcleat_core::{RolloutOrder, RolloutRecord, RolloutReport, RolloutStage, Uptime};
use curlewcleat_sched::{
    PoolVersions, RateRole, RateShare, ReportedVersion, RolloutLimits, TrialShare, VersionAccess,
};

use crate::explore::SpecModel;

/// Daemons of the model; the first one schedules where it reaches the other.
const DAEMONS: usize = 2;
const NOW: Uptime = Duration::from_secs(100);
/// The part of all requests that the version may get, in thousandths, and requests beyond it.
const LIMITS: RolloutLimits = RolloutLimits { permille: 250, slack: 2 };
const OLD: &str = "v1";
const NEW: &str = "v2";

/// A fault put into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutFault {
    /// The protocol as it is.
    None,
    /// Each scheduler gives out the whole share.
    WholeShareEach,
    /// The platform takes a write whatever the order's revision.
    Unconditional,
    /// A move is completed while requests are at work at the targets before it.
    DoesNotWait,
}

/// The specification with its bounds.
#[derive(Clone, Debug)]
pub struct RolloutModel {
    /// Fault put in.
    pub fault: RolloutFault,
    /// Requests that come to each daemon.
    pub requests: u8,
    /// Cuts and heals.
    pub cuts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RolloutDaemon {
    versions: PoolVersions,
    share: TrialShare,
    requests: u8,
    /// Whether a request of it is at work at a target of the old version.
    at_work: bool,
    /// Whether it was cut off, and has not since heard the other, with none of its requests left from then.
    excused: bool,
    /// A write on its way to the platform.
    write: Option<(RolloutStage, u64)>,
    /// Revision on which it has written that the version is completed, whatever has become of that.
    completed_on: Option<u64>,
}

/// A state: what the platform keeps, and the daemons.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutState {
    ended: Option<RolloutStage>,
    revision: u64,
    /// Whether the platform's word has changed once it was final.
    changed_again: bool,
    /// Whether a request was at work at the old version as the platform took that it is completed.
    cut_off: bool,
    daemons: [RolloutDaemon; DAEMONS],
    is_cut: bool,
    cuts: u8,
    /// Requests on trial, and all until the pool was moved.
    tried: u64,
    all: u64,
}

fn told(version: &str) -> ReportedVersion {
    Some(version.to_string())
}

fn order() -> RolloutOrder {
    let time = Some(Duration::from_secs(12));
    RolloutOrder { pool: "p".to_string(), version: NEW.to_string(), time }
}

impl RolloutState {
    fn record(&self) -> RolloutRecord {
        RolloutRecord {
            name: "p".to_string(),
            order: order(),
            ended: self.ended,
            has_status: true,
            revision: self.revision,
        }
    }

    fn stage(&self, index: usize) -> RolloutStage {
        let rollout = self.daemons[index].versions.rollout();
        rollout.map_or(RolloutStage::Trial, |rollout| rollout.stage())
    }

    /// Whether a daemon believes to schedule.
    fn leads(&self, index: usize) -> bool {
        index == 0 || self.is_cut
    }

    fn report(&self, index: usize) -> Option<RolloutReport> {
        self.daemons[index].versions.rollout().map(|rollout| rollout.report(NOW))
    }

    /// Whether the platform may take, or have taken, a word of a daemon that the version is completed.
    fn may_be_completed(&self, index: usize) -> bool {
        let known = self.daemons[index].versions.rollout().map(|rollout| rollout.revision());
        let completed_on = self.daemons[index].completed_on;
        completed_on.is_some() && completed_on == known
    }

    /// A daemon that decides has come to a stage.
    fn decide(&mut self, index: usize, stage: RolloutStage) {
        let Some(report) = self.report(index) else { return };
        self.daemons[index].versions.merge_report(NOW, &RolloutReport { stage, ..report });
    }

    /// A request comes to a daemon, and is granted by whoever schedules for it.
    fn serve(&mut self, index: usize, fault: RolloutFault) {
        let scheduler = if self.leads(index) { index } else { 0 };
        let whole = !self.is_cut || fault == RolloutFault::WholeShareEach;
        let reached = if whole { DAEMONS } else { 1 };
        let part = RateShare { reached, all: DAEMONS, role: RateRole::Leader };
        self.daemons[index].requests += 1;
        let granting = &mut self.daemons[scheduler];
        let on_trial = granting.versions.access(&told(NEW)) == VersionAccess::Trial;
        let tried = on_trial && granting.share.admits(0, part);
        granting.share.record(0, tried);
        let is_old = granting.versions.access(&told(OLD)) == VersionAccess::Open;
        if on_trial {
            self.all += 1;
            self.tried += u64::from(tried);
        }
        // What the daemon itself knows stops a grant of a scheduler that knows less.
        let is_blocked = self.daemons[index].versions.is_blocked(&told(OLD));
        self.daemons[index].at_work |= !tried && is_old && !is_blocked;
    }

    /// Nothing that a daemon knows of is at work at the old version.
    fn is_idle(&self, index: usize) -> bool {
        let other = &self.daemons[1 - index];
        let knows = self.is_cut || !other.at_work && self.stage(1 - index) >= RolloutStage::Move;
        !self.daemons[index].at_work && knows
    }

    fn write(&mut self, index: usize, fault: RolloutFault) {
        let Some((stage, revision)) = self.daemons[index].write.take() else { return };
        if revision != self.revision && fault != RolloutFault::Unconditional {
            return;
        }
        self.changed_again |= self.ended.is_some_and(|ended| ended != stage);
        self.ended = Some(stage);
        self.revision += 1;
        let other = &self.daemons[1 - index];
        let at_work = self.daemons[index].at_work || other.at_work && !other.excused;
        self.cut_off |= stage == RolloutStage::Completed && at_work && !self.is_cut;
    }
}

impl RolloutModel {
    /// What a daemon that decides may write now.
    fn may_write(&self, state: &RolloutState, index: usize) -> Option<RolloutStage> {
        let daemon = &state.daemons[index];
        if !state.leads(index) || daemon.write.is_some() || state.revision > 2 {
            return None;
        }
        let ready = self.fault == RolloutFault::DoesNotWait || state.is_idle(index);
        match state.stage(index) {
            RolloutStage::RolledBack => Some(RolloutStage::RolledBack),
            RolloutStage::Move if ready => Some(RolloutStage::Completed),
            _ => None,
        }
    }

    fn daemon_steps(&self, state: &RolloutState, index: usize) -> Vec<(String, RolloutState)> {
        let mut next = Vec::new();
        let mut add = |name: String, change: &dyn Fn(&mut RolloutState)| {
            let mut after = state.clone();
            change(&mut after);
            next.push((name, after));
        };
        let daemon = &state.daemons[index];
        if daemon.requests < self.requests {
            add(format!("a request comes to {index}"), &|after| after.serve(index, self.fault));
        }
        if daemon.at_work {
            add(format!("a request of {index} ends"), &|after| {
                after.daemons[index].at_work = false;
            });
        }
        if state.leads(index) {
            for stage in [RolloutStage::Move, RolloutStage::RolledBack] {
                let waits = stage == RolloutStage::RolledBack && state.may_be_completed(index);
                if state.stage(index) < stage && !waits {
                    add(format!("{index} decides on {stage:?}"), &|after| {
                        after.decide(index, stage)
                    });
                }
            }
        }
        if !state.is_cut {
            add(format!("{index} is told"), &|after| {
                // A write takes less time than a daemon is excused for after a cut.
                let under_way = after.daemons.iter().any(|daemon| daemon.write.is_some());
                let waits = after.may_be_completed(index);
                let report = after.report(1 - index);
                let report =
                    report.filter(|report| report.stage != RolloutStage::RolledBack || !waits);
                let daemon = &mut after.daemons[index];
                if let Some(report) = report {
                    daemon.versions.merge_report(NOW, &report);
                }
                daemon.excused &= daemon.at_work || under_way;
            });
        }
        add(format!("{index} reads the platform"), &|after| {
            let record = after.record();
            after.daemons[index].versions.merge_record(NOW, &record);
        });
        if let Some(stage) = self.may_write(state, index) {
            let known = daemon.versions.rollout().map_or(0, |rollout| rollout.revision());
            add(format!("{index} writes {stage:?}"), &|after| {
                let daemon = &mut after.daemons[index];
                daemon.write = Some((stage, known));
                if stage == RolloutStage::Completed {
                    daemon.completed_on = Some(known);
                }
            });
        }
        if daemon.write.is_some() {
            add(format!("the write of {index} arrives"), &|after| after.write(index, self.fault));
            add(format!("the write of {index} is lost"), &|after| {
                after.daemons[index].write = None;
            });
        }
        next
    }
}

impl SpecModel for RolloutModel {
    type State = RolloutState;

    fn initial(&self) -> RolloutState {
        let record = RolloutRecord {
            name: "p".to_string(),
            order: order(),
            ended: None,
            has_status: true,
            revision: 1,
        };
        let mut versions = PoolVersions::default();
        versions.update_reported(NOW, &[(told(OLD), 1)].into(), Some(NOW));
        versions.merge_record(NOW, &record);
        let daemon = |index| RolloutDaemon {
            versions: versions.clone(),
            // What may go beyond the share is for the one that schedules as the order is given.
            share: TrialShare::new(
                LIMITS,
                index == 0 || self.fault == RolloutFault::WholeShareEach,
            ),
            requests: 0,
            at_work: false,
            excused: false,
            write: None,
            completed_on: None,
        };
        RolloutState {
            ended: None,
            revision: 1,
            changed_again: false,
            cut_off: false,
            daemons: [0, 1].map(daemon),
            is_cut: false,
            cuts: 0,
            tried: 0,
            all: 0,
        }
    }

    fn successors(&self, state: &RolloutState) -> Vec<(String, RolloutState)> {
        let mut next: Vec<_> =
            (0..DAEMONS).flat_map(|index| self.daemon_steps(state, index)).collect();
        if state.cuts < self.cuts {
            let name = if state.is_cut { "the cut heals" } else { "the daemons are cut off" };
            let mut after = state.clone();
            after.cuts += 1;
            after.is_cut = !state.is_cut;
            after.daemons.iter_mut().for_each(|daemon| daemon.excused |= after.is_cut);
            next.push((name.to_string(), after));
        }
        next
    }

    fn violation(&self, state: &RolloutState) -> Option<String> {
        if state.tried > state.all * LIMITS.permille / 1_000 + LIMITS.slack {
            return Some("the version gets more than its share".to_string());
        }
        if state.changed_again {
            return Some("a roll-out that had ended has ended otherwise".to_string());
        }
        state.cut_off.then(|| "completed while requests were at work before it".to_string())
    }
}
