//! Implements the built-in interface for callers and targets, described in docs/CALLERS.md.
//!
//! Owns: the connections of this thread to the targets of each pool. Relies on: files applied by
//! operators for rules, pools and targets.

mod prompt;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage, Request, RequestHead, ResponseHead, StatusCode};
use curlewcleat_clock::Moment;
use curlewcleat_core::{
    hash_token, ActiveConfig, LatencyObjectives, LoadReading, PoolId, Refusal, RefusalReason,
    RequestId, TargetEntry, TargetNotice, TargetPool,
};
use curlewcleat_targets::{
    AnswerIntake, ConnectionOptions, ConnectionPool, ExchangeOptions, TargetAnswer,
};

use super::admitted::{AdmittedRequest, WorkEstimate};
use super::answer::{AnswerContent, CallerAnswer, PartsFrame};
use super::body::{BodyOptions, RequestBody};
use super::framing::{AnswerFraming, ByteFraming};
use super::liveness::TargetLiveness;
use super::problem::{problem_answer, REQUEST_ID};
use super::protocol::{AttemptLimits, CallerProtocol, HeadVerdict, ProtocolOptions, TargetAttempt};
use crate::context::DaemonContext;
use crate::headers;
use crate::relays::TargetDialer;

/// Header with the urgency of a request (RFC 9218).
const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Lowest urgency that the header can express (RFC 9218).
const LOWEST_URGENCY: u8 = 7;

/// 64 KiB hold all but the longest prompts completely; the rest of a longer body streams. One second is the shortest
/// wait that `Retry-After` can express in whole seconds.
const OPTIONS: ProtocolOptions = ProtocolOptions {
    body: BodyOptions { peek_limit: 64 << 10, empty: BodySize::None },
    retry_after: Duration::from_secs(1),
    no_config_retry_after: Duration::from_secs(1),
    cuts_at_deadline: false,
};

/// Protocol of callers and targets that use the built-in interface.
pub struct BuiltinProtocol {
    links: Rc<TargetDialer>,
    /// Connections by pool and by whether they are reused. Pools share no connections, so that no request
    /// waits behind one of another pool.
    connections: RefCell<BTreeMap<(PoolId, bool), ConnectionPool>>,
    /// Bounds the undelivered bytes of answers; `None` without a memory limit.
    intake: Option<Rc<dyn AnswerIntake>>,
}

impl BuiltinProtocol {
    /// Creates the protocol of one thread.
    pub fn new(context: &DaemonContext) -> BuiltinProtocol {
        BuiltinProtocol {
            links: TargetDialer::new(context),
            connections: RefCell::default(),
            intake: context.answer_intake(),
        }
    }
}

impl CallerProtocol for BuiltinProtocol {
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
        let not_run = |reason| Refusal::not_run(reason, None);
        let head = request.headers();
        let token = headers::bearer_token(head).ok_or(not_run(RefusalReason::Unauthorized))?;
        let account =
            config.account_of(&hash_token(token)).ok_or(not_run(RefusalReason::Unauthorized))?;
        let lookup = |name: &str| headers::text(head, name);
        let rule = config
            .rule_for(request.method().as_str(), request.path(), &account.id, lookup)
            .ok_or(not_run(RefusalReason::NoRule))?;
        let tier = config.tiers.get(&rule.tier).ok_or(not_run(RefusalReason::NoRule))?;
        let pool = config.pools.get(&rule.pool).ok_or(not_run(RefusalReason::NoRule))?;
        let bad_header = |_| not_run(RefusalReason::BadHeader);
        let time = headers::timeout(head).map_err(bad_header)?.unwrap_or(tier.deadline);
        let key = headers::idempotency(head).map_err(bad_header)?.filter(|_| !rule.repeatable);
        Ok(AdmittedRequest {
            take_up: None,
            caller_time_left: None,
            id,
            attempt_id: String::new(),
            arrived,
            deadline: arrived + time,
            account: Some(account.id.clone()),
            rule: rule.clone(),
            tier: tier.id.clone(),
            rank: tier.rank,
            pool: pool.clone(),
            objectives: LatencyObjectives::default(),
            attempt_limit: None,
            cost: 1,
            work: WorkEstimate::default(),
            digest: None,
            part_features: Vec::new(),
            key,
        })
    }

    fn attempt_id<'r>(&self, _: &'r HeaderMap) -> &'r str {
        ""
    }

    fn estimate(&self, request: &mut AdmittedRequest, body: &RequestBody) {
        request.work = prompt::estimate(&request.pool, body);
    }

    fn check_sendable(&self, request: &AdmittedRequest) -> Result<(), RefusalReason> {
        match request.time_left().is_zero() {
            true => Err(RefusalReason::DeadlinePassed),
            false => Ok(()),
        }
    }

    fn connections(&self, pool: &TargetPool) -> ConnectionPool {
        let defaults = ConnectionOptions::default();
        let max_idle_connections =
            if pool.reuse_connections { defaults.max_idle_connections } else { 0 };
        let options = ConnectionOptions { max_idle_connections, ..defaults };
        let key = (pool.id.clone(), pool.reuse_connections);
        let mut connections = self.connections.borrow_mut();
        let new_pool = || {
            let pool = ConnectionPool::new(options).with_links(Rc::clone(&self.links) as _);
            pool.with_intake(self.intake.clone())
        };
        connections.entry(key).or_insert_with(new_pool).clone()
    }

    fn limits(&self, request: &AdmittedRequest) -> AttemptLimits {
        let limits = &request.pool.limits;
        AttemptLimits {
            connect: limits.connect,
            head: limits.first_byte,
            between_parts: limits.between_bytes,
            caller_gap: limits.between_bytes,
        }
    }

    fn target_head(&self, attempt: &TargetAttempt<'_>) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = attempt.caller.method.clone();
        head.uri = attempt.caller.uri.clone();
        for (name, value) in attempt.caller.headers.iter() {
            if headers::is_forwarded_to_target(name) {
                head.headers.append(name.clone(), value.clone());
            }
        }
        headers::set(&mut head.headers, REQUEST_ID, &attempt.request.id.to_string());
        let urgency = attempt.request.rank.min(LOWEST_URGENCY);
        headers::set(&mut head.headers, PRIORITY, &format!("u={urgency}"));
        head
    }

    fn exchange_options(&self, _: &AdmittedRequest) -> ExchangeOptions {
        ExchangeOptions::default()
    }

    fn evaluate_head(&self, request: &AdmittedRequest, answer: &mut TargetAnswer) -> HeadVerdict {
        let echoed_id = headers::text(&answer.head.headers, REQUEST_ID.as_str());
        if echoed_id.is_some_and(|echoed_id| echoed_id != request.id.to_string()) {
            return HeadVerdict::OtherRequest;
        }
        match Some(answer.head.status.as_u16()) == request.pool.not_started_status {
            true => HeadVerdict::NotRun,
            false => HeadVerdict::Accepted,
        }
    }

    fn target_notice(&self, _: &ResponseHead) -> Option<TargetNotice> {
        None
    }

    /// Returns nothing: these targets state their load in reports.
    fn target_load(&self, _: &ResponseHead) -> LoadReading {
        LoadReading::default()
    }

    /// None is needed: an answer that ends with its connection is refused.
    fn status_request(&self, _: &TargetEntry) -> Option<RequestHead> {
        None
    }

    fn evaluate_status(&self, _: &ResponseHead) -> Option<TargetLiveness> {
        None
    }

    /// Returns `false`: only the target that runs a request resumes its answer, and no request is sent a second time.
    fn may_repeat(&self, _: &AdmittedRequest) -> bool {
        false
    }

    fn buffers_answer(&self, _: &AdmittedRequest, _: StatusCode) -> bool {
        false
    }

    fn answer_framing(&self, request: &AdmittedRequest) -> Box<dyn AnswerFraming> {
        Box::new(ByteFraming::new(&request.pool, request.key.is_some()))
    }

    fn caller_answer(&self, id: RequestId, head: &ResponseHead) -> CallerAnswer {
        let length = headers::text(&head.headers, "content-length");
        let length = length.and_then(|text| text.parse().ok());
        let forwarded =
            head.headers.iter().filter(|(name, _)| headers::is_forwarded_to_caller(name));
        let mut answer = CallerAnswer {
            status: head.status,
            headers: forwarded.map(|(name, value)| (name.clone(), value.clone())).collect(),
            content: AnswerContent::Parts(length.map_or(PartsFrame::Chunks, PartsFrame::Length)),
            close: false,
        };
        add_request_id(&mut answer, id);
        answer
    }

    fn refusal_answer(&self, id: RequestId, refusal: &Refusal) -> CallerAnswer {
        let mut answer = problem_answer(id, status_of(refusal.reason), refusal);
        add_request_id(&mut answer, id);
        if let Some(wait) = refusal.retry_after {
            // The header has whole seconds. Rounding up keeps the caller from retrying too early.
            let seconds = wait.as_millis().div_ceil(1_000).max(1) as u64;
            answer.headers.push((header::RETRY_AFTER, HeaderValue::from(seconds)));
        }
        answer.close |= refusal.reason == RefusalReason::Draining;
        answer
    }

    fn config_age(&self) -> Option<Duration> {
        None
    }
}

fn add_request_id(answer: &mut CallerAnswer, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        answer.headers.push((REQUEST_ID, value));
    }
}

fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Unauthorized => StatusCode::UNAUTHORIZED,
        RefusalReason::NoRule => StatusCode::NOT_FOUND,
        RefusalReason::BadHeader | RefusalReason::BodyIncomplete => StatusCode::BAD_REQUEST,
        // The caller must change the request rather than retry it.
        RefusalReason::RequestLethal => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::AccountRate | RefusalReason::AccountQueue => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::KeyInProgress
        | RefusalReason::KeyMayHaveRun
        | RefusalReason::KeyRan
        | RefusalReason::KeyHistoryLost
        | RefusalReason::KeyExpired => StatusCode::CONFLICT,
        RefusalReason::ConnectFailed
        | RefusalReason::TargetClosed
        | RefusalReason::TargetProtocol => StatusCode::BAD_GATEWAY,
        RefusalReason::FirstByteTimeout | RefusalReason::DeadlinePassed => {
            StatusCode::GATEWAY_TIMEOUT
        }
        RefusalReason::NoConfiguration
        | RefusalReason::RuleClosed
        | RefusalReason::AccountClosed
        | RefusalReason::RateUnknown
        | RefusalReason::ConfigurationStale
        | RefusalReason::Draining
        | RefusalReason::EntryFull
        | RefusalReason::QueueFull
        | RefusalReason::ShedForHigherTier
        | RefusalReason::TierShed
        | RefusalReason::DeadlineUnreachable
        | RefusalReason::WaitTooLong
        | RefusalReason::NoTarget
        | RefusalReason::KeyHomeUnreachable
        | RefusalReason::KeyStoreFull
        | RefusalReason::RequestSuspect
        | RefusalReason::StreamVersionUnknown
        | RefusalReason::TargetNotStarted => StatusCode::SERVICE_UNAVAILABLE,
    }
}
