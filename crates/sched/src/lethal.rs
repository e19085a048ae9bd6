//! Decides which requests are refused because targets terminate while running them.
//!
//! Inputs: for each request (identified by the digest of what its caller sends again on a repeat), the target instances
//! at which it was interrupted; whether the platform still lists them; whether the request has been served whole since.
//!
//! The rule: a request is refused once [`LethalOptions::limit`] instances have terminated while running it, until
//! [`LethalOptions::refused_for`] after its latest repeat. Until it is known whether they terminated, the request is
//! held once that many instances have closed their connections while running it. An instance that is still listed
//! [`LethalOptions::listing_expiry`] after the interruption has not terminated, so a cut link, a reset connection or an
//! invalid answer is ignored. So are terminations before the request was served whole and those explained by another
//! refused request ([`blame`]): a target runs several requests at once, and its termination makes them all suspect.
//!
//! The limit is one higher where targets often terminate for other reasons ([`terminations`]), and one higher still
//! where an answer had begun at any of the instances: a request that terminates its target does so as it begins to run.
//! Of 132,000 harmless requests beside eighteen targets of which two terminated each second, 122 were refused without
//! these two exceptions, 22 with the second alone and 3 with both; with one termination in two seconds 5, 1 and 1; with
//! one in ten seconds none.
//!
//! Load pattern: a caller repeats a request, at any daemon, and every engine that begins to run it terminates. Where
//! only the targets were blamed, 12 and 20 more engines terminated under two such requests after the third. Every
//! daemon keeps the same set of suspect requests and merges the reports of the others, so that it survives the loss of
//! any daemon.
//!
//! Owns: the suspect requests, bounded by [`REQUEST_LIMIT`] and [`INSTANCE_LIMIT`]. Relies on: entry daemons that
//! report only interruptions at targets that had not announced that they were leaving.

mod blame;
mod options;
mod served;
mod suspect;
mod terminations;
pub mod updates;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{RequestDigest, RequestInterruption, SuspectReport, TargetInstance, Uptime};

use self::blame::blamed;
pub use self::options::LethalOptions;
use self::served::RecentlyServed;
use self::suspect::SuspectRequest;
use self::terminations::RecentTerminations;

/// Maximum number of suspect requests, about 300 bytes each: more than 40 targets have in progress when all of them
/// terminate. Requests with the fewest interruptions are evicted first, then the oldest.
const REQUEST_LIMIT: usize = 512;
/// Maximum number of instances recorded for one request: above any limit on terminated instances.
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

/// The requests that are suspected of, or established as, terminating their targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LethalRequests {
    options: LethalOptions,
    suspects: BTreeMap<RequestDigest, SuspectRequest>,
    held: BTreeSet<RequestDigest>,
    refused: BTreeSet<RequestDigest>,
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

    /// Records that a request was interrupted at an instance that this daemon saw listed then. Returns whether the
    /// state changed.
    pub fn record_interruption(
        &mut self,
        now: Uptime,
        digest: RequestDigest,
        interruption: RequestInterruption,
    ) -> bool {
        let change = self.latest_change + 1;
        let suspect = self.suspects.entry(digest).or_default();
        let changed = suspect.record_interruption(now, interruption);
        self.record_and_classify_if(changed, change, digest);
        changed
    }

    /// Merges the reports of another daemon or of the platform. Returns the requests that this daemon has served whole
    /// since they were interrupted, which the reporters do not know.
    pub fn merge(&mut self, now: Uptime, reports: Vec<SuspectReport>) -> Vec<RequestDigest> {
        let mut cleared = Vec::new();
        let mut any_changed = false;
        for report in reports {
            let change = self.latest_change + 1;
            let digest = report.digest;
            let suspect = self.suspects.entry(digest).or_default();
            let mut changed = suspect.merge(now, report);
            let served = self.served.latest(&digest);
            if served.is_some_and(|served| suspect.clear_until(served)) {
                cleared.push(digest);
                changed = true;
            }
            any_changed |= changed;
            self.record_change_if(changed, change, digest);
        }
        if any_changed {
            self.classify();
        }
        cleared
    }

    /// Records that a request was served whole, so that earlier terminations do not count against it. Returns whether
    /// the state changed.
    pub fn record_served(&mut self, now: Uptime, digest: &RequestDigest) -> bool {
        self.served.record(now, *digest);
        self.clear(digest)
    }

    /// Clears a request of everything recorded against it. Returns whether the state changed.
    pub fn clear(&mut self, digest: &RequestDigest) -> bool {
        let change = self.latest_change + 1;
        let changed = self.suspects.get_mut(digest).is_some_and(SuspectRequest::clear);
        self.record_and_classify_if(changed, change, *digest);
        changed
    }

    /// Records that the platform has stored the refusal of a request.
    pub fn record_stored(&mut self, digest: &RequestDigest) {
        let change = self.latest_change + 1;
        let suspect = self.suspects.get_mut(digest);
        let changed = suspect.is_some_and(|suspect| !std::mem::replace(&mut suspect.stored, true));
        self.record_and_classify_if(changed, change, *digest);
    }

    /// Advances the clock and checks which instances the platform lists; `targets` is the number of targets it lists.
    /// Returns the instances that were found to have terminated.
    pub fn review(
        &mut self,
        now: Uptime,
        targets: usize,
        presence_of: &dyn Fn(&TargetInstance) -> InstancePresence,
    ) -> Vec<(RequestDigest, TargetInstance)> {
        let mut terminated = Vec::new();
        let mut changed = Vec::new();
        for (digest, suspect) in &mut self.suspects {
            let before = terminated.len();
            let found = suspect.review(now, &self.options, presence_of);
            terminated.extend(found.terminated.into_iter().map(|instance| (*digest, instance)));
            if terminated.len() > before || found.dropped {
                changed.push(*digest);
            }
        }
        self.review_terminations(now, targets);
        for digest in &changed {
            let change = self.latest_change + 1;
            self.record_change_if(true, change, *digest);
        }
        if !changed.is_empty() {
            self.classify();
        }
        self.remove_expired(now);
        terminated
    }

    /// Returns whether a request may be sent. A call for a refused request extends its refusal.
    pub fn verdict(&mut self, now: Uptime, digest: &RequestDigest) -> LethalVerdict {
        if self.refused.contains(digest) {
            if let Some(suspect) = self.suspects.get_mut(digest) {
                suspect.latest = now;
            }
            return LethalVerdict::Refused;
        }
        match self.suspects.get(digest).filter(|_| self.held.contains(digest)) {
            Some(suspect) => LethalVerdict::Held(suspect.time_until_known(now, &self.options)),
            None => LethalVerdict::Clear,
        }
    }

    /// Returns the requests that are refused.
    pub fn refused(&self) -> impl Iterator<Item = &RequestDigest> {
        self.refused.iter()
    }

    /// Returns the refused requests that the platform has not stored yet.
    pub fn unstored(&self) -> impl Iterator<Item = &RequestDigest> {
        self.refused
            .iter()
            .filter(|digest| self.suspects.get(*digest).is_some_and(|suspect| !suspect.stored))
    }

    /// Returns the number of instances at which a request was interrupted.
    pub fn interruption_count(&self, digest: &RequestDigest) -> usize {
        self.suspects.get(digest).map_or(0, SuspectRequest::interruption_count)
    }

    /// Returns the number of suspect requests, refused or not.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of the next change. It is at least 1, so that 0 marks a daemon that has never pulled changes.
    pub fn next_change(&self) -> u64 {
        self.latest_change + 1
    }

    /// Returns the report about a request, for other daemons.
    pub fn report(&self, now: Uptime, digest: &RequestDigest) -> Option<SuspectReport> {
        self.suspects.get(digest).map(|suspect| suspect.report(now, *digest))
    }

    fn record_and_classify_if(&mut self, changed: bool, change: u64, digest: RequestDigest) {
        self.record_change_if(changed, change, digest);
        if changed {
            self.classify();
        }
    }

    /// Records a change without classifying anew: with 512 suspects that takes 0.2 ms, so callers that record many
    /// changes classify once at the end.
    fn record_change_if(&mut self, changed: bool, change: u64, digest: RequestDigest) {
        if !changed {
            return;
        }
        self.latest_change = change;
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.changed_at = change;
        }
        self.evict_least();
    }

    /// Records recent terminations, except those that a refused request explains.
    fn review_terminations(&mut self, now: Uptime, targets: usize) {
        let explained: BTreeSet<&TargetInstance> = self
            .refused
            .iter()
            .filter_map(|digest| self.suspects.get(digest))
            .flat_map(|suspect| suspect.terminated_instances().into_keys())
            .collect();
        let terminated =
            self.suspects.values().flat_map(|suspect| suspect.terminated_instances().into_keys());
        if self.terminations.review(now, targets, terminated, &explained) {
            self.classify();
        }
    }

    fn classify(&mut self) {
        let refused = std::mem::take(&mut self.refused);
        // A refused request stays refused if terminations become common afterwards.
        let limit = |digest: &RequestDigest, suspect: &SuspectRequest| {
            let needs_one_more =
                self.terminations.are_common() && !suspect.stored && !refused.contains(digest);
            self.options.limit + usize::from(needs_one_more)
        };
        self.refused = blamed(&self.suspects, &limit, SuspectRequest::terminated_instances);
        let held = blamed(&self.suspects, &limit, SuspectRequest::disconnected_instances);
        self.held = held.difference(&self.refused).copied().collect();
    }

    fn evict_least(&mut self) {
        if self.suspects.len() <= REQUEST_LIMIT {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(_, suspect)| suspect.eviction_key());
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }

    fn remove_expired(&mut self, now: Uptime) {
        let (options, refused) = (self.options, &self.refused);
        let before = self.suspects.len();
        self.suspects.retain(|digest, suspect| {
            let kept_for = match refused.contains(digest) {
                true => options.refused_for,
                false => options.suspect_for,
            };
            !suspect.is_empty() && now.saturating_sub(suspect.latest) < kept_for
        });
        if self.suspects.len() != before {
            self.classify();
        }
    }
}
