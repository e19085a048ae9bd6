//! Sockets between daemons.
//!
//! Owns: the sockets to and from peers. Relies on: nng; frames may be dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::PeerFrame;
use nng::options::protocol::pubsub::Subscribe;
use nng::options::{Options, RecvBufferSize, RecvMaxSize, SendBufferSize};
use nng::{Pipe, Protocol, Socket};
use tokio::sync::mpsc::UnboundedSender;

use spdlog::prelude::*;

use crate::codec::{decode_frame, encode_frame, FRAME_LIMIT};
use crate::hearing::PeerHearing;
use crate::owed::OwedAnswers;

/// Frames that wait for a peer before the oldest are dropped.
const SEND_QUEUE: i32 = 1_024;
/// Received frames that wait for the thread that reads them before the oldest are dropped.
const RECEIVE_QUEUE: i32 = 8_192;
/// Time for which frames go out on both connections after one was dialed anew, so that none is lost while the new one
/// is being made: several round trips between data centres.
const OVERLAP: Duration = Duration::from_millis(200);

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
    /// Peers that were dialed anew.
    pub dialed_anew: AtomicU64,
}

/// Frames over nng's publish and subscribe sockets, one publisher for each peer.
///
/// Push and pull would fit better, but nng 1.4.0-rc.0's push socket puts a connection that has just
/// closed back on its list when a send completes late, and aborts the process at the next send.
pub struct NngTransport {
    listener: Socket,
    peers: BTreeMap<String, PeerSocket>,
    hearing: SharedHearing,
    owed: OwedAnswers,
    counts: Arc<TransportCounts>,
}

/// What the thread that receives has heard; `None` stands for a frame without a connection.
type SharedHearing = Arc<Mutex<PeerHearing<Option<Pipe>>>>;

/// The socket on which a peer is sent frames.
struct PeerSocket {
    socket: Socket,
    dialed: Moment,
    /// The one before, for as long as the present one is being connected.
    earlier: Option<Socket>,
}

impl PeerSocket {
    fn dial(address: &str, earlier: Option<Socket>) -> Result<PeerSocket, nng::Error> {
        Ok(PeerSocket { socket: dial(address)?, dialed: Moment::now(), earlier })
    }

    fn send(&mut self, bytes: &[u8]) -> bool {
        if let Some(earlier) = self.earlier.take_if(|_| self.dialed.elapsed() >= OVERLAP) {
            earlier.close();
        }
        // Frames may be repeated.
        let early = self.earlier.as_ref().is_some_and(|socket| socket.try_send(bytes).is_ok());
        self.socket.try_send(bytes).is_ok() || early
    }

    fn close(&self) {
        self.socket.close();
        if let Some(earlier) = &self.earlier {
            earlier.close();
        }
    }
}

impl NngTransport {
    /// Listens on `ip:port`. Received frames go into `frames` from a thread of their own, because
    /// nng's calls must not block the arbiter. A peer is dialed anew where nothing is heard of it for
    /// `dead_after`.
    ///
    /// # Errors
    /// What nng says when the address cannot be bound.
    pub fn listen(
        address: &str,
        dead_after: Duration,
        frames: UnboundedSender<PeerFrame>,
        counts: Arc<TransportCounts>,
    ) -> Result<NngTransport, nng::Error> {
        let listener = Socket::new(Protocol::Sub0)?;
        listener.set_opt::<RecvMaxSize>(FRAME_LIMIT)?;
        listener.set_opt::<RecvBufferSize>(RECEIVE_QUEUE)?;
        listener.set_opt::<Subscribe>(Vec::new())?;
        listener.listen(&format!("tcp://{address}"))?;
        let hearing = SharedHearing::new(Mutex::new(PeerHearing::new(dead_after)));
        let receiver = FrameReceiver {
            socket: listener.clone(),
            frames,
            hearing: Arc::clone(&hearing),
            counts: Arc::clone(&counts),
        };
        std::thread::Builder::new()
            .name("peer-frames".to_string())
            .spawn(move || receiver.run())
            .map_err(|_| nng::Error::OutOfMemory)?;
        Ok(NngTransport {
            listener,
            peers: BTreeMap::new(),
            hearing,
            owed: OwedAnswers::default(),
            counts,
        })
    }

    /// The socket for a frame to an address.
    fn socket(&mut self, address: &str, frame: &PeerFrame) -> Option<&mut PeerSocket> {
        let dialed = self.peers.get(address).map(|peer| peer.dialed);
        let dead = {
            let hearing = heard(&self.hearing);
            let (now, last) = (Moment::now(), hearing.last(address));
            self.owed.sent(now, address, last, frame);
            let owed = self.owed.since(address, last);
            dialed.is_some_and(|dialed| hearing.is_dead_owing(now, address, dialed, owed))
        };
        if dead || dialed.is_none() {
            self.dial(address);
        }
        self.peers.get_mut(address)
    }

    /// Dials a peer, anew where it was dialed before.
    fn dial(&mut self, address: &str) {
        let present = self.peers.remove(address);
        if let Some(earlier) = present.as_ref().and_then(|peer| peer.earlier.as_ref()) {
            earlier.close();
        }
        let present = present.map(|peer| peer.socket);
        let again = present.is_some();
        match PeerSocket::dial(address, present) {
            Ok(peer) => {
                if again {
                    self.counts.dialed_anew.fetch_add(1, Ordering::Relaxed);
                    debug!("peer_dialed_anew", kv: { address });
                }
                self.peers.insert(address.to_string(), peer);
            }
            // It is dialed with the next frame.
            Err(error) => warn!("peer_not_dialed", kv: { address, error = error.to_string() }),
        }
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
        let sent = self.socket(address, frame).is_some_and(|peer| peer.send(&bytes));
        if sent {
            self.counts.sent.fetch_add(1, Ordering::Relaxed);
            self.counts.sent_bytes.fetch_add(length, Ordering::Relaxed);
        } else {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn keep_only(&mut self, addresses: &BTreeSet<String>) {
        self.peers.retain(|address, peer| {
            let keep = addresses.contains(address);
            if !keep {
                peer.close();
            }
            keep
        });
        heard(&self.hearing).keep_only(addresses);
        self.owed.keep_only(addresses);
    }

    fn close(self: Box<Self>) {
        for peer in self.peers.values() {
            peer.close();
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

/// What was heard so far. A thread that panicked with it leaves it whole: each change is one step.
fn heard(hearing: &SharedHearing) -> MutexGuard<'_, PeerHearing<Option<Pipe>>> {
    hearing.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Receives frames on a thread of its own.
struct FrameReceiver {
    socket: Socket,
    frames: UnboundedSender<PeerFrame>,
    hearing: SharedHearing,
    counts: Arc<TransportCounts>,
}

impl FrameReceiver {
    /// Receives until the socket is closed.
    fn run(self) {
        loop {
            let mut message = match self.socket.recv() {
                Ok(message) => message,
                Err(nng::Error::Closed) => return,
                Err(_) => continue,
            };
            self.counts.received.fetch_add(1, Ordering::Relaxed);
            let length = message.as_slice().len() as u64;
            self.counts.received_bytes.fetch_add(length, Ordering::Relaxed);
            let Ok(frame) = decode_frame(message.as_slice()) else {
                self.counts.unreadable.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            heard(&self.hearing).note(Moment::now(), &frame, message.pipe());
            if self.frames.send(frame).is_err() {
                return;
            }
        }
    }
}
