//! Troubles of the processes of a fleet and of their links, each of which begins and ends by itself.
//!
//! Owns: which process a trouble strikes. Relies on: [`EventFleet`].

use std::time::{Duration, Instant};

use anyhow::{ensure, Context, Result};
use curlewcleat_standins::deployment::{post, wait_listening};
use curlewcleat_standins::fleet::stream_trouble::{NO_TROUBLE, TROUBLE_PATH};
use curlewcleat_standins::fleet::{EngineLinkFault, EngineLinks, StoreOutage};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use serde_json::Value;

use crate::support::event_streams::EventFleet;
use crate::trouble_kinds::TroubleKind;

/// Longest time in which a daemon that was asked to stop ends.
const STOP_LIMIT: Duration = Duration::from_secs(10);
/// Time between two looks at a process that ends.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A trouble that has begun.
#[derive(Clone, Copy, Debug)]
pub struct OpenTrouble {
    kind: TroubleKind,
    /// Place of the engine or the daemon.
    index: usize,
    /// Whether the process was started again already.
    is_replaced: bool,
}

impl OpenTrouble {
    /// Begins a trouble at a process that the other one does not strike.
    pub async fn begin(
        fleet: &mut EventFleet,
        kind: TroubleKind,
        other: Option<&OpenTrouble>,
        random: &mut StdRng,
    ) -> Result<OpenTrouble> {
        let index = draw_process(fleet, kind, other, random);
        let mut trouble = OpenTrouble { kind, index, is_replaced: false };
        match kind {
            kind if kind.is_of_engine() => trouble.begin_at_engine(fleet, random).await?,
            kind if kind.is_of_links() => cut_links(fleet, kind, index)?,
            kind if kind.is_of_daemon() => trouble.begin_at_daemon(fleet)?,
            TroubleKind::AllDaemonsKill => {
                fleet.deployment.daemons.iter_mut().for_each(|daemon| daemon.process.kill())
            }
            TroubleKind::ConfigChange => fleet.change_config(random)?,
            TroubleKind::Release => release_engines(fleet, other).await?,
            _ => fleet.deployment.store.set_outage(Some(StoreOutage::Unresponsive)),
        }
        Ok(trouble)
    }

    async fn begin_at_engine(&mut self, fleet: &mut EventFleet, random: &mut StdRng) -> Result<()> {
        let index = self.index;
        match self.kind {
            TroubleKind::EngineKill => fleet.kill_engine(index),
            TroubleKind::EngineReuse => {
                fleet.kill_engine(index);
                self.is_replaced = random.random();
                if self.is_replaced {
                    replace_at_same_address(fleet, index).await?;
                }
            }
            TroubleKind::EngineLeave => fleet.leave_engine(index)?,
            TroubleKind::EngineSwap => fleet.swap_addresses(index).await?,
            TroubleKind::Answers(answers) => set_answers(fleet, index, &answers.name()).await?,
            // A standstill, or a loss of power.
            _ => fleet.signal(&[index], "STOP")?,
        }
        Ok(())
    }

    fn begin_at_daemon(self, fleet: &mut EventFleet) -> Result<()> {
        let index = self.index;
        let process = &mut fleet.deployment.daemons[index].process;
        match self.kind {
            TroubleKind::DaemonKill => process.kill(),
            TroubleKind::DaemonLeave => process.signal("TERM")?,
            TroubleKind::DaemonReload => process.signal("HUP")?,
            TroubleKind::DaemonSlow => fleet.duty.add(process, index as u64)?,
            // A standstill, or a loss of power.
            _ => process.signal("STOP")?,
        }
        Ok(())
    }

    /// Ends the trouble.
    pub async fn end(self, fleet: &mut EventFleet, random: &mut StdRng) -> Result<()> {
        match self.kind {
            kind if kind.is_of_engine() => self.end_at_engine(fleet).await,
            kind if kind.is_of_links() => restore_links(fleet),
            kind if kind.is_of_daemon() => self.end_at_daemon(fleet).await,
            TroubleKind::AllDaemonsKill => {
                for index in 0..fleet.deployment.daemons.len() {
                    start_daemon(fleet, index).await?;
                }
                Ok(())
            }
            TroubleKind::ConfigChange => fleet.change_config(random),
            TroubleKind::Release => {
                fleet.end_left_engines();
                Ok(())
            }
            _ => {
                fleet.deployment.store.set_outage(None);
                Ok(())
            }
        }
    }

    async fn end_at_engine(self, fleet: &mut EventFleet) -> Result<()> {
        let index = self.index;
        match self.kind {
            TroubleKind::EngineKill => fleet.replace_engine(index, Vec::new()).await,
            TroubleKind::EngineReuse if self.is_replaced => Ok(()),
            TroubleKind::EngineReuse => replace_at_same_address(fleet, index).await,
            TroubleKind::EngineStop => fleet.signal(&[index], "CONT"),
            TroubleKind::Answers(_) => set_answers(fleet, index, NO_TROUBLE).await,
            TroubleKind::EngineSwap => Ok(()),
            // It left, or lost power.
            _ => {
                fleet.kill_engine(index);
                fleet.replace_engine(index, Vec::new()).await
            }
        }
    }

    async fn end_at_daemon(self, fleet: &mut EventFleet) -> Result<()> {
        let index = self.index;
        match self.kind {
            TroubleKind::DaemonKill => start_daemon(fleet, index).await,
            TroubleKind::DaemonPowerLoss => {
                fleet.deployment.daemons[index].process.kill();
                start_daemon(fleet, index).await
            }
            TroubleKind::DaemonLeave => {
                wait_ended(fleet, index).await?;
                start_daemon(fleet, index).await
            }
            TroubleKind::DaemonSlow => {
                fleet.duty.remove(fleet.deployment.daemons[index].process.id());
                Ok(())
            }
            TroubleKind::DaemonReload => Ok(()),
            // It stood still.
            _ => fleet.deployment.daemons[index].process.signal("CONT"),
        }
    }
}

/// Returns the place of the process that a trouble strikes, 0 for a trouble of none.
fn draw_process(
    fleet: &EventFleet,
    kind: TroubleKind,
    other: Option<&OpenTrouble>,
    random: &mut StdRng,
) -> usize {
    let (count, is_same_role) = match kind {
        kind if kind.is_of_engine() => {
            (fleet.engines.len(), other.is_some_and(|other| other.kind.is_of_engine()))
        }
        kind if kind.is_of_daemon() => {
            (fleet.deployment.daemons.len(), other.is_some_and(|other| other.kind.is_of_daemon()))
        }
        _ => return 0,
    };
    let is_struck = |index: usize| is_same_role && other.is_some_and(|other| other.index == index);
    let is_free = |index: &usize| {
        !is_struck(*index) && (kind != TroubleKind::EngineSwap || !is_struck(*index ^ 1))
    };
    let free: Vec<usize> = (0..count).filter(is_free).collect();
    free.choose(random).copied().unwrap_or_default()
}

/// Begins or ends the trouble of an engine that lives.
async fn set_answers(fleet: &EventFleet, index: usize, name: &str) -> Result<()> {
    post(fleet.address(index), &format!("{TROUBLE_PATH}{name}"), &Value::Null).await
}

fn links(fleet: &EventFleet) -> Result<&EngineLinks> {
    fleet.deployment.engine_links.as_ref().context("the links of this fleet cannot fail")
}

fn cut_links(fleet: &EventFleet, kind: TroubleKind, index: usize) -> Result<()> {
    let links = links(fleet)?;
    let name = format!("vm-{index}");
    match kind.engine_link_fault() {
        Some(fault) => links.set(&name, fault),
        None if kind == TroubleKind::DaemonAlone => {
            links.cut_off(index, fleet.deployment.daemons.len())
        }
        None => links.cut_off_from_store(&name),
    }
}

fn restore_links(fleet: &EventFleet) -> Result<()> {
    let links = links(fleet)?;
    let mut daemons = 0..fleet.deployment.daemons.len();
    daemons.try_for_each(|index| links.set(&format!("vm-{index}"), EngineLinkFault::None))
}

/// Replaces all engines but the one in trouble by those of a new version.
async fn release_engines(fleet: &mut EventFleet, other: Option<&OpenTrouble>) -> Result<()> {
    let struck = other.filter(|other| other.kind.is_of_engine()).map(|other| other.index);
    fleet.version = format!("v{}", fleet.ids.len());
    for index in (0..fleet.engines.len()).filter(|index| Some(*index) != struck) {
        fleet.release_engine(index).await?;
    }
    Ok(())
}

async fn replace_at_same_address(fleet: &mut EventFleet, index: usize) -> Result<()> {
    let address = fleet.address(index).to_string();
    fleet.replace_engine_at(index, &address, Vec::new()).await
}

async fn start_daemon(fleet: &mut EventFleet, index: usize) -> Result<()> {
    fleet.deployment.start_killed(index)?;
    wait_listening(&fleet.deployment.daemons[index].operators).await
}

async fn wait_ended(fleet: &mut EventFleet, index: usize) -> Result<()> {
    let asked = Instant::now();
    while fleet.deployment.daemons[index].process.ended().is_none() {
        ensure!(asked.elapsed() < STOP_LIMIT, "daemon {index} did not end after SIGTERM");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
