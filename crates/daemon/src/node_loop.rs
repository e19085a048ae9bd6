//! Drives the node: feeds it events on one thread and performs its actions.
//!
//! Owns: the node, and the senders into which the decisions about requests go. Relies on:
//! [`PlatformParts`] for calls of the platform, the transport for frames to peers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use curlewcleat_clock::Moment;
use curlewcleat_core::{PeerFrame, PeerMessage, RequestId};
use curlewcleat_node::{CallerDecision, Node, NodeAction, NodeEvent, NodeNote};
use curlewcleat_peers::PeerTransport;
use spdlog::prelude::*;
use tokio::sync::mpsc;

use crate::context::{DaemonContext, NodeMessage};
use crate::node_notes::log_note;
use crate::parts::PlatformParts;

/// Time between looks at the clock: a fifth of the least objective of the users' requests.
const TICK: Duration = Duration::from_millis(20);
/// Time before the stop limit at which requests in progress are noted: enough for a log line to leave.
const STOP_NOTICE: Duration = Duration::from_millis(500);
/// Time without an event after which a tick goes before whatever has come: what the node believes of roles, permits
/// and its configuration may have ended meanwhile. Some ticks, shorter than any time-out of the node.
const PAUSED_AFTER: Duration = Duration::from_millis(200);
/// Time by which the two clocks have to come apart to count as a suspension: more than between two readings.
const SUSPENDED_LEAST: Duration = Duration::from_millis(50);
/// Messages taken before the clock is looked at again.
const BATCH: usize = 256;

/// Owns the node and performs its actions.
pub struct NodeLoop {
    node: Node,
    context: DaemonContext,
    transport: Box<dyn PeerTransport>,
    /// Makes the calls of the platform that the node wants made.
    parts: Box<dyn PlatformParts>,
    callers: BTreeMap<RequestId, mpsc::UnboundedSender<CallerDecision>>,
    /// Frames by address; those of one batch go out as one, but for messages that stand alone.
    outgoing: BTreeMap<String, Vec<PeerFrame>>,
    /// When to note the requests that keep a planned stop from its end; `None` while there is no stop.
    stop_notice: Option<Moment>,
    /// When the latest event came, by both clocks.
    latest: (Moment, Instant),
    ended: bool,
}

impl NodeLoop {
    /// A loop around a node.
    pub fn new(
        node: Node,
        context: DaemonContext,
        transport: Box<dyn PeerTransport>,
        parts: Box<dyn PlatformParts>,
    ) -> NodeLoop {
        NodeLoop {
            node,
            context,
            transport,
            parts,
            callers: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            stop_notice: None,
            latest: (Moment::now(), Instant::now()),
            ended: false,
        }
    }

    /// Runs until the planned stop is complete.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<NodeMessage>) {
        let mut clock = tokio::time::interval(TICK);
        clock.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.ended {
            tokio::select! {
                biased;
                _ = clock.tick() => {
                    self.event(NodeEvent::Tick);
                    self.send_frames();
                    self.note_unfinished_stop();
                }
                message = messages.recv() => {
                    let Some(message) = message else { break };
                    self.message(message);
                    self.drain_batch(&mut messages);
                    self.send_frames();
                }
            }
        }
        self.transport.close();
    }

    fn drain_batch(&mut self, messages: &mut mpsc::UnboundedReceiver<NodeMessage>) {
        for _ in 0..BATCH {
            match messages.try_recv() {
                Ok(message) => self.message(message),
                Err(_) => return,
            }
        }
    }

    fn message(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::Event(event) => {
                if let NodeEvent::Finished(id, ..) | NodeEvent::CallerDisconnected(id) = &event {
                    self.callers.remove(id);
                }
                self.event(event);
            }
            NodeMessage::Admit(spec, sender) => {
                self.callers.insert(spec.request, sender);
                self.event(NodeEvent::Admit(spec));
            }
            NodeMessage::Apply(bundle, sender) => {
                self.event(NodeEvent::ConfigRead(bundle));
                // Whoever offered it need not wait for it.
                let _ = sender.send(());
            }
            // An asker that has gone is no fault.
            NodeMessage::Status(sender) => drop(sender.send(self.node.status())),
            NodeMessage::Config(sender) => drop(sender.send(self.node.config_bundle().cloned())),
        }
    }

    fn event(&mut self, event: NodeEvent) {
        let (moment, instant) = (Moment::now(), Instant::now());
        let (before, before_instant) = std::mem::replace(&mut self.latest, (moment, instant));
        let paused = moment.saturating_duration_since(before);
        let suspended = paused.saturating_sub(instant - before_instant);
        if suspended >= SUSPENDED_LEAST {
            warn!("suspended", kv: { time_ms = suspended.as_millis() as i64 });
            self.context.note_suspended(suspended);
        }
        if paused >= PAUSED_AFTER && !matches!(event, NodeEvent::Tick) {
            self.handle(NodeEvent::Tick);
        }
        self.handle(event);
    }

    fn handle(&mut self, event: NodeEvent) {
        let actions = self.node.handle(self.context.uptime(), self.context.wall(), event);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: NodeAction) {
        match action {
            NodeAction::Send(address, frame) => self.queue_frame(address, frame),
            NodeAction::Decide(id, decision) => self.decide(id, decision),
            NodeAction::Platform(call) => self.parts.call(&self.context, call),
            NodeAction::ConfigChanged => {
                self.context.set_config(self.node.config());
                self.transport.keep_only(&self.node.peer_addresses());
            }
            NodeAction::Count(reason) => self.context.metrics.retry(reason),
            NodeAction::Note(note) => {
                if note == NodeNote::DrainBegun {
                    self.context.set_draining();
                    let limit = self.context.bounds().stop_limit;
                    self.stop_notice = Some(Moment::now() + limit.saturating_sub(STOP_NOTICE));
                }
                if let NodeNote::TargetTerminated(..) = &note {
                    self.context.metrics.target_ended();
                }
                if let NodeNote::RolloutStage(rollout, Some(reason)) = &note {
                    self.context.metrics.rollout_stage(rollout.stage.code(), reason.code());
                }
                log_note(&note);
            }
            NodeAction::End => self.ended = true,
        }
    }

    /// Whoever stops the daemon kills it at the stop limit, and what is in progress then is cut without a
    /// line of its own.
    fn note_unfinished_stop(&mut self) {
        if self.stop_notice.is_some_and(|notice| Moment::now() >= notice) {
            self.stop_notice = None;
            warn!("stop_unfinished", kv: { requests = self.callers.len() });
        }
    }

    /// Messages to one peer within a batch share a frame.
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

    fn decide(&mut self, id: RequestId, decision: CallerDecision) {
        let last = !matches!(decision, CallerDecision::Dispatch(..));
        let delivered = self.callers.get(&id).is_some_and(|sender| sender.send(decision).is_ok());
        if last {
            self.callers.remove(&id);
        } else if !delivered {
            self.context.tell(NodeEvent::CallerDisconnected(id));
        }
    }
}
