//! Callers' requests: account, rule, body, admission, dispatch, answer.

use std::time::{Duration, Instant};

use actix_http::body::{BodySize, BodyStream, BoxBody, MessageBody, SizedStream};
use actix_http::{HttpMessage, Request, Response};
use curlewcleat_core::{
    hash_token, AdmissionRule, AttemptEnd, ClientAccount, Refusal, RefusalReason, RequestId,
    TargetPool, TierRule, Verdict,
};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::RequestSpec;
use curlewcleat_targets::TargetAnswer;
use spdlog::prelude::*;

use crate::answer::{kept_response, refusal_response, REQUEST_ID};
use crate::answer_stream::{AnswerContext, AnswerStream, WatchedAnswer};
use crate::context::{DaemonContext, PendingRequest};
use crate::exchange::{send, DispatchTicket, ExchangeStart, TargetClients, TargetRequest};
use crate::headers;
use crate::prompt;
use crate::upload::{CallerUpload, UploadFault};

/// What admission gave a request.
struct AdmittedRequest {
    id: RequestId,
    arrived: Instant,
    account: ClientAccount,
    rule: AdmissionRule,
    tier: TierRule,
    pool: TargetPool,
    time_left: Duration,
    key: Option<(String, Option<u32>)>,
}

impl AdmittedRequest {
    fn in_time(&self) -> bool {
        self.arrived.elapsed() < self.time_left
    }
}

/// Serves one request of a caller.
pub async fn serve_caller(
    context: DaemonContext,
    clients: TargetClients,
    mut request: Request,
) -> Response<BoxBody> {
    let id = RequestId::now_v7();
    let admitted = match admit(&context, id, &request) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(&context, id, &refusal, None),
    };
    context.metrics.request(&admitted.tier.id, &admitted.pool.id);
    let length =
        headers::text(request.headers(), "content-length").and_then(|text| text.parse().ok());
    let upload =
        match CallerUpload::peek(request.take_payload(), length, admitted.rule.body_limit).await {
            Ok(upload) => upload,
            Err(fault) => {
                let refusal = Refusal::not_run(fault_reason(fault), None);
                return refuse(&context, id, &refusal, Some(&admitted));
            }
        };
    let pending = context.admit(spec_of(&admitted, &upload));
    let target_request = TargetRequest {
        method: request.method().clone(),
        path: request.uri().clone(),
        headers: request.headers().clone(),
        urgency: admitted.tier.rank,
        upload,
    };
    follow(context, clients, admitted, target_request, pending).await
}

/// Finds account, rule, tier and pool of a request.
fn admit(
    context: &DaemonContext,
    id: RequestId,
    request: &Request,
) -> Result<AdmittedRequest, Refusal> {
    let arrived = Instant::now();
    let config = context.config();
    if config.generation == 0 {
        return Err(Refusal::not_run(RefusalReason::NoConfiguration, Some(Duration::from_secs(1))));
    }
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
    let time_left = headers::timeout(head).map_err(bad_header)?.unwrap_or(tier.deadline);
    let key = headers::idempotency(head).map_err(bad_header)?.filter(|_| !rule.repeatable);
    Ok(AdmittedRequest {
        id,
        arrived,
        account: account.clone(),
        rule: rule.clone(),
        tier: tier.clone(),
        pool: pool.clone(),
        time_left,
        key,
    })
}

fn spec_of(admitted: &AdmittedRequest, upload: &CallerUpload) -> RequestSpec {
    let (beginning, whole) = upload.beginning();
    let work = prompt::estimate(&admitted.pool, &beginning, whole, upload.length());
    RequestSpec {
        request: admitted.id,
        pool: admitted.pool.id.clone(),
        tier: admitted.tier.rank,
        account: admitted.account.id.clone(),
        time_left: admitted.time_left.saturating_sub(admitted.arrived.elapsed()),
        aims: curlewcleat_core::ServiceAims::default(),
        attempt_limit: None,
        cost: 1,
        prompt_work: work.prompt,
        output_work: work.output,
        prefix: work.prefix,
        key: admitted.key.clone(),
    }
}

/// Follows the node's decisions until the request has its answer.
async fn follow(
    context: DaemonContext,
    clients: TargetClients,
    admitted: AdmittedRequest,
    request: TargetRequest,
    mut pending: PendingRequest,
) -> Response<BoxBody> {
    loop {
        let (permit, target) = match pending.decision().await {
            Some(CallerDecision::Dispatch(permit, target)) => (permit, target),
            Some(CallerDecision::Refuse(refusal)) => {
                pending.close();
                return refuse(&context, admitted.id, &refusal, Some(&admitted));
            }
            Some(CallerDecision::Replay(answer)) => {
                pending.close();
                return kept_response(admitted.id, answer);
            }
            None => {
                pending.close();
                let refusal =
                    Refusal::not_run(RefusalReason::Draining, Some(Duration::from_secs(1)));
                return refuse(&context, admitted.id, &refusal, Some(&admitted));
            }
        };
        // The clock is looked at after the decision, since the process may have been paused.
        if !admitted.in_time() {
            let refusal =
                Refusal::not_run(RefusalReason::DeadlinePassed, Some(Duration::from_secs(1)));
            let event = NodeEvent::Finished(admitted.id, Verdict::NotRun, AttemptEnd::Unused, None);
            pending.finish(event);
            return refuse(&context, admitted.id, &refusal, Some(&admitted));
        }
        context.metrics.waited(
            admitted.arrived.elapsed().as_secs_f64(),
            &admitted.tier.id,
            &admitted.pool.id,
        );
        let sent = Instant::now();
        let ticket = DispatchTicket { permit, target: target.clone() };
        match send(&clients, &admitted.pool, ticket, &request).await {
            ExchangeStart::Answer(response) => {
                context.metrics.began(
                    admitted.arrived.elapsed().as_secs_f64(),
                    &admitted.tier.id,
                    &admitted.pool.id,
                );
                let answer = AnswerContext {
                    pending,
                    context,
                    request: admitted.id,
                    tier: admitted.tier.id,
                    connections: clients.of(&admitted.pool),
                    pool: admitted.pool,
                    target,
                    sent,
                    keyed: admitted.key.is_some(),
                };
                return answer_response(*response, answer);
            }
            ExchangeStart::NotRun(end, retry) if request.upload.intact() => {
                log_attempt(&admitted, &target.id, retry.code());
                pending.not_run(end, retry);
            }
            ExchangeStart::NotRun(end, retry) => {
                return end_unanswered(
                    &context,
                    pending,
                    &admitted,
                    Verdict::NotRun,
                    end,
                    retry.final_refusal(),
                );
            }
            ExchangeStart::Failed(reason) => {
                log_attempt(&admitted, &target.id, reason.code());
                let reason = request.upload.fault().map_or(reason, fault_reason);
                let end = if request.upload.fault().is_some() {
                    AttemptEnd::Unused
                } else {
                    AttemptEnd::Failed
                };
                return end_unanswered(
                    &context,
                    pending,
                    &admitted,
                    Verdict::MayHaveRun,
                    end,
                    reason,
                );
            }
        }
    }
}

/// Ends a request that was sent and has no answer.
fn end_unanswered(
    context: &DaemonContext,
    pending: PendingRequest,
    admitted: &AdmittedRequest,
    verdict: Verdict,
    end: AttemptEnd,
    reason: RefusalReason,
) -> Response<BoxBody> {
    pending.finish(NodeEvent::Finished(admitted.id, verdict, end, None));
    context.metrics.end(verdict, &admitted.tier.id, &admitted.pool.id);
    let refusal = Refusal { reason, verdict, retry_after: Some(Duration::from_secs(1)) };
    refuse(context, admitted.id, &refusal, Some(admitted))
}

/// Passes an answer on, with its length where the target gave it.
fn answer_response(response: TargetAnswer, answer: AnswerContext) -> Response<BoxBody> {
    let length =
        headers::text(&response.head.headers, "content-length").and_then(|text| text.parse().ok());
    let mut builder = Response::build(response.head.status);
    for (name, value) in
        response.head.headers.iter().filter(|(name, _)| headers::passes_to_caller(name))
    {
        builder.append_header((name.clone(), value.clone()));
    }
    builder.insert_header((REQUEST_ID, answer.request.to_string()));
    let limit = answer.context.settings.stall_limit;
    let stream = WatchedAnswer::new(AnswerStream::new(response, answer), limit);
    match length {
        Some(length) => {
            let body = SizedStream::new(length, stream);
            debug_assert!(matches!(body.size(), BodySize::Sized(_)));
            builder.body(body).map_into_boxed_body()
        }
        None => builder.body(BodyStream::new(stream)).map_into_boxed_body(),
    }
}

/// Counts, logs and answers a refusal.
fn refuse(
    context: &DaemonContext,
    id: RequestId,
    refusal: &Refusal,
    admitted: Option<&AdmittedRequest>,
) -> Response<BoxBody> {
    let tier = admitted.map_or("", |admitted| admitted.tier.id.as_str());
    let pool = admitted.map_or("", |admitted| admitted.pool.id.as_str());
    context.metrics.refusal(refusal.reason, tier, pool);
    debug!("request_refused", kv: {
        request = id.to_string(), reason = refusal.reason.code(), tier, pool,
        may_have_run = refusal.verdict.may_have_run()
    });
    refusal_response(id, refusal)
}

fn log_attempt(admitted: &AdmittedRequest, target: &str, reason: &str) {
    warn!("attempt_failed", kv: { request = admitted.id.to_string(), target, reason });
}

fn fault_reason(fault: UploadFault) -> RefusalReason {
    match fault {
        UploadFault::TooLarge => RefusalReason::BodyTooLarge,
        UploadFault::Incomplete => RefusalReason::BodyIncomplete,
    }
}
