//! What callers state about the stream that they take up, against the version of the targets that began it.

use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::example::{DRIVERS_KEY, HOST};
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::deployment::wait_until;
use curlewcleat_standins::fleet::FleetDeployment;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Events of a stream.
const EVENTS: usize = 6;
const EVENT_INTERVAL: Duration = Duration::from_millis(2);
/// Longer than a daemon needs for a changed configuration.
const APPLIED_AFTER: Duration = Duration::from_millis(1_500);
const FIRST_ATTEMPT: &str = "first";

/// Sends an attempt with further header lines and returns the answer as it was sent.
async fn call(entry: &str, path: &str, attempt: &str, lines: &str) -> Result<String> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: {attempt}\r\n{}: 4000\r\nConnection: close\r\n\
         Authorization: Bearer {DRIVERS_KEY}\r\nContent-Length: 1\r\n{lines}\r\nb",
        WIRE_PROFILE.attempt_id, WIRE_PROFILE.time_left
    );
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

fn take_up_lines(positions: &[&str]) -> String {
    let lines = positions.iter().map(|position| format!("Last-Event-Id: {position}\r\n"));
    lines.collect::<String>() + &format!("Resumes: {FIRST_ATTEMPT}\r\n")
}

fn status(answer: &str) -> &str {
    answer.strip_prefix("HTTP/1.1 ").map_or("", |rest| &rest[..3])
}

fn event_count(answer: &str) -> usize {
    answer.lines().filter(|line| line.starts_with("id: ")).count()
}

/// Starts a daemon and a target, and begins a stream on a path.
async fn begin_stream(name: &str, path: &str) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    fleet.engine_with_version("engines", "v1", EVENTS as u64, EVENT_INTERVAL).await?;
    fleet.daemons(1, "").await?;
    let entry = fleet.daemons[0].callers.clone();
    wait_until("served", || async {
        let answer = call(&entry, path, FIRST_ATTEMPT, "").await;
        answer.is_ok_and(|answer| status(&answer) == "200")
    })
    .await?;
    Ok(fleet)
}

/// Replaces the target by one of another version.
async fn replace_target(fleet: &mut FleetDeployment) -> Result<()> {
    fleet.engine_with_version("engines", "v2", EVENTS as u64, EVENT_INTERVAL).await?;
    fleet.terminate_engine(0).await;
    let entry = fleet.daemons[0].callers.clone();
    wait_until("the other version serves", || async {
        let answer = call(&entry, "/plain/stream/1", "warm", "").await;
        answer.is_ok_and(|answer| status(&answer) == "200")
    })
    .await
}

/// Guards against a stream that goes on at another version because the daemon reads another position than the target.
#[rstest]
#[case::zero(&["0", "3"])]
#[case::empty(&["", "3"])]
#[actix_rt::test]
async fn stream_taken_up_at_several_positions_does_not_go_on(
    #[case] positions: &[&str],
) -> Result<()> {
    let path = "/resumed/stream/1";
    let mut fleet = begin_stream(&format!("positions-{}", positions[0].len()), path).await?;
    replace_target(&mut fleet).await?;
    let entry = fleet.daemons[0].callers.clone();
    let answer = call(&entry, path, "second", &take_up_lines(positions)).await?;
    assert_eq!(status(&answer), "400", "{answer}");
    let runs = fleet.engines[1].runs();
    assert!(runs.iter().all(|run| run.attempt != "second"), "it ran");
    Ok(())
}

/// Guards against a stream that goes on in a new run where its route does not allow that.
#[actix_rt::test]
async fn stream_that_may_not_be_resumed_is_not_taken_up() -> Result<()> {
    let path = "/plain/stream/1";
    let fleet = begin_stream("not-resumed", path).await?;
    let entry = fleet.daemons[0].callers.clone();
    let answer = call(&entry, path, "second", &take_up_lines(&["3"])).await?;
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(fleet.engines[0].runs().iter().all(|run| run.attempt != "second"), "it ran");
    // Nothing to take up.
    for position in ["0", ""] {
        let attempt = format!("begun-{position}");
        let answer = call(&entry, path, &attempt, &take_up_lines(&[position])).await?;
        assert_eq!((status(&answer), event_count(&answer)), ("200", EVENTS), "{answer}");
    }
    Ok(())
}

/// Guards against a stream that goes on at another version because its route stopped allowing resumption meanwhile.
#[actix_rt::test]
async fn stream_does_not_go_on_at_another_version_after_resumption_was_switched_off() -> Result<()>
{
    let path = "/resumed/stream/1";
    let mut fleet = begin_stream("switched-off", path).await?;
    replace_target(&mut fleet).await?;
    let routes = fleet.config.routes.iter_mut();
    routes.filter(|route| route.name == "resumed-stream").for_each(|route| {
        route.toggle_resumption();
    });
    fleet.store_config()?;
    tokio::time::sleep(APPLIED_AFTER).await;
    let entry = fleet.daemons[0].callers.clone();
    let answer = call(&entry, path, "second", &take_up_lines(&["3"])).await?;
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(fleet.engines[1].runs().iter().all(|run| run.attempt != "second"), "it ran");
    Ok(())
}
