//! Passes to the schedulers which targets are warming up.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: [`WarmUps`](crate::warm_ups::WarmUps) for the times.

use curlewcleat_core::DiscoveredTarget;

use super::Node;

impl Node {
    /// Records the warm-ups that list entries state. The view of the targets does not hold them, since they change with
    /// each heartbeat of a target.
    pub(super) fn take_warm_ups<'t>(
        &mut self,
        targets: impl Iterator<Item = &'t mut DiscoveredTarget>,
    ) {
        for target in targets {
            if let Some(remaining) = target.warm_up.take() {
                let (id, pool) = (target.entry.id.clone(), target.pool.clone());
                self.warm_ups.record(self.now, id, pool, remaining);
            }
        }
    }

    /// Applies the changed warm-ups in the schedulers.
    pub(super) fn apply_warm_ups(&mut self) {
        for change in self.warm_ups.take_changes() {
            if let Some(scheduler) = self.pools.get_mut(&change.pool) {
                scheduler.set_warm_up_rate(self.now, &change.target, change.rate);
            }
        }
    }

    /// Ends the warm-ups whose time has passed.
    pub(super) fn step_warm_ups(&mut self) {
        self.warm_ups.expire(self.now);
        self.apply_warm_ups();
    }
}
