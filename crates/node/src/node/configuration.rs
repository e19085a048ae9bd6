//! Applies new configurations and merges the discovered targets into them.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `ConfigStore` for the order of generations.

use std::collections::BTreeSet;
use std::sync::Arc;

use curlewcleat_config::OfferResult;
use curlewcleat_core::{ActiveConfig, ConfigBundle, Generation, VmId};

use super::Node;
use crate::event::{NodeAction, NodeNote};
use crate::pool_options::pool_options;

impl Node {
    pub(super) fn config_offered(&mut self, bundle: ConfigBundle) {
        let generation = bundle.generation;
        let result = self.store.offer(bundle);
        self.record_offer(generation, result);
    }

    pub(super) fn decoded_config_offered(&mut self, config: ActiveConfig) {
        let generation = config.generation;
        let result = self.store.offer_decoded(config);
        self.record_offer(generation, result);
    }

    fn record_offer(&mut self, generation: Generation, result: OfferResult) {
        match result {
            OfferResult::Stale => {}
            OfferResult::Invalid(report) => {
                self.actions.push(NodeAction::Note(NodeNote::ConfigInvalid(generation, report)));
            }
            OfferResult::Accepted => {
                self.configs.pull.config_applied();
                self.rebuild_active();
                self.refresh_orders();
                self.actions.push(NodeAction::Note(NodeNote::ConfigAccepted(generation)));
                let faults = self.store.active().faults.clone();
                if !faults.is_empty() {
                    let note = NodeNote::ConfigFaults(generation, faults);
                    self.actions.push(NodeAction::Note(note));
                }
            }
        }
    }

    /// Rebuilds the active configuration if the set of discovered targets has changed.
    pub(super) fn refresh_discovered(&mut self) {
        let targets = self.targets.targets();
        if targets == self.discovered {
            return;
        }
        self.discovered = targets;
        self.rebuild_active();
    }

    /// Merges the discovered targets into the configuration in force and reconfigures the schedulers.
    pub(super) fn rebuild_active(&mut self) {
        self.review_versions();
        let mut active = self.store.active();
        if !self.discovered.is_empty() {
            let config = Arc::make_mut(&mut active);
            for target in &self.discovered {
                if let Some(pool) = config.pools.get_mut(&target.pool) {
                    pool.targets.insert(target.entry.id.clone(), target.entry.clone());
                }
            }
            for (id, pool) in &mut config.pools {
                pool.has_rollout = self.has_rollout(id);
            }
        }
        self.active = active;
        self.configure_pools();
        self.actions.push(NodeAction::ConfigChanged);
    }

    pub(super) fn configure_pools(&mut self) {
        let config = Arc::clone(&self.active);
        let unavailable = self.unavailable_vms();
        for (id, pool) in &config.pools {
            let options = pool_options(&config, pool, &self.options);
            let scheduler = self.pool(id);
            scheduler.configure(options, pool);
            scheduler.set_leaving_vms(unavailable.clone());
        }
        self.update_stream_versions(&config);
        self.update_version_weights(&config);
        self.apply_versions();
        self.warm_ups.mark_all_changed();
        self.apply_warm_ups();
        self.update_data_centres();
        self.pools
            .retain(|id, scheduler| config.pools.contains_key(id) || scheduler.in_flight() > 0);
    }

    /// Returns the VMs whose targets get no new work, according to the VM list, to what the targets report and to the
    /// evacuations.
    pub(super) fn unavailable_vms(&self) -> BTreeSet<VmId> {
        let closed = self
            .discovered
            .iter()
            .filter(|target| target.leaving || self.is_evacuated(&target.entry.data_centre));
        let mut unavailable = self.vms.unavailable();
        unavailable.extend(closed.map(|target| target.entry.vm.clone()));
        unavailable
    }
}
