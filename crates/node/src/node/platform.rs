//! Tracks the platform's state, from this daemon's reads and from the peers that read it.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `PlatformFreshness` and `TargetView`.

use curlewcleat_core::{
    DaemonId, DiscoveredTarget, FreshnessAnswer, FreshnessQuery, ObjectVersion, PeerMessage,
    TargetChange, TargetInstancesPush, TargetVersionsPush, TargetsContent, TargetsPush, Uptime,
    VmId,
};

use super::Node;
use crate::event::{NodeAction, NodeNote, PlatformCall};
use crate::target_view::ViewUpdate;

impl Node {
    /// Records that a read by this daemon, sent at `sent`, showed the configuration in force to be the newest.
    pub(super) fn platform_read(&mut self, sent: Uptime) {
        let Some(freshness) = self.freshness.as_mut() else { return };
        freshness.read_succeeded(self.now, sent);
        self.evacuation_proof.record_proof(sent);
        self.actions.push(NodeAction::Platform(PlatformCall::ConfigConfirmed(sent)));
        self.review_freshness();
    }

    pub(super) fn platform_failed(&mut self) {
        if let Some(freshness) = self.freshness.as_mut() {
            freshness.read_failed(self.now);
        }
    }

    pub(super) fn freshness_queried(&mut self, from: &VmId, query: FreshnessQuery) {
        let Some(freshness) = self.freshness.as_mut() else { return };
        let answer = FreshnessAnswer {
            query,
            age: freshness.answer_query(self.now),
            generation: self.store.generation(),
            targets_at: self.targets.at(),
        };
        self.post(from, PeerMessage::FreshnessAnswer(answer));
        self.report_evacuations(from);
    }

    pub(super) fn freshness_answered(&mut self, from: &DaemonId, answer: &FreshnessAnswer) {
        // A peer knows the targets even if its latest read is older than this process, as after a start in an outage.
        if self.freshness.is_some() && answer.targets_at > self.targets.at() {
            self.pull_targets(&from.vm);
        }
        let Some(freshness) = self.freshness.as_mut() else { return };
        let Some(read) = freshness.answer_received(self.now, answer) else { return };
        // A peer sends its list, if data centres are evacuated, before the answer.
        self.evacuation_proof.record_answer(self.now, answer.query.sent, read);
        if answer.generation > self.store.generation() {
            self.config_advertised(&from.vm, answer.generation);
        } else {
            // The configuration in force here is at least as new as the one that the peer's read showed.
            freshness.record_proof(self.now, read);
            self.actions.push(NodeAction::Platform(PlatformCall::ConfigConfirmed(read)));
        }
    }

    /// Pulls the targets from a peer, unless an answer is awaited. A peer of an earlier version cannot decode the
    /// pull for target versions, or that for target instances, and drops its frame. A repeated pull is therefore
    /// followed by the pulls that such peers know, in separate frames. A peer that can decode them answers each, and
    /// the later answers change nothing.
    fn pull_targets(&mut self, peer: &VmId) {
        if !self.targets_pull.begin(self.now) {
            return;
        }
        let known = self.targets.at();
        self.post(peer, PeerMessage::TargetVersionsPull(known));
        if self.targets_pull.is_repeated() {
            self.post(peer, PeerMessage::TargetInstancesPull(known));
            self.post(peer, PeerMessage::TargetsPull(known));
        }
    }

    pub(super) fn targets_pulled(&mut self, from: &VmId, known: ObjectVersion) {
        let push = self.targets_push(known);
        self.post(from, PeerMessage::TargetsPush(push));
    }

    pub(super) fn target_instances_pulled(&mut self, from: &VmId, known: ObjectVersion) {
        let instances = TargetInstancesPush::new(self.targets_push(known));
        self.post(from, PeerMessage::TargetInstancesPush(instances));
    }

    pub(super) fn target_versions_pulled(&mut self, from: &VmId, known: ObjectVersion) {
        let versions = TargetVersionsPush::new(self.targets_push(known));
        self.post(from, PeerMessage::TargetVersionsPush(versions));
    }

    fn targets_push(&self, known: ObjectVersion) -> TargetsPush {
        TargetsPush { content: self.targets.since(known), at: self.targets.at() }
    }

    pub(super) fn targets_pushed(&mut self, from: &VmId, push: TargetsPush) {
        self.targets_pull.answered();
        match push.content {
            TargetsContent::All(targets) => self.targets_listed(targets, push.at),
            TargetsContent::Since(known, changes) => {
                let update = self.targets_changed(known, changes, push.at);
                if update == ViewUpdate::Gap {
                    self.pull_targets(from);
                }
            }
        }
    }

    pub(super) fn targets_listed(&mut self, mut targets: Vec<DiscoveredTarget>, at: ObjectVersion) {
        self.take_warm_ups(targets.iter_mut());
        let uncertain = self.is_removal_uncertain();
        let known = self.targets.at();
        if self.targets.apply_list(targets, at, uncertain) == ViewUpdate::Applied {
            self.note_target_changes();
            self.refresh_discovered();
            self.apply_warm_ups();
            return;
        }
        self.actions.push(NodeAction::Note(NodeNote::StaleTargetList { at, known }));
    }

    pub(super) fn targets_changed(
        &mut self,
        from: ObjectVersion,
        mut changes: Vec<TargetChange>,
        at: ObjectVersion,
    ) -> ViewUpdate {
        let present = changes.iter_mut().filter_map(|change| match change {
            TargetChange::Present(target) => Some(target),
            TargetChange::Gone(_) => None,
        });
        self.take_warm_ups(present);
        let uncertain = self.is_removal_uncertain();
        let changed = !changes.is_empty();
        let update = self.targets.apply_changes(from, changes, at, uncertain);
        if update == ViewUpdate::Applied && changed {
            self.note_target_changes();
            self.refresh_discovered();
        }
        self.apply_warm_ups();
        update
    }

    fn note_target_changes(&mut self) {
        let changes =
            self.targets.take_instance_changes().into_iter().map(NodeNote::InstanceChanged);
        self.actions.extend(changes.map(NodeAction::Note));
        let removed = self.targets.take_removed().into_iter().map(NodeNote::TargetRemoved);
        self.actions.extend(removed.map(NodeAction::Note));
        self.review_lethal();
    }

    pub(super) fn is_removal_uncertain(&self) -> bool {
        self.freshness.as_ref().is_some_and(|freshness| freshness.is_removal_uncertain(self.now))
    }

    /// Queries the daemons that read the platform for the age of their reads.
    pub(super) fn query_freshness(&mut self) {
        let proof_aging = self.is_proof_aging();
        let Some(freshness) = self.freshness.as_mut() else { return };
        let (query, readers) =
            freshness.query(self.now, &self.options.me, &self.all_pools_order, proof_aging);
        let readers: Vec<VmId> = readers.into_iter().cloned().collect();
        for reader in readers {
            self.post(&reader, PeerMessage::FreshnessQuery(query));
            self.pull_evacuations(&reader);
        }
    }

    /// Returns whether the proof is so old that more daemons have to be queried. While a configuration is being
    /// fetched, no daemon can prove the one in force, and each answer would advertise the new one again.
    fn is_proof_aging(&self) -> bool {
        let proof_aging =
            self.freshness.as_ref().is_some_and(|known| known.is_proof_aging(self.now));
        proof_aging && !self.configs.pull.is_under_way()
    }

    /// Decides whether this daemon has to read the platform.
    pub(super) fn step_freshness(&mut self) {
        let Some(freshness) = self.freshness.as_mut() else { return };
        let me = &self.options.me;
        let role = freshness.read_role(self.now, me, &self.all_pools_order);
        if self.read_role != role {
            self.read_role = role;
            self.actions.push(NodeAction::Platform(PlatformCall::Read(role)));
        }
        let query_due = freshness.is_query_due(self.now);
        if !freshness.is_removal_uncertain(self.now) && self.targets.settle() {
            self.refresh_discovered();
        }
        let evacuations_awaited = self.evacuation_proof.is_awaited(self.now);
        if query_due && (evacuations_awaited || self.is_proof_aging()) {
            self.query_freshness();
        }
        self.review_freshness();
    }

    /// Announces to the peers at once whether this daemon's view of the platform is stale.
    fn review_freshness(&mut self) {
        let Some(freshness) = self.freshness.as_ref() else { return };
        if self.members.set_stale(freshness.is_stale(self.now)) {
            self.last_heartbeat = None;
            self.review_roles();
        }
    }
}
