//! An engine that restarts under the same id: what a real daemon sends to it, and how the daemon answers requests that
//! were in flight to the earlier instance.

use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use anyhow::Result;
use bytes::Bytes;
use curlewcleat_platform::example::{DRIVERS_KEY, HOST};
use curlewcleat_platform::names::{SERVERS, START_FIELD, WIRE_PROFILE};
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::{EngineStep, FleetDeployment};
use curlewcleat_targets::{collect, ConnectionPool};
use serde_json::json;

/// Time that the engine takes for a record.
const RECORD_TIME: Duration = Duration::from_millis(10);
const ENGINE_ID: &str = "i-0";
/// Start times of two instances of the engine, in milliseconds since 1970.
const FIRST_START_MS: u64 = 1_764_720_000_000;
const SECOND_START_MS: u64 = FIRST_START_MS + 5_000;
/// Time within which a daemon applies a watched list entry.
const APPLY_TIME: Duration = Duration::from_millis(400);

/// Sends one request on a new connection and returns the status of the answer.
async fn send(daemon: &str, path: &str, attempt: &str) -> Result<u16> {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = path.parse()?;
    let headers = [
        ("host", HOST),
        (WIRE_PROFILE.attempt_id, attempt),
        (WIRE_PROFILE.time_left, "2000"),
        ("authorization", &format!("Bearer {DRIVERS_KEY}")),
    ];
    for (name, value) in headers {
        head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(value)?);
    }
    let connection = ConnectionPool::default().connect(daemon, Duration::from_secs(2)).await?;
    let answer = connection.exchange(head, Bytes::from_static(b"b")).await?;
    let status = answer.head.status.as_u16();
    collect(answer.body, 1 << 16).await.map_err(anyhow::Error::msg)?;
    Ok(status)
}

/// Writes the list entry of the engine.
fn announce(fleet: &FleetDeployment, start: u64, address: &str, state: &str) {
    let entry = json!({"backend": "records", "address": address, "zone": "here", "slots": 4,
        "state": state, "sequence": 1, START_FIELD: start});
    fleet.store.put(SERVERS, ENGINE_ID, entry);
}

/// Starts daemons and one engine in its first instance, and waits until the daemons serve records.
async fn ready(name: &str, daemons: usize) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    fleet.engine("records", 0, RECORD_TIME).await?;
    announce(&fleet, FIRST_START_MS, &fleet.engine_addresses[0], "ready");
    fleet.daemons(daemons, "config_age_limit = 1500ms").await?;
    for daemon in &fleet.daemons {
        wait_until("readiness", || async {
            get_text(&daemon.operators, "/readyz").await.is_ok_and(|body| body == "ready")
        })
        .await?;
        wait_until("records are served", || async {
            send(&daemon.callers, "/again/x", "warm").await.is_ok_and(|status| status == 200)
        })
        .await?;
    }
    Ok(fleet)
}

/// Guards against an engine that reported `draining` and restarted under its id, and received no request until the
/// daemon restarted, because a leaving target never becomes usable again.
#[actix_rt::test]
async fn engine_that_left_is_used_after_it_restarted() -> Result<()> {
    // The third daemon receives the list of engines from the others.
    let fleet = ready("lives-left", 3).await?;
    let address = fleet.engine_addresses[0].clone();
    announce(&fleet, FIRST_START_MS, &address, "draining");
    tokio::time::sleep(APPLY_TIME * 3).await;
    for daemon in &fleet.daemons {
        assert_eq!(send(&daemon.callers, "/once/a", "left").await?, 503);
    }
    announce(&fleet, SECOND_START_MS, &address, "ready");
    for daemon in &fleet.daemons {
        wait_until("the later instance is used", || async {
            send(&daemon.callers, "/again/x", "anew").await.is_ok_and(|status| status == 200)
        })
        .await?;
    }
    // A late write of the list entry by the earlier instance.
    announce(&fleet, FIRST_START_MS, "127.0.0.1:1", "draining");
    tokio::time::sleep(APPLY_TIME * 3).await;
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        assert_eq!(send(&daemon.callers, "/once/a", &format!("late-{index}")).await?, 200);
    }
    Ok(())
}

/// The request reached the earlier instance, which ran it and ended without an answer; the later instance at the same
/// address declines all requests. This does not prove that the request did not run.
#[actix_rt::test]
async fn later_instance_that_declines_does_not_prove_that_the_earlier_one_ran_nothing() -> Result<()>
{
    let fleet = ready("lives-once", 1).await?;
    let entry = fleet.daemons[0].callers.clone();
    let engine = fleet.engines[0].clone();
    engine.queue_step(EngineStep::Stall);
    let sent = actix_rt::spawn(async move { send(&entry, "/once/a", "once").await });
    wait_until("the request runs", || async {
        engine.runs().iter().any(|run| run.attempt == "once" && run.ran)
    })
    .await?;
    engine.set_default_step(EngineStep::Decline);
    announce(&fleet, SECOND_START_MS, &fleet.engine_addresses[0], "ready");
    let status = sent.await??;
    assert!(matches!(status, 502 | 504), "{status}");
    let runs = engine.runs();
    assert_eq!(runs.iter().filter(|run| run.attempt == "once").count(), 1, "{runs:?}");
    Ok(())
}
