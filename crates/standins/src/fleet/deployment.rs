//! Store, engines and daemons of a test, together.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::example::example_config;
use curlewcleat_platform::format::Config;
use curlewcleat_platform::names::{CONFIG_KIND, CONFIG_NAME, READY, SERVERS};
use serde_json::to_value;

use super::{EngineEntry, FleetEngine, FleetStore, LethalBody};
use crate::address::free_address;
use crate::deployment::{
    get_json, live_peers, output_of, own_folder, program_folder, spawn, start_tool, wait_listening,
    wait_until, ChildProcess,
};
use crate::http;
use crate::served::ServedHandler;

/// Slots of an engine.
const SLOTS: u32 = 4;

/// A daemon of a test.
pub struct FleetDaemon {
    /// Its process.
    pub process: ChildProcess,
    /// Where callers reach it.
    pub callers: String,
    /// Where operators and the balancer reach it.
    pub operators: String,
    /// Its settings file.
    pub settings: PathBuf,
}

/// Where a daemon is reached, and its settings.
pub struct DaemonPlace {
    /// Where callers reach it.
    pub callers: String,
    /// Where operators and the balancer reach it.
    pub operators: String,
    /// Its settings file.
    pub settings: PathBuf,
}

/// Store, engines and daemons.
pub struct FleetDeployment {
    /// The store.
    pub store: Rc<FleetStore>,
    /// The engines.
    pub engines: Vec<Rc<FleetEngine>>,
    /// Their addresses.
    pub engine_addresses: Vec<String>,
    /// Where they are served, until they end.
    engines_served: Rc<RefCell<Vec<Option<ServedHandler>>>>,
    /// Their services.
    engine_backends: Vec<String>,
    /// Their versions.
    engine_versions: Vec<Option<String>>,
    /// The daemons.
    pub daemons: Vec<FleetDaemon>,
    /// The configuration that was stored last.
    pub config: Config,
    store_address: String,
    folder: PathBuf,
}

impl FleetDeployment {
    /// A store with the small configuration.
    pub async fn start(name: &str) -> Result<FleetDeployment> {
        let store = FleetStore::new();
        let store_address = http::serve_here(store.clone()).await?;
        let folder = own_folder(&format!("fleet-{name}"))?;
        let fleet = FleetDeployment {
            store,
            engines: Vec::new(),
            engine_addresses: Vec::new(),
            engines_served: Rc::default(),
            engine_backends: Vec::new(),
            engine_versions: Vec::new(),
            daemons: Vec::new(),
            config: example_config(),
            store_address,
            folder,
        };
        Ok(fleet)
    }

    /// Stores the configuration with a higher version.
    pub fn store_config(&mut self) -> Result<()> {
        self.config.resource_version += 3;
        self.store.put(CONFIG_KIND, CONFIG_NAME, to_value(&self.config)?);
        Ok(())
    }

    /// Starts an engine and announces it.
    pub async fn engine(&mut self, backend: &str, events: u64, pace: Duration) -> Result<()> {
        self.start_engine(backend, None, events, pace).await
    }

    /// Starts an engine of a version and announces it.
    pub async fn engine_of(
        &mut self,
        backend: &str,
        version: &str,
        events: u64,
        pace: Duration,
    ) -> Result<()> {
        self.start_engine(backend, Some(version.to_string()), events, pace).await
    }

    async fn start_engine(
        &mut self,
        backend: &str,
        version: Option<String>,
        events: u64,
        pace: Duration,
    ) -> Result<()> {
        let engine = FleetEngine::new(&format!("i-{}", self.engines.len()), events, pace);
        let address = free_address()?;
        let served = ServedHandler::start(&address, engine.clone()).await?;
        self.write_entry(&engine, backend, version.as_deref(), &address)?;
        self.engine_versions.push(version);
        self.engines.push(engine);
        self.engine_addresses.push(address);
        self.engines_served.borrow_mut().push(Some(served));
        self.engine_backends.push(backend.to_string());
        Ok(())
    }

    /// An engine ends at once and starts again under its id, at this address.
    pub async fn restart_engine(&mut self, index: usize, address: String) -> Result<()> {
        let served = self.engines_served.borrow_mut()[index].take();
        if let Some(served) = served {
            served.close().await;
        }
        let engine = self.engines[index].started_again();
        let served = ServedHandler::start(&address, engine.clone()).await?;
        let version = self.engine_versions[index].as_deref();
        self.write_entry(&engine, &self.engine_backends[index], version, &address)?;
        self.engines_served.borrow_mut()[index] = Some(served);
        self.engine_addresses[index] = address;
        self.engines[index] = engine;
        Ok(())
    }

    /// Every engine ends once it begins to run a request with this body; its entry lapses that much later.
    pub fn engines_end_under(&self, body: &[u8], lapse: Duration) {
        for (index, engine) in self.engines.iter().enumerate() {
            let (served, store) = (Rc::clone(&self.engines_served), Rc::clone(&self.store));
            let id = engine.id.clone();
            let end = move || {
                actix_rt::spawn(async move {
                    let served = served.borrow_mut()[index].take();
                    if let Some(served) = served {
                        served.close().await;
                    }
                    tokio::time::sleep(lapse).await;
                    store.remove(SERVERS, &id);
                });
            };
            engine.set_lethal(LethalBody { body: body.to_vec(), end: Box::new(end) });
        }
    }

    /// An engine ends at once, and its entry goes.
    pub async fn end_engine(&mut self, index: usize) {
        let served = self.engines_served.borrow_mut()[index].take();
        if let Some(served) = served {
            served.close().await;
        }
        self.store.remove(SERVERS, &self.engines[index].id);
    }

    fn write_entry(
        &self,
        engine: &FleetEngine,
        backend: &str,
        version: Option<&str>,
        address: &str,
    ) -> Result<()> {
        let entry = EngineEntry {
            backend,
            address,
            zone: "here",
            slots: SLOTS,
            state: READY,
            version,
            born: Some(engine.born),
        };
        self.store.write_entry(&engine.id, entry)
    }

    /// Writes the entry of an engine.
    pub fn announce(&self, id: &str, backend: &str, address: &str, state: &str) -> Result<()> {
        self.store.announce(id, backend, address, SLOTS, state)
    }

    /// Starts daemons; `bounds` are lines of that section of their settings.
    pub async fn daemons(&mut self, count: usize, bounds: &str) -> Result<()> {
        let peers: Vec<String> = (0..count).map(|_| free_address()).collect::<Result<_>>()?;
        for (index, peer) in peers.iter().enumerate() {
            let place = self.write_settings(index, peer, &peers[0], bounds)?;
            let process = self.spawn(&format!("vm-{index}"), &place.callers, &place.settings)?;
            let DaemonPlace { callers, operators, settings } = place;
            self.daemons.push(FleetDaemon { process, callers, operators, settings });
        }
        for daemon in &self.daemons {
            wait_listening(&daemon.operators).await?;
        }
        Ok(())
    }

    /// Waits until every daemon has heard of all others.
    pub async fn peers_known(&self) -> Result<()> {
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
    ) -> Result<DaemonPlace> {
        let (callers, operators) = (free_address()?, free_address()?);
        let text = format!(
            "[vm]\nname = vm-{index}\ndata_centre = here\n\
                 [callers]\naddress = {callers}\ndrain_grace = 200ms\n\
                 [operators]\naddress = {operators}\n\
                 [peers]\naddress = {peer}\nseeds = {}\nask_limit = 100ms\n\
                 [platform]\nkind = fleet\naddress = {}\ncall_limit = 500ms\n\
                 [bounds]\nconfig_apply_limit = 400ms\n{bounds}\n",
            seed, self.store_address
        );
        let settings = self.folder.join(format!("vm-{index}.ini"));
        std::fs::write(&settings, text)?;
        Ok(DaemonPlace { callers, operators, settings })
    }

    /// Runs the operators' tool against the daemons; gives its exit code and output.
    pub fn tool(&self, arguments: &[&str]) -> Result<(i32, String)> {
        let daemons: Vec<&str> =
            self.daemons.iter().map(|daemon| daemon.operators.as_str()).collect();
        output_of(start_tool(&program_folder()?, &daemons, arguments)?)
    }

    /// Ends a daemon at once and starts another one on the same VM.
    pub async fn restart(&mut self, index: usize) -> Result<()> {
        self.daemons[index].process.kill();
        let daemon = &self.daemons[index];
        let process = self.spawn(&format!("vm-{index}"), &daemon.callers, &daemon.settings)?;
        self.daemons[index].process = process;
        wait_listening(&self.daemons[index].operators).await
    }

    fn spawn(&self, name: &str, callers: &str, settings: &std::path::Path) -> Result<ChildProcess> {
        let program = program_folder()?.join("curlewcleatd");
        let settings = settings.display().to_string();
        spawn(&program, "", callers, &self.folder, name, &["--settings", &settings])
    }
}
