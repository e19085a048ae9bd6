//! Requests that terminate the engines at which they run.
//!
//! Guards against daemons that do not remember such a request. 19 engines terminated one after the other under one
//! request, and 29 under another. The callers repeated it with the same path, account and body at different daemons,
//! and each daemon forwarded it as a new request, because the closed connection counted only as a failure of the
//! engine. Every attempt reached one engine, terminated it some 80 ms after it began to run there, and was answered
//! with a 502 at once. The first case below then logged the following three consecutive times and then three
//! times more, each time with the same digest:
//!
//! ```text
//! attempt_failed  target=i-0 reason=target_closed cause=closed parts=0 answer_begun=false
//! request_refused reason=target_closed may_have_run=true held_ms=1
//! target_gone     target=i-0 left=false
//! ```

use std::time::Duration;

use actix_http::header;
use anyhow::Result;
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::{FleetDeployment, LethalTrigger};
use curlewcleat_targets::{collect, ConnectionPool};
use rstest::rstest;

/// Time that an engine takes for an event of a stream or for a record.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const EVENTS: u64 = 3;
const ENGINES: usize = 8;
/// Terminated engines after which a request is not forwarded: the required bound.
const TERMINATIONS: usize = 3;
/// Time within which every daemon knows of the terminations; the required bound, three seconds, is longer.
const EXCHANGE_TIME: Duration = Duration::from_secs(1);
/// Time after which the list entry of a terminated engine expires.
const ENTRY_EXPIRY: Duration = Duration::from_millis(600);
const LETHAL: &[u8] = b"ends its engine";
const OTHER: &[u8] = b"ends nothing";

/// Status, `Retry-After` header and body of one answer.
struct CallerResult {
    status: u16,
    retry_after: Option<String>,
    text: String,
}

/// Sends one request on a new connection and reads the answer.
async fn call(entry: &str, path: &str, attempt: &str, body: &'static [u8]) -> Result<CallerResult> {
    let head = fleet_head(path, attempt)?;
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let answer = connection.exchange(head, Bytes::from_static(body)).await?;
    let status = answer.head.status.as_u16();
    let retry_after = answer.head.headers.get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()).map(str::to_string);
    // The body of an interrupted answer is incomplete and is ignored.
    let text = collect(answer.body, 1 << 16).await.unwrap_or_default();
    Ok(CallerResult { status, retry_after, text: String::from_utf8_lossy(&text).to_string() })
}

/// Starts daemons and engines, and waits until the daemons serve. From then on the body `LETHAL` terminates engines.
async fn ready(name: &str, pool: &str, path: &str) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    for _ in 0..ENGINES {
        fleet.engine(pool, EVENTS, EVENT_INTERVAL).await?;
    }
    fleet.daemons(3, "retry_saved = 100\nretry_ratio = 0.5").await?;
    wait_ready(&fleet, path).await?;
    let trigger = LethalTrigger::Body(LETHAL.to_vec());
    fleet.terminate_engines_on(&trigger, Duration::ZERO, ENTRY_EXPIRY);
    Ok(fleet)
}

/// Waits until the daemons know each other, are ready and serve. Daemons that don't know each other yet don't report
/// terminations to each other: an attempt 20 ms after another one, at a daemon started 100 ms before, reached a fourth
/// engine.
async fn wait_ready(fleet: &FleetDeployment, path: &str) -> Result<()> {
    fleet.wait_for_all_peers().await?;
    for daemon in &fleet.daemons {
        wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
            .await?;
        wait_until("served", || async {
            call(&daemon.callers, path, "warm", OTHER)
                .await
                .is_ok_and(|result| result.status == 200)
        })
        .await?;
    }
    Ok(())
}

/// Returns the number of engines that the request has reached.
fn reached(fleet: &FleetDeployment) -> usize {
    let runs = fleet.engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| run.body == LETHAL).count()
}

/// Repeats the request, each time at another daemon, until it has terminated `TERMINATIONS` engines.
async fn repeat_until_refused(fleet: &FleetDeployment, path: &str) -> Result<()> {
    let mut daemons = fleet.daemons.iter().cycle();
    wait_until("engines have terminated", || {
        let entry = daemons.next().map(|daemon| daemon.callers.clone());
        async move {
            if let Some(entry) = entry.filter(|_| reached(fleet) < TERMINATIONS) {
                // An attempt sent to the address of a terminated engine reaches no engine.
                let _ = call(&entry, path, "first", LETHAL).await;
            }
            reached(fleet) >= TERMINATIONS
        }
    })
    .await?;
    assert_eq!(reached(fleet), TERMINATIONS);
    Ok(())
}

/// Sends the request to every daemon once and returns the last result.
async fn send_to_every_daemon(
    fleet: &FleetDeployment,
    path: &str,
    name: &str,
) -> Result<CallerResult> {
    let mut last = None;
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let result = call(&daemon.callers, path, &format!("{name}-{index}"), LETHAL).await?;
        assert_ne!(result.status, 200);
        last = Some(result);
    }
    last.ok_or_else(|| anyhow::anyhow!("no daemon"))
}

#[rstest]
#[case::stream("stream", "engines", "/plain/stream/a")]
#[case::resumed_stream("resumed", "engines", "/resumed/stream/a")]
#[case::record("record", "records", "/once/a")]
#[actix_rt::test]
async fn request_that_terminated_engines_reaches_no_further_engine(
    #[case] name: &str,
    #[case] pool: &str,
    #[case] path: &str,
) -> Result<()> {
    let fleet = ready(&format!("lethal-{name}"), pool, path).await?;
    repeat_until_refused(&fleet, path).await?;
    tokio::time::sleep(EXCHANGE_TIME).await;
    let result = send_to_every_daemon(&fleet, path, "more").await?;
    assert_eq!(reached(&fleet), TERMINATIONS, "{} {}", result.status, result.text);
    assert!(result.retry_after.is_none(), "the caller must not retry: {}", result.text);
    // Other requests are still served.
    wait_ready(&fleet, path).await
}

/// All daemons lose what they hold in memory at the same time.
#[actix_rt::test]
async fn daemons_that_all_restart_still_refuse_the_request() -> Result<()> {
    let path = "/plain/stream/a";
    let mut fleet = ready("lethal-anew", "engines", path).await?;
    repeat_until_refused(&fleet, path).await?;
    tokio::time::sleep(EXCHANGE_TIME).await;
    for index in 0..fleet.daemons.len() {
        fleet.daemons[index].process.kill();
    }
    for index in 0..fleet.daemons.len() {
        fleet.restart(index).await?;
    }
    wait_ready(&fleet, path).await?;
    send_to_every_daemon(&fleet, path, "anew").await?;
    assert_eq!(reached(&fleet), TERMINATIONS);
    Ok(())
}

/// An operator lists the refused request with the engines that it terminated, and allows it again.
#[actix_rt::test]
async fn operator_lists_the_refused_request_and_clears_it() -> Result<()> {
    let path = "/plain/stream/a";
    let fleet = ready("lethal-clear", "engines", path).await?;
    repeat_until_refused(&fleet, path).await?;
    tokio::time::sleep(EXCHANGE_TIME).await;
    let (code, shown) = fleet.tool(&["--json", "show", "suspects"])?;
    let suspects: serde_json::Value = serde_json::from_str(&shown)?;
    assert_eq!((code, &suspects[0]["refused"]), (0, &serde_json::json!(true)), "{shown}");
    let targets = suspects[0]["targets"].as_array().map_or(0, Vec::len);
    assert_eq!(targets, TERMINATIONS, "{shown}");
    let digest = suspects[0]["digest"].as_str().unwrap_or_default();
    let (code, output) = fleet.tool(&["clear", digest])?;
    assert_eq!(code, 0, "{output}");
    wait_until("every daemon forwards the request again", || async {
        let suspects = fleet.tool(&["--json", "show", "suspects"]);
        suspects.is_ok_and(|(_, shown)| !shown.contains("true"))
    })
    .await?;
    tokio::time::sleep(EXCHANGE_TIME).await;
    send_to_every_daemon(&fleet, path, "cleared").await?;
    assert!(reached(&fleet) > TERMINATIONS);
    Ok(())
}
