//! Options of a node.
//!
//! Owns: the options, which do not change during a run. Relies on: the settings of the daemon for their values.

use std::time::Duration;

use curlewcleat_core::DaemonId;
use curlewcleat_keys::KeyHolderOptions;
use curlewcleat_sched::{EntryOptions, MemberOptions, RateMargin, RolloutLimits};

use crate::freshness::FreshnessLimits;

/// Options of a [`Node`](super::Node).
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Identity of this daemon.
    pub me: DaemonId,
    /// Options of the membership view.
    pub members: MemberOptions,
    /// Options of the idempotency key store.
    pub keys: KeyHolderOptions,
    /// Slots of a key table that this node creates; 0 if the daemon keeps no keys.
    pub key_slots: u16,
    /// Options of request handling at the entry daemon.
    pub entry: EntryOptions,
    /// How far daemons together may exceed the rates that they share.
    pub rate_margin: RateMargin,
    /// Age that offsets one unit of work when the requests of an account are ordered.
    pub age_per_work: u64,
    /// Whether placement uses what targets state of their load.
    pub uses_stated_loads: bool,
    /// Whether daemons tell each other what the streams of targets look like.
    pub shares_stream_forms: bool,
    /// Whether the returns of refused requests are booked.
    pub books_returns: bool,
    /// Whether one daemon schedules all pools, so that it can enforce the rates that daemons share.
    pub one_scheduler: bool,
    /// Maximum number of requests in progress.
    pub request_limit: usize,
    /// Capacity of the link of this VM, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Age limits for the view of a platform that few daemons read on behalf of all, `None` if each daemon reads it.
    pub freshness: Option<FreshnessLimits>,
    /// Time within which an evacuation has to be in force, `None` if evacuations are not read.
    pub evacuation_limit: Option<Duration>,
    /// Limits on the share of a pool's requests that a version on trial may get, `None` if rollouts are off.
    pub rollout: Option<RolloutLimits>,
    /// Time between heartbeats.
    pub heartbeat_every: Duration,
    /// Time that the load balancer needs to notice a failing health check.
    pub drain_grace: Duration,
    /// Maximum time for which an unreachable platform may delay a planned stop.
    pub hand_over_limit: Duration,
}
