//! Decides which requests targets of a version may get.
//!
//! Inputs: the versions that a pool's targets report, the operator's order for the pool, and when the orders were read.
//!
//! The rule: versions in service get requests without restriction. A version that an order names gets what its stage
//! permits. A version that no order names, and that appeared after the others, is held back until the orders have been
//! read [`HOLD`] after it was first reported, since daemons may learn of targets before they learn of the order for
//! them; after that it is in service as well, as with a planned replacement. If the targets report no other version, it
//! is in service at once. A version that was rolled back gets nothing until it is ordered again.
//!
//! Owns: the versions of one pool, and its latest order. Relies on: the node for the reports of the platform and the
//! peers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    ObjectVersion, RolloutRecord, RolloutReport, RolloutStage, StorePosition, TargetVersion, Uptime,
};

use super::PoolRollout;

/// Time from the first report of a version to a read of the orders that releases it: the order for it may follow it.
const HOLD: Duration = Duration::from_secs(1);

/// A version as a target reports it, `None` if it reports none.
pub type ReportedVersion = Option<TargetVersion>;

/// The requests that targets of a version may get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum VersionAccess {
    /// Requests without restriction.
    #[default]
    Open,
    /// The small share of a trial.
    Trial,
    /// No requests.
    Closed,
}

/// The versions of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PoolVersions {
    in_service: BTreeSet<ReportedVersion>,
    /// Versions that are held back, and since when.
    held: BTreeMap<ReportedVersion, Uptime>,
    /// Versions that were rolled back, or that the pool was moved away from.
    closed: BTreeSet<ReportedVersion>,
    rollout: Option<PoolRollout>,
}

impl PoolVersions {
    /// Returns the latest order.
    pub fn rollout(&self) -> Option<&PoolRollout> {
        self.rollout.as_ref()
    }

    /// Returns the latest order, for evaluation.
    pub fn rollout_mut(&mut self) -> Option<&mut PoolRollout> {
        self.rollout.as_mut()
    }

    /// Returns the versions that are held back until the orders are read.
    pub fn held(&self) -> impl Iterator<Item = &ReportedVersion> {
        self.held.keys()
    }

    /// Returns whether a rollout is under way, so that the answers of the targets are evaluated.
    pub fn is_under_way(&self) -> bool {
        self.rollout.as_ref().is_some_and(|rollout| !rollout.stage().is_final())
    }

    /// Returns the requests that targets of a version may get.
    pub fn access(&self, version: &ReportedVersion) -> VersionAccess {
        match (self.stage_of_order(), self.is_ordered(version)) {
            (Some(RolloutStage::Trial), true) => VersionAccess::Trial,
            (Some(RolloutStage::Move), true) => VersionAccess::Open,
            (Some(RolloutStage::Move), false) => VersionAccess::Closed,
            _ if self.in_service.contains(version) => VersionAccess::Open,
            _ => VersionAccess::Closed,
        }
    }

    /// Returns whether no request may go to targets of a version, whichever daemon granted it. A version that is only
    /// held back is not known to be under an order.
    pub fn is_blocked(&self, version: &ReportedVersion) -> bool {
        let moved = self.stage_of_order() == Some(RolloutStage::Move);
        match self.is_ordered(version) {
            true => self.stage_of_order() == Some(RolloutStage::RolledBack),
            false => moved || self.closed.contains(version),
        }
    }

    /// Records which versions the targets report, with the number of targets of each; `orders_read` is when the orders
    /// were last read. Returns whether the permitted requests of any of them changed.
    pub fn update_reported(
        &mut self,
        now: Uptime,
        reported: &BTreeMap<ReportedVersion, usize>,
        orders_read: Option<Uptime>,
    ) -> bool {
        let before = self.in_service.clone();
        if self.in_service.is_empty() {
            self.begin_service(reported, orders_read.is_some());
        }
        self.held.retain(|version, _| reported.contains_key(version));
        for version in
            reported.keys().filter(|version| self.is_unknown(version)).cloned().collect::<Vec<_>>()
        {
            self.held.entry(version).or_insert(now);
        }
        self.release(orders_read);
        let is_open = |version| self.access(version) != VersionAccess::Closed;
        if !reported.keys().any(is_open) {
            self.in_service.extend(std::mem::take(&mut self.held).into_keys());
        }
        self.in_service != before
    }

    /// Puts the first reported versions in service: all of them once the orders are known, else the one that most
    /// targets have.
    fn begin_service(&mut self, reported: &BTreeMap<ReportedVersion, usize>, orders_known: bool) {
        let ordered = self.rollout.as_ref().map(|rollout| rollout.order().version.clone());
        let is_usual =
            |version: &ReportedVersion| *version != ordered && !self.closed.contains(version);
        let candidates = reported.iter().filter(|(version, _)| is_usual(version));
        let versions: Vec<ReportedVersion> = match orders_known {
            true => candidates.map(|(version, _)| version.clone()).collect(),
            false => {
                let most = candidates.max_by_key(|(_, count)| **count);
                most.map(|(version, _)| version.clone()).into_iter().collect()
            }
        };
        self.in_service.extend(versions);
    }

    fn release(&mut self, orders_read: Option<Uptime>) {
        let may_release = |since: Uptime| orders_read.is_some_and(|read| read >= since + HOLD);
        let released: Vec<ReportedVersion> = self
            .held
            .iter()
            .filter(|(_, since)| may_release(**since))
            .map(|(version, _)| version.clone())
            .collect();
        for version in released {
            self.held.remove(&version);
            self.in_service.insert(version);
        }
    }

    fn is_unknown(&self, version: &ReportedVersion) -> bool {
        let known = self.in_service.contains(version) || self.closed.contains(version);
        !known && !self.is_ordered(version)
    }

    fn is_ordered(&self, version: &ReportedVersion) -> bool {
        let ordered = self.rollout.as_ref().map(|rollout| &rollout.order().version);
        ordered.is_some() && ordered == version.as_ref()
    }

    fn stage_of_order(&self) -> Option<RolloutStage> {
        self.rollout.as_ref().map(PoolRollout::stage)
    }

    /// Merges an order that the platform lists; returns whether the state changed.
    pub fn merge_record(&mut self, now: Uptime, record: &RolloutRecord) -> bool {
        let changed = match self.known_order(&record.order.version) {
            Some(known) => known.merge_record(now, record),
            None => self.replace(PoolRollout::from_record(now, record.clone())),
        };
        self.apply_stage(changed)
    }

    /// Merges a peer's report of an order; returns whether the state changed.
    pub fn merge_report(&mut self, now: Uptime, report: &RolloutReport) -> bool {
        let changed = match self.known_order(&report.order.version) {
            Some(known) => known.merge_report(now, report),
            None => self.replace(PoolRollout::from_report(now, report.clone())),
        };
        self.apply_stage(changed)
    }

    /// Returns the latest order, if it is for this version.
    fn known_order(&mut self, version: &TargetVersion) -> Option<&mut PoolRollout> {
        self.rollout.as_mut().filter(|known| known.order().version == *version)
    }

    /// Records that the platform lists no order for the pool at this revision; returns whether the state changed.
    pub fn remove_missing_order(&mut self, at: ObjectVersion) -> bool {
        // Orders keep bare revisions, so that an order that is missing from an older copy of the store stays in force.
        let at = StorePosition::from_version(at).revision;
        if self.rollout.as_ref().is_none_or(|known| known.revision() > at) {
            return false;
        }
        self.withdraw();
        true
    }

    /// Updates which versions are in service and closed, if the stage of the order changed.
    pub fn apply_stage(&mut self, changed: bool) -> bool {
        let Some(rollout) = self.rollout.as_ref().filter(|_| changed) else { return changed };
        let version = Some(rollout.order().version.clone());
        match rollout.stage() {
            RolloutStage::Completed => {
                self.closed.append(&mut self.in_service);
                self.closed.remove(&version);
                self.held.remove(&version);
                self.in_service.insert(version);
            }
            RolloutStage::RolledBack => {
                self.in_service.remove(&version);
                self.closed.insert(version);
            }
            RolloutStage::Trial | RolloutStage::Move => {}
        }
        true
    }

    /// Replaces the order with another, unless that is older; returns whether it was replaced.
    fn replace(&mut self, rollout: PoolRollout) -> bool {
        if self.rollout.as_ref().is_some_and(|known| known.revision() >= rollout.revision()) {
            return false;
        }
        self.withdraw();
        let version = Some(rollout.order().version.clone());
        self.held.remove(&version);
        self.closed.remove(&version);
        self.rollout = Some(rollout);
        true
    }

    /// Removes the order. A version that was on trial is closed, since no order requires it any longer.
    fn withdraw(&mut self) {
        let Some(rollout) = self.rollout.take() else { return };
        let version = Some(rollout.order().version.clone());
        if !rollout.stage().is_final() && !self.in_service.contains(&version) {
            self.closed.insert(version);
        }
    }
}
