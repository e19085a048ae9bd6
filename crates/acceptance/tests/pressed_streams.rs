//! Streams of a daemon that has little memory left for answers, and continuations that repeat what the caller has.
//!
//! Guards against events that never reach a caller whose stream still ends as a whole one.

use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_platform::names::{SEAL_HEADER, WIRE_PROFILE};
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::{EngineEntry, EngineStep, FleetDeployment, FleetEngine};
use curlewcleat_standins::http::{
    serve_here, AfterAnswer, HandlerFuture, PlainConnection, PlainHandler, PlainRequest,
};
use curlewcleat_targets::ConnectionPool;
use futures_util::StreamExt;
use tokio::sync::watch;

mod support;

use support::{call, wait_served};

const STREAM: &str = "/resumed/stream/a";
/// Undelivered bytes of the answers that leave too little room for a part of several events on a VM of 15 MB.
const UNFINISHED: [usize; 5] = [700_000, 700_000, 40_000, 20_000, 3_000];
/// Undelivered bytes that the daemon counts for them.
const COUNTED: u64 = 2_190_000;
/// Events of a stream.
const EVENTS: u64 = 8;
/// Events of a stream that arrive in a single part.
const TOGETHER: std::ops::RangeInclusive<u64> = 2..=5;
/// Length in bytes of the data of an event.
const EVENT_DATA: usize = 1_400;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: {}\n\n", "e".repeat(EVENT_DATA))
}

/// An engine with events that do not end, beside streams.
struct UnfinishedEngine {
    id: &'static str,
    /// Whether a stream goes on after its first event.
    goes_on: watch::Receiver<bool>,
}

impl UnfinishedEngine {
    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let attempt = request.header(WIRE_PROFILE.attempt_id);
        let headers = [
            (WIRE_PROFILE.attempt_id, attempt),
            (SEAL_HEADER, self.id),
            ("content-type", "text/event-stream"),
        ];
        connection.begin_chunked(&headers).await?;
        if let Some((_, length)) = attempt.split_once("unfinished-") {
            connection.chunk(format!("data: {}", "u".repeat(length.parse()?)).as_bytes()).await?;
            connection.closed().await;
            return Ok(AfterAnswer::Close);
        }
        let mut next = request.header(WIRE_PROFILE.last_event).parse::<u64>().unwrap_or(0) + 1;
        if next == 1 {
            connection.chunk(event(1).as_bytes()).await?;
            self.goes_on.clone().wait_for(|goes_on| *goes_on).await?;
            let together: String = TOGETHER.map(event).collect();
            connection.chunk(together.as_bytes()).await?;
            tokio::time::sleep(Duration::from_millis(50)).await;
            next = TOGETHER.end() + 1;
        }
        for number in next..=EVENTS {
            connection.chunk(event(number).as_bytes()).await?;
        }
        connection.chunk(b"").await?;
        Ok(AfterAnswer::KeepOpen)
    }
}

impl PlainHandler for UnfinishedEngine {
    fn handle<'a>(
        &'a self,
        request: PlainRequest,
        connection: &'a mut PlainConnection,
    ) -> HandlerFuture<'a> {
        Box::pin(self.route(request, connection))
    }
}

/// Starts an engine with events that do not end.
async fn announce(
    fleet: &FleetDeployment,
    id: &'static str,
    goes_on: &watch::Sender<bool>,
) -> Result<()> {
    let engine = UnfinishedEngine { id, goes_on: goes_on.subscribe() };
    let address = serve_here(Rc::new(engine)).await?;
    let entry = EngineEntry {
        backend: "engines",
        address: &address,
        zone: "here",
        slots: 16,
        state: "ready",
        version: None,
        born: None,
    };
    fleet.store.write_entry(id, entry)
}

/// Sends a request and passes on the parts of its answer; the last one is an error if the answer was cut.
async fn read_parts(
    entry: &str,
    path: &str,
    attempt: &str,
    mut each: impl FnMut(&[u8]),
) -> Result<()> {
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let body = Bytes::from_static(b"b");
    let mut answer = connection.exchange(fleet_head(path, attempt)?, body).await?;
    while let Some(part) = answer.body.next().await {
        each(&part?);
    }
    Ok(())
}

/// Returns the numbers of the events in a stream.
fn event_numbers(stream: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(stream);
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

fn undelivered(metrics: &str) -> Option<u64> {
    let line =
        metrics.lines().find(|line| line.starts_with("curlewcleat_held_bytes{owner=\"answer\""))?;
    Some(line.rsplit(' ').next()?.parse::<f64>().ok()? as u64)
}

/// Guards against events that count as received although the answer ended before they were passed on.
#[actix_rt::test]
async fn events_are_not_lost_where_their_part_finds_no_memory() -> Result<()> {
    let mut fleet = FleetDeployment::start("pressed-streams").await?;
    fleet.store_config()?;
    let goes_on = watch::Sender::new(true);
    announce(&fleet, "unfinished-0", &goes_on).await?;
    fleet.vm_settings = "memory_limit = 15MB\n".to_string();
    fleet.daemons(1, "retry_saved = 10000\nretry_ratio = 10").await?;
    wait_served(&fleet, STREAM).await?;
    goes_on.send_replace(false);
    let (callers, operators) =
        (fleet.daemons[0].callers.clone(), fleet.daemons[0].operators.clone());
    for (index, length) in UNFINISHED.into_iter().enumerate() {
        let (entry, attempt) = (callers.clone(), format!("{index}-unfinished-{length}"));
        actix_rt::spawn(
            async move { read_parts(&entry, "/plain/stream/a", &attempt, |_| {}).await },
        );
    }
    let (begun, mut has_begun) = watch::channel(false);
    let stream = actix_rt::spawn(async move {
        let mut received = Vec::new();
        let ended = read_parts(&callers, STREAM, "stream", |part| {
            received.extend_from_slice(part);
            begun.send_replace(true);
        });
        ended.await.map(|()| received)
    });
    has_begun.wait_for(|begun| *begun).await?;
    wait_until("undelivered", || async {
        let metrics = get_text(&operators, "/metrics").await;
        metrics.is_ok_and(|metrics| undelivered(&metrics).is_some_and(|bytes| bytes > COUNTED))
    })
    .await?;
    goes_on.send_replace(true);
    announce(&fleet, "unfinished-1", &goes_on).await?;
    let received = stream.await.context("the task of the stream")??;
    assert_eq!(event_numbers(&received), Vec::from_iter(1..=EVENTS), "{}", fleet.log(0)?);
    Ok(())
}

/// Guards against a continuation that is given up while its target repeats what the caller has.
#[actix_rt::test]
async fn continuation_that_repeats_for_long_goes_on() -> Result<()> {
    let mut fleet = FleetDeployment::start("long-repeats").await?;
    fleet.store_config()?;
    for _ in 0..2 {
        fleet.engine("engines", 34, Duration::from_millis(38)).await?;
    }
    fleet.daemons(1, "retry_saved = 10000\nretry_ratio = 10").await?;
    wait_served(&fleet, STREAM).await?;
    for engine in &fleet.engines {
        engine.set_default_step(EngineStep::StartOver);
    }
    fleet.set_attempt_step("long", EngineStep::Interrupt(30));
    let mut received = Vec::new();
    let entry = &fleet.daemons[0].callers;
    let ended = read_parts(entry, STREAM, "long", |part| received.extend_from_slice(part)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let log = fleet.log(0)?;
    assert!(ended.is_ok() && !log.contains("part_timeout"), "{ended:?} {log}");
    assert_eq!(String::from_utf8(received)?, FleetEngine::expected_stream("long", 34));
    assert_eq!(call(entry, STREAM, "after").await?.status, 200);
    Ok(())
}
