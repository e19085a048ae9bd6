//! The daemon of curlewcleat. Its decisions are made by `curlewcleat-node`; this crate gives them
//! HTTP, peers, the platform, clocks, logs and metrics.

mod assembly;
mod back_off;
mod config_freshness;
mod context;
mod files;
mod fleet;
mod headers;
mod listen;
mod logging;
mod memory;
mod metrics;
mod node_loop;
mod node_notes;
mod operators;
mod parts;
mod pending;
mod reports;
mod request;
mod target_notices;
mod unwritten;
mod usage;

pub use assembly::run_daemon;
pub use files::FilesParts;
pub use fleet::FleetParts;
pub use logging::start_logging;
pub use parts::PlatformParts;
