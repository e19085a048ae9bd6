//! Connections to the store that stall permanently while new ones work.
//!
//! Guards against a watch whose connection has stalled and that is noticed only at its time limit of 20 seconds: targets
//! that were leaving, and targets of an evacuated data centre, received requests until then.

mod support;

use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::names::EVACUATIONS;
use curlewcleat_standins::fleet::FleetDeployment;
use curlewcleat_standins::link::{FaultyLink, LinkFault};
use rstest::rstest;
use serde_json::json;

use support::{entry_daemons, load, wait_served};

const POOL: &str = "records";
/// Requests to this path may run more than once and need no account.
const PATH: &str = "/once/open/a";
const DAEMONS: usize = 3;
/// Data centre of the daemons and of the engine that is taken out of use, which gets most requests.
const HERE: &str = "here";
/// Data centre of the engines that stay.
const AWAY: &str = "away";
/// Engine that is taken out of use.
const LAST: usize = 2;
/// Time that an engine takes for a record.
const RECORD_TIME: Duration = Duration::from_millis(10);
const BOUNDS: &str = "retry_saved = 100\nretry_ratio = 0.5\nevacuation_limit = 2s";
/// Time within which an engine that is taken out of use receives its last request: the required bound.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);
/// Time without bytes after which only the connections with a waiting call, and unused ones, count as quiet.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Time for which the store is silent.
const SILENCE: Duration = Duration::from_millis(1_200);

/// Which connections to the store stall.
#[derive(Clone, Copy, Debug)]
enum Stall {
    /// Those that carry no reads.
    Watches,
    /// All.
    All,
    /// All, while the store is silent also on new ones for a time.
    AllDuringSilence,
}

impl Stall {
    async fn apply(self, link: &FaultyLink) {
        match self {
            Stall::Watches => link.stall_quiet_connections(QUIET_TIME),
            Stall::All => link.stall_open_connections(),
            Stall::AllDuringSilence => {
                link.stall_open_connections();
                link.set(LinkFault::BlockBoth);
                tokio::time::sleep(SILENCE).await;
                link.set(LinkFault::None);
            }
        }
    }
}

/// Why an engine is taken out of use.
#[derive(Clone, Copy, Debug)]
enum Reason {
    Leaving,
    Removed,
    Evacuated,
}

impl Reason {
    fn apply(self, fleet: &FleetDeployment) -> Result<()> {
        let id = format!("i-{LAST}");
        match self {
            Reason::Leaving => {
                fleet.announce(&id, POOL, &fleet.engine_addresses[LAST], "draining")?
            }
            Reason::Removed => fleet.store.remove("servers", &id),
            Reason::Evacuated => fleet.store.put(EVACUATIONS, HERE, json!({})),
        }
        Ok(())
    }
}

async fn ready(name: &str) -> Result<(FleetDeployment, FaultyLink)> {
    let mut fleet = FleetDeployment::start(name).await?;
    let link = fleet.use_store_link().await?;
    fleet.store_config()?;
    for data_centre in [AWAY, AWAY, HERE] {
        fleet.engine_in(data_centre, POOL, 3, RECORD_TIME).await?;
    }
    fleet.daemons(DAEMONS, BOUNDS).await?;
    wait_served(&fleet, PATH).await?;
    Ok((fleet, link))
}

#[rstest]
#[case::watch_leaving(Stall::Watches, Reason::Leaving)]
#[case::watch_removed(Stall::Watches, Reason::Removed)]
#[case::watch_evacuated(Stall::Watches, Reason::Evacuated)]
#[case::all_leaving(Stall::All, Reason::Leaving)]
#[case::all_evacuated(Stall::All, Reason::Evacuated)]
#[case::silence_leaving(Stall::AllDuringSilence, Reason::Leaving)]
#[actix_rt::test]
async fn change_behind_a_stalled_watch_is_in_force_in_time(
    #[case] stall: Stall,
    #[case] reason: Reason,
) -> Result<()> {
    let (fleet, link) = ready(&format!("stalled-{stall:?}-{reason:?}")).await?;
    load(entry_daemons(&fleet), PATH, QUIET_TIME * 2).await;
    stall.apply(&link).await;
    reason.apply(&fleet)?;
    let stated = Instant::now();
    let results = load(entry_daemons(&fleet), PATH, LEAVE_LIMIT * 2).await;
    let runs = fleet.engines[LAST].runs();
    let arrived: Vec<Instant> = runs.iter().filter_map(|run| run.begun).collect();
    assert!(arrived.iter().any(|at| *at < stated), "the engine was in use");
    let late = arrived.iter().filter(|at| **at > stated + LEAVE_LIMIT);
    let late: Vec<Duration> = late.map(|at| at.duration_since(stated)).collect();
    assert!(late.is_empty(), "{} late requests, the last after {:?}", late.len(), late.last());
    let unserved = results.iter().filter(|result| result.status != 200).count();
    assert_eq!(unserved, 0, "of {}: the other engines serve all", results.len());
    Ok(())
}
