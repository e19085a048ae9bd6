//! A loopback proxy whose connections can be delayed, reset, silenced and cut one way.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_standins::address::free_address;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Bytes forwarded at a time.
const CHUNK: usize = 16 << 10;

/// Bytes a second in a megabit a second.
const BYTES_PER_MEGABIT: u64 = 1_000_000 / 8;

/// What a link does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Bytes arrive later.
    Delay(Duration),
    /// Bytes towards the far end wait until the fault ends, those of the near end pass.
    CutThere,
    /// Bytes from the far end wait until the fault ends.
    CutBack,
    /// No bytes pass either way; new connections hang.
    Silent,
    /// The connections of that time stay open and never say anything again.
    Deaf,
}

impl LinkFault {
    fn holds(self, towards: bool) -> bool {
        match self {
            LinkFault::None | LinkFault::Delay(_) | LinkFault::Deaf => false,
            LinkFault::CutThere => towards,
            LinkFault::CutBack => !towards,
            LinkFault::Silent => true,
        }
    }
}

#[derive(Default)]
struct LinkState {
    fault: Cell<LinkFault>,
    /// What a connection carries in megabits a second, `None` for no limit.
    mbps: Option<u64>,
    /// Times that the connections have become deaf.
    deafened: Cell<u64>,
    /// Times that the connections have gone silent.
    silenced: Cell<u64>,
    changed: Notify,
    connections: RefCell<Vec<actix_rt::task::JoinHandle<()>>>,
}

/// A link to one address.
pub struct FaultyLink {
    /// Where it listens.
    pub address: String,
    state: Rc<LinkState>,
    listening: actix_rt::task::JoinHandle<()>,
}

impl FaultyLink {
    /// Begins to forward to an address; each connection carries `mbps` megabits a second.
    ///
    /// # Errors
    /// Where no port can be bound.
    pub async fn start(target: &str, mbps: Option<u64>) -> Result<FaultyLink> {
        let address = free_address()?;
        let listener = TcpListener::bind(&address).await?;
        let state = Rc::new(LinkState { mbps, ..LinkState::default() });
        let listening = actix_rt::spawn(accept(listener, target.to_string(), Rc::clone(&state)));
        Ok(FaultyLink { address, state, listening })
    }

    /// Begins or ends a fault.
    pub fn set(&self, fault: LinkFault) {
        if fault == LinkFault::Deaf {
            self.state.deafened.set(self.state.deafened.get() + 1);
        }
        self.state.fault.set(fault);
        self.state.changed.notify_waiters();
    }

    /// The present connections stay open and carry nothing again, not even their end; new ones work.
    pub fn silence(&self) {
        self.state.silenced.set(self.state.silenced.get() + 1);
        self.state.changed.notify_waiters();
    }

    /// Closes all connections and listens no more.
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
    while let Ok((near, _)) = listener.accept().await {
        let task = actix_rt::spawn(carry(near, target.clone(), Rc::clone(&state)));
        let mut connections = state.connections.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        connections.push(task);
    }
}

impl LinkState {
    /// Waits until the connections that were open after so many silences go silent.
    async fn silence_after(&self, silenced: u64) {
        loop {
            let changed = self.changed.notified();
            if self.silenced.get() > silenced {
                return;
            }
            changed.await;
        }
    }
}

async fn carry(near: TcpStream, target: String, state: Rc<LinkState>) {
    let silenced = state.silenced.get();
    let Ok(far) = TcpStream::connect(&target).await else { return };
    let mut carrying = std::pin::pin!(carry_both_ways(near, far, &state));
    tokio::select! {
        () = &mut carrying => {}
        // Both ends stay open, and what was on its way is lost.
        () = state.silence_after(silenced) => std::future::pending().await,
    }
}

async fn carry_both_ways(near: TcpStream, far: TcpStream, state: &LinkState) {
    // Small frames are passed on at once.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    // Both ends close when either does.
    tokio::select! {
        () = forward(near_read, far_write, state, true) => {}
        () = forward(far_read, near_write, state, false) => {}
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    state: &LinkState,
    towards: bool,
) {
    let mut buffer = vec![0u8; CHUNK];
    let deafened = state.deafened.get();
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        if length == 0 {
            return;
        }
        if let Some(mbps) = state.mbps {
            let bytes_per_s = (mbps * BYTES_PER_MEGABIT) as f64;
            tokio::time::sleep(Duration::from_secs_f64(length as f64 / bytes_per_s)).await;
        }
        match state.fault.get() {
            LinkFault::Delay(time) => tokio::time::sleep(time).await,
            LinkFault::Deaf => return std::future::pending().await,
            _ if state.deafened.get() > deafened => return std::future::pending().await,
            _ => {}
        }
        while state.fault.get().holds(towards) {
            state.changed.notified().await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
