//! The way of frames between the daemons of a fleet.

use curlewcleat_core::PeerFrame;
use curlewcleat_node::NodeEvent;

use super::Fleet;

impl Fleet {
    /// The frame where it arrives at once; a slow link delivers it later.
    pub(super) fn delivery(
        &mut self,
        from: usize,
        to: &str,
        frame: PeerFrame,
    ) -> Option<(usize, NodeEvent)> {
        let port: usize = to.rsplit(':').next()?.parse().ok()?;
        let index = port.checked_sub(1_000).filter(|index| *index < self.daemons.len())?;
        let to = &self.daemons[index];
        if self.daemons[from].cut || to.cut || to.deaf {
            return None;
        }
        if let Some(uplink) = self.uplinks.get_mut(&from) {
            uplink.send(index, frame);
            return None;
        }
        self.into(index, frame)
    }

    /// The frame where its receiver has no slow link.
    fn into(&mut self, index: usize, frame: PeerFrame) -> Option<(usize, NodeEvent)> {
        match self.links.get_mut(&index) {
            Some(link) => {
                link.send(frame);
                None
            }
            None => Some((index, NodeEvent::Peer(frame))),
        }
    }

    pub(super) fn leave_late(&mut self, index: usize) {
        let Some(uplink) = self.uplinks.get_mut(&index) else { return };
        for (to, frame) in uplink.left(self.now) {
            if let Some((to, event)) = self.into(to, frame) {
                self.event(to, event);
            }
        }
    }

    pub(super) fn deliver_late(&mut self, index: usize) {
        let Some(link) = self.links.get_mut(&index) else { return };
        for frame in link.arrived(self.now) {
            self.event(index, NodeEvent::Peer(frame));
        }
    }
}
