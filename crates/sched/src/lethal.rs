//! Decides which requests are refused because targets terminate while running them, or others that share a feature.
//!
//! Inputs: for each feature of a request, the target instances at which requests with it were interrupted; whether the
//! platform still lists them; whether such requests were answered since. A feature is the whole request, as its caller
//! repeats it, or a part of its prompt, in prompts of its account or of all.
//!
//! Owns: the suspect features, bounded in number and in instances of each. Relies on: entry daemons that report only
//! interruptions at targets that had not announced that they were leaving.
//!
//! The rule: requests with a feature are refused once [`LethalOptions::limit`] instances have terminated while running
//! them, or [`LethalOptions::shared_limit`] for a part, which different requests and their repeats add up to, until
//! [`LethalOptions::refused_for`] after the latest interruption, or the latest repeat of a whole request. Until it is
//! known whether the instances terminated, closed connections hold the requests. An instance that is still listed
//! [`LethalOptions::listing_expiry`] after an interruption has not terminated, so a cut link, a reset connection or an
//! invalid answer is ignored. Terminations before an answer, and those that another refused feature explains
//! ([`blame`]), do not count: a target runs several requests at once, and its termination makes all of them suspect.
//!
//! The limits are one higher where targets often terminate for other reasons ([`terminations`]), and for a whole request
//! one higher still where an answer had begun at any of the instances: a request that terminates its target does so as
//! it begins to run.
//!
//! A part terminates a target that begins to write the answer, so an answer that has begun refutes the interruptions
//! until [`LethalOptions::begun_for`] after it. A part counts only once the answer to a request without it has begun in
//! the same pool between two interruptions: while all targets of a pool terminate over and over, the part that all its
//! requests have does not stand out.
//!
//! Load pattern: callers repeat a request, or send others that share a part, at any daemon, and every engine that begins
//! to run one terminates. Every daemon keeps the same set of suspect features and merges the reports of the others, so
//! that it survives the loss of any daemon.

mod blame;
mod classification;
mod merge;
mod options;
mod served;
mod suspect;
mod terminations;
pub mod updates;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    FeatureReport, PoolHash, RequestDigest, RequestFeature, RequestInterruption, TargetInstance,
    Uptime,
};

use self::blame::BlamedGroup;
pub use self::options::LethalOptions;
use self::served::RecentlyServed;
use self::suspect::SuspectFeature;
use self::terminations::RecentTerminations;

/// Maximum number of instances recorded for one feature: above any limit on terminated instances.
const INSTANCE_LIMIT: usize = 12;

/// Whether the platform lists a target instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InstancePresence {
    /// Its list entry is present.
    Listed,
    /// Its list entry is missing, or names a later start.
    Unlisted,
    /// Not known: the platform fails, or the target does not announce itself.
    Unknown,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LethalVerdict {
    /// It may be sent.
    Clear,
    /// It has to wait until it is known which targets terminated, for at most this long.
    Held(Duration),
    /// It is refused.
    Refused,
}

/// The features that are suspected of, or established as, terminating the targets of requests that have them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LethalRequests {
    options: LethalOptions,
    suspects: BTreeMap<RequestFeature, SuspectFeature>,
    held: Vec<BlamedGroup>,
    refused: Vec<BlamedGroup>,
    terminations: RecentTerminations,
    served: RecentlyServed,
    /// Number of the latest change; the first one has the number 1.
    latest_change: u64,
}

impl LethalRequests {
    /// Returns an empty set.
    pub fn new(options: LethalOptions) -> LethalRequests {
        LethalRequests { options, ..LethalRequests::default() }
    }

    /// Records that a request with a feature was interrupted at an instance that this daemon saw listed then. Returns
    /// whether the state changed.
    pub fn record_interruption(
        &mut self,
        now: Uptime,
        feature: RequestFeature,
        interruption: RequestInterruption,
    ) -> bool {
        !self.record_interruptions(now, &[feature], &interruption).is_empty()
    }

    /// Records that a request with these features was interrupted. Returns those whose state changed.
    pub fn record_interruptions(
        &mut self,
        now: Uptime,
        features: &[RequestFeature],
        interruption: &RequestInterruption,
    ) -> Vec<RequestFeature> {
        let mut changed = Vec::new();
        for feature in features {
            let begun = self.served.latest(feature).filter(|_| feature.kind.is_shared());
            if begun.is_some_and(|begun| now <= begun + self.options.begun_for) {
                continue;
            }
            let change = self.latest_change + 1;
            let suspect = self.suspects.entry(*feature).or_default();
            if let Some(begun) = begun {
                suspect.record_begun(begun, &self.options);
            }
            if suspect.record_interruption(now, &self.options, interruption.clone()) {
                self.record_change(change, *feature);
                changed.push(*feature);
            }
        }
        self.classify_if(!changed.is_empty());
        changed
    }

    /// Records that a request was served whole, so that earlier terminations do not count against it. Returns whether
    /// the state changed.
    pub fn record_served(&mut self, now: Uptime, feature: &RequestFeature) -> bool {
        self.served.record(now, *feature);
        self.clear(feature)
    }

    /// Records that the answer to a request with these features began in a pool; features of whole requests are
    /// ignored. Returns the features whose state changed, also of other requests of the pool.
    pub fn record_begun(
        &mut self,
        now: Uptime,
        pool: PoolHash,
        features: &[RequestFeature],
    ) -> Vec<RequestFeature> {
        for feature in features.iter().filter(|feature| feature.kind.is_shared()) {
            self.served.record(now, *feature);
        }
        let mut changed = Vec::new();
        for (feature, suspect) in &mut self.suspects {
            if !feature.kind.is_shared() || feature.pool != pool {
                continue;
            }
            let has_changed = match features.contains(feature) {
                true => suspect.record_begun(now, &self.options),
                false => suspect.record_others_begun(now),
            };
            if has_changed {
                changed.push(*feature);
            }
        }
        self.record_changes(&changed);
        changed
    }

    /// Clears a feature of everything recorded against it. Returns whether the state changed.
    pub fn clear(&mut self, feature: &RequestFeature) -> bool {
        let changed = self.suspects.get_mut(feature).is_some_and(SuspectFeature::clear);
        if changed {
            self.record_changes(&[*feature]);
        }
        changed
    }

    /// Records that the platform has stored the refusal of requests with a feature.
    pub fn record_stored(&mut self, feature: &RequestFeature) {
        let suspect = self.suspects.get_mut(feature);
        if suspect.is_some_and(|suspect| !std::mem::replace(&mut suspect.stored, true)) {
            self.record_changes(&[*feature]);
        }
    }

    /// Advances the clock and checks which instances the platform lists; `targets` is the number of targets it lists.
    /// Returns the instances that were found to have terminated.
    pub fn review(
        &mut self,
        now: Uptime,
        targets: usize,
        presence_of: &dyn Fn(&TargetInstance) -> InstancePresence,
    ) -> Vec<(RequestFeature, TargetInstance)> {
        let mut terminated = Vec::new();
        let mut changed = Vec::new();
        for (feature, suspect) in &mut self.suspects {
            let before = terminated.len();
            let found = suspect.review(now, &self.options, presence_of);
            terminated.extend(found.terminated.into_iter().map(|instance| (*feature, instance)));
            if terminated.len() > before || found.dropped {
                changed.push(*feature);
            }
        }
        self.review_terminations(now, targets);
        self.record_changes(&changed);
        self.remove_expired(now);
        terminated
    }

    /// Returns whether a request with these features may be sent. A call for a refused whole request extends its refusal.
    pub fn verdict(&mut self, now: Uptime, features: &[RequestFeature]) -> LethalVerdict {
        let concerned =
            |group: &&BlamedGroup| group.iter().all(|feature| features.contains(feature));
        if let Some(group) = self.refused.iter().find(concerned) {
            let whole = group.iter().filter(|feature| !feature.kind.is_shared());
            for feature in whole {
                if let Some(suspect) = self.suspects.get_mut(feature) {
                    suspect.latest = now;
                }
            }
            return LethalVerdict::Refused;
        }
        let held = self.held.iter().filter(concerned).flatten();
        let suspects = held.filter_map(|feature| self.suspects.get(feature));
        let times = suspects.map(|suspect| suspect.time_until_known(now, &self.options));
        times.max().map_or(LethalVerdict::Clear, LethalVerdict::Held)
    }

    /// Returns the features whose requests are refused.
    pub fn refused(&self) -> impl Iterator<Item = &RequestFeature> {
        self.refused.iter().flatten()
    }

    /// Returns the refused features that the platform has not stored yet.
    pub fn unstored(&self) -> impl Iterator<Item = &RequestFeature> {
        self.refused()
            .filter(|feature| self.suspects.get(*feature).is_some_and(|suspect| !suspect.stored))
    }

    /// Returns the suspect features with this digest, of any kind.
    pub fn with_digest(&self, digest: &RequestDigest) -> Vec<RequestFeature> {
        self.suspects.keys().filter(|feature| feature.digest == *digest).copied().collect()
    }

    /// Returns the number of instances at which requests with a feature were interrupted.
    pub fn interruption_count(&self, feature: &RequestFeature) -> usize {
        self.suspects.get(feature).map_or(0, SuspectFeature::interruption_count)
    }

    /// Returns the number of suspect features, refused or not.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no feature is suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of the next change. It is at least 1, so that 0 marks a daemon that has never pulled changes.
    pub fn next_change(&self) -> u64 {
        self.latest_change + 1
    }

    /// Returns the report about a feature, for other daemons.
    pub fn report(&self, now: Uptime, feature: &RequestFeature) -> Option<FeatureReport> {
        self.suspects.get(feature).map(|suspect| suspect.report(now, *feature))
    }
}
