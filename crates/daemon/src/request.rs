//! Serves a caller's request from its arrival to the end of its answer.
//!
//! The steps, in order, one file each:
//!
//! 1. [`protocol`] admits the request: rule, account, tier, pool, deadline ([`admitted`]).
//! 2. [`body`] reads the body, or as much of it as the work estimate needs.
//! 3. [`run`] waits for a permit of the pool's scheduler and decides after each attempt how to go on.
//! 4. [`attempt`] sends the request to one target, once.
//! 5. [`relay`] relays the answer to the caller ([`answer`]) and resumes an interrupted stream ([`framing`]).
//!
//! [`CallerProtocol`] covers the differences between the platform kinds: [`builtin`] implements the interface
//! of docs/CALLERS.md, [`profile`] uses the header names of a fleet's platform.
//!
//! Owns: the requests in progress on this thread, each in its own task. Relies on: the node for
//! permits ([`DaemonContext::admit`]), `curlewcleat-targets` for exchanges.

mod admitted;
mod answer;
mod attempt;
mod body;
mod builtin;
mod cause;
mod framing;
mod problem;
mod profile;
mod progress;
mod protocol;
mod relay;
mod run;
mod target_wait;

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Request, Response, Uri};
use curlewcleat_clock::Moment;
use curlewcleat_core::{Refusal, RefusalReason, RequestDigest, RequestId, RequestIdentity};
use tokio::sync::oneshot;

use crate::context::DaemonContext;
use crate::headers;
use admitted::AdmittedRequest;
use answer::{AnswerChannel, CallerAnswer, CallerConnection};
use body::RequestBody;
use run::RequestRun;

pub use builtin::BuiltinProtocol;
pub use profile::ProfileProtocol;
pub use protocol::CallerProtocol;

/// Serves the requests that arrive on one thread.
pub struct RequestService {
    context: DaemonContext,
    protocol: Box<dyn CallerProtocol>,
}

/// A request as the caller sent it.
pub struct CallerRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: RequestBody,
}

impl CallerRequest {
    /// Returns a digest of everything that the caller sends again when it repeats the request. `None` for a body that
    /// is longer than the part read before scheduling: different requests may have the same beginning.
    fn digest(&self, account: Option<&str>) -> Option<RequestDigest> {
        let identity = RequestIdentity {
            method: self.method.as_str(),
            host: headers::text(&self.headers, "host").unwrap_or_default(),
            path: self.uri.path_and_query().map_or(self.uri.path(), |path| path.as_str()),
            // A caller may send a token even where the rule requires no account.
            caller: account.or(headers::bearer_token(&self.headers)).unwrap_or_default(),
            body: self.body.beginning(),
        };
        self.body.is_fully_read().then(|| identity.digest())
    }
}

impl RequestService {
    /// Creates a service for callers that use `protocol`.
    pub fn new(context: DaemonContext, protocol: Box<dyn CallerProtocol>) -> Rc<RequestService> {
        Rc::new(RequestService { context, protocol })
    }

    /// Determines rule, account, tier, pool and deadline of a request. Refuses it while there is no configuration.
    fn admit(
        &self,
        id: RequestId,
        arrived: Moment,
        request: &Request,
    ) -> Result<AdmittedRequest, Refusal> {
        let config = self.context.config();
        if config.generation == 0 {
            let wait = self.protocol.options().no_config_retry_after;
            return Err(Refusal::not_run(RefusalReason::NoConfiguration, Some(wait)));
        }
        self.protocol.admit(&config, id, arrived, request)
    }

    /// Serves one request.
    pub async fn serve(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        let id = RequestId::now_v7();
        let arrived = Moment::now();
        let mut admitted = match self.admit(id, arrived, &request) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                let attempt = self.protocol.attempt_id(request.headers());
                run::record_refusal(&self, id, attempt, None, &refusal);
                return self.protocol.refusal_answer(id, &refusal).into_complete_response();
            }
        };
        self.context.metrics.count_request(&admitted.tier, &admitted.pool.id);
        let limit = admitted.rule.body_limit;
        let options = self.protocol.options().body;
        let body = match RequestBody::read(&mut request, limit, options).await {
            Ok(body) => body,
            Err(error) => {
                let refusal = Refusal::not_run(error.reason(), None);
                run::record_refusal(&self, id, &admitted.attempt_id, Some(&admitted), &refusal);
                return self.protocol.refusal_answer(id, &refusal).into_complete_response();
            }
        };
        self.protocol.estimate(&mut admitted, &body);
        let caller = CallerRequest {
            method: request.method().clone(),
            uri: request.uri().clone(),
            headers: request.headers().clone(),
            body,
        };
        admitted.digest = caller.digest(admitted.account.as_deref());
        let pending = self.context.admit(admitted.spec());
        let connection = CallerConnection::of(&request);
        let (head_sender, head_receiver) = oneshot::channel();
        let (channel, parts) = AnswerChannel::new(head_sender);
        let run = RequestRun::new(self, admitted, caller, pending, channel);
        let guard = TaskGuard(actix_rt::spawn(run.run()));
        // The task ends without an answer only if it panicked.
        let answer = head_receiver.await.unwrap_or_else(|_| CallerAnswer::bad_gateway());
        answer.into_response(parts, guard, &connection)
    }
}

/// Aborts the task of a request when the caller's connection drops the answer.
struct TaskGuard(actix_rt::task::JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
