//! How the parts of an answer are passed on, and what is known of a stream that breaks.
//!
//! Owns: the position in the answer of one request, over all its attempts. Relies on: the pool's
//! `end_event` and `resumable` ([`ByteForm`]), numbered events ([`EventForm`]).

use actix_http::{Method, RequestHead, ResponseHead};
use bytes::Bytes;
use curlewcleat_core::{KeptAnswer, TargetPool};
use curlewcleat_targets::EventSplitter;

use crate::headers;

/// Longest answer in bytes that is kept with its idempotency key: a record of the services is about 800 bytes.
const KEPT_LIMIT: usize = 4 << 10;
/// Resumptions of one stream at most.
const RESUME_LIMIT: u32 = 3;
/// Header with which an engine names a stream that can be resumed.
const STREAM_ID: &str = "stream-id";
/// Bytes kept before the data of the end event: its field name and line ends.
/// `data: ` and two line ends need ten.
const END_EVENT_MARGIN: usize = 16;

/// The form of an answer.
pub trait AnswerForm {
    /// A target has begun to answer.
    fn begin(&mut self, head: &ResponseHead);

    /// Whether the head is held back until the first part can be passed on, because until then a
    /// further attempt may replace the answer.
    fn holds_head(&self) -> bool;

    /// Takes a part and gives what can be passed on now.
    fn push(&mut self, part: Bytes) -> Bytes;

    /// Whether the end of the body is the end of the answer.
    fn is_whole(&self) -> bool;

    /// What is left to pass on after the end.
    fn rest(&mut self) -> Bytes;

    /// A request to the same target for the rest of a cut answer, `None` where it has none.
    fn resumption(&mut self) -> Option<RequestHead>;

    /// The attempt broke; a further one may begin the answer anew after the last event.
    fn restart(&mut self);

    /// Number of the last event that was passed on.
    fn last_event(&self) -> Option<u64>;

    /// Whether the times of the parts tell the target's pace.
    fn is_paced(&self) -> bool;

    /// The whole answer, where it is small enough to be kept with its idempotency key.
    fn kept_answer(&mut self) -> Option<KeptAnswer>;
}

/// Bytes as they come. A cut stream is resumed at its offset by the target that runs it.
pub struct ByteForm {
    end_event: Option<String>,
    resumable: bool,
    status: u16,
    content_type: String,
    stream_id: Option<String>,
    offset: u64,
    resumed: u32,
    /// The last bytes, in which the end event is looked for.
    tail: Vec<u8>,
    kept: Option<Vec<u8>>,
}

impl ByteForm {
    /// The form of an answer from `pool`; `keyed` where it is kept with an idempotency key.
    pub fn new(pool: &TargetPool, keyed: bool) -> ByteForm {
        ByteForm {
            end_event: pool.end_event.clone(),
            resumable: pool.resumable,
            status: 0,
            content_type: String::new(),
            stream_id: None,
            offset: 0,
            resumed: 0,
            tail: Vec::new(),
            kept: keyed.then(Vec::new),
        }
    }

    fn note_tail(&mut self, bytes: &Bytes) {
        let Some(end) = &self.end_event else { return };
        let length = end.len() + END_EVENT_MARGIN;
        self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(length)..]);
        let surplus = self.tail.len().saturating_sub(length);
        self.tail.drain(..surplus);
    }

    fn keep(&mut self, bytes: &Bytes) {
        match &mut self.kept {
            Some(kept) if kept.len() + bytes.len() <= KEPT_LIMIT => kept.extend_from_slice(bytes),
            _ => self.kept = None,
        }
    }
}

impl AnswerForm for ByteForm {
    fn begin(&mut self, head: &ResponseHead) {
        self.status = head.status.as_u16();
        // A kept answer without a type is replayed with an empty one.
        let content_type = headers::text(&head.headers, "content-type").unwrap_or_default();
        self.content_type = content_type.to_string();
        let stream_id = headers::text(&head.headers, STREAM_ID).filter(|_| self.resumable);
        self.stream_id = stream_id.map(str::to_string);
    }

    fn holds_head(&self) -> bool {
        false
    }

    fn push(&mut self, part: Bytes) -> Bytes {
        self.offset += part.len() as u64;
        self.note_tail(&part);
        self.keep(&part);
        part
    }

    /// An event stream is whole after its end event; other answers carry their length.
    fn is_whole(&self) -> bool {
        match &self.end_event {
            Some(end) if self.content_type.starts_with("text/event-stream") => {
                String::from_utf8_lossy(&self.tail).contains(end.as_str())
            }
            _ => true,
        }
    }

    fn rest(&mut self) -> Bytes {
        Bytes::new()
    }

    fn resumption(&mut self) -> Option<RequestHead> {
        let id = self.stream_id.as_ref()?;
        if self.resumed >= RESUME_LIMIT {
            return None;
        }
        self.resumed += 1;
        let mut head = RequestHead::default();
        head.method = Method::GET;
        // An engine whose stream id makes no path cannot be asked for the rest.
        head.uri = format!("/v1/streams/{id}?offset={}", self.offset).parse().ok()?;
        Some(head)
    }

    fn restart(&mut self) {}

    fn last_event(&self) -> Option<u64> {
        None
    }

    fn is_paced(&self) -> bool {
        false
    }

    fn kept_answer(&mut self) -> Option<KeptAnswer> {
        let body = self.kept.take()?;
        let content_type = self.content_type.clone();
        Some(KeptAnswer { status: self.status, content_type, body })
    }
}

/// Whole events. A broken stream goes on after its last event in an attempt at another target.
#[derive(Default)]
pub struct EventForm {
    events: EventSplitter,
}

impl AnswerForm for EventForm {
    fn begin(&mut self, _: &ResponseHead) {}

    fn holds_head(&self) -> bool {
        true
    }

    fn push(&mut self, part: Bytes) -> Bytes {
        self.events.push(&part)
    }

    fn is_whole(&self) -> bool {
        true
    }

    fn rest(&mut self) -> Bytes {
        self.events.rest()
    }

    fn resumption(&mut self) -> Option<RequestHead> {
        None
    }

    fn restart(&mut self) {
        self.events.restart();
    }

    fn last_event(&self) -> Option<u64> {
        self.events.last()
    }

    fn is_paced(&self) -> bool {
        true
    }

    fn kept_answer(&mut self) -> Option<KeptAnswer> {
        None
    }
}
