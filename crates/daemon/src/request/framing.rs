//! Splits an answer into the parts that are relayed, and tracks the position from which an interrupted stream resumes.
//!
//! Owns: the position in the answer of one request, over all its attempts. Relies on: the pool's
//! `end_event` and `resumable` ([`ByteFraming`]), numbered events ([`EventFraming`]).

mod events;

use actix_http::{Method, RequestHead, ResponseHead};
use bytes::Bytes;
use curlewcleat_core::{KeptAnswer, TargetId, TargetPool};
use curlewcleat_targets::{
    BodyFrame, EventDeviation, FormExpectation, StreamIrregularity, StreamJoin, StreamShape,
};

use crate::headers;

pub use self::events::{EventFraming, StreamPosition};

/// Longest answer in bytes that is kept with its idempotency key. A record of the services has about 800 bytes.
const KEPT_ANSWER_LIMIT: usize = 4 << 10;
/// Maximum number of resumptions of one stream.
const RESUME_LIMIT: u32 = 3;
/// Header with the id of a stream that its engine can resume.
const STREAM_ID: &str = "stream-id";
/// Bytes kept in addition to the data of the end event, for its field name and line ends: `data: ` and two line ends
/// need ten.
const END_EVENT_MARGIN: usize = 16;

/// Splits the answer of one request into parts that may be relayed.
pub trait AnswerFraming {
    /// Starts the answer of an attempt with its head.
    fn begin(&mut self, head: &ResponseHead);

    /// Returns whether the head is delayed until the first part can be relayed, because until then a
    /// further attempt may replace the answer.
    fn delays_head(&self) -> bool;

    /// Adds a part and returns the bytes that can be relayed now.
    fn push(&mut self, part: Bytes) -> Bytes;

    /// Returns the number of bytes that are kept until they can be relayed.
    fn buffered(&self) -> usize;

    /// Returns whether the answer may be complete if its body, whose end is determined by `frame`, ends now.
    fn is_complete(&self, frame: BodyFrame) -> bool;

    /// Returns whether the latest attempt has brought nothing that follows on what the caller has.
    fn adds_nothing(&self) -> bool;

    /// Returns whether the events of the latest attempt may be all of the answer, by their numbers.
    fn may_end(&mut self) -> bool;

    /// Records that nothing proves the end of the latest attempt: another one may end there without any event.
    fn leave_end_unproven(&mut self);

    /// Returns whether an earlier attempt ended after the same event, so that this one confirms its end; if not, a later one
    /// does.
    fn agrees_on_end(&mut self) -> bool;

    /// Returns, once for each answer, that its end is doubted although its target lives.
    fn begins_doubt(&mut self) -> bool;

    /// Returns whether another attempt could go on after the end of the latest one.
    fn may_go_on(&self) -> bool;

    /// Returns the remaining bytes after the end of the body.
    fn take_remaining(&mut self) -> Bytes;

    /// Builds a request to the same target for the rest of an interrupted answer, `None` if it cannot be resumed.
    fn resume_request(&mut self) -> Option<RequestHead>;

    /// Prepares for another attempt after an interruption; that attempt may continue after the last event.
    fn restart(&mut self);

    /// Returns whether another attempt can continue the answer at the right place.
    fn is_resumable(&self) -> bool;

    /// Returns the number of the last event that the caller has.
    fn last_event(&self) -> Option<u64>;

    /// Returns whether the latest attempt does not continue the answer where it broke off, or states a wrong position.
    fn is_misplaced(&self) -> bool;

    /// Returns where the latest attempt continued the answer, once.
    fn take_join(&mut self) -> Option<StreamJoin>;

    /// Returns what was irregular about the events of the latest attempt, each kind once.
    fn take_irregularities(&mut self) -> Vec<StreamIrregularity>;

    /// Begins the events of an attempt at this target, which are compared with what is expected.
    fn expect(&mut self, expectation: FormExpectation, target: &TargetId);

    /// Returns, once, whether an attempt had a sound event in place of one that deviated.
    fn take_shown_damage(&mut self) -> bool;

    /// Returns whether an attempt ended because of an event that deviates from the form, and no other one has shown the
    /// right one.
    fn is_unresolved(&self) -> bool;

    /// Returns whether the latest of these attempts ended without the event that ends all other streams.
    fn is_end_unresolved(&self) -> bool;

    /// Returns the events that deviate from the form and were not returned yet.
    fn take_deviations(&mut self) -> Vec<EventDeviation>;

    /// Returns what the events of the answer look like, `None` where it does not consist of events, or began elsewhere.
    fn shape(&self) -> Option<&StreamShape>;

    /// Returns whether the times of the parts are reported as the target's streaming speed.
    fn reports_timing(&self) -> bool;

    /// Returns the complete answer if it is short enough to be kept with its idempotency key.
    fn kept_answer(&mut self) -> Option<KeptAnswer>;
}

/// Relays bytes as they arrive. The target that runs the request resumes an interrupted stream at its offset.
pub struct ByteFraming {
    end_event: Option<String>,
    resumable: bool,
    status: u16,
    content_type: String,
    stream_id: Option<String>,
    offset: u64,
    resumptions: u32,
    /// The last bytes, which are searched for the end event.
    tail: Vec<u8>,
    kept: Option<Vec<u8>>,
}

impl ByteFraming {
    /// Creates the framing of an answer from `pool`; `keyed` if the answer is kept with an idempotency key.
    pub fn new(pool: &TargetPool, keyed: bool) -> ByteFraming {
        ByteFraming {
            end_event: pool.end_event.clone(),
            resumable: pool.resumable,
            status: 0,
            content_type: String::new(),
            stream_id: None,
            offset: 0,
            resumptions: 0,
            tail: Vec::new(),
            kept: keyed.then(Vec::new),
        }
    }

    fn update_tail(&mut self, bytes: &Bytes) {
        let Some(end) = &self.end_event else { return };
        let length = end.len() + END_EVENT_MARGIN;
        self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(length)..]);
        let surplus = self.tail.len().saturating_sub(length);
        self.tail.drain(..surplus);
    }

    fn keep_body(&mut self, bytes: &Bytes) {
        match &mut self.kept {
            Some(kept) if kept.len() + bytes.len() <= KEPT_ANSWER_LIMIT => {
                kept.extend_from_slice(bytes)
            }
            _ => self.kept = None,
        }
    }
}

impl AnswerFraming for ByteFraming {
    fn begin(&mut self, head: &ResponseHead) {
        self.status = head.status.as_u16();
        // A kept answer without a type is replayed with an empty one.
        let content_type = headers::text(&head.headers, "content-type").unwrap_or_default();
        self.content_type = content_type.to_string();
        let stream_id = headers::text(&head.headers, STREAM_ID).filter(|_| self.resumable);
        self.stream_id = stream_id.map(str::to_string);
    }

    fn delays_head(&self) -> bool {
        false
    }

    fn push(&mut self, part: Bytes) -> Bytes {
        self.offset += part.len() as u64;
        self.update_tail(&part);
        self.keep_body(&part);
        part
    }

    fn buffered(&self) -> usize {
        0
    }

    /// An event stream is complete after its end event. Other answers have a length, so the end of the body suffices.
    fn is_complete(&self, _: BodyFrame) -> bool {
        match &self.end_event {
            Some(end) if self.content_type.starts_with("text/event-stream") => {
                String::from_utf8_lossy(&self.tail).contains(end.as_str())
            }
            _ => true,
        }
    }

    fn adds_nothing(&self) -> bool {
        false
    }

    fn may_end(&mut self) -> bool {
        true
    }

    fn leave_end_unproven(&mut self) {}

    fn agrees_on_end(&mut self) -> bool {
        true
    }

    fn begins_doubt(&mut self) -> bool {
        false
    }

    fn may_go_on(&self) -> bool {
        false
    }

    fn take_remaining(&mut self) -> Bytes {
        Bytes::new()
    }

    fn resume_request(&mut self) -> Option<RequestHead> {
        let id = self.stream_id.as_ref()?;
        if self.resumptions >= RESUME_LIMIT {
            return None;
        }
        self.resumptions += 1;
        let mut head = RequestHead::default();
        head.method = Method::GET;
        // A stream cannot be resumed if its id does not form a valid path.
        head.uri = format!("/v1/streams/{id}?offset={}", self.offset).parse().ok()?;
        Some(head)
    }

    fn restart(&mut self) {}

    fn is_resumable(&self) -> bool {
        true
    }

    fn last_event(&self) -> Option<u64> {
        None
    }

    fn is_misplaced(&self) -> bool {
        false
    }

    fn take_join(&mut self) -> Option<StreamJoin> {
        None
    }

    fn take_irregularities(&mut self) -> Vec<StreamIrregularity> {
        Vec::new()
    }

    fn expect(&mut self, _: FormExpectation, _: &TargetId) {}

    fn take_shown_damage(&mut self) -> bool {
        false
    }

    fn is_unresolved(&self) -> bool {
        false
    }

    fn is_end_unresolved(&self) -> bool {
        false
    }

    fn take_deviations(&mut self) -> Vec<EventDeviation> {
        Vec::new()
    }

    fn shape(&self) -> Option<&StreamShape> {
        None
    }

    fn reports_timing(&self) -> bool {
        false
    }

    fn kept_answer(&mut self) -> Option<KeptAnswer> {
        let body = self.kept.take()?;
        let content_type = self.content_type.clone();
        Some(KeptAnswer { status: self.status, content_type, body })
    }
}
