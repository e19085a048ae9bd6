//! Does a target have room, and how fast is it? What a scheduler knows of one life of a target.
//!
//! The rules: a target has room while the permits in use, and what others sent by its latest report,
//! are fewer than its slots (less a reserve for the top tier), it is not ejected ([`ejection`]), and the limit that it
//! names has room ([`notice`], [`pacing`]).
//! Its slowness is the ratio of seen to estimated time, in an exponentially weighted mean.
//!
//! Owns: slots, permits in use, beliefs. Relies on: reports that may be late or missing.
//!
//! [`ejection`]: super::ejection
//! [`notice`]: super::notice
//! [`pacing`]: super::pacing

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    NoticeReport, PermitRequest, RequestRate, TargetReport, TargetStart, TargetVersion, Uptime,
    VmId, WorkMicros,
};

use super::ejection::TargetEjection;
use super::notice::TargetWord;
use super::pace::StreamPace;
use super::pacing::{part_of, SendPace};
use super::prefix::PrefixCache;
use crate::admission::shared_rate::RatePart;
use crate::rollout::versions::VersionAccess;

/// Slowness of a target that takes exactly the estimated time, in thousandths.
const NORMAL: u64 = 1_000;
/// Time for which a report counts: some reports may be lost, which come once a second.
const REPORT_LIFE: Duration = Duration::from_secs(5);
/// Share of the prompt work that is left when the prefix is cached, in percent.
const CACHED_PROMPT_PERCENT: u64 = 10;
/// A request weighs one part in this many in the share that failed.
const FAILING_WEIGHT: u64 = 8;
/// Longest time that prompts are believed to keep a target: a bound on a wrong belief.
const BACKLOG_LIMIT: Duration = Duration::from_secs(5);
/// The share where every request fails, in thousandths.
const ALL_FAILING: u64 = 1_000;
/// An answer weighs one part in this many in the learned slowness.
const SLOWNESS_WEIGHT: u64 = 8;

/// Slots, load, speed and health of one target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetState {
    /// Start of the life that this is known of, `None` where the target does not tell.
    pub start: Option<TargetStart>,
    /// Version of its software, `None` where the target does not tell.
    pub version: Option<TargetVersion>,
    /// What its version may get.
    pub access: VersionAccess,
    /// VM of the target.
    pub vm: VmId,
    /// Its data centre, empty where it is not known.
    pub data_centre: String,
    /// Requests that it serves at the same time.
    pub slots: u32,
    /// Permits in use.
    pub in_flight: u32,
    /// Whether its VM leaves or is gone.
    pub leaving: bool,
    /// Prefixes that it is believed to hold.
    pub prefixes: PrefixCache,
    slowness: u64,
    ejection: TargetEjection,
    /// Requests there that others sent, by its latest report, and until when that counts.
    foreign: (u32, Uptime),
    /// Permits in use when the report before came.
    in_flight_before: u32,
    /// Number of the latest cache event taken in.
    last_eviction: Option<u64>,
    /// How fast it streams.
    pub pace: StreamPace,
    /// When it has read the prompts that were sent there, by estimate.
    prompts_until: Uptime,
    /// Share of its requests that failed lately, in thousandths.
    failing: u64,
    /// What it says of itself.
    word: TargetWord,
    /// Until when it wants nothing from an entry, by the entry's VM.
    rests: BTreeMap<VmId, Uptime>,
    /// The part of its limit that this scheduler grants, `None` where it names none, with what it has granted.
    limit: Option<(RequestRate, SendPace)>,
}

impl TargetState {
    /// A target about which nothing is known yet.
    pub fn new(vm: VmId, slots: u32) -> TargetState {
        TargetState {
            start: None,
            version: None,
            access: VersionAccess::Open,
            vm,
            data_centre: String::new(),
            slots,
            in_flight: 0,
            leaving: false,
            prefixes: PrefixCache::default(),
            slowness: NORMAL,
            ejection: TargetEjection::default(),
            foreign: (0, Duration::ZERO),
            in_flight_before: 0,
            last_eviction: None,
            pace: StreamPace::of_pool().of_new_target(),
            prompts_until: Duration::ZERO,
            failing: 0,
            word: TargetWord::default(),
            rests: BTreeMap::new(),
            limit: None,
        }
    }

    /// The same target, of which this pace is assumed.
    pub fn with_pace(self, pace: StreamPace) -> TargetState {
        TargetState { pace, ..self }
    }

    /// Lets a second pass. What is believed of an idle target's slowness fades, so that a belief that
    /// keeps requests away cannot keep itself alive.
    pub fn second_passed(&mut self, pool: &StreamPace) {
        if self.in_flight == 0 {
            self.pace.fade_towards(pool);
        }
        self.failing -= self.failing / FAILING_WEIGHT;
        if self.in_flight == 0 && self.slowness > NORMAL {
            let excess = self.slowness - NORMAL;
            self.slowness -= excess.div_ceil(SLOWNESS_WEIGHT);
        }
    }

    /// Takes a report of the target in. It is late: what ended since may still be counted in it, so
    /// only what exceeds the permits of both this report and the one before counts as foreign.
    pub fn reported(&mut self, now: Uptime, report: &TargetReport) {
        let own = self.in_flight.max(self.in_flight_before);
        self.in_flight_before = self.in_flight;
        self.foreign = (report.running.saturating_sub(own), now + REPORT_LIFE);
        self.note_evictions(report);
    }

    /// Takes the cache events of a report in. Reports come in order, so numbers that go back are those of
    /// a target that has started again and holds nothing of before.
    fn note_evictions(&mut self, report: &TargetReport) {
        let newest = report.evictions.last().map(|eviction| eviction.number);
        if newest.is_some() && newest < self.last_eviction {
            self.last_eviction = None;
        }
        for eviction in &report.evictions {
            match self.last_eviction {
                Some(last) if eviction.number <= last => continue,
                Some(last) if eviction.number == last + 1 => self.prefixes.forget(eviction.prefix),
                // Events were lost, or this is the first report: nothing is known of the cache.
                _ => self.prefixes.clear(),
            }
            self.last_eviction = Some(eviction.number);
        }
    }

    /// Requests there that others sent.
    pub fn foreign(&self, now: Uptime) -> u32 {
        if now < self.foreign.1 {
            self.foreign.0
        } else {
            0
        }
    }

    /// Takes in what a daemon has heard of it.
    pub fn noticed(&mut self, now: Uptime, from: &VmId, report: &NoticeReport, part: RatePart) {
        self.word.merge(now, report);
        self.rests.retain(|_, until| now < *until);
        if let Some(rest) = report.rest {
            self.rests.insert(from.clone(), now + rest);
        }
        self.keep_part(now, part);
    }

    /// Time for which it still wants nothing from an entry's VM, `None` where it takes what comes.
    pub fn rest_left(&self, now: Uptime, vm: &VmId) -> Option<Duration> {
        let until = self.rests.get(vm)?;
        Some(until.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// Whether it has asked any entry for rest that lasts.
    pub fn rests(&self, now: Uptime) -> bool {
        self.rests.values().any(|until| now < *until)
    }

    /// Whether it leaves, by the platform's word or its own.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.word.is_leaving()
    }

    /// Grants this part of its limit from now on.
    pub fn keep_part(&mut self, now: Uptime, part: RatePart) {
        let rate = self.word.rate().map(|rate| part_of(rate, part));
        let limit = self.limit.take();
        // A part that was nothing before has been used by others.
        let pace = limit.filter(|(before, _)| before.0 > 0).map(|(_, pace)| pace);
        self.limit = rate.map(|rate| (rate, pace.unwrap_or_else(|| SendPace::begin(now, 0))));
    }

    /// A request goes there.
    pub fn request_sent(&mut self, now: Uptime) {
        if let Some((rate, pace)) = &mut self.limit {
            pace.sent(now, *rate);
        }
    }

    /// The requests a second that this scheduler grants there, `None` for any number.
    pub fn rate(&self) -> Option<RequestRate> {
        self.limit.as_ref().map(|(rate, _)| *rate)
    }

    /// Time until the limit that it names lets one more request pass, `None` where it does not at this scheduler.
    pub fn limit_wait(&self, now: Uptime) -> Option<Duration> {
        match &self.limit {
            Some((rate, pace)) => pace.wait(now, *rate),
            None => Some(Duration::ZERO),
        }
    }

    /// What the target says of itself.
    pub fn word(&self) -> &TargetWord {
        &self.word
    }

    /// Whether one more request may go there; the reserve is kept free unless `top`.
    pub fn has_room(&self, top: bool, reserve_percent: u32, now: Uptime) -> bool {
        if self.is_leaving() || self.access != VersionAccess::Open {
            return false;
        }
        if self.limit.as_ref().is_some_and(|(rate, pace)| !pace.admits(now, *rate)) {
            return false;
        }
        if self.ejection.is_ejected() {
            // After the ejection one request at a time tries the target out.
            return self.ejection.admits(now) && self.in_flight == 0;
        }
        let reserve =
            if top { 0 } else { (self.slots * reserve_percent).div_ceil(100).min(self.slots - 1) };
        self.in_flight + self.foreign(now) < self.slots - reserve
    }

    /// Whether the target takes new work at all.
    pub fn usable(&self, now: Uptime) -> bool {
        !self.is_leaving() && self.access == VersionAccess::Open && self.ejection.admits(now)
    }

    /// Time until an ejected target is tried out again.
    pub fn back_after(&self, now: Uptime) -> Option<Duration> {
        self.ejection.time_left(now).filter(|_| !self.is_leaving())
    }

    /// Whether the target is ejected for failures.
    pub fn ejected(&self) -> bool {
        self.ejection.is_ejected()
    }

    /// Estimated time of the request on this target, with its speed and prompt cache.
    pub fn estimate(&self, request: &PermitRequest) -> WorkMicros {
        let cached = request.prefix.is_some_and(|prefix| self.prefixes.holds(prefix));
        let prompt = if cached {
            request.prompt_work * CACHED_PROMPT_PERCENT / 100
        } else {
            request.prompt_work
        };
        (prompt + request.output_work) * self.slowness / NORMAL
    }

    /// Time until the prompts that were sent there are read.
    pub fn prompt_backlog(&self, now: Uptime) -> Duration {
        self.prompts_until.saturating_sub(now)
    }

    /// A prompt that takes so long to read goes there.
    pub fn prompt_sent(&mut self, now: Uptime, time: WorkMicros) {
        let until = self.prompts_until.max(now) + Duration::from_micros(time);
        self.prompts_until = until.min(now + BACKLOG_LIMIT);
    }

    /// Share of its requests that failed lately, in thousandths.
    pub fn failing(&self) -> u64 {
        self.failing
    }

    /// Slowness in thousandths of the estimate.
    pub fn slowness(&self) -> u64 {
        self.slowness
    }

    /// A whole answer took this long for work that was estimated at normal speed.
    pub fn succeeded(&mut self, expected: WorkMicros, took: Duration) {
        self.failing -= self.failing / FAILING_WEIGHT;
        self.ejection.succeeded();
        let ratio = took.as_micros() as u64 * NORMAL / expected.max(1);
        let ratio = ratio.clamp(NORMAL / 10, NORMAL * 20);
        self.slowness = (self.slowness * (SLOWNESS_WEIGHT - 1) + ratio) / SLOWNESS_WEIGHT;
    }

    /// The target failed a request; `may_eject` says whether it may be ejected for that.
    pub fn failed(&mut self, now: Uptime, may_eject: bool) {
        self.failing += (ALL_FAILING - self.failing) / FAILING_WEIGHT;
        self.ejection.failed(now, may_eject);
    }
}
