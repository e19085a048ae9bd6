//! Tracks what a scheduler knows of one target instance: free capacity, speed and health.
//!
//! The rules: a target has free capacity if the permits in use plus the requests of others in its latest
//! report are fewer than its slots (less a reserve for the top tier), it is not ejected ([`ejection`]), and
//! the limit that it states allows one more request ([`notice`], [`pacing`]).
//! Its slowness is the ratio of actual to estimated time, in an exponentially weighted mean.
//!
//! Owns: slots, permits in use, estimates. Relies on: reports that may be late or missing.
//!
//! [`ejection`]: super::ejection
//! [`notice`]: super::notice
//! [`pacing`]: super::pacing

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    DataCentreId, NoticeReport, PermitRequest, RequestRate, TargetReport, TargetStart,
    TargetVersion, Uptime, VersionDigest, VmId, WorkMicros,
};

use super::ejection::TargetEjection;
use super::idle_connections::IdleConnections;
use super::notice::NoticeState;
use super::pace::StreamPace;
use super::pacing::{share_of, SendPace};
use super::prefix::PrefixCache;
use super::room::TargetRoom;
use super::stated_load::LoadBelief;
use crate::admission::shared_rate::RateShare;
use crate::rollout::versions::VersionAccess;

/// Slowness of a target that takes exactly the estimated time, in thousandths.
const NORMAL_SLOWNESS: u64 = 1_000;
/// Time for which a report is valid. Reports come once a second, and some may be lost.
const REPORT_VALIDITY: Duration = Duration::from_secs(5);
/// Percentage of the prompt work that remains if the prefix is cached.
const CACHED_PROMPT_PERCENT: u64 = 10;
/// A request has a weight of one in this many in the share of failures.
const FAILING_WEIGHT: u64 = 8;
/// Longest estimate of the prompt backlog, which bounds the effect of a wrong estimate.
const BACKLOG_LIMIT: Duration = Duration::from_secs(5);
/// Share of failures if every request fails, in thousandths.
const FULL_FAILURE_SHARE: u64 = 1_000;
/// An answer has a weight of one in this many in the learned slowness.
const SLOWNESS_WEIGHT: u64 = 8;

/// Slots, load, speed and health of one target instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetState {
    /// Start of the target instance, `None` if the target does not report one.
    pub start: Option<TargetStart>,
    /// Version of its software, `None` if the target does not report one.
    pub version: Option<TargetVersion>,
    /// Digest of the version.
    pub version_digest: VersionDigest,
    /// Which requests its version may get.
    pub access: VersionAccess,
    /// The VM that it runs on.
    pub vm: VmId,
    /// Its data centre, empty if unknown.
    pub data_centre: DataCentreId,
    /// Number of requests that it can serve at the same time.
    pub slots: u32,
    /// Number of permits in use.
    pub in_flight: u32,
    /// Whether its VM is leaving or unlisted.
    pub leaving: bool,
    /// Prefixes that it is assumed to hold in its prompt cache.
    pub prefixes: PrefixCache,
    /// Idle connections that entry daemons are assumed to have to it.
    pub idle_connections: IdleConnections,
    /// Ratio of actual to estimated time, in thousandths.
    slowness: u64,
    ejection: TargetEjection,
    /// Number of requests sent by others, by its latest report, and until when that is valid.
    external_load: (u32, Uptime),
    /// Number of permits in use when the previous report arrived.
    previous_in_flight: u32,
    /// Number of the latest cache eviction applied.
    last_eviction: Option<u64>,
    /// Its learned streaming speed.
    pub pace: StreamPace,
    /// What it states of its load.
    pub stated: LoadBelief,
    /// Estimated time by which it has read the prompts sent to it.
    prompts_until: Uptime,
    /// Share of its recent requests that failed, in thousandths.
    failing: u64,
    /// The merged notices of the target instance.
    notices: NoticeState,
    /// Until when it requires rest from an entry daemon, by the entry daemon's VM.
    rests: BTreeMap<VmId, Uptime>,
    /// The rate that it accepts until it is warm, `None` if it is warm.
    warm_up_rate: Option<RequestRate>,
    /// This scheduler's share of the lowest limit, stated by the target or of its warm-up, with the limiter of the
    /// requests granted; `None` if there is no limit.
    limit: Option<(RequestRate, SendPace)>,
    /// The requests that it is offered while it is brittle, `None` for its slots.
    room: Option<TargetRoom>,
}

impl TargetState {
    /// Returns a target about which nothing is known yet.
    pub fn new(vm: VmId, slots: u32) -> TargetState {
        TargetState {
            start: None,
            version: None,
            version_digest: VersionDigest::of(None),
            access: VersionAccess::Open,
            vm,
            data_centre: String::new(),
            slots,
            in_flight: 0,
            leaving: false,
            prefixes: PrefixCache::default(),
            idle_connections: IdleConnections::default(),
            slowness: NORMAL_SLOWNESS,
            ejection: TargetEjection::default(),
            external_load: (0, Duration::ZERO),
            previous_in_flight: 0,
            last_eviction: None,
            pace: StreamPace::of_pool().of_new_target(),
            stated: LoadBelief::default(),
            prompts_until: Duration::ZERO,
            failing: 0,
            notices: NoticeState::default(),
            rests: BTreeMap::new(),
            warm_up_rate: None,
            limit: None,
            room: None,
        }
    }

    /// Returns the target with this pace.
    pub fn with_pace(self, pace: StreamPace) -> TargetState {
        TargetState { pace, ..self }
    }

    /// Updates the estimates once a second. The slowness of an idle target decays to normal; otherwise a bad
    /// estimate would keep requests away, and no answer could correct it.
    pub fn second_passed(&mut self, pool: &StreamPace) {
        if self.in_flight == 0 {
            self.pace.fade_towards(pool);
            self.stated.fade();
        }
        self.failing -= self.failing / FAILING_WEIGHT;
        if self.in_flight == 0 && self.slowness > NORMAL_SLOWNESS {
            let excess = self.slowness - NORMAL_SLOWNESS;
            self.slowness -= excess.div_ceil(SLOWNESS_WEIGHT);
        }
    }

    /// Applies a report of the target. A report is late: it may still count requests that have ended since.
    /// Only the excess over the permits in use at both this report and the previous one is attributed to
    /// others.
    pub fn apply_report(&mut self, now: Uptime, report: &TargetReport) {
        let own = self.in_flight.max(self.previous_in_flight);
        self.previous_in_flight = self.in_flight;
        self.external_load = (report.running.saturating_sub(own), now + REPORT_VALIDITY);
        self.apply_evictions(report);
    }

    /// Applies the cache evictions of a report. Reports come in order, so numbers that go back mean that the
    /// target has restarted with an empty cache.
    fn apply_evictions(&mut self, report: &TargetReport) {
        let newest = report.evictions.last().map(|eviction| eviction.number);
        if newest.is_some() && newest < self.last_eviction {
            self.last_eviction = None;
        }
        for eviction in &report.evictions {
            match self.last_eviction {
                Some(last) if eviction.number <= last => continue,
                Some(last) if eviction.number == last + 1 => self.prefixes.forget(eviction.prefix),
                // Evictions were missed, or this is the first report: the content of the cache is unknown.
                _ => self.prefixes.clear(),
            }
            self.last_eviction = Some(eviction.number);
        }
    }

    /// Returns the number of requests that others have sent to the target.
    pub fn external_load(&self, now: Uptime) -> u32 {
        let reported = if now < self.external_load.1 { self.external_load.0 } else { 0 };
        reported.max(self.stated.external_load(now, self.slots))
    }

    /// Applies a daemon's report of the target's notices.
    pub fn apply_notice_report(
        &mut self,
        now: Uptime,
        from: &VmId,
        report: &NoticeReport,
        rate_share: RateShare,
    ) {
        self.notices.merge(now, report);
        self.rests.retain(|_, until| now < *until);
        if let Some(rest) = report.rest {
            self.rests.insert(from.clone(), now + rest);
        }
        self.update_rate_share(now, rate_share);
    }

    /// Returns the remaining time of the rest that it requires from the daemon on this VM, `None` if there is none.
    pub fn rest_remaining(&self, now: Uptime, vm: &VmId) -> Option<Duration> {
        let until = self.rests.get(vm)?;
        Some(until.saturating_sub(now)).filter(|remaining| !remaining.is_zero())
    }

    /// Returns whether it currently requires rest from any entry daemon.
    pub fn rests(&self, now: Uptime) -> bool {
        self.rests.values().any(|until| now < *until)
    }

    /// Returns whether the target is leaving, according to the platform or to its own notice.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.notices.is_leaving()
    }

    /// Sets the rate that the target accepts until it is warm, `None` once it is.
    pub fn set_warm_up_rate(
        &mut self,
        now: Uptime,
        rate: Option<RequestRate>,
        rate_share: RateShare,
    ) {
        self.warm_up_rate = rate;
        self.update_rate_share(now, rate_share);
    }

    /// Returns the rate that the target accepts until it is warm, `None` if it is warm.
    pub fn warm_up_rate(&self) -> Option<RequestRate> {
        self.warm_up_rate
    }

    /// Sets this scheduler's share of the target's limit.
    pub fn update_rate_share(&mut self, now: Uptime, rate_share: RateShare) {
        let lowest = self.notices.rate().into_iter().chain(self.warm_up_rate).min();
        let rate = lowest.map(|rate| share_of(rate, rate_share));
        let limit = self.limit.take();
        // If the share was zero before, other schedulers have used the limit, so the limiter begins empty.
        let pace = limit.filter(|(before, _)| before.0 > 0).map(|(_, pace)| pace);
        self.limit = rate.map(|rate| (rate, pace.unwrap_or_else(|| SendPace::begin(now, 0))));
    }

    /// Sets the requests that it is offered while it is brittle, `None` for its slots.
    pub fn set_room(&mut self, room: Option<TargetRoom>) {
        self.room = room;
    }

    /// Counts a request that the target already runs, as another daemon reports it.
    pub fn held_request_reported(&mut self) {
        self.in_flight += 1;
        self.stated.held_request_reported();
        self.room = self.room.map(TargetRoom::with_held_request);
    }

    /// Counts a request sent to the target against its limit.
    pub fn request_sent(&mut self, now: Uptime) {
        if let Some((rate, pace)) = &mut self.limit {
            pace.sent(now, *rate);
        }
    }

    /// Returns the rate in requests per second that this scheduler may grant, `None` if there is no limit.
    pub fn rate(&self) -> Option<RequestRate> {
        self.limit.as_ref().map(|(rate, _)| *rate)
    }

    /// Returns the time until the target's limit and its room allow one more request, `None` if this scheduler has no
    /// share of the limit.
    pub fn limit_wait(&self, now: Uptime) -> Option<Duration> {
        let limit_wait = match &self.limit {
            Some((rate, pace)) => pace.wait(now, *rate)?,
            None => Duration::ZERO,
        };
        let room = self.room.filter(|room| room.offered(now) == 0);
        Some(limit_wait.max(room.map_or(Duration::ZERO, |room| room.next_in(now))))
    }

    /// Returns the merged notices of the target instance.
    pub fn notices(&self) -> &NoticeState {
        &self.notices
    }

    /// Returns whether one more request may go to the target. The reserve is kept free unless `top` is set.
    pub fn has_capacity(&self, top: bool, reserve_percent: u32, now: Uptime) -> bool {
        self.has_capacity_for(None, false, top, reserve_percent, now)
    }

    /// Same as [`has_capacity`](TargetState::has_capacity), for a request that is limited to a version, and, with
    /// `ignores_ejection`, that may go nowhere else.
    pub fn has_capacity_for(
        &self,
        version: Option<VersionDigest>,
        ignores_ejection: bool,
        top: bool,
        reserve_percent: u32,
        now: Uptime,
    ) -> bool {
        if !self.is_open_to(version) {
            return false;
        }
        if self.limit.as_ref().is_some_and(|(rate, pace)| !pace.admits(now, *rate)) {
            return false;
        }
        if self.ejection.is_ejected() && !ignores_ejection {
            // After the time of the ejection the target is tried with one request at a time.
            return self.ejection.admits(now) && self.in_flight == 0;
        }
        if self.room.is_some_and(|room| self.in_flight >= room.offered(now)) {
            return false;
        }
        let reserve =
            if top { 0 } else { (self.slots * reserve_percent).div_ceil(100).min(self.slots - 1) };
        self.in_flight + self.external_load(now) < self.slots - reserve
    }

    /// Returns whether the target stays and its version may get a request that is limited to `version`. What a version on
    /// trial has begun continues there.
    pub fn is_open_to(&self, version: Option<VersionDigest>) -> bool {
        let is_in_service = match self.access {
            VersionAccess::Open => true,
            VersionAccess::Trial => version == Some(self.version_digest),
            _ => false,
        };
        is_in_service && !self.is_leaving()
    }

    /// Returns whether the target accepts new requests when it has free capacity.
    pub fn accepts_requests(&self, now: Uptime) -> bool {
        self.accepts_requests_for(None, now)
    }

    /// Same as [`accepts_requests`](TargetState::accepts_requests), for requests that are limited to a version.
    pub fn accepts_requests_for(&self, version: Option<VersionDigest>, now: Uptime) -> bool {
        self.is_open_to(version) && self.ejection.admits(now)
    }

    /// Returns the time until an ejected target may be tried again, `None` if it is not ejected or is leaving.
    pub fn ejection_remaining(&self, now: Uptime) -> Option<Duration> {
        self.ejection.remaining(now).filter(|_| !self.is_leaving())
    }

    /// Returns whether the target is ejected.
    pub fn ejected(&self) -> bool {
        self.ejection.is_ejected()
    }

    /// Returns the estimated time of the request on this target, by its speed and prompt cache.
    pub fn estimate(&self, request: &PermitRequest) -> WorkMicros {
        let cached = request.prefix.is_some_and(|prefix| self.prefixes.holds(prefix));
        let prompt = if cached {
            request.prompt_work * CACHED_PROMPT_PERCENT / 100
        } else {
            request.prompt_work
        };
        (prompt + request.output_work) * self.slowness / NORMAL_SLOWNESS
    }

    /// Returns the estimated time until the target has read the prompts sent to it.
    pub fn prompt_backlog(&self, now: Uptime) -> Duration {
        self.prompts_until.saturating_sub(now)
    }

    /// Adds a prompt that takes this time to read to the backlog.
    pub fn prompt_sent(&mut self, now: Uptime, time: WorkMicros) {
        let until = self.prompts_until.max(now) + Duration::from_micros(time);
        self.prompts_until = until.min(now + BACKLOG_LIMIT);
    }

    /// Returns the share of its recent requests that failed, in thousandths.
    pub fn failing(&self) -> u64 {
        self.failing
    }

    /// Returns the ratio of actual to estimated time, in thousandths.
    pub fn slowness(&self) -> u64 {
        self.slowness
    }

    /// Records a complete answer: `expected` is its estimated time at normal speed, `took` the actual time.
    pub fn succeeded(&mut self, expected: WorkMicros, took: Duration) {
        self.failing -= self.failing / FAILING_WEIGHT;
        self.ejection.succeeded();
        let ratio = took.as_micros() as u64 * NORMAL_SLOWNESS / expected.max(1);
        let ratio = ratio.clamp(NORMAL_SLOWNESS / 10, NORMAL_SLOWNESS * 20);
        self.slowness = (self.slowness * (SLOWNESS_WEIGHT - 1) + ratio) / SLOWNESS_WEIGHT;
    }

    /// Records a failed request; `may_eject` is whether the target may be ejected for it.
    pub fn failed(&mut self, now: Uptime, may_eject: bool) {
        self.failing += (FULL_FAILURE_SHARE - self.failing) / FAILING_WEIGHT;
        self.ejection.failed(now, may_eject);
    }
}
