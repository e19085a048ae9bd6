//! Exchanges reports on requests that terminate their targets: with peers, and with the platform.
//!
//! Each daemon keeps the whole set and evaluates it on its own. Updates are sent at once to the daemons that may
//! schedule. Each daemon also pulls what it lacks from the first of these every [`PULL_INTERVAL`], so that all
//! daemons know within two such intervals even if frames are lost. Requests that were interrupted only once are sent
//! a few at a time. The platform stores only that a request is refused, in one call.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `LethalRequests` for the rule, `TargetView` for the target
//! instances that the platform lists.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    ActiveConfig, DaemonId, Incarnation, PeerMessage, Refusal, RefusalReason, RequestDigest,
    RequestId, RequestInterruption, SuspectReport, SuspectsPull, SuspectsPush, TargetInstance,
    Uptime, VmId,
};
use curlewcleat_sched::{
    InstancePresence, LethalRequests, LethalVerdict, ReplacementStep, SuspectUpdates,
};

use super::Node;
use crate::event::{CallerDecision, NodeAction, NodeNote, PlatformCall};

/// Interval between pulls. With the answer it takes a third of the users' shortest bound in which all daemons have to
/// know, three seconds, so that one pull may be lost.
const PULL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of daemons to pull from: two, so that one may fail.
const PULL_PEERS: usize = 2;
/// Time after which an unanswered call to store a refusal is repeated.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Minimum retry advice for a request that is held but not refused permanently: several reviews, since it is unknown
/// when the platform will show which targets terminated.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The suspect requests and the state of their exchange.
#[derive(Clone, Debug, Default)]
pub(super) struct LethalExchange {
    pub requests: LethalRequests,
    /// Incarnation of each pulled daemon, and the number of its changes that are known here.
    known_changes: BTreeMap<VmId, (Incarnation, u64)>,
    last_pull: Option<Uptime>,
    /// Refused requests that were reported to the operators.
    reported: BTreeSet<RequestDigest>,
    /// When the platform was last called to store each refusal.
    store_requested: BTreeMap<RequestDigest, Uptime>,
}

impl Node {
    /// Records that a request was interrupted at a target, unless the target had announced that it leaves, gets no
    /// requests because of its version, or is not known.
    pub(super) fn attempt_interrupted(
        &mut self,
        digest: RequestDigest,
        interruption: RequestInterruption,
    ) {
        let instance = &interruption.instance;
        let listed = self.targets.shows(instance);
        let announced_leaving =
            self.targets.is_leaving(&instance.id) || self.has_announced_leaving(&instance.id);
        let leaving = announced_leaving || self.is_blocked_target(&instance.id);
        if leaving || !listed && !names_target(&self.store.active(), instance) {
            return;
        }
        if self.lethal.requests.record_interruption(self.now, digest, interruption) {
            self.send_suspect(&digest);
            self.report_refusal_changes();
        }
    }

    /// Records that a request was answered in full.
    pub(super) fn answer_completed(&mut self, id: RequestId) {
        let Some(digest) = self.entry.digest_of(id) else { return };
        if self.lethal.requests.record_served(self.now, &digest) {
            self.send_suspect(&digest);
        }
    }

    /// Clears a request on an operator's order.
    pub(super) fn clear_suspect(&mut self, digest: RequestDigest) {
        let refused = self.lethal.requests.refused().any(|refused| *refused == digest);
        if self.lethal.requests.clear(&digest) {
            self.actions.push(NodeAction::Note(NodeNote::SuspectCleared(digest)));
            self.send_suspect(&digest);
        }
        if refused {
            self.actions.push(NodeAction::Platform(PlatformCall::DropRefusal(digest)));
        }
        self.report_refusal_changes();
    }

    /// Returns the refusal of a request that may not be sent to a target, either for now or permanently.
    pub(super) fn lethal_refusal(&mut self, digest: Option<RequestDigest>) -> Option<Refusal> {
        match self.lethal.requests.verdict(self.now, &digest?) {
            LethalVerdict::Clear => None,
            LethalVerdict::Held(time) => {
                let wait = time.max(MIN_RETRY_AFTER);
                Some(Refusal::not_run(RefusalReason::RequestSuspect, Some(wait)))
            }
            LethalVerdict::Refused => Some(Refusal::not_run(RefusalReason::RequestLethal, None)),
        }
    }

    /// Refuses a request that was granted a target but was found lethal while it waited. A request that already runs
    /// at a target stays there.
    pub(super) fn refuse_granted(&mut self, id: RequestId, refusal: Refusal) {
        let actions = match self.entry.awaits_replacement(id) {
            true => return self.replacement(id, ReplacementStep::Declined),
            false => self.entry.cancelled(id),
        };
        self.perform(actions);
        self.actions.push(NodeAction::Decide(id, CallerDecision::Refuse(refusal)));
    }

    /// Checks which targets have terminated, and has the platform store the refusals.
    pub(super) fn review_lethal(&mut self) {
        if self.lethal.requests.is_empty() {
            return;
        }
        let uncertain = self.is_removal_uncertain();
        let config = self.store.active();
        let targets = &self.targets;
        let presence = |instance: &TargetInstance| {
            if names_target(&config, instance) {
                InstancePresence::Listed
            } else if uncertain {
                InstancePresence::Unknown
            } else if targets.shows(instance) {
                InstancePresence::Listed
            } else {
                InstancePresence::Unlisted
            }
        };
        let ended = self.lethal.requests.review(self.now, self.targets.len(), &presence);
        let repeated: BTreeSet<RequestDigest> = ended
            .iter()
            .map(|(digest, _)| *digest)
            .filter(|digest| self.lethal.requests.interruption_count(digest) > 1)
            .collect();
        for (digest, instance) in ended {
            self.actions.push(NodeAction::Note(NodeNote::TargetTerminated(digest, instance)));
        }
        // Most requests that ran at a terminated target are involved in no other termination; peers pull those
        // reports.
        repeated.iter().for_each(|digest| self.send_suspect(digest));
        self.report_refusal_changes();
        self.store_refusals();
    }

    /// Pulls from the first daemons that may schedule the reports that this one lacks.
    pub(super) fn pull_suspects(&mut self) {
        if self.lethal.last_pull.is_some_and(|last| self.now < last + PULL_INTERVAL) {
            return;
        }
        self.lethal.last_pull = Some(self.now);
        let me = &self.options.me;
        let pulled: Vec<DaemonId> = self
            .all_pools_order
            .iter()
            .filter(|daemon| *daemon != me)
            .take(PULL_PEERS)
            .cloned()
            .collect();
        for daemon in pulled {
            self.pull_suspects_from(&daemon);
        }
    }

    fn pull_suspects_from(&mut self, daemon: &DaemonId) {
        let known = self.lethal.known_changes.get(&daemon.vm);
        let known = known.filter(|(incarnation, _)| *incarnation == daemon.incarnation);
        let known = known.map_or(0, |(_, changes)| *changes);
        self.post(&daemon.vm, PeerMessage::SuspectsPull(SuspectsPull { known }));
    }

    /// Answers a pull if the peer has not pulled before or lacks any report.
    pub(super) fn suspects_pulled(&mut self, from: &VmId, pull: SuspectsPull) {
        let next_change = self.lethal.requests.next_change();
        if pull.known >= next_change {
            return;
        }
        let SuspectUpdates { next_change, requests } =
            self.lethal.requests.updates(self.now, pull.known);
        self.post(from, PeerMessage::SuspectsPush(SuspectsPush { at: next_change, requests }));
    }

    pub(super) fn suspects_pushed(&mut self, from: &DaemonId, push: SuspectsPush) {
        if push.at > 0 {
            self.lethal.known_changes.insert(from.vm.clone(), (from.incarnation, push.at));
        }
        self.merge_suspects(push.requests);
    }

    /// Merges reports on suspect requests from peers or from the platform.
    pub(super) fn merge_suspects(&mut self, reports: Vec<SuspectReport>) {
        let cleared = self.lethal.requests.merge(self.now, reports);
        cleared.iter().for_each(|digest| self.send_suspect(digest));
        self.review_lethal();
    }

    /// Records that the platform has stored a refusal.
    pub(super) fn refusal_stored(&mut self, digest: &RequestDigest) {
        self.lethal.store_requested.remove(digest);
        self.lethal.requests.record_stored(digest);
        self.send_suspect(digest);
    }

    /// Sends all reports to daemons that may schedule from now on: the earlier schedulers may have ended without
    /// passing them on, or may have been unable to reach the new ones.
    pub(super) fn send_suspects_to_new_schedulers(&mut self, before: &[DaemonId]) {
        let requests = self.lethal.requests.changes_since(self.now, 0);
        if requests.is_empty() {
            return;
        }
        for vm in self.new_schedulers(before) {
            let push = SuspectsPush { at: 0, requests: requests.clone() };
            self.post(&vm, PeerMessage::SuspectsPush(push));
        }
    }

    fn send_suspect(&mut self, digest: &RequestDigest) {
        let Some(report) = self.lethal.requests.report(self.now, digest) else { return };
        for daemon in self.other_schedulers() {
            let push = SuspectsPush { at: 0, requests: vec![report.clone()] };
            self.post(&daemon.vm, PeerMessage::SuspectsPush(push));
        }
    }

    /// Reports to the operators which requests are refused from now on, and which are no longer refused.
    fn report_refusal_changes(&mut self) {
        let refused: BTreeSet<RequestDigest> = self.lethal.requests.refused().copied().collect();
        if refused == self.lethal.reported {
            return;
        }
        for digest in refused.difference(&self.lethal.reported) {
            let Some(report) = self.lethal.requests.report(self.now, digest) else { continue };
            self.actions.push(NodeAction::Note(NodeNote::RequestLethal(report)));
        }
        for digest in self.lethal.reported.difference(&refused) {
            self.actions.push(NodeAction::Note(NodeNote::RequestAllowed(*digest)));
        }
        self.lethal.reported = refused;
    }

    /// Has the platform store the refusals, if this daemon is first in the order of schedulers.
    fn store_refusals(&mut self) {
        if self.all_pools_order.first() != Some(&self.options.me) {
            return;
        }
        let unstored: Vec<RequestDigest> = self.lethal.requests.unstored().copied().collect();
        for digest in unstored {
            let requested = self.lethal.store_requested.get(&digest);
            if requested.is_some_and(|requested| self.now < *requested + STORE_RETRY_AFTER) {
                continue;
            }
            self.lethal.store_requested.insert(digest, self.now);
            if let Some(report) = self.lethal.requests.report(self.now, &digest) {
                self.actions.push(NodeAction::Platform(PlatformCall::StoreRefusal(report)));
            }
        }
    }
}

/// Returns whether the configuration itself names the target, so that no list entry shows its instances.
fn names_target(config: &ActiveConfig, instance: &TargetInstance) -> bool {
    config.pools.values().any(|pool| pool.targets.contains_key(&instance.id))
}
