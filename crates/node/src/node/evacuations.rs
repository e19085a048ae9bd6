//! Handles evacuations: the targets of an evacuated data centre get no new requests.
//!
//! Daemons that read the platform send the list with each answer about the age of their reads, as long as a data centre
//! is evacuated, so that a change and a new daemon cost no further round trip. A daemon that knows of an evacuation
//! requests the list as well, so that it learns of the end.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: [`EvacuationView`](crate::evacuation_view) for the order of
//! lists, the gate of the daemon, which stops requests that were granted before.

use std::sync::Arc;

use curlewcleat_core::{EvacuationList, ObjectVersion, PeerMessage, TargetId, Uptime, VmId};

use super::Node;
use crate::evacuation_view::EvacuationChange;
use crate::event::{NodeAction, NodeNote};

impl Node {
    /// Applies a list that this daemon has read itself; the read was sent at `sent`.
    pub(super) fn evacuations_read(&mut self, list: EvacuationList, sent: Uptime) {
        self.evacuations_listed(list);
        self.evacuation_proof.record_answer(self.now, sent, sent);
    }

    /// Applies a list of the evacuated data centres, from the platform or from a peer.
    pub(super) fn evacuations_listed(&mut self, list: EvacuationList) {
        let Some(change) = self.evacuations.apply(list) else { return };
        let data_centres = self.evacuations.list().data_centres.clone();
        self.actions.push(NodeAction::SetEvacuated(data_centres));
        self.warm_up_evacuated(&change);
        let unavailable = self.unavailable_vms();
        for scheduler in self.pools.values_mut() {
            scheduler.set_leaving_vms(unavailable.clone());
        }
        let config = Arc::clone(&self.active);
        self.update_version_weights(&config);
        self.actions.push(NodeAction::Note(NodeNote::EvacuationsChanged(change)));
    }

    /// Sends the list to a daemon that reads the platform through this one.
    pub(super) fn report_evacuations(&mut self, to: &VmId) {
        if !self.evacuations.is_empty() {
            let list = self.evacuations.list().clone();
            self.post(to, PeerMessage::EvacuationsPush(list));
        }
    }

    /// Requests the list from a daemon that reads the platform, if this daemon knows of an evacuation.
    pub(super) fn pull_evacuations(&mut self, reader: &VmId) {
        if !self.evacuations.is_empty() {
            let known = self.evacuations.list().at;
            self.post(reader, PeerMessage::EvacuationsPull(known));
        }
    }

    /// Answers a daemon that knows the list of an earlier version.
    pub(super) fn evacuations_pulled(&mut self, from: &VmId, known: ObjectVersion) {
        if self.evacuations.list().at > known {
            let list = self.evacuations.list().clone();
            self.post(from, PeerMessage::EvacuationsPush(list));
        }
    }

    /// Returns whether a target is in an evacuated data centre.
    pub(super) fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuations.contains(data_centre)
    }

    /// Lets the targets of data centres that are no longer evacuated warm up: they have not run requests for a while,
    /// and their list entries may state it only later.
    fn warm_up_evacuated(&mut self, change: &EvacuationChange) {
        let returned = self
            .discovered
            .iter()
            .filter(|target| change.ended.contains(&target.entry.data_centre));
        let returned: Vec<(TargetId, String)> =
            returned.map(|target| (target.entry.id.clone(), target.pool.clone())).collect();
        for (target, pool) in returned {
            self.warm_ups.begin_whole(self.now, target, pool);
        }
        self.apply_warm_ups();
    }
}
