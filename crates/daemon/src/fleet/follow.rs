//! Follows the configuration, targets, daemons and rollouts on the platform of a fleet. Outages only delay their
//! updates.
//!
//! The node decides whether this daemon reads the platform or others read it on its behalf. Each loop pauses between
//! two calls, whatever the answer; pauses after failures grow and have jitter.
//!
//! Owns: the reads of the platform. Relies on: the node for the read role of this daemon.

mod evacuations;
mod faults;
mod list_watch;
mod peers;
mod refusals;
mod rollouts;
mod stream_forms;
mod targets;
#[cfg(test)]
mod tests;
mod versions;
mod watch_check;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{ActiveConfig, DaemonRecord, Generation, ObjectVersion, StoreEra};
use curlewcleat_node::{FreshnessLimits, NodeEvent, ReadRole};
use curlewcleat_store::{ConfigAnswer, ConfigRead, Error, FleetPlatform, ListAge, Result};
use rand::Rng;
use spdlog::prelude::*;
use tokio::sync::{watch, Notify};

pub use self::faults::EntryFaults;
pub use self::refusals::{drop_refusal, store_refusal};
pub use self::rollouts::write_rollout;
pub use self::stream_forms::write_stream_forms;
pub use self::versions::{read_histories, write_history};
use super::ReadSignals;
use crate::back_off::{BackOff, BackOffOptions};
use crate::context::DaemonContext;

/// Longest pause after failures of a daemon that reads for the others.
const READER_PAUSE: Duration = Duration::from_millis(800);
/// Longest pause after failures of a daemon that reads for itself because the readers confirm the configuration too
/// rarely. If the platform fails for all daemons, the readers are the ones to notice its recovery.
const FALLBACK_PAUSE: Duration = Duration::from_millis(2_400);
/// Time over which daemons that begin to read for themselves together spread their first reads. By the end of it, the
/// next daemons in the order of readers have been requested to read; if they can, no other daemon has to. In an outage
/// of five seconds, 18 daemons made 215 failed reads. Half of the longest pause.
const FALLBACK_SPREAD: Duration = Duration::from_millis(1_200);
/// Pauses after failed calls. The jitter spreads the retries of daemons whose calls failed at the same time.
const BACK_OFF: BackOffOptions =
    BackOffOptions { first: Duration::from_millis(50), limit: FALLBACK_PAUSE, jitter: 0.5..=1.0 };
/// Shortest time between two calls of one loop.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);

/// State shared by the tasks that follow the platform.
struct FleetFollower {
    platform: Rc<dyn FleetPlatform>,
    context: DaemonContext,
    signals: Rc<ReadSignals>,
    limits: FreshnessLimits,
    /// Latest known era of the platform's store.
    era: Cell<StoreEra>,
    /// Number of failed reads of the configuration by this daemon.
    failures: Cell<u64>,
    /// Notified when this daemon has read the configuration and confirmed the one in force.
    read_succeeded: Notify,
    /// Latest version of the store that a read of the configuration has stated.
    store_version: watch::Sender<ObjectVersion>,
    /// Unusable list entries of targets.
    target_faults: RefCell<EntryFaults>,
    /// Unusable list entries of daemons.
    daemon_faults: RefCell<EntryFaults>,
    /// Unusable list entries of refused requests.
    refusal_faults: RefCell<EntryFaults>,
    /// Unusable list entries of rollouts.
    rollout_faults: RefCell<EntryFaults>,
    /// Unusable list entries of evacuations.
    evacuation_faults: RefCell<EntryFaults>,
}

/// The configuration that this daemon has read last.
#[derive(Clone, Copy, Debug, Default)]
struct KnownConfig {
    version: ObjectVersion,
    /// Its generation; the highest one if it is no configuration, so that none in force is the newest.
    newest: Generation,
}

/// Starts the tasks that follow the platform on this arbiter.
pub fn follow_fleet(
    platform: Rc<dyn FleetPlatform>,
    context: DaemonContext,
    signals: Rc<ReadSignals>,
    limits: FreshnessLimits,
    record: DaemonRecord,
) {
    let follower = Rc::new(FleetFollower {
        platform,
        context,
        signals,
        limits,
        era: Cell::new(0),
        failures: Cell::new(0),
        read_succeeded: Notify::new(),
        store_version: watch::Sender::new(0),
        target_faults: RefCell::default(),
        daemon_faults: RefCell::default(),
        refusal_faults: RefCell::default(),
        rollout_faults: RefCell::default(),
        evacuation_faults: RefCell::default(),
    });
    if follower.context.settings.bounds.rollout.is_some() {
        actix_rt::spawn(Rc::clone(&follower).follow_rollouts());
    }
    if follower.has_evacuations() {
        actix_rt::spawn(Rc::clone(&follower).follow_evacuations());
    }
    actix_rt::spawn(Rc::clone(&follower).follow_config());
    actix_rt::spawn(Rc::clone(&follower).follow_targets());
    actix_rt::spawn(follower.find_peers(record));
}

impl FleetFollower {
    /// Reads the configuration often enough to confirm that it has not changed. Its age counts from the sending of the
    /// latest confirming read.
    async fn follow_config(self: Rc<Self>) {
        let mut role = self.signals.read_role();
        let mut known = KnownConfig::default();
        let mut back_off = BackOff::new(BACK_OFF);
        // The first read is made in any role: a new daemon serves requests before it knows its peers.
        let mut first = true;
        let mut refusals_known = None;
        loop {
            if !std::mem::take(&mut first) && !wait_for_own_read(&mut role).await {
                continue;
            }
            let sent = Moment::now();
            let role_now = *role.borrow();
            match self.read_config(known.version, role_now, &mut refusals_known).await {
                Ok(answer) => {
                    back_off.reset();
                    self.log_new_era();
                    self.record_store_version(answer.store_version);
                    self.apply_config(answer.config, sent, &mut known).await;
                    let in_force = self.context.config().generation >= known.newest;
                    if known.version > 0 && in_force {
                        self.confirm_config(sent);
                    }
                    let interval = read_interval(*role.borrow(), in_force, self.limits.read_every);
                    tokio::time::sleep(interval.saturating_sub(sent.elapsed())).await;
                }
                Err(error) => self.record_failed_read(&mut role, &mut back_off, &error).await,
            }
            tokio::time::sleep(MIN_CALL_INTERVAL.saturating_sub(sent.elapsed())).await;
        }
    }

    /// Passes a configuration to the node, which was read by a call sent at `sent`.
    async fn apply_config(&self, read: ConfigRead, sent: Moment, known: &mut KnownConfig) {
        match read {
            ConfigRead::Absent | ConfigRead::Unchanged => {}
            ConfigRead::Changed(version, read) => {
                let is_first = known.version == 0;
                *known = KnownConfig { version, newest: read.config.generation };
                if is_first && has_streams(&read.config) {
                    stream_forms::read_stream_forms(&self.platform, &self.context);
                }
                self.context.send_event(NodeEvent::WarmUpLimitsRead(read.warm_up_limits));
                self.context.apply(read.config).await;
            }
            ConfigRead::Unusable(version, problem) => {
                *known = KnownConfig { version, newest: Generation::MAX };
                self.signals.freshness.record_unusable(sent);
                error!("config_invalid", kv: { generation = 0, problems = problem });
            }
        }
    }

    /// Reads the configuration and, until either read has succeeded, the refused requests and the evacuations: a new
    /// daemon serves from its first configuration on and has to know by then what to refuse and which targets not to
    /// use. Later changes come from peers. `refusals_known` is how old the refusals may be that were read.
    async fn read_config(
        &self,
        known: ObjectVersion,
        role: ReadRole,
        refusals_known: &mut Option<ListAge>,
    ) -> Result<ConfigAnswer> {
        self.context.metrics.count_platform_call("read_config");
        let read = self.platform.read_config(known);
        match (*refusals_known, role) {
            (None, _) => {
                let refusals = self.read_refusals(ListAge::SecondsOld);
                let (refusals, (), read) =
                    tokio::join!(refusals, self.read_evacuations_at_start(), read);
                *refusals_known = (refusals || read.is_ok()).then_some(ListAge::SecondsOld);
                read
            }
            (Some(ListAge::SecondsOld), ReadRole::Reader) => {
                let (refusals, read) = tokio::join!(self.read_refusals(ListAge::Newest), read);
                *refusals_known =
                    Some(if refusals { ListAge::Newest } else { ListAge::SecondsOld });
                read
            }
            _ => read.await,
        }
    }

    /// Records a failed read, then pauses until the next try or until the role changes. The pause is longer if this
    /// daemon is no reader: the readers notice the platform's recovery.
    async fn record_failed_read(
        &self,
        role: &mut watch::Receiver<ReadRole>,
        back_off: &mut BackOff,
        error: &Error,
    ) {
        self.signals.freshness.record_failure();
        self.failures.set(self.failures.get() + 1);
        self.context.send_event(NodeEvent::PlatformFailed);
        back_off.record_failure("read_config", error, &self.context);
        let limit = match *role.borrow_and_update() {
            ReadRole::Reader => READER_PAUSE,
            ReadRole::Fallback | ReadRole::Idle => {
                back_off.skip_to_longest();
                FALLBACK_PAUSE
            }
        };
        let changed = async { drop(role.changed().await) };
        back_off.wait_at_most(limit, changed).await;
    }

    /// Logs that the platform's store was restored from an older copy.
    fn log_new_era(&self) {
        let era = self.platform.era();
        if era != self.era.replace(era) {
            warn!("store_era", kv: { era });
        }
    }

    fn confirm_config(&self, sent: Moment) {
        if self.signals.freshness.is_failing() {
            info!("platform_regained", kv: { call = "read_config" });
        }
        self.signals.freshness.confirm(sent);
        self.context.send_event(NodeEvent::PlatformRead(self.context.uptime_at(sent)));
        self.read_succeeded.notify_waiters();
    }
}

/// Returns whether answers to requests of any rule are event streams.
fn has_streams(config: &ActiveConfig) -> bool {
    config.rules.iter().any(|rule| rule.service.streams)
}

/// Returns the time between two reads. If the newest configuration does not pass the checks, no daemon can confirm the
/// one in force, so all daemons read. Only the readers then read at the full rate, as they notice when it is replaced.
fn read_interval(role: ReadRole, in_force: bool, read_every: Duration) -> Duration {
    match (role, in_force) {
        (ReadRole::Fallback | ReadRole::Idle, false) => FALLBACK_PAUSE.max(read_every),
        _ => read_every,
    }
}

/// Waits until this daemon has to read the platform.
async fn wait_until_not_idle(role: &mut watch::Receiver<ReadRole>) {
    // The sender lives as long as the process.
    let _ = role.wait_for(|role| *role != ReadRole::Idle).await;
}

/// Waits until this daemon has to read the configuration. A daemon that is no reader waits for a further random time,
/// in which others may confirm the configuration. Returns whether it still has to read.
async fn wait_for_own_read(role: &mut watch::Receiver<ReadRole>) -> bool {
    wait_until_not_idle(role).await;
    if *role.borrow() == ReadRole::Reader {
        return true;
    }
    let wait = FALLBACK_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
    tokio::time::timeout(wait, wait_until_not_fallback(role)).await.is_err()
}

/// Waits until this daemon reads for the others, or the others for it.
async fn wait_until_not_fallback(role: &mut watch::Receiver<ReadRole>) {
    // The sender lives as long as the process.
    let _ = role.wait_for(|role| *role != ReadRole::Fallback).await;
}
