//! Stand-in of an engine: answers with records and event streams, identifies itself, records the requests that reach
//! it, and simulates faults.

mod cut_head;
mod lethal;
mod second_answer;
mod spoiled;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use curlewcleat_platform::names::{SEAL_HEADER, WIRE_PROFILE};

pub use self::lethal::{has_part, LethalRequests, LethalTrigger};
pub use self::second_answer::SecondAnswer;

use crate::http::{handle_by_route, AfterAnswer, PlainConnection, PlainRequest};

/// Behaviour of an engine for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStep {
    /// Sends a complete answer.
    Serve,
    /// Reports that it did not run the request.
    Decline,
    /// Reports that it did not run the request, and requests a rest of this duration from the sender.
    Rest(Duration),
    /// Runs the request and answers with this status.
    Fail(u16),
    /// Runs the request and closes the connection without an answer.
    Close,
    /// Runs the request, sends this number of events and half of the next, and closes the connection.
    Interrupt(u64),
    /// Runs the request and sends nothing until the caller closes the connection.
    Stall,
    /// Sends a complete answer, and a second one shortly afterwards.
    AnswerTwice,
    /// Sends a complete answer without a length, and closes the connection.
    WithoutLength,
    /// Sends an answer that is framed in this way and ends after this number of bytes of its body.
    Truncate(AnswerFrame, usize),
    /// Sends this number of bytes of the head of an answer that is framed in this way, at most all but the last, and closes
    /// the connection.
    StopInHead(AnswerFrame, usize),
    /// Sends this number of bytes of an answer without a length, and nothing more until the caller closes the
    /// connection.
    StallWithoutLength(usize),
    /// Runs the request and answers without the attempt id.
    WithoutAttemptId,
    /// Waits for this duration before it sends a complete answer.
    Delay(Duration),
    /// Sends this number of events, pauses for this duration, and sends the remaining events.
    Pause(u64, Duration),
    /// Sends a stream with [`UNNUMBERED_EVENT`] after the event with this number, and pauses for this duration behind it
    /// where the stream begins.
    PauseUnnumbered(u64, Duration),
    /// Sends no event of a stream but a complete answer without a length, and closes the connection.
    EmptyWithoutLength,
    /// Sends a stream from its first event on, also where it is to continue after a later one.
    StartOver,
    /// Leaves out one event where a stream is to continue.
    SkipOne,
    /// Runs the request and resets the connection without an answer.
    Reset,
    /// Sends this number of events and bytes that are no part of an answer, and closes the connection.
    Spoil(u64),
    /// Sends a complete answer, and the same one again.
    RepeatAnswer(SecondAnswer),
}

/// Part of the path of streams whose number of events follows in it.
pub const EVENTS_MARK: &str = "/events-";

/// An event without a number.
pub const UNNUMBERED_EVENT: &str = "data: without a number\n\n";

/// How the end of an answer is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFrame {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunks,
    /// By an orderly end of the connection.
    Close,
}

/// Behaviour for the first request of certain attempts, whichever engine it reaches.
pub type AttemptSteps = Rc<RefCell<BTreeMap<String, EngineStep>>>;

/// A request that reached an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineRun {
    /// The caller's attempt id.
    pub attempt: String,
    /// Method and path.
    pub request: String,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// Account header of the request.
    pub account: String,
    /// Authorization header of the request.
    pub key: String,
    /// Remaining time in milliseconds.
    pub time_left: u64,
    /// Number of the event after which the stream resumes, 0 for a new stream.
    pub after: u64,
    /// Whether the request began to run.
    pub ran: bool,
    /// Whether the caller closed the connection before the end of the answer.
    pub disconnected: bool,
    /// When the request arrived.
    pub begun: Option<Instant>,
}

/// A running request.
#[derive(Clone, Copy)]
struct RunningRequest<'a> {
    /// The caller's attempt id.
    attempt: &'a str,
    /// Index of the request in the recorded runs.
    run_index: usize,
    /// Whether the answer is an event stream.
    is_stream: bool,
    /// Number of events of the whole stream.
    events: u64,
}

/// An engine in this process.
pub struct FleetEngine {
    /// Id of the engine, which remains the same after a restart.
    pub id: String,
    /// Start of this instance in Unix milliseconds.
    pub born: u64,
    /// Number of events in a stream.
    pub events: u64,
    /// Time between two events.
    pub event_interval: Duration,
    steps: RefCell<VecDeque<EngineStep>>,
    default_step: Cell<EngineStep>,
    attempt_steps: RefCell<AttemptSteps>,
    runs: RefCell<Vec<EngineRun>>,
    lethal: RefCell<Option<LethalRequests>>,
    notices: RefCell<Vec<(String, String)>>,
    silent: tokio::sync::watch::Sender<bool>,
}

impl FleetEngine {
    /// Creates an engine that serves all requests.
    pub fn new(id: &str, events: u64, event_interval: Duration) -> Rc<FleetEngine> {
        Rc::new(FleetEngine {
            id: id.to_string(),
            born: unix_ms_now(),
            events,
            event_interval,
            steps: RefCell::default(),
            default_step: Cell::new(EngineStep::Serve),
            attempt_steps: RefCell::default(),
            runs: RefCell::default(),
            lethal: RefCell::default(),
            notices: RefCell::default(),
            silent: tokio::sync::watch::Sender::default(),
        })
    }

    /// Returns a new instance of the engine with the same id and no state of the previous one.
    pub fn restarted(&self) -> Rc<FleetEngine> {
        FleetEngine::new(&self.id, self.events, self.event_interval)
    }

    /// Queues the behaviour for one of the next requests.
    pub fn queue_step(&self, step: EngineStep) {
        self.steps.borrow_mut().push_back(step);
    }

    /// Removes the behaviours that were queued and not used.
    pub fn clear_steps(&self) {
        self.steps.borrow_mut().clear();
    }

    /// Sets the behaviour for requests for which no step is queued.
    pub fn set_default_step(&self, step: EngineStep) {
        self.default_step.set(step);
    }

    /// Sets the behaviour for the first requests of attempts, which other engines may share.
    pub fn set_attempt_steps(&self, steps: AttemptSteps) {
        *self.attempt_steps.borrow_mut() = steps;
    }

    /// Sets the notice headers that all answers have from now on.
    pub fn set_notices(&self, headers: &[(&str, &str)]) {
        let owned = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
        *self.notices.borrow_mut() = headers.iter().map(owned).collect();
    }

    /// Stops all work of the engine, which sends nothing and notices nothing, or continues it.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    async fn wait_while_silent(&self) {
        // The engine outlives the wait, and with it the sender.
        let _ = self.silent.subscribe().wait_for(|silent| !silent).await;
    }

    /// Makes the engine terminate when it runs one of these requests.
    pub fn set_lethal(&self, lethal: LethalRequests) {
        *self.lethal.borrow_mut() = Some(lethal);
    }

    /// Terminates the engine if the request is lethal, and returns whether it is.
    async fn terminate_if_lethal(&self, request: &PlainRequest) -> bool {
        let lethal = self.lethal.borrow_mut().take_if(|lethal| lethal.trigger.applies_to(request));
        let Some(lethal) = lethal else { return false };
        tokio::time::sleep(lethal.delay).await;
        (lethal.terminate)();
        true
    }

    /// Returns the requests that reached the engine.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.runs.borrow().clone()
    }

    /// Returns the complete stream of an attempt.
    pub fn expected_stream(attempt: &str, events: u64) -> String {
        (1..=events).map(|number| event(attempt, number)).collect()
    }

    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        self.wait_while_silent().await;
        connection.send_late_answer().await?;
        if request.path == WIRE_PROFILE.status_path {
            return self.answer_status(&request, connection).await;
        }
        let attempt = request.header(WIRE_PROFILE.attempt_id).to_string();
        let run_index = self.record_run(&request, &attempt);
        let attempt_header = (WIRE_PROFILE.attempt_id, attempt.as_str());
        let instance = request.header(WIRE_PROFILE.instance);
        if !instance.is_empty() && instance != self.id {
            connection.answer(WIRE_PROFILE.misdirected_status, &[attempt_header], b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        let step = self.next_step(&attempt);
        if let Some(rest) = requested_rest(step) {
            let seconds = rest.map(|rest| rest.as_secs_f64().to_string());
            let notices = self.notices.borrow().clone();
            let mut headers = vec![attempt_header, (WIRE_PROFILE.not_run, "1")];
            headers.extend(seconds.iter().map(|seconds| ("retry-after", seconds.as_str())));
            headers.extend(notices.iter().map(|(name, value)| (name.as_str(), value.as_str())));
            connection.answer(503, &headers, b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        self.runs.borrow_mut()[run_index].ran = true;
        if self.terminate_if_lethal(&request).await {
            return Ok(AfterAnswer::Close);
        }
        let is_stream = request.path.contains("/stream/");
        let events = stated_events(&request.path).unwrap_or(self.events);
        let run = RunningRequest { attempt: &attempt, run_index, is_stream, events };
        self.run(step, run, connection).await
    }

    /// Answers a status request, which takes no slot and runs nothing.
    async fn answer_status(
        &self,
        request: &PlainRequest,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let status = match request.header(WIRE_PROFILE.instance) == self.id {
            true => 200,
            false => WIRE_PROFILE.misdirected_status,
        };
        connection.answer(status, &[], b"{}").await?;
        Ok(AfterAnswer::KeepOpen)
    }

    /// Returns the behaviour for a request.
    fn next_step(&self, attempt: &str) -> EngineStep {
        let attempt_step = self.attempt_steps.borrow().borrow_mut().remove(attempt);
        let next = attempt_step.or_else(|| self.steps.borrow_mut().pop_front());
        next.unwrap_or(self.default_step.get())
    }

    /// Runs a request with the behaviour of a step.
    async fn run(
        &self,
        step: EngineStep,
        run: RunningRequest<'_>,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        if let Some((frame, length)) = truncation(step) {
            return self.answer_truncated(run, frame, length, connection).await;
        }
        match step {
            EngineStep::Fail(status) => {
                connection
                    .answer(status, &borrowed(&self.identity_headers(run.attempt)), b"failed")
                    .await?;
                Ok(AfterAnswer::KeepOpen)
            }
            EngineStep::Close => Ok(AfterAnswer::Close),
            EngineStep::WithoutAttemptId => {
                connection.answer(200, &[], b"anonymous").await?;
                Ok(AfterAnswer::KeepOpen)
            }
            EngineStep::Stall => {
                connection.closed().await;
                self.runs.borrow_mut()[run.run_index].disconnected = true;
                Ok(AfterAnswer::Close)
            }
            EngineStep::StallWithoutLength(length) => {
                self.answer_truncated(run, AnswerFrame::Close, length, connection).await?;
                connection.closed().await;
                Ok(AfterAnswer::Close)
            }
            EngineStep::StopInHead(frame, length) => {
                self.stop_in_head(run, frame, length, connection).await
            }
            EngineStep::Interrupt(events) if run.is_stream => {
                self.answer_interrupted(run, events, connection).await
            }
            EngineStep::Reset => {
                connection.reset_on_close()?;
                Ok(AfterAnswer::Close)
            }
            EngineStep::Spoil(events) => self.answer_spoiled(run, events, connection).await,
            EngineStep::RepeatAnswer(second) => self.answer_again(run, second, connection).await,
            EngineStep::AnswerTwice => self.answer_twice(run, connection).await,
            EngineStep::Delay(time) => self.answer_delayed(run, time, connection).await,
            EngineStep::Pause(events, time) if run.is_stream => {
                self.answer_with_pause(run, events, time, connection).await
            }
            EngineStep::PauseUnnumbered(events, time) if run.is_stream => {
                self.answer_unnumbered(run, events, time, connection).await
            }
            EngineStep::EmptyWithoutLength => {
                self.answer_truncated(run, AnswerFrame::Close, 0, connection).await
            }
            EngineStep::StartOver => {
                self.runs.borrow_mut()[run.run_index].after = 0;
                self.answer_complete(run, connection).await
            }
            EngineStep::SkipOne => {
                self.runs.borrow_mut()[run.run_index].after += 1;
                self.answer_complete(run, connection).await
            }
            _ => self.answer_complete(run, connection).await,
        }
    }

    async fn answer_complete(
        &self,
        run: RunningRequest<'_>,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        if run.is_stream {
            let remaining = run.events.saturating_sub(self.after(run.run_index));
            if !self.stream(run, remaining, connection).await? {
                return Ok(AfterAnswer::Close);
            }
            connection.chunk(b"").await?;
        } else {
            tokio::time::sleep(self.event_interval).await;
            let body = record(run.attempt);
            connection
                .answer(200, &borrowed(&self.identity_headers(run.attempt)), body.as_bytes())
                .await?;
        }
        Ok(AfterAnswer::KeepOpen)
    }

    async fn answer_delayed(
        &self,
        run: RunningRequest<'_>,
        time: Duration,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        if self.disconnects_within(run, time, connection).await {
            return Ok(AfterAnswer::Close);
        }
        self.answer_complete(run, connection).await
    }

    async fn answer_with_pause(
        &self,
        run: RunningRequest<'_>,
        events: u64,
        time: Duration,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let before = events.min(run.events - self.after(run.run_index));
        if !self.stream(run, before, connection).await? {
            return Ok(AfterAnswer::Close);
        }
        if self.disconnects_within(run, time, connection).await {
            return Ok(AfterAnswer::Close);
        }
        let sent = self.after(run.run_index) + before;
        if !self.send_events(run, sent + 1..=run.events, connection).await {
            return Ok(AfterAnswer::Close);
        }
        connection.chunk(b"").await?;
        Ok(AfterAnswer::KeepOpen)
    }

    async fn answer_unnumbered(
        &self,
        run: RunningRequest<'_>,
        events: u64,
        time: Duration,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let after = self.after(run.run_index);
        if !self.stream(run, events.saturating_sub(after), connection).await? {
            return Ok(AfterAnswer::Close);
        }
        connection.chunk(UNNUMBERED_EVENT.as_bytes()).await?;
        if after == 0 && self.disconnects_within(run, time, connection).await {
            return Ok(AfterAnswer::Close);
        }
        if !self.send_events(run, after.max(events) + 1..=run.events, connection).await {
            return Ok(AfterAnswer::Close);
        }
        connection.chunk(b"").await?;
        Ok(AfterAnswer::KeepOpen)
    }

    /// Waits for this time and returns whether the caller closed the connection within it.
    async fn disconnects_within(
        &self,
        run: RunningRequest<'_>,
        time: Duration,
        connection: &mut PlainConnection,
    ) -> bool {
        let disconnected = tokio::time::timeout(time, connection.closed()).await.is_ok();
        self.runs.borrow_mut()[run.run_index].disconnected |= disconnected;
        disconnected
    }

    async fn answer_twice(
        &self,
        run: RunningRequest<'_>,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let first = self.answer_complete(run, connection).await?;
        if first == AfterAnswer::KeepOpen {
            tokio::time::sleep(self.event_interval).await;
            connection
                .answer(200, &borrowed(&self.identity_headers(run.attempt)), b"nobody asked")
                .await?;
        }
        Ok(first)
    }

    /// Sends an answer with the first bytes of its body.
    async fn answer_truncated(
        &self,
        run: RunningRequest<'_>,
        frame: AnswerFrame,
        length: usize,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let body = match run.is_stream {
            true => (self.after(run.run_index) + 1..=run.events)
                .map(|n| event(run.attempt, n))
                .collect(),
            false => record(run.attempt),
        };
        let body = &body.as_bytes()[..length.min(body.len())];
        let mut headers = self.identity_headers(run.attempt);
        if run.is_stream {
            headers.push(("content-type".to_string(), "text/event-stream".to_string()));
        }
        let headers = borrowed(&headers);
        match frame {
            AnswerFrame::Length => connection.answer(200, &headers, body).await?,
            AnswerFrame::Chunks => {
                connection.begin_chunked(&headers).await?;
                if !body.is_empty() {
                    connection.chunk(body).await?;
                }
                connection.chunk(b"").await?;
            }
            AnswerFrame::Close => {
                connection.begin_unframed(&headers).await?;
                connection.write_raw(body).await?;
                return Ok(AfterAnswer::Close);
            }
        }
        Ok(AfterAnswer::KeepOpen)
    }

    /// Sends this number of events and half of the next.
    async fn answer_interrupted(
        &self,
        run: RunningRequest<'_>,
        events: u64,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let after = self.after(run.run_index);
        let events = events.min(run.events.saturating_sub(after + 1));
        self.stream(run, events, connection).await?;
        let next = event(run.attempt, events + after + 1);
        connection.chunk(&next.as_bytes()[..next.len() / 2]).await?;
        Ok(AfterAnswer::Close)
    }

    /// Returns the headers that identify engine and request, with the notices of the engine.
    fn identity_headers(&self, attempt: &str) -> Vec<(String, String)> {
        let headers = [
            (WIRE_PROFILE.attempt_id, attempt),
            (SEAL_HEADER, &self.id),
            ("keep-alive", "timeout=10"),
        ];
        let identity_headers = headers.map(|(name, value)| (name.to_string(), value.to_string()));
        identity_headers.into_iter().chain(self.notices.borrow().clone()).collect()
    }

    fn after(&self, run_index: usize) -> u64 {
        self.runs.borrow()[run_index].after
    }

    /// Sends the head of a stream and this number of events; returns whether the caller is still connected.
    async fn stream(
        &self,
        run: RunningRequest<'_>,
        count: u64,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<bool> {
        let identity_headers = self.identity_headers(run.attempt);
        let mut headers = borrowed(&identity_headers);
        headers.push(("content-type", "text/event-stream"));
        connection.begin_chunked(&headers).await?;
        let after = self.after(run.run_index);
        Ok(self.send_events(run, after + 1..=after + count, connection).await)
    }

    /// Sends these events; returns whether the caller is still connected.
    async fn send_events(
        &self,
        run: RunningRequest<'_>,
        numbers: RangeInclusive<u64>,
        connection: &mut PlainConnection,
    ) -> bool {
        for number in numbers {
            let disconnected =
                tokio::time::timeout(self.event_interval, connection.closed()).await.is_ok();
            self.wait_while_silent().await;
            if disconnected
                || connection.chunk(event(run.attempt, number).as_bytes()).await.is_err()
            {
                self.runs.borrow_mut()[run.run_index].disconnected = true;
                return false;
            }
        }
        true
    }

    fn record_run(&self, request: &PlainRequest, attempt: &str) -> usize {
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
            disconnected: false,
            begun: Some(Instant::now()),
        });
        runs.len() - 1
    }
}

/// Returns `Some` if a step declines the request, with the duration of the requested rest if there is one.
fn requested_rest(step: EngineStep) -> Option<Option<Duration>> {
    match step {
        EngineStep::Decline => Some(None),
        EngineStep::Rest(time) => Some(Some(time)),
        _ => None,
    }
}

/// Returns how the answer of a step is framed and after how many bytes it ends, if the step states it.
fn truncation(step: EngineStep) -> Option<(AnswerFrame, usize)> {
    match step {
        EngineStep::WithoutLength => Some((AnswerFrame::Close, usize::MAX)),
        EngineStep::Truncate(frame, length) => Some((frame, length)),
        _ => None,
    }
}

fn borrowed(headers: &[(String, String)]) -> Vec<(&str, &str)> {
    headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect()
}

/// Returns the current time in Unix milliseconds.
fn unix_ms_now() -> u64 {
    // A clock before 1970 yields 0.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the number of events that the path of a request states behind [`EVENTS_MARK`].
pub fn stated_events(path: &str) -> Option<u64> {
    let (_, stated) = path.split_once(EVENTS_MARK)?;
    stated.split('/').next()?.parse().ok()
}

fn event(attempt: &str, number: u64) -> String {
    format!("id: {number}\ndata: {attempt} {number}\n\n")
}

/// Returns the record of an attempt.
fn record(attempt: &str) -> String {
    format!("record of {attempt}")
}

handle_by_route!(FleetEngine);
