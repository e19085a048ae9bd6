//! A proxy in front of a daemon's peer address that can drop all frames to the daemon while frames from it still
//! leave: a link that fails in one direction.

use std::cell::Cell;
use std::rc::Rc;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::address::free_address;

/// Size of the read buffer in bytes.
const CHUNK: usize = 64 << 10;

/// A running proxy.
pub struct PeerRelay {
    /// Address on which it listens.
    pub address: String,
    cut: Rc<Cell<bool>>,
}

impl PeerRelay {
    /// Starts a proxy to an address.
    pub async fn start(target: &str) -> Result<PeerRelay> {
        let address = free_address()?;
        let listener = TcpListener::bind(&address).await?;
        let cut = Rc::new(Cell::new(false));
        actix_rt::spawn(accept(listener, target.to_string(), Rc::clone(&cut)));
        Ok(PeerRelay { address, cut })
    }

    /// Drops all bytes from now on, or forwards them again. A connection that lost bytes is closed then, because its
    /// frames are no longer aligned.
    pub fn set_cut(&self, cut: bool) {
        self.cut.set(cut);
    }
}

async fn accept(listener: TcpListener, target: String, cut: Rc<Cell<bool>>) {
    while let Ok((from, _)) = listener.accept().await {
        let cut = Rc::clone(&cut);
        let target = target.clone();
        actix_rt::spawn(async move {
            let Ok(to) = TcpStream::connect(&target).await else { return };
            let (from_read, from_write) = from.into_split();
            let (to_read, to_write) = to.into_split();
            let back = actix_rt::spawn(forward(to_read, from_write, Rc::clone(&cut)));
            forward(from_read, to_write, cut).await;
            back.abort();
        });
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    cut: Rc<Cell<bool>>,
) {
    let mut buffer = vec![0u8; CHUNK];
    let mut lost = false;
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        if length == 0 {
            return;
        }
        if cut.get() {
            lost = true;
        } else if lost || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
