//! Callers and targets of a fleet, whose platform names the headers ([`WireProfile`]).
//!
//! Owns: the connections to all targets, and what the admission has learned of callers' times.
//! Relies on: the platform's routes as rules, [`ConfigFreshness`] for the age of the configuration.

mod admission;
mod forwarding;
mod notice;
mod objectives;
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
    ActiveConfig, Refusal, RefusalReason, RequestId, TargetNotice, TargetPool, Verdict,
};
use curlewcleat_store::WireProfile;
use curlewcleat_targets::{ConnectionOptions, ConnectionPool, ExchangeOptions, TargetAnswer};

use super::admitted::AdmittedRequest;
use super::answer::{AnswerContent, CallerAnswer};
use super::body::{BodyOptions, RequestBody};
use super::form::{AnswerForm, EventForm};
use super::problem::problem_answer;
use super::protocol::{AttemptLimits, CallerProtocol, HeadVerdict, ProtocolOptions, TargetAttempt};
use crate::config_freshness::ConfigFreshness;
use crate::context::DaemonContext;
use crate::headers;

/// Time for which a connection to a target is kept where the target does not say.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// A target closes an idle connection about when it says; the connection is not used in the last part of that time.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Divides the latency objective into the time to connect.
const CONNECT_DIVISOR: u32 = 4;
/// Least time to connect: many round trips between data centres.
const CONNECT_LEAST: Duration = Duration::from_millis(100);
/// Latency objectives after which a target that says nothing counts as stalled, so that another one is asked
/// for. Twelve days of overload and faults on six daemons (four days, three seeds, no processor time charged) are
/// worth .533, .535 and .529 in the mean with 1, 2 and 4.
const STALL_OBJECTIVES: u32 = 2;
/// Bounds of the time after which a target counts as stalled: targets at work pause for 0.6 to 2 s while they read a
/// long prompt (log of a day with 78 daemons).
const STALL_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// Bodies are read whole, so that any attempt can send them again. Callers that retry after `retry_after` are still
/// in time for their objective.
const OPTIONS: ProtocolOptions = ProtocolOptions {
    body: BodyOptions { peek_limit: usize::MAX, empty: BodySize::Sized(0) },
    retry_after: Duration::from_millis(200),
    unserved_wait: admission::UNSERVED_WAIT,
    cuts_at_deadline: true,
};

/// Callers and targets that speak with the names of a profile.
pub struct ProfileProtocol {
    context: DaemonContext,
    profile: WireProfile,
    connections: ConnectionPool,
    freshness: Rc<ConfigFreshness>,
    /// Longest time that callers of each rule have given.
    longest: RefCell<BTreeMap<String, Duration>>,
}

impl ProfileProtocol {
    /// The protocol of a fleet's platform.
    pub fn new(
        context: DaemonContext,
        profile: WireProfile,
        freshness: Rc<ConfigFreshness>,
    ) -> ProfileProtocol {
        let options = ConnectionOptions {
            idle_limit: IDLE_LIMIT,
            rest: Duration::ZERO,
            ..ConnectionOptions::default()
        };
        ProfileProtocol {
            context,
            profile,
            connections: ConnectionPool::new(options),
            freshness,
            longest: RefCell::default(),
        }
    }

    /// Time after which a target counts as stalled; one that cannot be replaced has all the time left.
    fn stall_limit(&self, request: &AdmittedRequest) -> Duration {
        let left = request.time_left();
        if !request.rule.repeatable {
            return left;
        }
        let objective = request.rule.service.objective.unwrap_or(STALL_RANGE.1);
        (objective * STALL_OBJECTIVES).clamp(STALL_RANGE.0, STALL_RANGE.1).min(left)
    }

    /// An idle connection is used only for as long as its target says that it keeps it.
    fn note_idle_limit(&self, answer: &mut TargetAnswer) {
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
        // It goes into a log line only.
        headers::text(headers, self.profile.attempt_id).unwrap_or_default()
    }

    /// Callers state the token counts in the head.
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
        let most = request.pool.limits.connect;
        let objective = request.rule.service.objective.unwrap_or(most * CONNECT_DIVISOR);
        let connect = (objective / CONNECT_DIVISOR).clamp(CONNECT_LEAST, most.max(CONNECT_LEAST));
        let stall = self.stall_limit(request);
        AttemptLimits {
            connect: connect.min(request.time_left()),
            head: stall,
            between_parts: stall,
        }
    }

    fn target_head(&self, attempt: &TargetAttempt<'_>) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = attempt.caller.method.clone();
        head.uri = attempt.caller.uri.clone();
        let caller = &attempt.caller.headers;
        head.headers = forwarding::forwarded_headers(&self.profile, caller);
        let reserved = forwarding::reserved_headers(&self.profile, caller);
        self.context.metrics.reserved_headers(reserved);
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
        ExchangeOptions { echo: Some((echo, request.attempt_id.clone())), unframed: true }
    }

    fn judge_head(&self, _: &AdmittedRequest, answer: &mut TargetAnswer) -> HeadVerdict {
        self.note_idle_limit(answer);
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

    fn may_repeat(&self, request: &AdmittedRequest) -> bool {
        request.rule.repeatable
    }

    fn holds_answer(&self, request: &AdmittedRequest, status: StatusCode) -> bool {
        !(status.is_success() && request.rule.service.streams)
    }

    fn answer_form(&self, _: &AdmittedRequest) -> Box<dyn AnswerForm> {
        Box::<EventForm>::default()
    }

    fn caller_answer(&self, _: RequestId, head: &ResponseHead) -> CallerAnswer {
        let passing = head
            .headers
            .iter()
            .filter(|(name, _)| headers::passes_on(name) && **name != header::CONTENT_LENGTH);
        CallerAnswer {
            status: head.status,
            headers: passing.map(|(name, value)| (name.clone(), value.clone())).collect(),
            content: AnswerContent::Parts(None),
            close: self.context.is_draining(),
        }
    }

    /// `Retry-After` is sent only where the request has not run.
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

/// Statuses that imply that nothing ran are used only for requests that did not run.
fn status_of(refusal: &Refusal) -> StatusCode {
    if refusal.verdict != Verdict::NotRun {
        return match refusal.reason {
            RefusalReason::DeadlinePassed | RefusalReason::FirstByteTimeout => {
                StatusCode::GATEWAY_TIMEOUT
            }
            _ => StatusCode::BAD_GATEWAY,
        };
    }
    match refusal.reason {
        RefusalReason::Unauthorized => StatusCode::UNAUTHORIZED,
        RefusalReason::NoRule => StatusCode::NOT_FOUND,
        RefusalReason::BadHeader | RefusalReason::BodyIncomplete => StatusCode::BAD_REQUEST,
        RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::AccountRate => StatusCode::TOO_MANY_REQUESTS,
        // The caller is to change the request, not to come back with it.
        RefusalReason::RequestLethal => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
