//! Measures what one more target, waiting request, peer, account, key and configuration byte costs,
//! and what real daemons cost on this machine. docs/CAPACITY.md works from these figures.
//!
//! Owns: nothing but its printed tables. Relies on: the state machines of the product as they are.

mod lethal;
mod peers;
mod processes;
mod scheduler;
mod state;
mod support;

use anyhow::Result;
use clap::Parser;

/// Measures slopes; build with `--release`.
#[derive(Parser)]
struct Arguments {
    /// Also start real daemons and measure them.
    #[arg(long)]
    processes: bool,
    /// Only requests through real daemons.
    #[arg(long)]
    load: bool,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    if arguments.load {
        return actix_rt::System::new().block_on(processes::requests());
    }
    scheduler::targets();
    scheduler::waiting();
    peers::heartbeats();
    peers::sparse_heartbeats();
    state::accounts()?;
    state::changes()?;
    state::keys();
    lethal::lethal();
    peers::codec();
    if arguments.processes {
        actix_rt::System::new().block_on(processes::daemons())?;
    }
    Ok(())
}
