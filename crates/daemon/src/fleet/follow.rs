//! Follows the platform of a fleet: configuration, targets, daemons. Outages only delay these.
//!
//! The node says whether this daemon reads the platform, or others read it on its behalf. No loop here
//! calls again without a pause, whatever the answer was; pauses after failures grow and carry jitter.
//!
//! Owns: the reads of the platform. Relies on: the node for whether this daemon reads.

mod faults;
mod peers;
mod refusals;
mod rollouts;
mod targets;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{DaemonRecord, Generation, ObjectVersion, StoreEra};
use curlewcleat_node::{FreshnessLimits, NodeEvent, ReadRole};
use curlewcleat_store::{ConfigRead, Error, FleetPlatform, Result};
use rand::Rng;
use spdlog::prelude::*;
use tokio::sync::{watch, Notify};

use self::faults::EntryFaults;
pub use self::refusals::{drop_refusal, store_refusal};
pub use self::rollouts::write_rollout;
use super::FleetLink;
use crate::back_off::{BackOff, BackOffOptions};
use crate::context::DaemonContext;

/// Longest pause of a daemon that reads for the others.
const READER_PAUSE: Duration = Duration::from_millis(800);
/// Longest pause of one that reads for itself because the others prove too little: where the platform
/// fails for all of them, the readers notice its return.
const FALLBACK_PAUSE: Duration = Duration::from_millis(2_400);
/// Daemons that begin to read for themselves together make their first reads within this time: the next ones in the
/// order have been asked by then, and where they can read no other has to. In an outage of five seconds 18 daemons
/// made 215 reads that failed. Half of the longest pause.
const FALLBACK_SPREAD: Duration = Duration::from_millis(1_200);
/// Pauses after failed calls: daemons that fail together come back apart.
const BACK_OFF: BackOffOptions =
    BackOffOptions { first: Duration::from_millis(50), limit: FALLBACK_PAUSE, jitter: 0.5..=1.0 };
/// Least time between two calls of one loop.
const FLOOR: Duration = Duration::from_millis(50);
/// What the tasks share.
struct FleetFollower {
    platform: Rc<dyn FleetPlatform>,
    context: DaemonContext,
    link: Rc<FleetLink>,
    limits: FreshnessLimits,
    /// Era of the platform's store that was noted last.
    era: Cell<StoreEra>,
    /// Own reads that failed.
    failures: Cell<u64>,
    /// An own read has succeeded.
    read: Notify,
    /// Entries that name no target.
    target_faults: RefCell<EntryFaults>,
    /// Entries that record no daemon.
    daemon_faults: RefCell<EntryFaults>,
    /// Entries that keep no refused request.
    refusal_faults: RefCell<EntryFaults>,
    /// Entries that order no roll-out.
    rollout_faults: RefCell<EntryFaults>,
}

/// Starts the tasks on this arbiter.
pub fn follow_fleet(
    platform: Rc<dyn FleetPlatform>,
    context: DaemonContext,
    link: Rc<FleetLink>,
    limits: FreshnessLimits,
    record: DaemonRecord,
) {
    let follower = Rc::new(FleetFollower {
        platform,
        context,
        link,
        limits,
        era: Cell::new(0),
        failures: Cell::new(0),
        read: Notify::new(),
        target_faults: RefCell::default(),
        daemon_faults: RefCell::default(),
        refusal_faults: RefCell::default(),
        rollout_faults: RefCell::default(),
    });
    if follower.context.settings.bounds.rollout.is_some() {
        actix_rt::spawn(Rc::clone(&follower).follow_rollouts());
    }
    actix_rt::spawn(Rc::clone(&follower).follow_config());
    actix_rt::spawn(Rc::clone(&follower).follow_targets());
    actix_rt::spawn(follower.find_peers(record));
}

impl FleetFollower {
    /// Reads the configuration often enough to prove that it has not changed. The age of the proof
    /// counts from the sending of a read.
    async fn follow_config(self: Rc<Self>) {
        let mut role = self.link.read_role();
        let mut known: ObjectVersion = 0;
        // What was read last may not pass the checks; then the one in force is not the newest.
        let mut newest: Generation = 0;
        let mut pause = BackOff::new(BACK_OFF);
        // The first read is made in any case: a new daemon serves before it knows its peers.
        let mut first = true;
        let mut refusals_read = false;
        loop {
            if !std::mem::take(&mut first) && !until_own_read(&mut role).await {
                continue;
            }
            let sent = Moment::now();
            match self.read_config(known, &mut refusals_read).await {
                Ok(read) => {
                    pause.reset();
                    self.note_era();
                    if let ConfigRead::Changed(version, bundle) = read {
                        newest = bundle.generation;
                        self.context.apply(bundle).await;
                        known = version;
                    }
                    let in_force = self.context.config().generation >= newest;
                    if known > 0 && in_force {
                        self.proved(sent);
                    }
                    let every = time_between(*role.borrow(), in_force, self.limits.read_every);
                    tokio::time::sleep(every.saturating_sub(sent.elapsed())).await;
                }
                Err(error) => self.config_not_read(&mut role, &mut pause, &error).await,
            }
            tokio::time::sleep(FLOOR.saturating_sub(sent.elapsed())).await;
        }
    }

    /// Reads the configuration and, until that has succeeded once, the refused requests: a new daemon serves from its first
    /// configuration on, and knows by then what it has to refuse. Afterwards peers tell the rest.
    async fn read_config(
        &self,
        known: ObjectVersion,
        refusals_read: &mut bool,
    ) -> Result<ConfigRead> {
        self.context.metrics.platform_call("read_config");
        let read = self.platform.read_config(known);
        if *refusals_read {
            return read.await;
        }
        let (refusals, read) = tokio::join!(self.read_refusals(), read);
        *refusals_read = refusals || read.is_ok();
        read
    }

    /// A read has failed. Pauses, longer where others notice the platform's return, or until the role changes.
    async fn config_not_read(
        &self,
        role: &mut watch::Receiver<ReadRole>,
        pause: &mut BackOff,
        error: &Error,
    ) {
        self.link.freshness.fail();
        self.failures.set(self.failures.get() + 1);
        self.context.tell(NodeEvent::PlatformFailed);
        pause.failed("read_config", error, &self.context);
        let limit = match *role.borrow_and_update() {
            ReadRole::Reader => READER_PAUSE,
            ReadRole::Fallback | ReadRole::Idle => {
                pause.skip_to_longest();
                FALLBACK_PAUSE
            }
        };
        let changed = async { drop(role.changed().await) };
        pause.wait_until(limit, changed).await;
    }

    /// Logs that the platform's store has come back from an older copy.
    fn note_era(&self) {
        let era = self.platform.era();
        if era != self.era.replace(era) {
            warn!("store_era", kv: { era });
        }
    }

    fn proved(&self, sent: Moment) {
        if self.link.freshness.is_failing() {
            info!("platform_regained", kv: { call = "read_config" });
        }
        self.link.freshness.prove(sent);
        self.context.tell(NodeEvent::PlatformRead(self.context.uptime_at(sent)));
        self.read.notify_waiters();
    }
}

/// Time between two reads. Where the newest configuration does not pass the checks no daemon can prove the
/// one in force, so that all read; that it has been replaced the readers find out.
fn time_between(role: ReadRole, in_force: bool, read_every: Duration) -> Duration {
    match (role, in_force) {
        (ReadRole::Fallback | ReadRole::Idle, false) => FALLBACK_PAUSE.max(read_every),
        _ => read_every,
    }
}

/// Ends when this daemon has to read the platform.
async fn until_reading(role: &mut watch::Receiver<ReadRole>) {
    // The sender lives as long as the process.
    let _ = role.wait_for(|role| *role != ReadRole::Idle).await;
}

/// Waits until this daemon has to read the configuration. One that reads because the others prove too little
/// gives them some more time. Returns whether it has to read still.
async fn until_own_read(role: &mut watch::Receiver<ReadRole>) -> bool {
    until_reading(role).await;
    if *role.borrow() == ReadRole::Reader {
        return true;
    }
    let wait = FALLBACK_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
    tokio::time::timeout(wait, until_not_fallback(role)).await.is_err()
}

/// Ends when this daemon reads for the others, or they for it.
async fn until_not_fallback(role: &mut watch::Receiver<ReadRole>) {
    // The sender lives as long as the process.
    let _ = role.wait_for(|role| *role != ReadRole::Fallback).await;
}
