//! The answer of a target on its way to the caller: resumed where it is cut, cut where it cannot be
//! resumed, given up where the caller no longer reads.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::{Method, RequestHead};
use bytes::Bytes;
use curlewcleat_core::{
    AttemptEnd, KeptAnswer, RequestId, RetryReason, TargetEntry, TargetPool, Verdict,
};
use curlewcleat_node::NodeEvent;
use curlewcleat_targets::{AnswerBody, ConnectionPool, TargetAnswer};
use futures_util::future::LocalBoxFuture;
use futures_util::Stream;

use crate::context::{DaemonContext, PendingRequest};
use crate::headers;

/// Longest answer that is kept with its key.
const KEPT_LIMIT: usize = 4 << 10;
/// Resumptions of one stream at most.
const RESUME_LIMIT: u32 = 3;
/// Time to connect for a resumption.
const RESUME_CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Header with which an engine names a stream that can be resumed.
const STREAM_ID: &str = "stream-id";
/// Looks at a caller within the time for which it may leave a part unread.
const LOOKS: u32 = 4;

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
    Resuming(LocalBoxFuture<'static, Option<AnswerBody>>),
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
    /// Connections of the pool, for resumption.
    pub connections: ConnectionPool,
}

/// Passes the parts of an answer on as they come, and tells the node how it ended. An answer that
/// was cut ends with an error, so that the caller's connection is cut too.
pub struct AnswerStream {
    parts: AnswerBody,
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
    pub fn new(response: TargetAnswer, answer: AnswerContext) -> AnswerStream {
        let content_type =
            headers::text(&response.head.headers, "content-type").unwrap_or("").to_string();
        let stream_id = headers::text(&response.head.headers, STREAM_ID).map(str::to_string);
        AnswerStream {
            status: response.head.status.as_u16(),
            content_type,
            stream_id: stream_id.filter(|_| answer.pool.resumable),
            between: Box::pin(tokio::time::sleep(answer.pool.limits.between_bytes)),
            kept: answer.keyed.then(Vec::new),
            parts: response.body,
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

    /// The caller no longer reads: dropping what is left cancels the request.
    fn give_up(mut self) {
        let Some(answer) = self.answer.take() else { return };
        spdlog::warn!("caller_stalled", kv: { request = answer.request.to_string(), offset = self.offset });
        answer.context.metrics.caller_stalled();
    }

    /// Begins to resume a cut stream, if that is possible.
    fn begin_resume(&mut self) -> bool {
        let (Some(answer), Some(id)) = (&self.answer, &self.stream_id) else { return false };
        if self.resumed >= RESUME_LIMIT {
            return false;
        }
        self.resumed += 1;
        answer.context.metrics.retry(RetryReason::StreamResumed);
        let path = format!("/v1/streams/{id}?offset={}", self.offset);
        let resume = resume(answer.connections.clone(), answer.target.address.clone(), path);
        let limit = answer.pool.limits.between_bytes;
        self.phase = StreamPhase::Resuming(Box::pin(async move {
            tokio::time::timeout(limit, resume).await.ok().flatten()
        }));
        true
    }

    fn cut(&mut self) -> Poll<Option<Result<Bytes, AnswerCut>>> {
        self.phase = StreamPhase::Ended;
        self.finish_cut();
        Poll::Ready(Some(Err(AnswerCut)))
    }
}

/// Asks the target for the rest of a stream; nothing runs again.
async fn resume(connections: ConnectionPool, address: String, path: String) -> Option<AnswerBody> {
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri = path.parse().ok()?;
    let connection = connections.connect(&address, RESUME_CONNECT_LIMIT).await.ok()?;
    let answer = connection.exchange(head, ()).await.ok()?;
    answer.head.status.is_success().then_some(answer.body)
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
                StreamPhase::Reading => match Pin::new(&mut self.parts).poll_next(context) {
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

struct WatchState {
    /// `None` once it was given up.
    stream: Option<AnswerStream>,
    /// When a part was last handed out that the caller has not come back from.
    handed: Option<Instant>,
}

/// An answer whose caller is watched: one that leaves parts unread for too long keeps neither the
/// target's slot nor its place here.
pub struct WatchedAnswer {
    state: Rc<RefCell<WatchState>>,
}

impl WatchedAnswer {
    /// Watches the reader of a stream.
    pub fn new(stream: AnswerStream, limit: Duration) -> WatchedAnswer {
        let state = Rc::new(RefCell::new(WatchState { stream: Some(stream), handed: None }));
        actix_rt::spawn(watch(Rc::downgrade(&state), limit));
        WatchedAnswer { state }
    }
}

async fn watch(state: Weak<RefCell<WatchState>>, limit: Duration) {
    loop {
        tokio::time::sleep(limit / LOOKS).await;
        let Some(state) = state.upgrade() else { return };
        let mut state = state.borrow_mut();
        if state.handed.is_some_and(|handed| handed.elapsed() >= limit) {
            if let Some(stream) = state.stream.take() {
                stream.give_up();
            }
            return;
        }
    }
}

impl Stream for WatchedAnswer {
    type Item = Result<Bytes, AnswerCut>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let mut state = self.state.borrow_mut();
        let Some(stream) = state.stream.as_mut() else { return Poll::Ready(Some(Err(AnswerCut))) };
        let polled = Pin::new(stream).poll_next(context);
        // While the target is awaited it is not the caller that holds things up.
        state.handed = matches!(polled, Poll::Ready(Some(Ok(_)))).then(Instant::now);
        polled
    }
}
