//! The daemon on a platform that keeps the configuration itself and on which targets announce
//! themselves.

mod follow;
mod reload;

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use anyhow::{Context, Result};
use curlewcleat_config::DaemonSettings;
use curlewcleat_core::{DaemonId, Incarnation, WallTime};
use curlewcleat_node::{FreshnessLimits, Node, NodeOptions, ReadDuty};
use curlewcleat_peers::TransportCounts;
use curlewcleat_sched::{EntryOptions, MemberOptions, RateMargin, RetryLimits};
use curlewcleat_store::{DaemonRecord, FleetPlatform};
use spdlog::prelude::*;
use tokio::sync::{mpsc, watch};

use self::reload::SettingsReloader;
use crate::brain::BrainLoop;
use crate::config_proof::ConfigProof;
use crate::context::DaemonContext;
use crate::listen::{listen, ListenOptions};
use crate::metrics::DaemonMetrics;
use crate::operators::serve_operator;
use crate::request::{ProfileProtocol, RequestService};
use crate::run::{listen_for_peers, node_options, watch_signals};

/// Daemons that are born within this time of each other count as equally old.
const BORN_TOGETHER: Duration = Duration::from_secs(4);
/// Daemons up to which each sends every heartbeat to all others.
const MESH_LIMIT: usize = 12;
/// Time for the last bytes of answers to leave after the node has ended.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Time for which connections of operators may rest.
const OPERATOR_IDLE: Duration = Duration::from_secs(15);
/// Time for which connections of callers may rest where the configuration does not say.
const CALLER_IDLE: Duration = Duration::from_secs(60);

/// What the node and the tasks that follow the platform tell each other.
pub struct FleetLink {
    /// How old the proof of the configuration is.
    pub proof: Rc<ConfigProof>,
    duty: watch::Sender<ReadDuty>,
}

impl Default for FleetLink {
    /// A daemon reads for itself until it knows that others do.
    fn default() -> FleetLink {
        FleetLink { proof: Rc::default(), duty: watch::Sender::new(ReadDuty::Reader) }
    }
}

impl FleetLink {
    /// Whether this daemon reads the platform, and changes of that.
    pub fn duty(&self) -> watch::Receiver<ReadDuty> {
        self.duty.subscribe()
    }

    /// From now on this daemon reads the platform, or others do for it.
    pub fn set_duty(&self, duty: ReadDuty) {
        self.duty.send_replace(duty);
    }
}

/// Runs a daemon of a fleet.
///
/// # Errors
/// Where an address cannot be bound.
pub fn run_fleet_daemon(
    settings: DaemonSettings,
    settings_path: &Path,
    platform: Box<dyn FleetPlatform>,
) -> Result<()> {
    let reloader = SettingsReloader::new(settings.clone(), settings_path);
    actix_rt::System::new().block_on(run(settings, reloader, Rc::from(platform)))
}

async fn run(
    settings: DaemonSettings,
    reloader: SettingsReloader,
    platform: Rc<dyn FleetPlatform>,
) -> Result<()> {
    let incarnation: Incarnation = rand::random();
    let counts = Arc::new(TransportCounts::default());
    let metrics = Arc::new(DaemonMetrics::new(Arc::clone(&counts)).context("metrics")?);
    let (brain, messages) = mpsc::unbounded_channel();
    let context = DaemonContext::new(settings.clone(), metrics, brain.clone());
    let link = Rc::new(FleetLink::default());
    let transport = listen_for_peers(&settings, counts, brain)?;
    let node = Node::new(fleet_options(&settings, incarnation, context.wall()));
    serve(&settings, &context, &platform, &link.proof).await?;
    let me = DaemonId { vm: settings.vm.clone(), incarnation };
    let record = DaemonRecord { daemon: me, address: settings.advertised_address.clone() };
    let limits = freshness_limits(&settings);
    follow::follow_fleet(platform, context.clone(), Rc::clone(&link), limits, record);
    watch_signals(context.clone())?;
    reloader.follow(context.clone())?;
    info!("started", kv: { vm = settings.vm.as_str(), incarnation });

    BrainLoop::new(node, context, transport, None, Some(link)).run(messages).await;
    tokio::time::sleep(FLUSH_TIME).await;
    info!("ended", kv: { vm = settings.vm.as_str() });
    Ok(())
}

fn fleet_options(
    settings: &DaemonSettings,
    incarnation: Incarnation,
    born: WallTime,
) -> NodeOptions {
    let retries = RetryLimits {
        percent: settings.bounds.retry_percent,
        extra: settings.bounds.retry_saved,
        shared: true,
        window: settings.bounds.retry_window,
    };
    let options = node_options(settings, incarnation);
    let entry = EntryOptions { retries, ..options.entry };
    // Requests carry their own ids and each meets one daemon, so there are no keys to keep.
    // The other half of what may be exceeded is kept for the moments in which two daemons schedule.
    let rate_margin = RateMargin {
        percent: settings.bounds.rate_percent / 2,
        units: settings.bounds.rate_slack / 2,
        window: settings.bounds.rate_window,
    };
    let born = born.as_secs() / BORN_TOGETHER.as_secs();
    let members = MemberOptions { mesh_limit: MESH_LIMIT, born, ..options.members };
    NodeOptions {
        entry,
        rate_margin,
        members,
        one_scheduler: true,
        key_slots: 0,
        freshness: Some(freshness_limits(settings)),
        ..options
    }
}

/// Both a change of the configuration and a leaving target have to be known in their time.
fn freshness_limits(settings: &DaemonSettings) -> FreshnessLimits {
    let bounds = &settings.bounds;
    FreshnessLimits::within(bounds.config_apply_limit.min(bounds.leave_limit))
}

/// Binds the callers' and the operators' addresses.
async fn serve(
    settings: &DaemonSettings,
    context: &DaemonContext,
    platform: &Rc<dyn FleetPlatform>,
    proof: &Rc<ConfigProof>,
) -> Result<()> {
    let caller_context = context.clone();
    let callers = ListenOptions {
        head_limit: settings.head_limit,
        idle_limit: Rc::new(move || caller_context.config().idle_limit.unwrap_or(CALLER_IDLE)),
        connection_limit: settings.connection_limit,
    };
    let operators = ListenOptions { idle_limit: Rc::new(|| OPERATOR_IDLE), ..callers.clone() };
    let profile = platform.profile().clone();
    let protocol = ProfileProtocol::new(context.clone(), profile, Rc::clone(proof));
    let service = RequestService::new(context.clone(), Box::new(protocol));
    let serve_caller = move |request: Request| Rc::clone(&service).serve(request);
    listen("callers", &settings.caller_address, callers, serve_caller).await?;
    let context = context.clone();
    let proof = Rc::clone(proof);
    let serve_operator = move |request: Request| {
        let context = context.clone();
        let proof = Rc::clone(&proof);
        async move { operator_answer(context, proof, request).await }
    };
    listen("operators", &settings.operator_address, operators, serve_operator).await
}

/// The health check fails where requests with a key would be refused for want of proof.
async fn operator_answer(
    context: DaemonContext,
    proof: Rc<ConfigProof>,
    request: Request,
) -> Response<BoxBody> {
    let limit = context.bounds().config_age_limit;
    let stale = limit.is_some_and(|limit| !proof.is_within(limit));
    if stale && request.path() == "/readyz" {
        return Response::with_body(
            StatusCode::SERVICE_UNAVAILABLE,
            BoxBody::new("configuration stale"),
        );
    }
    serve_operator(context, request).await
}
