//! A stream was cut in the middle of its answer, though its target was at work and its caller had seven seconds left.
//! The daemon had been told to stop a second before the stream came. The stream's first target paused for longer
//! than twice the latency objective; the daemon left it and took the stream up at a second target. That one had it in
//! its queue and said nothing for as long again, so the daemon left it too. The rule allowed two attempts: there was
//! nothing to turn to, and an answer that has begun can then only be cut.
//!
//! What settled it: the second target was left 601 ms after the request had reached it, for an objective of 300 ms, and
//! the caller's connection closed with it, which leaves no time to ask a scheduler on another VM. The log of the first
//! case below, before the repair:
//!
//! ```text
//! attempt_failed  target=i-0 reason=stream_resumed cause=part_timeout silent_ms=1001 parts=3 answer_begun=true
//! attempt_failed  target=i-1 reason=stream_resumed cause=head_timeout silent_ms=1001 parts=0 answer_begun=true
//! retry_denied    bound=attempts
//! request_refused reason=connect_failed may_have_run=true held_ms=2021
//! answer_cut      target=i-1 offset=51 reason=connect_failed
//! ```
//!
//! The same limit cut streams whose only target paused, and where the retry budget was spent (`bound=budget`).

use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use curlewcleat_platform::example::{DRIVERS_KEY, HOST};
use curlewcleat_platform::names::{READY, WIRE_PROFILE};
use curlewcleat_standins::address::free_address;
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::{EngineStep, FleetDeployment, FleetEngine};
use curlewcleat_targets::ConnectionPool;
use futures_util::StreamExt;
use rstest::rstest;

const PACE: Duration = Duration::from_millis(5);
const EVENTS: u64 = 8;
/// Events before a target pauses.
const BEFORE: u64 = 3;
/// Longer than twice the objective of 500 ms, shorter than what the callers here have left.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Longer than any caller here waits.
const FOR_GOOD: Duration = Duration::from_secs(60);
/// Room for retries, and none.
const ROOM: &str = "retry_saved = 100\nretry_ratio = 0.5";
const NO_ROOM: &str = "retry_saved = 0\nretry_ratio = 0";

/// Status of an answer, its text, and whether it ended as whole.
async fn call(entry: &str, path: &str, attempt: &str) -> Result<(u16, String, bool)> {
    let mut head = actix_http::RequestHead::default();
    head.method = actix_http::Method::POST;
    head.uri = path.parse()?;
    let key = format!("Bearer {DRIVERS_KEY}");
    let headers = [
        ("host", HOST),
        ("authorization", key.as_str()),
        (WIRE_PROFILE.attempt_id, attempt),
        (WIRE_PROFILE.time_left, "4500"),
    ];
    for (name, value) in headers {
        head.headers.insert(name.parse()?, value.parse()?);
    }
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let answer = connection.exchange(head, Bytes::from_static(b"b")).await?;
    let (mut body, mut bytes, mut whole) = (answer.body, Vec::new(), true);
    while let Some(part) = body.next().await {
        match part {
            Ok(part) => bytes.extend_from_slice(&part),
            Err(_) => whole = false,
        }
    }
    Ok((answer.head.status.as_u16(), String::from_utf8_lossy(&bytes).to_string(), whole))
}

/// One daemon before so many targets, which serve.
async fn ready(name: &str, pool: &str, targets: usize, bounds: &str) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    for _ in 0..targets {
        fleet.engine(pool, EVENTS, PACE).await?;
    }
    fleet.daemons(1, bounds).await?;
    let daemon = &fleet.daemons[0];
    let (entry, operators) = (daemon.callers.clone(), daemon.operators.clone());
    wait_until("ready", || async { get_text(&operators, "/readyz").await.is_ok() }).await?;
    wait_until("all targets are known", || async {
        let served = call(&entry, "/resumed/stream/a", "warm").await;
        let records = call(&entry, "/again/a", "warm").await;
        let status = if pool == "records" { records } else { served };
        status.is_ok_and(|(status, ..)| status == 200)
            && fleet.engines.iter().all(|engine| !engine.runs().is_empty())
    })
    .await?;
    Ok(fleet)
}

/// Waits until the attempt runs, then sets what each target does with further requests.
async fn then_always(fleet: &FleetDeployment, attempt: &str, step: EngineStep) -> Result<()> {
    let runs = || fleet.engines.iter().flat_map(|engine| engine.runs());
    wait_until("the attempt runs", || async { runs().any(|run| run.attempt == attempt) }).await?;
    fleet.engines.iter().for_each(|engine| engine.always(step));
    Ok(())
}

/// The first target pauses for good. The second one is the last that the rule allows: it takes long to begin, or
/// pauses after it began; the daemon serves, or was told to stop.
#[rstest]
#[case::late("late", EngineStep::Late(SILENCE), false)]
#[case::late_at_a_planned_stop("late-stop", EngineStep::Late(SILENCE), true)]
#[case::paused("paused", EngineStep::Pause(BEFORE, SILENCE), false)]
#[actix_rt::test]
async fn last_target_that_may_be_asked_is_waited_for(
    #[case] name: &str,
    #[case] step: EngineStep,
    #[case] stops: bool,
) -> Result<()> {
    let fleet = ready(&format!("last-{name}"), "engines", 2, ROOM).await?;
    let entry = &fleet.daemons[0].callers;
    fleet.engines.iter().for_each(|engine| engine.always(EngineStep::Pause(BEFORE, FOR_GOOD)));
    let began = async {
        then_always(&fleet, "t", step).await?;
        if stops {
            fleet.daemons[0].process.signal("TERM")?;
        }
        anyhow::Ok(())
    };
    let (answer, began) = tokio::join!(call(entry, "/resumed/stream/a", "t"), began);
    began?;
    assert_eq!(answer?, (200, FleetEngine::expected_stream("t", EVENTS), true));
    Ok(())
}

/// A target pauses in its answer and there is no other one, or no room in the retry budget.
#[rstest]
#[case::no_other_target("alone", 1, ROOM)]
#[case::no_room_for_retries("budget", 2, NO_ROOM)]
#[actix_rt::test]
async fn target_that_pauses_is_not_left_where_no_other_takes_its_stream(
    #[case] name: &str,
    #[case] targets: usize,
    #[case] bounds: &str,
) -> Result<()> {
    let fleet = ready(&format!("paused-{name}"), "engines", targets, bounds).await?;
    fleet.engines.iter().for_each(|engine| engine.always(EngineStep::Pause(BEFORE, SILENCE)));
    let answer = call(&fleet.daemons[0].callers, "/resumed/stream/a", "t").await?;
    assert_eq!(answer, (200, FleetEngine::expected_stream("t", EVENTS), true));
    Ok(())
}

/// The same before an answer begins: a record that takes long at the only target that there is.
#[actix_rt::test]
async fn late_record_of_the_only_target_is_delivered() -> Result<()> {
    let fleet = ready("late-record", "records", 1, ROOM).await?;
    fleet.engines[0].always(EngineStep::Late(SILENCE));
    let (status, _, whole) = call(&fleet.daemons[0].callers, "/again/a", "t").await?;
    assert_eq!((status, whole), (200, true));
    Ok(())
}

/// The only target breaks a stream off once and would serve the rest. A refusal could only cut the answer, so it is
/// asked again.
#[actix_rt::test]
async fn only_target_that_breaks_off_once_serves_the_rest() -> Result<()> {
    let fleet = ready("off-once", "engines", 1, ROOM).await?;
    fleet.engines[0].next(EngineStep::Break(BEFORE));
    let answer = call(&fleet.daemons[0].callers, "/resumed/stream/a", "t").await?;
    assert_eq!(answer, (200, FleetEngine::expected_stream("t", EVENTS), true));
    Ok(())
}

/// The other target is granted and takes no connection. The silent one was left before that was known, and the answer
/// was cut a millisecond later:
///
/// ```text
/// attempt_failed target=i-0 reason=stream_resumed cause=part_timeout silent_ms=1002 parts=3 answer_begun=true
/// attempt_failed target=i-dead reason=connect_failed cause=connect_failed parts=0 answer_begun=true
/// retry_denied   bound=attempts
/// answer_cut     target=i-dead offset=51 reason=connect_failed
/// ```
#[actix_rt::test]
async fn silent_target_is_not_left_for_one_that_takes_no_connection() -> Result<()> {
    let fleet = ready("no-connection", "engines", 1, ROOM).await?;
    fleet.engines[0].next(EngineStep::Pause(BEFORE, SILENCE));
    let unused = free_address()?;
    let announced = async {
        let runs = || fleet.engines[0].runs();
        wait_until("it runs", || async { runs().iter().any(|run| run.attempt == "t") }).await?;
        fleet.announce("i-dead", "engines", &unused, READY)
    };
    let entry = &fleet.daemons[0].callers;
    let (answer, announced) = tokio::join!(call(entry, "/resumed/stream/a", "t"), announced);
    announced?;
    assert_eq!(answer?, (200, FleetEngine::expected_stream("t", EVENTS), true));
    Ok(())
}

/// What has to stay: a target that says nothing any more is left while another one takes the stream.
#[actix_rt::test]
async fn target_that_is_silent_for_good_is_left_for_another_one() -> Result<()> {
    let fleet = ready("for-good", "engines", 2, ROOM).await?;
    fleet.engines.iter().for_each(|engine| engine.always(EngineStep::Pause(BEFORE, FOR_GOOD)));
    let served = then_always(&fleet, "t", EngineStep::Serve);
    let begun = std::time::Instant::now();
    let entry = &fleet.daemons[0].callers;
    let (answer, served) = tokio::join!(call(entry, "/resumed/stream/a", "t"), served);
    served?;
    assert_eq!(answer?, (200, FleetEngine::expected_stream("t", EVENTS), true));
    assert!(begun.elapsed() < Duration::from_millis(2_500), "{:?}", begun.elapsed());
    Ok(())
}
