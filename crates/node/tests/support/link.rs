//! A link into a daemon of limited bandwidth, shared evenly by its senders as by TCP connections.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use curlewcleat_core::PeerFrame;
use curlewcleat_peers::encode_frame;

/// Bytes that one sender may put on the link before the next sender: a packet.
const PACKET: usize = 1_460;

/// A frame in transit.
struct SentFrame {
    remaining_bytes: usize,
    frame: PeerFrame,
}

/// The link with the frames in transit to one daemon.
pub struct SlowLink {
    bytes_per_s: usize,
    /// Every how many frames one is lost, `None` if none is.
    pub loss_interval: Option<usize>,
    queues: BTreeMap<String, VecDeque<SentFrame>>,
    served_until: Duration,
    frames: usize,
    /// Bytes sent so far.
    pub sent_bytes: usize,
    /// Maximum of bytes in transit at one time.
    pub most_waiting: usize,
}

impl SlowLink {
    /// Returns a link of `rate` megabits per second.
    pub fn megabits(rate: usize) -> SlowLink {
        SlowLink {
            bytes_per_s: rate * 1_000_000 / 8,
            loss_interval: None,
            queues: BTreeMap::new(),
            served_until: Duration::ZERO,
            frames: 0,
            sent_bytes: 0,
            most_waiting: 0,
        }
    }

    pub fn send(&mut self, frame: PeerFrame) {
        let bytes = encode_frame(&frame).expect("a frame").len();
        self.frames += 1;
        self.sent_bytes += bytes;
        if self.loss_interval.is_some_and(|each| self.frames.is_multiple_of(each)) {
            return;
        }
        let queue = self.queues.entry(frame.from.vm.clone()).or_default();
        queue.push_back(SentFrame { remaining_bytes: bytes, frame });
        let waiting = self.queues.values().flatten().map(|sent| sent.remaining_bytes).sum();
        self.most_waiting = self.most_waiting.max(waiting);
    }

    /// Returns the frames that have arrived by `now`.
    pub fn arrived(&mut self, now: Duration) -> Vec<PeerFrame> {
        let time = now - std::mem::replace(&mut self.served_until, now);
        let mut bytes = (time.as_secs_f64() * self.bytes_per_s as f64) as usize;
        let mut frames = Vec::new();
        while bytes > 0 && !self.queues.is_empty() {
            for queue in self.queues.values_mut() {
                let Some(first) = queue.front_mut() else { continue };
                let served = first.remaining_bytes.min(PACKET).min(bytes);
                first.remaining_bytes -= served;
                bytes -= served;
                if first.remaining_bytes == 0 {
                    frames.extend(queue.pop_front().map(|sent| sent.frame));
                }
            }
            self.queues.retain(|_, queue| !queue.is_empty());
        }
        frames
    }
}
