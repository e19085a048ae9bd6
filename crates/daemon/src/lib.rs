//! The daemon of curlewcleat. Its decisions are made by `curlewcleat-node`; this crate gives them
//! HTTP, peers, the platform, clocks, logs and metrics.

mod answer;
mod answer_stream;
mod brain;
mod callers;
mod context;
mod exchange;
mod fleet;
mod gateway;
mod headers;
mod listen;
mod logging;
mod metrics;
mod operators;
mod platform;
mod prompt;
mod reports;
mod run;
mod upload;

pub use fleet::run_fleet_daemon;
pub use logging::start_logging;
pub use run::run_daemon;
