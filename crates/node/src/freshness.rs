//! Tracks the age of a daemon's view of the platform, and decides whether the daemon reads the platform itself.
//!
//! Every call of the platform is counted, so only the first few daemons in the order of schedulers read it. The
//! others query these with each heartbeat for the age of their latest read. The age that a peer states is counted back
//! from when the query was sent, not from when the answer arrived: however long the messages took, the peer's read was
//! sent no earlier. A daemon whose peers cannot prove enough reads the platform itself.
//!
//! Owns: when the configuration was last confirmed. Relies on: peers that state an age no younger than it is.

use std::time::Duration;

use curlewcleat_core::{DaemonId, FreshnessAnswer, FreshnessQuery, Incarnation, Uptime, VmId};

/// Number of daemons, first in the order of schedulers, that read the platform: two, so that one may fail.
const READERS: usize = 2;
/// Number of daemons that are queried while the proof is aging: the readers and as many of the next daemons, since the
/// platform may refuse all readers at once.
const READERS_WHEN_AGING: usize = 2 * READERS;
/// Share of the time in which a change has to be in force, in percent, above which a proof is aging and more daemons
/// are queried. It is above the age that proofs reach in normal operation, a read interval and a heartbeat interval,
/// and far enough below [`FALLBACK_PERCENT`] that the next daemons have read by then.
const AGING_PERCENT: u32 = 50;
/// Interval between queries while the proof is aging: some round trips and a read of the platform.
const AGING_QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Reads within the time in which a change has to be in force.
const READS_PER_LIMIT: u32 = 4;
/// Share of that time, in percent, above which a proof is too old, so that the daemon reads the platform itself.
const FALLBACK_PERCENT: u32 = 60;
/// Share of that time, in percent, above which the view of the platform is stale.
const STALE_PERCENT: u32 = 125;
/// Share of that time, in percent, above which the platform is considered unreachable, so that targets that vanish
/// from its list may return.
const LOST_PERCENT: u32 = 55;
/// Time for which a daemon continues to read after the reason for it has passed.
const READ_HOLD: Duration = Duration::from_millis(250);
/// Time after the platform's recovery within which live targets that lost their list entries are listed again. On the
/// users' platform, expired entries return about two seconds after the recovery.
const RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// Age limits of a daemon's view of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Interval between reads.
    pub read_every: Duration,
    /// Age of the proof above which more daemons are queried for one.
    pub aging_after: Duration,
    /// Age of the proof above which the daemon reads the platform itself.
    pub fallback_after: Duration,
    /// Age of the proof above which the view is stale.
    pub stale_after: Duration,
    /// Age of the proof above which the platform is considered unreachable.
    pub lost_after: Duration,
}

impl FreshnessLimits {
    /// Returns the limits with which changes are in force within `limit`.
    pub fn within(limit: Duration) -> FreshnessLimits {
        let percent = |percent: u32| limit * percent / 100;
        FreshnessLimits {
            read_every: limit / READS_PER_LIMIT,
            aging_after: percent(AGING_PERCENT),
            fallback_after: percent(FALLBACK_PERCENT),
            stale_after: percent(STALE_PERCENT),
            lost_after: percent(LOST_PERCENT),
        }
    }
}

/// Whether and why a daemon reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReadRole {
    /// Other daemons read it for this one.
    Idle,
    /// This daemon reads for itself, since the others prove too little.
    Fallback,
    /// This daemon reads for the others.
    Reader,
}

/// Reachability of the platform, as far as this daemon knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PlatformReach {
    /// It answers.
    Reachable,
    /// It does not answer.
    Unreachable,
    /// It has answered again since the given time.
    Recovered(Uptime),
}

/// How recently this daemon's view of the platform was confirmed, by its own reads or through peers.
#[derive(Clone, Debug)]
pub struct PlatformFreshness {
    limits: FreshnessLimits,
    incarnation: Incarnation,
    /// When this daemon's latest read was sent that proved the configuration.
    own_read: Option<Uptime>,
    /// When the latest read by any daemon was sent that proved the configuration.
    last_proof: Option<Uptime>,
    /// Until when this daemon reads because the others prove too little.
    fallback_until: Uptime,
    /// Until when this daemon reads because others query it.
    serving_until: Uptime,
    /// When this daemon last queried others.
    last_query: Uptime,
    /// Whether this daemon's reads have failed for long, and none has succeeded since.
    own_reads_failing: bool,
    reach: PlatformReach,
}

impl PlatformFreshness {
    /// Returns the state of a process that has read nothing yet.
    pub fn new(limits: FreshnessLimits, incarnation: Incarnation) -> PlatformFreshness {
        PlatformFreshness {
            limits,
            incarnation,
            own_read: None,
            last_proof: None,
            fallback_until: Duration::ZERO,
            serving_until: Duration::ZERO,
            last_query: Duration::ZERO,
            own_reads_failing: false,
            reach: PlatformReach::Reachable,
        }
    }

    /// Returns when the latest read was sent that proved the configuration.
    pub fn last_proof(&self) -> Option<Uptime> {
        self.last_proof
    }

    /// Records that a read by this daemon, sent at `sent`, showed the configuration in force to be the newest.
    pub fn read_succeeded(&mut self, now: Uptime, sent: Uptime) {
        self.own_read = self.own_read.max(Some(sent));
        self.own_reads_failing = false;
        self.record_proof(now, sent);
    }

    /// Records a failed read by this daemon. If others prove that the platform answers them, this daemon gives up its
    /// roles while all proofs are still young: if it did so later, daemons that cannot read would refuse requests
    /// until the order has changed.
    pub fn read_failed(&mut self, now: Uptime) {
        let own_age = self.own_read.map(|own_read| now.saturating_sub(own_read));
        let others_prove = self.is_proof_younger(now, self.limits.aging_after);
        let limit = match others_prove {
            true => self.limits.aging_after,
            false => self.limits.stale_after,
        };
        self.own_reads_failing |= own_age.is_some_and(|age| age > limit);
        // If others still reach the platform, their proofs keep this view young.
        if !self.is_proof_younger(now, self.limits.lost_after) {
            self.reach = PlatformReach::Unreachable;
        }
    }

    /// Returns the earliest time at which the read that a peer's answer reports can have been sent.
    pub fn answer_received(&self, now: Uptime, answer: &FreshnessAnswer) -> Option<Uptime> {
        let query = answer.query;
        if query.incarnation != self.incarnation || query.sent > now {
            return None;
        }
        query.sent.checked_sub(answer.age?)
    }

    /// Records that the configuration in force was the newest at time `at`.
    pub fn record_proof(&mut self, now: Uptime, at: Uptime) {
        self.last_proof = self.last_proof.max(Some(at));
        if self.reach == PlatformReach::Unreachable
            && self.is_proof_younger(now, self.limits.lost_after)
        {
            self.reach = PlatformReach::Recovered(now);
        }
    }

    /// Returns the age of this daemon's latest read, for the answer to a peer's query. From now on this daemon reads
    /// for others.
    pub fn answer_query(&mut self, now: Uptime) -> Option<Duration> {
        self.serving_until = now + self.limits.fallback_after;
        self.own_read.map(|own_read| now.saturating_sub(own_read))
    }

    /// Returns the query to send now and the daemons to send it to: more of them if `proof_aging`, none if this
    /// daemon's own read is young. The query is sent as soon as a read of its own would be due, so that an answer
    /// comes before the proof is too old: if it is sent at twice that age, 7 of 18 daemons that start together read for
    /// themselves again.
    pub fn query<'a>(
        &mut self,
        now: Uptime,
        me: &DaemonId,
        order: &'a [DaemonId],
        proof_aging: bool,
    ) -> (FreshnessQuery, Vec<&'a VmId>) {
        let query = FreshnessQuery { incarnation: self.incarnation, sent: now };
        let young = self.limits.read_every;
        if self.own_read.is_some_and(|own_read| now.saturating_sub(own_read) < young) {
            return (query, Vec::new());
        }
        self.last_query = now;
        let query_count = if proof_aging { READERS_WHEN_AGING } else { READERS };
        let readers = order.iter().take(query_count).filter(|reader| *reader != me);
        (query, readers.map(|reader| &reader.vm).collect())
    }

    /// Returns whether the proof is so old that more daemons are queried than those that read.
    pub fn is_proof_aging(&self, now: Uptime) -> bool {
        self.proof_age(now) >= self.limits.aging_after
    }

    /// Returns whether the next query is due while the proof is aging.
    pub fn is_query_due(&self, now: Uptime) -> bool {
        now >= self.last_query + AGING_QUERY_INTERVAL
    }

    /// Returns the age of the proof; before the first one, the age of the process, which made its first read when it
    /// started.
    fn proof_age(&self, now: Uptime) -> Duration {
        self.last_proof.map_or(now, |proved| now.saturating_sub(proved))
    }

    /// Updates the state for the time `now` and returns whether this daemon has to read.
    pub fn read_role(&mut self, now: Uptime, me: &DaemonId, order: &[DaemonId]) -> ReadRole {
        if self.last_proof.is_some() && !self.is_proof_younger(now, self.limits.lost_after * 2) {
            self.reach = PlatformReach::Unreachable;
        }
        if self.proof_age(now) >= self.limits.fallback_after || self.own_reads_failing {
            self.fallback_until = now + READ_HOLD;
        }
        if order.iter().take(READERS).any(|reader| reader == me) || now < self.serving_until {
            return ReadRole::Reader;
        }
        match now < self.fallback_until {
            true => ReadRole::Fallback,
            false => ReadRole::Idle,
        }
    }

    /// Returns whether this daemon should schedule, and read for others, only if no other daemon can: its view is too
    /// old, or its own reads keep failing. Nothing is too old before the first read.
    pub fn is_stale(&self, now: Uptime) -> bool {
        self.own_reads_failing
            || self.last_proof.is_some() && !self.is_proof_younger(now, self.limits.stale_after)
    }

    /// Returns whether targets that vanish now may return, since the platform failed a short time ago.
    pub fn is_removal_uncertain(&self, now: Uptime) -> bool {
        match self.reach {
            PlatformReach::Reachable => false,
            PlatformReach::Unreachable => true,
            PlatformReach::Recovered(since) => now < since + RECOVERY_GRACE,
        }
    }

    fn is_proof_younger(&self, now: Uptime, limit: Duration) -> bool {
        self.last_proof.is_some_and(|proved| now.saturating_sub(proved) < limit)
    }
}
