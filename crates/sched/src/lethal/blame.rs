//! Decides which features of the requests that ran on terminated instances are responsible for the terminations.
//!
//! Inputs: the terminated instances of each feature, and whether an answer had begun there.
//!
//! The rule: features are examined in descending number of terminated instances. A feature with at least its limit of
//! them is blamed, and its instances count against no other one. Of those with equal numbers, features with which no
//! answer has ever begun come first, then whole requests, then the parts of one account, then the parts of all accounts:
//! a caller whose requests terminate targets is not the reason to refuse others. Features that are equal in all of
//! this are examined together. Shared features with the same instances are blamed together: nothing distinguishes them,
//! so only a request that has all of them is like those that terminated targets. Where an answer had begun at some of
//! the instances, one more is needed. A feature that shared the targets of a lethal one by chance is freed as soon as
//! the lethal one has more terminated instances.
//!
//! Owns: nothing. Relies on: the records of each suspect feature.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use curlewcleat_core::{FeatureKind, RequestFeature, TargetInstance};

use super::suspect::{InterruptedInstances, SuspectFeature};

/// Selects the instances that count against a feature.
type InstancesOf = for<'s> fn(&'s SuspectFeature) -> InterruptedInstances<'s>;

/// Returns the number of instances at which a feature is blamed.
type LimitOf<'l> = &'l dyn Fn(&RequestFeature, &SuspectFeature) -> usize;

/// Features that are blamed together: a request is concerned if it has all of them.
pub(super) type BlamedGroup = BTreeSet<RequestFeature>;

/// A feature with enough instances to be considered.
struct BlameCandidate<'s> {
    feature: RequestFeature,
    has_begun: bool,
    instances: InterruptedInstances<'s>,
    limit: usize,
}

/// Returns the features that are to blame, each for at least its limit of instances.
pub(super) fn blamed(
    suspects: &BTreeMap<RequestFeature, SuspectFeature>,
    limit_of: LimitOf<'_>,
    instances_of: InstancesOf,
) -> Vec<BlamedGroup> {
    let mut by_count = candidates(suspects, limit_of, instances_of);
    by_count.sort_by_key(BlameCandidate::order);
    let mut blamed = Vec::new();
    let mut explained = BTreeSet::new();
    for tied in by_count.chunk_by(|first, second| first.order() == second.order()) {
        let responsible: Vec<_> =
            tied.iter().filter(|candidate| candidate.is_to_blame(&explained)).collect();
        explained.extend(responsible.iter().flat_map(|candidate| candidate.instances.keys()));
        blamed.extend(grouped(&responsible));
    }
    blamed
}

/// Returns the features with enough instances. Where no request of a pool is answered, none of the features that its
/// requests share stands out, so these are not considered.
fn candidates<'s>(
    suspects: &'s BTreeMap<RequestFeature, SuspectFeature>,
    limit_of: LimitOf<'_>,
    instances_of: InstancesOf,
) -> Vec<BlameCandidate<'s>> {
    let considered = suspects
        .iter()
        .filter(|(feature, suspect)| !feature.kind.is_shared() || suspect.has_contrast());
    let candidates = considered.map(|(feature, suspect)| BlameCandidate {
        feature: *feature,
        has_begun: suspect.has_begun(),
        instances: instances_of(suspect),
        limit: limit_of(feature, suspect),
    });
    candidates.filter(|candidate| candidate.instances.len() >= candidate.limit).collect()
}

/// Groups shared features with the same instances; each whole request is a group of its own.
fn grouped(responsible: &[&BlameCandidate<'_>]) -> Vec<BlamedGroup> {
    let (shared, whole): (Vec<&BlameCandidate<'_>>, Vec<_>) =
        responsible.iter().partition(|candidate| candidate.feature.kind.is_shared());
    let mut by_instances: BTreeMap<Vec<&TargetInstance>, BlamedGroup> = BTreeMap::new();
    for candidate in shared {
        let instances = candidate.instances.keys().copied().collect();
        by_instances.entry(instances).or_default().insert(candidate.feature);
    }
    let whole = whole.into_iter().map(|candidate| BlamedGroup::from([candidate.feature]));
    whole.chain(by_instances.into_values()).collect()
}

impl BlameCandidate<'_> {
    /// Returns the order in which candidates are examined.
    fn order(&self) -> (Reverse<usize>, bool, FeatureKind) {
        (Reverse(self.instances.len()), self.has_begun, self.feature.kind)
    }

    /// Returns whether the instances that no other feature explains reach the limit.
    fn is_to_blame(&self, explained: &BTreeSet<&TargetInstance>) -> bool {
        let unexplained =
            self.instances.iter().filter(|(instance, _)| !explained.contains(*instance));
        let begun: Vec<bool> = unexplained.map(|(_, interruption)| interruption.begun).collect();
        let unanswered = begun.iter().filter(|begun| !**begun).count();
        unanswered >= self.limit || begun.len() > self.limit
    }
}
