//! An engine: answers records and event streams, says who it is, keeps a ledger, and fails on command.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use curlewcleat_platform::names::{SEAL_HEADER, WIRE_PROFILE};

use crate::http::{handle_by_route, AfterAnswer, PlainConnection, PlainRequest};

/// What an engine does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStep {
    /// Answers whole.
    Serve,
    /// Says that it did not run the request.
    Decline,
    /// Says that it did not run the request, and wants nothing from its sender for so long.
    Rest(Duration),
    /// Runs it and answers with this status.
    Fail(u16),
    /// Runs it and closes the connection without an answer.
    Close,
    /// Runs it, sends so many events and a part of the next, and closes the connection.
    Break(u64),
    /// Runs it and says nothing until the other side closes.
    Silent,
    /// Answers whole, and once more a moment later.
    Twice,
    /// Answers whole without a length, and closes the connection.
    Unframed,
    /// Runs it and answers without saying which request it answers.
    Unnamed,
    /// Says nothing for so long, then answers whole.
    Late(Duration),
    /// Sends so many events, says nothing for so long, and goes on to the end.
    Pause(u64, Duration),
}

/// One request that reached an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineRun {
    /// The caller's name of the try.
    pub attempt: String,
    /// Method and path.
    pub request: String,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// Account that it names.
    pub account: String,
    /// Key that it carries.
    pub key: String,
    /// Milliseconds that are left.
    pub time_left: u64,
    /// Event after which the stream goes on, 0 for its beginning.
    pub after: u64,
    /// Whether it began to run.
    pub ran: bool,
    /// Whether the other side closed before the end.
    pub left: bool,
    /// When it arrived.
    pub begun: Option<Instant>,
}

/// A request that has begun to run.
#[derive(Clone, Copy)]
struct RunningRequest<'a> {
    /// The caller's name of the try.
    attempt: &'a str,
    /// Its place in the runs.
    place: usize,
    /// Whether the answer is an event stream.
    streams: bool,
}

/// What ends an engine's process as soon as it begins to run a request with this body.
pub struct LethalBody {
    /// The body.
    pub body: Vec<u8>,
    /// Ends the process.
    pub end: Box<dyn FnOnce()>,
}

/// An engine in this process.
pub struct FleetEngine {
    /// Name of the engine, which a further start of it may have again.
    pub id: String,
    /// Unix millisecond of this start.
    pub born: u64,
    /// Events of a stream.
    pub events: u64,
    /// Time between two events.
    pub pace: Duration,
    steps: RefCell<VecDeque<EngineStep>>,
    otherwise: Cell<EngineStep>,
    runs: RefCell<Vec<EngineRun>>,
    lethal: RefCell<Option<LethalBody>>,
    says: RefCell<Vec<(String, String)>>,
}

impl FleetEngine {
    /// An engine that serves.
    pub fn new(id: &str, events: u64, pace: Duration) -> Rc<FleetEngine> {
        Rc::new(FleetEngine {
            id: id.to_string(),
            born: unix_millisecond(),
            events,
            pace,
            steps: RefCell::default(),
            otherwise: Cell::new(EngineStep::Serve),
            runs: RefCell::default(),
            lethal: RefCell::default(),
            says: RefCell::default(),
        })
    }

    /// The engine's next start: it knows nothing of before.
    pub fn started_again(&self) -> Rc<FleetEngine> {
        FleetEngine::new(&self.id, self.events, self.pace)
    }

    /// What it does with the next request; later ones queue behind.
    pub fn next(&self, step: EngineStep) {
        self.steps.borrow_mut().push_back(step);
    }

    /// What it does with requests for which nothing else is set.
    pub fn always(&self, step: EngineStep) {
        self.otherwise.set(step);
    }

    /// Headers that all its answers have from now on: what it says of itself.
    pub fn says(&self, headers: &[(&str, &str)]) {
        let owned = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
        *self.says.borrow_mut() = headers.iter().map(owned).collect();
    }

    /// Its process ends under requests with a body.
    pub fn set_lethal(&self, lethal: LethalBody) {
        *self.lethal.borrow_mut() = Some(lethal);
    }

    /// Ends where the body of a request is the one that is lethal.
    fn ends_under(&self, body: &[u8]) -> bool {
        let lethal = self.lethal.borrow_mut().take_if(|lethal| lethal.body == body);
        let Some(lethal) = lethal else { return false };
        (lethal.end)();
        true
    }

    /// What has reached it.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.runs.borrow().clone()
    }

    /// The whole stream of a try.
    pub fn expected_stream(attempt: &str, events: u64) -> String {
        (1..=events).map(|number| event(attempt, number)).collect()
    }

    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let attempt = request.header(WIRE_PROFILE.attempt_id).to_string();
        let place = self.note(&request, &attempt);
        let echo = (WIRE_PROFILE.attempt_id, attempt.as_str());
        let instance = request.header(WIRE_PROFILE.instance);
        if !instance.is_empty() && instance != self.id {
            connection.answer(WIRE_PROFILE.misdirected_status, &[echo], b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        let next = self.steps.borrow_mut().pop_front();
        let step = next.unwrap_or(self.otherwise.get());
        if let Some(rest) = declined(step) {
            let seconds = rest.map(|rest| rest.as_secs_f64().to_string());
            let says = self.says.borrow().clone();
            let mut headers = vec![echo, (WIRE_PROFILE.not_run, "1")];
            headers.extend(seconds.iter().map(|seconds| ("retry-after", seconds.as_str())));
            headers.extend(says.iter().map(|(name, value)| (name.as_str(), value.as_str())));
            connection.answer(503, &headers, b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        self.runs.borrow_mut()[place].ran = true;
        if self.ends_under(&request.body) {
            return Ok(AfterAnswer::Close);
        }
        let streams = request.path.contains("/stream/");
        self.run(step, RunningRequest { attempt: &attempt, place, streams }, connection).await
    }

    /// Runs a request in the way of a step.
    async fn run(
        &self,
        step: EngineStep,
        run: RunningRequest<'_>,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        match step {
            EngineStep::Fail(status) => {
                connection.answer(status, &borrowed(&self.sealed(run.attempt)), b"failed").await?;
                Ok(AfterAnswer::KeepOpen)
            }
            EngineStep::Close => Ok(AfterAnswer::Close),
            EngineStep::Unnamed => {
                connection.answer(200, &[], b"anonymous").await?;
                Ok(AfterAnswer::KeepOpen)
            }
            EngineStep::Silent => {
                connection.closed().await;
                self.runs.borrow_mut()[run.place].left = true;
                Ok(AfterAnswer::Close)
            }
            EngineStep::Unframed => self.answer_unframed(run, connection).await,
            EngineStep::Break(events) if run.streams => {
                self.break_off(run, events, connection).await
            }
            EngineStep::Twice => self.answer_twice(run, connection).await,
            EngineStep::Late(time) => self.answer_late(run, time, connection).await,
            EngineStep::Pause(events, time) if run.streams => {
                self.answer_with_pause(run, events, time, connection).await
            }
            _ => self.answer_whole(run, connection).await,
        }
    }

    async fn answer_whole(
        &self,
        run: RunningRequest<'_>,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        if run.streams {
            let left = self.events - self.after(run.place);
            if !self.stream(run, left, connection).await? {
                return Ok(AfterAnswer::Close);
            }
            connection.chunk(b"").await?;
        } else {
            tokio::time::sleep(self.pace).await;
            let body = record(run.attempt);
            connection.answer(200, &borrowed(&self.sealed(run.attempt)), body.as_bytes()).await?;
        }
        Ok(AfterAnswer::KeepOpen)
    }

    async fn answer_late(
        &self,
        run: RunningRequest<'_>,
        time: Duration,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        if self.is_left_within(run, time, connection).await {
            return Ok(AfterAnswer::Close);
        }
        self.answer_whole(run, connection).await
    }

    async fn answer_with_pause(
        &self,
        run: RunningRequest<'_>,
        events: u64,
        time: Duration,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let before = events.min(self.events - self.after(run.place));
        if !self.stream(run, before, connection).await?
            || self.is_left_within(run, time, connection).await
        {
            return Ok(AfterAnswer::Close);
        }
        let sent = self.after(run.place) + before;
        if !self.send_events(run, sent + 1..=self.events, connection).await {
            return Ok(AfterAnswer::Close);
        }
        connection.chunk(b"").await?;
        Ok(AfterAnswer::KeepOpen)
    }

    /// Whether the other side closes within this time.
    async fn is_left_within(
        &self,
        run: RunningRequest<'_>,
        time: Duration,
        connection: &mut PlainConnection,
    ) -> bool {
        let left = tokio::time::timeout(time, connection.closed()).await.is_ok();
        self.runs.borrow_mut()[run.place].left |= left;
        left
    }

    async fn answer_twice(
        &self,
        run: RunningRequest<'_>,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let first = self.answer_whole(run, connection).await?;
        if first == AfterAnswer::KeepOpen {
            tokio::time::sleep(self.pace).await;
            connection.answer(200, &borrowed(&self.sealed(run.attempt)), b"nobody asked").await?;
        }
        Ok(first)
    }

    async fn answer_unframed(
        &self,
        run: RunningRequest<'_>,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let mut head = "HTTP/1.1 200 OK\r\n".to_string();
        for (name, value) in self.sealed(run.attempt) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("Connection: close\r\n\r\n");
        let body = match run.streams {
            true => FleetEngine::expected_stream(run.attempt, self.events),
            false => record(run.attempt),
        };
        connection.write_raw(format!("{head}{body}").as_bytes()).await?;
        Ok(AfterAnswer::Close)
    }

    /// Sends so many events and half of the next.
    async fn break_off(
        &self,
        run: RunningRequest<'_>,
        events: u64,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        self.stream(run, events, connection).await?;
        let next = event(run.attempt, events + self.after(run.place) + 1);
        connection.chunk(&next.as_bytes()[..next.len() / 2]).await?;
        Ok(AfterAnswer::Close)
    }

    /// Headers of an answer by which its engine and its request are known.
    fn sealed(&self, attempt: &str) -> Vec<(String, String)> {
        let headers = [
            (WIRE_PROFILE.attempt_id, attempt),
            (SEAL_HEADER, &self.id),
            ("keep-alive", "timeout=10"),
        ];
        let sealed = headers.map(|(name, value)| (name.to_string(), value.to_string()));
        sealed.into_iter().chain(self.says.borrow().clone()).collect()
    }

    fn after(&self, place: usize) -> u64 {
        self.runs.borrow()[place].after
    }

    /// Sends so many events; gives whether the other side still reads.
    async fn stream(
        &self,
        run: RunningRequest<'_>,
        count: u64,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<bool> {
        let sealed = self.sealed(run.attempt);
        let mut headers = borrowed(&sealed);
        headers.push(("content-type", "text/event-stream"));
        connection.begin_chunked(&headers).await?;
        let after = self.after(run.place);
        Ok(self.send_events(run, after + 1..=after + count, connection).await)
    }

    /// Sends these events; gives whether the other side still reads.
    async fn send_events(
        &self,
        run: RunningRequest<'_>,
        numbers: RangeInclusive<u64>,
        connection: &mut PlainConnection,
    ) -> bool {
        for number in numbers {
            let left = tokio::time::timeout(self.pace, connection.closed()).await.is_ok();
            if left || connection.chunk(event(run.attempt, number).as_bytes()).await.is_err() {
                self.runs.borrow_mut()[run.place].left = true;
                return false;
            }
        }
        true
    }

    fn note(&self, request: &PlainRequest, attempt: &str) -> usize {
        let number = |name: &str| request.header(name).parse().unwrap_or(0);
        let mut runs = self.runs.borrow_mut();
        runs.push(EngineRun {
            attempt: attempt.to_string(),
            request: format!("{} {}", request.method, request.path),
            headers: request.headers.clone(),
            body: request.body.clone(),
            account: request.header(WIRE_PROFILE.account).to_string(),
            key: request.header("authorization").to_string(),
            time_left: number(WIRE_PROFILE.time_left),
            after: number(WIRE_PROFILE.last_event),
            ran: false,
            left: false,
            begun: Some(Instant::now()),
        });
        runs.len() - 1
    }
}

/// Whether a step declines, and for how long the engine wants to rest.
fn declined(step: EngineStep) -> Option<Option<Duration>> {
    match step {
        EngineStep::Decline => Some(None),
        EngineStep::Rest(time) => Some(Some(time)),
        _ => None,
    }
}

fn borrowed(headers: &[(String, String)]) -> Vec<(&str, &str)> {
    headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect()
}

/// The present time as engines tell it.
fn unix_millisecond() -> u64 {
    // A clock that stands before 1970 tells no time of a start.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn event(attempt: &str, number: u64) -> String {
    format!("id: {number}\ndata: {attempt} {number}\n\n")
}

/// The record of a try.
fn record(attempt: &str) -> String {
    format!("record of {attempt}")
}

handle_by_route!(FleetEngine);
