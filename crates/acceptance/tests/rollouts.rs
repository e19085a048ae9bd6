//! Rollouts ordered by an operator: real daemons, a store, and engines of the old and the new version.
//!
//! Guards against a daemon that ignores how a new version answers. Its engines start idle and near, so they received
//! their full share of the requests from the first second, and the rollout was never decided. Ten seconds after the
//! order, a version whose answers fail had no status and had received 20 of 476 requests, limited only by the ejection
//! of each single engine; a slow version had received 24 of 387; a good version was never completed. The tests count
//! the requests in the records of the engines.

mod support;

use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::names::{COMPLETED, ROLLED_BACK, ROLLOUTS, RUNNING};
use curlewcleat_standins::deployment::wait_until;
use curlewcleat_standins::fleet::{EngineStep, FleetDeployment, FleetEngine, StoreOutage};
use rstest::rstest;
use serde_json::json;

use support::{entry_daemons, load, wait_served, CallerResult};

const POOL: &str = "records";
/// Requests to this path may run more than once, so that callers are served although an engine fails.
const PATH: &str = "/again/a";
const DAEMONS: usize = 3;
const OLD_ENGINES: usize = 4;
/// Time that an engine takes for a record.
const RECORD_TIME: Duration = Duration::from_millis(20);
/// Duration of an order, in seconds.
const ORDER_SECONDS: u64 = 10;
/// Duration of the load before an order.
const WARM_UP: Duration = Duration::from_secs(2);
/// Requests that a bad version may receive: a percentage of all requests, and a number of requests besides.
const SHARE_PERCENT: usize = 10;
const SLACK_REQUESTS: usize = 50;
/// Settings of the daemons with these bounds.
const BOUNDS: &str =
    "retry_saved = 400\nretry_ratio = 0.5\nrollout_share = 0.1\nrollout_slack = 50";
/// Time after the order within which a version that is rolled back receives its last request: half of the required
/// bound.
const LAST_REQUEST_LIMIT: Duration = Duration::from_millis(2_500);

async fn ready(name: &str) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    for _ in 0..OLD_ENGINES {
        fleet.engine_with_version(POOL, "v1", 3, RECORD_TIME).await?;
    }
    fleet.daemons(DAEMONS, BOUNDS).await?;
    wait_served(&fleet, PATH).await?;
    Ok(fleet)
}

/// Orders the version `v2`, and starts its engines, which handle all requests with `step`.
async fn order(fleet: &mut FleetDeployment, step: EngineStep) -> Result<()> {
    let spec = json!({ "backend": POOL, "target_version": "v2", "duration_s": ORDER_SECONDS });
    fleet.store.put(ROLLOUTS, POOL, spec);
    for _ in 0..OLD_ENGINES {
        fleet.engine_with_version(POOL, "v2", 3, RECORD_TIME).await?;
        fleet.engines.last().expect("an engine").set_default_step(step);
    }
    Ok(())
}

/// Returns the state of the rollout, empty if it has none yet.
fn state(fleet: &FleetDeployment) -> String {
    let status = fleet.store.status(ROLLOUTS, POOL).unwrap_or_default();
    assert!(status.is_null() || status["target_version"] == "v2", "{status}");
    status["state"].as_str().unwrap_or_default().to_string()
}

/// Returns the sorted times after `since` at which requests reached these engines.
fn arrivals<'e>(engines: impl Iterator<Item = &'e FleetEngine>, since: Instant) -> Vec<Instant> {
    let runs = engines.flat_map(|engine| engine.runs()).filter_map(|run| run.begun);
    let mut arrived: Vec<Instant> = runs.filter(|at| *at >= since).collect();
    arrived.sort();
    arrived
}

/// Returns the arrivals at the engines of the old version and at those of the new one.
fn arrivals_by_version(fleet: &FleetDeployment, since: Instant) -> (Vec<Instant>, Vec<Instant>) {
    let engines = |range: std::ops::Range<usize>| {
        arrivals(fleet.engines[range].iter().map(|engine| engine.as_ref()), since)
    };
    (engines(0..OLD_ENGINES), engines(OLD_ENGINES..fleet.engines.len()))
}

/// Returns the share of the requests that were answered with status 200.
fn served(results: &[CallerResult]) -> f64 {
    let served = results.iter().filter(|result| result.status == 200).count();
    served as f64 / results.len().max(1) as f64
}

/// A bad version is rolled back before its order ends, receives no more than the allowed share, and nearly all callers
/// are served.
#[rstest]
#[case::fails("fails", EngineStep::Fail(500))]
#[case::closes("closes", EngineStep::Close)]
#[case::slow("slow", EngineStep::Delay(Duration::from_millis(200)))]
#[actix_rt::test]
async fn bad_version_gets_a_small_share_and_is_rolled_back(
    #[case] name: &str,
    #[case] step: EngineStep,
) -> Result<()> {
    let mut fleet = ready(&format!("rollout-{name}")).await?;
    load(entry_daemons(&fleet), PATH, WARM_UP).await;
    let since = Instant::now();
    order(&mut fleet, step).await?;
    let results = load(entry_daemons(&fleet), PATH, Duration::from_secs(ORDER_SECONDS)).await;
    let (old, new) = arrivals_by_version(&fleet, since);
    let all = old.len() + new.len();
    assert_eq!(
        state(&fleet),
        ROLLED_BACK,
        "the new version received {} of {all} requests",
        new.len()
    );
    assert!(
        new.len() * 100 <= all * SHARE_PERCENT + SLACK_REQUESTS * 100,
        "the new version received {} of {all} requests",
        new.len()
    );
    assert!(!new.is_empty(), "the new version received no request");
    assert!(served(&results) > 0.98, "served share {}", served(&results));
    Ok(())
}

/// A good version is completed before its order ends, at a time at which no request runs at the engines of the old
/// version. The test then stops these engines at once.
#[actix_rt::test]
async fn good_version_is_completed_while_no_request_runs_at_the_old_one() -> Result<()> {
    let mut fleet = ready("rollout-good").await?;
    load(entry_daemons(&fleet), PATH, WARM_UP).await;
    let since = Instant::now();
    order(&mut fleet, EngineStep::Serve).await?;
    let running = wait_until("running", || async { state(&fleet) == RUNNING });
    let calls = load(entry_daemons(&fleet), PATH, Duration::from_secs(ORDER_SECONDS + 2));
    let completed = async {
        wait_until("completed", || async { state(&fleet) == COMPLETED }).await?;
        let elapsed = since.elapsed();
        let (old, new) = arrivals_by_version(&fleet, since);
        anyhow::Ok((elapsed, old.last().copied(), new.len()))
    };
    running.await?;
    let (results, completed) = tokio::join!(calls, completed);
    let (elapsed, last_old, new) = completed?;
    assert!(elapsed <= Duration::from_secs(ORDER_SECONDS), "completed after {elapsed:?}");
    assert!(new > 0);
    let idle = since + elapsed - last_old.expect("a request to the old version");
    assert!(
        idle > RECORD_TIME,
        "a request may still have run at the old version: idle for {idle:?}"
    );
    for index in 0..OLD_ENGINES {
        fleet.terminate_engine(index).await;
    }
    let after = load(entry_daemons(&fleet), PATH, Duration::from_secs(1)).await;
    assert!(served(&results) > 0.99, "served share {}", served(&results));
    assert!(served(&after) > 0.99, "served share {}", served(&after));
    Ok(())
}

/// The store stops answering once the order is known. The version still receives no more requests, and the daemons
/// write its status when the store answers again.
#[actix_rt::test]
async fn bad_version_is_rolled_back_while_the_store_is_unresponsive() -> Result<()> {
    let mut fleet = ready("rollout-silent").await?;
    load(entry_daemons(&fleet), PATH, WARM_UP).await;
    let since = Instant::now();
    order(&mut fleet, EngineStep::Fail(500)).await?;
    wait_until("running", || async { state(&fleet) == RUNNING }).await?;
    fleet.store.set_outage(Some(StoreOutage::Unresponsive));
    load(entry_daemons(&fleet), "/once/open/a", Duration::from_secs(ORDER_SECONDS)).await;
    let (_, new) = arrivals_by_version(&fleet, since);
    let late = new.iter().filter(|at| **at > since + LAST_REQUEST_LIMIT * 2).count();
    assert_eq!(late, 0, "late requests of {}", new.len());
    fleet.store.set_outage(None);
    wait_until("rolled back", || async { state(&fleet) == ROLLED_BACK }).await
}

/// Engines of a version without an order serve requests, as in a planned replacement.
#[actix_rt::test]
async fn version_without_an_order_serves() -> Result<()> {
    let mut fleet = ready("rollout-none").await?;
    let since = Instant::now();
    fleet.engine_with_version(POOL, "v2", 3, RECORD_TIME).await?;
    load(entry_daemons(&fleet), PATH, Duration::from_secs(5)).await;
    let (_, new) = arrivals_by_version(&fleet, since);
    assert!(!new.is_empty());
    // The other engines are stopped, so that only the new one remains.
    for index in 0..OLD_ENGINES {
        fleet.terminate_engine(index).await;
    }
    let results = load(entry_daemons(&fleet), PATH, Duration::from_secs(1)).await;
    assert!(served(&results) > 0.95, "served share {}", served(&results));
    Ok(())
}
