//! The daemon of curlewcleat. `curlewcleat-node` makes the scheduling decisions; this crate connects it to HTTP,
//! peers, the platform, clocks, logs and metrics.

mod answer_breaks;
mod assembly;
mod back_off;
pub mod byte_budget;
mod caller_stream;
mod config_freshness;
mod connection_guard;
mod context;
mod files;
mod fleet;
mod headers;
mod listen;
mod logging;
mod loop_clock;
mod loop_turn;
mod memory;
mod metrics;
mod node_loop;
mod node_notes;
mod operators;
mod pending;
mod platform_adapter;
mod relays;
mod reports;
mod request;
pub mod stream_forms;
mod target_notices;
mod target_reach;
mod unwritten;
mod usage;

pub use assembly::run_daemon;
pub use files::FilesAdapter;
pub use fleet::FleetAdapter;
pub use logging::start_logging;
pub use platform_adapter::PlatformAdapter;
