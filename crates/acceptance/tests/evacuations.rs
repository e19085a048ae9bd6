//! Evacuations ordered by an operator: real daemons, a store, and engines in two data centres.
//!
//! Guards against daemons that ignore evacuations: 3,973 requests of one day reached engines of an evacuated data centre
//! later than five seconds after the order. The tests count the requests in the records of the engines.

mod support;

use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::names::EVACUATIONS;
use curlewcleat_standins::deployment::{get_json, wait_until};
use curlewcleat_standins::fleet::{FleetDeployment, FleetEngine, StoreOutage};
use serde_json::json;

use support::{call, entry_daemons, load, wait_served, CallerResult};

const POOL: &str = "records";
/// Needs no account, so that requests to it are served while the store does not answer.
const OPEN_PATH: &str = "/once/open/a";
const DAEMONS: usize = 3;
/// Engines in each data centre.
const ENGINES: usize = 2;
/// Data centre of the daemons.
const HERE: &str = "here";
const AWAY: &str = "away";
/// Time that an engine takes for a record.
const RECORD_TIME: Duration = Duration::from_millis(10);
/// Settings of the daemons with these bounds.
const BOUNDS: &str = "retry_saved = 100\nretry_ratio = 0.5\nevacuation_limit = 2s";
/// Time after an order within which all daemons follow it: the required bound.
const EVACUATION_LIMIT: Duration = Duration::from_secs(2);

async fn ready(name: &str) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    for data_centre in [HERE, AWAY] {
        for _ in 0..ENGINES {
            fleet.engine_in(data_centre, POOL, 3, RECORD_TIME).await?;
        }
    }
    fleet.daemons(DAEMONS, BOUNDS).await?;
    wait_served(&fleet, OPEN_PATH).await?;
    Ok(fleet)
}

/// Returns the number of requests that reached the engines of the daemons' data centre, and those of the other one.
fn arrivals(fleet: &FleetDeployment, since: Instant) -> (usize, usize) {
    let count = |engines: &[std::rc::Rc<FleetEngine>]| {
        let runs = engines.iter().flat_map(|engine| engine.runs());
        runs.filter_map(|run| run.begun).filter(|begun| *begun >= since).count()
    };
    (count(&fleet.engines[..ENGINES]), count(&fleet.engines[ENGINES..]))
}

async fn load_for(fleet: &FleetDeployment, seconds: u64) -> Vec<CallerResult> {
    load(entry_daemons(fleet), OPEN_PATH, Duration::from_secs(seconds)).await
}

fn served(results: &[CallerResult]) -> f64 {
    let served = results.iter().filter(|result| result.status == 200).count();
    served as f64 / results.len().max(1) as f64
}

/// Returns whether the status of all daemons names exactly these evacuated data centres.
async fn all_report(fleet: &FleetDeployment, evacuated: &[&str]) -> bool {
    for daemon in &fleet.daemons {
        let status = get_json(&daemon.operators, "/status").await;
        if !status.is_ok_and(|status| status["evacuated"] == json!(evacuated)) {
            return false;
        }
    }
    true
}

/// Callers are served by the other data centre meanwhile, and by both afterwards.
#[actix_rt::test]
async fn evacuated_engines_get_no_requests_until_the_order_is_taken_away() -> Result<()> {
    let fleet = ready("evacuation").await?;
    let begun = Instant::now();
    load_for(&fleet, 1).await;
    assert!(arrivals(&fleet, begun).0 > 0);
    fleet.store.put(EVACUATIONS, HERE, json!({}));
    let ordered = Instant::now();
    load(entry_daemons(&fleet), OPEN_PATH, EVACUATION_LIMIT).await;
    assert!(all_report(&fleet, &[HERE]).await);
    let results = load_for(&fleet, 2).await;
    let (here, away) = arrivals(&fleet, ordered + EVACUATION_LIMIT);
    assert_eq!(here, 0);
    assert!(away > 0);
    assert!(served(&results) > 0.99, "served share {}", served(&results));
    fleet.store.remove(EVACUATIONS, HERE);
    wait_until("released", || all_report(&fleet, &[])).await?;
    let released = Instant::now();
    load_for(&fleet, 2).await;
    assert!(arrivals(&fleet, released).0 > 0);
    Ok(())
}

/// The store answers no daemon, and one of them is started anew: it learns of the order from the others.
#[actix_rt::test]
async fn evacuation_holds_while_the_store_is_unresponsive() -> Result<()> {
    let mut fleet = ready("evacuation-silent").await?;
    fleet.store.put(EVACUATIONS, HERE, json!({}));
    wait_until("evacuated", || all_report(&fleet, &[HERE])).await?;
    let since = Instant::now();
    fleet.store.set_outage(Some(StoreOutage::Unresponsive));
    load_for(&fleet, 2).await;
    fleet.restart(DAEMONS - 1).await?;
    wait_until("served", || async {
        let result = call(&fleet.daemons[DAEMONS - 1].callers, OPEN_PATH, "anew").await;
        result.is_ok_and(|result| result.status == 200)
    })
    .await?;
    load_for(&fleet, 2).await;
    let (here, away) = arrivals(&fleet, since);
    assert!(away > 0);
    assert_eq!(here, 0);
    // The order is taken away while no daemon can read it.
    fleet.store.remove(EVACUATIONS, HERE);
    assert!(all_report(&fleet, &[HERE]).await);
    fleet.store.set_outage(None);
    wait_until("released", || all_report(&fleet, &[])).await
}

/// The copy of the store that is restored does not contain the order, or contains one that was taken away since.
#[actix_rt::test]
async fn store_restored_from_an_older_copy_decides() -> Result<()> {
    let fleet = ready("evacuation-era").await?;
    fleet.store.put(EVACUATIONS, AWAY, json!({}));
    fleet.store.take_backup();
    fleet.store.remove(EVACUATIONS, AWAY);
    fleet.store.put(EVACUATIONS, HERE, json!({}));
    wait_until("evacuated", || all_report(&fleet, &[HERE])).await?;
    fleet.store.restore_backup();
    wait_until("as in the copy", || all_report(&fleet, &[AWAY])).await?;
    fleet.store.forget_history();
    fleet.store.remove(EVACUATIONS, AWAY);
    wait_until("released", || all_report(&fleet, &[])).await
}

/// An order for a data centre without engines, and one that cannot be read, are logged and change nothing else.
#[actix_rt::test]
async fn order_for_an_unknown_data_centre_leaves_the_others_in_force() -> Result<()> {
    let fleet = ready("evacuation-unknown").await?;
    fleet.store.put(EVACUATIONS, "nowhere", json!({}));
    fleet.store.put(EVACUATIONS, HERE, json!({}));
    wait_until("evacuated", || all_report(&fleet, &[HERE, "nowhere"])).await?;
    let results = load_for(&fleet, 1).await;
    assert!(served(&results) > 0.99, "served share {}", served(&results));
    Ok(())
}
