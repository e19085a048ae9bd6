//! Sends a request to one target once and waits for the head of the answer.
//!
//! Owns: the exchange up to the head of the answer. Relies on: [`CallerProtocol`] for the request's head and the
//! time limits, `curlewcleat-targets` to report whether anything may have been written.
//!
//! [`CallerProtocol`]: super::CallerProtocol

use curlewcleat_clock::Moment;
use curlewcleat_core::{
    LoadReading, RefusalReason, RequestId, RetryReason, TargetId, TargetNotice,
};
use curlewcleat_node::NodeEvent;
use curlewcleat_sched::{GateStop, ReceivedNotice};
use curlewcleat_targets::{AnswerExcess, Error, PooledConnection, TargetAnswer};
use spdlog::prelude::*;

use super::admitted::AdmittedRequest;
use super::cause::AttemptCause;
use super::protocol::{CallerProtocol, HeadVerdict, TargetAttempt};
use super::target_wait::{GrantedTarget, TargetWait, WaitEnd};
use crate::context::DaemonContext;

/// Result of an attempt up to the head of the answer.
pub enum AttemptStart {
    /// The target has sent the head of its answer.
    Answer(Box<TargetAnswer>),
    /// The target provably did not run the request.
    NotRun(RetryReason, AttemptCause),
    /// The request may have run and there is no answer.
    Failed(RefusalReason, AttemptCause),
    /// The target stalled; the request moves to this one.
    Replaced(Box<GrantedTarget>),
}

/// Sends a request to its target over an established connection and waits for the head of the answer.
pub async fn send(
    attempt: TargetAttempt<'_>,
    connection: PooledConnection,
    wait: TargetWait<'_>,
) -> AttemptStart {
    let (context, protocol, request) = (wait.context, wait.protocol, attempt.request);
    let head = protocol.target_head(&attempt);
    let options = protocol.exchange_options(request);
    let exchange = connection.exchange_with(head, attempt.caller.body.outgoing(), &options);
    let sent = Moment::now();
    let head_deadline = cap_head_deadline(protocol, request, sent + protocol.limits(request).head);
    let limit = head_deadline.saturating_duration_since(Moment::now());
    let answer = match wait.wait(limit, exchange).await {
        WaitEnd::Arrived(Ok(answer)) => answer,
        WaitEnd::Arrived(Err(error)) => return exchange_failed(context, &attempt, &error),
        WaitEnd::Replaced(target) => return AttemptStart::Replaced(target),
        WaitEnd::TimedOut => {
            return AttemptStart::Failed(RefusalReason::FirstByteTimeout, AttemptCause::HeadTimeout)
        }
    };
    let notice = protocol.target_notice(&answer.head);
    if let Some(notice) = notice {
        let received = ReceivedNotice { sent: context.uptime_at(sent), notice };
        apply_notice(context, &attempt, &received);
    }
    report_load(context, &attempt, protocol.target_load(&answer.head));
    let start = evaluate_answer(protocol, request, answer, notice);
    // An answer without a notice comes from another target.
    if notice.is_some() && matches!(start, AttemptStart::NotRun(..)) {
        report_refusal(context, &attempt);
    }
    start
}

/// Returns an established connection to a target whose notices allow the request to be sent now: `connection`, if there
/// is one.
pub async fn connect(
    attempt: &TargetAttempt<'_>,
    connection: Option<PooledConnection>,
    wait: &TargetWait<'_>,
) -> Result<PooledConnection, AttemptStart> {
    let (context, protocol, request) = (wait.context, wait.protocol, attempt.request);
    if !wait.allows(attempt.target) {
        // It was granted before the first event of the answer arrived.
        return Err(AttemptStart::NotRun(RetryReason::TargetUnwilling, AttemptCause::OtherVersion));
    }
    if let Some(stop) = context.gate.stop(context.uptime(), attempt.target) {
        return Err(gate_stopped(context, stop));
    }
    let connected = match connection {
        Some(connection) => Ok(connection),
        None => {
            let limit = protocol.limits(request).connect;
            let connections = protocol.connections(&request.pool);
            connections.connect_to(attempt.target, limit, Some(request.id)).await
        }
    };
    // Nothing is written before the connection is established.
    let failed = AttemptStart::NotRun(RetryReason::ConnectFailed, AttemptCause::ConnectFailed);
    let connection = connected.map_err(|_| failed)?;
    // An evacuation or a notice of the target may have arrived while the connection was established.
    match context.gate.pass(context.uptime(), attempt.target) {
        Some(stop) => {
            connection.put_back();
            Err(gate_stopped(context, stop))
        }
        None => Ok(connection),
    }
}

/// Applies the target's notice at the gate before any of the answer is relayed, and reports it to the node.
fn apply_notice(context: &DaemonContext, attempt: &TargetAttempt<'_>, received: &ReceivedNotice) {
    let (instance, request) = (attempt.target.instance(), attempt.request);
    if let Some(brittle) = context.gate.brittle_change(&request.pool.id, &received.notice) {
        info!("targets_brittle", kv: {
            pool = request.pool.id.as_str(), target = instance.id.as_str(),
            refusals_per_s = brittle.map_or(-1, i64::from)
        });
        context.send_event(NodeEvent::BrittleChanged(request.pool.id.clone(), brittle));
    }
    if let Some(report) =
        context.gate.apply_notice(context.uptime(), &instance, received, request.id)
    {
        context.send_event(NodeEvent::NoticeReceived(request.pool.id.clone(), report));
    }
}

/// Reports to the node what the target states of its load. The operators learn of figures that cannot be used.
fn report_load(context: &DaemonContext, attempt: &TargetAttempt<'_>, reading: LoadReading) {
    let (instance, request) = (attempt.target.instance(), attempt.request);
    if let Some(fault) = reading.fault {
        context.metrics.count_load_fault(fault.code());
        context.gate.report_load_fault(context.uptime(), &instance, fault, request.id);
    }
    // Without a slowness a statement changes no decision, so the node needs no event for it.
    if let Some(load) = reading.load.filter(|load| load.slowness_percent.is_some()) {
        let (pool, seen) = (request.pool.id.clone(), context.uptime());
        context.send_event(NodeEvent::LoadStated { pool, instance, load, seen });
    }
}

/// Records at the gate that the target has turned the request away, and reports it to the node if the target is brittle.
fn report_refusal(context: &DaemonContext, attempt: &TargetAttempt<'_>) {
    let instance = attempt.target.instance();
    if let Some(report) = context.gate.refused(context.uptime(), &instance) {
        context.send_event(NodeEvent::NoticeReceived(attempt.request.pool.id.clone(), report));
    }
}

/// Decides from the head of the answer whether the target runs the request.
fn evaluate_answer(
    protocol: &dyn CallerProtocol,
    request: &AdmittedRequest,
    mut answer: TargetAnswer,
    notice: Option<TargetNotice>,
) -> AttemptStart {
    match protocol.evaluate_head(request, &mut answer) {
        HeadVerdict::Accepted => AttemptStart::Answer(Box::new(answer)),
        HeadVerdict::NotRun => {
            let requests_rest = notice.is_some_and(|notice| notice.rest.is_some());
            let cause = match requests_rest {
                true => AttemptCause::RestRequested,
                false => AttemptCause::NotStarted,
            };
            AttemptStart::NotRun(RetryReason::TargetNotStarted, cause)
        }
        HeadVerdict::OtherRequest => {
            AttemptStart::Failed(RefusalReason::TargetProtocol, AttemptCause::Unreadable)
        }
    }
}

/// Counts and returns an attempt that the gate stopped because of the target's notices.
fn gate_stopped(context: &DaemonContext, stop: GateStop) -> AttemptStart {
    let cause = AttemptCause::from(stop);
    context.metrics.count_gate_stop(cause.code());
    AttemptStart::NotRun(RetryReason::TargetUnwilling, cause)
}

/// Returns when the wait for the head of the answer ends. Where a request is cut at its deadline, the wait
/// ends no later than that. If both expire at the same instant, this limit has priority, so that the refusal
/// always names the unresponsive target as the reason, however long it took to connect.
fn cap_head_deadline(
    protocol: &dyn CallerProtocol,
    request: &AdmittedRequest,
    head_deadline: Moment,
) -> Moment {
    match protocol.options().cuts_at_deadline {
        true => head_deadline.min(request.deadline),
        false => head_deadline,
    }
}

/// Returns the result of an exchange that failed before the head of the answer; the request may have run.
fn exchange_failed(
    context: &DaemonContext,
    attempt: &TargetAttempt<'_>,
    error: &Error,
) -> AttemptStart {
    let target = attempt.target.id.as_str();
    debug!("exchange_broken", kv: { target, error = error.to_string() });
    match error {
        Error::Excess(excess) => {
            report_excess(context, attempt.request.id, &attempt.target.id, *excess);
            AttemptStart::Failed(RefusalReason::TargetProtocol, excess.limit.into())
        }
        Error::Protocol(_) => {
            AttemptStart::Failed(RefusalReason::TargetProtocol, AttemptCause::Unreadable)
        }
        _ => AttemptStart::Failed(RefusalReason::TargetClosed, AttemptCause::Closed),
    }
}

/// Logs and counts an answer that is ended because of bytes that could not be delivered.
pub fn report_excess(
    context: &DaemonContext,
    request: RequestId,
    target: &TargetId,
    excess: AnswerExcess,
) {
    context.metrics.count_answer_excess(excess.form);
    warn!("answer_excess", kv: {
        request = request.to_string(), target = target.as_str(), form = excess.form.code(),
        bytes = excess.bytes as i64, limit = excess.limit.code()
    });
}
