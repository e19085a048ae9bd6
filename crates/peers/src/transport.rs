//! Sockets between daemons.
//!
//! Owns: the sockets to and from peers. Relies on: nng; frames may be dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use curlewcleat_core::PeerFrame;
use nng::options::protocol::pubsub::Subscribe;
use nng::options::{Options, RecvBufferSize, RecvMaxSize, SendBufferSize};
use nng::{Protocol, Socket};
use tokio::sync::mpsc::UnboundedSender;

use spdlog::prelude::*;

use crate::codec::{decode_frame, encode_frame, FRAME_LIMIT};

/// Frames that wait for a peer before the oldest are dropped.
const SEND_QUEUE: i32 = 1_024;
/// Received frames that wait for the thread that reads them before the oldest are dropped.
const RECEIVE_QUEUE: i32 = 8_192;

/// The border towards peers.
pub trait PeerTransport {
    /// Sends a frame to an `ip:port`, or drops it.
    fn send(&mut self, address: &str, frame: &PeerFrame);

    /// Closes connections to all but these addresses.
    fn keep_only(&mut self, addresses: &BTreeSet<String>);

    /// Closes everything.
    fn close(self: Box<Self>);
}

/// Counts of a transport, shared with the metrics.
#[derive(Debug, Default)]
pub struct TransportCounts {
    /// Frames sent.
    pub sent: AtomicU64,
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Frames that could not be sent.
    pub dropped: AtomicU64,
    /// Frames received.
    pub received: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Frames received that do not decode.
    pub unreadable: AtomicU64,
}

/// Frames over nng's publish and subscribe sockets, one publisher for each peer.
///
/// Push and pull would fit better, but nng 1.4.0-rc.0's push socket puts a connection that has just
/// closed back on its list when a send completes late, and aborts the process at the next send.
pub struct NngTransport {
    listener: Socket,
    peers: BTreeMap<String, Socket>,
    counts: Arc<TransportCounts>,
}

impl NngTransport {
    /// Listens on `ip:port`. Received frames go into `frames` from a thread of their own, because
    /// nng's calls must not block the arbiter.
    ///
    /// # Errors
    /// What nng says when the address cannot be bound.
    pub fn listen(
        address: &str,
        frames: UnboundedSender<PeerFrame>,
        counts: Arc<TransportCounts>,
    ) -> Result<NngTransport, nng::Error> {
        let listener = Socket::new(Protocol::Sub0)?;
        listener.set_opt::<RecvMaxSize>(FRAME_LIMIT)?;
        listener.set_opt::<RecvBufferSize>(RECEIVE_QUEUE)?;
        listener.set_opt::<Subscribe>(Vec::new())?;
        listener.listen(&format!("tcp://{address}"))?;
        let socket = listener.clone();
        let thread_counts = Arc::clone(&counts);
        std::thread::Builder::new()
            .name("peer-frames".to_string())
            .spawn(move || receive(&socket, &frames, &thread_counts))
            .map_err(|_| nng::Error::OutOfMemory)?;
        Ok(NngTransport { listener, peers: BTreeMap::new(), counts })
    }

    fn socket(&mut self, address: &str) -> Option<&Socket> {
        if !self.peers.contains_key(address) {
            let socket = dial(address).ok()?;
            self.peers.insert(address.to_string(), socket);
        }
        self.peers.get(address)
    }
}

impl PeerTransport for NngTransport {
    fn send(&mut self, address: &str, frame: &PeerFrame) {
        let bytes = match encode_frame(frame) {
            Ok(bytes) => bytes,
            Err(error) => {
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
                return error!("frame_not_encoded", kv: { address, error = error.to_string() });
            }
        };
        let length = bytes.len() as u64;
        let sent =
            self.socket(address).is_some_and(|socket| socket.try_send(bytes.as_slice()).is_ok());
        if sent {
            self.counts.sent.fetch_add(1, Ordering::Relaxed);
            self.counts.sent_bytes.fetch_add(length, Ordering::Relaxed);
        } else {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn keep_only(&mut self, addresses: &BTreeSet<String>) {
        self.peers.retain(|address, socket| {
            let keep = addresses.contains(address);
            if !keep {
                socket.close();
            }
            keep
        });
    }

    fn close(self: Box<Self>) {
        for socket in self.peers.values() {
            socket.close();
        }
        self.listener.close();
    }
}

fn dial(address: &str) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Pub0)?;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE)?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}

/// Receives until the socket is closed.
fn receive(socket: &Socket, frames: &UnboundedSender<PeerFrame>, counts: &TransportCounts) {
    loop {
        let message = match socket.recv() {
            Ok(message) => message,
            Err(nng::Error::Closed) => return,
            Err(_) => continue,
        };
        counts.received.fetch_add(1, Ordering::Relaxed);
        counts.received_bytes.fetch_add(message.as_slice().len() as u64, Ordering::Relaxed);
        match decode_frame(message.as_slice()) {
            Ok(frame) => {
                if frames.send(frame).is_err() {
                    return;
                }
            }
            Err(_) => {
                counts.unreadable.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
