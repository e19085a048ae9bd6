//! Model of a rollout at two daemons that may be partitioned from each other: the requests that the new version gets,
//! and the end of the rollout.
//!
//! Each daemon has the product's [`PoolVersions`] and [`TrialShare`]. A daemon that believes it is the scheduler may
//! take any decision. Reports between daemons, reads of the platform and writes to it take effect at any later time, or
//! never. A move is completed only after its reports have had time to reach the other daemon, if that one is reachable.

use std::time::Duration;

use curlewcleat_core::{RolloutOrder, RolloutRecord, RolloutReport, RolloutStage, Uptime};
use curlewcleat_sched::{
    PoolVersions, RateRole, RateShare, ReportedVersion, RolloutLimits, TrialShare, VersionAccess,
};

use crate::explore::SpecModel;

/// Number of daemons; the first one is the scheduler while it reaches the other one.
const DAEMONS: usize = 2;
const NOW: Uptime = Duration::from_secs(100);
/// Share of all requests that the new version may get, in permille, and the number of requests allowed beyond it.
const LIMITS: RolloutLimits = RolloutLimits { permille: 250, slack: 2 };
const OLD: &str = "v1";
const NEW: &str = "v2";

/// A fault injected into the protocol, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutFault {
    /// No fault.
    None,
    /// Each scheduler grants the whole share.
    WholeShareEach,
    /// The platform accepts a write whatever the order's revision.
    Unconditional,
    /// A move is completed while requests run at targets of the old version.
    DoesNotWait,
}

/// The specification and its bounds.
#[derive(Clone, Debug)]
pub struct RolloutModel {
    /// Injected fault.
    pub fault: RolloutFault,
    /// Number of requests that arrive at each daemon.
    pub requests: u8,
    /// Number of times that a partition begins or ends.
    pub partition_changes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RolloutDaemon {
    versions: PoolVersions,
    share: TrialShare,
    requests: u8,
    /// Whether one of its requests runs at a target of the old version.
    runs_at_old: bool,
    /// Whether its running requests are ignored when the other daemon's write of `Completed` is checked. Set when a
    /// partition begins; cleared by a report that it receives while none of its requests runs at the old version and
    /// no write is in transit.
    is_exempt: bool,
    /// A write in transit to the platform: stage and expected revision.
    write: Option<(RolloutStage, u64)>,
    /// Expected revision of its write of `Completed`, whether or not the write took effect.
    completed_revision: Option<u64>,
}

/// State of the platform's record and of the daemons.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutState {
    recorded_end: Option<RolloutStage>,
    revision: u64,
    /// Whether the recorded end has changed after it was final.
    end_changed: bool,
    /// Whether a request ran at the old version when the platform accepted `Completed`.
    completed_too_early: bool,
    daemons: [RolloutDaemon; DAEMONS],
    is_partitioned: bool,
    partition_changes: u8,
    /// Number of requests on trial, and of all requests until the pool was moved.
    trial_requests: u64,
    all_requests: u64,
}

fn reported_version(version: &str) -> ReportedVersion {
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
            ended: self.recorded_end,
            has_status: true,
            revision: self.revision,
        }
    }

    fn stage(&self, index: usize) -> RolloutStage {
        let rollout = self.daemons[index].versions.rollout();
        rollout.map_or(RolloutStage::Trial, |rollout| rollout.stage())
    }

    /// Checks whether a daemon believes it is the scheduler.
    fn is_scheduler(&self, index: usize) -> bool {
        index == 0 || self.is_partitioned
    }

    fn report(&self, index: usize) -> Option<RolloutReport> {
        self.daemons[index].versions.rollout().map(|rollout| rollout.report(NOW))
    }

    /// Checks whether the platform may accept, or may have accepted, this daemon's write of `Completed`.
    fn may_be_completed(&self, index: usize) -> bool {
        let known_revision =
            self.daemons[index].versions.rollout().map(|rollout| rollout.revision());
        let completed_revision = self.daemons[index].completed_revision;
        completed_revision.is_some() && completed_revision == known_revision
    }

    /// Applies a daemon's decision on a stage.
    fn decide(&mut self, index: usize, stage: RolloutStage) {
        let Some(report) = self.report(index) else { return };
        self.daemons[index].versions.merge_report(NOW, &RolloutReport { stage, ..report });
    }

    /// Handles a request that arrives at a daemon: the daemon's scheduler grants it.
    fn serve(&mut self, index: usize, fault: RolloutFault) {
        let scheduler = if self.is_scheduler(index) { index } else { 0 };
        let has_whole_share = !self.is_partitioned || fault == RolloutFault::WholeShareEach;
        let reached = if has_whole_share { DAEMONS } else { 1 };
        let rate_share = RateShare { reached, all: DAEMONS, role: RateRole::Leader };
        self.daemons[index].requests += 1;
        let granting_daemon = &mut self.daemons[scheduler];
        let is_on_trial =
            granting_daemon.versions.access(&reported_version(NEW)) == VersionAccess::Trial;
        let is_trial = is_on_trial && granting_daemon.share.admits(0, rate_share);
        granting_daemon.share.record(0, is_trial);
        let old_is_open =
            granting_daemon.versions.access(&reported_version(OLD)) == VersionAccess::Open;
        if is_on_trial {
            self.all_requests += 1;
            self.trial_requests += u64::from(is_trial);
        }
        // A daemon that already knows that the version is blocked rejects a grant of a scheduler that doesn't.
        let is_blocked = self.daemons[index].versions.is_blocked(&reported_version(OLD));
        self.daemons[index].runs_at_old |= !is_trial && old_is_open && !is_blocked;
    }

    /// Checks that no request that the daemon knows of runs at the old version.
    fn is_idle(&self, index: usize) -> bool {
        let other = &self.daemons[1 - index];
        let other_is_idle = self.is_partitioned
            || !other.runs_at_old && self.stage(1 - index) >= RolloutStage::Move;
        !self.daemons[index].runs_at_old && other_is_idle
    }

    /// Applies a daemon's write at the platform, unless its revision is out of date.
    fn write(&mut self, index: usize, fault: RolloutFault) {
        let Some((stage, revision)) = self.daemons[index].write.take() else { return };
        if revision != self.revision && fault != RolloutFault::Unconditional {
            return;
        }
        self.end_changed |= self.recorded_end.is_some_and(|end| end != stage);
        self.recorded_end = Some(stage);
        self.revision += 1;
        let other = &self.daemons[1 - index];
        let runs_at_old = self.daemons[index].runs_at_old || other.runs_at_old && !other.is_exempt;
        self.completed_too_early |=
            stage == RolloutStage::Completed && runs_at_old && !self.is_partitioned;
    }
}

impl RolloutModel {
    /// Returns the stage that a deciding daemon may write now.
    fn may_write(&self, state: &RolloutState, index: usize) -> Option<RolloutStage> {
        let daemon = &state.daemons[index];
        if !state.is_scheduler(index) || daemon.write.is_some() || state.revision > 2 {
            return None;
        }
        let is_ready = self.fault == RolloutFault::DoesNotWait || state.is_idle(index);
        match state.stage(index) {
            RolloutStage::RolledBack => Some(RolloutStage::RolledBack),
            RolloutStage::Move if is_ready => Some(RolloutStage::Completed),
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
            add(format!("a request arrives at daemon {index}"), &|after| {
                after.serve(index, self.fault)
            });
        }
        if daemon.runs_at_old {
            add(format!("a request of daemon {index} ends"), &|after| {
                after.daemons[index].runs_at_old = false;
            });
        }
        if state.is_scheduler(index) {
            for stage in [RolloutStage::Move, RolloutStage::RolledBack] {
                let must_wait = stage == RolloutStage::RolledBack && state.may_be_completed(index);
                if state.stage(index) < stage && !must_wait {
                    add(format!("daemon {index} decides on {stage:?}"), &|after| {
                        after.decide(index, stage)
                    });
                }
            }
        }
        if !state.is_partitioned {
            add(format!("daemon {index} receives a report"), &|after| {
                // A write takes less time than a daemon stays exempt after a partition.
                let write_in_transit = after.daemons.iter().any(|daemon| daemon.write.is_some());
                let must_wait = after.may_be_completed(index);
                let report = after.report(1 - index);
                let report =
                    report.filter(|report| report.stage != RolloutStage::RolledBack || !must_wait);
                let daemon = &mut after.daemons[index];
                if let Some(report) = report {
                    daemon.versions.merge_report(NOW, &report);
                }
                daemon.is_exempt &= daemon.runs_at_old || write_in_transit;
            });
        }
        add(format!("daemon {index} reads the platform"), &|after| {
            let record = after.record();
            after.daemons[index].versions.merge_record(NOW, &record);
        });
        if let Some(stage) = self.may_write(state, index) {
            let known_revision = daemon.versions.rollout().map_or(0, |rollout| rollout.revision());
            add(format!("daemon {index} writes {stage:?}"), &|after| {
                let daemon = &mut after.daemons[index];
                daemon.write = Some((stage, known_revision));
                if stage == RolloutStage::Completed {
                    daemon.completed_revision = Some(known_revision);
                }
            });
        }
        if daemon.write.is_some() {
            add(format!("the write of daemon {index} arrives"), &|after| {
                after.write(index, self.fault)
            });
            add(format!("the write of daemon {index} is lost"), &|after| {
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
        versions.update_reported(NOW, &[(reported_version(OLD), 1)].into(), Some(NOW));
        versions.merge_record(NOW, &record);
        let daemon = |index| RolloutDaemon {
            versions: versions.clone(),
            // Only the scheduler at the time of the order may exceed the share by the slack.
            share: TrialShare::new(
                LIMITS,
                index == 0 || self.fault == RolloutFault::WholeShareEach,
            ),
            requests: 0,
            runs_at_old: false,
            is_exempt: false,
            write: None,
            completed_revision: None,
        };
        RolloutState {
            recorded_end: None,
            revision: 1,
            end_changed: false,
            completed_too_early: false,
            daemons: [0, 1].map(daemon),
            is_partitioned: false,
            partition_changes: 0,
            trial_requests: 0,
            all_requests: 0,
        }
    }

    fn successors(&self, state: &RolloutState) -> Vec<(String, RolloutState)> {
        let mut next: Vec<_> =
            (0..DAEMONS).flat_map(|index| self.daemon_steps(state, index)).collect();
        if state.partition_changes < self.partition_changes {
            let name =
                if state.is_partitioned { "the partition ends" } else { "a partition begins" };
            let mut after = state.clone();
            after.partition_changes += 1;
            after.is_partitioned = !state.is_partitioned;
            after.daemons.iter_mut().for_each(|daemon| daemon.is_exempt |= after.is_partitioned);
            next.push((name.to_string(), after));
        }
        next
    }

    fn violation(&self, state: &RolloutState) -> Option<String> {
        if state.trial_requests > state.all_requests * LIMITS.permille / 1_000 + LIMITS.slack {
            return Some("the new version got more than its share".to_string());
        }
        if state.end_changed {
            return Some("the end of a rollout changed after it was final".to_string());
        }
        state
            .completed_too_early
            .then(|| "completed while requests ran at the old version".to_string())
    }
}
