//! Follows the platform of a fleet: configuration, targets, daemons. Outages only delay these.
//!
//! The node says whether this daemon reads the platform, or others read it on its behalf. No loop here
//! calls again without a pause, whatever the answer was; pauses after failures grow and carry jitter.
//!
//! Owns: the reads of the platform. Relies on: the node for whether this daemon reads.

mod peers;
#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::{Duration, Instant};

use curlewcleat_core::{DaemonRecord, Generation, ObjectVersion};
use curlewcleat_node::{FreshnessLimits, NodeEvent, ReadRole};
use curlewcleat_store::{ConfigRead, Error, FleetPlatform, ListAge, TargetWatch};
use rand::Rng;
use spdlog::prelude::*;
use tokio::sync::{watch, Notify};

use super::FleetLink;
use crate::back_off::{BackOff, BackOffOptions};
use crate::context::DaemonContext;

/// Longest pause of a daemon that reads for the others.
/// Chosen, not measured.
const READER_PAUSE: Duration = Duration::from_millis(800);
/// Longest pause of one that reads for itself because the others prove too little: where the platform
/// fails for all of them, the readers notice its return.
const FALLBACK_PAUSE: Duration = Duration::from_millis(2_400);
/// Daemons that begin to read for themselves together make their first reads within this time: the next ones
/// in the order have been asked by then, and where they can read no other has to. In an outage of five
/// seconds 18 daemons made 215 reads that failed. Chosen, not measured: half of the longest pause.
const FALLBACK_SPREAD: Duration = Duration::from_millis(1_200);
/// Pauses after failed calls. Chosen, not measured: daemons that fail together come back apart.
const BACK_OFF: BackOffOptions =
    BackOffOptions { first: Duration::from_millis(50), limit: FALLBACK_PAUSE, jitter: 0.5..=1.0 };
/// Least time between two calls of one loop.
/// Chosen, not measured.
const FLOOR: Duration = Duration::from_millis(50);
/// Watches within the time between two reads at most, so that consecutive changes arrive in one
/// answer.
const WATCHES_PER_READ: u32 = 2;
/// Longest wait of a watch.
/// Chosen, not measured.
const WATCH_LIMIT: Duration = Duration::from_secs(20);

/// What the tasks share.
struct FleetFollower {
    platform: Rc<dyn FleetPlatform>,
    context: DaemonContext,
    link: Rc<FleetLink>,
    limits: FreshnessLimits,
    /// Own reads that failed.
    failures: Cell<u64>,
    /// An own read has succeeded.
    read: Notify,
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
        failures: Cell::new(0),
        read: Notify::new(),
    });
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
        loop {
            if !std::mem::take(&mut first) && !until_own_read(&mut role).await {
                continue;
            }
            let sent = Instant::now();
            self.context.metrics.platform_call("read_config");
            match self.platform.read_config(known).await {
                Ok(read) => {
                    pause.reset();
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

    fn proved(&self, sent: Instant) {
        if self.link.freshness.is_failing() {
            info!("platform_regained", kv: { call = "read_config" });
        }
        self.link.freshness.prove(sent);
        self.context.tell(NodeEvent::PlatformRead(self.context.uptime_at(sent)));
        self.read.notify_waiters();
    }

    /// While this daemon reads: lists the targets, then watches; lists again when the history is gone
    /// or the watch may be deaf.
    async fn follow_targets(self: Rc<Self>) {
        let mut role = self.link.read_role();
        let mut pause = BackOff::new(BACK_OFF);
        // A new daemon needs some targets at once; what has changed lately it learns from a watch or a peer.
        let mut age = ListAge::Seconds;
        loop {
            if age == ListAge::Newest && !self.until_list(&mut role).await {
                continue;
            }
            self.context.metrics.platform_call("list_targets");
            match self.platform.list_targets(std::mem::replace(&mut age, ListAge::Newest)).await {
                Ok(list) => {
                    pause.reset();
                    self.context.tell(NodeEvent::TargetsListed(list.targets, list.revision));
                    tokio::select! {
                        _ = self.watch_targets(list.revision) => {}
                        _ = until_resting(&mut role) => {}
                    }
                }
                Err(error) => {
                    pause.failed("list_targets", &error, &self.context);
                    pause.wait_until(READER_PAUSE, pending()).await;
                }
            }
            // There is no use in listing while nothing can be read.
            if self.link.freshness.is_failing() {
                self.read.notified().await;
            }
            tokio::time::sleep(FLOOR).await;
        }
    }

    /// Watches until the list has to be read again.
    async fn watch_targets(&self, mut revision: ObjectVersion) {
        let mut pause = BackOff::new(BACK_OFF);
        let floor = self.limits.read_every / WATCHES_PER_READ;
        // A new daemon finds by then that others read for it.
        tokio::time::sleep(self.limits.read_every).await;
        loop {
            let begun = Instant::now();
            self.context.metrics.platform_call("watch_targets");
            let watch = self.platform.watch_targets(revision, WATCH_LIMIT);
            let watched = tokio::select! {
                watched = watch => watched,
                _ = self.outage() => return,
            };
            match watched {
                Ok(TargetWatch::Changes(changes, at)) => {
                    if changes.is_empty() {
                        after_quiet_watch(&mut pause, begun).await;
                    } else {
                        pause.reset();
                    }
                    let from = revision;
                    revision = at;
                    self.context.tell(NodeEvent::TargetsChanged { from, changes, at });
                }
                Ok(TargetWatch::HistoryGone) => return,
                Err(error) => {
                    self.context.metrics.platform_error("watch_targets");
                    debug!("platform_call_failed", kv: { call = "watch_targets", error = error.to_string() });
                    return;
                }
            }
            tokio::time::sleep(floor.saturating_sub(begun.elapsed())).await;
        }
    }

    /// Ends when an own read succeeds after one has failed; a watch that was open during the outage may
    /// deliver nothing more.
    async fn outage(&self) {
        let before = self.failures.get();
        while self.failures.get() == before {
            self.read.notified().await;
        }
    }

    /// Waits until the targets have to be listed again: at once by a reader, by others once a read of their own
    /// has succeeded. Returns whether that is so still.
    async fn until_list(&self, role: &mut watch::Receiver<ReadRole>) -> bool {
        until_reading(role).await;
        if *role.borrow() == ReadRole::Reader {
            return true;
        }
        tokio::select! {
            _ = self.read.notified() => *role.borrow() != ReadRole::Idle,
            _ = until_not_fallback(role) => false,
        }
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

/// A watch that delivers nothing should have waited; one that returned at once is repeated later and
/// later.
async fn after_quiet_watch(pause: &mut BackOff, begun: Instant) {
    if begun.elapsed() >= WATCH_LIMIT / 2 {
        return pause.reset();
    }
    pause.wait_until(READER_PAUSE, pending()).await;
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

/// Ends when others read the platform for this daemon.
async fn until_resting(role: &mut watch::Receiver<ReadRole>) {
    // The sender lives as long as the process.
    let _ = role.wait_for(|role| *role == ReadRole::Idle).await;
}
