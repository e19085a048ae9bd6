//! Stand-in of a platform that keeps the configuration and on which targets announce themselves: its
//! store, its engines, and daemons before them. Formats and names are those of the adapter.

mod engine;
mod fleet;
mod store;

pub use engine::{EngineRun, EngineStep, NativeEngine};
pub use fleet::{NativeDaemon, NativeFleet};
pub use store::{NativeStore, StoreOutage};
