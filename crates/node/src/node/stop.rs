//! Performs the planned stop.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `DrainState` for when to end, `KeyHolder` for the key records
//! that are handed over to other daemons.

use std::time::Duration;

use curlewcleat_core::{DaemonId, PeerMessage};
use curlewcleat_sched::{DrainInput, DrainPhase};

use super::Node;
use crate::event::{NodeAction, NodeNote};

/// First wait for the acknowledgement of key records. A link of 10 Mbit/s carries 20,000 keys in this time; sent
/// again with each tick, they would fill it fifty times over.
pub(super) const HAND_OVER_ACK_WAIT: Duration = Duration::from_secs(1);

impl Node {
    pub(super) fn begin_drain(&mut self) {
        if self.drain.phase() == DrainPhase::Serving {
            self.drain.begin(self.now);
            self.members.set_draining();
            self.actions.push(NodeAction::Note(NodeNote::DrainBegun));
            self.last_heartbeat = None;
            self.review_roles();
            self.hand_over_streams();
        }
    }

    pub(super) fn step_drain(&mut self) {
        let before = self.drain.phase();
        let (requests, slots_held) = (self.requests_held(), self.key_holder.slots_held());
        let input = DrainInput { requests, slots_held };
        self.drain.tick(self.now, input);
        let phase = self.drain.phase();
        if phase == DrainPhase::Closing && self.hand_over_answer.begin(self.now) {
            let eligible: Vec<DaemonId> = self.eligible.clone();
            for (receiver, hand_over) in self.key_holder.hand_over(&eligible) {
                self.post(&receiver.vm, PeerMessage::KeyHandOver(hand_over));
            }
        }
        if before != phase {
            match phase {
                DrainPhase::Closing => {
                    self.hand_over_streams();
                    self.actions.push(NodeAction::Note(NodeNote::DrainClosing));
                }
                DrainPhase::Ended => self.actions.push(NodeAction::End),
                _ => {}
            }
        }
    }
}
