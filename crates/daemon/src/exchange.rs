//! One exchange with a target: send once, say truly what is known, stream the answer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::Method;
use awc::error::SendRequestError;
use awc::{Client, ClientResponse, Connector};
use bytes::Bytes;
use curlewcleat_core::{
    AttemptEnd, KeptAnswer, PermitId, RefusalReason, RequestId, RetryReason, TargetEntry,
    TargetPool, Verdict,
};
use curlewcleat_node::NodeEvent;
use futures_util::future::LocalBoxFuture;
use futures_util::Stream;

use crate::answer::REQUEST_ID;
use crate::context::{DaemonContext, PendingRequest};
use crate::headers;
use crate::upload::CallerUpload;

/// Longest answer that is kept with its key.
const KEPT_LIMIT: usize = 4 << 10;
/// Resumptions of one stream at most.
const RESUME_LIMIT: u32 = 3;
/// Header with which an engine names a stream that can be resumed.
const STREAM_ID: &str = "stream-id";
/// Idle connections to a target are closed after this time.
const IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Longest life of a connection that is in the pool.
const LIFE_LIMIT: Duration = Duration::from_secs(24 * 3_600);

/// The right to send one request to one target, once. Sending consumes it.
#[derive(Debug)]
pub struct DispatchTicket {
    /// The attempt.
    pub permit: PermitId,
    /// Where to.
    pub target: TargetEntry,
}

/// What is sent to a target.
pub struct TargetRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers that pass on.
    pub headers: HeaderMap,
    /// Rank of the tier, sent as `Priority` (RFC 9218).
    pub urgency: u8,
    /// Body.
    pub upload: CallerUpload,
}

/// How an exchange began.
pub enum ExchangeStart {
    /// The target answers.
    Answer(ClientResponse),
    /// Provably nothing ran.
    NotRun(AttemptEnd, RetryReason),
    /// It may have run and there is no answer.
    Failed(RefusalReason),
}

/// Connections to the targets of this thread's pools.
#[derive(Clone, Default)]
pub struct TargetClients {
    clients: Rc<RefCell<BTreeMap<(String, Duration), Client>>>,
}

impl TargetClients {
    /// The client of a pool. Pools share no connections, so none waits behind another's.
    pub fn of(&self, pool: &TargetPool) -> Client {
        let key = (pool.id.clone(), pool.limits.connect);
        self.clients
            .borrow_mut()
            .entry(key)
            .or_insert_with(|| new_client(pool.limits.connect))
            .clone()
    }
}

/// A client that neither follows redirects, which would send a request again, nor decodes bodies.
fn new_client(connect: Duration) -> Client {
    let connector = Connector::new()
        .timeout(connect)
        .limit(0)
        .conn_keep_alive(IDLE_LIMIT)
        .conn_lifetime(LIFE_LIMIT);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Sends a request to its target and waits for the head of the answer.
pub async fn send(
    clients: &TargetClients,
    pool: &TargetPool,
    ticket: DispatchTicket,
    request: &TargetRequest,
) -> ExchangeStart {
    let url = format!("http://{}{}", ticket.target.address, request.path);
    let mut call = clients.of(pool).request(request.method.clone(), url).no_decompress();
    for (name, value) in request.headers.iter().filter(|(name, _)| headers::passes_to_target(name))
    {
        call = call.append_header((name.clone(), value.clone()));
    }
    call = call.insert_header((REQUEST_ID, ticket.permit.request.to_string()));
    call = call.insert_header(("Priority", format!("u={}", request.urgency.min(7))));
    let limit = pool.limits.first_byte + pool.limits.connect;
    match tokio::time::timeout(limit, call.send_body(request.upload.body())).await {
        Ok(Ok(response)) if Some(response.status().as_u16()) == pool.not_started_status => {
            ExchangeStart::NotRun(AttemptEnd::Failed, RetryReason::TargetNotStarted)
        }
        Ok(Ok(response)) => ExchangeStart::Answer(response),
        // Nothing is written before the connection stands.
        Ok(Err(SendRequestError::Connect(_))) => {
            ExchangeStart::NotRun(AttemptEnd::Failed, RetryReason::ConnectFailed)
        }
        Ok(Err(SendRequestError::Response(_))) => {
            ExchangeStart::Failed(RefusalReason::TargetProtocol)
        }
        Ok(Err(_)) => ExchangeStart::Failed(RefusalReason::TargetClosed),
        Err(_) => ExchangeStart::Failed(RefusalReason::FirstByteTimeout),
    }
}

type AnswerParts = Pin<Box<dyn Stream<Item = Result<Bytes, actix_http::error::PayloadError>>>>;

/// Why an answer was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerCut;

impl std::fmt::Display for AnswerCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("exchange: the target's answer was cut")
    }
}

impl std::error::Error for AnswerCut {}

enum StreamPhase {
    Reading,
    Resuming(LocalBoxFuture<'static, Option<AnswerParts>>),
    Ended,
}

/// What an answer stream knows of its request.
pub struct AnswerContext {
    /// Its request in the node; dropping it before the end cancels.
    pub pending: PendingRequest,
    /// For metrics.
    pub context: DaemonContext,
    /// Its id.
    pub request: RequestId,
    /// Its tier's name, for metrics.
    pub tier: String,
    /// Its pool.
    pub pool: TargetPool,
    /// Where it runs.
    pub target: TargetEntry,
    /// When it was sent.
    pub sent: Instant,
    /// Whether the answer is kept with a key.
    pub keyed: bool,
    /// Client of the pool, for resumption.
    pub client: Client,
}

/// Passes the parts of an answer on as they come, and tells the node how it ended. An answer that
/// was cut ends with an error, so that the caller's connection is cut too.
pub struct AnswerStream {
    parts: AnswerParts,
    phase: StreamPhase,
    between: Pin<Box<tokio::time::Sleep>>,
    answer: Option<AnswerContext>,
    status: u16,
    content_type: String,
    stream_id: Option<String>,
    offset: u64,
    resumed: u32,
    tail: Vec<u8>,
    kept: Option<Vec<u8>>,
}

impl AnswerStream {
    /// Takes the body of an answer.
    pub fn new(response: ClientResponse, answer: AnswerContext) -> AnswerStream {
        let content_type =
            headers::text(response.headers(), "content-type").unwrap_or("").to_string();
        let stream_id = headers::text(response.headers(), STREAM_ID).map(str::to_string);
        AnswerStream {
            status: response.status().as_u16(),
            content_type,
            stream_id: stream_id.filter(|_| answer.pool.resumable),
            between: Box::pin(tokio::time::sleep(answer.pool.limits.between_bytes)),
            kept: answer.keyed.then(Vec::new),
            parts: Box::pin(response),
            phase: StreamPhase::Reading,
            answer: Some(answer),
            offset: 0,
            resumed: 0,
            tail: Vec::new(),
        }
    }

    fn note_part(&mut self, bytes: &Bytes) {
        self.offset += bytes.len() as u64;
        if let Some(answer) = &self.answer {
            let limit = answer.pool.limits.between_bytes;
            self.between.as_mut().reset(tokio::time::Instant::now() + limit);
            if let Some(end) = &answer.pool.end_event {
                let keep = end.len() + 16;
                self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(keep)..]);
                let surplus = self.tail.len().saturating_sub(keep);
                self.tail.drain(..surplus);
            }
        }
        match &mut self.kept {
            Some(kept) if kept.len() + bytes.len() <= KEPT_LIMIT => kept.extend_from_slice(bytes),
            _ => self.kept = None,
        }
    }

    /// Whether the end of an event stream is its own end mark; other answers carry their length.
    fn end_seen(&self) -> bool {
        let end = self.answer.as_ref().and_then(|answer| answer.pool.end_event.as_ref());
        match end {
            Some(end) if self.content_type.starts_with("text/event-stream") => {
                String::from_utf8_lossy(&self.tail).contains(end.as_str())
            }
            _ => true,
        }
    }

    fn finish_whole(&mut self) {
        let Some(answer) = self.answer.take() else { return };
        let kept = self.kept.take().map(|body| KeptAnswer {
            status: self.status,
            content_type: self.content_type.clone(),
            body,
        });
        answer.context.metrics.end(Verdict::Ran, &answer.tier, &answer.pool.id);
        let end = AttemptEnd::Whole(answer.sent.elapsed());
        answer.pending.finish(NodeEvent::Finished(answer.request, Verdict::Ran, end, kept));
    }

    fn finish_cut(&mut self) {
        let Some(answer) = self.answer.take() else { return };
        spdlog::warn!("answer_cut", kv: {
            request = answer.request.to_string(), target = answer.target.id.as_str(), offset = self.offset
        });
        answer.context.metrics.end(Verdict::MayHaveRun, &answer.tier, &answer.pool.id);
        answer.pending.finish(NodeEvent::Finished(
            answer.request,
            Verdict::MayHaveRun,
            AttemptEnd::Failed,
            None,
        ));
    }

    /// Begins to resume a cut stream, if that is possible.
    fn begin_resume(&mut self) -> bool {
        let (Some(answer), Some(id)) = (&self.answer, &self.stream_id) else { return false };
        if self.resumed >= RESUME_LIMIT {
            return false;
        }
        self.resumed += 1;
        answer.context.metrics.retry(RetryReason::StreamResumed);
        let url =
            format!("http://{}/v1/streams/{id}?offset={}", answer.target.address, self.offset);
        let call = answer.client.get(url).no_decompress();
        let limit = answer.pool.limits.between_bytes;
        self.phase = StreamPhase::Resuming(Box::pin(async move {
            let response = tokio::time::timeout(limit, call.send()).await.ok()?.ok()?;
            if !response.status().is_success() {
                return None;
            }
            let parts: AnswerParts = Box::pin(response);
            Some(parts)
        }));
        true
    }

    fn cut(&mut self) -> Poll<Option<Result<Bytes, AnswerCut>>> {
        self.phase = StreamPhase::Ended;
        self.finish_cut();
        Poll::Ready(Some(Err(AnswerCut)))
    }
}

impl Stream for AnswerStream {
    type Item = Result<Bytes, AnswerCut>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            match &mut self.phase {
                StreamPhase::Ended => return Poll::Ready(None),
                StreamPhase::Resuming(resume) => match resume.as_mut().poll(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(parts)) => {
                        self.parts = parts;
                        self.phase = StreamPhase::Reading;
                        if let Some(answer) = &self.answer {
                            let limit = answer.pool.limits.between_bytes;
                            self.between.as_mut().reset(tokio::time::Instant::now() + limit);
                        }
                    }
                    Poll::Ready(None) if self.begin_resume() => {}
                    Poll::Ready(None) => return self.cut(),
                },
                StreamPhase::Reading => match self.parts.as_mut().poll_next(context) {
                    Poll::Ready(Some(Ok(bytes))) => {
                        self.note_part(&bytes);
                        return Poll::Ready(Some(Ok(bytes)));
                    }
                    Poll::Ready(None) if self.end_seen() => {
                        self.phase = StreamPhase::Ended;
                        self.finish_whole();
                        return Poll::Ready(None);
                    }
                    Poll::Ready(_) => {
                        if !self.begin_resume() {
                            return self.cut();
                        }
                    }
                    Poll::Pending => {
                        if self.between.as_mut().poll(context).is_pending() {
                            return Poll::Pending;
                        }
                        if !self.begin_resume() {
                            return self.cut();
                        }
                    }
                },
            }
        }
    }
}
