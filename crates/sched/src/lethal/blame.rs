//! Decides which of the requests that ran on a terminated instance is responsible for its termination.
//!
//! Inputs: the terminated instances of each request, and whether its answer had begun there.
//!
//! The rule: requests are examined in descending number of terminated instances. A request with at least its limit of
//! them is blamed, and its instances count against no other request. Requests with equal numbers are examined together.
//! Where an answer had begun at some of the instances, one more is needed. A request that shared the targets of a
//! lethal one by chance is freed as soon as the lethal one has more terminated instances.
//!
//! Owns: nothing. Relies on: the records of each suspect request.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use curlewcleat_core::{RequestDigest, TargetInstance};

use super::suspect::{InterruptedInstances, SuspectRequest};

/// Selects the instances that count against a request.
type InstancesOf = for<'s> fn(&'s SuspectRequest) -> InterruptedInstances<'s>;

/// Returns the number of instances at which a request is blamed.
type LimitOf<'l> = &'l dyn Fn(&RequestDigest, &SuspectRequest) -> usize;

/// A request with enough instances to be considered.
struct BlameCandidate<'s> {
    digest: RequestDigest,
    instances: InterruptedInstances<'s>,
    limit: usize,
}

/// Returns the requests that are to blame, each for at least its limit of instances.
pub(super) fn blamed(
    suspects: &BTreeMap<RequestDigest, SuspectRequest>,
    limit_of: LimitOf<'_>,
    instances_of: InstancesOf,
) -> BTreeSet<RequestDigest> {
    let candidates = suspects.iter().map(|(digest, suspect)| BlameCandidate {
        digest: *digest,
        instances: instances_of(suspect),
        limit: limit_of(digest, suspect),
    });
    let mut by_count: Vec<BlameCandidate<'_>> =
        candidates.filter(|candidate| candidate.instances.len() >= candidate.limit).collect();
    by_count.sort_by_key(|candidate| Reverse(candidate.instances.len()));
    let mut blamed = BTreeSet::new();
    let mut explained = BTreeSet::new();
    for tied in by_count.chunk_by(|first, second| first.instances.len() == second.instances.len()) {
        let responsible: Vec<_> =
            tied.iter().filter(|candidate| candidate.is_to_blame(&explained)).collect();
        for candidate in responsible {
            blamed.insert(candidate.digest);
            explained.extend(candidate.instances.keys().copied());
        }
    }
    blamed
}

impl BlameCandidate<'_> {
    /// Returns whether the instances that no other request explains reach the limit.
    fn is_to_blame(&self, explained: &BTreeSet<&TargetInstance>) -> bool {
        let unexplained =
            self.instances.iter().filter(|(instance, _)| !explained.contains(*instance));
        let begun: Vec<bool> = unexplained.map(|(_, interruption)| interruption.begun).collect();
        let unanswered = begun.iter().filter(|begun| !**begun).count();
        unanswered >= self.limit || begun.len() > self.limit
    }
}
