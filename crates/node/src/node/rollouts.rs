//! Handles rollouts: the orders on the platform, which requests targets of each version may get, and the decisions.
//!
//! The daemon that schedules decides. Daemons that read the platform pass it the orders, all daemons pass it the
//! answers of the targets, and it reports the stage of each order to all of them. Every grant is checked by
//! [`Node::is_blocked`] before it is used, so that a grant of a blocked target is discarded if it was given earlier, or
//! by a scheduler that knows less.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: [`PoolVersions`] for the rules.

mod answers;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    ObjectVersion, PeerMessage, PoolId, RolloutRecord, RolloutReport, RolloutStage, RolloutWrite,
    TargetEntry, Uptime, VmId,
};
use curlewcleat_sched::{
    PoolRollout, PoolVersions, RateRole, ReportedVersion, RolloutLimits, RolloutReason,
    RolloutStep, RolloutView,
};

use self::answers::ObservedAnswers;
use super::Node;
use crate::event::{NodeAction, NodeNote, PlatformCall};
use crate::status::RolloutStatus;

/// Interval between reports of observed answers to the schedulers.
const ANSWER_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between reports of the stage of the orders.
const ROLLOUT_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the stage of an order is reported after the order has ended.
const ENDED_ROLLOUT_REPORT_TIME: Duration = Duration::from_secs(60);
/// Interval between requests to read the orders again while a version is held back.
const HELD_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Rollout state of a node.
#[derive(Clone, Debug, Default)]
pub(super) struct RolloutExchange {
    pools: BTreeMap<PoolId, PoolVersions>,
    /// When the read was sent that showed the known orders.
    last_read: Option<Uptime>,
    last_read_request: Option<Uptime>,
    observed: BTreeMap<PoolId, ObservedAnswers>,
    last_answer_report: Uptime,
    last_stage_report: Uptime,
    deciding_since: Option<Uptime>,
}

impl Node {
    /// Returns whether the answers of a pool's targets have to be recorded.
    pub(super) fn has_rollout(&self, pool: &str) -> bool {
        self.rollouts.pools.get(pool).is_some_and(PoolVersions::is_under_way)
    }

    /// Returns whether a target gets no requests because its version was rolled back or is being replaced.
    pub(super) fn is_blocked(&self, pool: &str, target: &TargetEntry) -> bool {
        self.rollouts.pools.get(pool).is_some_and(|versions| versions.is_blocked(&target.version))
    }

    /// Returns the same as [`Node::is_blocked`] for a target of which only the name is known.
    pub(super) fn is_blocked_target(&self, target: &str) -> bool {
        let mut pools = self.active.pools.iter();
        pools.any(|(id, pool)| {
            pool.targets.get(target).is_some_and(|entry| self.is_blocked(id, entry))
        })
    }

    /// Applies the complete list of orders that the platform shows at revision `at`.
    pub(super) fn rollouts_listed(
        &mut self,
        records: Vec<RolloutRecord>,
        at: ObjectVersion,
        sent: Uptime,
    ) {
        if self.options.rollout.is_none() {
            return;
        }
        self.rollouts.last_read = self.rollouts.last_read.max(Some(sent));
        let now = self.now;
        let mut changed = false;
        for (pool, versions) in &mut self.rollouts.pools {
            if !records.iter().any(|record| record.order.pool == *pool) {
                changed |= versions.remove_missing_order(at);
            }
        }
        for record in records {
            let pool = &record.order.pool;
            if !self.active.pools.contains_key(pool) {
                continue;
            }
            let versions = self.rollouts.pools.entry(pool.clone()).or_default();
            if versions.merge_record(now, &record) {
                changed = true;
                self.note_rollout_stage(&record.order.pool, None);
            }
        }
        self.apply_version_changes(changed);
    }

    /// Applies a peer's report of the stage of an order.
    pub(super) fn rollout_report_received(&mut self, report: &RolloutReport) {
        let pool = &report.order.pool;
        if self.options.rollout.is_none() || !self.active.pools.contains_key(pool) {
            return;
        }
        let versions = self.rollouts.pools.entry(pool.clone()).or_default();
        if versions.merge_report(self.now, report) {
            self.note_rollout_stage(pool, None);
            self.apply_version_changes(true);
        }
    }

    /// Performs the periodic work of all rollouts.
    pub(super) fn step_rollouts(&mut self) {
        let Some(limits) = self.options.rollout else { return };
        self.request_rollout_read();
        if self.now >= self.rollouts.last_answer_report + ANSWER_REPORT_INTERVAL {
            self.rollouts.last_answer_report = self.now;
            self.report_answers();
        }
        let leads = self.all_pools_order.first() == Some(&self.options.me);
        self.rollouts.deciding_since = match leads {
            true => Some(self.rollouts.deciding_since.unwrap_or(self.now)),
            false => None,
        };
        let pools: Vec<PoolId> = self.rollouts.pools.keys().cloned().collect();
        for pool in pools {
            self.step_rollout(&pool, limits);
        }
        if leads && self.now >= self.rollouts.last_stage_report + ROLLOUT_REPORT_INTERVAL {
            self.rollouts.last_stage_report = self.now;
            self.send_rollout_reports();
        }
    }

    /// Requests another read of the orders while a version is held back, since it may release the version.
    fn request_rollout_read(&mut self) {
        let is_held = |versions: &PoolVersions| versions.held().next().is_some();
        if !self.rollouts.pools.values().any(is_held) {
            return;
        }
        if self.rollouts.last_read_request.is_none_or(|last| self.now >= last + HELD_READ_INTERVAL)
        {
            self.rollouts.last_read_request = Some(self.now);
            self.actions.push(NodeAction::Platform(PlatformCall::ReadRollouts));
        }
    }

    /// Decides the next step of a pool's order, if this daemon is the one that decides.
    fn step_rollout(&mut self, pool: &PoolId, limits: RolloutLimits) {
        let deciding_since = self.rollouts.deciding_since;
        let decides = self.rate_share(pool).role == RateRole::Leader;
        let rollout = self.rollouts.pools.get(pool).and_then(PoolVersions::rollout);
        let open = rollout.filter(|rollout| !rollout.is_stored());
        let (Some(deciding_since), Some(rollout), true) = (deciding_since, open, decides) else {
            return self.pool(pool).end_trial();
        };
        let version = rollout.order().version.clone();
        let (known_since, on_trial) = (rollout.known_since(), rollout.is_on_trial());
        let scheduler = self.pool(pool);
        match on_trial {
            true => scheduler.begin_trial(limits, deciding_since <= known_since),
            false => scheduler.end_trial(),
        }
        let (targets, others) = scheduler.targets_by_version(&version);
        let view = RolloutView {
            deciding_since,
            targets,
            others,
            others_in_flight: scheduler.in_flight_at_other_versions(&version),
            requests: scheduler.trial().map_or(u64::MAX, |trial| trial.granted()),
            slack: limits.slack,
        };
        let now = self.now;
        let versions = self.rollouts.pools.get_mut(pool);
        let step = versions
            .and_then(PoolVersions::rollout_mut)
            .and_then(|rollout| rollout.step(now, &view));
        match step {
            Some(RolloutStep::Stage(_, reason)) => self.stage_decided(pool, reason),
            Some(RolloutStep::Write(stage)) => self.write_rollout(pool, stage),
            None => {}
        }
    }

    fn stage_decided(&mut self, pool: &PoolId, reason: RolloutReason) {
        if let Some(versions) = self.rollouts.pools.get_mut(pool) {
            versions.apply_stage(true);
        }
        self.note_rollout_stage(pool, Some(reason));
        self.apply_version_changes(true);
        self.send_rollout_reports();
    }

    fn write_rollout(&mut self, pool: &PoolId, stage: RolloutStage) {
        let known = self.rollouts.pools.get(pool).and_then(PoolVersions::rollout);
        let Some(rollout) = known else { return };
        let write = RolloutWrite {
            name: rollout.name().to_string(),
            version: rollout.order().version.clone(),
            stage,
            revision: rollout.revision(),
        };
        self.actions.push(NodeAction::Platform(PlatformCall::WriteRollout(write)));
    }

    /// Reports the stage of the orders to all reachable peers.
    fn send_rollout_reports(&mut self) {
        let now = self.now;
        let due = |rollout: &&PoolRollout| {
            !rollout.stage().is_final() || now < rollout.stage_since() + ENDED_ROLLOUT_REPORT_TIME
        };
        let known = self.rollouts.pools.values().filter_map(PoolVersions::rollout).filter(due);
        let reports: Vec<RolloutReport> = known.map(|rollout| rollout.report(now)).collect();
        if reports.is_empty() {
            return;
        }
        let live = self.members.peers().iter().filter(|(_, peer)| peer.live);
        for vm in live.map(|(vm, _)| vm.clone()).collect::<Vec<VmId>>() {
            for report in &reports {
                self.post(&vm, PeerMessage::RolloutReport(report.clone()));
            }
        }
    }

    /// Evaluates anew which requests targets of each version may get, and rebuilds the configuration if that has
    /// changed.
    fn apply_version_changes(&mut self, changed: bool) {
        if self.review_versions() || changed {
            self.rebuild_active();
        }
    }

    /// Checks which versions the targets report; returns whether the requests that any of them may get have changed.
    pub(super) fn review_versions(&mut self) -> bool {
        if self.options.rollout.is_none() {
            return false;
        }
        let mut reported: BTreeMap<PoolId, BTreeMap<ReportedVersion, usize>> = BTreeMap::new();
        for target in &self.discovered {
            if self.store.active().pools.contains_key(&target.pool) {
                let versions = reported.entry(target.pool.clone()).or_default();
                *versions.entry(target.entry.version.clone()).or_default() += 1;
            }
        }
        let (now, read) = (self.now, self.rollouts.last_read);
        let mut changed = false;
        for (pool, reported) in reported {
            let versions = self.rollouts.pools.entry(pool.clone()).or_default();
            let held_before = versions.held().count();
            changed |= versions.update_reported(now, &reported, read);
            if versions.held().count() != held_before {
                let held = versions.held().flatten().cloned().collect();
                self.actions.push(NodeAction::Note(NodeNote::VersionsHeld(pool, held)));
            }
        }
        changed
    }

    /// Passes to the schedulers which requests each version may get.
    pub(super) fn apply_versions(&mut self) {
        for (pool, versions) in &self.rollouts.pools {
            if let Some(scheduler) = self.pools.get_mut(pool) {
                scheduler.apply_version_access(versions);
            }
        }
    }

    fn note_rollout_stage(&mut self, pool: &PoolId, reason: Option<RolloutReason>) {
        if let Some(status) = self.rollout_status(pool) {
            self.actions.push(NodeAction::Note(NodeNote::RolloutStage(status, reason)));
        }
    }

    /// Returns the status of all orders for operators.
    pub(super) fn rollout_statuses(&self) -> Vec<RolloutStatus> {
        self.rollouts.pools.keys().filter_map(|pool| self.rollout_status(pool)).collect()
    }

    fn rollout_status(&self, pool: &PoolId) -> Option<RolloutStatus> {
        let rollout = self.rollouts.pools.get(pool)?.rollout()?;
        let trial = self.pools.get(pool).and_then(|scheduler| scheduler.trial());
        Some(RolloutStatus {
            pool: pool.clone(),
            version: rollout.order().version.clone(),
            stage: rollout.stage(),
            age: self.now.saturating_sub(rollout.known_since()),
            time: rollout.order().time,
            requests: trial.map_or(0, |trial| trial.granted()),
            trial_requests: trial.map_or(0, |trial| trial.granted_on_trial()),
            answers: rollout.answers().trial_answers(),
            other_answers: rollout.answers().others().len(),
            bad_answers: rollout.answers().bad_answers(),
        })
    }
}
