//! Engines that report in their answers that they are leaving, or that request a rest when they decline a request.
//!
//! Guards against daemons that ignore these reports. While the platform's store did not answer, the list of engines
//! did not change, and an engine still received requests 12.8 seconds after its answers had reported that it was
//! leaving. Another engine had requested three seconds of rest and received six requests from the same daemon in this
//! time: a success in between cleared its failures, and placement prefers idle engines, which an engine that declines
//! requests is. The log then showed:
//!
//! ```text
//! target_said    target=i-0 leaving=true rest_ms=-1 limit_per_s=-1
//! request_served target=i-0 attempts=1
//! target_said    target=i-0 leaving=false rest_ms=3000 limit_per_s=-1
//! attempt_failed target=i-0 reason=target_not_started cause=not_started
//! attempt_failed target=i-0 reason=target_not_started cause=not_started
//! ```

mod support;

use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::deployment::wait_until;
use curlewcleat_standins::fleet::{EngineStep, FleetDeployment, FleetEngine, StoreOutage};
use rstest::rstest;

use support::{call, entry_daemons, load, wait_served, OBJECTIVE};

/// Time that an engine takes for an event of a stream or for a record.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const DAEMONS: usize = 3;
/// Needs no account, so that requests to it are served while the store does not answer.
const OPEN_PATH: &str = "/once/open/a";
const STREAM_PATH: &str = "/plain/stream/a";
/// Time after which a daemon that received the report sends no more requests to a leaving engine: the required bound.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);
/// Rest that an engine requests.
const REST: Duration = Duration::from_secs(3);
/// Time from the beginning of a rest in which requests may still be on their way: the required bound.
const IN_FLIGHT_LIMIT: Duration = Duration::from_millis(500);
/// Requests that may reach the engine in the remaining rest: the required bound.
const ALLOWED: usize = 2;
/// Times that an engine declines one request and serves the next.
const ROUNDS: usize = 200;
/// Factor by which `Retry-After` may exceed the remaining rest, because retries are spread.
const RETRY_SPREAD: f64 = 1.25;

async fn ready(name: &str, pool: &str, path: &str, engines: usize) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    for _ in 0..engines {
        fleet.engine(pool, 3, EVENT_INTERVAL).await?;
    }
    fleet.daemons(DAEMONS, "retry_saved = 100\nretry_ratio = 0.5").await?;
    wait_served(&fleet, path).await?;
    Ok(fleet)
}

/// Returns the times at which requests of a daemon reached an engine.
fn arrived(engine: &FleetEngine, daemon: usize) -> Vec<Instant> {
    let prefix = format!("{daemon}-");
    let runs = engine.runs().into_iter().filter(|run| run.attempt.starts_with(&prefix));
    runs.filter_map(|run| run.begun).collect()
}

/// The store does not answer, so that only the answers report that the engine is leaving.
#[rstest]
#[case::records("records", OPEN_PATH, EngineStep::Serve)]
#[case::answered_twice("records", OPEN_PATH, EngineStep::AnswerTwice)]
#[case::refusals("records", OPEN_PATH, EngineStep::Decline)]
#[case::failures("records", OPEN_PATH, EngineStep::Fail(500))]
#[actix_rt::test]
async fn engine_whose_answers_report_leaving_receives_no_more_requests(
    #[case] pool: &str,
    #[case] path: &'static str,
    #[case] step: EngineStep,
) -> Result<()> {
    let fleet = ready(&format!("leaving-{step:?}").replace(['(', ')'], "-"), pool, path, 2).await?;
    fleet.store.set_outage(Some(StoreOutage::Unresponsive));
    let engine = &fleet.engines[0];
    engine.set_default_step(step);
    engine.set_notices(&[(WIRE_PROFILE.leaving, "1")]);
    load(entry_daemons(&fleet), path, LEAVE_LIMIT).await;
    let since = Instant::now();
    let results = load(entry_daemons(&fleet), path, Duration::from_secs(3)).await;
    for daemon in 0..DAEMONS {
        let reported = arrived(engine, daemon).first().copied();
        let late = arrived(engine, daemon).into_iter().filter(|at| *at >= since).count();
        assert!(reported.is_none() || late == 0, "{late} requests from daemon {daemon}");
    }
    let unserved = results.iter().filter(|result| result.status != 200).count();
    assert_eq!(unserved, 0, "of {}: the other engine serves all", results.len());
    Ok(())
}

/// Returns the highest number of requests that a daemon sent to an engine during a rest. Each declined request begins
/// one.
fn most_in_rest(engine: &FleetEngine, daemon: usize) -> usize {
    let prefix = format!("{daemon}-");
    let runs = engine.runs().into_iter().filter(|run| !run.ran && run.attempt.starts_with(&prefix));
    let declined: Vec<Instant> = runs.filter_map(|run| run.begun).collect();
    let arrived = arrived(engine, daemon);
    let within = |from: &Instant| {
        let rest = *from + IN_FLIGHT_LIMIT..*from + REST;
        arrived.iter().filter(|at| rest.contains(at)).count()
    };
    declined.iter().map(within).max().unwrap_or(0)
}

/// Each engine declines every second request.
#[rstest]
#[case::records("records", "/again/a")]
#[case::streams("engines", STREAM_PATH)]
#[actix_rt::test]
async fn engine_that_requests_a_rest_receives_few_requests(
    #[case] pool: &str,
    #[case] path: &'static str,
) -> Result<()> {
    let fleet = ready(&format!("rest-{pool}"), pool, path, 2).await?;
    for engine in &fleet.engines {
        for _ in 0..ROUNDS {
            engine.queue_step(EngineStep::Rest(REST));
            engine.queue_step(EngineStep::Serve);
        }
    }
    load(entry_daemons(&fleet), path, REST * 2).await;
    for engine in &fleet.engines {
        for daemon in 0..DAEMONS {
            let most = most_in_rest(engine, daemon);
            assert!(most <= ALLOWED, "{most} requests from daemon {daemon}");
        }
    }
    Ok(())
}

/// All engines rest: refusals state when to retry, and callers are served when the rest is over.
#[actix_rt::test]
async fn callers_learn_when_to_retry_where_all_engines_rest() -> Result<()> {
    let path = "/again/a";
    let fleet = ready("rest-all", "records", path, 2).await?;
    fleet.engines.iter().for_each(|engine| engine.set_default_step(EngineStep::Rest(REST)));
    let results = load(entry_daemons(&fleet), path, REST - IN_FLIGHT_LIMIT).await;
    for result in &results {
        assert_eq!(result.status, 503, "{result:?}");
        assert!(result.elapsed < OBJECTIVE, "held: {result:?}");
        let wait = result.retry_after.unwrap_or_default();
        assert!(wait > 0.0 && wait <= REST.as_secs_f64() * RETRY_SPREAD, "{result:?}");
    }
    for engine in &fleet.engines {
        for daemon in 0..DAEMONS {
            let most = most_in_rest(engine, daemon);
            assert!(most <= ALLOWED, "{most} requests from daemon {daemon}");
        }
        engine.set_default_step(EngineStep::Serve);
    }
    for daemon in &fleet.daemons {
        wait_until("served again", || async {
            call(&daemon.callers, path, "again").await.is_ok_and(|result| result.status == 200)
        })
        .await?;
    }
    Ok(())
}
