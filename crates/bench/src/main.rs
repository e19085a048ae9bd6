//! Measures the cost of each additional target, waiting request, peer, account, key and configuration byte, and the
//! cost of real daemons on this machine. docs/CAPACITY.md uses these figures.
//!
//! Owns: only its printed tables. Relies on: the state machines of the product without changes.

mod lethal;
mod peers;
mod processes;
mod scheduler;
mod state;
mod stream_forms;
mod support;

use anyhow::Result;
use clap::Parser;

/// Measures costs per additional item; build with `--release`.
#[derive(Parser)]
struct Arguments {
    /// Also start real daemons and measure them.
    #[arg(long)]
    processes: bool,
    /// Measure only requests through real daemons.
    #[arg(long)]
    load: bool,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    if arguments.load {
        return actix_rt::System::new().block_on(processes::measure_requests());
    }
    scheduler::measure_targets();
    scheduler::measure_waiting();
    peers::measure_heartbeats();
    peers::measure_sparse_heartbeats();
    state::measure_accounts()?;
    state::measure_changes()?;
    state::measure_keys();
    lethal::measure_lethal_requests();
    lethal::measure_lethal_parts();
    stream_forms::measure_stream_forms();
    peers::measure_codec();
    if arguments.processes {
        actix_rt::System::new().block_on(processes::measure_daemons())?;
    }
    Ok(())
}
