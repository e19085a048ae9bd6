//! What daemons learn of the form of streams from the answers of real targets, and how they unlearn it.

mod support;

use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_standins::fleet::{
    AnswerFrame, EngineStep, FleetDeployment, FleetEngine, UNNUMBERED_EVENT,
};
use curlewcleat_targets::{AnswerBody, ConnectionPool, ExchangeOptions, TargetAnswer};
use futures_util::StreamExt;
use rstest::rstest;
use support::wait_served;

/// Events of a stream.
const EVENTS: u64 = 10;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);
/// Streams after which their form is known.
const SOUND_STREAMS: usize = 20;
/// An event without a number follows on the one with this number.
const UNNUMBERED: EngineStep = EngineStep::PauseUnnumbered(2, Duration::from_millis(20));
/// Streams after which a form is known that replaces another one.
const STREAMS_ANEW: usize = 40;
/// Time for which a target leaves an answer open whose last event was sent.
const OPEN_TIME: Duration = Duration::from_millis(800);
/// Streams of another form, of which the last ones have to be served.
const OTHER_STREAMS: usize = 12;
/// Streams that may be refused or cut before the form is taken back.
const MAX_LOST: usize = 4;
const PATH: &str = "/resumed/stream/a";
/// Bounds under which every stream may be continued.
const BOUNDS: &str = "retry_saved = 10000\nretry_ratio = 10";

/// Starts a daemon and engines, and plays sound streams.
async fn start(name: &str, engines: usize) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    for _ in 0..engines {
        fleet.engine("engines", EVENTS, EVENT_INTERVAL).await?;
    }
    fleet.daemons(1, BOUNDS).await?;
    wait_served(&fleet, PATH).await?;
    for number in 0..SOUND_STREAMS {
        let attempt = format!("sound-{number}");
        assert_eq!(stream(&fleet, &attempt).await?, Some(sound(&attempt)));
    }
    Ok(fleet)
}

fn sound(attempt: &str) -> String {
    FleetEngine::expected_stream(attempt, EVENTS)
}

async fn request(fleet: &FleetDeployment, attempt: &str) -> Result<TargetAnswer> {
    let entry = &fleet.daemons[0].callers;
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let options = ExchangeOptions { allow_close_delimited: true, ..ExchangeOptions::default() };
    let (head, body) = (fleet_head(PATH, attempt)?, Bytes::from_static(b"b"));
    Ok(connection.exchange_with(head, body, &options).await?)
}

/// Requests a stream; `None` if it is refused or cut.
async fn stream(fleet: &FleetDeployment, attempt: &str) -> Result<Option<String>> {
    let answer = request(fleet, attempt).await?;
    let is_served = answer.head.status == 200;
    let text = read(answer.body).await?;
    Ok(text.filter(|_| is_served))
}

async fn read(mut body: AnswerBody) -> Result<Option<String>> {
    let mut bytes = Vec::new();
    while let Some(part) = body.next().await {
        match part {
            Ok(part) => bytes.extend_from_slice(&part),
            Err(_) => return Ok(None),
        }
    }
    Ok(Some(String::from_utf8(bytes)?))
}

/// Guards against damaged streams that count as sound because other answers of their rule were no streams.
#[rstest]
#[case::bad_request(400)]
#[case::not_found(404)]
#[actix_rt::test]
async fn answer_that_is_no_stream_takes_back_the_form(#[case] status: u16) -> Result<()> {
    let fleet = start(&format!("no-stream-{status}"), 2).await?;
    fleet.set_attempt_step("no-stream", EngineStep::Fail(status));
    assert_eq!(stream(&fleet, "no-stream").await?, None);
    fleet.set_attempt_step("damaged", UNNUMBERED);
    assert_eq!(stream(&fleet, "damaged").await?, Some(sound("damaged")));
    Ok(())
}

/// Guards against an empty answer that is logged as sent by the target that continues the stream.
#[actix_rt::test]
async fn empty_answer_is_logged_for_the_target_that_sent_it() -> Result<()> {
    let fleet = start("empty", 2).await?;
    fleet.set_attempt_step("empty", EngineStep::Truncate(AnswerFrame::Chunks, 0));
    assert_eq!(stream(&fleet, "empty").await?, Some(sound("empty")));
    let begun =
        |engine: &FleetEngine| engine.runs().iter().find(|run| run.attempt == "empty")?.begun;
    let first = fleet
        .engines
        .iter()
        .filter(|engine| begun(engine).is_some())
        .min_by_key(|engine| begun(engine));
    let log = fleet.log(0)?;
    let line = log.lines().find(|line| line.contains("stream_deviates")).unwrap_or_default();
    assert!(line.contains("missing"), "{line}");
    assert!(first.is_some_and(|engine| line.contains(&format!("\"{}\"", engine.id))), "{line}");
    Ok(())
}

/// Guards against streams of a new form that are cut without end because no other target can show that they are sound.
#[actix_rt::test]
async fn streams_of_a_new_form_at_the_only_target_are_cut_without_end() -> Result<()> {
    let fleet = start("only-target", 1).await?;
    fleet.engines[0].set_default_step(UNNUMBERED);
    let mut served = Vec::new();
    for number in 0..OTHER_STREAMS {
        served.push(stream(&fleet, &format!("other-{number}")).await?.is_some());
    }
    println!("served: {served:?}");
    assert!(served[MAX_LOST..].iter().all(|is_served| *is_served), "{served:?}");
    Ok(())
}

/// Guards against streams that end as whole where their target leaves out the rest, with the event that ends all others.
#[rstest]
#[case::chunks(AnswerFrame::Chunks)]
#[case::connection(AnswerFrame::Close)]
#[actix_rt::test]
async fn stream_that_lost_the_end_of_all_others(#[case] frame: AnswerFrame) -> Result<()> {
    let fleet = start(&format!("lost-end-{frame:?}"), 2).await?;
    let end = EngineStep::PauseUnnumbered(EVENTS, EVENT_INTERVAL);
    fleet.engines.iter().for_each(|engine| engine.set_default_step(end));
    for number in 0..STREAMS_ANEW {
        let attempt = format!("end-{number}");
        assert!(stream(&fleet, &attempt).await?.is_some(), "{attempt}");
    }
    let half = FleetEngine::expected_stream("lost-end", EVENTS / 2).len();
    fleet.set_attempt_step("lost-end", EngineStep::Truncate(frame, half));
    let expected = sound("lost-end") + UNNUMBERED_EVENT;
    assert_eq!(stream(&fleet, "lost-end").await?, Some(expected));
    Ok(())
}

/// Guards against a last event that callers wait for as long as its target leaves the answer open.
#[actix_rt::test]
async fn last_event_without_a_number_is_held_while_the_answer_is_open() -> Result<()> {
    let fleet = start("held-end", 2).await?;
    let end = |pause| EngineStep::PauseUnnumbered(EVENTS, pause);
    let set_pause =
        |pause| fleet.engines.iter().for_each(|engine| engine.set_default_step(end(pause)));
    set_pause(EVENT_INTERVAL);
    for number in 0..STREAMS_ANEW {
        let attempt = format!("end-{number}");
        assert!(stream(&fleet, &attempt).await?.is_some(), "{attempt}");
    }
    set_pause(OPEN_TIME);
    let begun = Instant::now();
    let mut body = request(&fleet, "open").await?.body;
    let mut text = String::new();
    while !text.contains(UNNUMBERED_EVENT) {
        let part = body.next().await.context("the stream ended")??;
        text.push_str(std::str::from_utf8(&part)?);
    }
    assert!(begun.elapsed() < OPEN_TIME / 2, "{:?}", begun.elapsed());
    Ok(())
}
