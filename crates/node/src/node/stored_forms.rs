//! Has the platform keep what the streams of targets look like, so that the fleet knows it after all daemons have ended.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: the forms in use, which the daemons have learned together.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{PoolId, SourceForm, StreamSource, Uptime, VersionDigest};

use super::Node;
use crate::event::{NodeAction, PlatformCall};

/// Minimum interval between two writes.
const STORE_INTERVAL: Duration = Duration::from_secs(5);

/// What the platform keeps.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredForms {
    /// The forms by pool, as they were read or written last.
    stored: BTreeMap<PoolId, Vec<SourceForm>>,
    /// The forms that were in use when all were stored.
    considered: BTreeMap<StreamSource, SourceForm>,
    last_write: Option<Uptime>,
}

impl Node {
    /// Uses the forms that the platform has kept, where the daemons know none.
    pub(super) fn stored_forms_read(&mut self, forms: Vec<SourceForm>) {
        self.learn_stored_forms(&forms);
        for form in forms {
            self.stream_forms.kept.stored.entry(form.source.pool.clone()).or_default().push(form);
        }
    }

    /// Records that the platform has stored the forms of a pool.
    pub(super) fn stream_forms_stored(&mut self, pool: PoolId, forms: Vec<SourceForm>) {
        self.stream_forms.kept.stored.insert(pool, forms);
    }

    /// Has the platform store the forms of the next pool whose forms have changed.
    pub(super) fn store_stream_forms(&mut self, known: &BTreeMap<StreamSource, SourceForm>) {
        let last_write = self.stream_forms.kept.last_write;
        let is_early = last_write.is_some_and(|last| self.now < last + STORE_INTERVAL);
        if is_early || *known == self.stream_forms.kept.considered {
            return;
        }
        let mut pools: BTreeMap<PoolId, Vec<SourceForm>> = BTreeMap::new();
        for form in known.values().filter(|form| form.suffices_for_cuts) {
            pools.entry(form.source.pool.clone()).or_default().push(form.clone());
        }
        // A pool whose forms were all withdrawn.
        self.stream_forms.kept.stored.keys().for_each(|pool| {
            pools.entry(pool.clone()).or_default();
        });
        for (pool, forms) in pools {
            let Some(forms) = self.served_forms(&pool, forms) else { continue };
            if self.stream_forms.kept.stored.get(&pool) != Some(&forms) {
                self.stream_forms.kept.last_write = Some(self.now);
                let write = PlatformCall::WriteStreamForms(pool, forms);
                return self.actions.push(NodeAction::Platform(write));
            }
        }
        self.stream_forms.kept.considered = known.clone();
    }

    /// Returns the forms of the versions that targets of a pool have; `None` while no target is known.
    fn served_forms(&self, pool: &PoolId, forms: Vec<SourceForm>) -> Option<Vec<SourceForm>> {
        let targets = &self.active.pools.get(pool)?.targets;
        let versions = targets.values().map(|target| VersionDigest::of(target.version.as_ref()));
        let versions: BTreeSet<VersionDigest> = versions.collect();
        let served = forms.into_iter().filter(|form| versions.contains(&form.source.version));
        (!versions.is_empty()).then(|| served.collect())
    }
}
