//! Decides whether this daemon connects to a target itself or through a peer, and which targets it tries again.
//!
//! Inputs: how this daemon's own connections to targets fare, what a peer found at a target that this daemon did not
//! reach, and whether anything arrives from targets that run its requests.
//!
//! The rules:
//! - A link to a target is lost if this daemon cannot connect to it while a peer can. Without the peer's result, a
//!   target that does not accept a connection counts as failed, not its link.
//! - All links count as lost, which is called a partition, once connections to [`PARTITION_AFTER_TARGETS`] different targets have
//!   failed and nothing has arrived from any target in between. One finding then serves all requests.
//! - If nothing arrives from any target for [`SILENT_AFTER`] while requests wait, the daemon tries new connections,
//!   since open ones may be dead without a sign.
//! - A lost link is tried again at intervals of [`PROBE_INTERVAL`], one target at a time. The first success ends a partition.
//! - The failures of a daemon that has lost its links say nothing about the targets.
//!
//! Owns: the lost links of this daemon. Relies on: its caller for connections and results.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use curlewcleat_core::Uptime;

/// Different targets whose connections have to fail before all links count as lost.
const PARTITION_AFTER_TARGETS: usize = 2;
/// Time without anything from any target, while requests wait, after which links are tried.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Time between two tries of lost links.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which broken connections to different targets count as one event.
const BREAK_WINDOW: Duration = Duration::from_millis(200);
/// Time for which something that arrived from a target shows that this daemon reaches targets.
const ACTIVITY_VALID: Duration = Duration::from_secs(1);
/// Time after which a lost link that no peer has confirmed again is no longer kept.
const LOST_LINK_RETENTION: Duration = Duration::from_secs(30);

/// `ip:port` of a target.
type TargetAddress = String;

/// How to connect to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetRoute {
    /// Directly, and through a peer if that fails.
    Direct,
    /// Through a peer, and directly if no peer can connect.
    Peer,
}

/// A change of the links that is reported to the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// All links are lost; connections to these targets have failed.
    Partitioned(Vec<String>),
    /// A target was reached again after a partition of this duration.
    PartitionEnded(Duration),
    /// The link to this target is lost.
    LinkLost(String),
    /// The link to this target works again.
    LinkRestored(String),
}

/// A link that is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LostLink {
    since: Uptime,
    /// When a peer last connected to the target.
    confirmed: Uptime,
    /// Whether the loss was reported to the operators by itself, and not only as part of a partition.
    is_reported: bool,
}

/// Requests that wait for a target on a direct connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WaitingRequests {
    count: usize,
    /// When the first of them began to wait.
    since: Uptime,
}

/// The links from this daemon to its targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetReach {
    lost: BTreeMap<TargetAddress, LostLink>,
    /// Since when all links count as lost, `None` if they do not.
    partitioned_since: Option<Uptime>,
    /// Targets to which connecting has failed since anything arrived from any target.
    failed: BTreeSet<TargetAddress>,
    waiting: BTreeMap<TargetAddress, WaitingRequests>,
    /// When anything last arrived from a target.
    last_activity: Uptime,
    /// The latest broken connection.
    last_break: Option<(Uptime, TargetAddress)>,
    next_probe: Uptime,
    /// The target that was tried last.
    last_probe: TargetAddress,
}

impl TargetReach {
    /// Returns how to connect to a target.
    pub fn route(&self, address: &str) -> TargetRoute {
        match self.lost_since(address) {
            Some(_) => TargetRoute::Peer,
            None => TargetRoute::Direct,
        }
    }

    /// Returns whether an open connection to a target that became idle at this time may be used. Connections that were
    /// idle when the link was lost may be dead.
    pub fn trusts_idle(&self, address: &str, idle_since: Uptime) -> bool {
        self.lost_since(address).is_none_or(|lost_since| idle_since > lost_since)
    }

    /// Returns whether all links count as lost.
    pub fn is_partitioned(&self) -> bool {
        self.partitioned_since.is_some()
    }

    /// Returns whether anything has arrived from any target recently, so that a connection that fails now is probably
    /// the fault of its target.
    pub fn has_recent_activity(&self, now: Uptime) -> bool {
        self.partitioned_since.is_none() && now < self.last_activity + ACTIVITY_VALID
    }

    /// Returns the number of targets whose links are known to be lost.
    pub fn lost_links(&self) -> usize {
        self.lost.len()
    }

    fn lost_since(&self, address: &str) -> Option<Uptime> {
        let link_since = self.lost.get(address).map(|link| link.since);
        link_since.into_iter().chain(self.partitioned_since).min()
    }

    /// Records a direct connection that was established.
    pub fn connected(&mut self, now: Uptime, address: &str) -> Vec<ReachChange> {
        self.activity(now);
        self.failed.clear();
        let mut changes = Vec::new();
        if let Some(since) = self.partitioned_since.take() {
            changes.push(ReachChange::PartitionEnded(now.saturating_sub(since)));
        }
        if let Some(link) = self.lost.remove(address) {
            if link.is_reported {
                changes.push(ReachChange::LinkRestored(address.to_string()));
            }
            // The other links have probably been restored with this one.
            self.next_probe = now;
        }
        changes
    }

    /// Records a direct connection that failed.
    pub fn connect_failed(&mut self, now: Uptime, address: &str) -> Option<ReachChange> {
        if self.failed.len() < PARTITION_AFTER_TARGETS {
            self.failed.insert(address.to_string());
        }
        if self.partitioned_since.is_some() || self.failed.len() < PARTITION_AFTER_TARGETS {
            return None;
        }
        self.partitioned_since = Some(now);
        self.next_probe = now + PROBE_INTERVAL;
        for address in &self.failed {
            let link = LostLink { since: now, confirmed: now, is_reported: false };
            self.lost.entry(address.clone()).or_insert(link);
        }
        Some(ReachChange::Partitioned(self.failed.iter().cloned().collect()))
    }

    /// Records that a peer has connected to a target that this daemon could not connect to, or did not try to because
    /// its link is lost.
    pub fn reached_by_peer(&mut self, now: Uptime, address: &str) -> Option<ReachChange> {
        let is_new = !self.lost.contains_key(address);
        let is_reported = is_new && self.partitioned_since.is_none();
        let link = LostLink { since: now, confirmed: now, is_reported };
        self.lost.entry(address.to_string()).or_insert(link).confirmed = now;
        if is_new && self.lost.len() == 1 {
            self.next_probe = now + PROBE_INTERVAL;
        }
        is_reported.then(|| ReachChange::LinkLost(address.to_string()))
    }

    /// Records that a request was sent to a target on a direct connection.
    pub fn request_sent(&mut self, now: Uptime, address: &str) {
        let none = WaitingRequests { count: 0, since: now };
        self.waiting.entry(address.to_string()).or_insert(none).count += 1;
    }

    /// Records that a request no longer waits for a target on a direct connection.
    pub fn request_ended(&mut self, address: &str) {
        if let Some(waiting) = self.waiting.get_mut(address) {
            waiting.count -= 1;
            if waiting.count == 0 {
                self.waiting.remove(address);
            }
        }
    }

    /// Records that something has arrived from a target on a direct connection.
    pub fn activity(&mut self, now: Uptime) {
        self.last_activity = now;
        if self.partitioned_since.is_none() {
            self.failed.clear();
        }
    }

    /// Records a direct connection that broke while a request waited for its answer. Returns whether the cause is
    /// probably the link of this daemon: it is lost, or connections to different targets have broken at the same time.
    pub fn broke(&mut self, now: Uptime, address: &str) -> bool {
        let last = self.last_break.replace((now, address.to_string()));
        let is_joint = last.is_some_and(|(at, other)| {
            other != address && now < at + BREAK_WINDOW && self.last_activity <= at
        });
        is_joint || self.lost_since(address).is_some()
    }

    /// Returns the targets to try now with a new direct connection.
    pub fn probes(&mut self, now: Uptime) -> Vec<TargetAddress> {
        if now < self.next_probe {
            return Vec::new();
        }
        self.lost.retain(|_, link| now < link.confirmed + LOST_LINK_RETENTION);
        if self.lost.is_empty() {
            self.partitioned_since = None;
            return self.silence_probes(now);
        }
        self.next_probe = now + PROBE_INTERVAL;
        let after = (Bound::Excluded(self.last_probe.as_str()), Bound::Unbounded);
        let next = self.lost.range::<str, _>(after).next().or(self.lost.iter().next());
        let next = next.map(|(address, _)| address.clone());
        if let Some(address) = &next {
            self.last_probe.clone_from(address);
        }
        next.into_iter().collect()
    }

    /// Returns targets that run requests, if no target has sent anything for [`SILENT_AFTER`].
    fn silence_probes(&mut self, now: Uptime) -> Vec<TargetAddress> {
        // Checked first, so that a busy daemon does not look at all targets each time.
        if now < self.last_activity + SILENT_AFTER {
            return Vec::new();
        }
        let first_since = self.waiting.values().map(|waiting| waiting.since).min();
        if first_since.is_none_or(|since| now < since + SILENT_AFTER) {
            return Vec::new();
        }
        self.next_probe = now + PROBE_INTERVAL;
        self.waiting.keys().take(PARTITION_AFTER_TARGETS).cloned().collect()
    }
}
