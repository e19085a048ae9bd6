//! What a platform kind adds to a daemon.
//!
//! Owns: the border between the assembly and the platform kinds ([`FilesParts`](crate::FilesParts),
//! [`FleetParts`](crate::FleetParts)), and the node's options that both share.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_config::DaemonSettings;
use curlewcleat_core::{DaemonId, WallTime};
use curlewcleat_keys::KeyHolderOptions;
use curlewcleat_node::{NodeOptions, PlatformCall};
use curlewcleat_sched::{EntryOptions, MemberOptions, RateMargin};

use crate::context::DaemonContext;

/// Time for which an unreachable platform may delay a planned stop.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(30);

/// A step of the daemon's start or stop, on its own thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// The parts of a daemon that depend on its platform kind.
pub trait PlatformParts {
    /// Options of the node.
    fn node_options(
        &self,
        settings: &DaemonSettings,
        me: DaemonId,
        started: WallTime,
    ) -> NodeOptions;

    /// Binds the callers' and the operators' addresses.
    ///
    /// # Errors
    /// Where one cannot be bound.
    fn serve<'a>(
        &'a self,
        context: &'a DaemonContext,
    ) -> LocalFuture<'a, Result<Box<dyn CallerServer>>>;

    /// Starts the tasks that follow the platform.
    ///
    /// # Errors
    /// Where a signal cannot be taken.
    fn follow(&mut self, context: &DaemonContext, me: DaemonId) -> Result<()>;

    /// Makes a call that the node wants made, or notes what it says about them.
    fn call(&self, context: &DaemonContext, call: PlatformCall);
}

/// What serves callers and operators.
pub trait CallerServer {
    /// Lets the last bytes of finished answers leave, then ends.
    fn close(self: Box<Self>) -> LocalFuture<'static, ()>;
}

/// Options of a node as the settings give them.
pub fn node_options(settings: &DaemonSettings, me: DaemonId) -> NodeOptions {
    NodeOptions {
        me,
        members: MemberOptions {
            address: settings.advertised_address.clone(),
            data_centre: settings.data_centre.clone(),
            seeds: settings.seeds.clone(),
            suspect_after: settings.suspect_after,
            mesh_limit: usize::MAX,
            capacity: settings.capacity_percent,
            started: 0,
        },
        keys: KeyHolderOptions {
            retention: settings.key_retention,
            key_limit: settings.key_limit,
            ..KeyHolderOptions::default()
        },
        key_slots: settings.key_slots,
        entry: EntryOptions {
            answer_timeout: settings.ask_limit,
            answer_tries: settings.ask_tries,
            ..EntryOptions::default()
        },
        rate_margin: RateMargin::default(),
        one_scheduler: false,
        age_per_work: settings.age_per_work,
        request_limit: settings.request_limit,
        link_bytes_per_s: settings.link_kbit_per_s * 1_000 / 8,
        freshness: None,
        rollout: None,
        heartbeat_every: settings.beat,
        drain_grace: settings.drain_grace,
        hand_over_limit: HAND_OVER_LIMIT,
    }
}
