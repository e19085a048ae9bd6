//! Engines that state in their answers how slow their VM is at the moment: the daemon that schedules learns of it from the
//! daemons that receive the answers.

mod support;

use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::deployment::{get_json, get_text};
use curlewcleat_standins::fleet::FleetDeployment;
use serde_json::Value;

use support::{entry_daemons, load, wait_served};

/// Time that an engine takes for a record.
const RECORD_TIME: Duration = Duration::from_millis(5);
const DAEMONS: usize = 2;
const PATH: &str = "/again/a";
const LOAD_TIME: Duration = Duration::from_millis(800);
/// Time after which no statement is believed.
const BELIEF_LIMIT: Duration = Duration::from_millis(1_500);

async fn ready(name: &str) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    fleet.engine("records", 0, RECORD_TIME).await?;
    fleet.daemons(DAEMONS, "[scheduling]\nstated_loads = yes\n").await?;
    wait_served(&fleet, PATH).await?;
    Ok(fleet)
}

/// Returns the engine's status at the daemon that schedules its pool, with the index of that daemon.
async fn scheduled_target(fleet: &FleetDeployment) -> Result<(usize, Value)> {
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let status = get_json(&daemon.operators, "/status").await?;
        for pool in status["pools"].as_array().into_iter().flatten() {
            let target = &pool["targets"][0];
            if pool["scheduler"] == status["vm"] && target["id"] == fleet.engines[0].id {
                return Ok((index, target.clone()));
            }
        }
    }
    anyhow::bail!("no daemon schedules the pool of the engine")
}

#[actix_rt::test]
async fn scheduler_learns_what_engines_state_to_every_daemon_and_forgets_it() -> Result<()> {
    let fleet = ready("loads-stated").await?;
    let (scheduler, target) = scheduled_target(&fleet).await?;
    assert_eq!(target["stated_slowness_percent"], Value::Null, "{target}");
    for (entry, slowness) in [(1 - scheduler, 250), (scheduler, 180)] {
        let stated = format!("1,0,4,{slowness}");
        fleet.engines[0].set_notices(&[(WIRE_PROFILE.load, &stated)]);
        let callers = entry_daemons(&fleet).into_iter().filter(|(index, _)| *index == entry);
        let results = load(callers.collect(), PATH, LOAD_TIME).await;
        assert!(results.iter().all(|result| result.status == 200), "{results:?}");
        let (_, target) = scheduled_target(&fleet).await?;
        assert_eq!(target["stated_slowness_percent"], slowness, "from daemon {entry}: {target}");
    }
    tokio::time::sleep(BELIEF_LIMIT).await;
    let (_, target) = scheduled_target(&fleet).await?;
    assert_eq!(target["stated_slowness_percent"], Value::Null, "{target}");
    Ok(())
}

#[actix_rt::test]
async fn unusable_figures_are_counted_and_change_nothing() -> Result<()> {
    let fleet = ready("loads-unusable").await?;
    fleet.engines[0].set_notices(&[(WIRE_PROFILE.load, "1,0,4,-250")]);
    let results = load(entry_daemons(&fleet), PATH, LOAD_TIME).await;
    assert!(results.iter().all(|result| result.status == 200), "{results:?}");
    let (_, target) = scheduled_target(&fleet).await?;
    assert_eq!(target["stated_slowness_percent"], Value::Null, "{target}");
    for daemon in &fleet.daemons {
        let metrics = get_text(&daemon.operators, "/metrics").await?;
        let counted = "curlewcleat_target_load_faults_total{cause=\"negative\"} ";
        let line = metrics.lines().find_map(|line| line.strip_prefix(counted));
        assert!(line.is_some_and(|count| count != "0"), "{line:?}");
    }
    Ok(())
}
