//! Defines the interface that covers the differences between the callers and targets of the two platform kinds.
//!
//! Owns: [`CallerProtocol`]. Each difference is one method or one field of [`ProtocolOptions`]; docs/DESIGN.md
//! gives its reason.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Request, RequestHead, ResponseHead, StatusCode};
use curlewcleat_clock::Moment;
use curlewcleat_core::{
    ActiveConfig, LoadReading, Refusal, RefusalReason, RequestId, TargetEntry, TargetNotice,
    TargetPool,
};
use curlewcleat_targets::{ConnectionPool, ExchangeOptions, TargetAnswer};

use super::admitted::AdmittedRequest;
use super::answer::CallerAnswer;
use super::body::{BodyOptions, RequestBody};
use super::framing::AnswerFraming;
use super::liveness::TargetLiveness;
use super::CallerRequest;

/// Fixed properties of a protocol.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolOptions {
    /// How request bodies are read and sent.
    pub body: BodyOptions,
    /// `Retry-After` where this daemon or a target failed a request.
    pub retry_after: Duration,
    /// `Retry-After` while there is no configuration.
    pub no_config_retry_after: Duration,
    /// Whether an answer that is still in progress at the deadline is cut.
    pub cuts_at_deadline: bool,
}

/// Time limits of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Time to connect.
    pub connect: Duration,
    /// Time from sending the request to the head of the answer.
    pub head: Duration,
    /// Time between two parts of the answer.
    pub between_parts: Duration,
    /// Time between two parts of a stream after which its caller may give it up.
    pub caller_gap: Duration,
}

/// What the head of a target's answer means for the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// The answer belongs to the request.
    Accepted,
    /// The target did not run the request.
    NotRun,
    /// The answer belongs to another request.
    OtherRequest,
}

/// What a protocol needs to write the head of a request to a target.
pub struct TargetAttempt<'a> {
    /// The request.
    pub request: &'a AdmittedRequest,
    /// The request as the caller sent it.
    pub caller: &'a CallerRequest,
    /// Target of the attempt.
    pub target: &'a TargetEntry,
    /// Number of the last event that the caller already has.
    pub last_event: Option<u64>,
}

/// Protocol of callers and targets: headers, idempotency keys, the meaning of answers and how they are resumed.
pub trait CallerProtocol {
    /// Returns the fixed properties.
    fn options(&self) -> &ProtocolOptions;

    /// Determines rule, account, tier, pool and deadline of a request from the configuration in force.
    fn admit(
        &self,
        config: &ActiveConfig,
        id: RequestId,
        arrived: Moment,
        request: &Request,
    ) -> Result<AdmittedRequest, Refusal>;

    /// Returns the id that the caller gave an attempt, for the log line of a request that was not admitted.
    fn attempt_id<'r>(&self, headers: &'r HeaderMap) -> &'r str;

    /// Completes the estimate of a request's work from its body.
    fn estimate(&self, request: &mut AdmittedRequest, body: &RequestBody);

    /// Checks whether the request may still be sent. Called right before each attempt, since the process may
    /// have been paused since the permit was granted.
    fn check_sendable(&self, request: &AdmittedRequest) -> Result<(), RefusalReason>;

    /// Returns the connections to the targets of a pool.
    fn connections(&self, pool: &TargetPool) -> ConnectionPool;

    /// Returns the time limits of an attempt that begins or continues now.
    fn limits(&self, request: &AdmittedRequest) -> AttemptLimits;

    /// Builds the head of the request to a target.
    fn target_head(&self, attempt: &TargetAttempt<'_>) -> RequestHead;

    /// Returns how the answer is distinguished from answers to earlier requests.
    fn exchange_options(&self, request: &AdmittedRequest) -> ExchangeOptions;

    /// Evaluates the head of an answer, and may record how long the target keeps an idle connection.
    fn evaluate_head(&self, request: &AdmittedRequest, answer: &mut TargetAnswer) -> HeadVerdict;

    /// Reads the target's notice from the head of an answer; `None` where it is not a notice of the intended target.
    fn target_notice(&self, head: &ResponseHead) -> Option<TargetNotice>;

    /// Reads what the intended target states of its load in the head of an answer.
    fn target_load(&self, head: &ResponseHead) -> LoadReading;

    /// Builds a request that a target answers at once and without running anything, `None` if the protocol has none.
    fn status_request(&self, target: &TargetEntry) -> Option<RequestHead>;

    /// Returns what the head of the answer to a status request shows; `None` where it answers another request.
    fn evaluate_status(&self, head: &ResponseHead) -> Option<TargetLiveness>;

    /// Returns whether a request that may have run may be sent to another target.
    fn may_repeat(&self, request: &AdmittedRequest) -> bool;

    /// Returns whether an answer is buffered until it is complete, so that a failed one can be replaced.
    fn buffers_answer(&self, request: &AdmittedRequest, status: StatusCode) -> bool;

    /// Creates the framing by which the parts of a request's answer are relayed.
    fn answer_framing(&self, request: &AdmittedRequest) -> Box<dyn AnswerFraming>;

    /// Builds the head of the answer to the caller; its parts follow.
    fn caller_answer(&self, id: RequestId, head: &ResponseHead) -> CallerAnswer;

    /// Builds the answer for a refusal.
    fn refusal_answer(&self, id: RequestId, refusal: &Refusal) -> CallerAnswer;

    /// Returns the time since the sending of the read that last confirmed the configuration to be the newest, `None` if
    /// there was none or the protocol does not track it.
    fn config_age(&self) -> Option<Duration>;
}
