//! What the threads of the daemon share, and the way to the node.
//!
//! Owns: the configuration in force as the threads see it, the way to the node. Relies on: the node's
//! thread ending last.

use std::sync::{Arc, OnceLock, RwLock};
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_config::{DaemonSettings, FleetBounds};
use curlewcleat_core::{ActiveConfig, RequestId, WallTime};
use curlewcleat_node::{CallerDecision, NodeEvent, NodeStatus};
use curlewcleat_sched::{ReplacementStep, RequestSpec};
use tokio::sync::{mpsc, oneshot, watch};

use crate::metrics::DaemonMetrics;
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
        let context = self.clone();
        PendingRequest { request, decisions, unread: None, context, stalled: false, open: true }
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

/// The daemon's handle on a request that the node decides about. Dropped while open, it cancels the
/// request.
pub struct PendingRequest {
    request: RequestId,
    decisions: mpsc::UnboundedReceiver<CallerDecision>,
    /// A decision that was read and is still to be followed.
    unread: Option<CallerDecision>,
    context: DaemonContext,
    /// Whether its target is stalled and another one was asked for.
    stalled: bool,
    open: bool,
}

impl PendingRequest {
    /// The next decision, `None` while the process ends.
    pub async fn decision(&mut self) -> Option<CallerDecision> {
        match self.unread.take() {
            Some(decision) => Some(decision),
            None => self.decisions.recv().await,
        }
    }

    /// A decision that was read is the next one again.
    pub fn put_back(&mut self, decision: CallerDecision) {
        self.unread = Some(decision);
    }

    /// The node knows that the request has ended, or learns it from another event.
    pub fn close(mut self) {
        self.open = false;
    }

    /// Tells the node how the request ended.
    pub fn finish(self, event: NodeEvent) {
        self.context.tell(event);
        self.close();
    }

    /// The request that is decided about.
    pub fn id(&self) -> RequestId {
        self.request
    }

    /// The caller has a part of the answer.
    pub fn answer_begun(&self) {
        self.context.tell(NodeEvent::AnswerBegun(self.request));
    }

    /// Whether its target is stalled.
    pub fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// The target is stalled. A further decision follows only if another one is granted.
    pub fn target_stalled(&mut self) {
        self.stalled = true;
        self.tell_replacement(ReplacementStep::Wanted);
    }

    /// The target has sent something.
    pub fn target_heard(&mut self) {
        if std::mem::take(&mut self.stalled) {
            self.tell_replacement(ReplacementStep::Unwanted);
        }
    }

    /// The stalled target is left for the one that was granted.
    pub fn take_replacement(&mut self) {
        self.stalled = false;
        self.tell_replacement(ReplacementStep::Taken);
    }

    /// The target that was granted is not used.
    pub fn decline_replacement(&mut self) {
        self.tell_replacement(ReplacementStep::Declined);
    }

    /// The target that was granted takes no connection; the request stays at the stalled one.
    pub fn replacement_unreachable(&mut self) {
        self.tell_replacement(ReplacementStep::Unreachable);
    }

    fn tell_replacement(&self, step: ReplacementStep) {
        self.context.tell(NodeEvent::Replacement(self.request, step));
    }

    /// Tells the node that an attempt did not run; a further decision follows.
    pub fn not_run(
        &mut self,
        end: curlewcleat_core::AttemptEnd,
        retry: curlewcleat_core::RetryReason,
    ) {
        self.stalled = false;
        self.context.tell(NodeEvent::NotRun(self.request, end, retry));
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.open {
            self.context.metrics.caller_gone();
            self.context.tell(NodeEvent::Cancelled(self.request));
        }
    }
}
