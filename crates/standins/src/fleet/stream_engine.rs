//! Stand-in of an engine in a process of its own, which a test can stop and continue. Each of its events names the
//! stream, the service, the engine and the run that made it, so that a caller can check what it gets.
//!
//! Owns: the events of its streams. Relies on: callers that name the attempt that began a stream.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use clap::Args;
use curlewcleat_platform::names::{SEAL_HEADER, WIRE_PROFILE};

use super::engine::stated_events;
use super::stream_damage::{DamageOptions, DamagedRun, StreamDamage};
use super::stream_fault::StreamFault;
use super::stream_record::{answer_record, RecordFault, RECORD_MARK};
use super::stream_runs::run_line;
use super::stream_script::ScriptedFault;
use super::stream_trouble::{EngineTrouble, StreamTrouble, TROUBLE_PATH};
use super::stream_unread::UnreadCut;
use crate::http::{handle_by_route, AfterAnswer, PlainConnection, PlainRequest};

/// Time before the head, before the first event and before the end of an answer.
pub(super) const PHASE: Duration = Duration::from_millis(25);
/// Number between two events of a stream whose path has [`WIDE_MARK`].
const WIDE_STEP: u64 = 7;
/// Part of the path of streams whose numbers do not rise by one.
pub const WIDE_MARK: &str = "/wide";
/// Part of the path of streams that end with their connection.
pub const UNFRAMED_MARK: &str = "/unframed";
/// Part of the path of streams whose length is stated.
pub const MEASURED_MARK: &str = "/measured";

/// Options of an engine.
#[derive(Args, Debug)]
pub struct StreamEngineOptions {
    /// Address to listen on.
    #[arg(long)]
    pub address: String,
    /// Id of the engine.
    #[arg(long)]
    pub id: String,
    /// Service of the engine.
    #[arg(long)]
    pub service: String,
    /// Number of events in a stream.
    #[arg(long)]
    pub events: u64,
    /// Fault of the numbers in every second run.
    #[arg(long)]
    pub fault: Option<StreamFault>,
    /// Damage of the bytes in a share of the runs.
    #[command(flatten)]
    pub damage: DamageOptions,
}

/// An event that a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number of the event.
    pub number: u64,
    /// The attempt that began the stream.
    pub stream: String,
    /// Service of the engine.
    pub service: String,
    /// Engine and number of its run.
    pub run: String,
}

impl StreamEvent {
    /// Reads an event; `None` if it is not one of this stand-in.
    pub fn read(text: &str) -> Option<StreamEvent> {
        let (id, data) = text.strip_prefix("id: ")?.split_once("\ndata: ")?;
        let mut fields = data.split(' ').map(str::to_string);
        let (stream, service, run) = (fields.next()?, fields.next()?, fields.next()?);
        let number = id.parse().ok()?;
        let ends = fields.next().as_deref() == Some(id) && fields.next().as_deref() == Some("end");
        ends.then_some(StreamEvent { number, stream, service, run })
    }

    /// Returns the bytes of the event.
    pub fn text(&self) -> String {
        format!("id: {}\n{}", self.number, self.data_text())
    }

    /// Returns the bytes of the event without its number.
    pub fn data_text(&self) -> String {
        format!("data: {}\n\n", self.data())
    }

    /// Returns the content of the event.
    pub fn data(&self) -> String {
        let StreamEvent { number, stream, service, run } = self;
        format!("{stream} {service} {run} {number} end")
    }
}

/// Returns the difference between the numbers of two events of a stream.
pub fn number_step(path: &str) -> u64 {
    if path.contains(WIDE_MARK) {
        WIDE_STEP
    } else {
        1
    }
}

/// An engine.
pub struct StreamEngine {
    pub(super) options: StreamEngineOptions,
    runs: Cell<u64>,
    pub(super) trouble: EngineTrouble,
}

impl StreamEngine {
    /// Creates an engine.
    pub fn new(options: StreamEngineOptions) -> Rc<StreamEngine> {
        let trouble = EngineTrouble::new(&options.id);
        Rc::new(StreamEngine { options, runs: Cell::new(0), trouble })
    }

    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        connection.send_late_answer().await?;
        let attempt = request.header(WIRE_PROFILE.attempt_id);
        let attempt_header = (WIRE_PROFILE.attempt_id, attempt);
        let instance = request.header(WIRE_PROFILE.instance);
        if !instance.is_empty() && instance != self.options.id {
            connection.answer(WIRE_PROFILE.misdirected_status, &[attempt_header], b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        if request.path == WIRE_PROFILE.status_path {
            connection.answer(200, &[], b"{}").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        if request.path.starts_with(RECORD_MARK) {
            let id = self.options.id.as_str();
            let fault = RecordFault::of(&request.path, id);
            return answer_record(attempt, id, fault, connection).await;
        }
        if let Some(name) = request.path.strip_prefix(TROUBLE_PATH) {
            self.trouble.set(name)?;
            connection.answer(200, &[], b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        self.run(&request, connection).await
    }

    /// Runs the request of a stream, in trouble or not.
    async fn run(
        &self,
        request: &PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let trouble = self.trouble.of_run();
        let attempt = (WIRE_PROFILE.attempt_id, request.header(WIRE_PROFILE.attempt_id));
        if trouble == Some(StreamTrouble::Declined) {
            connection.answer(503, &[attempt, (WIRE_PROFILE.not_run, "1")], b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        println!("{}", run_line(begun_as(request)));
        tokio::time::sleep(PHASE).await;
        match trouble {
            Some(StreamTrouble::Lost) => return Ok(AfterAnswer::Close),
            Some(StreamTrouble::LostByReset) => {
                connection.reset_on_close()?;
                return Ok(AfterAnswer::Close);
            }
            Some(StreamTrouble::Failed) => {
                let seal = (SEAL_HEADER, self.options.id.as_str());
                connection.answer(500, &[attempt, seal], b"").await?;
                return Ok(AfterAnswer::KeepOpen);
            }
            _ => {}
        }
        if let Some(cut) = UnreadCut::of(&request.path) {
            return self.answer_while_read(request, cut, connection).await;
        }
        let is_continued = !request.header(WIRE_PROFILE.last_event).is_empty();
        match ScriptedFault::of(&request.path, is_continued) {
            Some(fault) => self.answer_scripted(request, fault, connection).await,
            None => self.answer(request, trouble, connection).await,
        }
    }

    /// Returns the parts of an answer, of the size of an event each.
    pub(super) fn parts(
        &self,
        request: &PlainRequest,
        trouble: Option<StreamTrouble>,
    ) -> Result<Vec<Vec<u8>>> {
        let events = self.events(request)?;
        let damage = self.trouble.damage(trouble);
        let damage = damage.or_else(|| self.options.damage.of_run(self.runs.get()));
        let Some((damage, mut random)) = damage else {
            return Ok(events.iter().map(|event| event.text().into_bytes()).collect());
        };
        let bytes = damage.write(&events, &mut random);
        if let Some(first) = events.first() {
            let after = first.number - number_step(&request.path);
            self.record(first, after, damage, &bytes)?;
        }
        let size = (bytes.len() / events.len().max(1)).max(1);
        Ok(bytes.chunks(size).map(<[u8]>::to_vec).collect())
    }

    /// Records a damaged run in the output of the process.
    fn record(
        &self,
        first: &StreamEvent,
        after: u64,
        damage: StreamDamage,
        bytes: &[u8],
    ) -> Result<()> {
        let StreamEvent { stream, run, .. } = first.clone();
        let text = String::from_utf8_lossy(bytes).into_owned();
        let damaged = DamagedRun { run, stream, damage, after, text };
        println!("{}", serde_json::to_string(&damaged)?);
        Ok(())
    }

    /// Returns the events of a stream, or those that follow on the last event that the caller has.
    fn events(&self, request: &PlainRequest) -> Result<Vec<StreamEvent>> {
        let run = self.runs.get() + 1;
        self.runs.set(run);
        let step = number_step(&request.path);
        let after = match request.header(WIRE_PROFILE.last_event) {
            "" => 0,
            number => number.parse::<u64>().with_context(|| number.to_string())?,
        };
        let template = StreamEvent {
            number: 0,
            stream: begun_as(request).to_string(),
            service: self.options.service.clone(),
            run: format!("{}#{run}", self.options.id),
        };
        let last = stated_events(&request.path).unwrap_or(self.options.events);
        let numbers = after / step + 1..=last;
        let mut events: Vec<StreamEvent> =
            numbers.map(|index| StreamEvent { number: index * step, ..template.clone() }).collect();
        if let Some(fault) = self.options.fault.filter(|_| run.is_multiple_of(2)) {
            // The place changes from run to run.
            let place = run as usize / 2 % events.len().max(1);
            fault.apply(&mut events, place);
        }
        Ok(events)
    }
}

/// Returns the attempt that began the stream of a request.
fn begun_as(request: &PlainRequest) -> &str {
    match request.header(WIRE_PROFILE.resumes) {
        "" => request.header(WIRE_PROFILE.attempt_id),
        begun_as => begun_as,
    }
}

handle_by_route!(StreamEngine);
