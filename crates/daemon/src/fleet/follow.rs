//! Follows the platform of a fleet: configuration, targets, daemons. Outages only delay these.
//!
//! No loop here calls again without a pause, whatever the answer was; pauses after failures grow and
//! carry jitter.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use curlewcleat_core::{DiscoveredTarget, Generation, ObjectVersion, TargetId};
use curlewcleat_node::NodeEvent;
use curlewcleat_platform::{
    ConfigRead, ConfigWatch, DaemonRecord, Error, FleetPlatform, TargetChange, TargetWatch,
};
use rand::Rng;
use spdlog::prelude::*;
use tokio::sync::Notify;

use crate::context::DaemonContext;
use crate::gateway::ConfigProof;

/// Reads within the age that the proof of the configuration may have.
const READS_PER_LIMIT: u32 = 3;
/// Reads that fail in a row before this daemon's view of the platform counts as old.
const STALE_READS: u32 = 2;
/// First pause after a failed call; doubles up to the limit.
const PAUSE_FIRST: Duration = Duration::from_millis(50);
const PAUSE_LIMIT: Duration = Duration::from_millis(800);
/// Least time between two calls of one loop.
const FLOOR: Duration = Duration::from_millis(50);
/// Longest wait of a watch.
const WATCH_LIMIT: Duration = Duration::from_secs(20);

/// What the tasks share.
struct FleetFollower {
    platform: Rc<dyn FleetPlatform>,
    context: DaemonContext,
    proof: Rc<ConfigProof>,
    /// The platform is reachable again after a failure.
    regained: Notify,
    /// The configuration may have changed.
    config_news: Notify,
    /// Revision up to which the configuration is known.
    revision: Cell<ObjectVersion>,
}

/// Starts the tasks on this arbiter.
pub fn follow_fleet(
    platform: Rc<dyn FleetPlatform>,
    context: DaemonContext,
    proof: Rc<ConfigProof>,
    record: DaemonRecord,
) {
    let follower = Rc::new(FleetFollower {
        platform,
        context,
        proof,
        regained: Notify::new(),
        config_news: Notify::new(),
        revision: Cell::new(0),
    });
    actix_rt::spawn(Rc::clone(&follower).watch_config());
    actix_rt::spawn(Rc::clone(&follower).follow_config());
    actix_rt::spawn(Rc::clone(&follower).follow_targets());
    actix_rt::spawn(follower.find_peers(record));
}

impl FleetFollower {
    /// Reads the configuration when it may have changed, and often enough to prove that it has not. The
    /// age of the proof counts from the sending of a read.
    async fn follow_config(self: Rc<Self>) {
        let mut known: ObjectVersion = 0;
        // What was read last may not pass the checks; then the one in force is not the newest.
        let mut newest: Generation = 0;
        let mut pause = CallPause::default();
        loop {
            let every = self.proof_interval();
            let sent = Instant::now();
            match self.platform.read_config(known).await {
                Ok(state) => {
                    pause = CallPause::default();
                    self.revision.set(state.revision);
                    if let ConfigRead::Changed(version, bundle) = state.read {
                        newest = bundle.generation;
                        self.context.apply(bundle).await;
                        known = version;
                    }
                    if known > 0 && self.context.config().generation >= newest {
                        self.proved(sent);
                    }
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
            tokio::time::sleep(FLOOR).await;
            tokio::select! {
                _ = tokio::time::sleep(every.saturating_sub(sent.elapsed())) => {}
                _ = self.config_news.notified() => {}
            }
        }
    }

    /// Time between reads that prove the configuration. One read may fail without harm.
    fn proof_interval(&self) -> Duration {
        let bounds = self.context.bounds();
        let limit = bounds.config_age_limit.unwrap_or(bounds.config_apply_limit * READS_PER_LIMIT);
        (limit / READS_PER_LIMIT).min(bounds.config_apply_limit / 4 * 3)
    }

    /// Watches the configuration, so that a change is read at once.
    async fn watch_config(self: Rc<Self>) {
        let mut pause = CallPause::default();
        loop {
            let begun = Instant::now();
            match self.platform.watch_config(self.revision.get(), WATCH_LIMIT).await {
                Ok(ConfigWatch::Unchanged(revision)) => {
                    self.revision.set(revision.max(self.revision.get()));
                    pause.after_quiet_watch(begun).await;
                }
                Ok(ConfigWatch::ReadAgain) => {
                    self.config_news.notify_one();
                    // The read gives the revision to go on from; a history that is gone stays gone.
                    pause.wait().await;
                }
                Err(error) => {
                    pause.failed("watch_config", &error, &self.context).await;
                    self.config_news.notify_one();
                    // Reads go on meanwhile; there is no use in watching what cannot be read.
                    if self.proof.is_failing() {
                        self.regained.notified().await;
                    }
                }
            }
            tokio::time::sleep(FLOOR.saturating_sub(begun.elapsed())).await;
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
        let mut pause = CallPause::default();
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
                    if changes.is_empty() {
                        pause.after_quiet_watch(begun).await;
                    } else {
                        pause = CallPause::default();
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

    /// A watch that has nothing to tell should have waited; one that did not is asked again later and
    /// later.
    async fn after_quiet_watch(&mut self, begun: Instant) {
        if begun.elapsed() >= WATCH_LIMIT / 2 {
            *self = CallPause::default();
            return;
        }
        self.wait().await;
    }

    async fn failed(&mut self, call: &str, error: &Error, context: &DaemonContext) {
        context.metrics.platform_error(call);
        if self.next == PAUSE_FIRST {
            warn!("platform_call_failed", kv: { call, error = error.to_string() });
        }
        self.wait().await;
    }
}
