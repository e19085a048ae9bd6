//! Estimates by how much a request is slowed down at a target, from what the target states of its load.
//!
//! Inputs: the latest statement of a target instance with the time at which an entry daemon received it, the grants of
//! this scheduler, and the permits in use at the target.
//!
//! Load pattern: targets share their VMs with others. A VM is several times as slow for a fraction of a second, less
//! than one answer takes, so that the learned pace ([`pace`](super::pace)) shows a slow spell only after its end.
//!
//! The rule: the newest statement counts, whoever received it. Its slowness is compared with the mean of the earlier
//! statements, which spans as many answers as the learned pace and thus is included in it: a target that always states
//! the same is neither better nor worse for it. The weight of a statement halves with each [`HALF_LIFE`] of its age, and
//! is zero from [`BELIEF_LIMIT`] on. A slow target costs a request no more time than the rest of its spell is expected
//! to take, and a fast one gains at most a tenth. Each grant since the statement makes its target appear busier, so that
//! the requests between two statements do not all go to the same target.
//!
//! Owns: the statement and the recent grants of one target instance. Relies on: entry daemons that report the age of
//! what they received; a statement that never arrives leaves the learned pace alone.

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_core::{StatedLoad, Uptime, WorkMicros};

use crate::work_estimate::micros;

/// Time after which half of the slow spells seen have ended: half of a typical spell, and less than the time within which
/// callers expect the first part of an answer.
const HALF_LIFE: Duration = Duration::from_millis(300);
/// Age from which a statement is not believed: five half-lives. It also bounds a new scheduler, and a target that sends no answers.
const BELIEF_LIMIT: Duration = Duration::from_millis(1_500);
/// Expected rest of a spell: the sum of the weights over all later moments, which is the half-life over the natural
/// logarithm of two.
const EXPECTED_REST: Duration = Duration::from_millis(433);
/// Slowness of a target that is as fast as usual, in percent.
const USUAL_PERCENT: u64 = 100;
/// Bounds of the believed slowness relative to the mean, in percent. A target may understate its load, so a low figure
/// gains little.
const RELATIVE_RANGE: (u64, u64) = (90, 400);
/// A statement has a weight of one in this many in the mean, as a stream has in the learned pace.
const MEAN_WEIGHT: u64 = 8;
/// Unit of the mean in parts of a percent, so that small differences are not rounded away.
const MEAN_UNIT: u64 = 1_000;
/// Full weight of a statement.
const FULL_WEIGHT: u64 = 1_000;
/// Grants within this time are counted together, which bounds the memory of a target.
const GRANT_PERIOD: Duration = Duration::from_millis(50);

/// What is believed of a target instance by its statements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LoadBelief {
    /// The newest statement; `None` while there is none with a slowness, and then no grants are kept.
    latest: Option<LoadStatement>,
    /// Mean of the stated slowness, in thousandths of a percent.
    mean: u64,
    /// The grants of this scheduler since the newest statement, oldest first.
    grants: VecDeque<GrantCount>,
    /// The most permits in use lately.
    most_in_flight: RecentMost,
}

/// A statement as the scheduler knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LoadStatement {
    /// When the entry daemon received it.
    seen: Uptime,
    /// Stated slowness relative to the mean, in percent, within [`RELATIVE_RANGE`].
    relative: u64,
    /// Stated slowness in percent.
    slowness: u32,
    /// Number of requests that others have sent.
    external: u32,
}

/// The grants of a short period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantCount {
    /// When the period began.
    since: Uptime,
    grants: u32,
}

/// The most permits in use within the last one to two times [`BELIEF_LIMIT`], so that it covers the moment of every
/// statement that is believed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct RecentMost {
    /// When the present period began.
    since: Uptime,
    /// The most in the present period.
    recent: u32,
    /// The most in the previous period.
    before: u32,
}

impl RecentMost {
    /// Records the permits in use now, and returns the most.
    fn record(&mut self, now: Uptime, in_flight: u32) -> u32 {
        if now >= self.since + BELIEF_LIMIT {
            *self = RecentMost { since: now, recent: in_flight, before: self.recent };
        }
        self.recent = self.recent.max(in_flight);
        self.recent.max(self.before)
    }
}

impl LoadStatement {
    /// Returns the time by which work is prolonged until the end of the expected rest of a slow spell.
    fn slowed_by(&self, time: WorkMicros) -> WorkMicros {
        let excess = self.relative.saturating_sub(100);
        let in_rest = micros(EXPECTED_REST) * excess / self.relative;
        (time.saturating_mul(excess) / 100).min(in_rest)
    }

    /// Returns the time by which work is shortened until the end of the expected rest of a fast spell.
    fn gained(&self, time: WorkMicros) -> WorkMicros {
        time.min(micros(EXPECTED_REST)) * 100u64.saturating_sub(self.relative) / 100
    }
}

impl LoadBelief {
    /// Applies a statement that an entry daemon received at `seen`. One without a slowness, or older than the newest one,
    /// is ignored. Requests may have ended since the target counted them, so only what exceeds the most permits in use
    /// lately is attributed to others; `in_flight` is the number in use now.
    pub fn apply(&mut self, now: Uptime, seen: Uptime, load: &StatedLoad, in_flight: u32) {
        let Some(slowness) = load.slowness_percent else { return };
        if self.latest.is_some_and(|latest| seen <= latest.seen) {
            return;
        }
        let stated = u64::from(slowness) * MEAN_UNIT;
        let mean = if self.latest.is_some() { self.mean } else { USUAL_PERCENT * MEAN_UNIT };
        let relative = stated * 100 / mean.max(1);
        // Statements from outside this range would move the mean for longer than the pace remembers.
        let bounded = stated.clamp(mean / 8, mean * 8);
        self.mean = (mean * (MEAN_WEIGHT - 1) + bounded) / MEAN_WEIGHT;
        let own = self.most_in_flight.record(now, in_flight);
        self.latest = Some(LoadStatement {
            seen,
            relative: relative.clamp(RELATIVE_RANGE.0, RELATIVE_RANGE.1),
            slowness,
            external: (load.running.saturating_add(load.waiting)).saturating_sub(own),
        });
        self.grants.retain(|counted| counted.since + GRANT_PERIOD > seen);
    }

    /// Counts a grant of this scheduler, after which `in_flight` permits are in use.
    pub fn granted(&mut self, now: Uptime, in_flight: u32) {
        if self.latest.is_none() {
            return;
        }
        self.most_in_flight.record(now, in_flight);
        // No statement that is older is believed.
        self.grants.retain(|counted| counted.since + BELIEF_LIMIT > now);
        match self.grants.back_mut().filter(|counted| now < counted.since + GRANT_PERIOD) {
            Some(counted) => counted.grants += 1,
            None => self.grants.push_back(GrantCount { since: now, grants: 1 }),
        }
    }

    /// Counts a request that was attributed to others until another daemon reported it as one of the schedulers'.
    pub fn held_request_reported(&mut self) {
        if let Some(latest) = &mut self.latest {
            latest.external = latest.external.saturating_sub(1);
        }
    }

    /// Moves the mean of an idle target towards the usual, as its learned pace moves towards that of its pool.
    pub fn fade(&mut self) {
        if self.latest.is_none() {
            return;
        }
        let usual = USUAL_PERCENT * MEAN_UNIT;
        self.mean = (self.mean * (MEAN_WEIGHT - 1) + usual) / MEAN_WEIGHT;
    }

    /// Returns the number of requests that others have sent, 0 once the statement is no longer believed. The target is
    /// still offered one request of its `slots`: otherwise a target that overstates its load would get none, and its next
    /// statement would never arrive.
    pub fn external_load(&self, now: Uptime, slots: u32) -> u32 {
        let believed = self.latest.filter(|latest| weight(latest.seen, now) > 0);
        believed.map_or(0, |latest| latest.external.min(slots.saturating_sub(1)))
    }

    /// Returns the time that work is expected to take at the target, given its `time` by the learned pace.
    pub fn adjusted(&self, now: Uptime, time: WorkMicros, slots: u32) -> WorkMicros {
        let Some(latest) = self.latest else { return time };
        let weight = weight(latest.seen, now);
        if weight == 0 {
            return time;
        }
        let weighted = |time: WorkMicros| time.saturating_mul(weight) / FULL_WEIGHT;
        let grants = self.grants.iter().map(|counted| u64::from(counted.grants)).sum();
        let crowded = time.saturating_mul(grants) / u64::from(slots.max(1));
        let slowed = time.saturating_add(weighted(latest.slowed_by(time)));
        slowed.saturating_sub(weighted(latest.gained(time))).saturating_add(weighted(crowded))
    }

    /// Returns the newest stated slowness in percent and its age, `None` once it is not believed.
    pub fn stated_slowness(&self, now: Uptime) -> Option<(u32, Duration)> {
        let latest = self.latest.filter(|latest| weight(latest.seen, now) > 0)?;
        Some((latest.slowness, now.saturating_sub(latest.seen)))
    }
}

/// Returns the weight of a statement in thousandths: halved with each half-life, in between on a straight line.
fn weight(seen: Uptime, now: Uptime) -> u64 {
    let age = now.saturating_sub(seen);
    if age >= BELIEF_LIMIT {
        return 0;
    }
    let (age, half_life) = (micros(age), micros(HALF_LIFE));
    let whole = FULL_WEIGHT >> (age / half_life);
    whole - whole * (age % half_life) / half_life / 2
}
