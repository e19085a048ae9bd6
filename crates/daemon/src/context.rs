//! State shared by the threads of the daemon, and the channel to the node.
//!
//! Owns: the threads' copy of the configuration in force, the rules before it, the bounds, the channel to the node.
//! Relies on: the node's thread ending last.

use std::net::IpAddr;
use std::rc::Rc;
use std::sync::{Arc, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_config::{DaemonSettings, FleetBounds, RouteHistory, TakenUpRoute};
use curlewcleat_core::{ActiveConfig, DaemonId, PoolId, TargetEntry, Uptime, VmId, WallTime};
use curlewcleat_node::{CallerDecision, NodeEvent, NodeStatus};
use curlewcleat_peers::ReceivedFrame;
use curlewcleat_sched::{RelayPeer, RequestSpec};
use curlewcleat_targets::AnswerIntake;
use tokio::sync::{mpsc, oneshot, watch};

use crate::answer_breaks::SharedBreaks;
use crate::byte_budget::SharedBudget;
use crate::metrics::DaemonMetrics;
use crate::pending::PendingRequest;
use crate::stream_forms::SharedForms;
use crate::target_notices::SharedGate;
use crate::target_reach::SharedReach;

/// A message to the thread of the node.
pub enum NodeMessage {
    /// An event for the node.
    Event(NodeEvent),
    /// A frame of a peer.
    PeerFrame(ReceivedFrame),
    /// A caller's request; the node's decisions about it go to the sender.
    Admit(Box<RequestSpec>, mpsc::UnboundedSender<CallerDecision>),
    /// A configuration read from the platform; the sender is notified once the node has handled it.
    Apply(Box<ActiveConfig>, oneshot::Sender<()>),
    /// A request for the node's status.
    Status(oneshot::Sender<NodeStatus>),
    /// A request for peers that may relay connections; the number selects where the list begins.
    RelayPeers(usize, oneshot::Sender<Vec<RelayPeer>>),
    /// A request whether the daemon of a VM is known at an IP number.
    KnowsPeer(VmId, IpAddr, oneshot::Sender<bool>),
    /// A request for the files of the configuration in force.
    Config(oneshot::Sender<Option<curlewcleat_core::ConfigBundle>>),
}

/// State shared by all threads of the daemon.
#[derive(Clone)]
pub struct DaemonContext {
    /// This daemon.
    pub daemon: DaemonId,
    /// Settings at the start of the process.
    pub settings: Arc<DaemonSettings>,
    /// Metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// Notices of targets.
    pub gate: SharedGate,
    /// Links to targets.
    pub reach: SharedReach,
    /// Forms of the streams of targets.
    pub forms: SharedForms,
    /// Pools whose targets break off answers.
    pub breaks: SharedBreaks,
    /// Bytes held for callers and targets; `None` without a memory limit.
    pub budget: Option<SharedBudget>,
    /// Configuration in force.
    config: Arc<RwLock<Arc<ActiveConfig>>>,
    /// Rules that were replaced or added a short time ago.
    routes: Arc<RwLock<RouteHistory>>,
    node: mpsc::UnboundedSender<NodeMessage>,
    /// When the planned stop began; empty before.
    draining: Arc<OnceLock<Moment>>,
    bounds: Arc<RwLock<FleetBounds>>,
    started: Moment,
    /// Notified after the machine was suspended: the timers of the runtime do not count that time.
    suspensions: Arc<watch::Sender<Duration>>,
}

impl DaemonContext {
    /// Creates a context whose messages go to `node`.
    pub fn new(
        daemon: DaemonId,
        settings: DaemonSettings,
        metrics: Arc<DaemonMetrics>,
        node: mpsc::UnboundedSender<NodeMessage>,
    ) -> DaemonContext {
        DaemonContext {
            daemon,
            budget: settings.memory_limit.map(SharedBudget::new),
            bounds: Arc::new(RwLock::new(settings.bounds.clone())),
            settings: Arc::new(settings),
            metrics,
            gate: SharedGate::default(),
            reach: SharedReach::default(),
            forms: SharedForms::default(),
            breaks: SharedBreaks::default(),
            config: Arc::default(),
            routes: Arc::default(),
            node,
            draining: Arc::default(),
            started: Moment::now(),
            suspensions: Arc::new(watch::Sender::new(Duration::ZERO)),
        }
    }

    /// Returns what bounds the undelivered bytes of answers; `None` without a memory limit.
    pub fn answer_intake(&self) -> Option<Rc<dyn AnswerIntake>> {
        let budget = self.budget.clone()?;
        Some(Rc::new(budget))
    }

    /// Returns the time since the process started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Notifies waiting tasks that the machine was suspended for this time.
    pub fn announce_suspension(&self, time: Duration) {
        self.suspensions.send_replace(time);
    }

    /// Waits until a moment, on time even if the machine is suspended meanwhile.
    pub async fn sleep_until(&self, moment: Moment) {
        let mut suspensions = self.suspensions.subscribe();
        loop {
            let remaining = moment.time_left();
            if remaining.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(remaining) => {}
                // The sender lives as long as this context.
                _ = suspensions.changed() => {}
            }
        }
    }

    /// Returns the uptime at an earlier moment.
    pub fn uptime_at(&self, moment: Moment) -> Duration {
        moment.saturating_duration_since(self.started)
    }

    /// Returns the moment of an uptime.
    pub fn moment_of(&self, uptime: Duration) -> Moment {
        self.started + uptime
    }

    /// Returns the wall-clock time.
    pub fn wall(&self) -> WallTime {
        // A clock before 1970 counts as 1970: wall time only orders starts and determines the age of keys.
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<ActiveConfig> {
        match self.config.read() {
            Ok(config) => Arc::clone(&config),
            Err(poisoned) => Arc::clone(&poisoned.into_inner()),
        }
    }

    /// Sets the configuration in force for new requests.
    pub fn set_config(&self, config: Arc<ActiveConfig>) {
        // Recorded first, so that no request finds the new rules without the ones that they replace.
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        routes.record_change(self.uptime(), &self.config(), &config);
        drop(routes);
        match self.config.write() {
            Ok(mut current) => *current = config,
            Err(poisoned) => *poisoned.into_inner() = config,
        }
    }

    /// Returns whether every rule that may have begun a stream since an uptime selects this pool for it.
    pub fn confirms_pool(
        &self,
        config: &ActiveConfig,
        since: Uptime,
        route: TakenUpRoute<'_>,
        pool: &PoolId,
    ) -> bool {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        routes.confirms_pool(config, since, route, pool)
    }

    /// Returns the bounds in force.
    pub fn bounds(&self) -> FleetBounds {
        match self.bounds.read() {
            Ok(bounds) => bounds.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    /// Sets the bounds in force.
    pub fn set_bounds(&self, bounds: FleetBounds) {
        match self.bounds.write() {
            Ok(mut current) => *current = bounds,
            Err(poisoned) => *poisoned.into_inner() = bounds,
        }
    }

    /// Records that the planned stop has begun.
    pub fn set_draining(&self) {
        // A second signal does not restart the planned stop.
        let _ = self.draining.set(Moment::now());
    }

    /// Returns whether the planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.get().is_some()
    }

    /// Returns when the process will be killed, or `None` if no planned stop has begun.
    pub fn stop_deadline(&self) -> Option<Moment> {
        Some(*self.draining.get()? + self.bounds().stop_limit)
    }

    /// Passes a configuration to the node and waits until the node has handled it.
    pub async fn apply(&self, config: ActiveConfig) {
        let (sender, receiver) = oneshot::channel();
        if self.node.send(NodeMessage::Apply(Box::new(config), sender)).is_ok() {
            // The node's thread ends last; a dropped sender means that the process is ending.
            let _ = receiver.await;
        }
    }

    /// Sends an event to the node.
    pub fn send_event(&self, event: NodeEvent) {
        // The node's thread ends last, so a closed channel means that the process is ending.
        let _ = self.node.send(NodeMessage::Event(event));
    }

    /// Passes a caller's request to the node.
    pub fn admit(&self, spec: RequestSpec) -> PendingRequest {
        let (sender, decisions) = mpsc::unbounded_channel();
        let request = spec.request;
        // If the node has ended, the dropped sender ends the request's wait for a decision.
        let _ = self.node.send(NodeMessage::Admit(Box::new(spec), sender));
        PendingRequest::new(request, decisions, self.clone())
    }

    /// Returns peers that may relay connections, none while the process is ending.
    pub async fn relay_peers(&self, draw: usize) -> Vec<RelayPeer> {
        let (sender, receiver) = oneshot::channel();
        if self.node.send(NodeMessage::RelayPeers(draw, sender)).is_err() {
            return Vec::new();
        }
        // The sender is dropped only while the process is ending.
        receiver.await.unwrap_or_default()
    }

    /// Returns whether the daemon of a VM is known at an IP number; `false` while the process is ending.
    pub async fn knows_peer_at(&self, vm: &VmId, ip: IpAddr) -> bool {
        let (sender, receiver) = oneshot::channel();
        if self.node.send(NodeMessage::KnowsPeer(vm.clone(), ip, sender)).is_err() {
            return false;
        }
        // The sender is dropped only while the process is ending.
        receiver.await.unwrap_or_default()
    }

    /// Returns the pool to which a target belongs in the configuration in force.
    pub fn pool_of(&self, target: &TargetEntry) -> Option<PoolId> {
        let config = self.config();
        let mut pools = config.pools.values();
        pools.find(|pool| pool.targets.contains_key(&target.id)).map(|pool| pool.id.clone())
    }

    /// Returns the node's status, or `None` while the process is ending.
    pub async fn status(&self) -> Option<NodeStatus> {
        let (sender, receiver) = oneshot::channel();
        self.node.send(NodeMessage::Status(sender)).ok()?;
        receiver.await.ok()
    }

    /// Returns the files of the configuration in force, or `None` if there is none or the process is ending.
    pub async fn config_bundle(&self) -> Option<curlewcleat_core::ConfigBundle> {
        let (sender, receiver) = oneshot::channel();
        self.node.send(NodeMessage::Config(sender)).ok()?;
        receiver.await.ok()?
    }
}
