//! Starts and holds the store, engines and daemons of a test.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::example::example_config;
use curlewcleat_platform::format::Config;
use curlewcleat_platform::names::{CONFIG_KIND, CONFIG_NAME, READY, SERVERS};
use serde_json::{to_value, Value};

use super::{
    AttemptSteps, EngineEntry, EngineLinks, EngineStep, FleetEngine, FleetStore, LethalRequests,
    LethalTrigger,
};
use crate::address::{
    daemon_ip, free_address, free_address_at, free_daemon_port, free_engine_address, STORE_IP,
};
use crate::deployment::{
    create_temp_folder, daemon_path, get_json, get_text, live_peers, output_of, program_folder,
    spawn_with_variables, start_tool, wait_listening, wait_until, ChildProcess,
};
use crate::http;
use crate::link::FaultyLink;
use crate::served::ServedHandler;

/// Number of slots of an engine.
const SLOTS: u32 = 4;
/// Most daemons of a fleet in which each hears from all others.
const MESH_LIMIT: usize = 12;
/// Daemons of a larger fleet that each one hears from, one of which it may be itself.
const CANDIDATES: usize = 4;
/// Data centre of the daemons, and of engines for which no other is given.
const HERE: &str = "here";

/// A daemon of a test.
pub struct FleetDaemon {
    /// Process of the daemon.
    pub process: ChildProcess,
    /// Address for callers.
    pub callers: String,
    /// Address for operators and the load balancer.
    pub operators: String,
    /// Path of the settings file.
    pub settings: PathBuf,
}

/// Addresses and settings file of a daemon.
pub struct DaemonEndpoint {
    /// Address for callers.
    pub callers: String,
    /// Address for operators and the load balancer.
    pub operators: String,
    /// Path of the settings file.
    pub settings: PathBuf,
}

/// What the list entry of an engine states besides its address and its start.
struct EngineOrigin {
    backend: String,
    data_centre: String,
    version: Option<String>,
}

impl EngineOrigin {
    fn new(backend: &str, data_centre: &str) -> EngineOrigin {
        EngineOrigin {
            backend: backend.to_string(),
            data_centre: data_centre.to_string(),
            version: None,
        }
    }
}

/// Store, engines and daemons of a test.
pub struct FleetDeployment {
    /// The store.
    pub store: Rc<FleetStore>,
    /// The engines.
    pub engines: Vec<Rc<FleetEngine>>,
    /// Behaviour of the engines for the first requests of attempts.
    attempt_steps: AttemptSteps,
    /// Addresses of the engines.
    pub engine_addresses: Vec<String>,
    /// Servers of the engines, `None` after an engine has terminated.
    engines_served: Rc<RefCell<Vec<Option<ServedHandler>>>>,
    /// What the list entries of the engines state.
    engine_origins: Vec<EngineOrigin>,
    /// The daemons.
    pub daemons: Vec<FleetDaemon>,
    /// The configuration, which [`FleetDeployment::store_config`] stores.
    pub config: Config,
    /// Sets the faults of the links from daemons to engines; `None` unless
    /// [`FleetDeployment::use_engine_links`] was called.
    pub engine_links: Option<EngineLinks>,
    /// Lines for the section `vm` of the settings of daemons that are started from now on.
    pub vm_settings: String,
    /// Port of the relays of all daemons, `None` before the first daemons are started.
    relay_port: Option<u16>,
    store_address: String,
    folder: PathBuf,
}

impl FleetDeployment {
    /// Starts a store; the configuration is the example configuration and not stored yet.
    pub async fn start(name: &str) -> Result<FleetDeployment> {
        let store = FleetStore::new();
        let store_address = http::serve_here(store.clone()).await?;
        let folder = create_temp_folder(&format!("fleet-{name}"))?;
        let fleet = FleetDeployment {
            store,
            engines: Vec::new(),
            attempt_steps: AttemptSteps::default(),
            engine_addresses: Vec::new(),
            engines_served: Rc::default(),
            engine_origins: Vec::new(),
            daemons: Vec::new(),
            config: example_config(),
            engine_links: None,
            vm_settings: String::new(),
            relay_port: None,
            store_address,
            folder,
        };
        Ok(fleet)
    }

    /// Starts a proxy through which the daemons that are started from now on reach the store.
    pub async fn use_store_link(&mut self) -> Result<FaultyLink> {
        let link = FaultyLink::start(&self.store_address, None).await?;
        self.store_address = link.address.clone();
        Ok(link)
    }

    /// Starts a proxy to the store at an address of its own, so that single daemons of those that are started from now
    /// on can be cut off from it.
    pub async fn use_separate_store(&mut self) -> Result<FaultyLink> {
        let link = FaultyLink::start_at(STORE_IP, &self.store_address, None).await?;
        self.store_address = link.address.clone();
        Ok(link)
    }

    /// Makes the links from the daemons that are started from now on to the engines able to fail.
    pub fn use_engine_links(&mut self, loader_variable: &str) -> Result<()> {
        self.engine_links = Some(EngineLinks::build(&self.folder, loader_variable)?);
        Ok(())
    }

    /// Stores the configuration with a higher version.
    pub fn store_config(&mut self) -> Result<()> {
        self.config.resource_version += 3;
        self.store.put(CONFIG_KIND, CONFIG_NAME, to_value(&self.config)?);
        Ok(())
    }

    /// Starts an engine and writes its list entry.
    pub async fn engine(
        &mut self,
        backend: &str,
        events: u64,
        event_interval: Duration,
    ) -> Result<()> {
        self.engine_in(HERE, backend, events, event_interval).await
    }

    /// Starts an engine in a data centre and writes its list entry.
    pub async fn engine_in(
        &mut self,
        data_centre: &str,
        backend: &str,
        events: u64,
        event_interval: Duration,
    ) -> Result<()> {
        let origin = EngineOrigin::new(backend, data_centre);
        self.start_engine(origin, events, event_interval).await
    }

    /// Starts an engine with a version and writes its list entry.
    pub async fn engine_with_version(
        &mut self,
        backend: &str,
        version: &str,
        events: u64,
        event_interval: Duration,
    ) -> Result<()> {
        let origin = EngineOrigin::new(backend, HERE);
        let origin = EngineOrigin { version: Some(version.to_string()), ..origin };
        self.start_engine(origin, events, event_interval).await
    }

    async fn start_engine(
        &mut self,
        origin: EngineOrigin,
        events: u64,
        event_interval: Duration,
    ) -> Result<()> {
        let engine = FleetEngine::new(&format!("i-{}", self.engines.len()), events, event_interval);
        engine.set_attempt_steps(Rc::clone(&self.attempt_steps));
        let address = free_engine_address()?;
        let served = ServedHandler::start(&address, engine.clone()).await?;
        self.write_entry(&engine, &origin, &address)?;
        self.engine_origins.push(origin);
        self.engines.push(engine);
        self.engine_addresses.push(address);
        self.engines_served.borrow_mut().push(Some(served));
        Ok(())
    }

    /// Sets the behaviour for the first request of an attempt that reaches an engine.
    pub fn set_attempt_step(&self, attempt: &str, step: EngineStep) {
        self.attempt_steps.borrow_mut().insert(attempt.to_string(), step);
    }

    /// Terminates an engine and restarts it with the same id at this address.
    pub async fn restart_engine(&mut self, index: usize, address: String) -> Result<()> {
        let served = self.engines_served.borrow_mut()[index].take();
        if let Some(served) = served {
            served.close().await;
        }
        let engine = self.engines[index].restarted();
        engine.set_attempt_steps(Rc::clone(&self.attempt_steps));
        let served = ServedHandler::start(&address, engine.clone()).await?;
        self.write_entry(&engine, &self.engine_origins[index], &address)?;
        self.engines_served.borrow_mut()[index] = Some(served);
        self.engine_addresses[index] = address;
        self.engines[index] = engine;
        Ok(())
    }

    /// Makes every engine terminate `delay` after it began to run a request to which the trigger applies. Its list entry
    /// is removed `removal_delay` later.
    pub fn terminate_engines_on(
        &self,
        trigger: &LethalTrigger,
        delay: Duration,
        removal_delay: Duration,
    ) {
        for (index, engine) in self.engines.iter().enumerate() {
            let (served, store) = (Rc::clone(&self.engines_served), Rc::clone(&self.store));
            let id = engine.id.clone();
            let terminate = move || {
                actix_rt::spawn(async move {
                    let served = served.borrow_mut()[index].take();
                    if let Some(served) = served {
                        served.close().await;
                    }
                    tokio::time::sleep(removal_delay).await;
                    store.remove(SERVERS, &id);
                });
            };
            engine.set_lethal(LethalRequests {
                trigger: trigger.clone(),
                delay,
                terminate: Box::new(terminate),
            });
        }
    }

    /// Terminates an engine and removes its list entry.
    pub async fn terminate_engine(&mut self, index: usize) {
        let served = self.engines_served.borrow_mut()[index].take();
        if let Some(served) = served {
            served.close().await;
        }
        self.store.remove(SERVERS, &self.engines[index].id);
    }

    fn write_entry(
        &self,
        engine: &FleetEngine,
        origin: &EngineOrigin,
        address: &str,
    ) -> Result<()> {
        let entry = EngineEntry {
            backend: &origin.backend,
            address,
            zone: &origin.data_centre,
            slots: SLOTS,
            state: READY,
            version: origin.version.as_deref(),
            born: Some(engine.born),
        };
        self.store.write_entry(&engine.id, entry)
    }

    /// Writes a list entry without the time of the engine's start.
    pub fn announce(&self, id: &str, backend: &str, address: &str, state: &str) -> Result<()> {
        self.store.announce(id, backend, address, SLOTS, state)
    }

    /// Starts daemons; `bounds` holds additional lines for the section `bounds` of their settings.
    pub async fn daemons(&mut self, count: usize, bounds: &str) -> Result<()> {
        let peer = |index| free_address_at(&daemon_ip(index));
        let peers: Vec<String> = (0..count).map(peer).collect::<Result<_>>()?;
        self.relay_port = Some(free_daemon_port(count)?);
        for (index, peer) in peers.iter().enumerate() {
            let endpoint = self.write_settings(index, peer, &peers[0], bounds)?;
            let process =
                self.spawn(&format!("vm-{index}"), &endpoint.callers, &endpoint.settings)?;
            let DaemonEndpoint { callers, operators, settings } = endpoint;
            self.daemons.push(FleetDaemon { process, callers, operators, settings });
        }
        for daemon in &self.daemons {
            wait_listening(&daemon.operators).await?;
        }
        Ok(())
    }

    /// Returns the port of the relays of all daemons.
    ///
    /// # Panics
    /// Panics if no daemon was started.
    pub fn relay_port(&self) -> u16 {
        self.relay_port.expect("the daemons were started")
    }

    /// Waits until every daemon is ready and hears from the others: from all of them, or in a large fleet from those that
    /// may schedule.
    pub async fn wait_for_peers(&self) -> Result<()> {
        if self.daemons.len() <= MESH_LIMIT {
            return self.wait_for_all_peers().await;
        }
        for daemon in &self.daemons {
            wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
                .await?;
            wait_until("candidates", || async {
                let status = get_json(&daemon.operators, "/status").await;
                status.is_ok_and(|status| live_peers(&status) >= CANDIDATES - 1)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every daemon reports all others as live peers.
    pub async fn wait_for_all_peers(&self) -> Result<()> {
        let others = self.daemons.len() - 1;
        for daemon in &self.daemons {
            wait_until("peers", || async {
                let status = get_json(&daemon.operators, "/status").await;
                status.is_ok_and(|status| live_peers(&status) == others)
            })
            .await?;
        }
        Ok(())
    }

    /// Writes the settings of a daemon, whose first peer is at `seed`.
    pub fn write_settings(
        &self,
        index: usize,
        peer: &str,
        seed: &str,
        bounds: &str,
    ) -> Result<DaemonEndpoint> {
        let (callers, operators) = (free_address()?, free_address()?);
        let relay = self.relay_port.map(|port| format!("relay_port = {port}\n"));
        let text = format!(
            "[vm]\nname = vm-{index}\ndata_centre = here\n{}\
                 [callers]\naddress = {callers}\ndrain_grace = 200ms\n\
                 [operators]\naddress = {operators}\n\
                 [peers]\naddress = {peer}\nseeds = {}\nask_limit = 100ms\n{}\
                 [platform]\nkind = fleet\naddress = {}\ncall_limit = 500ms\n\
                 [bounds]\nconfig_apply_limit = 400ms\n{bounds}\n",
            self.vm_settings,
            seed,
            relay.unwrap_or_default(),
            self.store_address
        );
        let settings = self.folder.join(format!("vm-{index}.ini"));
        std::fs::write(&settings, text)?;
        Ok(DaemonEndpoint { callers, operators, settings })
    }

    /// Runs the operators' tool against the daemons; returns its exit code and output.
    pub fn tool(&self, arguments: &[&str]) -> Result<(i32, String)> {
        let daemons: Vec<&str> =
            self.daemons.iter().map(|daemon| daemon.operators.as_str()).collect();
        output_of(start_tool(&program_folder()?, &daemons, arguments)?)
    }

    /// Returns what a daemon has logged since its first start.
    pub fn log(&self, index: usize) -> Result<String> {
        Ok(std::fs::read_to_string(self.folder.join(format!("vm-{index}.log")))?)
    }

    /// Returns the attempts of which a daemon has logged something since its first start.
    pub fn logged_attempts(&self, index: usize) -> Result<BTreeSet<String>> {
        let log = self.log(index)?;
        let attempt = |line: &str| {
            // Other lines may be no JSON.
            let line: Value = serde_json::from_str(line).ok()?;
            line["kv"]["attempt"].as_str().map(str::to_string)
        };
        Ok(log.lines().filter_map(attempt).collect())
    }

    /// Kills a daemon and starts it again on the same VM.
    pub async fn restart(&mut self, index: usize) -> Result<()> {
        self.daemons[index].process.kill();
        self.start_killed(index)?;
        wait_listening(&self.daemons[index].operators).await
    }

    /// Starts a daemon again that was killed, on the same VM.
    pub fn start_killed(&mut self, index: usize) -> Result<()> {
        let daemon = &self.daemons[index];
        let process = self.spawn(&format!("vm-{index}"), &daemon.callers, &daemon.settings)?;
        self.daemons[index].process = process;
        Ok(())
    }

    fn spawn(&self, name: &str, callers: &str, settings: &std::path::Path) -> Result<ChildProcess> {
        let program = daemon_path(&program_folder()?);
        let settings = settings.display().to_string();
        let options = ["--settings", settings.as_str()];
        let variables = self.engine_links.as_ref().map(|links| links.variables(name));
        let variables = variables.transpose()?.unwrap_or_default();
        spawn_with_variables(&program, "", callers, &self.folder, name, &options, &variables)
    }
}
