//! Requests under which targets end: what this daemon saw, what others tell, and what the platform keeps.
//!
//! Each daemon keeps the whole set and judges for itself. News go at once to the daemons that may schedule, and each
//! daemon asks the first of those every [`PULL_INTERVAL`] for what it has not, so that all know within two such times,
//! also where frames were lost; requests that broke off once only are sent a few at a time. Only that a request is refused goes to the platform, in one call.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `LethalRequests` for the rule, `TargetView` for the lives that
//! are shown.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    ActiveConfig, DaemonId, Incarnation, PeerMessage, Refusal, RefusalReason, RequestBreak,
    RequestDigest, RequestId, SuspectReport, SuspectsPull, SuspectsPush, TargetLife, Uptime, VmId,
};
use curlewcleat_sched::{LethalRequests, LethalVerdict, LifeSight, ReplacementStep, SuspectNews};

use super::Node;
use crate::event::{CallerDecision, NodeAction, NodeNote, PlatformCall};

/// Time between two questions for what others know: with its answer a third of the users' shortest bound for what all
/// daemons have to know, three seconds, so that one of them may be lost.
const PULL_INTERVAL: Duration = Duration::from_secs(1);
/// Daemons that are asked: two, so that one may fail.
const PULL_PEERS: usize = 2;
/// Time after which a call that would have the platform keep a refusal is made again.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Least time after which a request may come back that is not refused for good: several reviews, where it cannot be
/// told when the platform will show what ended.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a node keeps beside the requests themselves.
#[derive(Clone, Debug, Default)]
pub(super) struct LethalExchange {
    pub requests: LethalRequests,
    /// How far the set of each daemon that was asked is known.
    known_revisions: BTreeMap<VmId, (Incarnation, u64)>,
    last_pull: Option<Uptime>,
    /// Requests of which the operators know that they are refused.
    reported: BTreeSet<RequestDigest>,
    /// When the platform was last asked to keep a refusal.
    store_requested: BTreeMap<RequestDigest, Uptime>,
}

impl Node {
    /// A request broke off at a target. It counts where the target had said nothing of leaving.
    pub(super) fn attempt_interrupted(
        &mut self,
        digest: RequestDigest,
        interruption: RequestBreak,
    ) {
        let life = &interruption.life;
        let announced = self.targets.shows(life);
        let told = self.targets.is_leaving(&life.id) || self.has_announced_leaving(&life.id);
        let leaving = told || self.is_shut_target(&life.id);
        if leaving || !announced && !names_target(&self.store.active(), life) {
            return;
        }
        if self.lethal.requests.broken_off(self.now, digest, interruption) {
            self.send_suspect(&digest);
            self.report_refusal_changes();
        }
    }

    /// A request that has ended was served whole.
    pub(super) fn answer_completed(&mut self, id: RequestId) {
        let Some(digest) = self.entry.digest_of(id) else { return };
        if self.lethal.requests.served(self.now, &digest) {
            self.send_suspect(&digest);
        }
    }

    /// An operator clears a request.
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

    /// The refusal of a request that may not be sent to a target, now or at all.
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

    /// Gives up a request that was granted a target: it has proved lethal while it waited. One that is still at
    /// a target stays there.
    pub(super) fn refuse_granted(&mut self, id: RequestId, refusal: Refusal) {
        let actions = match self.entry.keeps_target(id) {
            true => return self.replacement(id, ReplacementStep::Declined),
            false => self.entry.cancelled(id),
        };
        self.perform(actions);
        self.actions.push(NodeAction::Decide(id, CallerDecision::Refuse(refusal)));
    }

    /// Looks which targets have ended, and has the platform keep what is refused.
    pub(super) fn review_lethal(&mut self) {
        if self.lethal.requests.is_empty() {
            return;
        }
        let doubtful = self.is_doubtful();
        let config = self.store.active();
        let targets = &self.targets;
        let sight = |life: &TargetLife| {
            if names_target(&config, life) {
                LifeSight::Shown
            } else if doubtful {
                LifeSight::Unknown
            } else if targets.shows(life) {
                LifeSight::Shown
            } else {
                LifeSight::Gone
            }
        };
        let ended = self.lethal.requests.review(self.now, self.targets.len(), &sight);
        let repeated: BTreeSet<RequestDigest> = ended
            .iter()
            .map(|(digest, _)| *digest)
            .filter(|digest| self.lethal.requests.breaks_of(digest) > 1)
            .collect();
        for (digest, life) in ended {
            self.actions.push(NodeAction::Note(NodeNote::TargetEnded(digest, life)));
        }
        // Most requests at a target that ends are under no other end; what is known of them others ask for.
        repeated.iter().for_each(|digest| self.send_suspect(digest));
        self.report_refusal_changes();
        self.store_refusals();
    }

    /// Asks the daemons that may schedule for what this one does not know.
    pub(super) fn pull_suspects(&mut self) {
        if self.lethal.last_pull.is_some_and(|last| self.now < last + PULL_INTERVAL) {
            return;
        }
        self.lethal.last_pull = Some(self.now);
        let me = &self.options.me;
        let asked: Vec<DaemonId> =
            self.order.iter().filter(|daemon| *daemon != me).take(PULL_PEERS).cloned().collect();
        for daemon in asked {
            self.pull_suspects_from(&daemon);
        }
    }

    fn pull_suspects_from(&mut self, daemon: &DaemonId) {
        let known = self.lethal.known_revisions.get(&daemon.vm);
        let known = known.filter(|(incarnation, _)| *incarnation == daemon.incarnation);
        let known = known.map_or(0, |(_, at)| *at);
        self.post(&daemon.vm, PeerMessage::SuspectsPull(SuspectsPull { known }));
    }

    /// A peer asks; it gets an answer only where it has not asked before, or there is anything that it does not know.
    pub(super) fn suspects_pulled(&mut self, from: &VmId, pull: SuspectsPull) {
        let at = self.lethal.requests.at();
        if pull.known >= at {
            return;
        }
        let SuspectNews { at, requests } = self.lethal.requests.news(self.now, pull.known);
        self.post(from, PeerMessage::SuspectsPush(SuspectsPush { at, requests }));
    }

    pub(super) fn suspects_pushed(&mut self, from: &DaemonId, push: SuspectsPush) {
        if push.at > 0 {
            self.lethal.known_revisions.insert(from.vm.clone(), (from.incarnation, push.at));
        }
        self.merge_suspects(push.requests);
    }

    /// Peers or the platform know of suspect requests.
    pub(super) fn merge_suspects(&mut self, reports: Vec<SuspectReport>) {
        let cleared = self.lethal.requests.merge(self.now, reports);
        cleared.iter().for_each(|digest| self.send_suspect(digest));
        self.review_lethal();
    }

    /// The platform keeps that a request is refused.
    pub(super) fn refusal_stored(&mut self, digest: &RequestDigest) {
        self.lethal.store_requested.remove(digest);
        self.lethal.requests.stored(digest);
        self.send_suspect(digest);
    }

    /// Daemons that may schedule from now on learn what this one knows: those before them may have ended with it, or
    /// have been out of its reach.
    pub(super) fn send_suspects_to_new_schedulers(&mut self, before: &[DaemonId]) {
        let requests = self.lethal.requests.since(self.now, 0);
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

    /// Tells the operators which requests are refused from now on, or no longer.
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

    /// The first daemon in the order has the platform keep what is refused.
    fn store_refusals(&mut self) {
        if self.order.first() != Some(&self.options.me) {
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

/// Whether a configuration itself names the target, so that no entry tells of its lives.
fn names_target(config: &ActiveConfig, life: &TargetLife) -> bool {
    config.pools.values().any(|pool| pool.targets.contains_key(&life.id))
}
