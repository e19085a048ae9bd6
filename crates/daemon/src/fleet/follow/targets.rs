//! Follows the targets that announce themselves: a list, then a watch from its revision on.
//!
//! Owns: nothing; these are methods of [`FleetFollower`]. Relies on: the node, which keeps the targets.

use std::future::pending;
use std::rc::Rc;
use std::time::{Duration, Instant};

use curlewcleat_core::{DiscoveredTarget, ObjectVersion, TargetChange};
use curlewcleat_node::{NodeEvent, ReadRole};
use curlewcleat_store::{EntryFault, FaultReason, ListAge, TargetList, TargetWatch};
use spdlog::prelude::*;
use tokio::sync::watch;

use super::{until_not_fallback, until_reading, FleetFollower, BACK_OFF, FLOOR, READER_PAUSE};
use crate::back_off::BackOff;

/// Watches within the time between two reads at most, so that consecutive changes arrive in one
/// answer.
const WATCHES_PER_READ: u32 = 2;
/// Longest wait of a watch.
const WATCH_LIMIT: Duration = Duration::from_secs(20);

/// What entries of targets are called in logs and metrics.
const ENTRY_KIND: &str = "target";

impl FleetFollower {
    /// While this daemon reads: lists the targets, then watches; lists again when the history is gone
    /// or the watch may be deaf.
    pub(super) async fn follow_targets(self: Rc<Self>) {
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
                    self.note_listed(&list);
                    info!("targets_listed", kv: {
                        at = list.revision, targets = list.targets.len(), faults = list.faults.len()
                    });
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
                Ok(TargetWatch::Changes(changes, at, faults)) => {
                    if changes.is_empty() {
                        after_quiet_watch(&mut pause, begun).await;
                    } else {
                        pause.reset();
                    }
                    let list_again = self.note_changed(&changes, faults);
                    let from = revision;
                    revision = at;
                    self.context.tell(NodeEvent::TargetsChanged { from, changes, at });
                    if list_again {
                        return;
                    }
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
    pub(super) async fn outage(&self) {
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

    /// Notes which entries of a list name no target.
    fn note_listed(&self, list: &TargetList) {
        let mut faults = list.faults.clone();
        faults.extend(self.of_unknown_services(list.targets.iter()));
        let news = self.target_faults.borrow_mut().listed(faults);
        news.report(ENTRY_KIND, &self.context.metrics);
    }

    /// Notes which entries among changes name no target. Returns whether the targets have to be listed again,
    /// since a change has come without the name of its target.
    fn note_changed(&self, changes: &[TargetChange], mut faults: Vec<EntryFault>) -> bool {
        let present = changes.iter().filter_map(|change| match change {
            TargetChange::Present(target) => Some(target),
            TargetChange::Gone(_) => None,
        });
        faults.extend(self.of_unknown_services(present));
        let ids = changes.iter().map(|change| match change {
            TargetChange::Present(target) => &target.entry.id,
            TargetChange::Gone(id) => id,
        });
        let news = self.target_faults.borrow_mut().changed(ids, faults);
        news.report(ENTRY_KIND, &self.context.metrics);
        news.has_nameless()
    }

    /// Faults of targets whose service the configuration in force does not name.
    fn of_unknown_services<'t>(
        &self,
        targets: impl Iterator<Item = &'t DiscoveredTarget>,
    ) -> Vec<EntryFault> {
        let config = self.context.config();
        // Before the first configuration no service is known.
        let known = |target: &DiscoveredTarget| {
            config.generation == 0 || config.pools.contains_key(&target.pool)
        };
        let unknown = targets.filter(|target| !target.pool.is_empty() && !known(target));
        let fault = |target: &DiscoveredTarget| EntryFault {
            name: target.entry.id.clone(),
            reason: FaultReason::Service,
            detail: target.pool.clone(),
        };
        unknown.map(fault).collect()
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

/// Ends when others read the platform for this daemon.
async fn until_resting(role: &mut watch::Receiver<ReadRole>) {
    // The sender lives as long as the process.
    let _ = role.wait_for(|role| *role == ReadRole::Idle).await;
}
