//! Free addresses on loopback.

use std::net::TcpListener;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use anyhow::{bail, Result};

/// First port; below the range from which the system takes ports of outgoing connections.
const FIRST_PORT: u16 = 10_000;
/// Ports of one test process.
const PORTS_EACH: u16 = 200;
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
/// Held while a port is probed and while a process starts: a child that is between its fork and its
/// exec would otherwise hold the probed port and keep another process from binding it.
static PROBE_OR_SPAWN: Mutex<()> = Mutex::new(());

/// A free address on loopback.
pub fn free_address() -> Result<String> {
    let base = FIRST_PORT + (std::process::id() % 100) as u16 * PORTS_EACH;
    for _ in 0..PORTS_EACH {
        let port = base + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS_EACH;
        let address = format!("127.0.0.1:{port}");
        let _alone = alone();
        if TcpListener::bind(&address).is_ok() {
            return Ok(address);
        }
    }
    bail!("deployment: no free port from {base} on")
}

/// Keeps probes and starts of processes apart.
pub(crate) fn alone() -> MutexGuard<'static, ()> {
    PROBE_OR_SPAWN.lock().unwrap_or_else(PoisonError::into_inner)
}
