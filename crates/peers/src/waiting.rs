//! Bounds the received frames that wait for the node.
//!
//! A peer that sends without end, or a node that handles nothing for a while, must not fill the memory of the VM. Every
//! message may be lost without harm, so frames beyond the limit are dropped. A single sender may use a part of the limit
//! only, so that the frames of the others are still received.
//!
//! Owns: the bytes that wait, by sender. Relies on: receivers that release a frame once it is handled.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use curlewcleat_core::{PeerFrame, PeerMessage, VmId};

/// Part of the limit that the frames of one sender may use.
const SENDER_SHARE: u64 = 4;

/// The bytes of the frames that wait.
#[derive(Debug, Default)]
struct WaitingState {
    total: u64,
    senders: BTreeMap<VmId, u64>,
}

/// Counts the received frames that wait, shared by the receiving thread and the frames.
#[derive(Clone, Debug)]
pub struct WaitingFrames {
    /// Limit in bytes.
    limit: u64,
    state: Arc<Mutex<WaitingState>>,
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("peers: frame of {bytes} bytes beside {waiting} that wait")]
pub struct FrameRefused {
    /// Bytes that the frame needs.
    pub bytes: u64,
    /// Bytes of all frames that wait.
    pub waiting: u64,
}

impl WaitingFrames {
    /// Creates an empty count. A frame is dropped if it leads beyond `limit` bytes, or beyond its sender's part of them
    /// while others of this sender wait.
    pub fn new(limit: u64) -> WaitingFrames {
        WaitingFrames { limit, state: Arc::default() }
    }

    /// Counts a frame of `length` encoded bytes until it is handled.
    ///
    /// # Errors
    /// Returns [`FrameRefused`] if the frame must be dropped.
    pub fn admit(&self, frame: PeerFrame, length: u64) -> Result<ReceivedFrame, FrameRefused> {
        let bytes = memory_size(&frame, length);
        let mut state = self.lock();
        // Nothing waits from a sender that is not listed.
        let from_sender = state.senders.get(&frame.from.vm).copied().unwrap_or(0);
        let sender_is_full =
            from_sender > 0 && from_sender.saturating_add(bytes) > self.limit / SENDER_SHARE;
        // A frame of the largest size must be able to arrive on the smallest VM.
        let is_full = state.total > 0 && state.total.saturating_add(bytes) > self.limit;
        if sender_is_full || is_full {
            return Err(FrameRefused { bytes, waiting: state.total });
        }
        state.total += bytes;
        *state.senders.entry(frame.from.vm.clone()).or_default() += bytes;
        drop(state);
        let hold = FrameHold { frames: self.clone(), sender: frame.from.vm.clone(), bytes };
        Ok(ReceivedFrame { frame, hold })
    }

    /// Returns the bytes that wait.
    pub fn bytes(&self) -> u64 {
        self.lock().total
    }

    fn release(&self, sender: &VmId, bytes: u64) {
        let mut state = self.lock();
        state.total = state.total.saturating_sub(bytes);
        let Some(from_sender) = state.senders.get_mut(sender) else { return };
        *from_sender = from_sender.saturating_sub(bytes);
        if *from_sender == 0 {
            state.senders.remove(sender);
        }
    }

    /// A thread that panicked under the lock leaves sums that are off by one frame at most.
    fn lock(&self) -> MutexGuard<'_, WaitingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns about how many bytes a frame needs in memory: a message may be much larger than its encoding.
fn memory_size(frame: &PeerFrame, length: u64) -> u64 {
    length + (frame.messages.len() * size_of::<PeerMessage>()) as u64
}

/// A received frame, which counts as waiting until it is closed or dropped.
#[derive(Debug)]
pub struct ReceivedFrame {
    frame: PeerFrame,
    hold: FrameHold,
}

impl ReceivedFrame {
    /// Returns the frame, which no longer counts as waiting.
    pub fn close(self) -> PeerFrame {
        drop(self.hold);
        self.frame
    }
}

/// Bytes that are counted until this guard is dropped.
#[derive(Debug)]
struct FrameHold {
    frames: WaitingFrames,
    sender: VmId,
    bytes: u64,
}

impl Drop for FrameHold {
    fn drop(&mut self) {
        self.frames.release(&self.sender, self.bytes);
    }
}
