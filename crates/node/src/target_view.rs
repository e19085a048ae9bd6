//! The targets that announced themselves, as the platform showed them at a revision.
//!
//! A daemon learns of them from the platform itself or from a peer that reads it. The view keeps the
//! latest changes, so that a peer that knows an earlier revision gets only what it lacks.
//!
//! A target may start again under its id. An entry of an earlier life than the latest that was seen says
//! nothing any more, whatever revision it has: its target may write it late.
//!
//! Owns: the targets that announced themselves, and recent changes. Relies on: revisions of the
//! platform.

use std::collections::{BTreeMap, VecDeque};

use curlewcleat_core::{
    DiscoveredTarget, LifeOrder, ObjectVersion, TargetChange, TargetId, TargetLife, TargetStart,
    TargetsContent,
};

use crate::ended_lives::EndedLives;

/// Changes that are kept for peers.
const LOG_LENGTH: usize = 256;

/// Whether an update follows on what the view has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewUpdate {
    /// It was taken in.
    Applied,
    /// It says nothing new.
    Stale,
    /// Changes in between are missing.
    Gap,
}

/// An entry stated another life of its target than is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LifeNews {
    /// The target.
    pub target: TargetId,
    /// The start that its entry stated.
    pub stated: TargetStart,
    /// The latest start that was known.
    pub known: TargetStart,
}

impl LifeNews {
    /// Whether the entry was one of an earlier life, and left out; else the target has started again.
    pub fn is_late(&self) -> bool {
        self.stated < self.known
    }
}

/// A target's entry has gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GoneTarget {
    /// The target.
    pub target: TargetId,
    /// Whether it had said that it leaves; one that had not has most likely ended without notice.
    pub left: bool,
}

/// The targets at a revision of the platform, and those that may come back.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    listed: BTreeMap<TargetId, DiscoveredTarget>,
    /// Targets that vanished while the platform failed. They may have lost their entry without having
    /// ended, and are used until they are back or the platform has settled.
    missing: BTreeMap<TargetId, DiscoveredTarget>,
    ended: EndedLives,
    instance_changes: Vec<LifeNews>,
    removed: Vec<GoneTarget>,
    at: ObjectVersion,
    /// Revision from which the log is complete.
    log_from: ObjectVersion,
    log: VecDeque<(ObjectVersion, TargetChange)>,
}

impl TargetView {
    /// Revision up to which the targets are known.
    pub fn at(&self) -> ObjectVersion {
        self.at
    }

    /// All targets in use.
    pub fn targets(&self) -> Vec<DiscoveredTarget> {
        self.listed.values().chain(self.missing.values()).cloned().collect()
    }

    /// Number of targets that the platform shows.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether the platform shows none.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Whether the platform shows a life, or would if it had not failed.
    pub fn shows(&self, life: &TargetLife) -> bool {
        let known = self.listed.get(&life.id).or_else(|| self.missing.get(&life.id));
        known.is_some_and(|known| LifeOrder::of(life.start, known.entry.start) == LifeOrder::Same)
    }

    /// Whether a target has said that it leaves.
    pub fn is_leaving(&self, target: &str) -> bool {
        self.listed.get(target).is_some_and(|known| known.leaving)
    }

    /// Takes all targets at a revision. `doubtful` says whether those that are missing may come back.
    pub fn apply_list(
        &mut self,
        targets: Vec<DiscoveredTarget>,
        at: ObjectVersion,
        doubtful: bool,
    ) -> ViewUpdate {
        if at < self.at {
            return ViewUpdate::Stale;
        }
        let mut before = std::mem::take(&mut self.listed);
        for target in targets {
            let id = &target.entry.id;
            // An entry that moves between two pages of a list stands in both.
            let listed = before.remove(id).or_else(|| self.listed.remove(id));
            self.insert_entry(target, listed);
        }
        for (id, target) in before {
            self.remove_entry(id, target, doubtful);
        }
        self.at = at;
        // What happened between the revisions is not known, so the log begins anew.
        self.log_from = at;
        self.log.clear();
        ViewUpdate::Applied
    }

    /// Takes the changes between two revisions.
    pub fn apply_changes(
        &mut self,
        from: ObjectVersion,
        changes: Vec<TargetChange>,
        at: ObjectVersion,
        doubtful: bool,
    ) -> ViewUpdate {
        if at <= self.at {
            return ViewUpdate::Stale;
        }
        if from > self.at {
            return ViewUpdate::Gap;
        }
        for change in changes {
            self.apply(change.clone(), doubtful);
            self.log.push_back((at, change));
        }
        while self.log.len() > LOG_LENGTH {
            if let Some((dropped, _)) = self.log.pop_front() {
                self.log_from = dropped;
            }
        }
        self.at = at;
        ViewUpdate::Applied
    }

    /// What a peer lacks that knows the targets up to a revision.
    pub fn since(&self, known: ObjectVersion) -> TargetsContent {
        if known < self.log_from || known > self.at {
            return TargetsContent::All(self.listed.values().cloned().collect());
        }
        let changes = self.log.iter().filter(|(at, _)| *at > known);
        TargetsContent::Since(known, changes.map(|(_, change)| change.clone()).collect())
    }

    /// The lives that entries stated since the last call.
    pub fn take_instance_changes(&mut self) -> Vec<LifeNews> {
        std::mem::take(&mut self.instance_changes)
    }

    /// The targets whose entries have gone since the last call.
    pub fn take_removed(&mut self) -> Vec<GoneTarget> {
        std::mem::take(&mut self.removed)
    }

    /// The platform has settled: what is still missing has ended. Returns whether any target was
    /// removed.
    pub fn settle(&mut self) -> bool {
        let changed = !self.missing.is_empty();
        self.missing.clear();
        changed
    }

    fn apply(&mut self, change: TargetChange, doubtful: bool) {
        match change {
            TargetChange::Present(target) => {
                let listed = self.listed.remove(&target.entry.id);
                self.insert_entry(target, listed);
            }
            TargetChange::Gone(id) => {
                if let Some(target) = self.listed.remove(&id) {
                    self.remove_entry(id, target, doubtful);
                }
            }
        }
    }

    /// Takes an entry in, of a target that was listed so before. In the same life a target that leaves
    /// never stays after all, and its start stays known where a peer does not tell it.
    fn insert_entry(&mut self, mut stated: DiscoveredTarget, listed: Option<DiscoveredTarget>) {
        let id = stated.entry.id.clone();
        let known = listed.as_ref().or_else(|| self.missing.get(&id));
        let start = known.and_then(|known| known.entry.start);
        let latest = start.max(self.ended.latest(&id));
        let order = LifeOrder::of(stated.entry.start, latest);
        if let (Some((stated, known)), true) =
            (stated.entry.start.zip(latest), order != LifeOrder::Same)
        {
            self.instance_changes.push(LifeNews { target: id.clone(), stated, known });
        }
        match order {
            LifeOrder::Earlier => {
                self.listed.extend(listed.map(|listed| (id, listed)));
                return;
            }
            LifeOrder::Same => {
                stated.leaving |= known.is_some_and(|known| known.leaving);
                stated.entry.start = stated.entry.start.or(start);
            }
            LifeOrder::Later => {}
        }
        self.missing.remove(&id);
        self.listed.insert(id, stated);
    }

    fn remove_entry(&mut self, id: TargetId, target: DiscoveredTarget, doubtful: bool) {
        self.ended.record(&id, target.entry.start);
        self.removed.push(GoneTarget { target: id.clone(), left: target.leaving });
        if doubtful && !target.leaving {
            self.missing.insert(id, target);
        }
    }
}
