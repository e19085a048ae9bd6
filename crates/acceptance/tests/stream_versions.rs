//! Streams that are continued while targets of two versions of their software serve side by side.
//!
//! Guards against streams that are joined of two versions, whose events do not fit together: a target does not check
//! which version began the stream that it continues.

use std::collections::BTreeMap;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use anyhow::{ensure, Context, Result};
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::{EngineStep, FleetDeployment, FleetEngine};
use curlewcleat_targets::{AnswerBody, ConnectionPool};
use futures_util::future::{join_all, try_join_all};
use futures_util::StreamExt;
use rstest::rstest;

/// Events of a stream.
const EVENTS: u64 = 6;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);
/// Events that a caller has when its stream breaks off.
const EVENTS_BEFORE: u64 = 2;
/// Streams that break off at the same time.
const STREAMS: usize = 8;
const PATH: &str = "/resumed/stream/a";
/// Longer than callers have for a stream, and the time by which clocks of daemons may differ beside it.
const PROVED_AFTER: Duration = Duration::from_secs(7);
/// Bounds under which every stream may be continued.
const BOUNDS: &str = "retry_saved = 10000\nretry_ratio = 10";

/// A stream that a caller takes up again.
struct TakeUp<'a> {
    /// The attempt that brought the first event.
    begun_as: &'a str,
    /// Number of the last event that the caller has.
    after: u64,
}

/// Sends a request for a stream; returns the status and the body.
async fn begin(
    entry: &str,
    attempt: &str,
    take_up: Option<TakeUp<'_>>,
) -> Result<(u16, AnswerBody)> {
    let mut head = fleet_head(PATH, attempt)?;
    if let Some(TakeUp { begun_as, after }) = take_up {
        let headers =
            [(WIRE_PROFILE.last_event, after.to_string()), (WIRE_PROFILE.resumes, begun_as.into())];
        for (name, value) in headers {
            head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(&value)?);
        }
    }
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let answer = connection.exchange(head, Bytes::from(attempt.to_string())).await?;
    Ok((answer.head.status.as_u16(), answer.body))
}

/// Reads a stream to its end; fails if it is cut.
async fn read(mut body: AnswerBody) -> Result<String> {
    let mut bytes = Vec::new();
    while let Some(part) = body.next().await {
        bytes.extend_from_slice(&part?);
    }
    Ok(String::from_utf8(bytes)?)
}

/// Begins a stream and disconnects after [`EVENTS_BEFORE`] events.
async fn begin_and_disconnect(entry: &str, attempt: &str) -> Result<()> {
    let (status, mut body) = begin(entry, attempt, None).await?;
    ensure!(status == 200, "{attempt}: {status}");
    let length = FleetEngine::expected_stream(attempt, EVENTS_BEFORE).len();
    let mut received = 0;
    while received < length {
        received += body.next().await.context("the stream ended")??.len();
    }
    Ok(())
}

/// Takes up a stream and reads it to its end; returns the status.
async fn take_up(entry: &str, attempt: &str, begun_as: &str) -> Result<u16> {
    let after = EVENTS_BEFORE;
    let (status, body) = begin(entry, attempt, Some(TakeUp { begun_as, after })).await?;
    let text = read(body).await?;
    let expected = FleetEngine::expected_stream(attempt, EVENTS);
    let skipped = FleetEngine::expected_stream(attempt, after).len();
    ensure!(status != 200 || text == expected[skipped..], "{attempt}: {text}");
    Ok(status)
}

async fn wait_served(fleet: &FleetDeployment) -> Result<()> {
    fleet.wait_for_all_peers().await?;
    for daemon in &fleet.daemons {
        wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
            .await?;
        wait_until("served", || async {
            begin(&daemon.callers, "warm", None).await.is_ok_and(|(status, _)| status == 200)
        })
        .await?;
    }
    Ok(())
}

/// Starts two engines of each of two versions and three daemons.
async fn ready(name: &str) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    for version in ["v1", "v1", "v2", "v2"] {
        fleet.engine_with_version("engines", version, EVENTS, EVENT_INTERVAL).await?;
    }
    fleet.daemons(3, BOUNDS).await?;
    wait_served(&fleet).await?;
    Ok(fleet)
}

/// Returns the versions of the engines that ran each attempt, in the order of their first events.
fn versions_of(fleet: &FleetDeployment) -> BTreeMap<String, Vec<&'static str>> {
    let mut runs: Vec<(String, u64, &'static str)> = Vec::new();
    for (index, engine) in fleet.engines.iter().enumerate() {
        let version = if index < 2 { "v1" } else { "v2" };
        runs.extend(engine.runs().into_iter().map(|run| (run.attempt, run.after, version)));
    }
    runs.sort();
    let mut versions: BTreeMap<String, Vec<&'static str>> = BTreeMap::new();
    for (attempt, _, version) in runs {
        versions.entry(attempt).or_default().push(version);
    }
    versions
}

#[actix_rt::test]
async fn stream_that_breaks_off_goes_on_at_its_version() -> Result<()> {
    let fleet = ready("within").await?;
    let entry = &fleet.daemons[0].callers;
    for round in 0..6 {
        let attempts: Vec<String> =
            (0..STREAMS).map(|number| format!("r{round}-{number}")).collect();
        for attempt in &attempts {
            fleet.set_attempt_step(attempt, EngineStep::Interrupt(EVENTS_BEFORE));
        }
        let streams = attempts.iter().map(|attempt| async move {
            let (status, body) = begin(entry, attempt, None).await?;
            ensure!(status == 200, "{attempt}: {status}");
            Ok(read(body).await? == FleetEngine::expected_stream(attempt, EVENTS))
        });
        let whole: Vec<bool> = try_join_all(streams).await?;
        assert!(whole.iter().all(|whole| *whole), "{whole:?}");
        // Between two rounds whole answers, since a target that fails again and again is not used for a while.
        let others = (0..STREAMS).map(|number| format!("w{round}-{number}"));
        for attempt in others.collect::<Vec<_>>() {
            read(begin(entry, &attempt, None).await?.1).await?;
        }
    }
    let versions = versions_of(&fleet);
    let joined =
        versions.iter().filter(|(_, versions)| versions.windows(2).any(|two| two[0] != two[1]));
    let joined: Vec<_> = joined.filter(|(attempt, _)| *attempt != "warm").collect();
    assert!(joined.is_empty(), "{} joined: {joined:?}", joined.len());
    Ok(())
}

/// What ends between the two attempts of the callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    Nothing,
    EntryDaemon,
    EntryDaemonAndAnother,
}

#[rstest]
#[case::nothing_ended("none", Ended::Nothing)]
#[case::its_daemon_was_killed("entry", Ended::EntryDaemon)]
#[case::two_of_three_daemons_were_killed("two", Ended::EntryDaemonAndAnother)]
#[actix_rt::test]
async fn stream_that_its_caller_takes_up_goes_on_at_its_version(
    #[case] name: &str,
    #[case] ended: Ended,
) -> Result<()> {
    let mut fleet = ready(&format!("taken-up-{name}")).await?;
    if ended != Ended::Nothing {
        // A daemon that is killed at once leaves only what the platform has stored.
        tokio::time::sleep(PROVED_AFTER).await;
    }
    let rounds = if ended == Ended::Nothing { 6 } else { 1 };
    let mut served = 0;
    for round in 0..rounds {
        let attempts: Vec<(String, String)> = (0..STREAMS)
            .map(|number| (format!("a{round}-{number}"), format!("b{round}-{number}")))
            .collect();
        for (first, _) in &attempts {
            let pause = Duration::from_secs(2);
            fleet.set_attempt_step(first, EngineStep::Pause(EVENTS_BEFORE, pause));
        }
        let entry = fleet.daemons[0].callers.clone();
        let begun = attempts.iter().map(|(first, _)| begin_and_disconnect(&entry, first));
        try_join_all(begun).await?;
        if ended != Ended::Nothing {
            fleet.daemons[0].process.kill();
        }
        if ended == Ended::EntryDaemonAndAnother {
            fleet.daemons[1].process.kill();
        }
        let entry = fleet.daemons[2].callers.clone();
        let taken_up = attempts.iter().map(|(first, second)| take_up(&entry, second, first));
        let statuses = join_all(taken_up).await;
        served += statuses.iter().filter(|status| matches!(status, Ok(200))).count();
    }
    let versions = versions_of(&fleet);
    let is_joined = |(attempt, second): (&String, &Vec<&str>)| {
        let first = attempt.replacen('b', "a", 1);
        attempt.starts_with('b') && versions.get(&first).is_some_and(|first| first[0] != second[0])
    };
    let joined = versions.iter().filter(|(attempt, second)| is_joined((attempt, second))).count();
    assert_eq!(joined, 0, "of {} that went on", served);
    assert!(served * 20 >= rounds * STREAMS * 19, "{served} of {} went on", rounds * STREAMS);
    Ok(())
}

#[actix_rt::test]
async fn stream_of_an_unknown_version_is_refused_as_not_run() -> Result<()> {
    let fleet = ready("unknown").await?;
    let status = take_up(&fleet.daemons[1].callers, "b", "nobody").await?;
    assert_eq!(status, 503);
    assert!(!versions_of(&fleet).contains_key("b"));
    Ok(())
}

/// Guards against the only version that serves being taken for the one that began a stream: another one may have left.
#[actix_rt::test]
async fn stream_of_an_unknown_version_goes_on_only_where_one_version_is_proved_to_have_served(
) -> Result<()> {
    let mut fleet = FleetDeployment::start("alone").await?;
    fleet.store_config()?;
    fleet.engine_with_version("engines", "v1", EVENTS, EVENT_INTERVAL).await?;
    fleet.daemons(2, BOUNDS).await?;
    wait_served(&fleet).await?;
    let entry = &fleet.daemons[1].callers.clone();
    assert_eq!(take_up(entry, "b", "nobody").await?, 503);
    tokio::time::sleep(PROVED_AFTER).await;
    assert_eq!(take_up(entry, "c", "nobody").await?, 200);
    fleet.engine_with_version("engines", "v2", EVENTS, EVENT_INTERVAL).await?;
    fleet.terminate_engine(0).await;
    wait_until("v2", || async {
        begin(entry, "new", None).await.is_ok_and(|(status, _)| status == 200)
    })
    .await?;
    assert_eq!(take_up(entry, "d", "nobody").await?, 503);
    Ok(())
}

/// Guards against a stream that goes on at another pool, to which the configuration has moved its route.
#[actix_rt::test]
async fn stream_does_not_go_on_at_another_pool_after_its_route_was_moved() -> Result<()> {
    let mut fleet = FleetDeployment::start("moved").await?;
    let services = &mut fleet.config.services;
    let mut others = services.iter().find(|s| s.name == "engines").context("a service")?.clone();
    others.name = "others".to_string();
    services.push(others);
    fleet.store_config()?;
    for pool in ["engines", "others"] {
        fleet.engine_with_version(pool, "v1", EVENTS, EVENT_INTERVAL).await?;
    }
    fleet.daemons(2, BOUNDS).await?;
    wait_served(&fleet).await?;
    fleet.set_attempt_step("a", EngineStep::Pause(EVENTS_BEFORE, Duration::from_secs(2)));
    begin_and_disconnect(&fleet.daemons[0].callers, "a").await?;

    let route = fleet.config.routes.iter_mut().find(|route| route.name == "resumed-stream");
    route.context("a route")?.backend = Some("others".to_string());
    fleet.store_config()?;
    for daemon in &fleet.daemons {
        wait_until("the route is moved", || async {
            let before = fleet.engines[1].runs().len();
            let begun = begin(&daemon.callers, "moved", None).await;
            begun.is_ok_and(|(status, _)| status == 200) && fleet.engines[1].runs().len() > before
        })
        .await?;
    }
    for (daemon, attempt) in fleet.daemons.iter().zip(["b", "c"]) {
        assert_eq!(take_up(&daemon.callers, attempt, "a").await?, 503);
    }
    assert!(fleet.engines[1].runs().iter().all(|run| run.attempt == "moved"));
    Ok(())
}
