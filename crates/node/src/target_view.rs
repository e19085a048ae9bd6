//! Holds the discovered targets as the platform lists them at a revision.
//!
//! A daemon learns of them from the platform itself or from a peer that reads it. The view keeps the latest changes
//! ([`ChangeLog`]), so that a peer that knows an earlier revision gets only what it lacks.
//!
//! A target may restart under its id. A list entry of an earlier instance than the latest known one is ignored,
//! whatever its revision: the target may have written it late.
//!
//! Owns: the discovered targets and recent changes. Relies on: revisions of the platform.

use std::collections::BTreeMap;

use curlewcleat_core::{
    DiscoveredTarget, InstanceOrder, ObjectVersion, TargetChange, TargetId, TargetInstance,
    TargetStart, TargetsContent,
};

use crate::change_log::ChangeLog;
use crate::ended_instances::EndedInstances;

/// Result of applying an update to the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewUpdate {
    /// The update was applied.
    Applied,
    /// The update contains nothing new.
    Stale,
    /// Changes between the view and the update are missing.
    Gap,
}

/// A list entry that stated another instance of its target than the known one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceChange {
    /// The target.
    pub target: TargetId,
    /// The start that the list entry stated.
    pub stated: TargetStart,
    /// The latest start that was known.
    pub known: TargetStart,
}

impl InstanceChange {
    /// Returns whether the list entry was one of an earlier instance and was ignored; otherwise the target has
    /// restarted.
    pub fn is_late(&self) -> bool {
        self.stated < self.known
    }
}

/// A target whose list entry was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedTarget {
    /// The target.
    pub target: TargetId,
    /// Whether the target had announced that it leaves; one that had not has most likely terminated without notice.
    pub announced_leaving: bool,
}

/// The targets at a revision of the platform, and unlisted ones that may return.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    listed: BTreeMap<TargetId, DiscoveredTarget>,
    /// Targets that vanished while the platform failed. They may have lost their list entry without having
    /// terminated, and are used until they are listed again or the platform has settled.
    missing: BTreeMap<TargetId, DiscoveredTarget>,
    ended: EndedInstances,
    instance_changes: Vec<InstanceChange>,
    removed: Vec<RemovedTarget>,
    at: ObjectVersion,
    log: ChangeLog,
}

impl TargetView {
    /// Returns the revision up to which the targets are known.
    pub fn at(&self) -> ObjectVersion {
        self.at
    }

    /// Returns all targets in use.
    pub fn targets(&self) -> Vec<DiscoveredTarget> {
        self.listed.values().chain(self.missing.values()).cloned().collect()
    }

    /// Returns the number of targets that the platform lists.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns whether the platform lists no targets.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Returns whether the platform lists a target instance, or would if it had not failed.
    pub fn shows(&self, instance: &TargetInstance) -> bool {
        let known = self.listed.get(&instance.id).or_else(|| self.missing.get(&instance.id));
        known.is_some_and(|known| {
            InstanceOrder::compare(instance.start, known.entry.start) == InstanceOrder::Same
        })
    }

    /// Returns whether a target has announced that it leaves.
    pub fn is_leaving(&self, target: &str) -> bool {
        self.listed.get(target).is_some_and(|known| known.leaving)
    }

    /// Applies a list of all targets at a revision. `uncertain` states whether missing targets may return.
    pub fn apply_list(
        &mut self,
        targets: Vec<DiscoveredTarget>,
        at: ObjectVersion,
        uncertain: bool,
    ) -> ViewUpdate {
        if at < self.at {
            return ViewUpdate::Stale;
        }
        let mut before = std::mem::take(&mut self.listed);
        let previous = before.clone();
        for target in targets {
            let id = &target.entry.id;
            // A list entry that moves from one page of a list to another may appear in both.
            let listed = before.remove(id).or_else(|| self.listed.remove(id));
            self.insert_entry(target, listed);
        }
        for (id, target) in before {
            self.remove_entry(id, target, uncertain);
        }
        match self.at {
            0 => self.log.restart(at),
            _ => self.log_differences(&previous, at),
        }
        self.at = at;
        ViewUpdate::Applied
    }

    /// Records how the list differs from the previous one, so that peers that know the previous one need not get the
    /// whole list.
    fn log_differences(
        &mut self,
        previous: &BTreeMap<TargetId, DiscoveredTarget>,
        at: ObjectVersion,
    ) {
        let changed = self.listed.iter().filter(|(id, target)| previous.get(*id) != Some(target));
        let gone = previous.keys().filter(|id| !self.listed.contains_key(*id));
        let ids: Vec<TargetId> = changed.map(|(id, _)| id).chain(gone).cloned().collect();
        ids.into_iter().for_each(|id| self.log_entry(id, at));
        self.log.trim(self.listed.len());
    }

    /// Records the entry of a target as it is now. A late entry of an earlier instance is not what peers lack.
    fn log_entry(&mut self, id: TargetId, at: ObjectVersion) {
        let change = match self.listed.get(&id) {
            Some(target) => TargetChange::Present(target.clone()),
            None => TargetChange::Gone(id),
        };
        self.log.record(at, change);
    }

    /// Applies the changes between two revisions.
    pub fn apply_changes(
        &mut self,
        from: ObjectVersion,
        changes: Vec<TargetChange>,
        at: ObjectVersion,
        uncertain: bool,
    ) -> ViewUpdate {
        if at <= self.at {
            return ViewUpdate::Stale;
        }
        if from > self.at {
            return ViewUpdate::Gap;
        }
        for change in changes {
            let id = self.apply(change, uncertain);
            self.log_entry(id, at);
        }
        self.log.trim(self.listed.len());
        self.at = at;
        ViewUpdate::Applied
    }

    /// Returns what a peer lacks that knows the targets up to a revision.
    pub fn since(&self, known: ObjectVersion) -> TargetsContent {
        match self.log.since(known).filter(|_| known <= self.at) {
            Some(changes) => TargetsContent::Since(known, changes),
            None => TargetsContent::All(self.listed.values().cloned().collect()),
        }
    }

    /// Returns the changed instances that list entries stated since the last call.
    pub fn take_instance_changes(&mut self) -> Vec<InstanceChange> {
        std::mem::take(&mut self.instance_changes)
    }

    /// Returns the targets whose list entries were removed since the last call.
    pub fn take_removed(&mut self) -> Vec<RemovedTarget> {
        std::mem::take(&mut self.removed)
    }

    /// Drops the targets that are still missing, once the platform has settled. Returns whether any target was
    /// dropped.
    pub fn settle(&mut self) -> bool {
        let changed = !self.missing.is_empty();
        self.missing.clear();
        changed
    }

    /// Applies a change and returns its target.
    fn apply(&mut self, change: TargetChange, uncertain: bool) -> TargetId {
        match change {
            TargetChange::Present(target) => {
                let id = target.entry.id.clone();
                let listed = self.listed.remove(&id);
                self.insert_entry(target, listed);
                id
            }
            TargetChange::Gone(id) => {
                if let Some(target) = self.listed.remove(&id) {
                    self.remove_entry(id.clone(), target, uncertain);
                }
                id
            }
        }
    }

    /// Inserts a list entry of a target whose earlier entry was `listed`. Within one instance, a target that leaves
    /// never stops leaving, and its start stays known if a peer does not report it.
    fn insert_entry(&mut self, mut stated: DiscoveredTarget, listed: Option<DiscoveredTarget>) {
        let id = stated.entry.id.clone();
        let known = listed.as_ref().or_else(|| self.missing.get(&id));
        let start = known.and_then(|known| known.entry.start);
        let latest = start.max(self.ended.latest(&id));
        let order = InstanceOrder::compare(stated.entry.start, latest);
        if let (Some((stated, known)), true) =
            (stated.entry.start.zip(latest), order != InstanceOrder::Same)
        {
            self.instance_changes.push(InstanceChange { target: id.clone(), stated, known });
        }
        match order {
            InstanceOrder::Earlier => {
                self.listed.extend(listed.map(|listed| (id, listed)));
                return;
            }
            InstanceOrder::Same => {
                stated.leaving |= known.is_some_and(|known| known.leaving);
                stated.entry.start = stated.entry.start.or(start);
            }
            InstanceOrder::Later => {}
        }
        self.missing.remove(&id);
        self.listed.insert(id, stated);
    }

    fn remove_entry(&mut self, id: TargetId, target: DiscoveredTarget, uncertain: bool) {
        self.ended.record(&id, target.entry.start, self.listed.len());
        self.removed.push(RemovedTarget { target: id.clone(), announced_leaving: target.leaving });
        if uncertain && !target.leaving {
            self.missing.insert(id, target);
        }
    }
}
