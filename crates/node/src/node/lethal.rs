//! Records which requests terminate their targets, refuses them, and has the platform store the refusals.
//!
//! The platform stores only that requests with a feature are refused, in one call. `suspects` exchanges the reports with
//! the other daemons.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `LethalRequests` for the rule, `TargetView` for the target
//! instances that the platform lists.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    ActiveConfig, FeatureReport, PoolHash, Refusal, RefusalReason, RequestDigest, RequestFeature,
    RequestId, RequestInterruption, TargetInstance, Uptime,
};
use curlewcleat_sched::{InstancePresence, LethalRequests, LethalVerdict, ReplacementStep};

use super::suspects::SuspectPulls;
use super::Node;
use crate::event::{CallerDecision, NodeAction, NodeNote, PlatformCall};

/// Time after which an unanswered call to store a refusal is repeated.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Minimum retry advice for a request that is held but not refused permanently: several reviews, since it is unknown
/// when the platform will show which targets terminated.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The suspect features and the state of their exchange.
#[derive(Clone, Debug, Default)]
pub(super) struct LethalExchange {
    pub requests: LethalRequests,
    pub pulls: SuspectPulls,
    /// Refused features that were reported to the operators.
    reported: BTreeSet<RequestFeature>,
    /// When the platform was last called to store each refusal.
    store_requested: BTreeMap<RequestFeature, Uptime>,
}

impl Node {
    /// Records that a request with these features was interrupted at a target, unless the target had announced that it
    /// leaves, gets no requests because of its version, or is not known.
    pub(super) fn attempt_interrupted(
        &mut self,
        features: &[RequestFeature],
        interruption: &RequestInterruption,
    ) {
        let instance = &interruption.instance;
        let listed = self.targets.shows(instance);
        let announced_leaving =
            self.targets.is_leaving(&instance.id) || self.has_announced_leaving(&instance.id);
        let leaving = announced_leaving || self.is_blocked_target(&instance.id);
        if leaving || !listed && !names_target(&self.store.active(), instance) {
            return;
        }
        let changed = self.lethal.requests.record_interruptions(self.now, features, interruption);
        if !changed.is_empty() {
            self.send_suspects(&changed);
            self.report_refusal_changes();
        }
    }

    /// Records that a request was answered in full.
    pub(super) fn answer_completed(&mut self, id: RequestId) {
        let Some(spec) = self.entry.spec_of(id) else { return };
        let whole = spec.digest.map(RequestFeature::from);
        // The beginning of an answer is reported only for requests with shared parts.
        let has_parts = !spec.part_features.is_empty();
        if let Some(whole) =
            whole.filter(|whole| self.lethal.requests.record_served(self.now, whole))
        {
            self.send_suspects(&[whole]);
        }
        if !has_parts {
            self.answer_established(id);
        }
    }

    /// Records that the answer to a request began and went on, so that its target has not terminated as it began.
    pub(super) fn answer_established(&mut self, id: RequestId) {
        let Some(spec) = self.entry.spec_of(id) else { return };
        let pool = PoolHash::of(&spec.pool);
        let changed = self.lethal.requests.record_begun(self.now, pool, &spec.part_features);
        if !changed.is_empty() {
            self.send_suspects(&changed);
            self.report_refusal_changes();
        }
    }

    /// Clears the features with a digest on an operator's order.
    pub(super) fn clear_suspect(&mut self, digest: &RequestDigest) {
        for feature in self.lethal.requests.with_digest(digest) {
            let refused = self.lethal.requests.refused().any(|refused| *refused == feature);
            if self.lethal.requests.clear(&feature) {
                self.actions.push(NodeAction::Note(NodeNote::SuspectCleared(feature)));
                self.send_suspects(&[feature]);
            }
            if refused {
                self.actions.push(NodeAction::Platform(PlatformCall::DropRefusal(feature)));
            }
        }
        self.report_refusal_changes();
    }

    /// Returns the refusal of a request that may not be sent to a target because of its features, either for now or
    /// permanently.
    pub(super) fn lethal_refusal(
        &mut self,
        features: impl Iterator<Item = RequestFeature>,
    ) -> Option<Refusal> {
        if self.lethal.requests.is_empty() {
            return None;
        }
        let features: Vec<RequestFeature> = features.collect();
        match self.lethal.requests.verdict(self.now, &features) {
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
        let is_list_unknown = self.freshness.is_some() && self.targets.at() == 0;
        let uncertain = self.is_removal_uncertain() || is_list_unknown;
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
        let repeated: BTreeSet<RequestFeature> = ended
            .iter()
            .map(|(feature, _)| *feature)
            .filter(|feature| self.lethal.requests.interruption_count(feature) > 1)
            .collect();
        for (feature, instance) in ended {
            // A termination concerns all parts of all requests there; those of a single one tell nothing.
            if !feature.kind.is_shared() || repeated.contains(&feature) {
                self.actions.push(NodeAction::Note(NodeNote::TargetTerminated(feature, instance)));
            }
        }
        // Most features of requests that ran at a terminated target are involved in no other termination; peers pull
        // those reports.
        self.send_suspects(&repeated.into_iter().collect::<Vec<_>>());
        self.report_refusal_changes();
        self.store_refusals();
    }

    /// Merges reports on suspect features from peers or from the platform.
    pub(super) fn merge_suspects(&mut self, reports: Vec<FeatureReport>) {
        let cleared = self.lethal.requests.merge(self.now, reports);
        self.send_suspects(&cleared);
        self.review_lethal();
    }

    /// Records that the platform has stored a refusal.
    pub(super) fn refusal_stored(&mut self, feature: &RequestFeature) {
        self.lethal.store_requested.remove(feature);
        self.lethal.requests.record_stored(feature);
        self.send_suspects(&[*feature]);
    }

    /// Reports to the operators which features are refused from now on, and which are no longer refused.
    fn report_refusal_changes(&mut self) {
        let refused: BTreeSet<RequestFeature> = self.lethal.requests.refused().copied().collect();
        if refused == self.lethal.reported {
            return;
        }
        for feature in refused.difference(&self.lethal.reported) {
            let Some(report) = self.lethal.requests.report(self.now, feature) else { continue };
            self.actions.push(NodeAction::Note(NodeNote::RequestLethal(report)));
        }
        for feature in self.lethal.reported.difference(&refused) {
            self.actions.push(NodeAction::Note(NodeNote::RequestAllowed(*feature)));
        }
        self.lethal.reported = refused;
    }

    /// Has the platform store the refusals, if this daemon is first in the order of schedulers.
    fn store_refusals(&mut self) {
        if self.all_pools_order.first() != Some(&self.options.me) {
            return;
        }
        let unstored: Vec<RequestFeature> = self.lethal.requests.unstored().copied().collect();
        for feature in unstored {
            let requested = self.lethal.store_requested.get(&feature);
            if requested.is_some_and(|requested| self.now < *requested + STORE_RETRY_AFTER) {
                continue;
            }
            self.lethal.store_requested.insert(feature, self.now);
            if let Some(report) = self.lethal.requests.report(self.now, &feature) {
                self.actions.push(NodeAction::Platform(PlatformCall::StoreRefusal(report)));
            }
        }
    }
}

/// Returns whether the configuration itself names the target, so that no list entry shows its instances.
fn names_target(config: &ActiveConfig, instance: &TargetInstance) -> bool {
    config.pools.values().any(|pool| pool.targets.contains_key(&instance.id))
}
