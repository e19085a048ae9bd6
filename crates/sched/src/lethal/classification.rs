//! Determines which suspect features are held and refused, and which are removed.
//!
//! Owns: nothing; methods of [`LethalRequests`]. Relies on: [`blamed`] for the features that are responsible.

use std::collections::BTreeSet;

use curlewcleat_core::{RequestFeature, TargetInstance, Uptime};

use super::blame::blamed;
use super::suspect::SuspectFeature;
use super::LethalRequests;

/// Maximum number of suspect whole requests, and of suspect shared features, about 300 bytes each: more than 40 targets
/// have in progress when all of them terminate. Those with the fewest interruptions are evicted first, then the oldest.
const SUSPECT_LIMIT: usize = 512;

impl LethalRequests {
    /// Records changes of these features and classifies all.
    pub(super) fn record_changes(&mut self, changed: &[RequestFeature]) {
        for feature in changed {
            self.record_change(self.latest_change + 1, *feature);
        }
        self.classify_if(!changed.is_empty());
    }

    /// Records a change without classifying anew: with 512 suspects that takes 0.2 ms, so callers that record many
    /// changes classify once at the end.
    pub(super) fn record_change(&mut self, change: u64, feature: RequestFeature) {
        self.latest_change = change;
        if let Some(suspect) = self.suspects.get_mut(&feature) {
            suspect.changed_at = change;
        }
        self.evict_least(feature.kind.is_shared());
    }

    /// Determines which features are held and refused, if any has changed.
    pub(super) fn classify_if(&mut self, changed: bool) {
        if changed {
            self.classify();
        }
    }

    fn classify(&mut self) {
        let refused: BTreeSet<RequestFeature> = self.refused().copied().collect();
        // A refused feature stays refused if terminations become common afterwards.
        let limit = |feature: &RequestFeature, suspect: &SuspectFeature| {
            let needs_one_more =
                self.terminations.are_common() && !suspect.stored && !refused.contains(feature);
            let limit = match feature.kind.is_shared() {
                true => self.options.shared_limit,
                false => self.options.limit,
            };
            limit + usize::from(needs_one_more)
        };
        self.refused = blamed(&self.suspects, &limit, SuspectFeature::terminated_instances);
        let held = blamed(&self.suspects, &limit, SuspectFeature::disconnected_instances);
        self.held = held.into_iter().filter(|group| !self.refused.contains(group)).collect();
    }

    /// Records recent terminations, except those that a refused feature explains.
    pub(super) fn review_terminations(&mut self, now: Uptime, targets: usize) {
        let explained: BTreeSet<&TargetInstance> = self
            .refused()
            .filter_map(|feature| self.suspects.get(feature))
            .flat_map(|suspect| suspect.terminated_instances().into_keys())
            .collect();
        let terminated =
            self.suspects.values().flat_map(|suspect| suspect.terminated_instances().into_keys());
        if self.terminations.review(now, targets, terminated, &explained) {
            self.classify();
        }
    }

    /// Evicts the least suspect whole request, or the least suspect shared feature, if there are too many. Neither kind
    /// evicts the other.
    fn evict_least(&mut self, shared: bool) {
        let of_kind =
            || self.suspects.iter().filter(|(feature, _)| feature.kind.is_shared() == shared);
        if of_kind().count() <= SUSPECT_LIMIT {
            return;
        }
        let least = of_kind().min_by_key(|(_, suspect)| suspect.eviction_key());
        if let Some(feature) = least.map(|(feature, _)| *feature) {
            self.suspects.remove(&feature);
        }
    }

    pub(super) fn remove_expired(&mut self, now: Uptime) {
        let options = self.options;
        let refused: BTreeSet<RequestFeature> = self.refused().copied().collect();
        let before = self.suspects.len();
        self.suspects.retain(|feature, suspect| {
            let kept_for = match refused.contains(feature) {
                true => options.refused_for,
                false => options.suspect_for,
            };
            !suspect.is_empty(now) && now.saturating_sub(suspect.latest) < kept_for
        });
        if self.suspects.len() != before {
            self.classify();
        }
    }
}
