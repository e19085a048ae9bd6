//! The event loop of the daemon: passes events to the node on one thread and performs the node's actions.
//!
//! Owns: the node, and the channels that carry its decisions to the tasks of requests. Relies on: [`PlatformAdapter`]
//! for calls to the platform, the transport for frames to peers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use curlewcleat_clock::Moment;
use curlewcleat_core::{PeerFrame, PeerMessage, RequestId};
use curlewcleat_node::{CallerDecision, Node, NodeAction, NodeEvent, NodeNote};
use curlewcleat_peers::PeerTransport;
use spdlog::prelude::*;
use tokio::sync::mpsc;

use crate::context::{DaemonContext, NodeMessage};
use crate::node_notes::{log_node_note, log_stream_forms};
use crate::platform_adapter::PlatformAdapter;

/// Interval of the tick event: a fifth of the shortest latency objective of the users' requests.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the stop limit at which requests still in progress are logged: long enough to write the log line.
const STOP_WARNING_MARGIN: Duration = Duration::from_millis(500);
/// Time without an event after which the node gets a tick before the next event: its roles, permits and configuration
/// may have expired in the meantime. Several ticks, and shorter than any timeout of the node.
const TICK_FIRST_AFTER: Duration = Duration::from_millis(200);
/// Least difference between the two clocks that counts as a suspension: more than the time between reading one and
/// reading the other.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);
/// Most further messages handled before frames are sent and the clock is checked again.
const MAX_BATCH: usize = 256;

/// Passes events to the node and performs its actions.
pub struct NodeLoop {
    node: Node,
    context: DaemonContext,
    transport: Box<dyn PeerTransport>,
    /// Makes the platform calls that the node requests.
    adapter: Box<dyn PlatformAdapter>,
    decision_senders: BTreeMap<RequestId, mpsc::UnboundedSender<CallerDecision>>,
    /// Frames by peer address. Those of one batch are merged, except for messages that need a frame of their own.
    outgoing: BTreeMap<String, Vec<PeerFrame>>,
    /// When to log the requests that delay the planned stop; `None` while no stop is in progress.
    stop_warning_at: Option<Moment>,
    /// When the latest event arrived, by both clocks.
    last_event: (Moment, Instant),
    ended: bool,
}

impl NodeLoop {
    /// Creates the loop around a node.
    pub fn new(
        node: Node,
        context: DaemonContext,
        transport: Box<dyn PeerTransport>,
        adapter: Box<dyn PlatformAdapter>,
    ) -> NodeLoop {
        NodeLoop {
            node,
            context,
            transport,
            adapter,
            decision_senders: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            stop_warning_at: None,
            last_event: (Moment::now(), Instant::now()),
            ended: false,
        }
    }

    /// Runs until the planned stop is complete.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<NodeMessage>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.ended {
            tokio::select! {
                biased;
                _ = ticks.tick() => {
                    self.handle_event(NodeEvent::Tick);
                    self.send_frames();
                    self.log_unfinished_stop();
                }
                message = messages.recv() => {
                    let Some(message) = message else { break };
                    self.handle_message(message);
                    self.handle_batch(&mut messages);
                    self.send_frames();
                }
            }
        }
        self.transport.close();
    }

    fn handle_batch(&mut self, messages: &mut mpsc::UnboundedReceiver<NodeMessage>) {
        for _ in 0..MAX_BATCH {
            match messages.try_recv() {
                Ok(message) => self.handle_message(message),
                Err(_) => return,
            }
        }
    }

    fn handle_message(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::Event(event) => {
                if let NodeEvent::Finished(id, ..) | NodeEvent::CallerDisconnected(id) = &event {
                    self.decision_senders.remove(id);
                }
                self.handle_event(event);
            }
            NodeMessage::PeerFrame(frame) => {
                self.handle_event(NodeEvent::PeerFrameReceived(frame.close()));
            }
            NodeMessage::Admit(spec, sender) => {
                self.decision_senders.insert(spec.request, sender);
                self.handle_event(NodeEvent::Admit(spec));
            }
            NodeMessage::Apply(config, sender) => {
                self.handle_event(NodeEvent::ConfigDecoded(config));
                // The sender of the configuration may have stopped waiting.
                let _ = sender.send(());
            }
            // The receiver may have stopped waiting; that is no fault.
            NodeMessage::Status(sender) => drop(sender.send(self.node.status())),
            NodeMessage::RelayPeers(draw, sender) => {
                drop(sender.send(self.node.relay_peers(draw)));
            }
            NodeMessage::KnowsPeer(vm, ip, sender) => {
                // The connection that asked may have been closed.
                let _ = sender.send(self.node.knows_peer_at(&vm, ip));
            }
            NodeMessage::Config(sender) => drop(sender.send(self.node.config_bundle().cloned())),
        }
    }

    fn handle_event(&mut self, event: NodeEvent) {
        let (moment, instant) = (Moment::now(), Instant::now());
        let (last_moment, last_instant) =
            std::mem::replace(&mut self.last_event, (moment, instant));
        let elapsed = moment.saturating_duration_since(last_moment);
        let suspended = elapsed.saturating_sub(instant - last_instant);
        if suspended >= MIN_SUSPENSION {
            warn!("suspended", kv: { time_ms = suspended.as_millis() as i64 });
            self.context.announce_suspension(suspended);
        }
        if elapsed >= TICK_FIRST_AFTER && !matches!(event, NodeEvent::Tick) {
            self.apply_event(NodeEvent::Tick);
        }
        self.apply_event(event);
    }

    fn apply_event(&mut self, event: NodeEvent) {
        let actions = self.node.handle(self.context.uptime(), self.context.wall(), event);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: NodeAction) {
        match action {
            NodeAction::Send(address, frame) => self.queue_frame(address, frame),
            NodeAction::Decide(id, decision) => self.deliver_decision(id, decision),
            NodeAction::Platform(call) => self.adapter.call(&self.context, call),
            NodeAction::ConfigChanged => {
                self.context.set_config(self.node.config());
                self.transport.keep_only(&self.node.peer_addresses());
            }
            NodeAction::SetEvacuated(data_centres) => self.context.gate.set_evacuated(data_centres),
            NodeAction::ReadStreamTallies => {
                let tallies = self.context.forms.take_tallies();
                self.apply_event(NodeEvent::StreamTalliesRead(tallies));
            }
            NodeAction::SetStreamForms(forms, damaged) => {
                log_stream_forms(&self.context.forms.set_fleet_forms(forms, damaged));
            }
            NodeAction::Count(reason) => self.context.metrics.count_retry(reason),
            NodeAction::Note(note) => self.record_note(&note),
            NodeAction::End => self.ended = true,
        }
    }

    /// Logs and counts what the node reports to the operators.
    fn record_note(&mut self, note: &NodeNote) {
        if *note == NodeNote::DrainBegun {
            self.context.set_draining();
            let limit = self.context.bounds().stop_limit;
            self.stop_warning_at = Some(Moment::now() + limit.saturating_sub(STOP_WARNING_MARGIN));
        }
        let metrics = &self.context.metrics;
        match note {
            NodeNote::TargetTerminated(feature, _) if !feature.kind.is_shared() => {
                metrics.count_target_terminated();
            }
            NodeNote::RolloutStage(rollout, Some(reason)) => {
                metrics.count_rollout_stage(rollout.stage.code(), reason.code());
            }
            NodeNote::StreamTakenUp { source, .. } => metrics.count_stream_taken_up(source.code()),
            NodeNote::StreamStartRefused { obstacle, .. } => {
                metrics.count_stream_start_refused(obstacle.code());
            }
            _ => {}
        }
        log_node_note(note);
    }

    /// Logs the number of requests still in progress shortly before the stop limit. At that limit the process is
    /// killed, and these requests are cut off without log lines of their own.
    fn log_unfinished_stop(&mut self) {
        if self.stop_warning_at.is_some_and(|warning_at| Moment::now() >= warning_at) {
            self.stop_warning_at = None;
            warn!("stop_unfinished", kv: { requests = self.decision_senders.len() });
        }
    }

    /// Queues a frame, merged with the previous one to the same peer where both allow it.
    fn queue_frame(&mut self, address: String, frame: PeerFrame) {
        let needs_own_frame =
            |frame: &PeerFrame| frame.messages.iter().any(PeerMessage::needs_own_frame);
        let queued = self.outgoing.entry(address).or_default();
        match queued.last_mut().filter(|last| !needs_own_frame(last) && !needs_own_frame(&frame)) {
            Some(last) => last.messages.extend(frame.messages),
            None => queued.push(frame),
        }
    }

    fn send_frames(&mut self) {
        for (address, frames) in std::mem::take(&mut self.outgoing) {
            frames.iter().for_each(|frame| self.transport.send(&address, frame));
        }
    }

    fn deliver_decision(&mut self, id: RequestId, decision: CallerDecision) {
        let last = !matches!(decision, CallerDecision::Dispatch(..));
        let delivered =
            self.decision_senders.get(&id).is_some_and(|sender| sender.send(decision).is_ok());
        if last {
            self.decision_senders.remove(&id);
        } else if !delivered {
            self.context.send_event(NodeEvent::CallerDisconnected(id));
        }
    }
}
