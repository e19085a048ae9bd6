//! Serves a caller's request from its arrival to the end of its answer.
//!
//! The steps, in order, one file each:
//!
//! 1. [`protocol`] admits the request: rule, account, tier, pool, deadline ([`admitted`]).
//! 2. [`body`] reads the body, or as much of it as the work estimate needs, if there is memory for it ([`body_intake`]).
//! 3. [`run`] waits for a permit of the pool's scheduler and decides after each attempt how to go on.
//! 4. [`attempt`] sends the request to one target, once.
//! 5. [`relay`] relays the answer to the caller ([`answer`], [`answer_channel`], [`answer_flow`]) and resumes an interrupted stream ([`framing`]).
//!    Where an answer ends with its connection, the target has to outlive that end ([`liveness`], [`status_queries`]).
//!
//! [`CallerProtocol`] covers the differences between the platform kinds: [`builtin`] implements the interface
//! of docs/CALLERS.md, [`profile`] uses the header names of a fleet's platform.
//!
//! Owns: the requests in progress on this thread, each in its own task. Relies on: the node for
//! permits ([`DaemonContext::admit`]), `curlewcleat-targets` for exchanges.

mod admitted;
mod answer;
mod answer_channel;
mod answer_flow;
mod attempt;
mod body;
mod body_intake;
mod builtin;
mod cause;
mod framing;
mod liveness;
mod problem;
mod profile;
mod progress;
mod protocol;
mod relay;
mod run;
mod status_queries;
mod target_wait;

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Request, Response, Uri};
use curlewcleat_clock::Moment;
use curlewcleat_core::{Refusal, RefusalReason, RequestDigest, RequestId, RequestIdentity};
use tokio::sync::oneshot;

use crate::byte_budget::{ByteHold, ByteOwner, CallerReader, REQUEST_COST};
use crate::context::DaemonContext;
use crate::headers;
use crate::loop_clock::start_beats;
use admitted::AdmittedRequest;
use answer::{CallerAnswer, CallerConnection};
use answer_channel::AnswerChannel;
use answer_flow::AnswerFlow;
use body::{BodyError, RequestBody};
use body_intake::BodyIntake;
use run::RequestRun;
use status_queries::StatusQueries;

pub use builtin::BuiltinProtocol;
pub use liveness::TargetLiveness;
pub use profile::ProfileProtocol;
pub use protocol::CallerProtocol;
pub use run::EndStatement;

/// Serves the requests that arrive on one thread.
pub struct RequestService {
    context: DaemonContext,
    protocol: Box<dyn CallerProtocol>,
    status_queries: StatusQueries,
}

/// A request as the caller sent it.
pub struct CallerRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: RequestBody,
    /// Counts the state of the request; `None` without a memory limit.
    _held: Option<ByteHold>,
}

impl CallerRequest {
    /// Copies the head of a request, whose state `held` counts.
    fn new(request: &Request, body: RequestBody, held: Option<ByteHold>) -> CallerRequest {
        CallerRequest {
            method: request.method().clone(),
            uri: request.uri().clone(),
            headers: request.headers().clone(),
            body,
            _held: held,
        }
    }

    /// Returns a digest of everything that the caller sends again when it repeats the request. `None` for a body that
    /// is longer than the part read before scheduling: different requests may have the same beginning.
    fn digest(&self, account: Option<&str>) -> Option<RequestDigest> {
        let token = headers::bearer_token(&self.headers).map(String::from_utf8_lossy);
        let identity = RequestIdentity {
            method: self.method.as_str(),
            // A request without a readable host is repeated without one.
            host: headers::text(&self.headers, "host").unwrap_or_default(),
            path: self.uri.path_and_query().map_or(self.uri.path(), |path| path.as_str()),
            // A caller may send a token even where the rule requires no account.
            caller: account.or(token.as_deref()).unwrap_or_default(),
            body: self.body.beginning(),
        };
        self.body.is_fully_read().then(|| identity.digest())
    }
}

impl RequestService {
    /// Creates a service for callers that use `protocol`. Its requests are served by this thread.
    pub fn new(context: DaemonContext, protocol: Box<dyn CallerProtocol>) -> Rc<RequestService> {
        start_beats();
        Rc::new(RequestService { context, protocol, status_queries: StatusQueries::default() })
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
        let reader = request.conn_data::<CallerReader>().cloned();
        let held = reader.as_ref().map(|reader| {
            reader.begin_request(id);
            reader.budget().hold(ByteOwner::Request, REQUEST_COST)
        });
        let intake = BodyIntake::new(&self.context, &admitted);
        let body = match RequestBody::read(&mut request, limit, options, intake.as_ref()).await {
            Ok(body) => body,
            Err(error) => return self.refuse_body(&mut request, &admitted, intake, error),
        };
        self.protocol.estimate(&mut admitted, &body);
        let caller = CallerRequest::new(&request, body, held);
        admitted.digest = caller.digest(admitted.account.as_deref());
        let pending = self.context.admit(admitted.spec());
        let connection = CallerConnection::of(&request);
        let (head_sender, head_receiver) = oneshot::channel();
        let (channel, parts) = AnswerChannel::new(head_sender, reader.map(AnswerFlow::new));
        let run = RequestRun::new(self, admitted, caller, pending, channel);
        let guard = TaskGuard(actix_rt::spawn(run.run()));
        // The task ends without an answer only if it panicked.
        let answer = head_receiver.await.unwrap_or_else(|_| CallerAnswer::bad_gateway());
        answer.into_response(parts, guard, &connection)
    }

    /// Refuses a request whose body cannot be read. The refusal of one that the daemon has no memory for reaches its
    /// caller although the body was not read.
    fn refuse_body(
        &self,
        request: &mut Request,
        admitted: &AdmittedRequest,
        intake: Option<BodyIntake>,
        error: BodyError,
    ) -> Response<BoxBody> {
        // A chunked body states no length.
        let size = body::stated_length(request).unwrap_or_default();
        let refusal = match &intake {
            Some(intake) => intake.refusal(error, size),
            None => Refusal::not_run(error.reason(), None),
        };
        run::record_refusal(self, admitted.id, &admitted.attempt_id, Some(admitted), &refusal);
        let answer = self.protocol.refusal_answer(admitted.id, &refusal);
        match error {
            BodyError::NoRoom => answer.into_discarding_response(request.take_payload()),
            BodyError::TooLarge | BodyError::Incomplete => answer.into_complete_response(),
        }
    }
}

/// Aborts the task of a request when the caller's connection drops the answer.
struct TaskGuard(actix_rt::task::JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
