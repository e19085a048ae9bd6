//! Is a request the reason for which targets end?
//!
//! Inputs: for each request, by what its caller sends again when it repeats it, the lives of targets under which it broke
//! off; whether the platform still shows those lives; whether it was served whole since. The rule: a request
//! under which [`LethalOptions::limit`] lives have ended is refused for good. Until it is known whether they ended,
//! it is refused for the time being once as many have closed their connections under it. A life that is still shown
//! [`LethalOptions::shown_for`] after the break has not ended, so that a cut link, a reset connection or a spoilt answer count for
//! nothing. Lives that ended before the request was served whole, or under a request that is refused itself
//! ([`blame`]), count for nothing either: a target runs several requests at once, and each end makes all of them
//! suspect. One more life has to end where targets end all the time for other reasons ([`ends`]), and one more where an
//! answer had begun at any of them: a request that ends its target does so as it begins to run.
//! Of 132,000 requests that did nothing, beside eighteen targets of which two ended each second, 122 were refused
//! without these two rules, 22 with the second alone, 3 with both; with an end in two seconds 5, 1 and 1; with
//! one in ten seconds none (ten seeded crowds of two minutes).
//!
//! Load pattern: a caller that sends a request again and again, at any daemon, under which every engine ends that
//! begins to run it. Where only the targets were blamed, 12 and 20 more engines ended under two requests after the third.
//!
//! Every daemon keeps the same set and merges what others report, so that no daemon's end loses it. Memory is
//! bounded by [`REQUEST_LIMIT`] and [`BREAK_LIMIT`].
//!
//! Owns: the suspect requests. Relies on: entries that report only what broke off at a target that had said nothing of
//! leaving.

mod blame;
mod ends;
pub mod news;
mod options;
mod served;
mod suspect;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{RequestBreak, RequestDigest, SuspectReport, TargetLife, Uptime};

use self::blame::blamed;
use self::ends::RecentEnds;
pub use self::options::LethalOptions;
use self::served::RecentlyServed;
use self::suspect::SuspectRequest;

/// Requests that are kept at most, about 300 bytes each: more than 40 targets have in progress when all of them end.
/// Those with the fewest breaks go first, then the oldest.
const REQUEST_LIMIT: usize = 512;
/// Lives that are kept of one request: some more than any limit on them.
const BREAK_LIMIT: usize = 12;

/// How the platform shows a life of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LifeSight {
    /// Its entry is there.
    Shown,
    /// Its entry is gone, or tells of a later start.
    Gone,
    /// Nothing can be said: the platform fails, or the target does not announce itself.
    Unknown,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LethalVerdict {
    /// Yes.
    Clear,
    /// Not before it is known which targets ended, in so long at most.
    Held(Duration),
    /// No.
    Refused,
}

/// The requests under which targets ended, or may have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LethalRequests {
    options: LethalOptions,
    suspects: BTreeMap<RequestDigest, SuspectRequest>,
    held: BTreeSet<RequestDigest>,
    refused: BTreeSet<RequestDigest>,
    ends: RecentEnds,
    served: RecentlyServed,
    /// Changes so far.
    at: u64,
}

impl LethalRequests {
    /// None yet.
    pub fn new(options: LethalOptions) -> LethalRequests {
        LethalRequests { options, ..LethalRequests::default() }
    }

    /// A request broke off at a life that this daemon saw shown then. Returns whether that is news.
    pub fn broken_off(&mut self, now: Uptime, digest: RequestDigest, broke: RequestBreak) -> bool {
        let at = self.at + 1;
        let suspect = self.suspects.entry(digest).or_default();
        let news = suspect.break_seen(now, broke);
        self.changed_if(news, at, digest);
        news
    }

    /// Takes what another daemon or the platform knows. Returns the requests that this one has served whole since they
    /// broke off, which the others do not know.
    pub fn merge(&mut self, now: Uptime, reports: Vec<SuspectReport>) -> Vec<RequestDigest> {
        let mut cleared = Vec::new();
        let mut changed = false;
        for report in reports {
            let at = self.at + 1;
            let digest = report.digest;
            let suspect = self.suspects.entry(digest).or_default();
            let mut news = suspect.merge(now, report);
            let served = self.served.latest(&digest);
            if served.is_some_and(|served| suspect.clear_until(served)) {
                cleared.push(digest);
                news = true;
            }
            changed |= news;
            self.note_change_if(news, at, digest);
        }
        if changed {
            self.judge();
        }
        cleared
    }

    /// A request was served whole: whatever ended under it before did not end for it. Returns whether that is news.
    pub fn served(&mut self, now: Uptime, digest: &RequestDigest) -> bool {
        self.served.note(now, *digest);
        self.clear(digest)
    }

    /// Nothing that is known of a request counts any more. Returns whether that is news.
    pub fn clear(&mut self, digest: &RequestDigest) -> bool {
        let at = self.at + 1;
        let news = self.suspects.get_mut(digest).is_some_and(SuspectRequest::clear);
        self.changed_if(news, at, *digest);
        news
    }

    /// The platform keeps that a request is refused.
    pub fn stored(&mut self, digest: &RequestDigest) {
        let at = self.at + 1;
        let suspect = self.suspects.get_mut(digest);
        let news = suspect.is_some_and(|suspect| !std::mem::replace(&mut suspect.stored, true));
        self.changed_if(news, at, *digest);
    }

    /// Lets time pass, and looks which lives the platform shows, which shows so many targets. Returns the lives
    /// that were found to have ended.
    pub fn review(
        &mut self,
        now: Uptime,
        targets: usize,
        sight: &dyn Fn(&TargetLife) -> LifeSight,
    ) -> Vec<(RequestDigest, TargetLife)> {
        let mut ended = Vec::new();
        let mut changed = Vec::new();
        for (digest, suspect) in &mut self.suspects {
            let before = ended.len();
            let found = suspect.review(now, &self.options, sight);
            ended.extend(found.ended.into_iter().map(|life| (*digest, life)));
            if ended.len() > before || found.dropped {
                changed.push(*digest);
            }
        }
        self.review_ends(now, targets);
        for digest in &changed {
            let at = self.at + 1;
            self.note_change_if(true, at, *digest);
        }
        if !changed.is_empty() {
            self.judge();
        }
        self.forget(now);
        ended
    }

    /// Whether a request may be sent. A refused one that is asked for stays refused.
    pub fn verdict(&mut self, now: Uptime, digest: &RequestDigest) -> LethalVerdict {
        if self.refused.contains(digest) {
            if let Some(suspect) = self.suspects.get_mut(digest) {
                suspect.latest = now;
            }
            return LethalVerdict::Refused;
        }
        match self.suspects.get(digest).filter(|_| self.held.contains(digest)) {
            Some(suspect) => LethalVerdict::Held(suspect.known_in(now, &self.options)),
            None => LethalVerdict::Clear,
        }
    }

    /// The requests that are refused for good.
    pub fn refused(&self) -> impl Iterator<Item = &RequestDigest> {
        self.refused.iter()
    }

    /// Those of them that the platform does not keep yet.
    pub fn unstored(&self) -> impl Iterator<Item = &RequestDigest> {
        self.refused
            .iter()
            .filter(|digest| self.suspects.get(*digest).is_some_and(|suspect| !suspect.stored))
    }

    /// Lives under which a request broke off.
    pub fn breaks_of(&self, digest: &RequestDigest) -> usize {
        self.suspects.get(digest).map_or(0, SuspectRequest::breaks)
    }

    /// Requests that are suspect, refused or not.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Count of changes so far and one more, so that whoever has asked once differs from who has not.
    pub fn at(&self) -> u64 {
        self.at + 1
    }

    /// What is known of a request.
    pub fn report(&self, now: Uptime, digest: &RequestDigest) -> Option<SuspectReport> {
        self.suspects.get(digest).map(|suspect| suspect.report(now, *digest))
    }

    fn changed_if(&mut self, news: bool, at: u64, digest: RequestDigest) {
        self.note_change_if(news, at, digest);
        if news {
            self.judge();
        }
    }

    /// Counts a change. Whoever makes many judges once: with 512 suspects that takes 0.2 ms.
    fn note_change_if(&mut self, news: bool, at: u64, digest: RequestDigest) {
        if !news {
            return;
        }
        self.at = at;
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.changed_at = at;
        }
        self.make_room();
    }

    /// Notes the lives that have ended lately, but for those that a refused request explains.
    fn review_ends(&mut self, now: Uptime, targets: usize) {
        let explained: BTreeSet<&TargetLife> = self
            .refused
            .iter()
            .filter_map(|digest| self.suspects.get(digest))
            .flat_map(|suspect| suspect.ended_lives().into_keys())
            .collect();
        let ended = self.suspects.values().flat_map(|suspect| suspect.ended_lives().into_keys());
        if self.ends.review(now, targets, ended, &explained) {
            self.judge();
        }
    }

    fn judge(&mut self) {
        let refused = std::mem::take(&mut self.refused);
        // What is refused stays refused where ends become common afterwards.
        let limit = |digest: &RequestDigest, suspect: &SuspectRequest| {
            let spared = self.ends.are_common() && !suspect.stored && !refused.contains(digest);
            self.options.limit + usize::from(spared)
        };
        self.refused = blamed(&self.suspects, &limit, SuspectRequest::ended_lives);
        let held = blamed(&self.suspects, &limit, SuspectRequest::closed_lives);
        self.held = held.difference(&self.refused).copied().collect();
    }

    fn make_room(&mut self) {
        if self.suspects.len() <= REQUEST_LIMIT {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(_, suspect)| suspect.weight());
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }

    fn forget(&mut self, now: Uptime) {
        let (options, refused) = (self.options, &self.refused);
        let before = self.suspects.len();
        self.suspects.retain(|digest, suspect| {
            let kept_for = match refused.contains(digest) {
                true => options.refused_for,
                false => options.suspect_for,
            };
            !suspect.is_blank() && now.saturating_sub(suspect.latest) < kept_for
        });
        if self.suspects.len() != before {
            self.judge();
        }
    }
}
