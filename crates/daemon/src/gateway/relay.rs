//! A request from admission to the end of its answer.
//!
//! The relay owns the request: it alone sends it, and a further attempt is made only after proof that
//! the earlier one did not run, or where the rule lets requests run more than once.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use curlewcleat_core::{
    AttemptEnd, Refusal, RefusalReason, RetryReason, StreamTiming, TargetEntry, Verdict,
};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_targets::{AnswerBody, EventSplitter, TargetAnswer};
use futures_util::StreamExt;
use spdlog::prelude::*;
use tokio::sync::oneshot;

use super::admission::AdmittedCall;
use super::answers::{refusal_answer, AnswerParts, CallerAnswer};
use super::send::AttemptStart;
use super::{CallerRequest, Gateway};
use crate::context::PendingRequest;

/// Longest answer of a plain call that is kept until it is whole.
const WHOLE_LIMIT: usize = 1 << 20;
/// Advice when to come back after a target failed a request that did not run.
const RETRY_WAIT: Duration = Duration::from_millis(200);
/// Silence after which a stream that may be taken up elsewhere is, in objectives.
const SILENT_OBJECTIVES: u32 = 2;
/// Bounds of that silence.
const SILENT_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// How an attempt ended for its request.
enum AttemptVerdict {
    /// The request has its answer.
    Served(AttemptEnd),
    /// It may be tried again.
    Again(AttemptEnd, RetryReason),
    /// It has failed for good.
    Failed(RefusalReason),
}

/// One request on its way.
pub(super) struct CallRelay {
    gateway: Rc<Gateway>,
    call: AdmittedCall,
    caller: CallerRequest,
    pending: Option<PendingRequest>,
    begin: Option<oneshot::Sender<CallerAnswer>>,
    parts: Option<AnswerParts>,
    events: EventSplitter,
    verdict: Verdict,
    /// A target's answer that the caller gets if no later attempt has a better one.
    fallback: Option<CallerAnswer>,
    progress: CallProgress,
}

/// What was seen of a request, for its line in the log.
#[derive(Default)]
struct CallProgress {
    attempts: u32,
    /// When the latest attempt was sent, its first part came, and its latest part.
    sent: Option<Instant>,
    first: Option<Instant>,
    latest: Option<Instant>,
    longest_pause: Duration,
    parts: u64,
    attempt: AttemptProgress,
}

/// What was seen of the latest attempt.
#[derive(Default)]
struct AttemptProgress {
    first: Option<Instant>,
    parts: u32,
    pause: Duration,
}

impl CallProgress {
    fn note_sent(&mut self) {
        self.attempts += 1;
        self.sent = Some(Instant::now());
        self.attempt = AttemptProgress::default();
    }

    /// What the target's scheduler learns of the latest attempt. One that took a stream up says
    /// nothing of prompts.
    fn attempt_end(&self, sent: Instant) -> AttemptEnd {
        let attempt = &self.attempt;
        let (Some(first), Some(latest)) = (attempt.first, self.latest) else {
            return AttemptEnd::Whole(sent.elapsed());
        };
        AttemptEnd::Streamed(StreamTiming {
            first: first.duration_since(sent),
            rest: latest.duration_since(first),
            parts: attempt.parts,
            pause: attempt.pause,
        })
    }

    fn note_part(&mut self) {
        let now = Instant::now();
        if let Some(latest) = self.latest {
            let pause = now - latest;
            self.longest_pause = self.longest_pause.max(pause);
            if self.attempt.parts > 0 {
                self.attempt.pause = self.attempt.pause.max(pause);
            }
        }
        self.attempt.first.get_or_insert(now);
        self.attempt.parts += 1;
        self.first.get_or_insert(now);
        self.latest = Some(now);
        self.parts += 1;
    }
}

impl CallRelay {
    /// A relay for an admitted request.
    pub fn new(
        gateway: Rc<Gateway>,
        call: AdmittedCall,
        caller: CallerRequest,
        pending: PendingRequest,
        begin: oneshot::Sender<CallerAnswer>,
        parts: AnswerParts,
    ) -> CallRelay {
        CallRelay {
            gateway,
            call,
            caller,
            pending: Some(pending),
            begin: Some(begin),
            parts: Some(parts),
            events: EventSplitter::default(),
            verdict: Verdict::NotRun,
            fallback: None,
            progress: CallProgress::default(),
        }
    }

    /// Runs until the caller has its whole answer, or a final refusal.
    pub async fn run(mut self) {
        let deadline = tokio::time::Instant::from_std(self.call.deadline);
        if tokio::time::timeout_at(deadline, self.follow()).await.is_err() {
            self.end(AttemptEnd::Unused);
            self.refuse(RefusalReason::DeadlinePassed, Some(RETRY_WAIT)).await;
        }
    }

    async fn follow(&mut self) {
        loop {
            let Some(pending) = self.pending.as_mut() else { return };
            let target = match pending.decision().await {
                Some(CallerDecision::Dispatch(_, target)) => target,
                Some(CallerDecision::Refuse(refusal)) => {
                    self.close();
                    return self.refuse(refusal.reason, refusal.retry_after).await;
                }
                Some(CallerDecision::Replay(_)) | None => {
                    self.close();
                    return self.refuse(RefusalReason::Draining, Some(RETRY_WAIT)).await;
                }
            };
            match self.attempt(&target).await {
                AttemptVerdict::Served(end) => {
                    self.log_served(&target);
                    return self.end(end);
                }
                AttemptVerdict::Again(end, reason) => self.again(&target, end, reason),
                AttemptVerdict::Failed(reason) => {
                    // A request that is refused for want of proof was not sent.
                    if reason == RefusalReason::ConfigurationStale {
                        self.end(AttemptEnd::Unused);
                    } else {
                        self.log_attempt(&target, reason.code());
                        self.end(AttemptEnd::Failed);
                    }
                    return self.refuse(reason, Some(RETRY_WAIT)).await;
                }
            }
        }
    }

    fn again(&mut self, target: &TargetEntry, end: AttemptEnd, reason: RetryReason) {
        self.log_attempt(target, reason.code());
        if let Some(pending) = &self.pending {
            pending.not_run(end, reason);
        }
    }

    /// One attempt at a target. Proof of the configuration is looked at right before, since the
    /// process may have been paused.
    async fn attempt(&mut self, target: &TargetEntry) -> AttemptVerdict {
        if self.call.account.is_some() && !self.gateway.is_proved() {
            return AttemptVerdict::Failed(RefusalReason::ConfigurationStale);
        }
        let metrics = &self.gateway.context.metrics;
        let waited = self.call.arrived.elapsed().as_secs_f64();
        metrics.waited(waited, &self.call.tier, &self.call.pool);
        let sent = Instant::now();
        self.progress.note_sent();
        let limit = self.silence_limit();
        let last = self.events.last();
        // Whatever ends the wait from here on, the request may have run until its target says otherwise.
        let before = std::mem::replace(&mut self.verdict, Verdict::MayHaveRun);
        let started = self.gateway.send(&self.call, &self.caller, target, last, limit).await;
        if matches!(started, AttemptStart::NotConnected | AttemptStart::Declined) {
            self.verdict = before;
        }
        match started {
            AttemptStart::NotConnected => {
                AttemptVerdict::Again(AttemptEnd::Failed, RetryReason::ConnectFailed)
            }
            AttemptStart::Declined => {
                AttemptVerdict::Again(AttemptEnd::Failed, RetryReason::TargetNotStarted)
            }
            AttemptStart::Broken(error) => {
                debug!("exchange_broken", kv: { target = target.id.as_str(), error = error.to_string() });
                self.broken(RefusalReason::TargetClosed)
            }
            AttemptStart::Silent => self.broken(RefusalReason::FirstByteTimeout),
            AttemptStart::Answer(answer) => self.answered(*answer, sent).await,
        }
    }

    /// The attempt may have run and has no whole answer.
    fn broken(&mut self, reason: RefusalReason) -> AttemptVerdict {
        self.events.restart();
        if self.call.rule.repeatable {
            return AttemptVerdict::Again(AttemptEnd::Failed, RetryReason::StreamResumed);
        }
        AttemptVerdict::Failed(reason)
    }

    async fn answered(&mut self, answer: TargetAnswer, sent: Instant) -> AttemptVerdict {
        let status = answer.head.status;
        if status.is_success() && self.call.rule.service.streams {
            return self.stream(answer, sent).await;
        }
        let TargetAnswer { head, body } = answer;
        let Some(bytes) = collect(body).await else {
            return self.broken(RefusalReason::TargetClosed);
        };
        if self.begin.is_none() {
            // The answer has begun at another target and cannot become this one.
            return self.broken(RefusalReason::TargetProtocol);
        }
        let whole = CallerAnswer::whole(status, &head.headers, bytes);
        if status.is_server_error() && self.call.rule.repeatable {
            self.fallback = Some(whole);
            return AttemptVerdict::Again(AttemptEnd::Failed, RetryReason::TargetFailed);
        }
        self.note_began();
        self.begin(whole);
        self.verdict = Verdict::Ran;
        AttemptVerdict::Served(AttemptEnd::Whole(sent.elapsed()))
    }

    /// Passes whole events on as they come.
    async fn stream(&mut self, answer: TargetAnswer, sent: Instant) -> AttemptVerdict {
        let TargetAnswer { head, mut body } = answer;
        let mut limit = self.silence_limit();
        loop {
            let part = match tokio::time::timeout(limit, body.next()).await {
                Ok(Some(Ok(part))) => self.events.push(&part),
                Ok(None) => break,
                Ok(Some(Err(_))) | Err(_) => return self.broken(RefusalReason::TargetClosed),
            };
            if part.is_empty() {
                continue;
            }
            if self.begin.is_some() {
                self.note_began();
                self.begin(CallerAnswer::begin(head.status, &head.headers));
                limit = self.silence_limit();
            }
            self.pass(part).await;
        }
        if self.begin.is_some() {
            self.begin(CallerAnswer::begin(head.status, &head.headers));
        }
        let rest = self.events.rest();
        if !rest.is_empty() {
            self.pass(rest).await;
        }
        self.parts = None;
        self.verdict = Verdict::Ran;
        AttemptVerdict::Served(self.progress.attempt_end(sent))
    }

    async fn pass(&mut self, part: Bytes) {
        self.progress.note_part();
        if let Some(parts) = &self.parts {
            parts.send(part).await;
        }
    }

    fn begin(&mut self, answer: CallerAnswer) {
        if let Some(begin) = self.begin.take() {
            // A caller that has gone ends this task.
            let _ = begin.send(answer);
        }
    }

    fn note_began(&self) {
        let began = self.call.arrived.elapsed().as_secs_f64();
        self.gateway.context.metrics.began(began, &self.call.tier, &self.call.pool);
    }

    /// Time for which a target may be silent; one that cannot be replaced has all the time left.
    fn silence_limit(&self) -> Duration {
        let left = self.call.time_left();
        if !self.call.rule.repeatable {
            return left;
        }
        let objective = self.call.rule.service.objective.unwrap_or(SILENT_RANGE.1);
        (objective * SILENT_OBJECTIVES).clamp(SILENT_RANGE.0, SILENT_RANGE.1).min(left)
    }

    /// The node forgets the request, since it decided so itself.
    fn close(&mut self) {
        if let Some(pending) = self.pending.take() {
            pending.close();
        }
    }

    /// Tells the node how the request ended.
    fn end(&mut self, end: AttemptEnd) {
        let Some(pending) = self.pending.take() else { return };
        let call = &self.call;
        self.gateway.context.metrics.end(self.verdict, &call.tier, &call.pool);
        pending.finish(NodeEvent::Finished(call.id, self.verdict, end, None));
    }

    /// Gives the caller its final answer, which is true about what ran.
    async fn refuse(&mut self, reason: RefusalReason, retry_after: Option<Duration>) {
        let retry_after = retry_after.filter(|_| self.verdict == Verdict::NotRun);
        let refusal = Refusal { reason, verdict: self.verdict, retry_after };
        let attempt = self.call.attempt_id.as_str();
        self.gateway.count_refusal(self.call.id, attempt, &refusal, Some(&self.call));
        if self.begin.is_none() {
            if let Some(parts) = self.parts.take() {
                parts.cut().await;
            }
            return;
        }
        let answer = self.fallback.take().unwrap_or_else(|| refusal_answer(self.call.id, &refusal));
        self.begin(answer);
    }

    fn log_served(&self, target: &TargetEntry) {
        let progress = &self.progress;
        let since = |then: Option<Instant>| {
            then.map_or(-1, |then| then.duration_since(self.call.arrived).as_millis() as i64)
        };
        let spec = self.call.spec();
        info!("request_served", kv: {
            request = self.call.id.to_string(), attempt = self.call.attempt_id.as_str(),
            account = self.call.account.as_deref().unwrap_or_default(),
            cost = spec.cost, rule = self.call.rule.id.as_str(),
            pool = self.call.pool.as_str(),
            target = target.id.as_str(), attempts = progress.attempts,
            prompt_work = spec.prompt_work, output_work = spec.output_work,
            sent_ms = since(progress.sent), first_ms = since(progress.first),
            end_ms = self.call.arrived.elapsed().as_millis() as i64, parts = progress.parts,
            longest_pause_ms = progress.longest_pause.as_millis() as i64
        });
    }

    fn log_attempt(&self, target: &TargetEntry, reason: &str) {
        info!("attempt_failed", kv: {
            request = self.call.id.to_string(), attempt = self.call.attempt_id.as_str(),
            target = target.id.as_str(), reason
        });
    }
}

/// Reads an answer whole, `None` where it is cut or too long.
async fn collect(mut body: AnswerBody) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    while let Some(part) = body.next().await {
        bytes.extend_from_slice(&part.ok()?);
        if bytes.len() > WHOLE_LIMIT {
            return None;
        }
    }
    Some(bytes.freeze())
}
