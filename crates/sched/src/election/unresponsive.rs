//! Which scheduler is asked, where some do not answer?
//!
//! Inputs: the order of schedulers, those that did not answer lately and since when, those that did not
//! answer this very request. The rule: the first in the order that answered lately and was not asked
//! for this request; else the first that answered lately; else the first. One that did not answer is
//! passed over for `pass_over_for`, or, once a heartbeat of it arrives, for [`TIMEOUT_FACTOR`] times
//! the time that was waited for it: it may not have answered because nothing had reached it yet, but it
//! may be that nothing reaches it still.
//!
//! Owns: when each scheduler timed out. Relies on: its user for the clock.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{DaemonId, Uptime, VmId};

/// A scheduler of which a heartbeat arrives is passed over for this many times the time that was waited for it.
const TIMEOUT_FACTOR: u32 = 4;

/// Schedulers that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UnresponsiveSchedulers {
    /// Time for which one is passed over.
    pass_over_for: Duration,
    /// The same at least, where heartbeats of it arrive.
    at_least: Duration,
    since: BTreeMap<VmId, Uptime>,
}

impl UnresponsiveSchedulers {
    /// No scheduler is unresponsive yet; each is waited for `waited` before it becomes so.
    pub fn new(pass_over_for: Duration, waited: Duration) -> UnresponsiveSchedulers {
        let at_least = waited * TIMEOUT_FACTOR;
        UnresponsiveSchedulers { pass_over_for, at_least, since: BTreeMap::new() }
    }

    /// A scheduler did not answer in time.
    pub fn timed_out(&mut self, now: Uptime, scheduler: VmId) {
        self.since.insert(scheduler, now);
    }

    /// A scheduler has answered.
    pub fn answered(&mut self, scheduler: &VmId) {
        self.since.remove(scheduler);
    }

    /// A heartbeat of a daemon has arrived.
    pub fn heartbeat_received(&mut self, now: Uptime, vm: &VmId) {
        if self.since.get(vm).is_some_and(|since| now >= *since + self.at_least) {
            self.since.remove(vm);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Uptime) {
        let pass_over_for = self.pass_over_for;
        self.since.retain(|_, since| now < *since + pass_over_for);
    }

    /// The scheduler to ask, of candidates best first; `asked` did not answer for this request.
    pub fn choose(&self, now: Uptime, candidates: &[DaemonId], asked: &[VmId]) -> Option<VmId> {
        let responsive = |daemon: &&DaemonId| {
            let since = self.since.get(&daemon.vm);
            since.is_none_or(|since| now >= *since + self.pass_over_for)
        };
        let fresh = |daemon: &&DaemonId| responsive(daemon) && !asked.contains(&daemon.vm);
        let best = candidates.iter().find(fresh);
        let best = best.or(candidates.iter().find(responsive)).or(candidates.first());
        best.map(|daemon| daemon.vm.clone())
    }
}
