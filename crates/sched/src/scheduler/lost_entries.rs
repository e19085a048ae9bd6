//! Frees the permits of entry daemons that seem lost, and counts them again once such a daemon is heard.
//!
//! Owns: nothing; these are methods of [`PoolScheduler`]. Relies on: [`LostPermits`](crate::lost_permits) for what is
//! counted again.

use curlewcleat_core::{DaemonId, PermitDecision, Uptime};

use crate::permit_record::PermitRecord;
use crate::pool::{PoolScheduler, SchedulerAction};
use crate::targets::state_of;

impl PoolScheduler {
    /// Removes the requests of an entry daemon that seems lost, and frees its permits until it is heard again.
    pub fn entry_daemon_lost(&mut self, now: Uptime, entry: &DaemonId) -> Vec<SchedulerAction> {
        let permits = self.permits.iter().filter(|(_, record)| record.entry == *entry);
        let records = permits.map(|(permit, record)| (*permit, record.clone())).collect();
        let actions = self.remove_entry_daemon(now, entry);
        self.lost_permits.insert(now, entry, records);
        actions
    }

    /// Counts the permits of a lost entry daemon again that is heard again, and sends them to it.
    pub fn entry_daemon_returned(&mut self, now: Uptime, entry: &DaemonId) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        for (permit, record) in self.lost_permits.take(entry) {
            if self.knows(&permit) {
                continue;
            }
            if let Some(state) = state_of(&mut self.targets, &record.target) {
                state.held_request_reported();
            }
            let decision = PermitDecision::Granted(record.target.id.clone());
            actions.push(self.answer(entry.clone(), permit, decision));
            self.permits.insert(permit, PermitRecord { confirmed: now, ..record });
        }
        actions
    }
}
