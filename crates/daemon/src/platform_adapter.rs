//! The steps of a daemon that depend on its platform kind.
//!
//! Owns: the interface between the assembly and the platform kinds ([`FilesAdapter`](crate::FilesAdapter),
//! [`FleetAdapter`](crate::FleetAdapter)), and the node options that both kinds share.

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

/// Longest time for which an unreachable platform may delay a planned stop.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(30);

/// A step of the daemon's start or stop that runs on the daemon's own thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Connects a daemon to its platform kind.
pub trait PlatformAdapter {
    /// Returns the options of the node.
    fn node_options(
        &self,
        settings: &DaemonSettings,
        me: DaemonId,
        started: WallTime,
    ) -> NodeOptions;

    /// Binds the callers' and the operators' addresses.
    ///
    /// # Errors
    /// If one of them cannot be bound.
    fn serve<'a>(
        &'a self,
        context: &'a DaemonContext,
    ) -> LocalFuture<'a, Result<Box<dyn CallerServer>>>;

    /// Starts the tasks that follow the platform.
    ///
    /// # Errors
    /// If a signal handler cannot be installed.
    fn follow(&mut self, context: &DaemonContext, me: DaemonId) -> Result<()>;

    /// Makes a platform call that the node requests, or applies what the node reports for such calls.
    fn call(&self, context: &DaemonContext, call: PlatformCall);
}

/// Serves callers and operators.
pub trait CallerServer {
    /// Waits until the last bytes of finished answers have been sent, up to a limit, then stops.
    fn close(self: Box<Self>) -> LocalFuture<'static, ()>;
}

/// Returns the node options given by the settings.
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
        uses_stated_loads: settings.uses_stated_loads,
        shares_stream_forms: false,
        books_returns: settings.books_returns,
        request_limit: settings.request_limit,
        link_bytes_per_s: settings.link_kbit_per_s * 1_000 / 8,
        freshness: None,
        evacuation_limit: None,
        rollout: None,
        heartbeat_every: settings.beat,
        drain_grace: settings.drain_grace,
        hand_over_limit: HAND_OVER_LIMIT,
    }
}
