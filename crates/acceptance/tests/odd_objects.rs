//! Objects of another writer in the store, of every kind that daemons read: real daemons go on serving and follow what
//! changes beside them.
//!
//! Guards against daemons that end, or no longer follow the targets, because of one object that is nested very deeply,
//! or has a number or port out of range.

#[path = "odd_objects/objects.rs"]
mod objects;
mod support;

use std::time::{Duration, Instant};

use anyhow::{ensure, Result};
use curlewcleat_platform::names::SERVERS;
use curlewcleat_standins::deployment::wait_until;
use curlewcleat_standins::fleet::FleetDeployment;

use objects::odd_objects;
use support::{entry_daemons, load, wait_served};

const POOL: &str = "records";
const PATH: &str = "/once/open/a";
const DAEMONS: usize = 3;
/// Objects on a page of the store.
const PAGE_SIZE: usize = 500;
/// Time that an engine takes for a record.
const RECORD_TIME: Duration = Duration::from_millis(10);
/// Settings of the daemons with these bounds; with them they read every kind of object.
const BOUNDS: &str = "retry_saved = 100\nretry_ratio = 0.5\nevacuation_limit = 2s\nrollout_share = 0.1\nrollout_slack = 50";
/// Time within which daemons follow targets that leave or appear: the required bound.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

/// Starts a store and engines.
async fn engines(name: &str, count: usize) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store.set_page_size(PAGE_SIZE);
    fleet.store_config()?;
    for _ in 0..count {
        fleet.engine(POOL, 3, RECORD_TIME).await?;
    }
    Ok(fleet)
}

/// Returns the number of requests that an engine has received since a time.
fn arrivals(fleet: &FleetDeployment, engine: usize, since: Instant) -> usize {
    let runs = fleet.engines[engine].runs();
    runs.into_iter().filter_map(|run| run.begun).filter(|begun| *begun >= since).count()
}

/// Checks that all requests are served for a time.
async fn check_served(fleet: &FleetDeployment, time: Duration) {
    let results = load(entry_daemons(fleet), PATH, time).await;
    let unserved: Vec<_> = results.iter().filter(|result| result.status != 200).collect();
    assert!(unserved.is_empty(), "{} of {}: {unserved:?}", unserved.len(), results.len());
    assert!(!results.is_empty());
}

/// Checks that the daemons follow a target that leaves, one that appears and one that is removed, and have not ended.
async fn check_following(fleet: &mut FleetDeployment) -> Result<()> {
    fleet.announce("i-0", POOL, &fleet.engine_addresses[0], "draining")?;
    let left = Instant::now();
    check_served(fleet, LEAVE_LIMIT).await;
    check_served(fleet, Duration::from_secs(1)).await;
    assert_eq!(arrivals(fleet, 0, left + LEAVE_LIMIT), 0, "a leaving engine gets requests");
    fleet.engine(POOL, 3, RECORD_TIME).await?;
    let appeared = Instant::now();
    check_served(fleet, LEAVE_LIMIT).await;
    let newest = fleet.engines.len() - 1;
    assert!(arrivals(fleet, newest, appeared) > 0, "a new engine gets no requests");
    fleet.store.remove(SERVERS, "i-1");
    tokio::time::sleep(LEAVE_LIMIT).await;
    let removed = Instant::now();
    check_served(fleet, Duration::from_secs(1)).await;
    assert_eq!(arrivals(fleet, 1, removed), 0, "a removed engine gets requests");
    check_running(fleet)
}

fn check_running(fleet: &mut FleetDeployment) -> Result<()> {
    for index in 0..fleet.daemons.len() {
        let ended = fleet.daemons[index].process.ended();
        ensure!(ended.is_none(), "daemon {index} has ended with {ended:?}");
        let log = fleet.log(index)?;
        let panic = log.lines().find(|line| line.contains("panicked"));
        ensure!(panic.is_none(), "daemon {index}: {panic:?}");
    }
    Ok(())
}

#[actix_rt::test]
async fn daemons_that_start_beside_odd_objects_serve_and_follow_the_targets() -> Result<()> {
    let mut fleet = engines("odd-listed", 3).await?;
    for object in odd_objects() {
        fleet.store.put_raw(object.kind, &object.name, &object.content);
    }
    fleet.daemons(DAEMONS, BOUNDS).await?;
    wait_served(&fleet, PATH).await?;
    check_following(&mut fleet).await
}

#[actix_rt::test]
async fn odd_objects_that_appear_stop_no_daemon_and_no_watch() -> Result<()> {
    let mut fleet = engines("odd-watched", 3).await?;
    fleet.daemons(DAEMONS, BOUNDS).await?;
    wait_served(&fleet, PATH).await?;
    let entries = entry_daemons(&fleet);
    let requests = actix_rt::spawn(load(entries, PATH, Duration::from_secs(4)));
    // One after another, then all at once.
    for object in odd_objects() {
        fleet.store.put_raw(object.kind, &object.name, &object.content);
        tokio::time::sleep(Duration::from_millis(20)).await;
        fleet.store.remove(object.kind, &object.name);
    }
    for object in odd_objects() {
        fleet.store.put_raw(object.kind, &object.name, &object.content);
    }
    let results = requests.await?;
    assert!(results.iter().all(|result| result.status == 200), "{results:?}");
    wait_until("odd entries are reported", || async {
        (0..DAEMONS).any(|index| fleet.log(index).is_ok_and(|log| log.contains("entry_unusable")))
    })
    .await?;
    check_following(&mut fleet).await
}

#[actix_rt::test]
async fn engine_whose_entry_becomes_odd_gets_no_requests_and_the_others_do() -> Result<()> {
    let mut fleet = engines("odd-overwritten", 3).await?;
    fleet.daemons(DAEMONS, BOUNDS).await?;
    wait_served(&fleet, PATH).await?;
    for object in odd_objects().filter(|object| object.kind == SERVERS) {
        fleet.store.put_raw(SERVERS, "i-2", &object.content);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(LEAVE_LIMIT).await;
    let overwritten = Instant::now();
    check_served(&fleet, Duration::from_secs(1)).await;
    assert_eq!(arrivals(&fleet, 2, overwritten), 0);
    check_following(&mut fleet).await
}

/// Guards against a list that is never complete because a page ends with a name that fits no URI.
#[actix_rt::test]
async fn name_that_fits_no_uri_at_the_end_of_a_page_hides_no_engine() -> Result<()> {
    let mut fleet = engines("odd-name", 3).await?;
    fleet.store.set_page_size(1);
    fleet.store.put_raw(SERVERS, &"a".repeat(70_000), b"{}");
    fleet.daemons(DAEMONS, BOUNDS).await?;
    wait_served(&fleet, PATH).await?;
    check_following(&mut fleet).await
}
