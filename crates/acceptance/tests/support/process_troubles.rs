//! Troubles of the processes of a fleet, each of which begins and ends by itself.
//!
//! Owns: which process a trouble strikes. Relies on: [`EventFleet`].

use std::time::{Duration, Instant};

use anyhow::{ensure, Result};
use curlewcleat_standins::deployment::wait_listening;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;

use crate::support::event_streams::EventFleet;

/// Longest time in which a daemon that was asked to stop ends.
const STOP_LIMIT: Duration = Duration::from_secs(10);
/// Time between two looks at a process that ends.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TroubleKind {
    /// An engine is killed, and another one starts elsewhere.
    EngineKill,
    /// An engine is killed, and one of another id starts at its address.
    EngineReuse,
    /// An engine stands still.
    EngineStop,
    /// An engine closes its listener, serves on, and is killed.
    EngineLeave,
    /// A daemon is killed and started again.
    DaemonKill,
    /// A daemon stands still.
    DaemonStop,
    /// A daemon stops as planned and is started again.
    DaemonLeave,
    /// The configuration changes, twice.
    ConfigChange,
    /// Engines of a new version join, and those of the former one leave.
    Release,
}

impl TroubleKind {
    pub const ALL: [TroubleKind; 9] = [
        TroubleKind::EngineKill,
        TroubleKind::EngineReuse,
        TroubleKind::EngineStop,
        TroubleKind::EngineLeave,
        TroubleKind::DaemonKill,
        TroubleKind::DaemonStop,
        TroubleKind::DaemonLeave,
        TroubleKind::ConfigChange,
        TroubleKind::Release,
    ];

    /// Returns whether two of the kind strike different processes.
    pub fn pairs_with_itself(self) -> bool {
        !matches!(self, TroubleKind::ConfigChange | TroubleKind::Release)
    }

    fn is_of_engine(self) -> bool {
        use TroubleKind::{EngineKill, EngineLeave, EngineReuse, EngineStop};
        matches!(self, EngineKill | EngineReuse | EngineStop | EngineLeave)
    }

    fn is_of_daemon(self) -> bool {
        use TroubleKind::{DaemonKill, DaemonLeave, DaemonStop};
        matches!(self, DaemonKill | DaemonStop | DaemonLeave)
    }
}

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
            TroubleKind::EngineKill => fleet.kill_engine(index),
            TroubleKind::EngineReuse => {
                fleet.kill_engine(index);
                trouble.is_replaced = random.random();
                if trouble.is_replaced {
                    replace_at_same_address(fleet, index).await?;
                }
            }
            TroubleKind::EngineStop => fleet.signal(&[index], "STOP")?,
            TroubleKind::EngineLeave => fleet.leave_engine(index)?,
            TroubleKind::DaemonKill => fleet.deployment.daemons[index].process.kill(),
            TroubleKind::DaemonStop => fleet.deployment.daemons[index].process.signal("STOP")?,
            TroubleKind::DaemonLeave => fleet.deployment.daemons[index].process.signal("TERM")?,
            TroubleKind::ConfigChange => fleet.change_config(random)?,
            TroubleKind::Release => release_engines(fleet, other).await?,
        }
        Ok(trouble)
    }

    /// Ends the trouble.
    pub async fn end(self, fleet: &mut EventFleet, random: &mut StdRng) -> Result<()> {
        let index = self.index;
        match self.kind {
            TroubleKind::EngineKill => fleet.replace_engine(index, Vec::new()).await,
            TroubleKind::EngineReuse if self.is_replaced => Ok(()),
            TroubleKind::EngineReuse => replace_at_same_address(fleet, index).await,
            TroubleKind::EngineStop => fleet.signal(&[index], "CONT"),
            TroubleKind::EngineLeave => {
                fleet.kill_engine(index);
                fleet.replace_engine(index, Vec::new()).await
            }
            TroubleKind::DaemonKill => start_daemon(fleet, index).await,
            TroubleKind::DaemonStop => fleet.deployment.daemons[index].process.signal("CONT"),
            TroubleKind::DaemonLeave => {
                wait_ended(fleet, index).await?;
                start_daemon(fleet, index).await
            }
            TroubleKind::ConfigChange => fleet.change_config(random),
            TroubleKind::Release => {
                fleet.end_left_engines();
                Ok(())
            }
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
    let is_struck =
        |index: &usize| is_same_role && other.is_some_and(|other| other.index == *index);
    let free: Vec<usize> = (0..count).filter(|index| !is_struck(index)).collect();
    free.choose(random).copied().unwrap_or_default()
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
