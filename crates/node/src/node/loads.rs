//! Forwards what targets state of their load from the daemon that received it to the scheduler of their pool.
//!
//! Load pattern: a target answers many daemons many times a second, and its figure is worth little after a few hundred
//! milliseconds. The statements of a short interval are sent together, the latest of each target with its age. Nothing is
//! sent again or confirmed: a lost message is replaced by the next one, and until then the learned pace decides.
//!
//! Owns: the statements that are not sent yet. Relies on: [`LoadBelief`](curlewcleat_sched::LoadBelief) at the
//! scheduler, which ignores older statements.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    LoadReport, PeerMessage, PoolId, PoolLoads, StatedLoad, TargetInstance, Uptime, VmId,
};

use super::Node;

/// Minimum interval between two messages to the same scheduler: a third of the time in which a statement loses half of
/// its weight.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of statements in one interval, which bounds the message to about 10 kB.
const MAX_UNSENT: usize = 256;

/// The statements that this daemon has received since it last sent some.
#[derive(Clone, Debug, Default)]
pub(super) struct UnsentLoads {
    /// The latest statement of each target instance, and when it was received.
    loads: BTreeMap<(PoolId, TargetInstance), (StatedLoad, Uptime)>,
    last_sent: Uptime,
}

impl UnsentLoads {
    /// Records a statement. Beyond [`MAX_UNSENT`] targets it is dropped: another daemon, or the next answer, will bring a
    /// newer one.
    fn record(&mut self, pool: PoolId, instance: TargetInstance, load: StatedLoad, seen: Uptime) {
        let key = (pool, instance);
        if self.loads.len() >= MAX_UNSENT && !self.loads.contains_key(&key) {
            return;
        }
        self.loads.insert(key, (load, seen));
    }

    /// Returns the statements by pool if it is time to send them.
    fn take_due(&mut self, now: Uptime) -> Vec<PoolLoads> {
        if self.loads.is_empty() || now < self.last_sent + SEND_INTERVAL {
            return Vec::new();
        }
        self.last_sent = now;
        let mut pools: Vec<PoolLoads> = Vec::new();
        for ((pool, instance), (load, seen)) in std::mem::take(&mut self.loads) {
            let report = LoadReport::new(instance, load, now.saturating_sub(seen));
            match pools.last_mut().filter(|loads| loads.pool == pool) {
                Some(loads) => loads.loads.push(report),
                None => pools.push(PoolLoads { pool, loads: vec![report] }),
            }
        }
        pools
    }
}

impl Node {
    /// Handles what a target stated to this daemon: applies it if this daemon schedules the pool, and otherwise keeps it
    /// for the next message to the scheduler. A statement without a slowness changes no decision and is not forwarded, nor is any
    /// unless the settings ask for it.
    pub(super) fn load_stated(
        &mut self,
        pool: PoolId,
        instance: TargetInstance,
        load: StatedLoad,
        seen: Uptime,
    ) {
        if load.slowness_percent.is_none() || !self.options.uses_stated_loads {
            return;
        }
        match self.scheduler_of(&pool) {
            Some(vm) if vm == self.options.me.vm => {
                let report = LoadReport::new(instance, load, self.now.saturating_sub(seen));
                self.loads_received(&[PoolLoads { pool, loads: vec![report] }]);
            }
            Some(_) => self.unsent_loads.record(pool, instance, load, seen),
            // The pool is no longer configured.
            None => {}
        }
    }

    /// Sends the statements to the schedulers of their pools, in one message for each scheduler.
    pub(super) fn send_loads(&mut self) {
        let mut messages: BTreeMap<VmId, Vec<PoolLoads>> = BTreeMap::new();
        for loads in self.unsent_loads.take_due(self.now) {
            if let Some(vm) = self.scheduler_of(&loads.pool) {
                messages.entry(vm).or_default().push(loads);
            }
        }
        for (vm, pools) in messages {
            self.post(&vm, PeerMessage::TargetLoads(pools));
        }
    }

    /// Applies statements in the schedulers of their pools. They are used at the next grant, at the latest with the next
    /// tick.
    pub(super) fn loads_received(&mut self, pools: &[PoolLoads]) {
        if !self.options.uses_stated_loads {
            return;
        }
        let now = self.now;
        for loads in pools {
            // A scheduler is not created for a pool that this daemon does not know.
            let Some(scheduler) = self.pools.get_mut(&loads.pool) else { continue };
            loads.loads.iter().for_each(|report| scheduler.apply_stated_load(now, report));
        }
    }

    /// Returns the VM of the daemon that is first in the order of schedulers of a pool, `None` if the pool is unknown.
    fn scheduler_of(&self, pool: &PoolId) -> Option<VmId> {
        let order = self.scheduler_orders.get(pool)?;
        order.first().map(|daemon| daemon.vm.clone())
    }
}
