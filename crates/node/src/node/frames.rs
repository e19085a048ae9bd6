//! Packs messages to peers into frames.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: nothing; transports may lose or delay frames.

use curlewcleat_core::{PeerFrame, PeerMessage};

use super::Node;
use crate::event::NodeAction;

impl Node {
    /// Packs the outbox into frames that keep its order: a permit that is returned must not arrive behind the request for
    /// the next one.
    pub(super) fn flush(&mut self) {
        for (vm, messages) in std::mem::take(&mut self.outbox) {
            let Some(address) = self.members.address_of(&vm).map(str::to_string) else { continue };
            for messages in frames_of(messages) {
                let frame = PeerFrame { from: self.options.me.clone(), messages };
                self.actions.push(NodeAction::Send(address.clone(), frame));
            }
        }
    }
}

/// Returns the messages of each frame: some need a frame of their own.
fn frames_of(messages: Vec<PeerMessage>) -> Vec<Vec<PeerMessage>> {
    let mut frames: Vec<Vec<PeerMessage>> = Vec::new();
    let mut is_open = false;
    for message in messages {
        let is_alone = message.needs_own_frame();
        match frames.last_mut().filter(|_| is_open && !is_alone) {
            Some(frame) => frame.push(message),
            None => frames.push(vec![message]),
        }
        is_open = !is_alone;
    }
    frames
}
