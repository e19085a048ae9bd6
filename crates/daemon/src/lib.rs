//! The daemon of curlewcleat. Its decisions are made by `curlewcleat-node`; this crate gives them
//! HTTP, peers, the platform, clocks, logs and metrics.

mod brain;
mod config_proof;
mod context;
mod fleet;
mod headers;
mod listen;
mod logging;
mod metrics;
mod operators;
mod platform;
mod reports;
mod request;
mod run;

pub use fleet::run_fleet_daemon;
pub use logging::start_logging;
pub use run::run_daemon;
