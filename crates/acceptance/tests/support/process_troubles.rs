//! Troubles of the processes of a fleet and of their links, each of which begins and ends by itself.
//!
//! Owns: which process a trouble strikes. Relies on: [`EventFleet`].

use std::time::{Duration, Instant};

use anyhow::{ensure, Context, Result};
use curlewcleat_standins::deployment::{post, wait_listening};
use curlewcleat_standins::fleet::stream_trouble::{StreamTrouble, NO_TROUBLE, TROUBLE_PATH};
use curlewcleat_standins::fleet::{EngineLinkFault, EngineLinks, StoreOutage};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use serde_json::Value;

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
    /// An engine of each service is killed, and engines start that have swapped their addresses.
    EngineSwap,
    /// An engine is silent, and its connections close when another one starts elsewhere.
    EnginePowerLoss,
    /// An engine lives, and answers a share of its requests in this way.
    Answers(StreamTrouble),
    /// All daemons are killed at the same moment and started again.
    AllDaemonsKill,
    /// A daemon is silent, and its connections close when it is started again.
    DaemonPowerLoss,
    /// A daemon runs for a part of the time.
    DaemonSlow,
    /// A daemon reads its settings again.
    DaemonReload,
    /// Nothing arrives on the links from a daemon to the engines.
    LinksSilent,
    /// The links from a daemon to the engines are reset.
    LinksReset,
    /// Nothing arrives on the links from a daemon to half of the engines.
    HalfOfLinksSilent,
    /// A daemon and the others do not reach each other.
    DaemonAlone,
    /// A daemon does not reach the store.
    DaemonWithoutStore,
    /// The store answers nobody.
    StoreSilent,
}

impl TroubleKind {
    /// Returns all kinds. Engines close no answer of their own accord that has neither a length nor chunks: by the protocol
    /// it has ended then.
    pub fn all() -> Vec<TroubleKind> {
        use TroubleKind as Kind;
        let mut kinds = vec![
            Kind::EngineKill,
            Kind::EngineReuse,
            Kind::EngineStop,
            Kind::EngineLeave,
            Kind::DaemonKill,
            Kind::DaemonStop,
            Kind::DaemonLeave,
            Kind::ConfigChange,
            Kind::Release,
            Kind::EngineSwap,
            Kind::EnginePowerLoss,
            Kind::AllDaemonsKill,
            Kind::DaemonPowerLoss,
            Kind::DaemonSlow,
            Kind::DaemonReload,
            Kind::LinksSilent,
            Kind::LinksReset,
            Kind::HalfOfLinksSilent,
            Kind::DaemonAlone,
            Kind::DaemonWithoutStore,
            Kind::StoreSilent,
        ];
        let answers = StreamTrouble::all().into_iter();
        let answers = answers.filter(|trouble| *trouble != StreamTrouble::Closed);
        kinds.extend(answers.map(Kind::Answers));
        kinds.sort();
        kinds
    }

    /// Returns whether both kinds can strike at the same time, by different processes.
    pub fn pairs_with(self, other: TroubleKind) -> bool {
        use TroubleKind as Kind;
        if self == other {
            return self.is_of_engine() || (self.is_of_daemon() && !self.is_of_links());
        }
        let strikes_all = |kind: TroubleKind| matches!(kind, Kind::AllDaemonsKill);
        let is_excluded = |one: TroubleKind, other: TroubleKind| {
            // A link has one fault at a time, and all daemons leave none for another trouble.
            strikes_all(one) && other.is_of_daemon() || one.is_of_links() && other.is_of_links()
        };
        !is_excluded(self, other) && !is_excluded(other, self)
    }

    fn is_of_engine(self) -> bool {
        use TroubleKind as Kind;
        matches!(
            self,
            Kind::EngineKill
                | Kind::EngineReuse
                | Kind::EngineStop
                | Kind::EngineLeave
                | Kind::EngineSwap
                | Kind::EnginePowerLoss
                | Kind::Answers(_)
        )
    }

    fn is_of_daemon(self) -> bool {
        use TroubleKind as Kind;
        let is_of_process = matches!(
            self,
            Kind::DaemonKill
                | Kind::DaemonStop
                | Kind::DaemonLeave
                | Kind::DaemonPowerLoss
                | Kind::DaemonSlow
                | Kind::DaemonReload
        );
        is_of_process || self.is_of_links()
    }

    fn is_of_links(self) -> bool {
        use TroubleKind as Kind;
        matches!(
            self,
            Kind::LinksSilent
                | Kind::LinksReset
                | Kind::HalfOfLinksSilent
                | Kind::DaemonAlone
                | Kind::DaemonWithoutStore
        )
    }

    /// Returns how the links from a daemon to the engines fail.
    fn engine_link_fault(self) -> Option<EngineLinkFault> {
        match self {
            TroubleKind::LinksSilent => Some(EngineLinkFault::Silent),
            TroubleKind::LinksReset => Some(EngineLinkFault::Reset),
            TroubleKind::HalfOfLinksSilent => Some(EngineLinkFault::SilentForHalf),
            _ => None,
        }
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
            TroubleKind::EngineStop | TroubleKind::EnginePowerLoss => {
                fleet.signal(&[index], "STOP")?
            }
            TroubleKind::EngineLeave => fleet.leave_engine(index)?,
            TroubleKind::EngineSwap => fleet.swap_addresses(index).await?,
            TroubleKind::Answers(answers) => set_answers(fleet, index, &answers.name()).await?,
            TroubleKind::DaemonKill => fleet.deployment.daemons[index].process.kill(),
            TroubleKind::DaemonStop | TroubleKind::DaemonPowerLoss => {
                fleet.deployment.daemons[index].process.signal("STOP")?
            }
            TroubleKind::DaemonLeave => fleet.deployment.daemons[index].process.signal("TERM")?,
            TroubleKind::DaemonReload => fleet.deployment.daemons[index].process.signal("HUP")?,
            TroubleKind::DaemonSlow => {
                fleet.duty.add(&fleet.deployment.daemons[index].process, index as u64)?
            }
            TroubleKind::AllDaemonsKill => {
                fleet.deployment.daemons.iter_mut().for_each(|daemon| daemon.process.kill())
            }
            TroubleKind::ConfigChange => fleet.change_config(random)?,
            TroubleKind::Release => release_engines(fleet, other).await?,
            TroubleKind::StoreSilent => {
                fleet.deployment.store.set_outage(Some(StoreOutage::Unresponsive))
            }
            TroubleKind::LinksSilent
            | TroubleKind::LinksReset
            | TroubleKind::HalfOfLinksSilent
            | TroubleKind::DaemonAlone
            | TroubleKind::DaemonWithoutStore => cut_links(fleet, kind, index)?,
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
            TroubleKind::EngineLeave | TroubleKind::EnginePowerLoss => {
                fleet.kill_engine(index);
                fleet.replace_engine(index, Vec::new()).await
            }
            TroubleKind::Answers(_) => set_answers(fleet, index, NO_TROUBLE).await,
            TroubleKind::DaemonKill => start_daemon(fleet, index).await,
            TroubleKind::DaemonStop => fleet.deployment.daemons[index].process.signal("CONT"),
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
            TroubleKind::StoreSilent => {
                fleet.deployment.store.set_outage(None);
                Ok(())
            }
            TroubleKind::LinksSilent
            | TroubleKind::LinksReset
            | TroubleKind::HalfOfLinksSilent
            | TroubleKind::DaemonAlone
            | TroubleKind::DaemonWithoutStore => restore_links(fleet),
            TroubleKind::EngineSwap | TroubleKind::DaemonReload => Ok(()),
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
