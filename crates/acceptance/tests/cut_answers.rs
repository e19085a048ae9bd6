//! Answers that a target cuts off, with each way to mark the end of an answer.
//!
//! Guards against a daemon that takes the orderly end of a connection for the end of an answer: the caller gets half an
//! answer that is framed as complete.
//!
//! ```text
//! 6.712  the target begins to run the stream
//! 6.817  the target terminates; its connections close without a reset
//! 6.819  the caller gets 200, the last chunk, and half an event
//! ```

use std::time::Duration;

use actix_http::header;
use actix_http::{ResponseHead, Version};
use anyhow::Result;
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::{AnswerFrame, EngineStep, FleetDeployment, FleetEngine};
use curlewcleat_targets::{BodyFrame, ConnectionPool, ExchangeOptions};
use futures_util::StreamExt;
use rstest::rstest;

/// Events of a stream.
const EVENTS: u64 = 4;
/// Bounds under which every cut stream may be resumed.
const BOUNDS: &str = "retry_saved = 10000\nretry_ratio = 10";

/// What a caller received.
#[derive(Debug)]
struct Received {
    head: ResponseHead,
    frame: BodyFrame,
    text: String,
    /// Whether the body ended without an error.
    ended: bool,
}

impl Received {
    /// Returns whether the answer states that it is complete.
    fn claims_completeness(&self) -> bool {
        self.ended && self.head.status.is_success() && self.frame != BodyFrame::UntilClose
    }

    fn closes_connection(&self) -> bool {
        let connection = self.head.headers.get(header::CONNECTION);
        connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
    }
}

/// Sends a request of a caller and reads the answer to its end.
async fn receive(entry: &str, path: &str, attempt: &str) -> Result<Received> {
    receive_with(entry, path, attempt, Version::HTTP_11).await
}

/// Sends a request of a caller in a version of HTTP and reads the answer to its end.
async fn receive_with(
    entry: &str,
    path: &str,
    attempt: &str,
    version: Version,
) -> Result<Received> {
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let mut head = fleet_head(path, attempt)?;
    head.version = version;
    let options = ExchangeOptions { allow_close_delimited: true, ..ExchangeOptions::default() };
    let body = Bytes::from(attempt.to_string());
    let mut answer = connection.exchange_with(head, body, &options).await?;
    let (mut bytes, mut ended) = (Vec::new(), true);
    while let Some(part) = answer.body.next().await {
        match part {
            Ok(part) => bytes.extend_from_slice(&part),
            Err(_) => ended = false,
        }
    }
    let text = String::from_utf8(bytes)?;
    Ok(Received { frame: answer.body.frame(), head: answer.head, text, ended })
}

/// Starts the deployment with streams of [`EVENTS`] events.
async fn ready(name: &str) -> Result<FleetDeployment> {
    ready_with(name, EVENTS).await
}

/// Starts one daemon, an engine for records and two for streams, and waits until all routes are served.
async fn ready_with(name: &str, events: u64) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    fleet.engine("records", 0, Duration::ZERO).await?;
    for _ in 0..2 {
        fleet.engine("engines", events, Duration::ZERO).await?;
    }
    fleet.daemons(1, BOUNDS).await?;
    let daemon = &fleet.daemons[0];
    wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() }).await?;
    for path in ["/once/a", "/resumed/stream/a", "/plain/stream/a"] {
        wait_until("served", || async {
            let warm = receive(&daemon.callers, path, "warm").await;
            warm.is_ok_and(|answer| answer.head.status.is_success())
        })
        .await?;
    }
    Ok(fleet)
}

/// Returns the number of bytes of the first `events` events of an attempt.
fn stream_length(attempt: &str, events: u64) -> usize {
    FleetEngine::expected_stream(attempt, events).len()
}

#[rstest]
#[case::stream("stream", "/plain/stream/a", false)]
#[case::stream_that_may_be_resumed("resumed", "/resumed/stream/a", true)]
#[case::record("record", "/once/a", false)]
#[case::record_that_may_be_repeated("again", "/again/a", false)]
#[actix_rt::test]
async fn answer_that_ends_with_its_connection_does_not_claim_to_be_complete(
    #[case] name: &str,
    #[case] path: &str,
    #[case] is_continued: bool,
    #[values(true, false)] is_whole: bool,
) -> Result<()> {
    let fleet = ready(&format!("unframed-{name}-{is_whole}")).await?;
    let length = match (is_whole, path.contains("stream")) {
        (true, _) => usize::MAX,
        (false, true) => stream_length("t", EVENTS - 1),
        (false, false) => 5,
    };
    fleet.set_attempt_step("t", EngineStep::Truncate(AnswerFrame::Close, length));
    let answer = receive(&fleet.daemons[0].callers, path, "t").await?;
    let whole = match path.contains("stream") {
        true => FleetEngine::expected_stream("t", EVENTS),
        false => "record of t".to_string(),
    };
    let received = if is_continued { whole.len() } else { length.min(whole.len()) };
    assert_eq!(answer.text, whole[..received], "{answer:?}");
    assert_eq!((answer.head.status.as_u16(), answer.ended), (200, true), "{answer:?}");
    assert!(!answer.claims_completeness(), "{answer:?}");
    assert!(answer.closes_connection(), "{answer:?}");
    Ok(())
}

#[rstest]
#[case::closed("close", AnswerFrame::Close)]
#[case::chunks("chunks", AnswerFrame::Chunks)]
#[case::length("length", AnswerFrame::Length)]
#[actix_rt::test]
async fn stream_that_is_cut_at_any_byte_is_never_passed_on_as_complete(
    #[case] name: &str,
    #[case] frame: AnswerFrame,
) -> Result<()> {
    let fleet = ready(&format!("cut-{name}")).await?;
    let entry = &fleet.daemons[0].callers;
    let ends: Vec<usize> = (0..=EVENTS).map(|events| stream_length("p00", events)).collect();
    for length in 0..ends[EVENTS as usize] {
        let is_within_event = !ends.contains(&length);
        if !is_within_event && frame != AnswerFrame::Close {
            // The target itself claims that the answer is complete.
            continue;
        }
        let attempt = format!("p{length:02}");
        fleet.set_attempt_step(&attempt, EngineStep::Truncate(frame, length));
        let whole_events = ends.iter().rev().find(|end| **end <= length).copied().unwrap_or(0);
        let expected = &FleetEngine::expected_stream(&attempt, EVENTS)[..whole_events];
        match receive(entry, "/plain/stream/a", &attempt).await {
            Ok(answer) if answer.head.status.is_success() => {
                assert_eq!(answer.text, expected, "cut at {length}: {answer:?}");
                assert!(!answer.claims_completeness(), "cut at {length}: {answer:?}");
                assert!(!answer.ended || !is_within_event, "cut at {length}: {answer:?}");
            }
            Ok(answer) => assert_eq!(answer.head.status.as_u16(), 502, "cut at {length}"),
            Err(error) => assert!(is_within_event, "cut at {length}: {error:#}"),
        }
        // Between two cuts a whole answer, since a target that fails again and again is not used for a while.
        let served = receive(entry, "/plain/stream/a", &format!("w{length:02}")).await?;
        assert_eq!(served.text, FleetEngine::expected_stream(&format!("w{length:02}"), EVENTS));
    }
    Ok(())
}

#[rstest]
#[case::closed("close", AnswerFrame::Close)]
#[case::chunks("chunks", AnswerFrame::Chunks)]
#[case::length("length", AnswerFrame::Length)]
#[actix_rt::test]
async fn stream_that_ends_within_an_event_is_resumed_once_after_its_last_whole_event(
    #[case] name: &str,
    #[case] frame: AnswerFrame,
) -> Result<()> {
    let fleet = ready(&format!("within-{name}")).await?;
    let entry = &fleet.daemons[0].callers;
    let ends: Vec<usize> = (0..=EVENTS).map(|events| stream_length("p00", events)).collect();
    for length in (0..ends[EVENTS as usize]).filter(|length| !ends.contains(length)) {
        let attempt = format!("p{length:02}");
        fleet.set_attempt_step(&attempt, EngineStep::Truncate(frame, length));
        let answer = receive(entry, "/resumed/stream/a", &attempt).await?;
        let expected = FleetEngine::expected_stream(&attempt, EVENTS);
        assert_eq!((answer.text, answer.ended), (expected, true), "cut at {length}");
        let runs = fleet.engines.iter().flat_map(|engine| engine.runs());
        let runs: Vec<u64> =
            runs.filter(|run| run.attempt == attempt).map(|run| run.after).collect();
        let whole_events = ends.iter().filter(|end| **end <= length).count() as u64 - 1;
        assert!(runs.len() == 2 && runs.contains(&whole_events), "cut at {length}: {runs:?}");
        let attempt = format!("w{length:02}");
        let served = receive(entry, "/resumed/stream/a", &attempt).await?;
        assert!(served.ended);
    }
    Ok(())
}

/// The kernel closes the connections of a killed process in an orderly way, which ends an answer without a length.
#[actix_rt::test]
async fn answer_without_a_length_is_reset_when_its_daemon_is_killed() -> Result<()> {
    let mut fleet = ready("killed").await?;
    let length = stream_length("t", 2);
    fleet.set_attempt_step("t", EngineStep::StallWithoutLength(length));
    let entry = fleet.daemons[0].callers.clone();
    let connection = ConnectionPool::default().connect(&entry, Duration::from_secs(2)).await?;
    let options = ExchangeOptions { allow_close_delimited: true, ..ExchangeOptions::default() };
    let head = fleet_head("/plain/stream/a", "t")?;
    let mut answer = connection.exchange_with(head, Bytes::from_static(b"t"), &options).await?;
    let mut received = 0;
    while received < length {
        received += answer.body.next().await.expect("the stream has not ended")?.len();
    }
    fleet.daemons[0].process.kill();
    let end = answer.body.next().await;
    assert!(matches!(end, Some(Err(_))), "{end:?}");
    Ok(())
}

#[actix_rt::test]
async fn whole_answer_without_a_length_reaches_a_caller_that_reads_slowly() -> Result<()> {
    const MANY_EVENTS: u64 = 200_000;
    let fleet = ready_with("slow", MANY_EVENTS).await?;
    fleet.set_attempt_step("t", EngineStep::WithoutLength);
    let entry = &fleet.daemons[0].callers;
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let options = ExchangeOptions { allow_close_delimited: true, ..ExchangeOptions::default() };
    let head = fleet_head("/plain/stream/a", "t")?;
    let mut answer = connection.exchange_with(head, Bytes::from_static(b"t"), &options).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut received = 0;
    while let Some(part) = answer.body.next().await {
        received += part?.len();
    }
    assert_eq!(received, stream_length("t", MANY_EVENTS));
    Ok(())
}

/// The caller expects a last chunk, which the end of the second target's connection does not justify.
#[actix_rt::test]
async fn stream_in_chunks_is_not_completed_by_the_end_of_a_connection() -> Result<()> {
    let fleet = ready("mixed").await?;
    fleet.set_attempt_step("t", EngineStep::Interrupt(2));
    fleet.engines.iter().for_each(|engine| engine.set_default_step(EngineStep::WithoutLength));
    let answer = receive(&fleet.daemons[0].callers, "/resumed/stream/a", "t").await?;
    assert_eq!((answer.frame, answer.ended), (BodyFrame::Chunks, false), "{answer:?}");
    assert_eq!(answer.text, FleetEngine::expected_stream("t", EVENTS));
    Ok(())
}

/// Guards against events that arrive with the end of a cut stream and are dropped with the caller's connection.
#[actix_rt::test]
async fn events_just_before_a_cut_reach_the_caller() -> Result<()> {
    let fleet = ready("before").await?;
    for number in 0..40 {
        let attempt = format!("p{number}");
        fleet.set_attempt_step(&attempt, EngineStep::Interrupt(2));
        let entry = &fleet.daemons[0].callers;
        let answer = receive(entry, "/plain/stream/a", &attempt).await?;
        assert_eq!(answer.text, FleetEngine::expected_stream(&attempt, 2), "{answer:?}");
        assert!(!answer.ended, "{answer:?}");
        assert!(receive(entry, "/plain/stream/a", &format!("w{number}")).await?.ended);
    }
    Ok(())
}

/// Guards against chunks that are sent to callers of HTTP/1.0, who take them for a part of the answer.
#[rstest]
#[case::whole("whole", EngineStep::Serve, EVENTS, true)]
#[case::cut_within_an_event("cut", EngineStep::Interrupt(2), 2, false)]
#[actix_rt::test]
async fn stream_for_a_caller_of_http_1_0_ends_with_its_connection(
    #[case] name: &str,
    #[case] step: EngineStep,
    #[case] events: u64,
    #[case] ended: bool,
) -> Result<()> {
    let fleet = ready(&format!("old-{name}")).await?;
    fleet.set_attempt_step("t", step);
    let entry = &fleet.daemons[0].callers;
    let answer = receive_with(entry, "/plain/stream/a", "t", Version::HTTP_10).await?;
    assert_eq!(answer.text, FleetEngine::expected_stream("t", events), "{answer:?}");
    assert_eq!((answer.frame, answer.ended), (BodyFrame::UntilClose, ended), "{answer:?}");
    assert!(!answer.head.headers.contains_key(header::TRANSFER_ENCODING), "{answer:?}");
    Ok(())
}

/// Guards against a stream that ends early and unnoticed: the target that continues it closes its connection before any
/// event, and the answer ends with its connection.
#[actix_rt::test]
async fn continuation_without_events_does_not_end_a_stream_with_its_connection() -> Result<()> {
    let fleet = ready("empty-rest").await?;
    let cut = EngineStep::Truncate(AnswerFrame::Close, stream_length("t", 2) + 5);
    fleet.set_attempt_step("t", cut);
    fleet.engines.iter().for_each(|engine| engine.set_default_step(EngineStep::EmptyWithoutLength));
    let answer = receive(&fleet.daemons[0].callers, "/resumed/stream/a", "t").await?;
    assert!(answer.text.len() <= stream_length("t", 2), "{answer:?}");
    assert!(!answer.ended, "{answer:?}");
    Ok(())
}

/// Guards against a stream that ends early and unnoticed: a target that goes on running closes an answer between two events,
/// while answers of its pool break off visibly.
#[rstest]
#[case::early("early", AnswerFrame::Close, 2, EngineStep::Serve)]
#[case::early_and_others_unframed("both", AnswerFrame::Close, 3, EngineStep::WithoutLength)]
#[case::whole("whole", AnswerFrame::Close, EVENTS, EngineStep::Serve)]
#[case::whole_and_others_unframed("all", AnswerFrame::Close, EVENTS, EngineStep::WithoutLength)]
#[actix_rt::test]
async fn unframed_stream_beside_broken_answers_is_confirmed_by_another_target(
    #[case] name: &str,
    #[case] frame: AnswerFrame,
    #[case] events: u64,
    #[case] others: EngineStep,
) -> Result<()> {
    let fleet = ready(&format!("doubt-{name}")).await?;
    let entry = &fleet.daemons[0].callers;
    fleet.set_attempt_step("b", EngineStep::Interrupt(2));
    assert!(!receive(entry, "/plain/stream/a", "b").await?.ended);
    fleet.engines.iter().for_each(|engine| engine.set_default_step(others));
    fleet.set_attempt_step("t", EngineStep::Truncate(frame, stream_length("t", events)));
    let answer = receive(entry, "/resumed/stream/a", "t").await?;
    let expected = FleetEngine::expected_stream("t", EVENTS);
    assert_eq!((answer.text, answer.ended), (expected, true));
    Ok(())
}
