//! The conditions of a replay, and what it measures.

use std::time::Duration;

use curlewcleat_core::{TargetEntry, TargetPool, TargetStart};
use curlewcleat_sched::PoolOptions;

use super::POOL;

/// What callers request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// Records that take a second.
    Records,
    /// Streams that begin after 200 ms and take 2.2 s.
    Streams,
}

/// What fails halfway through a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A third of the entry daemons die and start again.
    EntryDaemonsDie,
    /// A third of the targets restart.
    TargetsRestart,
    /// Another daemon becomes the scheduler, which knows only the permits in use.
    SchedulerChanges,
}

/// A load and the conditions under which it is replayed.
#[derive(Clone, Copy, Debug)]
pub struct ReplayOptions {
    pub reuses_connections: bool,
    pub content: Content,
    /// Requested work relative to the slots.
    pub load: f64,
    pub entries: usize,
    pub targets: usize,
    pub slots: u32,
    /// Number of targets that take twice as long as the others.
    pub slow_targets: usize,
    /// Idle time after which a connection is closed.
    pub idle_limit: Duration,
    pub fault: Option<Fault>,
    pub seed: u64,
}

impl Default for ReplayOptions {
    fn default() -> ReplayOptions {
        ReplayOptions {
            reuses_connections: true,
            content: Content::Records,
            load: 0.3,
            entries: 30,
            targets: 60,
            slots: 6,
            slow_targets: 0,
            idle_limit: Duration::from_secs(15),
            fault: None,
            seed: 1,
        }
    }
}

/// What a replay measures.
#[derive(Clone, Debug, Default)]
pub struct ReplayResult {
    pub requests: u32,
    pub refused: u32,
    pub opened: u32,
    pub reused: u32,
    pub in_time: u32,
    /// Sum of the times from arrival to the end of the answer.
    pub time: Duration,
    /// Time of a slot in use, by target.
    pub work: Vec<Duration>,
    /// Highest number of requests in flight, by target.
    pub peak: Vec<u32>,
    /// The target of each granted request.
    pub grants: Vec<(u128, String)>,
}

impl ReplayResult {
    /// Returns the share of attempts that opened a connection.
    pub fn opened_share(&self) -> f64 {
        f64::from(self.opened) / f64::from((self.opened + self.reused).max(1))
    }

    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }

    pub fn mean_time(&self) -> Duration {
        self.time / (self.opened + self.reused).max(1)
    }
}

pub(super) fn pool_options(options: &ReplayOptions) -> PoolOptions {
    PoolOptions { reuses_connections: options.reuses_connections, ..PoolOptions::default() }
}

pub(super) fn pool(options: &ReplayOptions, starts: &[u64]) -> TargetPool {
    let entries = (0..options.targets).map(|target| {
        let id = target_id(target);
        let entry = TargetEntry {
            id: id.clone(),
            vm: id.clone(),
            slots: options.slots,
            start: Some(TargetStart(starts[target])),
            ..TargetEntry::default()
        };
        (id, entry)
    });
    TargetPool { id: POOL.to_string(), targets: entries.collect(), ..TargetPool::default() }
}

pub(super) fn target_id(target: usize) -> String {
    format!("t{target:03}")
}
