//! The processes of a run, and the faults that happen to them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use curlewcleat_platform::example::{example_config, DRIVERS_SECOND_KEY};
use curlewcleat_platform::format::{Config, Server};
use curlewcleat_platform::names::{CONFIG_KIND, CONFIG_NAME, DRAINING, READY, SERVERS};
use curlewcleat_standins::address::free_address;
use curlewcleat_standins::deployment::{
    get_text, program_folder, spawn, wait_listening, wait_until, ChildProcess,
};
use curlewcleat_standins::fleet::{EngineStep, FleetEngine, FleetStore};
use curlewcleat_standins::http::{serve, PlainHandler};
use serde_json::to_value;

use crate::callers::SoakCallers;
use crate::judge::{
    judge, summary, unserved, EngineLeave, KeyLoss, PlannedStop, SoakEvidence, SoakFinding,
};
use crate::link::{FaultyLink, LinkFault};
use crate::plan::{plan, FaultStep, PlanOptions, SoakFault};

/// Events of a whole stream, and the time between two.
const EVENTS: u64 = 6;
const PACE: Duration = Duration::from_millis(15);
/// Bounds of the daemons.
const AGE_LIMIT: Duration = Duration::from_secs(2);
const APPLY_LIMIT: Duration = Duration::from_secs(1);
const STOP_LIMIT: Duration = Duration::from_secs(5);
/// Time for which the traffic goes on after the last fault.
const RECOVERY: Duration = Duration::from_secs(5);
/// Time between looks at processes.
const LOOK_EVERY: Duration = Duration::from_millis(25);
/// Services of the example configuration.
const BACKENDS: [&str; 2] = ["records", "engines"];

/// What a run is made with.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Draws the faults and the requests.
    pub seed: u64,
    /// Daemons.
    pub daemons: usize,
    /// Engines of each service.
    pub engines: usize,
    /// Callers.
    pub callers: usize,
    /// Time in which faults happen.
    pub time: Duration,
    /// Whether only planned work happens.
    pub planned_only: bool,
    /// Faults in place of those of the seed.
    pub script: Option<Vec<FaultStep>>,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// What a run showed.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The faults.
    pub steps: Vec<FaultStep>,
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Broken promises.
    pub findings: Vec<SoakFinding>,
}

struct EngineSlot {
    engine: Rc<FleetEngine>,
    backend: &'static str,
    address: String,
}

struct DaemonSlot {
    name: String,
    callers: String,
    operators: String,
    peer_link: FaultyLink,
    store_link: FaultyLink,
    settings: PathBuf,
    process: RefCell<ChildProcess>,
    /// Whether a fault has its hands on the process.
    taken: Cell<bool>,
}

struct SoakWorld {
    options: SoakOptions,
    programs: PathBuf,
    store: Rc<FleetStore>,
    config: RefCell<Config>,
    engines: RefCell<Vec<EngineSlot>>,
    /// Engines that left; they still note what reaches them.
    left: RefCell<Vec<Rc<FleetEngine>>>,
    started: Cell<usize>,
    daemons: Vec<DaemonSlot>,
    evidence: RefCell<SoakEvidence>,
    open_faults: Cell<usize>,
}

/// Plays one seed and judges it.
///
/// # Errors
/// Where processes cannot be started; a broken promise is no error.
pub async fn run_soak(options: SoakOptions) -> Result<SoakReport> {
    let plan_options = PlanOptions {
        daemons: options.daemons,
        engines: options.engines * BACKENDS.len(),
        time: options.time,
        planned_only: options.planned_only,
    };
    let steps = match &options.script {
        Some(script) => script.clone(),
        None => plan(options.seed, &plan_options),
    };
    let world = Rc::new(SoakWorld::start(options).await?);
    let addresses: Vec<String> =
        world.daemons.iter().map(|daemon| daemon.callers.clone()).collect();
    let callers = SoakCallers::start(world.options.seed, world.options.callers, &addresses);
    let watch = actix_rt::spawn(Rc::clone(&world).watch_processes());
    let begun = Instant::now();
    for step in &steps {
        tokio::time::sleep((begun + step.at).saturating_duration_since(Instant::now())).await;
        actix_rt::spawn(Rc::clone(&world).play(*step));
    }
    wait_until("the faults have ended", || async { world.open_faults.get() == 0 }).await?;
    world.evidence.borrow_mut().healed = Some(Instant::now());
    tokio::time::sleep(RECOVERY).await;
    let records = callers.close().await;
    watch.abort();
    let mut evidence = world.evidence.take();
    let kinds = unserved(&records);
    evidence.records = records;
    evidence.runs = world.runs();
    let mut findings = judge(&evidence);
    if !kinds.is_empty() {
        let detail = format!("{kinds:?}");
        findings.push(SoakFinding { promise: "every kind is served at some time", detail });
    }
    if let Ok(world) = Rc::try_unwrap(world) {
        world.close();
    }
    Ok(SoakReport { steps, outcomes: summary(&evidence.records), findings })
}

impl SoakWorld {
    /// Ends the processes and their links.
    fn close(self) {
        for daemon in self.daemons {
            daemon.process.into_inner().kill();
            daemon.peer_link.close();
            daemon.store_link.close();
        }
    }

    async fn start(options: SoakOptions) -> Result<SoakWorld> {
        std::fs::create_dir_all(&options.folder).context("soak: folder")?;
        let store = FleetStore::new();
        let store_address = free_address()?;
        let handler: Rc<dyn PlainHandler> = store.clone();
        let bound = store_address.clone();
        actix_rt::spawn(async move { serve(&bound, handler).await });
        wait_listening(&store_address).await?;
        let programs = program_folder()?;
        let mut world = SoakWorld {
            programs,
            store,
            config: RefCell::new(example_config()),
            engines: RefCell::default(),
            left: RefCell::default(),
            started: Cell::new(0),
            daemons: Vec::new(),
            evidence: RefCell::default(),
            open_faults: Cell::new(0),
            options,
        };
        {
            let evidence = world.evidence.get_mut();
            evidence.events = EVENTS;
            evidence.age_limit = AGE_LIMIT;
            evidence.leave_limit = APPLY_LIMIT;
        }
        world.store_config()?;
        for index in 0..world.options.engines * BACKENDS.len() {
            let slot = world.new_engine(BACKENDS[index % BACKENDS.len()]).await?;
            world.engines.borrow_mut().push(slot);
        }
        world.start_daemons(&store_address).await?;
        Ok(world)
    }

    async fn start_daemons(&mut self, store: &str) -> Result<()> {
        let mut links = Vec::new();
        for _ in 0..self.options.daemons {
            let peers = free_address()?;
            links.push((FaultyLink::start(&peers).await?, peers));
        }
        let seeds: Vec<String> =
            links.iter().take(3).map(|(link, _)| link.address.clone()).collect();
        for (index, (peer_link, peers)) in links.into_iter().enumerate() {
            let store_link = FaultyLink::start(store).await?;
            let (callers, operators) = (free_address()?, free_address()?);
            let name = format!("vm-{index}");
            let text = format!(
                "[vm]\nname = {name}\ndata_centre = here\n\
                 [callers]\naddress = {callers}\ndrain_grace = 600ms\n\
                 [operators]\naddress = {operators}\n\
                 [peers]\naddress = {peers}\nadvertised_address = {}\nseeds = {}\n\
                 beat = 200ms\nsuspect_after = 700ms\nask_limit = 60ms\nask_tries = 1\n\
                 [platform]\nkind = fleet\naddress = {}\ncall_limit = 400ms\n\
                 [bounds]\nconfig_age_limit = {}ms\nconfig_apply_limit = {}ms\n\
                 leave_limit = {}ms\nstop_limit = {}ms\nretry_ratio = 0.5\nretry_saved = 100\n",
                peer_link.address,
                seeds.join(","),
                store_link.address,
                AGE_LIMIT.as_millis(),
                APPLY_LIMIT.as_millis(),
                APPLY_LIMIT.as_millis(),
                STOP_LIMIT.as_millis(),
            );
            let settings = self.options.folder.join(format!("{name}.ini"));
            std::fs::write(&settings, text)?;
            let process = RefCell::new(self.spawn(&name, &callers, &settings)?);
            let taken = Cell::new(false);
            self.daemons.push(DaemonSlot {
                name,
                callers,
                operators,
                peer_link,
                store_link,
                settings,
                process,
                taken,
            });
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

    fn spawn(&self, name: &str, callers: &str, settings: &Path) -> Result<ChildProcess> {
        let program = self.programs.join("curlewcleatd");
        let settings = settings.display().to_string();
        spawn(&program, "", callers, &self.options.folder, name, &["--settings", &settings])
    }

    fn respawn(&self, daemon: &DaemonSlot) {
        match self.spawn(&daemon.name, &daemon.callers, &daemon.settings) {
            Ok(process) => {
                daemon.process.replace(process);
            }
            Err(error) => self.note_exit(format!("{} does not start: {error}", daemon.name)),
        }
    }

    fn note_exit(&self, what: String) {
        self.evidence.borrow_mut().exits.push(what);
    }

    fn store_config(&self) -> Result<()> {
        let mut config = self.config.borrow_mut();
        config.resource_version += 3;
        self.store.put(CONFIG_KIND, CONFIG_NAME, to_value(&*config)?);
        Ok(())
    }

    async fn new_engine(&self, backend: &'static str) -> Result<EngineSlot> {
        let address = free_address()?;
        let number = self.started.get();
        self.started.set(number + 1);
        let engine = FleetEngine::new(&format!("i-{number}"), EVENTS, PACE);
        let handler: Rc<dyn PlainHandler> = engine.clone();
        let bound = address.clone();
        actix_rt::spawn(async move { serve(&bound, handler).await });
        wait_listening(&address).await?;
        self.announce(&engine.id, backend, &address, READY)?;
        Ok(EngineSlot { engine, backend, address })
    }

    fn announce(&self, id: &str, backend: &str, address: &str, state: &str) -> Result<()> {
        let server = Server {
            backend: backend.to_string(),
            address: address.to_string(),
            zone: "here".to_string(),
            slots: 8,
            state: state.to_string(),
        };
        self.store.put(SERVERS, id, to_value(server)?);
        Ok(())
    }

    /// What reached each engine.
    fn runs(&self) -> Vec<(String, curlewcleat_standins::fleet::EngineRun)> {
        let present = self.engines.borrow();
        let left = self.left.borrow();
        let engines = present.iter().map(|slot| &slot.engine).chain(left.iter());
        let runs = engines
            .flat_map(|engine| engine.runs().into_iter().map(|run| (engine.id.clone(), run)));
        runs.collect()
    }

    /// Notes processes that end though nobody asked them to.
    async fn watch_processes(self: Rc<Self>) {
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

    async fn play(self: Rc<Self>, step: FaultStep) {
        self.open_faults.set(self.open_faults.get() + 1);
        let begun = Instant::now();
        if let Err(error) = self.fault(step).await {
            self.note_exit(format!("the fault {:?} could not be played: {error}", step.fault));
        }
        if !step.fault.is_planned() {
            self.evidence.borrow_mut().faults.push((begun, Instant::now()));
        }
        self.open_faults.set(self.open_faults.get() - 1);
    }

    async fn fault(&self, step: FaultStep) -> Result<()> {
        let time = step.time;
        match step.fault {
            SoakFault::Kill(index) => self.kill(index, time).await,
            SoakFault::Freeze(index) => self.freeze(index, time).await,
            SoakFault::Stop(index) => self.stop(index).await,
            SoakFault::Reload(index) => self.reload(index),
            SoakFault::PeerLink(index, fault) => {
                let link = &self.daemons[index].peer_link;
                hold(link, fault, time).await;
                Ok(())
            }
            SoakFault::PeerReset(index) => {
                self.daemons[index].peer_link.reset();
                Ok(())
            }
            SoakFault::StoreLink(index, fault) => {
                let link = &self.daemons[index].store_link;
                hold(link, fault, time).await;
                Ok(())
            }
            SoakFault::StoreReset(index) => {
                self.daemons[index].store_link.reset();
                Ok(())
            }
            SoakFault::Store(outage) => {
                self.store.set_outage(Some(outage));
                tokio::time::sleep(time).await;
                self.store.set_outage(None);
                Ok(())
            }
            SoakFault::LostWrites(count) => {
                self.store.lose_writes(count);
                tokio::time::sleep(time).await;
                self.store.lose_writes(0);
                Ok(())
            }
            SoakFault::Forget => {
                self.store.forget_history();
                Ok(())
            }
            SoakFault::Engine(index, fault) => {
                let engine = Rc::clone(&self.engines.borrow()[index].engine);
                engine.always(fault);
                tokio::time::sleep(time).await;
                engine.always(EngineStep::Serve);
                Ok(())
            }
            SoakFault::Leave(index) => self.leave(index, time).await,
            SoakFault::Vanish(index) => self.vanish(index).await,
            SoakFault::Change => {
                for route in &mut self.config.borrow_mut().routes {
                    route.timeout_ms = route.timeout_ms.map(|timeout| timeout + 100.0);
                }
                self.store_config()
            }
            SoakFault::TakeKey => self.take_key(time).await,
        }
    }

    /// Takes hold of a daemon's process; one fault at a time has it.
    fn take(&self, index: usize) -> Option<&DaemonSlot> {
        let daemon = &self.daemons[index];
        (!daemon.taken.replace(true)).then_some(daemon)
    }

    async fn kill(&self, index: usize, time: Duration) -> Result<()> {
        let Some(daemon) = self.take(index) else { return Ok(()) };
        daemon.process.borrow_mut().kill();
        tokio::time::sleep(time).await;
        self.respawn(daemon);
        daemon.taken.set(false);
        Ok(())
    }

    async fn freeze(&self, index: usize, time: Duration) -> Result<()> {
        let Some(daemon) = self.take(index) else { return Ok(()) };
        daemon.process.borrow().signal("STOP")?;
        tokio::time::sleep(time).await;
        daemon.process.borrow().signal("CONT")?;
        daemon.taken.set(false);
        Ok(())
    }

    async fn stop(&self, index: usize) -> Result<()> {
        let Some(daemon) = self.take(index) else { return Ok(()) };
        let told = Instant::now();
        self.evidence.borrow_mut().stops.push(PlannedStop { daemon: index, told });
        daemon.process.borrow().signal("TERM")?;
        let code = loop {
            if let Some(code) = daemon.process.borrow_mut().ended() {
                break Some(code);
            }
            if told.elapsed() > STOP_LIMIT + Duration::from_secs(1) {
                break None;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        };
        if code != Some(0) {
            self.note_exit(format!("{} was told to stop and ended with {code:?}", daemon.name));
        }
        self.respawn(daemon);
        daemon.taken.set(false);
        Ok(())
    }

    fn reload(&self, index: usize) -> Result<()> {
        let daemon = &self.daemons[index];
        let text = std::fs::read_to_string(&daemon.settings)?;
        let changed = match text.contains("retry_saved = 100\n") {
            true => text.replace("retry_saved = 100\n", "retry_saved = 90\n"),
            false => text.replace("retry_saved = 90\n", "retry_saved = 100\n"),
        };
        std::fs::write(&daemon.settings, changed)?;
        if daemon.taken.get() {
            return Ok(());
        }
        daemon.process.borrow().signal("HUP")
    }

    async fn leave(&self, index: usize, time: Duration) -> Result<()> {
        let Some((id, backend, address)) = self.replace_engine(index).await? else {
            return Ok(());
        };
        self.announce(&id, backend, &address, DRAINING)?;
        self.note_leave(&id);
        tokio::time::sleep(time).await;
        self.store.remove(SERVERS, &id);
        Ok(())
    }

    async fn vanish(&self, index: usize) -> Result<()> {
        if let Some((id, ..)) = self.replace_engine(index).await? {
            self.store.remove(SERVERS, &id);
            self.note_leave(&id);
        }
        Ok(())
    }

    /// Puts a new engine in the place of one that is about to leave.
    async fn replace_engine(&self, index: usize) -> Result<Option<(String, &'static str, String)>> {
        let backend = self.engines.borrow()[index].backend;
        let fresh = self.new_engine(backend).await?;
        let old = std::mem::replace(&mut self.engines.borrow_mut()[index], fresh);
        self.left.borrow_mut().push(Rc::clone(&old.engine));
        Ok(Some((old.engine.id.clone(), backend, old.address)))
    }

    fn note_leave(&self, id: &str) {
        let leave = EngineLeave { engine: id.to_string(), told: Instant::now() };
        self.evidence.borrow_mut().leaves.push(leave);
    }

    async fn take_key(&self, time: Duration) -> Result<()> {
        let drop_key = |config: &mut Config| {
            let keys = config.tenants.iter_mut().map(|tenant| &mut tenant.api_keys);
            let with = keys.filter(|keys| keys.iter().any(|key| key == DRIVERS_SECOND_KEY));
            let mut dropped = 0;
            for keys in with {
                keys.retain(|key| key != DRIVERS_SECOND_KEY);
                dropped += 1;
            }
            dropped
        };
        let dropped = drop_key(&mut self.config.borrow_mut());
        if dropped == 0 {
            return Ok(());
        }
        self.store_config()?;
        let place = {
            let mut evidence = self.evidence.borrow_mut();
            let lost = Instant::now();
            evidence.key_losses.push(KeyLoss { key: DRIVERS_SECOND_KEY, lost, back: None });
            evidence.key_losses.len() - 1
        };
        tokio::time::sleep(AGE_LIMIT + time).await;
        // The key counts as back from before it is.
        self.evidence.borrow_mut().key_losses[place].back = Some(Instant::now());
        for tenant in &mut self.config.borrow_mut().tenants {
            if tenant.name == "drivers" {
                tenant.api_keys.push(DRIVERS_SECOND_KEY.to_string());
            }
        }
        self.store_config()
    }
}

/// A link has a fault for some time.
async fn hold(link: &FaultyLink, fault: LinkFault, time: Duration) {
    link.set(fault);
    tokio::time::sleep(time).await;
    link.set(LinkFault::None);
}
