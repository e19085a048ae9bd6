//! The processes of a run and what their engines saw.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use curlewcleat_platform::example::example_config;
use curlewcleat_platform::format::{Config, Route};
use curlewcleat_platform::names::{CONFIG_KIND, CONFIG_NAME, READY};
use curlewcleat_standins::address::free_address;
use curlewcleat_standins::deployment::{get_text, program_folder, spawn, wait_until, ChildProcess};
use curlewcleat_standins::fleet::{EngineEntry, EngineRun, FleetEngine, FleetStore};
use curlewcleat_standins::http::serve_here;
use curlewcleat_standins::served::ServedHandler;
use serde_json::to_value;

use crate::evidence::SoakEvidence;
use crate::extra::ExtraKind;
use crate::lethal::{arm, EndedFlag};
use crate::link::FaultyLink;
use crate::options::SoakOptions;
use crate::settings::{DaemonSettings, AGE_LIMIT, APPLY_LIMIT};

/// Events of a whole stream, and the time between two.
pub const EVENTS: u64 = 6;
pub const PACE: Duration = Duration::from_millis(15);
/// Slots of an engine.
const SLOTS: u32 = 8;
/// Daemons whose addresses the settings of each name.
const SEEDS: usize = 3;
/// Time between looks at processes.
pub const LOOK_EVERY: Duration = Duration::from_millis(25);
/// Services of the example configuration.
pub const BACKENDS: [&str; 2] = ["records", "engines"];

/// An engine and where it is.
pub struct EngineSlot {
    pub engine: Rc<FleetEngine>,
    pub backend: &'static str,
    /// Where it announces itself: at its link, where it has one.
    pub address: String,
    /// The link on which daemons reach it, in runs whose connections go silent.
    pub link: Option<FaultyLink>,
    /// Where it is served, until it ends.
    pub served: Option<ServedHandler>,
    /// Whether its process has ended under a request.
    pub ended: EndedFlag,
}

/// A daemon, the links through which it is reached, and its process.
pub struct DaemonSlot {
    pub name: String,
    pub callers: String,
    pub operators: String,
    pub peer_link: FaultyLink,
    pub store_link: FaultyLink,
    pub settings: PathBuf,
    pub process: RefCell<ChildProcess>,
    /// Whether a fault has its hands on the process.
    pub taken: Cell<bool>,
}

/// Where a daemon receives frames, and the link through which its peers send them.
struct PeerEndpoint {
    link: FaultyLink,
    address: String,
}

/// The processes and stand-ins of a run.
pub struct SoakFleet {
    pub options: SoakOptions,
    pub programs: PathBuf,
    pub store: Rc<FleetStore>,
    pub config: RefCell<Config>,
    pub engines: RefCell<Vec<EngineSlot>>,
    /// Engines that left; they still note what reaches them.
    pub left: RefCell<Vec<Rc<FleetEngine>>>,
    pub started: Cell<usize>,
    pub daemons: Vec<DaemonSlot>,
    pub evidence: RefCell<SoakEvidence>,
    pub open_faults: Cell<usize>,
    /// Engines that say something of themselves now.
    pub speaking: RefCell<BTreeSet<String>>,
}

/// The example configuration with further routes that no caller uses.
fn long_config(routes: usize) -> Config {
    let mut config = example_config();
    let first = config.routes[0].clone();
    config.routes.extend((0..routes).map(|index| Route {
        name: format!("unused-{index}"),
        path_prefix: format!("/unused/{index}/"),
        ..first.clone()
    }));
    config
}

impl SoakFleet {
    /// Ends the processes and their links.
    pub fn close(self) {
        for daemon in self.daemons {
            daemon.process.into_inner().kill();
            daemon.peer_link.close();
            daemon.store_link.close();
        }
    }

    /// Starts everything and waits until all daemons are ready.
    pub async fn start(options: SoakOptions) -> Result<SoakFleet> {
        std::fs::create_dir_all(&options.folder).context("soak: folder")?;
        let store = FleetStore::new();
        let store_address = serve_here(store.clone()).await?;
        let programs = program_folder()?;
        let mut fleet = SoakFleet {
            programs,
            store,
            config: RefCell::new(long_config(options.routes)),
            engines: RefCell::default(),
            left: RefCell::default(),
            started: Cell::new(0),
            daemons: Vec::new(),
            evidence: RefCell::default(),
            open_faults: Cell::new(0),
            speaking: RefCell::default(),
            options,
        };
        {
            let evidence = fleet.evidence.get_mut();
            evidence.events = EVENTS;
            evidence.age_limit = AGE_LIMIT;
            evidence.leave_limit = APPLY_LIMIT;
        }
        fleet.store_config()?;
        for index in 0..fleet.options.engines * BACKENDS.len() {
            let slot = fleet.new_engine(BACKENDS[index % BACKENDS.len()]).await?;
            fleet.engines.borrow_mut().push(slot);
        }
        fleet.start_daemons(&store_address).await?;
        Ok(fleet)
    }

    async fn start_daemons(&mut self, store: &str) -> Result<()> {
        let peers = self.start_peer_links().await?;
        let seeds: Vec<String> =
            peers.iter().take(SEEDS).map(|peer| peer.link.address.clone()).collect();
        for (index, peer) in peers.into_iter().enumerate() {
            let daemon = self.start_daemon(index, peer, &seeds, store).await?;
            self.daemons.push(daemon);
        }
        for daemon in &self.daemons {
            let operators = daemon.operators.as_str();
            wait_until("a daemon is ready", || async move {
                get_text(operators, "/readyz").await.is_ok()
            })
            .await?;
        }
        Ok(())
    }

    /// Starts the links to all daemons first, since each daemon's settings name some of them.
    async fn start_peer_links(&self) -> Result<Vec<PeerEndpoint>> {
        let mut peers = Vec::new();
        for _ in 0..self.options.daemons {
            let address = free_address()?;
            peers.push(PeerEndpoint {
                link: FaultyLink::start(&address, self.options.link_mbps).await?,
                address,
            });
        }
        Ok(peers)
    }

    async fn start_daemon(
        &self,
        index: usize,
        peer: PeerEndpoint,
        seeds: &[String],
        store: &str,
    ) -> Result<DaemonSlot> {
        let store_link = FaultyLink::start(store, None).await?;
        let (callers, operators) = (free_address()?, free_address()?);
        let name = format!("vm-{index}");
        let text = DaemonSettings {
            name: &name,
            callers: &callers,
            operators: &operators,
            peers: &peer.address,
            advertised: &peer.link.address,
            seeds,
            store: &store_link.address,
            link_mbps: self.options.link_mbps,
        }
        .to_ini();
        let settings = self.options.folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text)?;
        let process = RefCell::new(self.spawn(&name, &callers, &settings)?);
        Ok(DaemonSlot {
            name,
            callers,
            operators,
            peer_link: peer.link,
            store_link,
            settings,
            process,
            taken: Cell::new(false),
        })
    }

    fn spawn(&self, name: &str, callers: &str, settings: &Path) -> Result<ChildProcess> {
        let program = self.programs.join("curlewcleatd");
        let settings = settings.display().to_string();
        spawn(&program, "", callers, &self.options.folder, name, &["--settings", &settings])
    }

    pub fn respawn(&self, daemon: &DaemonSlot) {
        match self.spawn(&daemon.name, &daemon.callers, &daemon.settings) {
            Ok(process) => {
                daemon.process.replace(process);
            }
            Err(error) => self.note_exit(format!("{} does not start: {error}", daemon.name)),
        }
    }

    pub fn note_exit(&self, what: String) {
        self.evidence.borrow_mut().exits.push(what);
    }

    pub fn store_config(&self) -> Result<()> {
        let mut config = self.config.borrow_mut();
        config.resource_version += 3;
        self.store.put(CONFIG_KIND, CONFIG_NAME, to_value(&*config)?);
        Ok(())
    }

    pub async fn new_engine(&self, backend: &'static str) -> Result<EngineSlot> {
        let number = self.started.get();
        self.started.set(number + 1);
        let engine = FleetEngine::new(&format!("i-{number}"), EVENTS, PACE);
        self.serve_engine(engine, backend, &free_address()?).await
    }

    /// Serves an engine at an address, and writes its entry.
    pub async fn serve_engine(
        &self,
        engine: Rc<FleetEngine>,
        backend: &'static str,
        address: &str,
    ) -> Result<EngineSlot> {
        let served = ServedHandler::start(address, engine.clone()).await?;
        let link = match self.options.extra {
            Some(ExtraKind::Silence) => Some(FaultyLink::start(address, None).await?),
            _ => None,
        };
        let address = link.as_ref().map_or(address, |link| &link.address).to_string();
        let ended = EndedFlag::default();
        if self.options.extra == Some(ExtraKind::Lethal) {
            arm(&engine, &ended);
        }
        let slot = EngineSlot { engine, backend, address, link, served: Some(served), ended };
        self.write_entry(&slot, READY)?;
        Ok(slot)
    }

    /// Writes the entry of an engine.
    pub fn write_entry(&self, slot: &EngineSlot, state: &str) -> Result<()> {
        let entry = EngineEntry {
            backend: slot.backend,
            address: &slot.address,
            zone: "here",
            slots: SLOTS,
            state,
            version: None,
            born: Some(slot.engine.born),
        };
        self.store.write_entry(&slot.engine.id, entry)
    }

    /// What reached each engine.
    pub fn runs(&self) -> Vec<(String, EngineRun)> {
        let present = self.engines.borrow();
        let left = self.left.borrow();
        let engines = present.iter().map(|slot| &slot.engine).chain(left.iter());
        let runs = engines
            .flat_map(|engine| engine.runs().into_iter().map(|run| (engine.id.clone(), run)));
        runs.collect()
    }

    /// Notes processes that end though nobody asked them to.
    pub async fn watch_processes(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            for daemon in self.daemons.iter().filter(|daemon| !daemon.taken.get()) {
                let ended = daemon.process.borrow_mut().ended();
                if let Some(code) = ended {
                    self.note_exit(format!("{} ended with {code}", daemon.name));
                    self.respawn(daemon);
                }
            }
        }
    }
}
