//! Holds the evacuated data centres as this daemon knows them.
//!
//! The list with the latest version holds, whoever read it. It is kept while the platform cannot be read.
//!
//! Owns: the latest list. Relies on: versions of the platform, which never go back.

use std::collections::BTreeSet;

use curlewcleat_core::{DataCentreId, EvacuationList, ObjectVersion};

/// A change to the evacuated data centres.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Version of the list that states it.
    pub at: ObjectVersion,
    /// Data centres that are evacuated from now on.
    pub begun: BTreeSet<DataCentreId>,
    /// Data centres that are no longer evacuated.
    pub ended: BTreeSet<DataCentreId>,
}

/// The evacuated data centres.
#[derive(Clone, Debug, Default)]
pub struct EvacuationView {
    list: EvacuationList,
}

impl EvacuationView {
    /// Returns the latest list.
    pub fn list(&self) -> &EvacuationList {
        &self.list
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.list.data_centres.contains(data_centre)
    }

    /// Returns whether no data centre is evacuated.
    pub fn is_empty(&self) -> bool {
        self.list.data_centres.is_empty()
    }

    /// Applies a list, unless it is older than the known one. Returns the change if it is not empty.
    pub fn apply(&mut self, list: EvacuationList) -> Option<EvacuationChange> {
        if list.at <= self.list.at {
            return None;
        }
        let before = std::mem::replace(&mut self.list, list).data_centres;
        let now = &self.list.data_centres;
        if before == *now {
            return None;
        }
        Some(EvacuationChange {
            at: self.list.at,
            begun: now.difference(&before).cloned().collect(),
            ended: before.difference(now).cloned().collect(),
        })
    }
}
