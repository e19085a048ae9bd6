//! What is known of one suspect request.
//!
//! Owns: the lives under which it broke off, and which of them count. Relies on: `LethalRequests` for when it is judged.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    BreakKind, BreakReport, RequestBreak, RequestDigest, SuspectReport, TargetLife, Uptime,
};

use super::{LethalOptions, LifeSight, BREAK_LIMIT};

/// A life under which the request broke off.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LifeBreak {
    kind: BreakKind,
    /// Whether a part of its answer had come from there.
    pub begun: bool,
    /// Whether this daemon saw the life shown when it happened.
    own: bool,
    ended: bool,
    at: Uptime,
}

/// Lives under which a request broke off.
pub(super) type BrokenLives<'s> = BTreeMap<&'s TargetLife, &'s LifeBreak>;

/// What a review has found.
#[derive(Debug, Default)]
pub(super) struct ReviewFindings {
    /// Lives that have ended.
    pub ended: Vec<TargetLife>,
    /// Whether others were dropped, since they have not ended.
    pub dropped: bool,
}

/// A request under which targets ended, or may have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct SuspectRequest {
    breaks: BTreeMap<TargetLife, LifeBreak>,
    cleared: BTreeSet<TargetLife>,
    /// Whether the platform keeps that it is refused.
    pub stored: bool,
    /// Latest break, or repeat of a refused request.
    pub latest: Uptime,
    /// Count of all changes at its latest one.
    pub changed_at: u64,
}

impl SuspectRequest {
    /// It broke off at a life that was shown then.
    pub fn break_seen(&mut self, now: Uptime, broke: RequestBreak) -> bool {
        let RequestBreak { life, kind, begun } = broke;
        self.add(now, life, LifeBreak { kind, begun, own: true, ended: false, at: now })
    }

    /// Takes a report; returns whether it tells anything new.
    pub fn merge(&mut self, now: Uptime, report: SuspectReport) -> bool {
        let mut news = report.stored && !self.stored;
        self.stored |= report.stored;
        for life in report.cleared {
            self.breaks.remove(&life);
            if self.cleared.len() < BREAK_LIMIT && self.cleared.insert(life) {
                news = true;
                // What does not count is remembered as long as what does.
                self.latest = now;
            }
        }
        for seen in report.breaks {
            let at = now.saturating_sub(seen.age);
            let RequestBreak { life, kind, begun } = seen.broke;
            news |=
                self.add(now, life, LifeBreak { kind, begun, own: false, ended: seen.ended, at });
        }
        news
    }

    fn add(&mut self, now: Uptime, life: TargetLife, added: LifeBreak) -> bool {
        if self.cleared.contains(&life) {
            return false;
        }
        if let Some(known) = self.breaks.get_mut(&life) {
            // A connection that closed says more than silence, and of two copies the one that had no answer yet.
            let news = added.ended && !known.ended
                || added.kind < known.kind
                || !added.begun && known.begun;
            known.kind = known.kind.min(added.kind);
            known.begun &= added.begun;
            known.own |= added.own;
            known.ended |= added.ended;
            return news;
        }
        if self.breaks.len() >= BREAK_LIMIT {
            return false;
        }
        self.latest = self.latest.max(added.at).min(now);
        self.breaks.insert(life, added);
        true
    }

    /// Nothing of before counts any more; returns whether anything did.
    pub fn clear(&mut self) -> bool {
        self.clear_until(Uptime::MAX)
    }

    /// Nothing until then counts any more; returns whether anything did.
    pub fn clear_until(&mut self, until: Uptime) -> bool {
        let breaks = std::mem::take(&mut self.breaks);
        let (cleared, left): (BTreeMap<_, _>, BTreeMap<_, _>) =
            breaks.into_iter().partition(|(_, known)| known.at <= until);
        self.breaks = left;
        let news = !cleared.is_empty();
        for life in cleared.into_keys() {
            if self.cleared.len() >= BREAK_LIMIT {
                self.cleared.pop_first();
            }
            self.cleared.insert(life);
        }
        news
    }

    /// Looks which of the lives have ended.
    pub fn review(
        &mut self,
        now: Uptime,
        options: &LethalOptions,
        sight: &dyn Fn(&TargetLife) -> LifeSight,
    ) -> ReviewFindings {
        let mut found = ReviewFindings::default();
        let before = self.breaks.len();
        self.breaks.retain(|life, known| {
            if known.ended {
                return true;
            }
            let age = now.saturating_sub(known.at);
            match sight(life) {
                LifeSight::Gone if known.own || age >= options.known_for => {
                    known.ended = true;
                    found.ended.push(life.clone());
                    true
                }
                LifeSight::Gone | LifeSight::Unknown => true,
                LifeSight::Shown => age < options.shown_for,
            }
        });
        found.dropped = before != self.breaks.len();
        found
    }

    /// Lives that have ended.
    pub fn ended_lives(&self) -> BrokenLives<'_> {
        self.lives(|known| known.ended)
    }

    /// Lives that have ended, or closed their connections.
    pub fn closed_lives(&self) -> BrokenLives<'_> {
        self.lives(|known| known.ended || known.kind == BreakKind::Closed)
    }

    fn lives(&self, counts: impl Fn(&LifeBreak) -> bool) -> BrokenLives<'_> {
        self.breaks.iter().filter(|(_, known)| counts(known)).collect()
    }

    /// Lives under which it broke off.
    pub fn breaks(&self) -> usize {
        self.breaks.len()
    }

    /// Time until it is known of the oldest break whether the life ended.
    pub fn known_in(&self, now: Uptime, options: &LethalOptions) -> Duration {
        let open = self.breaks.values().filter(|known| !known.ended);
        let oldest = open.map(|known| known.at).min().unwrap_or(now);
        (oldest + options.shown_for).saturating_sub(now)
    }

    /// Whether nothing is known of it.
    pub fn is_blank(&self) -> bool {
        self.breaks.is_empty() && self.cleared.is_empty()
    }

    /// How much would be lost with it: those with fewer lives, then older ones go first.
    pub fn weight(&self) -> (usize, Uptime) {
        (self.breaks.len(), self.latest)
    }

    /// What others learn of it.
    pub fn report(&self, now: Uptime, digest: RequestDigest) -> SuspectReport {
        let breaks = self.breaks.iter().map(|(life, known)| BreakReport {
            broke: RequestBreak { life: life.clone(), kind: known.kind, begun: known.begun },
            ended: known.ended,
            age: now.saturating_sub(known.at),
        });
        SuspectReport {
            digest,
            breaks: breaks.collect(),
            cleared: self.cleared.iter().cloned().collect(),
            stored: self.stored,
        }
    }
}
