//! Reserved headers, with which only a daemon may control a target.
//!
//! Guards against a daemon that forwards every header that it doesn't set itself. A caller that set reserved headers
//! took a slot and memory of a target ahead of all waiting requests, made targets copy memory to an address of its
//! choice, and made working targets decline requests: 649 of 3,093 requests that arrived at targets in 34 s
//! were declined there, and the log showed `attempt_failed` with `target_not_started` for each.

use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::example::{DRIVERS_KEY, HOST};
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::deployment::wait_until;
use curlewcleat_standins::fleet::{EngineRun, FleetDeployment};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request with additional header lines, which are not changed, and reads the first part of the answer.
async fn call(entry: &str, attempt: &str, lines: &str) -> Result<String> {
    let request = format!(
        "POST /once/a HTTP/1.1\r\nHost: {HOST}\r\n{}: {attempt}\r\n{}: 4000\r\n\
         Authorization: Bearer {DRIVERS_KEY}\r\nContent-Length: 1\r\n{lines}\r\nb",
        WIRE_PROFILE.attempt_id, WIRE_PROFILE.time_left
    );
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut answer = vec![0; 4_096];
    let length = stream.read(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer[..length]).to_string())
}

/// Returns the request that the target received for a request with these header lines.
async fn received_by_target(name: &str, lines: &str) -> Result<EngineRun> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    fleet.engine("records", 0, Duration::from_millis(1)).await?;
    fleet.daemons(1, "").await?;
    let entry = fleet.daemons[0].callers.clone();
    wait_until("records are served", || async {
        call(&entry, "warm", "").await.is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    })
    .await?;
    let answer = call(&entry, "t", lines).await?;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let runs = fleet.engines[0].runs();
    Ok(runs.into_iter().rfind(|run| run.attempt == "t").expect("the target received the request"))
}

#[rstest]
#[case::hold("X-Hold: h-1\r\n", "x-hold")]
#[case::pin("X-Pin-Ms: 4000\r\n", "x-pin-ms")]
#[case::backup("X-Kv-Backup: 10.0.0.1:80\r\n", "x-kv-backup")]
#[case::take_over("Kv-From: 10.0.0.1:80/h\r\n", "kv-from")]
#[case::fetch("Kv-Fetch: 10.0.0.1:80\r\n", "kv-fetch")]
#[case::version("X-Expect-Version: 7\r\n", "x-expect-version")]
#[case::lower_case("x-hold: h-1\r\n", "x-hold")]
#[case::upper_case("X-KV-BACKUP: 10.0.0.1:80\r\n", "x-kv-backup")]
#[case::repeated("X-Hold: h-1\r\nX-Hold: h-2\r\n", "x-hold")]
#[case::connection_option("Connection: x-hold\r\nX-Hold: h-1\r\n", "x-hold")]
#[actix_rt::test]
async fn reserved_header_of_a_caller_is_not_forwarded(
    #[case] lines: &str,
    #[case] header: &str,
) -> Result<()> {
    let name = format!("reserved-{}-{}", header, lines.len());
    let run = received_by_target(&name, lines).await?;
    assert!(!run.headers.contains_key(header), "{:?}", run.headers);
    Ok(())
}

/// Headers that the daemon sets replace those of the caller.
#[rstest]
#[case::instance("X-Expect-Instance: i-9\r\n", WIRE_PROFILE.instance, "i-0")]
#[case::account("X-Tenant: depots\r\n", WIRE_PROFILE.account, "drivers")]
#[case::repeated_account("X-TENANT: a\r\nx-tenant: b\r\n", WIRE_PROFILE.account, "drivers")]
#[case::attempt("Connection: close, X-Attempt-Id\r\n", WIRE_PROFILE.attempt_id, "t")]
#[case::other_header("X-Color: blue\r\n", "x-color", "blue")]
#[actix_rt::test]
async fn header_set_by_the_daemon_reaches_the_target(
    #[case] lines: &str,
    #[case] header: &str,
    #[case] expected: &str,
) -> Result<()> {
    let run = received_by_target(&format!("set-{}-{}", header, lines.len()), lines).await?;
    assert_eq!(run.headers.get(header).map(String::as_str), Some(expected));
    Ok(())
}
