//! A TCP proxy on loopback whose connections can be delayed, reset, stalled, or blocked in one direction.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::address::{free_address_at, LOOPBACK};

mod sender;

use sender::SenderProbe;

/// Size of the read buffer in bytes.
const CHUNK: usize = 16 << 10;

/// Bytes in a megabit.
const BYTES_PER_MEGABIT: u64 = 1_000_000 / 8;

/// A fault of all connections of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Each chunk of bytes is delayed by this time.
    Delay(Duration),
    /// Bytes to the upstream address wait until the fault ends; those in the other direction pass.
    BlockUpstream,
    /// Bytes from the upstream address wait until the fault ends; those in the other direction pass.
    BlockDownstream,
    /// Bytes in both directions wait until the fault ends, also those of new connections.
    BlockBoth,
    /// Connections that exist during the fault stay open and never carry a byte again.
    Stall,
}

impl LinkFault {
    fn holds(self, to_upstream: bool) -> bool {
        match self {
            LinkFault::None | LinkFault::Delay(_) | LinkFault::Stall => false,
            LinkFault::BlockUpstream => to_upstream,
            LinkFault::BlockDownstream => !to_upstream,
            LinkFault::BlockBoth => true,
        }
    }
}

#[derive(Default)]
struct LinkState {
    fault: Cell<LinkFault>,
    /// Daemons whose frames wait, once for each block that has not ended.
    blocked_senders: RefCell<Vec<String>>,
    /// Bandwidth of a connection in megabits per second; `None` for no limit.
    mbps: Option<u64>,
    /// Number of times that [`LinkFault::Stall`] was set.
    stall_faults: Cell<u64>,
    /// Number of calls that stalled open connections.
    stalls_of_open: Cell<u64>,
    /// Time without bytes from which a connection was stalled by the latest of these calls.
    stalled_quiet_time: Cell<Duration>,
    changed: Notify,
    connections: RefCell<Vec<actix_rt::task::JoinHandle<()>>>,
}

/// A proxy to one address.
pub struct FaultyLink {
    /// Address on which the proxy listens.
    pub address: String,
    state: Rc<LinkState>,
    listening: actix_rt::task::JoinHandle<()>,
}

impl FaultyLink {
    /// Starts a proxy to an address; each connection carries `mbps` megabits per second.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(target: &str, mbps: Option<u64>) -> Result<FaultyLink> {
        FaultyLink::start_at(LOOPBACK, target, mbps).await
    }

    /// Same as [`start`](FaultyLink::start), with an IP number on which the proxy listens.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start_at(ip: &str, target: &str, mbps: Option<u64>) -> Result<FaultyLink> {
        let address = free_address_at(ip)?;
        let listener = TcpListener::bind(&address).await?;
        let state = Rc::new(LinkState { mbps, ..LinkState::default() });
        let listening = actix_rt::spawn(accept(listener, target.to_string(), Rc::clone(&state)));
        Ok(FaultyLink { address, state, listening })
    }

    /// Sets the fault; [`LinkFault::None`] ends it.
    pub fn set(&self, fault: LinkFault) {
        if fault == LinkFault::Stall {
            self.state.stall_faults.set(self.state.stall_faults.get() + 1);
        }
        self.state.fault.set(fault);
        self.state.changed.notify_waiters();
    }

    /// Makes frames of the daemon with this name wait, until [`unblock_sender`](FaultyLink::unblock_sender) was called
    /// as often as this.
    pub fn block_sender(&self, name: &str) {
        self.state.blocked_senders.borrow_mut().push(name.to_string());
    }

    /// Ends one [`block_sender`](FaultyLink::block_sender).
    pub fn unblock_sender(&self, name: &str) {
        let mut blocked = self.state.blocked_senders.borrow_mut();
        if let Some(index) = blocked.iter().position(|sender| sender == name) {
            blocked.swap_remove(index);
        }
        drop(blocked);
        self.state.changed.notify_waiters();
    }

    /// Stalls the open connections permanently: they stay open and carry nothing more, not even their end. New
    /// connections work.
    pub fn stall_open_connections(&self) {
        self.stall_quiet_connections(Duration::ZERO);
    }

    /// Same as [`stall_open_connections`](FaultyLink::stall_open_connections), for connections that have carried no
    /// bytes for `quiet_time`.
    pub fn stall_quiet_connections(&self, quiet_time: Duration) {
        self.state.stalled_quiet_time.set(quiet_time);
        self.state.stalls_of_open.set(self.state.stalls_of_open.get() + 1);
        self.state.changed.notify_waiters();
    }

    /// Closes all connections and stops listening.
    pub fn close(self) {
        self.listening.abort();
        self.reset();
    }

    /// Closes all connections.
    pub fn reset(&self) {
        for connection in self.state.connections.borrow_mut().drain(..) {
            connection.abort();
        }
    }
}

async fn accept(listener: TcpListener, target: String, state: Rc<LinkState>) {
    while let Ok((client, _)) = listener.accept().await {
        let task = actix_rt::spawn(forward_connection(client, target.clone(), Rc::clone(&state)));
        let mut connections = state.connections.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        connections.push(task);
    }
}

impl LinkState {
    /// Waits as long as a fault holds the bytes of a direction, or those of their sender.
    async fn passable(&self, to_upstream: bool, probe: &SenderProbe) {
        let is_blocked = || {
            let senders = self.blocked_senders.borrow();
            let mut senders = senders.iter().map(String::as_str);
            to_upstream && senders.any(|sender| Some(sender) == probe.sender())
        };
        while self.fault.get().holds(to_upstream) || is_blocked() {
            self.changed.notified().await;
        }
    }

    /// Waits until a connection is stalled that was opened after `stalls_of_open` of the calls that stall open ones.
    async fn stalled_after(&self, mut stalls_of_open: u64, last_bytes: &Cell<Instant>) {
        loop {
            let changed = self.changed.notified();
            let stalled = self.stalls_of_open.get() > stalls_of_open;
            if stalled && last_bytes.get().elapsed() >= self.stalled_quiet_time.get() {
                return;
            }
            stalls_of_open = self.stalls_of_open.get();
            changed.await;
        }
    }
}

async fn forward_connection(client: TcpStream, target: String, state: Rc<LinkState>) {
    let stalls_of_open = state.stalls_of_open.get();
    let Ok(upstream) = TcpStream::connect(&target).await else { return };
    let last_bytes = Cell::new(Instant::now());
    let mut forwarding = std::pin::pin!(forward_both_ways(client, upstream, &state, &last_bytes));
    tokio::select! {
        () = &mut forwarding => {}
        // Both sockets stay open, and bytes in transit are lost.
        () = state.stalled_after(stalls_of_open, &last_bytes) => std::future::pending().await,
    }
}

async fn forward_both_ways(
    client: TcpStream,
    upstream: TcpStream,
    state: &LinkState,
    last_bytes: &Cell<Instant>,
) {
    // Forward small frames without delay.
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    // Both sockets close when either does.
    tokio::select! {
        () = forward(client_read, upstream_write, state, last_bytes, true) => {}
        () = forward(upstream_read, client_write, state, last_bytes, false) => {}
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    state: &LinkState,
    last_bytes: &Cell<Instant>,
    to_upstream: bool,
) {
    let mut buffer = vec![0u8; CHUNK];
    let stall_faults = state.stall_faults.get();
    let mut probe = SenderProbe::default();
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        if length == 0 {
            return;
        }
        last_bytes.set(Instant::now());
        if let Some(mbps) = state.mbps {
            let bytes_per_s = (mbps * BYTES_PER_MEGABIT) as f64;
            tokio::time::sleep(Duration::from_secs_f64(length as f64 / bytes_per_s)).await;
        }
        match state.fault.get() {
            LinkFault::Delay(time) => tokio::time::sleep(time).await,
            LinkFault::Stall => return std::future::pending().await,
            _ if state.stall_faults.get() > stall_faults => return std::future::pending().await,
            _ => {}
        }
        probe.extend(&buffer[..length]);
        state.passable(to_upstream, &probe).await;
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
