//! One attempt: a request is sent to one target, once.
//!
//! Owns: the exchange up to the head of the answer. Relies on: [`CallerProtocol`] for the head and its
//! limits, `curlewcleat-targets` for what may have been written.
//!
//! [`CallerProtocol`]: super::CallerProtocol

use curlewcleat_clock::Moment;
use curlewcleat_core::{RefusalReason, RetryReason, TargetEntry, TargetNotice};
use curlewcleat_node::NodeEvent;
use curlewcleat_sched::{GateStop, ReceivedNotice};
use curlewcleat_targets::{Error, PooledConnection, TargetAnswer};
use spdlog::prelude::*;

use super::admitted::AdmittedRequest;
use super::cause::AttemptCause;
use super::protocol::{CallerProtocol, HeadVerdict, TargetAttempt};
use super::target_wait::{GrantedTarget, TargetWait, WaitEnd};
use crate::context::DaemonContext;

/// How an attempt began.
pub enum AttemptStart {
    /// The target answers.
    Answer(Box<TargetAnswer>),
    /// Provably nothing ran.
    NotRun(RetryReason, AttemptCause),
    /// It may have run and there is no answer.
    Failed(RefusalReason, AttemptCause),
    /// Its target was stalled and is left for this one.
    Replaced(Box<GrantedTarget>),
}

/// Sends a request to its target, by `connection` where there is one, and waits for the head of the answer.
pub async fn send(
    attempt: TargetAttempt<'_>,
    connection: Option<PooledConnection>,
    wait: TargetWait<'_>,
) -> AttemptStart {
    let (context, protocol, request) = (wait.context, wait.protocol, attempt.request);
    let connection = match connect(&attempt, connection, &wait).await {
        Ok(connection) => connection,
        Err(start) => return start,
    };
    let head = protocol.target_head(&attempt);
    let options = protocol.exchange_options(request);
    let exchange = connection.exchange_with(head, attempt.caller.body.sending(), &options);
    let sent = Moment::now();
    let head_by = head_limit(protocol, request, sent + protocol.limits(request).head);
    let limit = head_by.saturating_duration_since(Moment::now());
    let answer = match wait.wait(limit, exchange).await {
        WaitEnd::Came(Ok(answer)) => answer,
        WaitEnd::Came(Err(error)) => return exchange_failed(attempt.target, &error),
        WaitEnd::Replaced(target) => return AttemptStart::Replaced(target),
        WaitEnd::TimedOut => {
            return AttemptStart::Failed(RefusalReason::FirstByteTimeout, AttemptCause::HeadTimeout)
        }
    };
    let notice = protocol.target_notice(&answer.head);
    if let Some(notice) = notice {
        let heard = ReceivedNotice { sent: context.uptime_at(sent), notice };
        hear(context, &attempt, &heard);
    }
    judge(protocol, request, answer, notice)
}

/// The connection by which the request may be sent now: one that stands, and a target whose own word does not exclude it.
async fn connect(
    attempt: &TargetAttempt<'_>,
    connection: Option<PooledConnection>,
    wait: &TargetWait<'_>,
) -> Result<PooledConnection, AttemptStart> {
    let (context, protocol, request) = (wait.context, wait.protocol, attempt.request);
    let instance = attempt.target.instance();
    if let Some(stop) = context.gate.stop(context.uptime(), &instance) {
        return Err(stopped(context, stop));
    }
    let connected = match connection {
        Some(connection) => Ok(connection),
        None => {
            let limit = protocol.limits(request).connect;
            protocol.connections(&request.pool).connect_to(attempt.target, limit).await
        }
    };
    // Nothing is written before the connection stands.
    let failed = AttemptStart::NotRun(RetryReason::ConnectFailed, AttemptCause::ConnectFailed);
    let connection = connected.map_err(|_| failed)?;
    // The target may have spoken while the connection was made.
    match context.gate.pass(context.uptime(), &instance) {
        Some(stop) => {
            connection.put_back();
            Err(stopped(context, stop))
        }
        None => Ok(connection),
    }
}

/// What the target says of itself counts before anything of its answer is passed on.
fn hear(context: &DaemonContext, attempt: &TargetAttempt<'_>, heard: &ReceivedNotice) {
    let (instance, request) = (attempt.target.instance(), attempt.request);
    if let Some(report) = context.gate.heard(context.uptime(), &instance, heard, request.id) {
        context.tell(NodeEvent::NoticeReceived(request.pool.id.clone(), report));
    }
}

fn judge(
    protocol: &dyn CallerProtocol,
    request: &AdmittedRequest,
    mut answer: TargetAnswer,
    notice: Option<TargetNotice>,
) -> AttemptStart {
    match protocol.judge_head(request, &mut answer) {
        HeadVerdict::Accepted => AttemptStart::Answer(Box::new(answer)),
        HeadVerdict::NotRun => {
            let asks_for_rest = notice.is_some_and(|notice| notice.rest.is_some());
            let cause = match asks_for_rest {
                true => AttemptCause::AskedForRest,
                false => AttemptCause::NotStarted,
            };
            AttemptStart::NotRun(RetryReason::TargetNotStarted, cause)
        }
        HeadVerdict::Foreign => {
            AttemptStart::Failed(RefusalReason::TargetProtocol, AttemptCause::Unreadable)
        }
    }
}

/// The target's own word excludes it.
fn stopped(context: &DaemonContext, stop: GateStop) -> AttemptStart {
    let cause = AttemptCause::from(stop);
    context.metrics.gate_stop(cause.code());
    AttemptStart::NotRun(RetryReason::TargetUnwilling, cause)
}

/// Until when the head of the answer is waited for. Where a request is cut at its deadline, the wait
/// ends no later: at the same instant this limit is looked at first, so that a target that says nothing
/// is always the reason, however long it took to connect.
fn head_limit(protocol: &dyn CallerProtocol, request: &AdmittedRequest, head_by: Moment) -> Moment {
    match protocol.options().cuts_at_deadline {
        true => head_by.min(request.deadline),
        false => head_by,
    }
}

fn exchange_failed(target: &TargetEntry, error: &Error) -> AttemptStart {
    debug!("exchange_broken", kv: { target = target.id.as_str(), error = error.to_string() });
    match error {
        Error::Protocol(_) => {
            AttemptStart::Failed(RefusalReason::TargetProtocol, AttemptCause::Unreadable)
        }
        _ => AttemptStart::Failed(RefusalReason::TargetClosed, AttemptCause::Closed),
    }
}
