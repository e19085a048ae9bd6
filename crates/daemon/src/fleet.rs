//! The platform kind `fleet`: a daemon on a platform that stores the configuration and on which targets announce
//! themselves.
//!
//! Owns: the options by which the daemons of a fleet share readers, rates and one scheduler. Relies on: [`FleetPlatform`] for calls.

mod follow;
mod operator_answers;
mod read_signals;
mod reload;
mod unread_limit;

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Request;
use anyhow::Result;
use curlewcleat_clock::Moment;
use curlewcleat_config::{DaemonSettings, RolloutBounds};
use curlewcleat_core::{DaemonId, DaemonRecord, WallTime};
use curlewcleat_node::{FreshnessLimits, NodeOptions, PlatformCall};
use curlewcleat_sched::{EntryOptions, MemberOptions, RateMargin, RetryLimits, RolloutLimits};
use curlewcleat_store::FleetPlatform;
use spdlog::prelude::*;

pub use self::follow::EntryFaults;
use self::operator_answers::operator_answer;
pub use self::read_signals::ReadSignals;
use self::reload::SettingsReloader;
use self::unread_limit::unread_limit;
use crate::config_freshness::ConfigFreshness;
use crate::context::DaemonContext;
use crate::listen::{listen, ListenOptions};
use crate::platform_adapter::{node_options, CallerServer, LocalFuture, PlatformAdapter};
use crate::request::{ProfileProtocol, RequestService};
use crate::unwritten::UnwrittenCount;

/// Daemons whose start times fall into the same interval of this length count as equally old. It is shorter than the
/// time over which a joint restart of all daemons spreads, so that one of the first to start becomes the scheduler:
/// the others reach it first, because a connection to a VM that is still down is retried only one second later. With
/// an interval of four seconds, any of the daemons of equal capacity could become the scheduler as soon as it started.
/// The daemons that could not reach it yet refused 2,100 requests as `rate_unknown` in the two seconds after 78
/// daemons had terminated.
const START_GRANULARITY: Duration = Duration::from_millis(20);
/// Largest number of daemons with which each one sends every heartbeat to all others. The users' small deployments
/// have fewer daemons.
const MESH_LIMIT: usize = 12;
/// Time for passing the last bytes of answers to the kernel after the node has ended, and interval at which the daemon
/// then checks whether callers have read them.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the stop limit at which the process ends even if callers have not read all of their answers.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Time for which connections of operators may be idle.
const OPERATOR_IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Time for which connections of callers may be idle if the configuration does not set it.
const CALLER_IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Connects a daemon to a fleet's platform.
pub struct FleetAdapter {
    platform: Rc<dyn FleetPlatform>,
    signals: Rc<ReadSignals>,
    /// `None` once it has been started.
    reloader: Option<SettingsReloader>,
}

impl FleetAdapter {
    /// Creates the adapter for a platform; `path` is the file from which the settings were read.
    pub fn new(
        platform: Rc<dyn FleetPlatform>,
        settings: DaemonSettings,
        path: &Path,
    ) -> FleetAdapter {
        let reloader = Some(SettingsReloader::new(settings, path));
        FleetAdapter { platform, signals: Rc::default(), reloader }
    }
}

impl PlatformAdapter for FleetAdapter {
    fn node_options(
        &self,
        settings: &DaemonSettings,
        me: DaemonId,
        started: WallTime,
    ) -> NodeOptions {
        fleet_options(settings, node_options(settings, me), started)
    }

    fn serve<'a>(
        &'a self,
        context: &'a DaemonContext,
    ) -> LocalFuture<'a, Result<Box<dyn CallerServer>>> {
        Box::pin(async move {
            let unwritten = serve(context, self.platform.as_ref(), &self.signals.freshness).await?;
            let server = LocalServer { context: context.clone(), unwritten };
            Ok(Box::new(server) as Box<dyn CallerServer>)
        })
    }

    fn follow(&mut self, context: &DaemonContext, me: DaemonId) -> Result<()> {
        let settings = &context.settings;
        let record = DaemonRecord {
            daemon: me,
            address: settings.advertised_address.clone(),
            capacity: settings.capacity_percent,
        };
        let limits = freshness_limits(settings);
        let (platform, signals) = (Rc::clone(&self.platform), Rc::clone(&self.signals));
        follow::follow_fleet(platform, context.clone(), signals, limits, record);
        match self.reloader.take() {
            Some(reloader) => reloader.follow(context.clone()),
            None => Ok(()),
        }
    }

    fn call(&self, context: &DaemonContext, call: PlatformCall) {
        match call {
            PlatformCall::ConfigConfirmed(at) => {
                self.signals.freshness.confirm_by_peer(context.moment_of(at));
            }
            PlatformCall::StoreRefusal(report) => {
                follow::store_refusal(&self.platform, context, report);
            }
            PlatformCall::DropRefusal(feature) => {
                follow::drop_refusal(&self.platform, context, feature);
            }
            PlatformCall::ReadEvacuations => self.signals.request_evacuation_read(),
            PlatformCall::ReadRollouts => self.signals.request_rollout_read(),
            PlatformCall::WriteRollout(write) => {
                let signals = Rc::clone(&self.signals);
                let request_read = move || signals.request_rollout_read();
                follow::write_rollout(&self.platform, context, write, request_read);
            }
            PlatformCall::ReadVersionHistories => {
                follow::read_histories(&self.platform, context);
            }
            PlatformCall::WriteVersionHistory(history) => {
                follow::write_history(&self.platform, context, history);
            }
            PlatformCall::WriteStreamForms(pool, forms) => {
                follow::write_stream_forms(&self.platform, context, pool, forms);
            }
            PlatformCall::Read(role) => self.signals.set_read_role(role),
            // Requests carry ids of their own, so a fleet has no key table.
            PlatformCall::ProposeTable(..) | PlatformCall::ReadTable => {}
        }
    }
}

/// A server on the daemon's own thread; its listeners end with the process.
struct LocalServer {
    context: DaemonContext,
    unwritten: UnwrittenCount,
}

impl LocalServer {
    /// Returns whether the process has to end now: it would be killed before the next check.
    fn must_end_now(&self) -> bool {
        let stop_deadline = self.context.stop_deadline();
        stop_deadline.is_none_or(|stop_deadline| Moment::now() + STOP_MARGIN >= stop_deadline)
    }
}

impl CallerServer for LocalServer {
    fn close(self: Box<Self>) -> LocalFuture<'static, ()> {
        Box::pin(async move {
            tokio::time::sleep(FLUSH_INTERVAL).await;
            // A caller that reads slowly has not received all of its answer yet.
            while !self.unwritten.is_zero() && !self.must_end_now() {
                tokio::time::sleep(FLUSH_INTERVAL).await;
            }
            if !self.unwritten.is_zero() {
                warn!("answers_unread", kv: { connections = self.unwritten.get() });
            }
        })
    }
}

/// Returns the options of a fleet's node. Requests carry ids of their own and each one reaches a single daemon, so no
/// keys are stored.
fn fleet_options(
    settings: &DaemonSettings,
    options: NodeOptions,
    started: WallTime,
) -> NodeOptions {
    let retries = RetryLimits {
        percent: settings.bounds.retry_percent,
        extra: settings.bounds.retry_saved,
        shared: true,
        window: settings.bounds.retry_window,
    };
    let entry = EntryOptions { retries, ..options.entry };
    // The other half of the allowed excess is reserved for the moments in which two daemons schedule.
    let rate_margin = RateMargin {
        percent: settings.bounds.rate_percent / 2,
        units: settings.bounds.rate_slack / 2,
        window: settings.bounds.rate_window,
    };
    let started = started.as_millis() / START_GRANULARITY.as_millis();
    let started = u64::try_from(started).unwrap_or(u64::MAX);
    let members = MemberOptions { mesh_limit: MESH_LIMIT, started, ..options.members };
    NodeOptions {
        entry,
        rate_margin,
        members,
        one_scheduler: true,
        shares_stream_forms: true,
        key_slots: 0,
        freshness: Some(freshness_limits(settings)),
        evacuation_limit: settings.bounds.evacuation_limit,
        rollout: settings.bounds.rollout.map(rollout_limits),
        ..options
    }
}

/// Returns half of the limits that the platform allows: daemons that cannot reach each other may grant at the same
/// time.
fn rollout_limits(bounds: RolloutBounds) -> RolloutLimits {
    RolloutLimits { permille: bounds.share_permille / 2, slack: bounds.slack / 2 }
}

/// Returns the limits within which a change of the configuration, a leaving target and an evacuation become known in
/// time.
fn freshness_limits(settings: &DaemonSettings) -> FreshnessLimits {
    let bounds = &settings.bounds;
    let shorter = bounds.config_apply_limit.min(bounds.leave_limit);
    FreshnessLimits::within(bounds.evacuation_limit.map_or(shorter, |limit| limit.min(shorter)))
}

/// Binds the callers' and the operators' addresses. Returns the count of callers' connections with unwritten bytes.
async fn serve(
    context: &DaemonContext,
    platform: &dyn FleetPlatform,
    freshness: &Rc<ConfigFreshness>,
) -> Result<UnwrittenCount> {
    let settings = &context.settings;
    let callers = caller_options(context);
    let unwritten = callers.unwritten.clone();
    let operators = ListenOptions {
        idle_limit: Rc::new(|| OPERATOR_IDLE_LIMIT),
        unread_limit: Rc::new(|| None),
        body_limit: Rc::new(|| 0),
        unwritten: UnwrittenCount::default(),
        budget: None,
        ..callers.clone()
    };
    let profile = platform.profile().clone();
    let protocol = ProfileProtocol::new(context.clone(), profile, Rc::clone(freshness));
    let service = RequestService::new(context.clone(), Box::new(protocol));
    let serve_caller = move |request: Request| Rc::clone(&service).serve(request);
    listen("callers", &settings.caller_address, callers, serve_caller).await?;
    let context = context.clone();
    let freshness = Rc::clone(freshness);
    let serve_operator = move |request: Request| {
        let context = context.clone();
        let freshness = Rc::clone(&freshness);
        async move { operator_answer(context, freshness, request).await }
    };
    listen("operators", &settings.operator_address, operators, serve_operator).await?;
    Ok(unwritten)
}

/// Returns how the connections of callers are served.
fn caller_options(context: &DaemonContext) -> ListenOptions {
    let settings = &context.settings;
    let (caller_context, body_context) = (context.clone(), context.clone());
    ListenOptions {
        head_limit: settings.head_limit,
        idle_limit: Rc::new(move || {
            caller_context.config().idle_limit.unwrap_or(CALLER_IDLE_LIMIT)
        }),
        connection_limit: settings.connection_limit,
        unread_limit: unread_limit(context),
        body_limit: Rc::new(move || {
            let config = body_context.config();
            // Without rules no body is read.
            config.rules.iter().map(|rule| rule.body_limit as u64).max().unwrap_or(0)
        }),
        metrics: Arc::clone(&context.metrics),
        unwritten: UnwrittenCount::default(),
        budget: context.budget.clone(),
    }
}
