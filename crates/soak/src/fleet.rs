//! Starts and holds the daemons, engines and the store of a run.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use curlewcleat_platform::example::example_config;
use curlewcleat_platform::format::{Config, Route};
use curlewcleat_platform::names::{CONFIG_KIND, CONFIG_NAME};
use curlewcleat_standins::address::{
    daemon_ip, free_address, free_address_at, free_daemon_port, STORE_IP,
};
use curlewcleat_standins::deployment::{
    get_text, program_folder, spawn_with_variables, wait_until, ChildProcess,
};
use curlewcleat_standins::fleet::{EngineLinks, FleetEngine, FleetStore};
use curlewcleat_standins::http::serve_here;
use curlewcleat_standins::link::FaultyLink;
use serde_json::to_value;

use crate::engines::{first_version, EngineHandle, BACKENDS, EVENTS};
use crate::evidence::SoakEvidence;
use crate::extra::ExtraKind;
use crate::mixed::vm_settings;
use crate::options::SoakOptions;
use crate::settings::{SoakSettings, AGE_LIMIT, APPLY_LIMIT};
use crate::weak_vms::Standstills;

/// Number of peer addresses in the settings of each daemon.
const SEEDS: usize = 3;
/// Interval at which processes are polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A daemon with its addresses, links and process.
pub struct DaemonHandle {
    pub index: usize,
    pub name: String,
    pub callers: String,
    pub operators: String,
    pub peer_link: FaultyLink,
    pub store_link: FaultyLink,
    pub settings: PathBuf,
    pub process: RefCell<ChildProcess>,
    /// Whether a fault controls the process.
    pub is_claimed: Cell<bool>,
}

/// Address on which a daemon receives peer frames, and the link through which its peers send them.
struct PeerEndpoint {
    link: FaultyLink,
    address: String,
}

/// The daemon processes and stand-ins of a run.
pub struct SoakFleet {
    pub options: SoakOptions,
    pub programs: PathBuf,
    pub store: Rc<FleetStore>,
    pub config: RefCell<Config>,
    pub engines: RefCell<Vec<EngineHandle>>,
    /// Engines that were replaced; they still record the requests that reach them.
    pub replaced_engines: RefCell<Vec<Rc<FleetEngine>>>,
    pub engine_count: Cell<usize>,
    pub daemons: Vec<DaemonHandle>,
    pub evidence: RefCell<SoakEvidence>,
    pub active_faults: Cell<usize>,
    /// Sets the faults of the links from daemons to engines, in runs with cuts.
    pub engine_links: Option<EngineLinks>,
    /// Port of the relays of all daemons.
    relay_port: u16,
    /// Version of the engines that are started, in runs with several versions.
    pub version: Cell<u32>,
    /// Number of crowds so far.
    pub crowd_count: Cell<usize>,
    /// Ids of the engines that send a notice now.
    pub notifying: RefCell<BTreeSet<String>>,
    /// Standstills of weak daemons.
    pub standstills: Standstills,
}

/// Returns the example configuration with additional routes that no caller uses.
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

/// Builds what makes the links to the engines able to fail, if a run needs it.
fn build_engine_links(options: &SoakOptions) -> Result<Option<EngineLinks>> {
    match (options.extra, &options.loader_variable) {
        (Some(ExtraKind::Cuts), Some(variable)) => {
            EngineLinks::build(&options.folder, variable).map(Some)
        }
        (Some(ExtraKind::Cuts), None) => bail!("soak: cuts need the loader's variable"),
        _ => Ok(None),
    }
}

impl SoakFleet {
    /// Stops the daemon processes and closes their links.
    pub fn close(self) {
        for daemon in self.daemons {
            daemon.process.into_inner().kill();
            daemon.peer_link.close();
            daemon.store_link.close();
        }
    }

    /// Starts the store, engines and daemons and waits until all daemons are ready.
    pub async fn start(options: SoakOptions) -> Result<SoakFleet> {
        std::fs::create_dir_all(&options.folder).context("soak: folder")?;
        let store = FleetStore::new();
        let store_address = serve_here(store.clone()).await?;
        let programs = program_folder()?;
        let engine_links = build_engine_links(&options)?;
        let mut fleet = SoakFleet {
            programs,
            store,
            config: RefCell::new(long_config(options.routes)),
            engines: RefCell::default(),
            replaced_engines: RefCell::default(),
            engine_count: Cell::new(0),
            daemons: Vec::new(),
            evidence: RefCell::default(),
            active_faults: Cell::new(0),
            engine_links,
            relay_port: free_daemon_port(options.daemons)?,
            version: Cell::new(1),
            crowd_count: Cell::new(0),
            notifying: RefCell::default(),
            standstills: Standstills::default(),
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
            fleet.version.set(first_version(fleet.options.extra, index));
            let handle = fleet.new_engine(BACKENDS[index % BACKENDS.len()]).await?;
            fleet.engines.borrow_mut().push(handle);
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

    /// Starts the links to all daemons. This comes first, since the settings of each daemon contain some of their
    /// addresses.
    async fn start_peer_links(&self) -> Result<Vec<PeerEndpoint>> {
        let mut peers = Vec::new();
        for index in 0..self.options.daemons {
            let ip = daemon_ip(index);
            let address = free_address_at(&ip)?;
            peers.push(PeerEndpoint {
                link: FaultyLink::start_at(&ip, &address, self.options.link_mbps).await?,
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
    ) -> Result<DaemonHandle> {
        let store_link = FaultyLink::start_at(STORE_IP, store, None).await?;
        let (callers, operators) = (free_address()?, free_address()?);
        let name = format!("vm-{index}");
        let text = SoakSettings {
            name: &name,
            callers: &callers,
            operators: &operators,
            peers: &peer.address,
            advertised: &peer.link.address,
            relay_port: self.relay_port,
            seeds,
            store: &store_link.address,
            vm: vm_settings(self.options.extra),
            link_mbps: self.options.link_mbps,
        }
        .to_ini();
        let settings = self.options.folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text)?;
        let process = RefCell::new(self.spawn(&name, &callers, &settings)?);
        Ok(DaemonHandle {
            index,
            name,
            callers,
            operators,
            peer_link: peer.link,
            store_link,
            settings,
            process,
            is_claimed: Cell::new(false),
        })
    }

    fn spawn(&self, name: &str, callers: &str, settings: &Path) -> Result<ChildProcess> {
        let program = self.programs.join("curlewcleatd");
        let settings = settings.display().to_string();
        let options = ["--settings", settings.as_str()];
        let variables = self.engine_links.as_ref().map(|links| links.variables(name));
        let variables = variables.transpose()?.unwrap_or_default();
        let folder = &self.options.folder;
        spawn_with_variables(&program, "", callers, folder, name, &options, &variables)
    }

    pub fn respawn(&self, daemon: &DaemonHandle) {
        match self.spawn(&daemon.name, &daemon.callers, &daemon.settings) {
            Ok(process) => {
                daemon.process.replace(process);
                self.weaken_or_record(daemon);
            }
            Err(error) => self.record_failure(format!("{} does not start: {error}", daemon.name)),
        }
    }

    pub fn record_failure(&self, what: String) {
        self.evidence.borrow_mut().failures.push(what);
    }

    pub fn store_config(&self) -> Result<()> {
        let mut config = self.config.borrow_mut();
        config.resource_version += 3;
        self.store.put(CONFIG_KIND, CONFIG_NAME, to_value(&*config)?);
        Ok(())
    }

    /// Records and restarts daemons that exit by themselves.
    pub async fn watch_processes(self: Rc<Self>) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            for daemon in self.daemons.iter().filter(|daemon| !daemon.is_claimed.get()) {
                let ended = daemon.process.borrow_mut().ended();
                if let Some(code) = ended {
                    self.record_failure(format!("{} exited with {code}", daemon.name));
                    self.respawn(daemon);
                }
            }
        }
    }
}
