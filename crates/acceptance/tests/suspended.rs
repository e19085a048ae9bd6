//! A machine was suspended for seconds under a daemon. The clock by which the daemon counted ages does not count such
//! time, so that it took its proof that its configuration was the newest for as young as before, and went on to accept
//! keys that had been taken away meanwhile; requests were held for as long again beyond their callers' time.
//!
//! The daemon runs in this process, on a clock that jumps while the runtime's timers do not. On the clock that does
//! not count a suspension the first case was served (200) in place of refused, and the second one held for 3 s.

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
use curlewcleat_standins::fleet::{DaemonPlace, EngineStep, FleetDeployment, StoreOutage};
use curlewcleat_targets::{collect, ConnectionPool};
use curlewcleatd::{run_daemon, FleetAdapter};

/// Time for which the machine was suspended, in milliseconds.
static SUSPENDED: AtomicU64 = AtomicU64::new(0);
const AGE_LIMIT: &str = "config_age_limit = 1500ms";
/// A turn of the daemon's loop, and the way there and back.
const AT_ONCE: Duration = Duration::from_millis(500);

/// The kernel's clock with the suspensions of a test.
struct JumpingClock;

impl AgeClock for JumpingClock {
    fn read(&self) -> Duration {
        BootClock.read() + Duration::from_millis(SUSPENDED.load(Ordering::SeqCst))
    }
}

fn suspend(time: Duration) {
    SUSPENDED.fetch_add(time.as_millis() as u64, Ordering::SeqCst);
}

/// Status and problem reason or body.
async fn call(entry: &str, path: &str, attempt: &str) -> Result<(u16, String)> {
    let head = fleet_head(path, attempt)?;
    // A connection of its own, on which nothing rests.
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let answer = connection.exchange(head, Bytes::from_static(b"b")).await?;
    let status = answer.head.status.as_u16();
    let text = collect(answer.body, 1 << 16).await.unwrap_or_default();
    Ok((status, String::from_utf8_lossy(&text).to_string()))
}

/// Runs a daemon in a thread of this process.
fn run_here(place: &DaemonPlace) -> Result<()> {
    let path = place.settings.clone();
    let text = std::fs::read_to_string(&path)?;
    let settings = check_settings("settings", &text).map_err(|_| anyhow::anyhow!("settings"))?;
    std::thread::spawn(move || {
        let (address, limit) = (&settings.platform_address, settings.platform_limit);
        let platform = std::rc::Rc::new(FleetClient::new(address, limit));
        let parts = FleetAdapter::new(platform, settings.clone(), &path);
        run_daemon(settings, Box::new(parts))
    });
    Ok(())
}

/// One test for all, since the clock is the process's.
#[actix_rt::test]
async fn suspended_time_counts() -> Result<()> {
    install(Box::new(JumpingClock)).expect("the first clock");
    let mut fleet = FleetDeployment::start("suspended").await?;
    fleet.store_config()?;
    fleet.engine("records", 0, Duration::from_millis(5)).await?;
    let peer = free_address()?;
    let place = fleet.write_settings(0, &peer, &peer, AGE_LIMIT)?;
    run_here(&place)?;
    wait_until("served", || async {
        call(&place.callers, "/again/1", "warm").await.is_ok_and(|(status, _)| status == 200)
    })
    .await?;
    keys_are_not_accepted_on_an_old_proof(&fleet, &place).await?;
    request_gets_its_answer_as_the_machine_wakes(&fleet, &place).await
}

/// The store fails as the machine is suspended, so that nothing is proved anew.
async fn keys_are_not_accepted_on_an_old_proof(
    fleet: &FleetDeployment,
    place: &DaemonPlace,
) -> Result<()> {
    fleet.store.set_outage(Some(StoreOutage::Silent));
    suspend(Duration::from_secs(2));
    let (status, text) = call(&place.callers, "/again/1", "stale").await?;
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("configuration_stale"), "{text}");
    fleet.store.set_outage(None);
    wait_until("served again", || async {
        call(&place.callers, "/again/1", "fresh").await.is_ok_and(|(status, _)| status == 200)
    })
    .await
}

/// Its engine says nothing, and its caller's time passes while the machine is suspended.
async fn request_gets_its_answer_as_the_machine_wakes(
    fleet: &FleetDeployment,
    place: &DaemonPlace,
) -> Result<()> {
    fleet.engines[0].next(EngineStep::Silent);
    let entry = place.callers.clone();
    let held = actix_rt::spawn(async move { call(&entry, "/once/1", "held").await });
    wait_until("it runs", || async {
        fleet.engines[0].runs().iter().any(|run| run.attempt == "held" && run.ran)
    })
    .await?;
    let woken = Instant::now();
    suspend(Duration::from_secs(4));
    let (status, text) = held.await??;
    assert!(matches!(status, 502 | 504), "{status} {text}");
    assert!(woken.elapsed() < AT_ONCE, "{:?} {status} {text}", woken.elapsed());
    let left = fleet.engines[0].runs().into_iter().filter(|run| run.attempt == "held");
    assert_eq!(left.count(), 1, "it ran once");
    Ok(())
}
