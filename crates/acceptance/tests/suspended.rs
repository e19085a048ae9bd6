//! A machine is suspended for seconds while a daemon runs on it.
//!
//! Guards against ages measured on a clock that stops during a suspension. The proof that the configuration is the
//! newest then seems as young as before, and the daemon accepts keys that have been removed meanwhile; requests are
//! held beyond their deadline for the time of the suspension. On such a clock the first case was served (200) instead
//! of refused, and the second one was held for 3 s.
//!
//! The daemon runs in this process, on a clock that jumps while the timers of the runtime do not.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Result;
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_clock::{install, AgeClock, BootClock};
use curlewcleat_config::check_settings;
use curlewcleat_platform::FleetClient;
use curlewcleat_standins::address::free_address;
use curlewcleat_standins::deployment::wait_until;
use curlewcleat_standins::fleet::{DaemonEndpoint, EngineStep, FleetDeployment, StoreOutage};
use curlewcleat_targets::{collect, ConnectionPool};
use curlewcleatd::{run_daemon, FleetAdapter};

/// Time for which the machine was suspended, in milliseconds.
static SUSPENDED: AtomicU64 = AtomicU64::new(0);
const AGE_LIMIT: &str = "config_age_limit = 1500ms";
/// Time of one iteration of the daemon's loop and of the transfer to the daemon and back.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// The kernel's clock plus the suspensions simulated by a test.
struct JumpingClock;

impl AgeClock for JumpingClock {
    fn read(&self) -> Duration {
        BootClock.read() + Duration::from_millis(SUSPENDED.load(Ordering::SeqCst))
    }
}

/// Simulates a suspension of the machine.
fn suspend(time: Duration) {
    SUSPENDED.fetch_add(time.as_millis() as u64, Ordering::SeqCst);
}

/// Sends a request on a new connection; returns the status and the body.
async fn call(entry: &str, path: &str, attempt: &str) -> Result<(u16, String)> {
    let head = fleet_head(path, attempt)?;
    // A new pool, so that no other request has used the connection.
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let answer = connection.exchange(head, Bytes::from_static(b"b")).await?;
    let status = answer.head.status.as_u16();
    let text = collect(answer.body, 1 << 16).await.unwrap_or_default();
    Ok((status, String::from_utf8_lossy(&text).to_string()))
}

/// Starts a daemon in a thread of this process.
fn run_here(endpoint: &DaemonEndpoint) -> Result<()> {
    let path = endpoint.settings.clone();
    let text = std::fs::read_to_string(&path)?;
    let settings = check_settings("settings", &text).map_err(|_| anyhow::anyhow!("settings"))?;
    std::thread::spawn(move || {
        let (address, limit) = (&settings.platform_address, settings.platform_limit);
        let platform = std::rc::Rc::new(FleetClient::new(address, limit));
        let adapter = FleetAdapter::new(platform, settings.clone(), &path);
        run_daemon(settings, Box::new(adapter))
    });
    Ok(())
}

/// Runs both cases in one test, because the clock holds for the whole process.
#[actix_rt::test]
async fn suspended_time_counts_towards_ages_and_deadlines() -> Result<()> {
    install(Box::new(JumpingClock)).expect("no other clock is installed");
    let mut fleet = FleetDeployment::start("suspended").await?;
    fleet.store_config()?;
    fleet.engine("records", 0, Duration::from_millis(5)).await?;
    let peer = free_address()?;
    let endpoint = fleet.write_settings(0, &peer, &peer, AGE_LIMIT)?;
    run_here(&endpoint)?;
    wait_until("served", || async {
        call(&endpoint.callers, "/again/1", "warm").await.is_ok_and(|(status, _)| status == 200)
    })
    .await?;
    key_is_refused_when_the_proof_is_too_old(&fleet, &endpoint).await?;
    expired_request_is_answered_when_the_machine_resumes(&fleet, &endpoint).await
}

/// The store stops answering before the suspension, so that the configuration cannot be proved again.
async fn key_is_refused_when_the_proof_is_too_old(
    fleet: &FleetDeployment,
    endpoint: &DaemonEndpoint,
) -> Result<()> {
    fleet.store.set_outage(Some(StoreOutage::Unresponsive));
    suspend(Duration::from_secs(2));
    let (status, text) = call(&endpoint.callers, "/again/1", "stale").await?;
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("configuration_stale"), "{text}");
    fleet.store.set_outage(None);
    wait_until("served again", || async {
        call(&endpoint.callers, "/again/1", "fresh").await.is_ok_and(|(status, _)| status == 200)
    })
    .await
}

/// The engine does not answer, and the deadline of the request passes while the machine is suspended.
async fn expired_request_is_answered_when_the_machine_resumes(
    fleet: &FleetDeployment,
    endpoint: &DaemonEndpoint,
) -> Result<()> {
    fleet.engines[0].queue_step(EngineStep::Stall);
    let entry = endpoint.callers.clone();
    let held = actix_rt::spawn(async move { call(&entry, "/once/1", "held").await });
    wait_until("the request runs", || async {
        fleet.engines[0].runs().iter().any(|run| run.attempt == "held" && run.ran)
    })
    .await?;
    let resumed = Instant::now();
    suspend(Duration::from_secs(4));
    let (status, text) = held.await??;
    assert!(matches!(status, 502 | 504), "{status} {text}");
    assert!(resumed.elapsed() < ANSWER_LIMIT, "{:?} {status} {text}", resumed.elapsed());
    let runs = fleet.engines[0].runs().into_iter().filter(|run| run.attempt == "held");
    assert_eq!(runs.count(), 1, "the request ran once");
    Ok(())
}
