//! Sends and receives peer frames on nng sockets.
//!
//! Owns: the sockets to and from peers. Relies on: nng, which may drop frames.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::PeerFrame;
use nng::options::protocol::pubsub::Subscribe;
use nng::options::{Options, RecvBufferSize, RecvMaxSize, SendBufferSize};
use nng::{Protocol, Socket};
use tokio::sync::mpsc::UnboundedSender;

use spdlog::prelude::*;

use crate::activity::PeerActivity;
use crate::codec::{encode_frame, FRAME_LIMIT};
use crate::pending::PendingAnswers;
use crate::receiver::{lock_activity, FrameReceiver, SharedActivity};
use crate::waiting::{ReceivedFrame, WaitingFrames};

/// Number of frames that wait for a peer before the oldest are dropped.
const SEND_QUEUE: i32 = 1_024;
/// Number of received frames that wait for the receiving thread before the oldest are dropped.
const RECEIVE_QUEUE: i32 = 8_192;
/// Time for which frames are sent on both connections after a peer was redialed, so that none is lost while the new
/// connection is established: several round trips between data centres.
const OVERLAP: Duration = Duration::from_millis(200);

/// Sends frames to peers.
pub trait PeerTransport {
    /// Sends a frame to an `ip:port` without waiting, or drops it.
    fn send(&mut self, address: &str, frame: &PeerFrame);

    /// Closes the connections to all addresses except these.
    fn keep_only(&mut self, addresses: &BTreeSet<String>);

    /// Closes all sockets.
    fn close(self: Box<Self>);
}

/// Counters of a transport, shared with the metrics.
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
    /// Received frames that cannot be decoded.
    pub unreadable: AtomicU64,
    /// Received frames that were dropped because too many bytes wait for the node.
    pub refused: AtomicU64,
    /// Number of times that a peer was redialed.
    pub redialed: AtomicU64,
}

/// Transport over nng's publish and subscribe sockets, with one publisher per peer.
///
/// Push and pull sockets would fit better, but the push socket of nng 1.4.0-rc.0 puts a closed connection back on its
/// list when a send completes late, and aborts the process at the next send.
pub struct NngTransport {
    listener: Socket,
    peers: BTreeMap<String, PeerSocket>,
    activity: SharedActivity,
    pending: PendingAnswers,
    counts: Arc<TransportCounts>,
}

/// The socket for sending frames to one peer.
struct PeerSocket {
    socket: Socket,
    /// When `socket` was dialed.
    dialed: Moment,
    /// The socket before the last redial, used while the new one connects. It is closed by the first send after
    /// [`OVERLAP`] or by the next redial.
    previous: Option<Socket>,
}

impl PeerSocket {
    /// Dials a peer and keeps the previous socket, where there is one.
    fn dial(address: &str, previous: Option<Socket>) -> Result<PeerSocket, nng::Error> {
        Ok(PeerSocket { socket: dial(address)?, dialed: Moment::now(), previous })
    }

    /// Sends bytes on the current socket and on the previous one. Returns whether either accepted them.
    fn send(&mut self, bytes: &[u8]) -> bool {
        if let Some(previous) = self.previous.take_if(|_| self.dialed.elapsed() >= OVERLAP) {
            previous.close();
        }
        // A frame may arrive twice without harm.
        let sent_on_previous =
            self.previous.as_ref().is_some_and(|socket| socket.try_send(bytes).is_ok());
        self.socket.try_send(bytes).is_ok() || sent_on_previous
    }

    fn close(&self) {
        self.socket.close();
        if let Some(previous) = &self.previous {
            previous.close();
        }
    }
}

impl NngTransport {
    /// Listens on `ip:port`. A separate thread sends the received frames to `frames`, because nng's calls must not
    /// block the arbiter; those that `waiting` refuses are dropped. A peer is redialed by the rules of
    /// [`PeerActivity`], with `dead_after` as the limit.
    ///
    /// # Errors
    /// Returns nng's error where the address cannot be bound.
    pub fn listen(
        address: &str,
        dead_after: Duration,
        frames: UnboundedSender<ReceivedFrame>,
        waiting: WaitingFrames,
        counts: Arc<TransportCounts>,
    ) -> Result<NngTransport, nng::Error> {
        let listener = Socket::new(Protocol::Sub0)?;
        listener.set_opt::<RecvMaxSize>(FRAME_LIMIT)?;
        listener.set_opt::<RecvBufferSize>(RECEIVE_QUEUE)?;
        listener.set_opt::<Subscribe>(Vec::new())?;
        listener.listen(&format!("tcp://{address}"))?;
        let activity = SharedActivity::new(Mutex::new(PeerActivity::new(dead_after)));
        let receiver = FrameReceiver {
            socket: listener.clone(),
            frames,
            waiting,
            activity: Arc::clone(&activity),
            counts: Arc::clone(&counts),
            refusal_logged: None,
        };
        std::thread::Builder::new()
            .name("peer-frames".to_string())
            .spawn(move || receiver.run())
            .map_err(|_| nng::Error::OutOfMemory)?;
        Ok(NngTransport {
            listener,
            peers: BTreeMap::new(),
            activity,
            pending: PendingAnswers::default(),
            counts,
        })
    }

    /// Returns the socket for a frame to an address, and dials or redials the peer where needed.
    fn socket(&mut self, address: &str, frame: &PeerFrame) -> Option<&mut PeerSocket> {
        let dialed = self.peers.get(address).map(|peer| peer.dialed);
        let needs_redial = {
            let activity = lock_activity(&self.activity);
            let (now, last) = (Moment::now(), activity.last(address));
            self.pending.sent(now, address, last, frame);
            let pending = self.pending.since(address, last);
            dialed.is_some_and(|dialed| {
                activity.needs_redial_with_pending(now, address, dialed, pending)
            })
        };
        if needs_redial || dialed.is_none() {
            self.dial(address);
        }
        self.peers.get_mut(address)
    }

    /// Dials a peer. Where it was dialed before, its socket becomes the previous one of the new [`PeerSocket`].
    fn dial(&mut self, address: &str) {
        let replaced = self.peers.remove(address);
        if let Some(previous) = replaced.as_ref().and_then(|peer| peer.previous.as_ref()) {
            previous.close();
        }
        let replaced = replaced.map(|peer| peer.socket);
        let is_redial = replaced.is_some();
        match PeerSocket::dial(address, replaced) {
            Ok(peer) => {
                if is_redial {
                    self.counts.redialed.fetch_add(1, Ordering::Relaxed);
                    debug!("peer_dialed_anew", kv: { address });
                }
                self.peers.insert(address.to_string(), peer);
            }
            // The next frame to this address dials again.
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
        lock_activity(&self.activity).keep_only(addresses);
        self.pending.keep_only(addresses);
    }

    fn close(self: Box<Self>) {
        for peer in self.peers.values() {
            peer.close();
        }
        self.listener.close();
    }
}

/// Opens a publisher socket and starts to connect it to an address.
fn dial(address: &str) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Pub0)?;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE)?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}
