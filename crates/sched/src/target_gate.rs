//! Decides whether a request may be sent to its target, by the evacuated data centres and by the notices that this
//! daemon has received from the target.
//!
//! Inputs: the evacuated data centres that this daemon knows, and the notices in the response headers that it received.
//! The rule: the gate is checked after the last wait and before the first byte, no matter which scheduler granted the
//! target and how long ago. It stops requests to targets of evacuated data centres, and those that the target's notices
//! exclude. A target that limits its rate gets no more than the whole limit from this daemon alone; the scheduler ensures
//! that all daemons together send no more ([`pacing`](crate::placement::pacing)).
//!
//! Owns: the notices of each target instance that has answered this daemon, and a copy of the evacuated data centres.
//! Relies on: [`NoticeState`] for which notices hold, the node for the evacuations.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use curlewcleat_core::{
    BrittleNotice, DataCentreId, NoticeReport, TargetEntry, TargetInstance, Uptime,
};

use crate::placement::notice::{NoticeState, ReceivedNotice};
use crate::placement::pacing::SendPace;

/// Requests allowed at once beyond the scheduler's burst, since grants can bunch up on their way.
const EXTRA_BURST: u64 = 1;
/// Minimum interval between reports of unchanged notices.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Rest that is reported after a refusal: so short that it excludes no request. It tells the schedulers of the refusal.
const REFUSAL_REST: Duration = Duration::from_millis(1);
/// Time over which a brittle target counts the requests that it turns away.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);
/// Time for which the record of a target instance is kept without a new notice.
const RECORD_RETENTION: Duration = Duration::from_secs(3_600);

/// The notices of one target instance, and what was sent and reported of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct GateRecord {
    notices: NoticeState,
    /// When its latest notice was received.
    last_notice: Uptime,
    /// Whether an unreadable notice has been reported to the operators.
    unreadable_reported: bool,
    /// Whether an unusable figure of its stated load has been reported to the operators.
    load_fault_reported: bool,
    /// Limiter of the requests sent to it, `None` if it states no limit.
    pace: Option<SendPace>,
    /// When its notices were last reported to other daemons.
    last_report: Option<Uptime>,
    /// The refusals a second that it bears before it terminates, `None` if it is not brittle.
    brittle: Option<u32>,
    /// When it turned away requests of this daemon.
    refusals: VecDeque<Uptime>,
}

impl GateRecord {
    /// Returns whether a brittle target has turned away as many requests of this daemon as this daemon may cause: half of
    /// what it bears, since others may cause refusals at the same time.
    fn has_refused_enough(&self, now: Uptime) -> bool {
        let Some(borne) = self.brittle else { return false };
        let recent = self.refusals.iter().filter(|refused| now < **refused + REFUSAL_WINDOW);
        recent.count() >= (borne / 2).max(1) as usize
    }
}

/// Why the gate stops a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateStop {
    /// The data centre of the target is evacuated.
    Evacuated,
    /// The target is leaving.
    Leaving,
    /// The target currently requires rest from this daemon.
    Resting,
    /// The limit of the target allows no further request now.
    Limited,
    /// The target is brittle and has turned away too many requests of this daemon within a second.
    Brittle,
}

/// The effect of a received notice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoticeChange {
    /// The merged notices of the target instance.
    pub report: NoticeReport,
    /// Whether the notice changed them.
    pub changed: bool,
    /// Whether the report is to be sent to other daemons.
    pub send_report: bool,
    /// Whether this is the first unreadable notice of the target instance.
    pub unreadable: bool,
}

/// The notices of target instances that this daemon has received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TargetGate {
    instances: BTreeMap<TargetInstance, GateRecord>,
    /// Data centres whose targets get no new requests.
    evacuated: BTreeSet<DataCentreId>,
}

impl TargetGate {
    /// Applies a notice that has just arrived in a response header.
    pub fn apply_notice(
        &mut self,
        now: Uptime,
        instance: &TargetInstance,
        received: &ReceivedNotice,
    ) -> NoticeChange {
        let record = self.record_of(now, instance);
        let changed = record.notices.apply_notice(now, received);
        match received.notice.brittle {
            BrittleNotice::Stated(borne) => record.brittle = Some(borne),
            BrittleNotice::Absent => record.brittle = None,
            BrittleNotice::Unreadable => {}
        }
        record.pace = record
            .notices
            .rate()
            .map(|_| record.pace.take().unwrap_or_else(|| SendPace::begin(now, EXTRA_BURST)));
        let due = record.last_report.is_none_or(|reported| now >= reported + REPORT_INTERVAL);
        let send_report = changed || due && record.notices.needs_report(now);
        if send_report {
            record.last_report = Some(now);
        }
        let unreadable =
            received.notice.unreadable && !std::mem::replace(&mut record.unreadable_reported, true);
        NoticeChange {
            report: record.notices.report(now, instance),
            changed,
            send_report,
            unreadable,
        }
    }

    /// Returns whether an unusable figure of a target instance's stated load is the first one.
    pub fn is_first_load_fault(&mut self, now: Uptime, instance: &TargetInstance) -> bool {
        let record = self.record_of(now, instance);
        !std::mem::replace(&mut record.load_fault_reported, true)
    }

    /// Returns the record of a target instance that has just answered.
    fn record_of(&mut self, now: Uptime, instance: &TargetInstance) -> &mut GateRecord {
        if !self.instances.contains_key(instance) {
            self.instances.retain(|_, record| now < record.last_notice + RECORD_RETENTION);
        }
        let record = self.instances.entry(instance.clone()).or_default();
        record.last_notice = now;
        record
    }

    /// Records that a target has turned away a request of this daemon. Returns the report for the daemons that may
    /// schedule if the target is brittle: it states a short rest, which daemons of every version can read.
    pub fn refused(&mut self, now: Uptime, instance: &TargetInstance) -> Option<NoticeReport> {
        let record = self.instances.get_mut(instance)?;
        record.brittle?;
        record.refusals.retain(|refused| now < *refused + REFUSAL_WINDOW);
        record.refusals.push_back(now);
        let report = record.notices.report(now, instance);
        Some(NoticeReport { rest: report.rest.max(Some(REFUSAL_REST)), ..report })
    }

    /// Sets the data centres that are evacuated.
    pub fn set_evacuated(&mut self, data_centres: BTreeSet<DataCentreId>) {
        self.evacuated = data_centres;
    }

    /// Returns why a request to a target would be stopped now, `None` if it may be sent.
    pub fn stop(&mut self, now: Uptime, target: &TargetEntry) -> Option<GateStop> {
        if self.evacuated.contains(&target.data_centre) {
            return Some(GateStop::Evacuated);
        }
        self.notice_stop(now, &target.instance())
    }

    /// Counts a request that is sent to a target now, or returns why it is stopped.
    pub fn pass(&mut self, now: Uptime, target: &TargetEntry) -> Option<GateStop> {
        if let Some(stop) = self.stop(now, target) {
            return Some(stop);
        }
        let record = self.instances.get_mut(&target.instance())?;
        if let Some((rate, pace)) = record.notices.rate().zip(record.pace.as_mut()) {
            pace.sent(now, rate);
        }
        None
    }

    /// Returns why the notices of a target instance would stop a request now.
    fn notice_stop(&mut self, now: Uptime, instance: &TargetInstance) -> Option<GateStop> {
        let record = self.instances.get_mut(instance)?;
        if record.notices.is_leaving() {
            return Some(GateStop::Leaving);
        }
        if record.notices.rest_until().is_some_and(|until| now < until) {
            return Some(GateStop::Resting);
        }
        if record.has_refused_enough(now) {
            return Some(GateStop::Brittle);
        }
        let limit = record.notices.rate().zip(record.pace.as_ref());
        match limit {
            Some((rate, pace)) if !pace.admits(now, rate) => {
                // The scheduler that granted this request does not know the limit, so the next notice is reported
                // at once.
                record.last_report = None;
                Some(GateStop::Limited)
            }
            _ => None,
        }
    }
}
