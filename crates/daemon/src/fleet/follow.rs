//! Follows the platform of a fleet: configuration, targets, daemons. Outages only delay these.
//!
//! No loop here calls again without a pause, whatever the answer was; pauses after failures grow and
//! carry jitter.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use curlewcleat_core::{DiscoveredTarget, ObjectVersion, TargetId};
use curlewcleat_node::NodeEvent;
use curlewcleat_platform::{
    ConfigRead, DaemonRecord, Error, FleetPlatform, TargetChange, TargetWatch,
};
use rand::Rng;
use spdlog::prelude::*;
use tokio::sync::Notify;

use crate::context::DaemonContext;
use crate::gateway::ConfigProof;

/// Time between reads of the configuration, in parts of the time in which it has to be in force.
const READS_PER_APPLY: u32 = 2;
/// Reads that fail in a row before this daemon's view of the platform counts as old.
const STALE_READS: u32 = 2;
/// First pause after a failed call; doubles up to the limit.
const PAUSE_FIRST: Duration = Duration::from_millis(50);
const PAUSE_LIMIT: Duration = Duration::from_millis(800);
/// Least time between two calls of one loop.
const FLOOR: Duration = Duration::from_millis(50);
/// Longest wait of a watch.
const WATCH_LIMIT: Duration = Duration::from_secs(10);

/// What the tasks share.
struct FleetFollower {
    platform: Rc<dyn FleetPlatform>,
    context: DaemonContext,
    proof: Rc<ConfigProof>,
    /// The platform is reachable again after a failure.
    regained: Notify,
}

/// Starts the tasks on this arbiter.
pub fn follow_fleet(
    platform: Rc<dyn FleetPlatform>,
    context: DaemonContext,
    proof: Rc<ConfigProof>,
    record: DaemonRecord,
) {
    let follower = Rc::new(FleetFollower { platform, context, proof, regained: Notify::new() });
    actix_rt::spawn(Rc::clone(&follower).follow_config());
    actix_rt::spawn(Rc::clone(&follower).follow_targets());
    actix_rt::spawn(follower.find_peers(record));
}

impl FleetFollower {
    /// Reads the configuration again and again. The proof of its age counts from the sending of a read.
    async fn follow_config(self: Rc<Self>) {
        let mut known: ObjectVersion = 0;
        let mut pause = CallPause::default();
        loop {
            let every = self.context.bounds().config_apply_limit / READS_PER_APPLY;
            let sent = Instant::now();
            match self.platform.read_config(known).await {
                Ok(ConfigRead::Absent) => pause.wait().await,
                Ok(ConfigRead::Unchanged) => self.proved(sent),
                Ok(ConfigRead::Changed(version, bundle)) => {
                    self.context.apply(bundle).await;
                    known = version;
                    self.proved(sent);
                }
                Err(error) => {
                    self.proof.fail();
                    if !self.proof.is_within(every * STALE_READS) {
                        self.context.tell(NodeEvent::PlatformStale(true));
                    }
                    pause.failed("read_config", &error, &self.context).await;
                    continue;
                }
            }
            pause = CallPause::default();
            tokio::time::sleep(every.saturating_sub(sent.elapsed()).max(FLOOR)).await;
        }
    }

    fn proved(&self, sent: Instant) {
        if self.proof.is_failing() {
            info!("platform_regained", kv: { call = "read_config" });
            self.context.tell(NodeEvent::PlatformStale(false));
            self.regained.notify_waiters();
        }
        self.proof.prove(sent);
    }

    /// Lists the targets, then watches; lists again when the history is gone or the watch may be deaf.
    async fn follow_targets(self: Rc<Self>) {
        let mut pause = CallPause::default();
        loop {
            match self.platform.list_targets().await {
                Ok(list) => {
                    pause = CallPause::default();
                    let named = list.targets.into_iter();
                    let mut targets: TargetMap =
                        named.map(|target| (target.entry.id.clone(), target)).collect();
                    self.tell_targets(&targets);
                    self.watch_targets(&mut targets, list.revision).await;
                }
                Err(error) => pause.failed("list_targets", &error, &self.context).await,
            }
            tokio::time::sleep(FLOOR).await;
        }
    }

    /// Watches until the list has to be read again.
    async fn watch_targets(&self, targets: &mut TargetMap, mut revision: ObjectVersion) {
        loop {
            let begun = Instant::now();
            let watch = self.platform.watch_targets(revision, WATCH_LIMIT);
            let watched = tokio::select! {
                watched = watch => watched,
                _ = self.regained.notified() => return,
            };
            match watched {
                Ok(TargetWatch::Changes(changes, at)) => {
                    revision = at;
                    if !changes.is_empty() {
                        changes.into_iter().for_each(|change| apply_change(targets, change));
                        self.tell_targets(targets);
                    }
                }
                Ok(TargetWatch::HistoryGone) => return,
                Err(error) => {
                    self.context.metrics.platform_error("watch_targets");
                    debug!("platform_call_failed", kv: { call = "watch_targets", error = error.to_string() });
                    return;
                }
            }
            tokio::time::sleep(FLOOR.saturating_sub(begun.elapsed())).await;
        }
    }

    fn tell_targets(&self, targets: &TargetMap) {
        self.context.tell(NodeEvent::TargetsRead(targets.values().cloned().collect()));
    }

    /// Records this daemon, then learns of the others; from then on they tell each other.
    async fn find_peers(self: Rc<Self>, record: DaemonRecord) {
        let mut pause = CallPause::default();
        while let Err(error) = self.platform.record_daemon(&record).await {
            pause.failed("record_daemon", &error, &self.context).await;
        }
        let mut pause = CallPause::default();
        loop {
            match self.platform.list_daemons().await {
                Ok(records) => {
                    let addresses = records.into_iter().map(|record| record.address).collect();
                    return self
                        .context
                        .tell(NodeEvent::PeersRecorded { addresses, complete: true });
                }
                Err(error) => pause.failed("list_daemons", &error, &self.context).await,
            }
        }
    }
}

type TargetMap = BTreeMap<TargetId, DiscoveredTarget>;

fn apply_change(targets: &mut TargetMap, change: TargetChange) {
    match change {
        TargetChange::Present(target) => {
            targets.insert(target.entry.id.clone(), target);
        }
        TargetChange::Gone(id) => {
            targets.remove(&id);
        }
    }
}

/// Pauses between calls, longer each time, with jitter.
struct CallPause {
    next: Duration,
}

impl Default for CallPause {
    fn default() -> CallPause {
        CallPause { next: PAUSE_FIRST }
    }
}

impl CallPause {
    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(PAUSE_LIMIT);
    }

    async fn failed(&mut self, call: &str, error: &Error, context: &DaemonContext) {
        context.metrics.platform_error(call);
        if self.next == PAUSE_FIRST {
            warn!("platform_call_failed", kv: { call, error = error.to_string() });
        }
        self.wait().await;
    }
}
