//! A fleet in which one daemon is put out of step while engines of a new version join.

use std::time::Duration;

use anyhow::{Context, Result};
use curlewcleat_standins::deployment::{get_json, get_text, wait_until};
use curlewcleat_standins::fleet::{EngineLinkFault, EngineStep, FleetDeployment};
use curlewcleat_standins::link::FaultyLink;

use super::callers::{get_whole_stream, EVENTS};

const POOL: &str = "engines";
/// Variable in which the system's loader expects additional libraries.
const LOADER_VARIABLE: &str = "LD_PRELOAD";
const DAEMONS: usize = 4;
/// Engines of the version that serves first.
const FIRST_ENGINES: usize = 4;
/// Engines of the version that joins.
const JOINING_ENGINES: usize = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(2);
/// Events that a caller has when its stream breaks off.
const EVENTS_BEFORE: u64 = 2;
/// Time for which engines pause in a stream that is to break off.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Objects on a page of the store, so that a list of all engines is one page.
const PAGE_SIZE: usize = 100;
/// Bounds under which every stream may be continued.
const BOUNDS: &str = "retry_saved = 10000\nretry_ratio = 10";

/// How a daemon is out of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutOfStep {
    /// It stands still.
    Stopped,
    /// It stands still, and does not reach the store afterwards.
    StoppedThenWithoutStore,
    /// It does not reach the other daemons, nor they it.
    CutOff,
}

/// Which daemon is out of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AffectedDaemon {
    /// The one that schedules.
    Scheduler,
    /// Another one.
    Other,
}

/// What becomes of the first version when the second one joins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstVersion {
    Stays,
    Leaves,
}

/// Engines of two versions and daemons, one of which can be put out of step.
pub struct ReleaseFleet {
    pub fleet: FleetDeployment,
    /// Version of each engine.
    pub versions: Vec<&'static str>,
    /// The daemon that is put out of step.
    out_of_step: usize,
    /// Link of all daemons to the store.
    _store_link: FaultyLink,
}

impl ReleaseFleet {
    /// Starts engines of the first version and the daemons, and waits until all of them serve.
    pub async fn start(name: &str, affected: AffectedDaemon) -> Result<ReleaseFleet> {
        let mut fleet = FleetDeployment::start(name).await?;
        fleet.store.set_page_size(PAGE_SIZE);
        let store_link = fleet.use_separate_store().await?;
        fleet.use_engine_links(LOADER_VARIABLE)?;
        fleet.store_config()?;
        let versions = Vec::new();
        let mut fleet = ReleaseFleet { fleet, versions, out_of_step: 0, _store_link: store_link };
        fleet.add_engines("v1", FIRST_ENGINES).await?;
        fleet.fleet.daemons(DAEMONS, BOUNDS).await?;
        fleet.fleet.wait_for_all_peers().await?;
        fleet.wait_served("warm").await?;
        let scheduler = fleet.scheduler().await?;
        fleet.out_of_step = match affected {
            AffectedDaemon::Scheduler => scheduler,
            AffectedDaemon::Other => (scheduler + 1) % DAEMONS,
        };
        Ok(fleet)
    }

    async fn add_engines(&mut self, version: &'static str, count: usize) -> Result<()> {
        for _ in 0..count {
            self.fleet.engine_with_version(POOL, version, EVENTS, EVENT_INTERVAL).await?;
            self.versions.push(version);
        }
        Ok(())
    }

    /// Waits until every daemon that runs serves streams.
    pub async fn wait_served(&self, name: &str) -> Result<()> {
        for daemon in &self.fleet.daemons {
            wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
                .await?;
            wait_until("served", || async {
                get_whole_stream(&daemon.callers, name).await.is_ok()
            })
            .await?;
        }
        Ok(())
    }

    async fn scheduler(&self) -> Result<usize> {
        let status = get_json(&self.fleet.daemons[0].operators, "/status").await?;
        let pools = status["pools"].as_array().context("pools")?;
        let pool = pools.iter().find(|pool| pool["id"] == POOL).context("a pool")?;
        let name = pool["scheduler"].as_str().context("a scheduler")?;
        Ok(name.trim_start_matches("vm-").parse()?)
    }

    /// Puts the daemon out of step.
    pub fn begin_fault(&self, fault: OutOfStep) -> Result<()> {
        match fault {
            OutOfStep::CutOff => {
                let links = self.fleet.engine_links.as_ref().context("links")?;
                links.cut_off(self.out_of_step, DAEMONS)
            }
            _ => self.fleet.daemons[self.out_of_step].process.signal("STOP"),
        }
    }

    /// Lets the daemon run, and reach the others.
    pub fn end_fault(&self, fault: OutOfStep) -> Result<()> {
        let links = self.fleet.engine_links.as_ref().context("links")?;
        let name = |daemon: usize| format!("vm-{daemon}");
        match fault {
            OutOfStep::CutOff => {
                (0..DAEMONS).try_for_each(|daemon| links.set(&name(daemon), EngineLinkFault::None))
            }
            OutOfStep::Stopped => self.fleet.daemons[self.out_of_step].process.signal("CONT"),
            OutOfStep::StoppedThenWithoutStore => {
                links.cut_off_from_store(&name(self.out_of_step))?;
                self.fleet.daemons[self.out_of_step].process.signal("CONT")
            }
        }
    }

    /// Starts the engines of the second version.
    pub async fn join_second_version(&mut self, first: FirstVersion) -> Result<()> {
        self.add_engines("v2", JOINING_ENGINES).await?;
        if first == FirstVersion::Leaves {
            for index in 0..FIRST_ENGINES {
                self.fleet.terminate_engine(index).await;
            }
        }
        Ok(())
    }

    /// Terminates every second engine of the version that has joined.
    pub async fn terminate_joined_engines(&mut self) {
        for index in (FIRST_ENGINES..FIRST_ENGINES + JOINING_ENGINES).step_by(2) {
            self.fleet.terminate_engine(index).await;
        }
    }

    /// Kills the first daemon in step.
    pub fn kill_entry(&mut self) {
        let entry = self.in_step()[0];
        self.fleet.daemons[entry].process.kill();
    }

    /// Makes engines pause in a stream after its first events.
    pub fn pause_in(&self, name: &str) {
        self.fleet.set_attempt_step(name, EngineStep::Pause(EVENTS_BEFORE, PAUSE));
    }

    /// Returns the address for callers of the daemon that is put out of step.
    pub fn out_of_step_entry(&self) -> String {
        self.fleet.daemons[self.out_of_step].callers.clone()
    }

    /// Returns the indices of the daemons in step.
    pub fn in_step(&self) -> Vec<usize> {
        (1..DAEMONS).map(|step| (self.out_of_step + DAEMONS - step) % DAEMONS).collect()
    }
}
