//! Logs a request: one line for each failed attempt and one for the end.
//!
//! Owns: the lines `request_served`, `attempt_failed`, `stream_continued`, `stream_joined`, `end_checked`,
//! `end_confirmed`, `stream_irregular`, `stream_deviates`, `deviation_agreed`, `caller_left`, `caller_stalled`, `answer_cut`, `request_refused`. Relies on: the run's progress.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{
    FeatureKind, Refusal, RefusalReason, RequestId, TargetEntry, TargetId, TargetVersion,
};
use curlewcleat_targets::{
    BodyFrame, ConnectionOrigin, EventDeviation, FormBasis, StreamIrregularity, StreamJoin,
};
use spdlog::prelude::*;

use super::{EndStatement, RequestRun};
use crate::request::admitted::AdmittedRequest;
use crate::request::cause::AttemptCause;
use crate::request::{RequestService, TargetLiveness};

impl RequestRun {
    /// Logs and counts an answer that its caller has completely.
    pub(super) fn log_served(&self, target: &TargetEntry) {
        let (request, progress) = (&self.request, &self.progress);
        let millis_until = |moment: Option<Moment>| {
            moment.map_or(-1, |moment| {
                moment.saturating_duration_since(request.arrived).as_millis() as i64
            })
        };
        // A public rule requires no account.
        let account = request.account.as_deref().unwrap_or_default();
        // Every answer that was served has a head.
        let ended_by = progress.frame().map_or("", BodyFrame::code);
        let connection = self.connection_code();
        self.service.context.metrics.count_answer_end(ended_by, &request.tier, &request.pool.id);
        // Only streams with numbers are compared.
        let basis = self.form_basis.filter(|_| self.framing.last_event().is_some());
        let compared_with = basis.map_or("", FormBasis::code);
        if let Some(basis) = basis {
            self.service.context.metrics.count_compared_stream(basis);
        }
        info!("request_served", kv: {
            request = request.id.to_string(), attempt = request.attempt_id.as_str(), account,
            cost = request.cost, rule = request.rule.id.as_str(),
            pool = request.pool.id.as_str(),
            target = target.id.as_str(), attempts = progress.attempts,
            prompt_work = request.work.prompt, output_work = request.work.output,
            sent_ms = millis_until(progress.sent), first_ms = millis_until(progress.first),
            end_ms = request.arrived.elapsed().as_millis() as i64, parts = progress.parts, ended_by,
            longest_pause_ms = progress.longest_pause.as_millis() as i64, connection,
            compared_with
        });
    }

    /// Returns the number of the last event that was passed on, empty if there is none.
    pub(super) fn last_event_text(&self) -> String {
        self.framing.last_event().map_or(String::new(), |number| number.to_string())
    }

    pub(super) fn log_failed_attempt(&self, target: &TargetId, reason: &str, cause: AttemptCause) {
        info!("attempt_failed", kv: {
            request = self.request.id.to_string(), attempt = self.request.attempt_id.as_str(),
            digest = digest_text(&self.request), prompt_parts = part_texts(&self.request),
            target = target.as_str(), reason, cause = cause.code(),
            silent_ms = self.progress.idle_time().as_millis() as i64,
            parts = self.progress.attempt_parts(), answer_begun = self.answer.has_begun()
        });
    }

    /// Logs that an attempt continues a stream, within one answer or because the caller takes it up.
    pub(super) fn log_continued_stream(&self, target: &TargetEntry) {
        let (request, taken_up) = (&self.request, self.request.take_up.as_ref());
        let after = match (self.framing.last_event(), taken_up) {
            (Some(last), _) => last.to_string(),
            (None, Some(taken_up)) => taken_up.last_event.clone(),
            (None, None) => return,
        };
        // The caller may not name the attempt that began the stream.
        let begun_as =
            taken_up.map_or(Some(&request.attempt_id), |stream| stream.begun_as.as_ref());
        info!("stream_continued", kv: {
            request = request.id.to_string(), attempt = request.attempt_id.as_str(),
            begun_as = begun_as.map_or("", String::as_str), after, target = target.id.as_str(),
            pool = request.pool.id.as_str(),
            version = version_text(target.version.as_ref()),
            begun_version = version_text(self.progress.begun_version())
        });
    }

    /// Logs where the events of a target that continues a stream begin.
    pub(in crate::request) fn log_join(&self, target: &TargetEntry, join: StreamJoin) {
        info!("stream_joined", kv: {
            request = self.request.id.to_string(), attempt = self.request.attempt_id.as_str(),
            target = target.id.as_str(), after = join.after, first = join.first,
            repeated = join.repeated, connection = self.connection_code()
        });
    }

    /// Logs and counts an event that deviates from the form that the streams of its source have.
    pub(in crate::request) fn log_deviation(
        &self,
        target: &TargetEntry,
        deviation: &EventDeviation,
    ) {
        let kind = deviation.kind.code();
        self.service.context.metrics.count_stream_deviation(kind);
        let number = deviation.number.map_or(String::new(), |number| number.to_string());
        warn!("stream_deviates", kv: {
            request = self.request.id.to_string(), attempt = self.request.attempt_id.as_str(),
            target = target.id.as_str(), kind, after = deviation.after, number,
            event = deviation.excerpt.as_str(), connection = self.connection_code()
        });
        if deviation.targets > 1 {
            self.log_agreement(target, deviation);
        }
    }

    /// Logs a deviation that several targets have stated, and whether it counts as sound.
    fn log_agreement(&self, target: &TargetEntry, deviation: &EventDeviation) {
        warn!("deviation_agreed", kv: {
            request = self.request.id.to_string(), attempt = self.request.attempt_id.as_str(),
            target = target.id.as_str(), kind = deviation.kind.code(), after = deviation.after,
            targets = deviation.targets as i64, accepted = deviation.is_accepted
        });
    }

    /// Returns where the connection of the latest attempt comes from, empty before it is established.
    fn connection_code(&self) -> &'static str {
        self.progress.connection().map_or("", ConnectionOrigin::code)
    }

    /// Logs and counts a number that is irregular within the answer of a target.
    pub(in crate::request) fn log_irregularity(
        &self,
        target: &TargetEntry,
        irregularity: StreamIrregularity,
    ) {
        let kind = irregularity.kind.code();
        self.service.context.metrics.count_stream_irregularity(kind);
        warn!("stream_irregular", kv: {
            request = self.request.id.to_string(), attempt = self.request.attempt_id.as_str(),
            target = target.id.as_str(), kind, last = irregularity.last,
            number = irregularity.number
        });
    }

    /// Logs and counts what the target of an answer did after the end of its connection.
    pub(in crate::request) fn log_end_check(
        &self,
        target: &TargetEntry,
        liveness: TargetLiveness,
        took: Duration,
        left_unread: bool,
    ) {
        self.service.context.metrics.count_end_check(liveness);
        info!("end_checked", kv: {
            request = self.request.id.to_string(), attempt = self.request.attempt_id.as_str(),
            target = target.id.as_str(), liveness = liveness.code(),
            took_ms = took.as_millis() as i64, last_event = self.last_event_text(), left_unread
        });
    }

    /// Logs and counts what another target stated about the end of an unframed answer whose target lives.
    pub(in crate::request) fn log_end_statement(&self, statement: EndStatement) {
        self.service.context.metrics.count_end_statement(statement);
        // An answer that has begun comes from a target, so the default is never used.
        let target = self.progress.target.as_deref().unwrap_or_default();
        info!("end_confirmed", kv: {
            request = self.request.id.to_string(), attempt = self.request.attempt_id.as_str(),
            target, statement = statement.code(), last_event = self.last_event_text()
        });
    }

    /// Logs that a caller did not read its answer, with the last event that was passed on.
    pub(super) fn log_caller_stalled(&self) {
        warn!("caller_stalled", kv: {
            request = self.request.id.to_string(), offset = self.progress.bytes,
            attempt = self.request.attempt_id.as_str(), last_event = self.last_event_text()
        });
    }

    /// Logs that a caller left before the end of its answer, with the last event that was passed on.
    pub(super) fn log_caller_left(&self) {
        info!("caller_left", kv: {
            request = self.request.id.to_string(), attempt = self.request.attempt_id.as_str(),
            offset = self.progress.bytes, last_event = self.last_event_text()
        });
    }

    /// Logs that an answer was cut after its beginning, because the request was refused for `reason`.
    pub(super) fn log_cut(&self, reason: RefusalReason) {
        // An answer that has begun comes from a target, so the default is never used.
        let target = self.progress.target.as_deref().unwrap_or_default();
        warn!("answer_cut", kv: {
            request = self.request.id.to_string(), target,
            offset = self.progress.bytes, reason = reason.code(),
            attempt = self.request.attempt_id.as_str(), last_event = self.last_event_text()
        });
    }
}

/// Returns a version as text, empty if none is known or stated.
fn version_text(version: Option<&TargetVersion>) -> &str {
    version.map_or("", |version| version.as_str())
}

/// Returns the digest of a request as text, empty if it has none.
fn digest_text(request: &AdmittedRequest) -> String {
    // A body that was not read whole has no digest.
    request.digest.map(|digest| digest.to_string()).unwrap_or_default()
}

/// Returns the shared parts of a request's prompt as short digests, so that lines about requests that share one can be
/// found.
fn part_texts(request: &AdmittedRequest) -> String {
    let parts = request.part_features.iter().filter(|feature| feature.kind == FeatureKind::Part);
    parts.map(|feature| feature.digest.short()).collect::<Vec<_>>().join(" ")
}

/// Counts and logs a refusal.
pub fn record_refusal(
    service: &RequestService,
    id: RequestId,
    attempt: &str,
    request: Option<&AdmittedRequest>,
    refusal: &Refusal,
) {
    let tier = request.map_or("", |request| request.tier.as_str());
    let pool = request.map_or("", |request| request.pool.id.as_str());
    let rule = request.map_or("", |request| request.rule.id.as_str());
    // The account is unknown before admission, and a public rule requires none.
    let account = request.and_then(|request| request.account.as_deref()).unwrap_or_default();
    // The body is read after admission.
    let digest = request.map(digest_text).unwrap_or_default();
    // Before admission the pool is unknown, and the features depend on it.
    let prompt_parts = request.map(part_texts).unwrap_or_default();
    let config_age = service.protocol.config_age();
    service.context.metrics.count_refusal(refusal.reason, tier, pool);
    info!("request_refused", kv: {
        request = id.to_string(), attempt, account,
        cost = request.map_or(0, |request| request.cost),
        reason = refusal.reason.code(), rule, tier, pool, digest, prompt_parts,
        may_have_run = refusal.verdict.may_have_run(),
        held_ms = request.map_or(0, |request| request.arrived.elapsed().as_millis() as i64),
        retry_after_ms = refusal.retry_after.map_or(-1, |wait| wait.as_millis() as i64),
        config_age_ms = config_age.map_or(-1, |age| age.as_millis() as i64)
    });
}
