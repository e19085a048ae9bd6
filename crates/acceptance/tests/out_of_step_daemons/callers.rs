//! Callers whose streams break off, and who take them up at one daemon after another until they are whole.

use std::time::{Duration, Instant};

use actix_http::header::{self, HeaderName, HeaderValue};
use anyhow::{Context, Result};
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_targets::{collect, AnswerBody, ConnectionPool};
use futures_util::StreamExt;
use tokio::time::{sleep, sleep_until, timeout};

/// Events of a stream.
pub const EVENTS: u64 = 6;
/// Time that callers have for a stream, over all of their attempts.
pub const CALLER_LIMIT: Duration = Duration::from_secs(5);
/// Time within which a caller makes attempts to begin a stream, or to take it up.
const ATTEMPTS_LIMIT: Duration = Duration::from_secs(2);
/// Time for which a caller waits for the head of an answer: a daemon may stand still.
const HEAD_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest wait between two attempts.
const LONGEST_WAIT: Duration = Duration::from_millis(200);
/// Longest text of a refusal, in bytes.
const TEXT_LIMIT: usize = 4_096;
const PATH: &str = "/resumed/stream/a";

/// An event that a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedEvent {
    /// The attempt that the engine ran.
    pub attempt: String,
    /// Number of the event.
    pub number: u64,
}

/// An answer without a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRefusal {
    /// The refused attempt.
    pub attempt: String,
    /// The daemon that refused it.
    pub entry: String,
    /// Status of the answer.
    pub status: u16,
    /// Time after which the caller may try again.
    pub retry_after: Option<Duration>,
    /// Body of the answer.
    pub text: String,
}

/// What a caller does.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Name of the stream; its attempts begin with it.
    pub name: String,
    /// When the stream is to begin.
    pub begin: Instant,
    /// The daemons at which it may begin: the first one is asked once, then the others in turn.
    pub entries: Vec<String>,
    /// When the caller closes its connection, if it does.
    pub disconnect: Option<Instant>,
    /// When the stream is taken up at the earliest.
    pub take_up: Instant,
    /// The daemons at which the stream is taken up, in the order in which they are asked.
    pub take_up_entries: Vec<String>,
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct CallerRecord {
    /// Name of the stream.
    pub name: String,
    /// The events, in the order in which they arrived.
    pub events: Vec<ReceivedEvent>,
    /// The refusals, in the order in which they arrived.
    pub refusals: Vec<StreamRefusal>,
    /// Attempts that got no answer.
    pub unanswered: usize,
    /// Whether the stream broke off after its first event.
    pub is_broken: bool,
    /// The daemon that answered the last attempt to take it up with a stream.
    pub went_on_at: Option<String>,
}

impl CallerRecord {
    /// Returns whether the stream has begun.
    pub fn is_begun(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns whether every event has arrived once and in order.
    pub fn is_whole(&self) -> bool {
        self.events.len() as u64 == EVENTS && self.is_in_order()
    }

    /// Returns whether no event between the first and the last is missing or has arrived twice.
    pub fn is_in_order(&self) -> bool {
        self.events.iter().map(|event| event.number).eq(1..=self.events.len() as u64)
    }
}

/// A caller of one stream.
struct StreamCaller {
    plan: CallerPlan,
    record: CallerRecord,
    attempts: usize,
}

/// Carries out the plan of a caller.
pub async fn run_caller(plan: CallerPlan) -> CallerRecord {
    let record = CallerRecord { name: plan.name.clone(), ..CallerRecord::default() };
    let mut caller = StreamCaller { plan, record, attempts: 0 };
    sleep_until(caller.plan.begin.into()).await;
    caller.begin().await;
    if caller.record.is_begun() && !caller.record.is_whole() {
        caller.record.is_broken = true;
        sleep_until(caller.plan.take_up.into()).await;
        caller.take_up().await;
    }
    caller.record
}

impl StreamCaller {
    async fn begin(&mut self) {
        let since = Instant::now();
        let entries = self.plan.entries.clone();
        // Another fleet may get the address of the first one after it was killed.
        for entry in entries.iter().take(1).chain(entries.iter().skip(1).cycle()) {
            if since.elapsed() > ATTEMPTS_LIMIT {
                return;
            }
            let Some(body) = self.attempt(entry).await else { continue };
            let end = self.plan.disconnect.unwrap_or(since + CALLER_LIMIT);
            // A stream that is still under way is broken off by its caller.
            let _ = tokio::time::timeout_at(end.into(), self.read(body)).await;
            if self.record.is_begun() {
                return;
            }
        }
    }

    async fn take_up(&mut self) {
        let since = Instant::now();
        for entry in self.plan.take_up_entries.clone().into_iter().cycle() {
            if self.record.is_whole() || since.elapsed() > ATTEMPTS_LIMIT {
                return;
            }
            if let Some(body) = self.attempt(&entry).await {
                self.record.went_on_at = Some(entry);
                // A caller that is sent something out of order notices it in its record.
                let _ = timeout(HEAD_LIMIT, self.read(body)).await;
            }
        }
    }

    /// Sends an attempt; waits before it returns if there is no stream.
    async fn attempt(&mut self, entry: &str) -> Option<AnswerBody> {
        self.attempts += 1;
        let attempt = match self.attempts {
            1 => self.plan.name.clone(),
            number => format!("{}+{number}", self.plan.name),
        };
        let time_left = CALLER_LIMIT.saturating_sub(self.plan.begin.elapsed());
        let last = self.record.events.first().zip(self.record.events.last());
        let resumed = last.map(|(first, last)| (first.attempt.as_str(), last.number));
        let sent = timeout(HEAD_LIMIT, send(entry, &attempt, time_left, resumed)).await;
        let wait = match sent.ok().and_then(Result::ok) {
            Some((200, _, body)) => return Some(body),
            Some((status, retry_after, body)) => {
                let text = timeout(HEAD_LIMIT, read_text(body)).await.unwrap_or_default();
                let entry = entry.to_string();
                let refusal = StreamRefusal { attempt, entry, status, retry_after, text };
                self.record.refusals.push(refusal);
                retry_after.unwrap_or(LONGEST_WAIT)
            }
            None => {
                self.record.unanswered += 1;
                Duration::from_millis(20)
            }
        };
        sleep(wait.min(LONGEST_WAIT)).await;
        None
    }

    /// Records the events of an answer until it ends or is cut.
    async fn read(&mut self, mut body: AnswerBody) {
        let mut text = String::new();
        while let Some(Ok(part)) = body.next().await {
            text.push_str(&String::from_utf8_lossy(&part));
            while let Some((event, rest)) = text.split_once("\n\n") {
                self.record.events.extend(parse_event(event));
                text = rest.to_string();
            }
        }
    }
}

async fn read_text(body: AnswerBody) -> String {
    let bytes = collect(body, TEXT_LIMIT).await.unwrap_or_default();
    String::from_utf8_lossy(&bytes).to_string()
}

fn parse_event(text: &str) -> Option<ReceivedEvent> {
    let (id, data) = text.strip_prefix("id: ")?.split_once("\ndata: ")?;
    let (attempt, _) = data.split_once(' ')?;
    Some(ReceivedEvent { attempt: attempt.to_string(), number: id.parse().ok()? })
}

/// Sends a request for a stream, or for the rest of the stream of the attempt and behind the event in `resumed`.
async fn send(
    entry: &str,
    attempt: &str,
    time_left: Duration,
    resumed: Option<(&str, u64)>,
) -> Result<(u16, Option<Duration>, AnswerBody)> {
    let mut head = fleet_head(PATH, attempt)?;
    let mut set = |name: &'static str, value: String| -> Result<()> {
        head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(&value)?);
        Ok(())
    };
    set(WIRE_PROFILE.time_left, time_left.as_millis().to_string())?;
    if let Some((begun_as, last)) = resumed {
        set(WIRE_PROFILE.last_event, last.to_string())?;
        set(WIRE_PROFILE.resumes, begun_as.to_string())?;
    }
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(1)).await?;
    let answer = connection.exchange(head, Bytes::from(attempt.to_string())).await?;
    let retry_after = answer.head.headers.get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let retry_after = retry_after.map(Duration::from_secs_f64);
    Ok((answer.head.status.as_u16(), retry_after, answer.body))
}

/// Sends a request for a stream and reads it to its end.
pub async fn get_whole_stream(entry: &str, attempt: &str) -> Result<()> {
    let (status, _, mut body) = send(entry, attempt, CALLER_LIMIT, None).await?;
    anyhow::ensure!(status == 200, "{attempt}: {status}");
    while let Some(part) = body.next().await {
        part.context("the stream is cut")?;
    }
    Ok(())
}
