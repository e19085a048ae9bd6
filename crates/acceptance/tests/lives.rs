//! An engine that starts again under its id: what a real daemon sends to it, and what it says of requests
//! that were on their way to the earlier life.

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

const PACE: Duration = Duration::from_millis(10);
const ID: &str = "i-0";
/// Starts of two lives.
const FIRST: u64 = 1_764_720_000_000;
const SECOND: u64 = FIRST + 5_000;
/// Time in which a watched entry is in use at a daemon.
const SEEN: Duration = Duration::from_millis(400);

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

/// The engine writes its entry.
fn announce(fleet: &FleetDeployment, start: u64, address: &str, state: &str) {
    let entry = json!({"backend": "records", "address": address, "zone": "here", "slots": 4,
        "state": state, "sequence": 1, START_FIELD: start});
    fleet.store.put(SERVERS, ID, entry);
}

/// Daemons that are ready, and one engine in its first life.
async fn ready(name: &str, daemons: usize) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    fleet.engine("records", 0, PACE).await?;
    announce(&fleet, FIRST, &fleet.engine_addresses[0], "ready");
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

/// An engine that had stated `draining` and started again under its id was sent nothing until its daemon
/// ended, since a target that leaves never stays after all.
#[actix_rt::test]
async fn engine_that_left_is_used_once_it_has_started_again() -> Result<()> {
    // The third daemon learns of engines by way of the others.
    let fleet = ready("lives-left", 3).await?;
    let address = fleet.engine_addresses[0].clone();
    announce(&fleet, FIRST, &address, "draining");
    tokio::time::sleep(SEEN * 3).await;
    for daemon in &fleet.daemons {
        assert_eq!(send(&daemon.callers, "/once/a", "left").await?, 503);
    }
    announce(&fleet, SECOND, &address, "ready");
    for daemon in &fleet.daemons {
        wait_until("the later life is used", || async {
            send(&daemon.callers, "/again/x", "anew").await.is_ok_and(|status| status == 200)
        })
        .await?;
    }
    // The earlier life writes its entry late.
    announce(&fleet, FIRST, "127.0.0.1:1", "draining");
    tokio::time::sleep(SEEN * 3).await;
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        assert_eq!(send(&daemon.callers, "/once/a", &format!("late-{index}")).await?, 200);
    }
    Ok(())
}

/// The request reached the earlier life, which ran it and ended without an answer; the later life at the
/// same address declines whatever comes. That is no promise about the request.
#[actix_rt::test]
async fn request_to_the_earlier_life_is_not_proved_not_run_by_the_later_one() -> Result<()> {
    let fleet = ready("lives-once", 1).await?;
    let entry = fleet.daemons[0].callers.clone();
    let engine = fleet.engines[0].clone();
    engine.next(EngineStep::Silent);
    let sent = actix_rt::spawn(async move { send(&entry, "/once/a", "once").await });
    wait_until("the request runs", || async {
        engine.runs().iter().any(|run| run.attempt == "once" && run.ran)
    })
    .await?;
    engine.always(EngineStep::Decline);
    announce(&fleet, SECOND, &fleet.engine_addresses[0], "ready");
    let status = sent.await??;
    assert!(matches!(status, 502 | 504), "{status}");
    let runs = engine.runs();
    assert_eq!(runs.iter().filter(|run| run.attempt == "once").count(), 1, "{runs:?}");
    Ok(())
}
