//! What a daemon of a fleet calls the platform's store for when it begins.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::names::{DAEMONS, SERVERS};
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::FleetDeployment;

const PACE: Duration = Duration::from_millis(10);
/// Daemons: two read for the others, one does not.
const COUNT: usize = 3;

async fn ready(fleet: &FleetDeployment) -> Result<()> {
    for daemon in &fleet.daemons {
        wait_until("readiness", || async {
            get_text(&daemon.operators, "/readyz").await.is_ok_and(|body| body == "ready")
        })
        .await?;
    }
    Ok(())
}

/// Calls that came since an earlier tally.
fn since(before: &BTreeMap<String, u64>, after: &BTreeMap<String, u64>, call: &str) -> u64 {
    let count = |tally: &BTreeMap<String, u64>| tally.get(call).copied().unwrap_or_default();
    count(after) - count(before)
}

/// Each of 295 daemons that began again wrote its record anew, listed all daemons and all targets as of now and
/// watched the targets until it knew that others did: fifteen calls each (4,495 of 295 daemons until 14 s of traffic,
/// counted by the store).
#[actix_rt::test]
async fn daemon_that_begins_again_asks_for_old_lists_and_writes_nothing() -> Result<()> {
    let mut fleet = FleetDeployment::start("births").await?;
    fleet.store_config()?;
    fleet.engine("lists", 1, PACE).await?;
    fleet.daemons(COUNT, "config_age_limit = 1500ms").await?;
    ready(&fleet).await?;
    let first = fleet.store.tally();
    assert_eq!(first.get(&format!("POST {DAEMONS}")), Some(&(COUNT as u64)), "{first:?}");
    // Those that start after the others are there; the first ones schedule and read.
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.store.tally();
    fleet.restart(COUNT - 1).await?;
    ready(&fleet).await?;
    let after = fleet.store.tally();
    let calls = |call: String| since(&before, &after, &call);
    assert_eq!(calls(format!("GET {DAEMONS} old")), 1, "{after:?}");
    assert_eq!(calls(format!("GET {DAEMONS}")), 0, "{after:?}");
    assert_eq!(calls(format!("POST {DAEMONS}")), 0, "{after:?}");
    assert_eq!(calls(format!("PUT {DAEMONS}")), 0, "{after:?}");
    assert_eq!(calls(format!("GET {SERVERS} old")), 1, "{after:?}");
    assert_eq!(calls(format!("GET {SERVERS}")), 0, "{after:?}");
    Ok(())
}

#[actix_rt::test]
async fn daemon_that_moved_writes_its_record_anew() -> Result<()> {
    let mut fleet = FleetDeployment::start("births-moved").await?;
    fleet.store_config()?;
    fleet.engine("lists", 1, PACE).await?;
    fleet.daemons(1, "config_age_limit = 1500ms").await?;
    ready(&fleet).await?;
    let settings = std::fs::read_to_string(&fleet.daemons[0].settings)?;
    let stronger = settings.replace("[callers]", "core_share = 0.5\n[callers]");
    std::fs::write(&fleet.daemons[0].settings, stronger)?;
    let before = fleet.store.tally();
    fleet.restart(0).await?;
    ready(&fleet).await?;
    wait_until("the record", || async {
        since(&before, &fleet.store.tally(), &format!("PUT {DAEMONS}")) == 1
    })
    .await
}
