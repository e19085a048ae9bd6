//! Starts the engines of a run and writes their list entries.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::names::READY;
use curlewcleat_standins::address::{free_address_at, free_engine_address};
use curlewcleat_standins::fleet::{EngineEntry, EngineRun, FleetEngine};
use curlewcleat_standins::link::FaultyLink;
use curlewcleat_standins::served::ServedHandler;

use crate::extra::ExtraKind;
use crate::fleet::SoakFleet;
use crate::lethal::{terminate_on_lethal, TerminationFlag};

/// Number of events of a complete stream.
pub const EVENTS: u64 = 6;
/// Time between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Time between two events where daemons are out of step: streams have to last until one of these faults.
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(200);
/// Slots of an engine.
const SLOTS: u32 = 8;
/// Slots of an engine where streams last longer.
const LONG_STREAM_SLOTS: u32 = 32;
/// Slots of an engine where engines are of several speeds.
const MIXED_SLOTS: u32 = 10;
/// Factors of the time between two events where engines are of several speeds.
const SLOWNESS: [f64; 3] = [0.55, 1.0, 2.8];
/// Engines that share an IP number, in runs that replace many.
const ENGINES_PER_IP: usize = 100;
/// Names of the services in the example configuration.
pub const BACKENDS: [&str; 2] = ["records", "engines"];

/// An engine with its address and server.
pub struct EngineHandle {
    pub engine: Rc<FleetEngine>,
    pub backend: &'static str,
    /// Address in the list entry: that of the link, if there is one.
    pub address: String,
    /// The link through which daemons reach the engine, in runs with stalled connections.
    pub link: Option<FaultyLink>,
    /// The running server, `None` after the engine has terminated.
    pub served: Option<ServedHandler>,
    /// Whether the engine has terminated while running a request.
    pub terminated: TerminationFlag,
}

/// Returns the version of an engine at the start: two versions serve each service from the start, or one where versions
/// join.
pub fn first_version(extra: Option<ExtraKind>, index: usize) -> u32 {
    let is_second = index % (2 * BACKENDS.len()) >= BACKENDS.len();
    match extra {
        Some(ExtraKind::Steps | ExtraKind::WeakVms) => 1,
        _ => 1 + u32::from(is_second),
    }
}

impl SoakFleet {
    fn event_interval(&self, number: usize) -> Duration {
        match self.options.extra {
            Some(ExtraKind::Mixed) => {
                EVENT_INTERVAL.mul_f64(SLOWNESS[number / BACKENDS.len() % SLOWNESS.len()])
            }
            Some(ExtraKind::Steps | ExtraKind::WeakVms) => LONG_EVENT_INTERVAL,
            _ => EVENT_INTERVAL,
        }
    }

    fn slots(&self) -> u32 {
        match self.options.extra {
            Some(ExtraKind::Steps | ExtraKind::WeakVms) => LONG_STREAM_SLOTS,
            Some(ExtraKind::Mixed) => MIXED_SLOTS,
            _ => SLOTS,
        }
    }

    /// Starts an engine of the current version and writes its list entry.
    pub async fn new_engine(&self, backend: &'static str) -> Result<EngineHandle> {
        let number = self.engine_count.get();
        self.engine_count.set(number + 1);
        let engine = FleetEngine::new(&format!("i-{number}"), EVENTS, self.event_interval(number));
        if self.options.extra.is_some_and(ExtraKind::has_versions) {
            let version = format!("v{}", self.version.get());
            self.evidence.borrow_mut().versions.insert(engine.id.clone(), version);
        }
        let address = self.engine_address(number)?;
        self.serve_engine(engine, backend, &address).await
    }

    /// Returns a free address for an engine. In runs that replace engines by the hundred, several IP numbers share them:
    /// replaced engines keep their ports.
    pub fn engine_address(&self, number: usize) -> Result<String> {
        match self.options.extra {
            Some(ExtraKind::WeakVms) => {
                free_address_at(&format!("127.0.3.{}", 1 + number / ENGINES_PER_IP))
            }
            _ => free_engine_address(),
        }
    }

    /// Serves an engine at an address and writes its list entry.
    pub async fn serve_engine(
        &self,
        engine: Rc<FleetEngine>,
        backend: &'static str,
        address: &str,
    ) -> Result<EngineHandle> {
        let served = ServedHandler::start(address, engine.clone()).await?;
        let link = match self.options.extra {
            Some(ExtraKind::Stall) => Some(FaultyLink::start(address, None).await?),
            _ => None,
        };
        let address = link.as_ref().map_or(address, |link| &link.address).to_string();
        let terminated = TerminationFlag::default();
        if self.options.extra == Some(ExtraKind::Lethal) {
            terminate_on_lethal(&engine, &terminated);
        }
        let handle =
            EngineHandle { engine, backend, address, link, served: Some(served), terminated };
        self.write_entry(&handle, READY)?;
        Ok(handle)
    }

    /// Writes the list entry of an engine.
    pub fn write_entry(&self, handle: &EngineHandle, state: &str) -> Result<()> {
        let version = self.evidence.borrow().versions.get(&handle.engine.id).cloned();
        let entry = EngineEntry {
            backend: handle.backend,
            address: &handle.address,
            zone: "here",
            slots: self.slots(),
            state,
            version: version.as_deref(),
            born: Some(handle.engine.born),
        };
        self.store.write_entry(&handle.engine.id, entry)
    }

    /// Returns the requests that reached engines, with the engine's id.
    pub fn runs(&self) -> Vec<(String, EngineRun)> {
        let present = self.engines.borrow();
        let replaced = self.replaced_engines.borrow();
        let engines = present.iter().map(|handle| &handle.engine).chain(replaced.iter());
        let runs = engines
            .flat_map(|engine| engine.runs().into_iter().map(|run| (engine.id.clone(), run)));
        runs.collect()
    }
}
