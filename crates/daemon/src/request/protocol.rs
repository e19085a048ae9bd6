//! What differs between the callers and targets of the two platform kinds.
//!
//! Owns: the border towards protocols. Each difference is one method or one field of
//! [`ProtocolOptions`]; docs/DESIGN.md says why it is kept.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Request, RequestHead, ResponseHead, StatusCode};
use curlewcleat_clock::Moment;
use curlewcleat_core::{
    ActiveConfig, Refusal, RefusalReason, RequestId, TargetEntry, TargetNotice, TargetPool,
};
use curlewcleat_targets::{ConnectionPool, ExchangeOptions, TargetAnswer};

use super::admitted::AdmittedRequest;
use super::answer::CallerAnswer;
use super::body::{BodyOptions, RequestBody};
use super::form::AnswerForm;
use super::CallerRequest;

/// Fixed properties of a protocol.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolOptions {
    /// How bodies of requests are read and sent.
    pub body: BodyOptions,
    /// `Retry-After` where this daemon or a target failed a request.
    pub retry_after: Duration,
    /// `Retry-After` where there is no configuration yet.
    pub unserved_wait: Duration,
    /// Whether an answer that is still in progress at the deadline is cut.
    pub cuts_at_deadline: bool,
}

/// Time limits of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Time to connect.
    pub connect: Duration,
    /// Time from the sending to the head of the answer.
    pub head: Duration,
    /// Time between two parts of the answer.
    pub between_parts: Duration,
}

/// What the head of a target's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// The answer belongs to the request.
    Accepted,
    /// The target did not run the request.
    NotRun,
    /// The answer belongs to another request.
    Foreign,
}

/// One attempt, as a protocol writes its head.
pub struct TargetAttempt<'a> {
    /// The request.
    pub request: &'a AdmittedRequest,
    /// As its caller sent it.
    pub caller: &'a CallerRequest,
    /// Where it goes.
    pub target: &'a TargetEntry,
    /// Last event that its caller already has.
    pub last_event: Option<u64>,
}

/// How callers and targets speak: headers, keys, what an answer means and how it is resumed.
pub trait CallerProtocol {
    /// Fixed properties.
    fn options(&self) -> &ProtocolOptions;

    /// Finds rule, account, tier, pool and deadline of a request in the configuration in force.
    fn admit(
        &self,
        config: &ActiveConfig,
        id: RequestId,
        arrived: Moment,
        request: &Request,
    ) -> Result<AdmittedRequest, Refusal>;

    /// The caller's own name of an attempt, for the log line of a request that was not admitted.
    fn attempt_id<'r>(&self, headers: &'r HeaderMap) -> &'r str;

    /// Completes the estimate of a request's work with what its body says.
    fn estimate(&self, request: &mut AdmittedRequest, body: &RequestBody);

    /// Whether the request may still be sent. Asked right before each sending, since the process may
    /// have been paused since the permit was granted.
    fn check_sendable(&self, request: &AdmittedRequest) -> Result<(), RefusalReason>;

    /// Connections to the targets of a pool.
    fn connections(&self, pool: &TargetPool) -> ConnectionPool;

    /// Time limits of an attempt that begins or goes on now.
    fn limits(&self, request: &AdmittedRequest) -> AttemptLimits;

    /// Head of the request to a target.
    fn target_head(&self, attempt: &TargetAttempt<'_>) -> RequestHead;

    /// How the answer is distinguished from answers to earlier requests.
    fn exchange_options(&self, request: &AdmittedRequest) -> ExchangeOptions;

    /// What the head of an answer says; notes how long the target keeps its connection.
    fn judge_head(&self, request: &AdmittedRequest, answer: &mut TargetAnswer) -> HeadVerdict;

    /// What the head of an answer says of its target; `None` where it says nothing of the one that was meant.
    fn target_notice(&self, head: &ResponseHead) -> Option<TargetNotice>;

    /// Whether a request that may have run may be sent to a further target.
    fn may_repeat(&self, request: &AdmittedRequest) -> bool;

    /// Whether an answer is held back until it is whole, so that a failed one can be replaced.
    fn holds_answer(&self, request: &AdmittedRequest, status: StatusCode) -> bool;

    /// How the parts of a request's answer are passed on.
    fn answer_form(&self, request: &AdmittedRequest) -> Box<dyn AnswerForm>;

    /// Head of the answer to a caller, whose parts follow.
    fn caller_answer(&self, id: RequestId, head: &ResponseHead) -> CallerAnswer;

    /// The answer for a refusal.
    fn refusal_answer(&self, id: RequestId, refusal: &Refusal) -> CallerAnswer;

    /// Age of the proof that the configuration is the newest, `None` where there is none.
    fn config_age(&self) -> Option<Duration>;
}
