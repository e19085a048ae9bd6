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
const READERS_IN_NEED: usize = 2 * READERS;
/// Share of that time, in percent, above which a proof is so old that the next ones are asked too: beyond the age
/// that proofs reach while all is well, a read and a heartbeat, and so long before [`FALLBACK_PERCENT`] that the next
/// ones have read by then.
const NEED_PERCENT: u32 = 50;
/// Time between queries while a proof is so old: some round trips and a read of the platform.
const NEED_PAUSE: Duration = Duration::from_millis(100);
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
const RETURN_LIMIT: Duration = Duration::from_secs(2);

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
            need_after: percent(NEED_PERCENT),
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
    Steady,
    /// It does not.
    Lost,
    /// It answers again since then.
    Returned(Uptime),
}

/// A daemon's view of how new what it knows of the platform is.
#[derive(Clone, Debug)]
pub struct PlatformFreshness {
    limits: FreshnessLimits,
    incarnation: Incarnation,
    /// When the newest own read that proved the configuration was sent.
    own: Option<Uptime>,
    /// The same by way of any daemon.
    proved: Option<Uptime>,
    /// Until when this daemon reads because the others prove too little.
    fallback_until: Uptime,
    /// Until when it reads because others ask it.
    asked_until: Uptime,
    /// When it last asked others.
    queried: Uptime,
    /// Whether own reads have failed for long, and none has succeeded since.
    turned_away: bool,
    reach: PlatformReach,
}

impl PlatformFreshness {
    /// The view of a process that has read nothing yet.
    pub fn new(limits: FreshnessLimits, incarnation: Incarnation) -> PlatformFreshness {
        PlatformFreshness {
            limits,
            incarnation,
            own: None,
            proved: None,
            fallback_until: Duration::ZERO,
            asked_until: Duration::ZERO,
            queried: Duration::ZERO,
            turned_away: false,
            reach: PlatformReach::Steady,
        }
    }

    /// When the read was sent that proved the configuration last.
    pub fn proved(&self) -> Option<Uptime> {
        self.proved
    }

    /// An own read that was sent then showed the configuration in force to be the newest.
    pub fn read(&mut self, now: Uptime, sent: Uptime) {
        self.own = self.own.max(Some(sent));
        self.turned_away = false;
        self.prove(now, sent);
    }

    /// An own read has failed. Where others prove that the platform answers them, this daemon is turned away,
    /// and leaves the roles to them while all proofs are young: later, daemons that cannot read
    /// themselves refused requests until the order had changed.
    pub fn read_failed(&mut self, now: Uptime) {
        let own_age = self.own.map(|own| now.saturating_sub(own));
        let others_prove = self.is_within(now, self.limits.need_after);
        let limit = match others_prove {
            true => self.limits.need_after,
            false => self.limits.stale_after,
        };
        self.turned_away |= own_age.is_some_and(|age| age > limit);
        // Others may still reach the platform; then their proofs keep this view young.
        if !self.is_within(now, self.limits.lost_after) {
            self.reach = PlatformReach::Lost;
        }
    }

    /// Takes a peer's answer. Returns when the read was sent at the earliest that it tells of.
    pub fn answered(&self, now: Uptime, answer: &FreshnessAnswer) -> Option<Uptime> {
        let query = answer.query;
        if query.incarnation != self.incarnation || query.sent > now {
            return None;
        }
        query.sent.checked_sub(answer.age?)
    }

    /// The configuration in force was the newest then.
    pub fn prove(&mut self, now: Uptime, at: Uptime) {
        self.proved = self.proved.max(Some(at));
        if self.reach == PlatformReach::Lost && self.is_within(now, self.limits.lost_after) {
            self.reach = PlatformReach::Returned(now);
        }
    }

    /// Answers a peer's query with the age of the latest own read. From now on this daemon reads for
    /// others.
    pub fn asked(&mut self, now: Uptime) -> Option<Duration> {
        self.asked_until = now + self.limits.fallback_after;
        self.own.map(|own| now.saturating_sub(own))
    }

    /// The query to send now and the daemons to send it to, more of them `in_need`; none where this daemon
    /// reads well itself. It is sent as soon as a read of its own is due, so that an answer comes before the
    /// proof is too old: asked at twice that age, 7 of 18 daemons that had begun together read for themselves again.
    pub fn query<'a>(
        &mut self,
        now: Uptime,
        me: &DaemonId,
        order: &'a [DaemonId],
        in_need: bool,
    ) -> (FreshnessQuery, Vec<&'a VmId>) {
        let query = FreshnessQuery { incarnation: self.incarnation, sent: now };
        let young = self.limits.read_every;
        if self.own.is_some_and(|own| now.saturating_sub(own) < young) {
            return (query, Vec::new());
        }
        self.queried = now;
        let asked = if in_need { READERS_IN_NEED } else { READERS };
        let readers = order.iter().take(asked).filter(|reader| *reader != me);
        (query, readers.map(|reader| &reader.vm).collect())
    }

    /// Whether the proof is so old that more daemons are asked than read.
    pub fn is_in_need(&self, now: Uptime) -> bool {
        self.proof_age(now) >= self.limits.need_after
    }

    /// Whether it is time to ask again for one that is in need.
    pub fn is_query_due(&self, now: Uptime) -> bool {
        now >= self.queried + NEED_PAUSE
    }

    /// Age of the proof; of a new process its own age, since it has made its first read as it began.
    fn proof_age(&self, now: Uptime) -> Duration {
        self.proved.map_or(now, |proved| now.saturating_sub(proved))
    }

    /// Lets time pass; says whether this daemon has to read.
    pub fn read_role(&mut self, now: Uptime, me: &DaemonId, order: &[DaemonId]) -> ReadRole {
        if self.proved.is_some() && !self.is_within(now, self.limits.lost_after * 2) {
            self.reach = PlatformReach::Lost;
        }
        if self.proof_age(now) >= self.limits.fallback_after || self.turned_away {
            self.fallback_until = now + READ_HOLD;
        }
        if order.iter().take(READERS).any(|reader| reader == me) || now < self.asked_until {
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
        self.turned_away || self.proved.is_some() && !self.is_within(now, self.limits.stale_after)
    }

    /// Whether targets that vanish now may come back, since the platform failed shortly before.
    pub fn is_doubtful(&self, now: Uptime) -> bool {
        match self.reach {
            PlatformReach::Steady => false,
            PlatformReach::Lost => true,
            PlatformReach::Returned(since) => now < since + RETURN_LIMIT,
        }
    }

    fn is_within(&self, now: Uptime, limit: Duration) -> bool {
        self.proved.is_some_and(|proved| now.saturating_sub(proved) < limit)
    }
}
