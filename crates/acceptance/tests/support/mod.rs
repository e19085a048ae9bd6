//! Load on a fleet and the answers that its callers get; used by the tests of rollouts, target limits and leaving
//! targets.

// Each test file uses only some of these items.
#![allow(dead_code)]

pub mod crowd;
pub mod event_callers;
pub mod event_engines;
pub mod event_routes;
pub mod event_streams;
pub mod idle_callers;
pub mod slow_link;
pub mod stream_callers;

use std::fmt::Display;
use std::time::{Duration, Instant};

use actix_http::header;
use anyhow::Result;
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::FleetDeployment;
use curlewcleat_targets::{collect, ConnectionPool};

/// Time within which callers expect an answer.
pub const OBJECTIVE: Duration = Duration::from_millis(500);
/// Time between two requests to one daemon.
const CALL_INTERVAL: Duration = Duration::from_millis(40);

/// Status, `Retry-After` header and duration of one answer.
#[derive(Clone, Debug)]
pub struct CallerResult {
    pub status: u16,
    pub retry_after: Option<f64>,
    pub elapsed: Duration,
}

/// Sends one request on a new connection and reads the whole answer.
pub async fn call(entry: &str, path: &str, attempt: &str) -> Result<CallerResult> {
    let started = Instant::now();
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let answer = connection.exchange(fleet_head(path, attempt)?, Bytes::from_static(b"b")).await?;
    let status = answer.head.status.as_u16();
    let retry_after = answer.head.headers.get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    collect(answer.body, 1 << 16).await.map_err(anyhow::Error::msg)?;
    Ok(CallerResult { status, retry_after, elapsed: started.elapsed() })
}

/// Waits until all daemons know each other, are ready and serve requests to this path.
pub async fn wait_served(fleet: &FleetDeployment, path: &str) -> Result<()> {
    fleet.wait_for_all_peers().await?;
    for daemon in &fleet.daemons {
        wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
            .await?;
        wait_until("served", || async {
            call(&daemon.callers, path, "warm").await.is_ok_and(|result| result.status == 200)
        })
        .await?;
    }
    Ok(())
}

/// Sends requests to each of these daemons for `duration` and returns the results. Attempt ids begin with what stands
/// beside the daemon's address.
pub async fn load<N: Display + Clone + 'static>(
    entry_daemons: Vec<(N, String)>,
    path: &'static str,
    duration: Duration,
) -> Vec<CallerResult> {
    let end = Instant::now() + duration;
    let callers = entry_daemons.into_iter().map(|(name, entry)| {
        actix_rt::spawn(async move {
            let mut results = Vec::new();
            for number in 0.. {
                if Instant::now() >= end {
                    break;
                }
                // A daemon that is killed during the load does not answer.
                results.extend(call(&entry, path, &format!("{name}-{number}")).await);
                tokio::time::sleep(CALL_INTERVAL).await;
            }
            results
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut results = Vec::new();
    for caller in callers {
        results.extend(caller.await.expect("the task of a caller ends"));
    }
    results
}

/// Returns the number of each daemon and the address at which it accepts callers.
pub fn entry_daemons(fleet: &FleetDeployment) -> Vec<(usize, String)> {
    fleet.daemons.iter().map(|daemon| daemon.callers.clone()).enumerate().collect()
}

/// Returns the sum of a metric over its labels.
pub fn metric(metrics: &str, name: &str) -> Result<u64> {
    let lines = metrics.lines().filter(|line| line.starts_with(&format!("curlewcleat_{name}")));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    let values: Vec<f64> = values.collect();
    anyhow::ensure!(!values.is_empty(), "no metric {name}");
    Ok(values.iter().sum::<f64>() as u64)
}
