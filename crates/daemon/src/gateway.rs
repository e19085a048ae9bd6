//! The callers' side of a fleet: routes by host and path, requests that keep their own id, answers of
//! discovered targets.

mod admission;
mod answers;
mod proof;
mod relay;
mod send;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Request, Response, Uri};
use bytes::Bytes;
use curlewcleat_core::{Refusal, RefusalReason, RequestId};
use curlewcleat_platform::WireProfile;
use curlewcleat_targets::{ConnectionOptions, ConnectionPool};
use futures_util::StreamExt;
use tokio::sync::oneshot;

use crate::context::DaemonContext;
use admission::AdmittedCall;
use answers::{refusal_answer, AnswerParts, CallerAnswer};
use relay::CallRelay;

pub use proof::ConfigProof;

/// Time for which a connection to a target is kept where the target does not say.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time between two parts of a caller's body.
const PART_LIMIT: Duration = Duration::from_secs(10);

/// What all requests of a gateway share.
pub struct Gateway {
    pub(super) context: DaemonContext,
    pub(super) profile: WireProfile,
    pub(super) connections: ConnectionPool,
    pub(super) proof: Rc<ConfigProof>,
    /// Longest time that callers of each rule have given.
    longest: RefCell<BTreeMap<String, Duration>>,
}

/// A request as its caller sent it.
pub(super) struct CallerRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    /// `None` where the caller sent no body at all.
    pub body: Option<Bytes>,
}

impl Gateway {
    /// A gateway that speaks with the names of a profile.
    pub fn new(
        context: DaemonContext,
        profile: WireProfile,
        proof: Rc<ConfigProof>,
    ) -> Rc<Gateway> {
        let options = ConnectionOptions {
            idle_limit: IDLE_LIMIT,
            rest: Duration::ZERO,
            ..ConnectionOptions::default()
        };
        Rc::new(Gateway {
            context,
            profile,
            connections: ConnectionPool::new(options),
            proof,
            longest: RefCell::default(),
        })
    }

    /// Serves one request of a caller.
    pub async fn serve(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        let id = RequestId::now_v7();
        let arrived = Instant::now();
        let call = match self.admit(id, arrived, &request) {
            Ok(call) => call,
            Err(refusal) => {
                let attempt = crate::headers::text(request.headers(), self.profile.attempt_id);
                return self.refuse(id, attempt.unwrap_or_default(), &refusal, None);
            }
        };
        self.context.metrics.request(&call.tier, &call.pool);
        let body = match read_body(&mut request, call.rule.body_limit).await {
            Ok(body) => body,
            Err(reason) => {
                let refusal = Refusal::not_run(reason, None);
                return self.refuse(id, &call.attempt_id, &refusal, Some(&call));
            }
        };
        let caller = CallerRequest {
            method: request.method().clone(),
            uri: request.uri().clone(),
            headers: request.headers().clone(),
            body,
        };
        self.relay(call, caller).await
    }

    /// Runs the request in a task of its own that ends with its caller.
    async fn relay(self: Rc<Self>, call: AdmittedCall, caller: CallerRequest) -> Response<BoxBody> {
        let pending = self.context.admit(call.spec());
        let (begin, began) = oneshot::channel();
        let (parts, received) = AnswerParts::channel();
        let relay = CallRelay::new(Rc::clone(&self), call, caller, pending, begin, parts);
        let task = actix_rt::spawn(relay.run());
        let guard = TaskGuard(task);
        let answer = began.await.unwrap_or_else(|_| CallerAnswer::cut());
        self.respond(answer, received, Some(guard))
    }

    /// Turns an answer into what is sent; its body ends the task of its request when it is dropped.
    fn respond(
        &self,
        answer: CallerAnswer,
        received: answers::ReceivedParts,
        guard: Option<TaskGuard>,
    ) -> Response<BoxBody> {
        let mut builder = Response::build(answer.status);
        for (name, value) in answer.headers {
            builder.append_header((name, value));
        }
        if answer.close || self.context.is_draining() {
            builder.force_close();
        }
        match answer.body {
            Some(body) => builder.body(body).map_into_boxed_body(),
            None => {
                let stream = received.map(move |part| {
                    let _ = &guard;
                    part
                });
                builder.body(BodyStream::new(stream)).map_into_boxed_body()
            }
        }
    }

    /// Counts, logs and answers a refusal of a request that has no task.
    fn refuse(
        &self,
        id: RequestId,
        attempt: &str,
        refusal: &Refusal,
        call: Option<&AdmittedCall>,
    ) -> Response<BoxBody> {
        let answer = refusal_answer(id, refusal);
        self.count_refusal(id, attempt, refusal, call);
        let (_, received) = AnswerParts::channel();
        self.respond(answer, received, None)
    }
}

/// Ends a task when it is dropped.
struct TaskGuard(actix_rt::task::JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Reads a body whole, so that it can be sent again.
async fn read_body(request: &mut Request, limit: usize) -> Result<Option<Bytes>, RefusalReason> {
    let headers = request.headers();
    let length = crate::headers::text(headers, "content-length");
    if length.is_none() && !headers.contains_key("transfer-encoding") {
        return Ok(None);
    }
    if length.and_then(|text| text.parse::<usize>().ok()).is_some_and(|length| length > limit) {
        return Err(RefusalReason::BodyTooLarge);
    }
    let mut payload = request.take_payload();
    let mut whole = Vec::new();
    loop {
        match tokio::time::timeout(PART_LIMIT, payload.next()).await {
            Ok(Some(Ok(part))) => whole.extend_from_slice(&part),
            Ok(None) => return Ok(Some(Bytes::from(whole))),
            Ok(Some(Err(_))) | Err(_) => return Err(RefusalReason::BodyIncomplete),
        }
        if whole.len() > limit {
            return Err(RefusalReason::BodyTooLarge);
        }
    }
}
