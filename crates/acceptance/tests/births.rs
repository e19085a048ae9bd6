//! Calls of a starting daemon to the platform's store, and a start while the store does not answer.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::names::{DAEMONS, REFUSALS, SERVERS};
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::{FleetDeployment, StoreOutage};

use support::{call, wait_served};

/// Time that the engine takes for an event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Number of daemons: two read from the store for the others, one does not.
const DAEMON_COUNT: usize = 3;

/// Waits until all daemons are ready.
async fn ready(fleet: &FleetDeployment) -> Result<()> {
    for daemon in &fleet.daemons {
        wait_until("readiness", || async {
            get_text(&daemon.operators, "/readyz").await.is_ok_and(|body| body == "ready")
        })
        .await?;
    }
    Ok(())
}

/// Returns the number of calls of this kind between two counts.
fn calls_between(before: &BTreeMap<String, u64>, after: &BTreeMap<String, u64>, call: &str) -> u64 {
    let count =
        |call_counts: &BTreeMap<String, u64>| call_counts.get(call).copied().unwrap_or_default();
    count(after) - count(before)
}

/// Guards against daemons that load the store when many restart. Each of 295 restarted daemons wrote its record again,
/// requested current lists of all daemons and targets, and watched the targets until it knew that others did: fifteen
/// calls each (the store counted 4,495 calls of 295 daemons within 14 s of traffic).
#[actix_rt::test]
async fn restarted_daemon_reads_old_lists_and_writes_nothing() -> Result<()> {
    let mut fleet = FleetDeployment::start("births").await?;
    fleet.store_config()?;
    fleet.engine("lists", 1, EVENT_INTERVAL).await?;
    fleet.daemons(DAEMON_COUNT, "config_age_limit = 1500ms").await?;
    ready(&fleet).await?;
    let first = fleet.store.call_counts();
    assert_eq!(first.get(&format!("POST {DAEMONS}")), Some(&(DAEMON_COUNT as u64)), "{first:?}");
    assert_eq!(first.get(&format!("GET {DAEMONS}")), None, "{first:?}");
    // The restarted daemon is the last one, since the first ones schedule and read from the store.
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.store.call_counts();
    fleet.restart(DAEMON_COUNT - 1).await?;
    ready(&fleet).await?;
    let after = fleet.store.call_counts();
    let calls = |call: String| calls_between(&before, &after, &call);
    assert_eq!(calls(format!("GET {DAEMONS} old")), 1, "{after:?}");
    assert_eq!(calls(format!("GET {DAEMONS}")), 0, "{after:?}");
    assert_eq!(calls(format!("POST {DAEMONS}")), 0, "{after:?}");
    assert_eq!(calls(format!("PUT {DAEMONS}")), 0, "{after:?}");
    assert_eq!(calls(format!("GET {SERVERS} old")), 1, "{after:?}");
    assert_eq!(calls(format!("GET {SERVERS}")), 0, "{after:?}");
    assert_eq!(calls(format!("GET {REFUSALS} old")), 1, "{after:?}");
    assert_eq!(calls(format!("GET {REFUSALS}")), 0, "{after:?}");
    Ok(())
}

#[actix_rt::test]
async fn restarted_daemon_with_another_capacity_writes_its_record_again() -> Result<()> {
    let mut fleet = FleetDeployment::start("births-moved").await?;
    fleet.store_config()?;
    fleet.engine("lists", 1, EVENT_INTERVAL).await?;
    fleet.daemons(1, "config_age_limit = 1500ms").await?;
    ready(&fleet).await?;
    let settings = std::fs::read_to_string(&fleet.daemons[0].settings)?;
    let changed = settings.replace("[callers]", "core_share = 0.5\n[callers]");
    std::fs::write(&fleet.daemons[0].settings, changed)?;
    let before = fleet.store.call_counts();
    fleet.restart(0).await?;
    ready(&fleet).await?;
    wait_until("the record", || async {
        calls_between(&before, &fleet.store.call_counts(), &format!("PUT {DAEMONS}")) == 1
    })
    .await
}

/// Guards against a daemon that learns the configuration from its peers and no targets: the latest reads of the peers are
/// older than its process, and their answers were ignored as a whole. Its callers' requests waited until they gave up.
#[actix_rt::test]
async fn daemon_that_starts_in_an_outage_serves_by_what_its_peers_know() -> Result<()> {
    let mut fleet = FleetDeployment::start("births-outage").await?;
    fleet.store_config()?;
    fleet.engine("records", 1, EVENT_INTERVAL).await?;
    fleet.daemons(DAEMON_COUNT, "").await?;
    wait_served(&fleet, "/once/open/a").await?;
    fleet.store.set_outage(Some(StoreOutage::Unresponsive));
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let restarted = DAEMON_COUNT - 1;
    fleet.restart(restarted).await?;
    wait_until("served", || async {
        let result = call(&fleet.daemons[restarted].callers, "/once/open/a", "anew").await;
        result.is_ok_and(|result| result.status == 200)
    })
    .await
}
