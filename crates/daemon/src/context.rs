//! What the threads of the daemon share, and the way to the node.
//!
//! Owns: the configuration in force as the threads see it, the way to the node. Relies on: the node's
//! thread ending last.

use std::sync::{Arc, OnceLock, RwLock};
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_config::{DaemonSettings, FleetBounds};
use curlewcleat_core::{ActiveConfig, WallTime};
use curlewcleat_node::{CallerDecision, NodeEvent, NodeStatus};
use curlewcleat_sched::RequestSpec;
use tokio::sync::{mpsc, oneshot, watch};

use crate::metrics::DaemonMetrics;
use crate::pending::PendingRequest;
use crate::target_notices::SharedGate;

/// What reaches the thread of the node.
pub enum NodeMessage {
    /// An event for the node.
    Event(NodeEvent),
    /// A caller's request; its decisions go into the sender.
    Admit(Box<RequestSpec>, mpsc::UnboundedSender<CallerDecision>),
    /// A configuration as the platform shows it; the sender is notified when it is in force.
    Apply(curlewcleat_core::ConfigBundle, oneshot::Sender<()>),
    /// A request for the node's status.
    Status(oneshot::Sender<NodeStatus>),
    /// A request for the texts of the configuration in force.
    Config(oneshot::Sender<Option<curlewcleat_core::ConfigBundle>>),
}

/// Shared by all threads.
#[derive(Clone)]
pub struct DaemonContext {
    /// Settings.
    pub settings: Arc<DaemonSettings>,
    /// Metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// What the targets say of themselves.
    pub gate: SharedGate,
    /// Configuration in force.
    config: Arc<RwLock<Arc<ActiveConfig>>>,
    node: mpsc::UnboundedSender<NodeMessage>,
    /// When the planned stop began.
    draining: Arc<OnceLock<Moment>>,
    bounds: Arc<RwLock<FleetBounds>>,
    started: Moment,
    /// Told where the machine was suspended: timers of the runtime have not counted that time.
    suspended: Arc<watch::Sender<Duration>>,
}

impl DaemonContext {
    /// A context whose messages go into `node`.
    pub fn new(
        settings: DaemonSettings,
        metrics: Arc<DaemonMetrics>,
        node: mpsc::UnboundedSender<NodeMessage>,
    ) -> DaemonContext {
        DaemonContext {
            bounds: Arc::new(RwLock::new(settings.bounds.clone())),
            settings: Arc::new(settings),
            metrics,
            gate: SharedGate::default(),
            config: Arc::default(),
            node,
            draining: Arc::default(),
            started: Moment::now(),
            suspended: Arc::new(watch::Sender::new(Duration::ZERO)),
        }
    }

    /// Time since the process started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// The machine was suspended for this long.
    pub fn note_suspended(&self, time: Duration) {
        self.suspended.send_replace(time);
    }

    /// Waits until a moment, also where the machine is suspended meanwhile.
    pub async fn until(&self, moment: Moment) {
        let mut suspended = self.suspended.subscribe();
        loop {
            let left = moment.time_left();
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                // The sender lives as long as this context.
                _ = suspended.changed() => {}
            }
        }
    }

    /// The same at an earlier moment.
    pub fn uptime_at(&self, moment: Moment) -> Duration {
        moment.saturating_duration_since(self.started)
    }

    /// The moment of an uptime.
    pub fn moment_of(&self, uptime: Duration) -> Moment {
        self.started + uptime
    }

    /// Wall-clock time.
    pub fn wall(&self) -> WallTime {
        // A clock before 1970 counts as 1970: wall time only orders starts and ages keys.
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<ActiveConfig> {
        match self.config.read() {
            Ok(config) => Arc::clone(&config),
            Err(poisoned) => Arc::clone(&poisoned.into_inner()),
        }
    }

    /// Puts a configuration in force for new requests.
    pub fn set_config(&self, config: Arc<ActiveConfig>) {
        match self.config.write() {
            Ok(mut current) => *current = config,
            Err(poisoned) => *poisoned.into_inner() = config,
        }
    }

    /// The bounds in force.
    pub fn bounds(&self) -> FleetBounds {
        match self.bounds.read() {
            Ok(bounds) => bounds.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    /// Puts bounds in force.
    pub fn set_bounds(&self, bounds: FleetBounds) {
        match self.bounds.write() {
            Ok(mut current) => *current = bounds,
            Err(poisoned) => *poisoned.into_inner() = bounds,
        }
    }

    /// The planned stop has begun.
    pub fn set_draining(&self) {
        // A second signal begins no second stop.
        let _ = self.draining.set(Moment::now());
    }

    /// Whether the planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.get().is_some()
    }

    /// When whoever stops the process ends it, `None` where no stop has begun.
    pub fn stop_by(&self) -> Option<Moment> {
        Some(*self.draining.get()? + self.bounds().stop_limit)
    }

    /// Offers a configuration to the node and waits until it is in force, or a newer one.
    pub async fn apply(&self, bundle: curlewcleat_core::ConfigBundle) {
        let (sender, receiver) = oneshot::channel();
        if self.node.send(NodeMessage::Apply(bundle, sender)).is_ok() {
            // The node's thread ends last; a dropped sender means that the process is ending.
            let _ = receiver.await;
        }
    }

    /// Tells the node something.
    pub fn tell(&self, event: NodeEvent) {
        // The node's thread ends last, so a closed channel means that the process is ending.
        let _ = self.node.send(NodeMessage::Event(event));
    }

    /// Hands a request to the node.
    pub fn admit(&self, spec: RequestSpec) -> PendingRequest {
        let (sender, decisions) = mpsc::unbounded_channel();
        let request = spec.request;
        // Where the node has ended, the dropped sender tells the request so.
        let _ = self.node.send(NodeMessage::Admit(Box::new(spec), sender));
        PendingRequest::new(request, decisions, self.clone())
    }

    /// The node's status, `None` while the process ends.
    pub async fn status(&self) -> Option<NodeStatus> {
        let (sender, receiver) = oneshot::channel();
        self.node.send(NodeMessage::Status(sender)).ok()?;
        receiver.await.ok()
    }

    /// Texts of the configuration in force.
    pub async fn config_bundle(&self) -> Option<curlewcleat_core::ConfigBundle> {
        let (sender, receiver) = oneshot::channel();
        self.node.send(NodeMessage::Config(sender)).ok()?;
        receiver.await.ok()?
    }
}
