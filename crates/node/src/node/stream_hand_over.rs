//! Hands over the streams that a daemon remembers when it stops by plan.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: keepers, which remember what is reported to them.

use super::streams::KEEPERS;
use super::Node;

/// Most streams that a planned stop hands over to each keeper at once: 120 KB.
const HAND_OVER_LIMIT: usize = 4_096;

impl Node {
    /// Reports to the keepers what this daemon remembers since it last did so, because it stops by plan. Another version may
    /// join after its end, and the keepers that knew of the streams reported to this one may have ended.
    pub(super) fn hand_over_streams(&mut self) {
        // The first time everything is reported.
        let since = self.streams.handed_over.replace(self.now).unwrap_or_default();
        let streams = self.streams.versions.streams_since(self.now, since, HAND_OVER_LIMIT);
        let keepers = self.first_schedulers(&self.all_pools_order, KEEPERS);
        self.report_streams(&keepers, &streams);
    }
}
