//! Stand-in of a platform that keeps the configuration and on which targets announce themselves: its
//! store, its engines, and daemons before them. Formats and names are those of the crate in `platform/`.

mod deployment;
mod engine;
mod entry;
mod store;

pub use deployment::{DaemonPlace, FleetDaemon, FleetDeployment};
pub use engine::{EngineRun, EngineStep, FleetEngine, LethalBody};
pub use entry::{EngineEntry, ForeignEntry};
pub use store::{FleetStore, StoreOutage};
