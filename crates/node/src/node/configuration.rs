//! Configurations that are offered.

use curlewcleat_config::StoreChange;
use curlewcleat_core::ConfigBundle;

use super::Node;
use crate::event::{NodeAction, NodeNote};
use crate::wiring::pool_options;

impl Node {
    pub(super) fn config_offered(&mut self, bundle: ConfigBundle) {
        let generation = bundle.generation;
        match self.store.offer(bundle) {
            StoreChange::Stale => {}
            StoreChange::Invalid(report) => {
                self.actions.push(NodeAction::Note(NodeNote::ConfigInvalid(generation, report)));
            }
            StoreChange::Accepted => {
                self.configure_pools();
                self.renew_orders();
                self.actions.push(NodeAction::Note(NodeNote::ConfigAccepted(generation)));
                self.actions.push(NodeAction::ConfigChanged);
            }
        }
    }

    pub(super) fn configure_pools(&mut self) {
        let config = self.store.active();
        let away = self.vms.away();
        for (id, pool) in &config.pools {
            let scheduler = self.pool(id);
            scheduler.configure(pool_options(&config, pool), pool);
            scheduler.set_away(away.clone());
        }
        self.pools
            .retain(|id, scheduler| config.pools.contains_key(id) || scheduler.in_flight() > 0);
    }
}
