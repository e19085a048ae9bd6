//! Merges the notices that a target instance reports about itself into its current state.
//!
//! Inputs: the notices in the response headers of the target ([`TargetNotice`]), each with the time its request was
//! sent and the time it arrived, and the reports of other daemons about their notices.
//!
//! The rule, for one target instance (a new instance begins without notices):
//! - *Leaving* is permanent.
//! - *Rest* holds until it ends, for the daemon from which it was requested; a later notice never shortens it.
//! - *A limit* holds from the notice that states it until a notice without one, whose request was sent after that,
//!   so that an answer that was overtaken does not end a limit. It does not expire by itself: a target whose limit
//!   is nearly zero is probed at the rate that [`pacing`](super::pacing) allows. An unreadable limit neither begins
//!   nor ends one.
//!
//! Owns: the notices of one target instance. Relies on: clocks that count the time of a suspension.

use std::time::Duration;

use curlewcleat_core::{
    LimitNotice, LimitReport, NoticeReport, RequestRate, TargetInstance, TargetNotice, Uptime,
};

/// Time for which the end of a limit is reported repeatedly to other daemons.
const LIMIT_END_REPORT_TIME: Duration = Duration::from_secs(30);

/// The limit of a target instance, or its end, and since when that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LimitState {
    /// The limit, `None` if it has ended.
    rate: Option<RequestRate>,
    since: Uptime,
}

/// The merged notices of one target instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct NoticeState {
    leaving: bool,
    rest_until: Option<Uptime>,
    limit: Option<LimitState>,
}

/// A notice that has just arrived in a response header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedNotice {
    /// When the request of the response was sent.
    pub sent: Uptime,
    /// The notice in the response header.
    pub notice: TargetNotice,
}

impl NoticeState {
    /// Applies a received notice, and returns whether the state changed.
    pub fn apply_notice(&mut self, now: Uptime, received: &ReceivedNotice) -> bool {
        let before = self.clone();
        self.leaving |= received.notice.leaving;
        let rest_until = received.notice.rest.map(|rest| now + rest);
        self.rest_until = self.rest_until.max(rest_until);
        match received.notice.limit {
            LimitNotice::Stated(rate) => {
                self.limit = Some(LimitState { rate: Some(rate), since: now })
            }
            LimitNotice::Absent => self.end_limit(received.sent),
            LimitNotice::Unreadable => {}
        }
        self.differs(&before)
    }

    /// Merges the report of another daemon. A rest holds only for that daemon and is not merged.
    pub fn merge(&mut self, now: Uptime, report: &NoticeReport) {
        self.leaving |= report.leaving;
        if let Some(LimitReport { rate, age }) = report.limit {
            let since = now.saturating_sub(age);
            match rate {
                Some(_) if self.limit.is_none_or(|known| known.since <= since) => {
                    self.limit = Some(LimitState { rate, since });
                }
                Some(_) => {}
                None => self.end_limit(since),
            }
        }
    }

    /// Ends the limit if it is older than `sent`, the time of a request whose answer states none.
    fn end_limit(&mut self, sent: Uptime) {
        if let Some(limit) = self.limit.as_mut().filter(|limit| limit.since < sent) {
            *limit = LimitState { rate: None, since: sent };
        }
    }

    /// Returns whether the state differs from `before`, apart from the time since which a limit holds.
    fn differs(&self, before: &NoticeState) -> bool {
        let state = |notices: &NoticeState| (notices.leaving, notices.rest_until, notices.rate());
        state(self) != state(before)
    }

    /// Returns whether the target is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns until when the target requires rest from this daemon, `None` if it has not requested any.
    pub fn rest_until(&self) -> Option<Uptime> {
        self.rest_until
    }

    /// Returns the limit of the target in requests per second, `None` if there is none.
    pub fn rate(&self) -> Option<RequestRate> {
        self.limit.and_then(|limit| limit.rate)
    }

    /// Returns whether the state needs to be reported again, since an earlier report may have been lost.
    pub fn needs_report(&self, now: Uptime) -> bool {
        let limited =
            |limit: LimitState| limit.rate.is_some() || now < limit.since + LIMIT_END_REPORT_TIME;
        self.leaving || self.limit.is_some_and(limited)
    }

    /// Returns the report of the state to other daemons.
    pub fn report(&self, now: Uptime, instance: &TargetInstance) -> NoticeReport {
        NoticeReport {
            instance: instance.clone(),
            leaving: self.leaving,
            rest: self
                .rest_until
                .map(|until| until.saturating_sub(now))
                .filter(|rest| !rest.is_zero()),
            limit: self.limit.map(|limit| LimitReport {
                rate: limit.rate,
                age: now.saturating_sub(limit.since),
            }),
        }
    }
}
