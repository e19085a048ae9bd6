//! A link out of a daemon of limited bandwidth, shared evenly by its receivers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use curlewcleat_core::PeerFrame;
use curlewcleat_peers::encode_frame;

/// Bytes sent to one receiver before the next receiver gets any: a packet.
const PACKET: usize = 1_460;

/// The link with the frames that one daemon is sending.
pub struct Uplink {
    bytes_per_s: usize,
    queues: BTreeMap<usize, VecDeque<(usize, PeerFrame)>>,
    served_until: Duration,
    /// Bytes sent so far.
    pub sent_bytes: usize,
    /// Maximum of bytes in transit at one time.
    pub most_waiting: usize,
}

impl Uplink {
    /// Returns a link of `rate` megabits per second.
    pub fn megabits(rate: usize, now: Duration) -> Uplink {
        Uplink {
            bytes_per_s: rate * 1_000_000 / 8,
            queues: BTreeMap::new(),
            served_until: now,
            sent_bytes: 0,
            most_waiting: 0,
        }
    }

    pub fn send(&mut self, to: usize, frame: PeerFrame) {
        let bytes = encode_frame(&frame).expect("a frame").len();
        self.sent_bytes += bytes;
        self.queues.entry(to).or_default().push_back((bytes, frame));
        let waiting = self.queues.values().flatten().map(|(bytes, _)| bytes).sum();
        self.most_waiting = self.most_waiting.max(waiting);
    }

    /// Returns the frames that have left by `now`, with their receivers.
    pub fn departed(&mut self, now: Duration) -> Vec<(usize, PeerFrame)> {
        let time = now - std::mem::replace(&mut self.served_until, now);
        let mut bytes = (time.as_secs_f64() * self.bytes_per_s as f64) as usize;
        let mut frames = Vec::new();
        while bytes > 0 && !self.queues.is_empty() {
            for (to, queue) in &mut self.queues {
                let Some((remaining, _)) = queue.front_mut() else { continue };
                let served = (*remaining).min(PACKET).min(bytes);
                *remaining -= served;
                bytes -= served;
                if *remaining == 0 {
                    frames.extend(queue.pop_front().map(|(_, frame)| (*to, frame)));
                }
            }
            self.queues.retain(|_, queue| !queue.is_empty());
        }
        frames
    }
}
