//! Receives frames of peers on a separate thread.
//!
//! Owns: the receiving end of the listener. Relies on: nng, and [`WaitingFrames`] for what may wait.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::VmId;
use nng::{Pipe, Socket};
use spdlog::prelude::*;
use tokio::sync::mpsc::UnboundedSender;

use crate::activity::PeerActivity;
use crate::codec::decode_frame;
use crate::transport::TransportCounts;
use crate::waiting::{FrameRefused, ReceivedFrame, WaitingFrames};

/// Shortest time between two log lines about frames that were dropped because too many wait.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The frames that the receiving thread has recorded. A frame whose connection is not known has `None` as its
/// connection.
pub(crate) type SharedActivity = Arc<Mutex<PeerActivity<Option<Pipe>>>>;

/// Locks the recorded frames. A poisoned lock is used as well: each change is a single step, so a thread that panicked
/// leaves consistent state.
pub(crate) fn lock_activity(
    activity: &SharedActivity,
) -> MutexGuard<'_, PeerActivity<Option<Pipe>>> {
    activity.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Receives frames on a separate thread.
pub(crate) struct FrameReceiver {
    pub socket: Socket,
    pub frames: UnboundedSender<ReceivedFrame>,
    pub waiting: WaitingFrames,
    pub activity: SharedActivity,
    pub counts: Arc<TransportCounts>,
    /// When a dropped frame was last logged.
    pub refusal_logged: Option<Moment>,
}

impl FrameReceiver {
    /// Receives frames until the socket or the channel is closed.
    pub fn run(mut self) {
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
            lock_activity(&self.activity).record(Moment::now(), &frame, message.pipe());
            let sender = frame.from.vm.clone();
            match self.waiting.admit(frame, length) {
                Ok(frame) => {
                    if self.frames.send(frame).is_err() {
                        return;
                    }
                }
                Err(refused) => self.record_refusal(&sender, refused),
            }
        }
    }

    /// Counts a dropped frame and logs the first of a second.
    fn record_refusal(&mut self, sender: &VmId, refused: FrameRefused) {
        let dropped = self.counts.refused.fetch_add(1, Ordering::Relaxed) + 1;
        if self.refusal_logged.is_some_and(|logged| logged.elapsed() < REFUSAL_LOG_INTERVAL) {
            return;
        }
        self.refusal_logged = Some(Moment::now());
        warn!("peer_frame_refused", kv: {
            peer = sender.as_str(), bytes = refused.bytes, waiting_bytes = refused.waiting, dropped
        });
    }
}
