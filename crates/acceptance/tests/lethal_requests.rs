//! 19 engines ended one after the other under one request, and 29 under another. Its caller sent it again and again, with
//! the same path, account and body, at whichever daemon; each daemon sent it on as if it had never been seen. The
//! connection that broke counted as a failure of the engine alone: nothing remembered what the request had done.
//!
//! What settled it: every try reached one engine, was under its end some 80 ms after it began to run there, and was
//! answered with a 502 at once; the tries came to different daemons. Before the repair the first case below logged,
//! three times in a row and then three times more, each with the same digest:
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
use curlewcleat_standins::fleet::FleetDeployment;
use curlewcleat_targets::{collect, ConnectionPool};
use rstest::rstest;

const PACE: Duration = Duration::from_millis(5);
const EVENTS: u64 = 3;
const ENGINES: usize = 8;
/// Ends after which a request is not sent on: the users' bound.
const ENDS: usize = 3;
/// Time in which every daemon knows of the ends: the users' bound, three seconds, is longer.
const CONTACT: Duration = Duration::from_secs(1);
/// Time after which the entry of an engine that has ended lapses.
const LAPSE: Duration = Duration::from_millis(600);
const LETHAL: &[u8] = b"ends its engine";
const OTHER: &[u8] = b"ends nothing";

/// What a caller got.
struct CallerResult {
    status: u16,
    retry_after: Option<String>,
    text: String,
}

async fn call(entry: &str, path: &str, attempt: &str, body: &'static [u8]) -> Result<CallerResult> {
    let head = fleet_head(path, attempt)?;
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let answer = connection.exchange(head, Bytes::from_static(body)).await?;
    let status = answer.head.status.as_u16();
    let retry_after = answer.head.headers.get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()).map(str::to_string);
    // An answer that its engine broke off has no whole body.
    let text = collect(answer.body, 1 << 16).await.unwrap_or_default();
    Ok(CallerResult { status, retry_after, text: String::from_utf8_lossy(&text).to_string() })
}

/// Daemons that are ready, and engines that they know.
async fn ready(name: &str, pool: &str, path: &str) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    for _ in 0..ENGINES {
        fleet.engine(pool, EVENTS, PACE).await?;
    }
    fleet.daemons(3, "retry_saved = 100\nretry_ratio = 0.5").await?;
    wait_ready(&fleet, path).await?;
    fleet.engines_end_under(LETHAL, LAPSE);
    Ok(fleet)
}

/// Daemons that have begun, know each other, and serve. Before they know each other they tell each other of no end: a try 20 ms
/// after another one at a daemon that had begun 100 ms ago reached a fourth engine.
async fn wait_ready(fleet: &FleetDeployment, path: &str) -> Result<()> {
    fleet.peers_known().await?;
    for daemon in &fleet.daemons {
        wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
            .await?;
        wait_until("served", || async {
            call(&daemon.callers, path, "warm", OTHER).await.is_ok_and(|got| got.status == 200)
        })
        .await?;
    }
    Ok(())
}

/// Engines that the request has reached.
fn reached(fleet: &FleetDeployment) -> usize {
    let runs = fleet.engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| run.body == LETHAL).count()
}

/// The caller repeats the request, each time at another daemon, until engines have ended under it.
async fn repeat_until_ended(fleet: &FleetDeployment, path: &str) -> Result<()> {
    let mut daemons = fleet.daemons.iter().cycle();
    wait_until("engines have ended", || {
        let entry = daemons.next().map(|daemon| daemon.callers.clone());
        async move {
            if let Some(entry) = entry.filter(|_| reached(fleet) < ENDS) {
                // A try that meets the address of an engine that has ended reaches none.
                let _ = call(&entry, path, "first", LETHAL).await;
            }
            reached(fleet) >= ENDS
        }
    })
    .await?;
    assert_eq!(reached(fleet), ENDS);
    Ok(())
}

/// Tries at every daemon; what the last one got.
async fn try_everywhere(fleet: &FleetDeployment, path: &str, name: &str) -> Result<CallerResult> {
    let mut last = None;
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let got = call(&daemon.callers, path, &format!("{name}-{index}"), LETHAL).await?;
        assert_ne!(got.status, 200);
        last = Some(got);
    }
    last.ok_or_else(|| anyhow::anyhow!("no daemon"))
}

#[rstest]
#[case::stream("stream", "engines", "/plain/stream/a")]
#[case::resumed_stream("resumed", "engines", "/resumed/stream/a")]
#[case::record("record", "records", "/once/a")]
#[actix_rt::test]
async fn request_under_which_engines_ended_is_sent_to_no_further_one(
    #[case] name: &str,
    #[case] pool: &str,
    #[case] path: &str,
) -> Result<()> {
    let fleet = ready(&format!("lethal-{name}"), pool, path).await?;
    repeat_until_ended(&fleet, path).await?;
    tokio::time::sleep(CONTACT).await;
    let got = try_everywhere(&fleet, path, "more").await?;
    assert_eq!(reached(&fleet), ENDS, "{} {}", got.status, got.text);
    assert!(got.retry_after.is_none(), "nothing is to bring the caller back: {}", got.text);
    // Whoever asks for something else is served.
    wait_ready(&fleet, path).await
}

/// All daemons lose what they know at the same moment.
#[actix_rt::test]
async fn daemons_that_begin_anew_together_know_the_request() -> Result<()> {
    let path = "/plain/stream/a";
    let mut fleet = ready("lethal-anew", "engines", path).await?;
    repeat_until_ended(&fleet, path).await?;
    tokio::time::sleep(CONTACT).await;
    for index in 0..fleet.daemons.len() {
        fleet.daemons[index].process.kill();
    }
    for index in 0..fleet.daemons.len() {
        fleet.restart(index).await?;
    }
    wait_ready(&fleet, path).await?;
    try_everywhere(&fleet, path, "anew").await?;
    assert_eq!(reached(&fleet), ENDS);
    Ok(())
}

/// An operator sees which request is refused and for which engines, and lets it be served again.
#[actix_rt::test]
async fn operator_sees_the_request_and_clears_it() -> Result<()> {
    let path = "/plain/stream/a";
    let fleet = ready("lethal-clear", "engines", path).await?;
    repeat_until_ended(&fleet, path).await?;
    tokio::time::sleep(CONTACT).await;
    let (code, shown) = fleet.tool(&["--json", "show", "suspects"])?;
    let suspects: serde_json::Value = serde_json::from_str(&shown)?;
    assert_eq!((code, &suspects[0]["refused"]), (0, &serde_json::json!(true)), "{shown}");
    let targets = suspects[0]["targets"].as_array().map_or(0, Vec::len);
    assert_eq!(targets, ENDS, "{shown}");
    let digest = suspects[0]["digest"].as_str().unwrap_or_default();
    let (code, output) = fleet.tool(&["clear", digest])?;
    assert_eq!(code, 0, "{output}");
    wait_until("every daemon sends it again", || async {
        let suspects = fleet.tool(&["--json", "show", "suspects"]);
        suspects.is_ok_and(|(_, shown)| !shown.contains("true"))
    })
    .await?;
    tokio::time::sleep(CONTACT).await;
    try_everywhere(&fleet, path, "cleared").await?;
    assert!(reached(&fleet) > ENDS);
    Ok(())
}
