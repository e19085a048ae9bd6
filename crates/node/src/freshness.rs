//! How old a daemon's view of the platform is, and whether it reads the platform itself.
//!
//! Every call of the platform is counted, so only the first few daemons in the order of schedulers read
//! it. The others ask those with each heartbeat how old their latest read is. The age of a proof that
//! comes by way of a peer counts from the sending of the query, less the age that the peer states:
//! whatever time the messages took, the read was sent no earlier. A daemon whose peers cannot prove
//! enough reads for itself.
//!
//! Owns: when the configuration was last confirmed, and by whom. Relies on: peers that state an age no
//! younger than it is.

use std::time::Duration;

use curlewcleat_core::{DaemonId, FreshnessAnswer, FreshnessQuery, Incarnation, Uptime, VmId};

/// Daemons, first in the order of schedulers, that read the platform: two, so that one may fail.
const READERS: usize = 2;
/// Daemons that are asked where the readers prove too little: those that read, and the next ones: as many that may be
/// turned away at once.
const READERS_WHEN_AGING: usize = 2 * READERS;
/// Share of that time, in percent, above which a proof is so old that the next ones are asked too: beyond the age
/// that proofs reach while all is well, a read and a heartbeat, and so long before [`FALLBACK_PERCENT`] that the next
/// ones have read by then.
const AGING_PERCENT: u32 = 50;
/// Time between queries while a proof is so old: some round trips and a read of the platform.
const AGING_QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Reads within the time in which a change has to be in force.
const READS_PER_LIMIT: u32 = 4;
/// Share of that time, in percent, above which a proof is too old to go on without an own read.
const FALLBACK_PERCENT: u32 = 60;
/// The same, above which the view of the platform counts as old.
const STALE_PERCENT: u32 = 125;
/// The same, above which the platform counts as lost, so that what vanishes may come back.
const LOST_PERCENT: u32 = 55;
/// Time for which a daemon goes on to read after the reason for it has passed.
const READ_HOLD: Duration = Duration::from_millis(250);
/// Time after the platform's return in which targets that lost their entries are back.
/// From the users' platform: entries that lapsed are back about two seconds after its return.
const RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// Times of a daemon's view of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Time between reads.
    pub read_every: Duration,
    /// Age of the proof above which more daemons are asked for one.
    pub need_after: Duration,
    /// Age of the proof above which the daemon reads for itself.
    pub fallback_after: Duration,
    /// Age of the proof above which the view counts as old.
    pub stale_after: Duration,
    /// Age of the proof above which the platform counts as lost.
    pub lost_after: Duration,
}

impl FreshnessLimits {
    /// Limits that keep changes in force within a time.
    pub fn within(limit: Duration) -> FreshnessLimits {
        let percent = |percent: u32| limit * percent / 100;
        FreshnessLimits {
            read_every: limit / READS_PER_LIMIT,
            need_after: percent(AGING_PERCENT),
            fallback_after: percent(FALLBACK_PERCENT),
            stale_after: percent(STALE_PERCENT),
            lost_after: percent(LOST_PERCENT),
        }
    }
}

/// Whether and why a daemon reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReadRole {
    /// Others read it for this daemon.
    Idle,
    /// The others prove too little.
    Fallback,
    /// This daemon reads for the others.
    Reader,
}

/// Whether the platform answers, as far as this daemon knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PlatformReach {
    /// It answers.
    Reachable,
    /// It does not.
    Unreachable,
    /// It answers again since then.
    Recovered(Uptime),
}

/// A daemon's view of how new what it knows of the platform is.
#[derive(Clone, Debug)]
pub struct PlatformFreshness {
    limits: FreshnessLimits,
    incarnation: Incarnation,
    /// When the newest own read that proved the configuration was sent.
    own_read: Option<Uptime>,
    /// The same by way of any daemon.
    last_proof: Option<Uptime>,
    /// Until when this daemon reads because the others prove too little.
    fallback_until: Uptime,
    /// Until when it reads because others ask it.
    serving_until: Uptime,
    /// When it last asked others.
    last_query: Uptime,
    /// Whether own reads have failed for long, and none has succeeded since.
    own_reads_failing: bool,
    reach: PlatformReach,
}

impl PlatformFreshness {
    /// The view of a process that has read nothing yet.
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

    /// When the read was sent that proved the configuration last.
    pub fn last_proof(&self) -> Option<Uptime> {
        self.last_proof
    }

    /// An own read that was sent then showed the configuration in force to be the newest.
    pub fn read_succeeded(&mut self, now: Uptime, sent: Uptime) {
        self.own_read = self.own_read.max(Some(sent));
        self.own_reads_failing = false;
        self.record_proof(now, sent);
    }

    /// An own read has failed. Where others prove that the platform answers them, this daemon is turned away,
    /// and leaves the roles to them while all proofs are young: later, daemons that cannot read
    /// themselves refused requests until the order had changed.
    pub fn read_failed(&mut self, now: Uptime) {
        let own_age = self.own_read.map(|own_read| now.saturating_sub(own_read));
        let others_prove = self.is_proof_younger(now, self.limits.need_after);
        let limit = match others_prove {
            true => self.limits.need_after,
            false => self.limits.stale_after,
        };
        self.own_reads_failing |= own_age.is_some_and(|age| age > limit);
        // Others may still reach the platform; then their proofs keep this view young.
        if !self.is_proof_younger(now, self.limits.lost_after) {
            self.reach = PlatformReach::Unreachable;
        }
    }

    /// Takes a peer's answer. Returns when the read was sent at the earliest that it tells of.
    pub fn answer_received(&self, now: Uptime, answer: &FreshnessAnswer) -> Option<Uptime> {
        let query = answer.query;
        if query.incarnation != self.incarnation || query.sent > now {
            return None;
        }
        query.sent.checked_sub(answer.age?)
    }

    /// The configuration in force was the newest then.
    pub fn record_proof(&mut self, now: Uptime, at: Uptime) {
        self.last_proof = self.last_proof.max(Some(at));
        if self.reach == PlatformReach::Unreachable
            && self.is_proof_younger(now, self.limits.lost_after)
        {
            self.reach = PlatformReach::Recovered(now);
        }
    }

    /// Answers a peer's query with the age of the latest own read. From now on this daemon reads for
    /// others.
    pub fn answer_query(&mut self, now: Uptime) -> Option<Duration> {
        self.serving_until = now + self.limits.fallback_after;
        self.own_read.map(|own_read| now.saturating_sub(own_read))
    }

    /// The query to send now and the daemons to send it to, more of them `proof_aging`; none where this daemon
    /// reads well itself. It is sent as soon as a read of its own is due, so that an answer comes before the
    /// proof is too old: asked at twice that age, 7 of 18 daemons that had begun together read for themselves again.
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
        let asked = if proof_aging { READERS_WHEN_AGING } else { READERS };
        let readers = order.iter().take(asked).filter(|reader| *reader != me);
        (query, readers.map(|reader| &reader.vm).collect())
    }

    /// Whether the proof is so old that more daemons are asked than read.
    pub fn is_proof_aging(&self, now: Uptime) -> bool {
        self.proof_age(now) >= self.limits.need_after
    }

    /// Whether it is time to ask again for one that is in need.
    pub fn is_query_due(&self, now: Uptime) -> bool {
        now >= self.last_query + AGING_QUERY_INTERVAL
    }

    /// Age of the proof; of a new process its own age, since it has made its first read as it began.
    fn proof_age(&self, now: Uptime) -> Duration {
        self.last_proof.map_or(now, |proved| now.saturating_sub(proved))
    }

    /// Lets time pass; says whether this daemon has to read.
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

    /// Whether this daemon should schedule, and read for others, only where no other daemon can: what
    /// it knows is too old, or the platform turns it away. Nothing is too old before the first read.
    pub fn is_stale(&self, now: Uptime) -> bool {
        self.own_reads_failing
            || self.last_proof.is_some() && !self.is_proof_younger(now, self.limits.stale_after)
    }

    /// Whether targets that vanish now may come back, since the platform failed shortly before.
    pub fn is_doubtful(&self, now: Uptime) -> bool {
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
