//! Implements the protocol of a fleet, whose platform defines the header names ([`WireProfile`]).
//!
//! Owns: the connections to all targets, and the longest timeout that callers of each rule have sent.
//! Relies on: the platform's routes as rules, [`ConfigFreshness`] for the age of the configuration.

mod admission;
mod forwarding;
mod notice;
mod objectives;
mod prompt_parts;
mod refusal_status;
mod stated_load;
mod status;
mod take_up;
#[cfg(test)]
mod tests;
mod work;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Request, RequestHead, ResponseHead, StatusCode};
use curlewcleat_clock::Moment;
use curlewcleat_core::{
    ActiveConfig, LoadReading, Refusal, RefusalReason, RequestId, TargetEntry, TargetNotice,
    TargetPool, Verdict,
};
use curlewcleat_store::WireProfile;
use curlewcleat_targets::{ConnectionOptions, ConnectionPool, ExchangeOptions, TargetAnswer};

use self::refusal_status::status_of;
use super::admitted::AdmittedRequest;
use super::answer::{AnswerContent, CallerAnswer, PartsFrame};
use super::body::{BodyOptions, RequestBody};
use super::framing::{AnswerFraming, EventFraming, StreamPosition};
use super::liveness::TargetLiveness;
use super::problem::problem_answer;
use super::protocol::{AttemptLimits, CallerProtocol, HeadVerdict, ProtocolOptions, TargetAttempt};
use crate::config_freshness::ConfigFreshness;
use crate::context::DaemonContext;
use crate::headers;
use crate::relays::TargetDialer;

/// Time for which an idle connection to a target is kept if the target states none.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time before the stated end of an idle connection in which it is no longer used, since a target closes it only
/// roughly at the stated time.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// The time to connect is the latency objective divided by this.
const CONNECT_DIVISOR: u32 = 4;
/// Minimum time to connect: many round trips between data centres.
const MIN_CONNECT_LIMIT: Duration = Duration::from_millis(100);
/// Number of latency objectives after which an unresponsive target counts as stalled, so that another one is
/// requested. Over 12 days of overload and faults on six daemons (4 days, 3 seeds each), the mean value is .535 with 2,
/// .533 with 1 and .529 with 4.
const STALL_OBJECTIVES: u32 = 2;
/// Bounds of the time after which a target counts as stalled. A working target pauses for 0.6 to 2 s while it reads a
/// long prompt (in a fleet of 78 daemons).
const STALL_LIMIT_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(5));

/// Bodies are read completely, so that any attempt can send them again. Callers that retry after `retry_after` can
/// still meet their objective.
const OPTIONS: ProtocolOptions = ProtocolOptions {
    body: BodyOptions { peek_limit: usize::MAX, empty: BodySize::Sized(0) },
    retry_after: Duration::from_millis(200),
    no_config_retry_after: admission::UNSERVED_RETRY_AFTER,
    cuts_at_deadline: true,
};

/// Protocol of callers and targets that use the header names of a profile.
pub struct ProfileProtocol {
    context: DaemonContext,
    profile: WireProfile,
    connections: ConnectionPool,
    freshness: Rc<ConfigFreshness>,
    /// Longest timeout that callers of each rule have sent.
    longest_timeouts: RefCell<BTreeMap<String, Duration>>,
}

impl ProfileProtocol {
    /// Creates the protocol of a fleet's platform.
    pub fn new(
        context: DaemonContext,
        profile: WireProfile,
        freshness: Rc<ConfigFreshness>,
    ) -> ProfileProtocol {
        let links = TargetDialer::new(&context);
        let options = ConnectionOptions {
            idle_limit: IDLE_LIMIT,
            min_idle: Duration::ZERO,
            ..ConnectionOptions::default()
        };
        let connections =
            ConnectionPool::new(options).with_links(links).with_intake(context.answer_intake());
        ProfileProtocol {
            context,
            profile,
            connections,
            freshness,
            longest_timeouts: RefCell::default(),
        }
    }

    /// Returns the time after which a target counts as stalled. A target that cannot be replaced has all the
    /// remaining time.
    fn stall_limit(&self, request: &AdmittedRequest) -> Duration {
        let remaining = request.time_left();
        if !request.rule.repeatable {
            return remaining;
        }
        let objective = request.rule.service.objective.unwrap_or(STALL_LIMIT_RANGE.1);
        (objective * STALL_OBJECTIVES)
            .clamp(STALL_LIMIT_RANGE.0, STALL_LIMIT_RANGE.1)
            .min(remaining)
    }

    /// Limits the reuse of the connection to the idle time that the target states in `Keep-Alive`.
    fn apply_keep_alive(&self, answer: &mut TargetAnswer) {
        let Some(text) = headers::text(&answer.head.headers, "keep-alive") else { return };
        let seconds = text.split([',', ';']).find_map(|part| {
            let part = part.trim();
            part.strip_prefix("timeout=").unwrap_or(part).parse::<u64>().ok()
        });
        if let Some(seconds) = seconds {
            answer.body.set_idle_limit(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN));
        }
    }
}

impl CallerProtocol for ProfileProtocol {
    fn options(&self) -> &ProtocolOptions {
        &OPTIONS
    }

    fn admit(
        &self,
        config: &ActiveConfig,
        id: RequestId,
        arrived: Moment,
        request: &Request,
    ) -> Result<AdmittedRequest, Refusal> {
        self.admit_request(config, id, arrived, request)
    }

    fn attempt_id<'r>(&self, headers: &'r HeaderMap) -> &'r str {
        // A missing id is logged as empty; nothing else uses this value.
        headers::text(headers, self.profile.attempt_id).unwrap_or_default()
    }

    /// Does nothing: callers state the token counts in the head.
    fn estimate(&self, _: &mut AdmittedRequest, _: &RequestBody) {}

    fn check_sendable(&self, request: &AdmittedRequest) -> Result<(), RefusalReason> {
        // The machine may have been suspended since the permit was granted.
        if request.time_left().is_zero() {
            return Err(RefusalReason::DeadlinePassed);
        }
        match request.account.is_some() && !self.is_config_fresh() {
            true => Err(RefusalReason::ConfigurationStale),
            false => Ok(()),
        }
    }

    fn connections(&self, _: &TargetPool) -> ConnectionPool {
        self.connections.clone()
    }

    fn limits(&self, request: &AdmittedRequest) -> AttemptLimits {
        let max_connect = request.pool.limits.connect;
        let objective = request.rule.service.objective.unwrap_or(max_connect * CONNECT_DIVISOR);
        let connect = (objective / CONNECT_DIVISOR)
            .clamp(MIN_CONNECT_LIMIT, max_connect.max(MIN_CONNECT_LIMIT));
        let stall = self.stall_limit(request);
        AttemptLimits {
            connect: connect.min(request.time_left()),
            head: stall,
            between_parts: stall,
            caller_gap: objectives::caller_gap(&request.rule.service),
        }
    }

    fn target_head(&self, attempt: &TargetAttempt<'_>) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = attempt.caller.method.clone();
        head.uri = attempt.caller.uri.clone();
        let caller = &attempt.caller.headers;
        head.headers = forwarding::forwarded_headers(&self.profile, caller);
        let reserved = forwarding::count_reserved_headers(&self.profile, caller);
        self.context.metrics.count_reserved_headers(reserved);
        let profile = &self.profile;
        let mut set = |name, text: &str| {
            headers::set(&mut head.headers, HeaderName::from_static(name), text);
        };
        let millis = attempt.request.time_left().as_millis().max(1);
        set(profile.time_left, &millis.to_string());
        set(profile.instance, &attempt.target.id);
        set(profile.attempt_id, &attempt.request.attempt_id);
        if let Some(account) = &attempt.request.account {
            set(profile.account, account);
        }
        if let Some(last) = attempt.last_event {
            set(profile.last_event, &last.to_string());
        }
        head
    }

    fn exchange_options(&self, request: &AdmittedRequest) -> ExchangeOptions {
        let echo = HeaderName::from_static(self.profile.attempt_id);
        ExchangeOptions {
            echo: Some((echo, request.attempt_id.clone())),
            allow_close_delimited: true,
        }
    }

    fn evaluate_head(&self, _: &AdmittedRequest, answer: &mut TargetAnswer) -> HeadVerdict {
        self.apply_keep_alive(answer);
        let not_run = answer.head.status.as_u16() == self.profile.misdirected_status
            || answer.head.headers.contains_key(self.profile.not_run);
        match not_run {
            true => HeadVerdict::NotRun,
            false => HeadVerdict::Accepted,
        }
    }

    fn target_notice(&self, head: &ResponseHead) -> Option<TargetNotice> {
        notice::read_notice(&self.profile, head)
    }

    fn target_load(&self, head: &ResponseHead) -> LoadReading {
        stated_load::read_load(&self.profile, head)
    }

    fn status_request(&self, target: &TargetEntry) -> Option<RequestHead> {
        Some(status::status_request(&self.profile, target))
    }

    fn evaluate_status(&self, head: &ResponseHead) -> Option<TargetLiveness> {
        status::evaluate_status(&self.profile, head)
    }

    fn may_repeat(&self, request: &AdmittedRequest) -> bool {
        request.rule.repeatable
    }

    fn buffers_answer(&self, request: &AdmittedRequest, status: StatusCode) -> bool {
        !(status.is_success() && request.rule.service.streams)
    }

    fn answer_framing(&self, request: &AdmittedRequest) -> Box<dyn AnswerFraming> {
        Box::new(EventFraming::from(StreamPosition::of(request.take_up.as_ref())))
    }

    fn caller_answer(&self, _: RequestId, head: &ResponseHead) -> CallerAnswer {
        let forwarded = head
            .headers
            .iter()
            .filter(|(name, _)| headers::may_forward(name) && **name != header::CONTENT_LENGTH);
        CallerAnswer {
            status: head.status,
            headers: forwarded.map(|(name, value)| (name.clone(), value.clone())).collect(),
            content: AnswerContent::Parts(PartsFrame::Chunks),
            close: self.context.is_draining(),
        }
    }

    /// Sends `Retry-After` only if the request did not run.
    fn refusal_answer(&self, id: RequestId, refusal: &Refusal) -> CallerAnswer {
        let retry_after = refusal.retry_after.filter(|_| refusal.verdict == Verdict::NotRun);
        let refusal = Refusal { retry_after, ..refusal.clone() };
        let mut answer = problem_answer(id, status_of(&refusal), &refusal);
        if let Some(wait) = retry_after {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                answer.headers.push((header::RETRY_AFTER, value));
            }
        }
        answer.close |= self.context.is_draining();
        answer
    }

    fn config_age(&self) -> Option<Duration> {
        self.freshness.age()
    }
}
