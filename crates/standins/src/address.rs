//! Finds free addresses on loopback.

use std::net::TcpListener;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use anyhow::{bail, Result};

/// First port; below the range of ephemeral ports, which the system uses for outgoing connections.
const FIRST_PORT: u16 = 10_000;
/// Number of ports for each test process.
const PORTS_PER_PROCESS: u16 = 200;
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
/// Held while a port is probed and while a process starts. Otherwise a child between fork and exec could inherit
/// the probed socket and keep another process from binding the port.
static PROBE_OR_SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// IP number of all processes that have none of their own.
pub const LOOPBACK: &str = "127.0.0.1";
/// IP number of engines.
const ENGINE_IP: &str = "127.0.0.2";
/// IP number of a store from which single daemons can be cut off.
pub const STORE_IP: &str = "127.0.2.1";

/// Returns a free address on loopback.
///
/// # Errors
/// Fails if all ports of this process are in use.
pub fn free_address() -> Result<String> {
    free_address_at(LOOPBACK)
}

/// Returns a free address for an engine, which differs from the addresses of other processes by its IP number.
///
/// # Errors
/// Fails if all ports of this process are in use.
pub fn free_engine_address() -> Result<String> {
    free_address_at(ENGINE_IP)
}

/// Returns the IP number of the daemon with this index, where each daemon of a test has one of its own.
pub fn daemon_ip(index: usize) -> String {
    format!("127.0.1.{}", index + 1)
}

/// Returns a port that is free at the IP numbers of this many daemons, all of which bind it. Another process may use it
/// at the IP number of one daemon and not at that of another.
///
/// # Errors
/// Fails if no port of this process is free at all of them.
pub fn free_daemon_port(daemons: usize) -> Result<u16> {
    free_port_at(&(0..daemons).map(daemon_ip).collect::<Vec<_>>())
}

/// Returns a free address with this IP number.
///
/// # Errors
/// Fails if all ports of this process are in use.
pub fn free_address_at(ip: &str) -> Result<String> {
    Ok(format!("{ip}:{}", free_port_at(&[ip.to_string()])?))
}

/// Returns the next port that is free at all of these IP numbers.
fn free_port_at(ips: &[String]) -> Result<u16> {
    let base = FIRST_PORT + (std::process::id() % 100) as u16 * PORTS_PER_PROCESS;
    for _ in 0..PORTS_PER_PROCESS {
        let port = base + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
        let _guard = lock_probe_or_spawn();
        if ips.iter().all(|ip| TcpListener::bind(format!("{ip}:{port}")).is_ok()) {
            return Ok(port);
        }
    }
    bail!("deployment: no free port from {base} on")
}

/// Locks out port probes while a process starts, and starts of processes while a port is probed.
pub(crate) fn lock_probe_or_spawn() -> MutexGuard<'static, ()> {
    PROBE_OR_SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
