//! Daemons before engines in processes of their own, whose events name what made them.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use super::event_routes::{add_routes, route_mut};
use anyhow::Result;
use curlewcleat_platform::names::READY;
use curlewcleat_standins::address::free_engine_address;
use curlewcleat_standins::deployment::{
    create_temp_folder, program_folder, spawn, wait_listening, ChildProcess,
};
use curlewcleat_standins::duty_cycle::{DutyCycle, DutyPattern};
use curlewcleat_standins::fleet::stream_fault::StreamFault;
use curlewcleat_standins::fleet::{EngineEntry, FleetDeployment};
use rand::rngs::StdRng;
use rand::Rng;

/// Events of a stream.
pub const EVENTS: u64 = 30;
/// Daemons of a fleet, unless a test states another number.
pub const DAEMONS: usize = 3;
/// Streams in progress at the same time, unless a test states another number.
pub const CALLERS: usize = 90;
/// Engines of each service.
const ENGINES: usize = 4;
/// Services of the engines, which take turns.
pub const SERVICES: [&str; 2] = ["engines", "others"];
/// Slots of an engine.
pub const SLOTS: u32 = 200;
/// Version of the engines that are started first.
const FIRST_VERSION: &str = "v1";
/// Variable in which the system's loader expects the library that makes links fail.
const LOADER_VARIABLE: &str = "LD_PRELOAD";
/// How a slow daemon runs.
const SLOW_DAEMON: DutyPattern = DutyPattern {
    run_share: 0.25,
    standstill: Duration::from_millis(20)..Duration::from_millis(80),
};
/// Bounds under which every stream may be continued.
pub const BOUNDS: &str = "retry_saved = 100000\nretry_ratio = 10";
/// Bounds of a platform that counts retries.
pub const COUNTED_BOUNDS: &str = "retry_saved = 52\nretry_ratio = 0.2";

/// A kind of route, by its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamRoute {
    /// Streams that may be taken up, of one service.
    Resumed,
    /// Streams that may not be taken up.
    Plain,
    /// Streams that may be taken up, of two services.
    Split,
    /// The same, whose service changes.
    Moving,
    /// Streams that may be taken up at times.
    Toggled,
}

impl StreamRoute {
    pub const ALL: [StreamRoute; 5] = [
        StreamRoute::Resumed,
        StreamRoute::Plain,
        StreamRoute::Split,
        StreamRoute::Moving,
        StreamRoute::Toggled,
    ];

    pub fn prefix(self) -> &'static str {
        match self {
            StreamRoute::Resumed => "/resumed/stream/",
            StreamRoute::Plain => "/plain/stream/",
            StreamRoute::Split => "/split/stream/",
            StreamRoute::Moving => "/moving/stream/",
            StreamRoute::Toggled => "/toggled/stream/",
        }
    }

    pub fn may_be_taken_up(self) -> bool {
        !matches!(self, StreamRoute::Plain)
    }

    /// Returns whether all attempts of a stream reach the same service.
    pub fn keeps_service(self) -> bool {
        !matches!(self, StreamRoute::Moving)
    }
}

/// Which daemons are killed and started again beside the disturbances of engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonKills {
    None,
    /// One at a time.
    One,
    /// All at the same moment.
    All,
}

/// Daemons before engines in processes of their own.
pub struct EventFleet {
    pub deployment: FleetDeployment,
    pub engines: Vec<ChildProcess>,
    /// Addresses of the engines.
    pub(super) addresses: Vec<String>,
    /// Folder of the engines' output, one file for each id.
    pub folder: PathBuf,
    /// Ids of all engines that were started, the latest ones last.
    pub ids: Vec<String>,
    /// Version of the engines that are started from now on.
    pub version: String,
    /// Versions of all engines that were started, by their ids.
    pub versions: BTreeMap<String, String>,
    /// Engines that were replaced and serve their last streams.
    pub(super) left: Vec<ChildProcess>,
    /// Lets daemons run for a part of the time.
    pub duty: DutyCycle,
}

impl EventFleet {
    /// Starts engines of two services and three daemons.
    pub async fn start(name: &str) -> Result<EventFleet> {
        EventFleet::start_with_fault(name, None).await
    }

    /// Starts the same, with an engine of each service that numbers events wrongly.
    pub async fn start_with_fault(name: &str, fault: Option<StreamFault>) -> Result<EventFleet> {
        let options = |index: usize| match fault.filter(|_| index < SERVICES.len()) {
            Some(fault) => vec!["--fault".to_string(), fault.name().to_string()],
            None => Vec::new(),
        };
        EventFleet::start_with_options(name, options).await
    }

    /// Starts the same, with links of the daemons that can fail.
    pub async fn start_with_links(name: &str) -> Result<EventFleet> {
        let mut deployment = FleetDeployment::start(name).await?;
        deployment.use_engine_links(LOADER_VARIABLE)?;
        // The link lives as long as its task.
        deployment.use_separate_store().await?;
        EventFleet::start_before(name, deployment, BOUNDS, DAEMONS, |_| Vec::new()).await
    }

    /// Starts the same, with bounds of its daemons.
    pub async fn start_with_bounds(name: &str, bounds: &str) -> Result<EventFleet> {
        EventFleet::start_bounded(name, DAEMONS, bounds).await
    }

    /// Starts the same, with this many daemons and their bounds.
    pub async fn start_bounded(name: &str, daemons: usize, bounds: &str) -> Result<EventFleet> {
        let deployment = FleetDeployment::start(name).await?;
        EventFleet::start_before(name, deployment, bounds, daemons, |_| Vec::new()).await
    }

    /// Starts the same, with further options for each engine.
    pub async fn start_with_options(
        name: &str,
        options: impl Fn(usize) -> Vec<String>,
    ) -> Result<EventFleet> {
        EventFleet::start_with_daemons(name, DAEMONS, options).await
    }

    /// Starts the same, with this many daemons.
    pub async fn start_with_daemons(
        name: &str,
        daemons: usize,
        options: impl Fn(usize) -> Vec<String>,
    ) -> Result<EventFleet> {
        let deployment = FleetDeployment::start(name).await?;
        EventFleet::start_before(name, deployment, BOUNDS, daemons, options).await
    }

    /// Starts the same, with further settings of the daemons' VMs, and requests that may take longer.
    pub async fn start_on_vms(name: &str, settings: &str, limit: Duration) -> Result<EventFleet> {
        let mut deployment = FleetDeployment::start(name).await?;
        deployment.vm_settings = settings.to_string();
        let mut fleet =
            EventFleet::start_before(name, deployment, BOUNDS, DAEMONS, |_| Vec::new()).await?;
        for route in &mut fleet.deployment.config.routes {
            route.timeout_ms = Some(limit.as_secs_f64() * 1_000.0);
        }
        fleet.deployment.store_config()?;
        Ok(fleet)
    }

    async fn start_before(
        name: &str,
        mut deployment: FleetDeployment,
        bounds: &str,
        daemons: usize,
        options: impl Fn(usize) -> Vec<String>,
    ) -> Result<EventFleet> {
        add_routes(&mut deployment);
        deployment.store_config()?;
        let folder = create_temp_folder(&format!("engines-{name}"))?;
        let mut fleet = EventFleet {
            deployment,
            engines: Vec::new(),
            addresses: Vec::new(),
            folder,
            ids: Vec::new(),
            version: FIRST_VERSION.to_string(),
            versions: BTreeMap::new(),
            left: Vec::new(),
            duty: DutyCycle::start(0, SLOW_DAEMON),
        };
        for index in 0..ENGINES * SERVICES.len() {
            let (id, address) = (format!("e-{index}"), free_engine_address()?);
            let engine = fleet.start_engine(index, &id, &address, options(index)).await?;
            fleet.engines.push(engine);
            fleet.addresses.push(address);
        }
        fleet.deployment.daemons(daemons, bounds).await?;
        fleet.deployment.wait_for_peers().await?;
        Ok(fleet)
    }

    /// Starts an engine and writes its list entry.
    pub(super) async fn start_engine(
        &mut self,
        index: usize,
        id: &str,
        address: &str,
        more: Vec<String>,
    ) -> Result<ChildProcess> {
        let service = SERVICES[index % SERVICES.len()];
        let events = EVENTS.to_string();
        let mut options =
            vec!["--address", address, "--id", id, "--service", service, "--events", &events];
        options.extend(more.iter().map(String::as_str));
        let program = program_folder()?.join("standin");
        let engine = spawn(&program, "stream-engine", address, &self.folder, id, &options)?;
        wait_listening(address).await?;
        let entry = EngineEntry {
            backend: service,
            address,
            zone: "here",
            slots: SLOTS,
            state: READY,
            version: Some(&self.version),
            born: Some(self.ids.len() as u64 + 1),
        };
        self.deployment.store.write_entry(id, entry)?;
        self.ids.push(id.to_string());
        self.versions.insert(id.to_string(), self.version.clone());
        Ok(engine)
    }

    /// Returns the address of an engine.
    pub fn address(&self, index: usize) -> &str {
        &self.addresses[index]
    }

    /// Returns the place of the engine with an id.
    pub fn engine_index(&self, id: &str) -> Option<usize> {
        self.engines.iter().position(|engine| engine.name == id)
    }

    /// Sends a signal to engines.
    pub fn signal(&self, engines: &[usize], name: &str) -> Result<()> {
        engines.iter().try_for_each(|index| self.engines[*index].signal(name))
    }

    /// Changes one property of the configuration that streams depend on.
    pub fn change_config(&mut self, random: &mut StdRng) -> Result<()> {
        let config = &mut self.deployment.config;
        let flip = |value: &mut Option<f64>, one: f64, other: f64| {
            *value = Some(if *value == Some(one) { other } else { one });
        };
        match random.random_range(0..6) {
            0 => flip(&mut config.limits.idle_timeout_ms, 5_000.0, 1_000.0),
            1 => config
                .routes
                .iter_mut()
                .for_each(|route| flip(&mut route.timeout_ms, 6_000.0, 5_000.0)),
            2 => config
                .routes
                .iter_mut()
                .for_each(|route| flip(&mut route.target_latency_ms, 200.0, 400.0)),
            3 => {
                let route = route_mut(config, "moving-stream");
                let moved = if route.backend.as_deref() == Some(SERVICES[0]) { 1 } else { 0 };
                route.backend = Some(SERVICES[moved].to_string());
            }
            4 => route_mut(config, "toggled-stream").toggle_resumption(),
            _ => config.routes.iter_mut().for_each(|route| {
                route.max_attempts = Some(if route.max_attempts == Some(3) { 5 } else { 3 })
            }),
        }
        self.deployment.store_config()
    }
}
