//! The forms of streams that the daemons of the fleet know together.
//!
//! Owns: the forms, as the node has set them. Relies on: the node for forms that are taken back.

use std::collections::{BTreeMap, BTreeSet};

use curlewcleat_core::{PoolId, SourceForm, StreamSource};

/// What has changed of the forms.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FormChanges {
    /// Forms that are new, or other ones.
    pub known: Vec<SourceForm>,
    /// Sources whose form is no longer known.
    pub dropped: Vec<StreamSource>,
    /// Pools whose targets damage events, if these are others than before.
    pub damaged: Option<BTreeSet<PoolId>>,
}

/// The forms, and the pools whose targets damage events.
#[derive(Clone, Debug, Default)]
pub struct FleetFormTable {
    forms: BTreeMap<StreamSource, SourceForm>,
    damaged: BTreeSet<PoolId>,
}

impl FleetFormTable {
    /// Replaces the forms and returns what has changed.
    pub fn replace(&mut self, forms: Vec<SourceForm>, damaged: Vec<PoolId>) -> FormChanges {
        let forms = forms.into_iter().map(|form| (form.source.clone(), form)).collect();
        let former = std::mem::replace(&mut self.forms, forms);
        let damaged: BTreeSet<PoolId> = damaged.into_iter().collect();
        let is_same = self.damaged == damaged;
        self.damaged = damaged;
        let known = self.forms.values().filter(|form| former.get(&form.source) != Some(form));
        let dropped = former.keys().filter(|source| !self.forms.contains_key(*source));
        FormChanges {
            known: known.cloned().collect(),
            dropped: dropped.cloned().collect(),
            damaged: (!is_same).then(|| self.damaged.clone()),
        }
    }

    /// Returns the form of a source, `None` where too few streams have shown one. Streams that may not be repeated need more
    /// of them.
    pub fn form(&self, source: &StreamSource, may_repeat: bool) -> Option<&SourceForm> {
        self.forms.get(source).filter(|form| may_repeat || form.suffices_for_cuts)
    }

    /// Returns whether targets of a pool damage events.
    pub fn is_damaged(&self, pool: &PoolId) -> bool {
        self.damaged.contains(pool)
    }
}
