//! The thread of the node: feeds it events and performs its actions.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_core::{PeerFrame, RequestId};
use curlewcleat_keys::{KeyTable, TABLE_KEY};
use curlewcleat_node::{CallerDecision, Node, NodeAction, NodeEvent, NodeNote, TableWrite};
use curlewcleat_peers::PeerTransport;
use curlewcleat_store::{ObjectStore, PutOutcome};
use spdlog::prelude::*;
use tokio::sync::mpsc;

use crate::context::{BrainMessage, DaemonContext};
use crate::fleet::FleetLink;
use crate::platform::read_table;

/// Time between looks at the clock.
const TICK: Duration = Duration::from_millis(20);
/// Messages taken before the clock is looked at again.
const BATCH: usize = 256;

/// Owns the node and performs its actions.
pub struct BrainLoop {
    node: Node,
    context: DaemonContext,
    transport: Box<dyn PeerTransport>,
    /// Where the key table is, if there is one.
    store: Option<Rc<dyn ObjectStore>>,
    /// What the tasks that follow a fleet's platform are told.
    fleet: Option<Rc<FleetLink>>,
    callers: BTreeMap<RequestId, mpsc::UnboundedSender<CallerDecision>>,
    /// Frames by address; those of one batch go out as one.
    outgoing: BTreeMap<String, PeerFrame>,
    ended: bool,
}

impl BrainLoop {
    /// A loop around a node.
    pub fn new(
        node: Node,
        context: DaemonContext,
        transport: Box<dyn PeerTransport>,
        store: Option<Rc<dyn ObjectStore>>,
        fleet: Option<Rc<FleetLink>>,
    ) -> BrainLoop {
        BrainLoop {
            node,
            context,
            transport,
            store,
            fleet,
            callers: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            ended: false,
        }
    }

    /// Runs until the planned stop is complete.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<BrainMessage>) {
        let mut clock = tokio::time::interval(TICK);
        clock.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.ended {
            tokio::select! {
                biased;
                _ = clock.tick() => {
                    self.event(NodeEvent::Tick);
                    self.send_frames();
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

    fn drain_batch(&mut self, messages: &mut mpsc::UnboundedReceiver<BrainMessage>) {
        for _ in 0..BATCH {
            match messages.try_recv() {
                Ok(message) => self.message(message),
                Err(_) => return,
            }
        }
    }

    fn message(&mut self, message: BrainMessage) {
        match message {
            BrainMessage::Event(event) => {
                if let NodeEvent::Finished(id, ..) | NodeEvent::Cancelled(id) = &event {
                    self.callers.remove(id);
                }
                self.event(event);
            }
            BrainMessage::Admit(spec, sender) => {
                self.callers.insert(spec.request, sender);
                self.event(NodeEvent::Admit(spec));
            }
            BrainMessage::Apply(bundle, sender) => {
                self.event(NodeEvent::ConfigRead(bundle));
                let _ = sender.send(());
            }
            // An asker that has gone is no fault.
            BrainMessage::Status(sender) => drop(sender.send(self.node.status())),
            BrainMessage::Config(sender) => drop(sender.send(self.node.config_bundle().cloned())),
        }
    }

    fn event(&mut self, event: NodeEvent) {
        let actions = self.node.handle(self.context.uptime(), self.context.wall(), event);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: NodeAction) {
        match action {
            NodeAction::Send(address, frame) => self.queue_frame(address, frame),
            NodeAction::Decide(id, decision) => self.decide(id, decision),
            NodeAction::ProposeTable(expected, table) => self.propose_table(expected, table),
            NodeAction::ReadTable => self.read_table(),
            NodeAction::ConfigChanged => {
                self.context.set_config(self.node.config());
                self.transport.keep_only(&self.node.peer_addresses());
            }
            NodeAction::ConfigProved(at) => {
                if let Some(fleet) = &self.fleet {
                    fleet.proof.prove_by_peer(self.context.moment_of(at));
                }
            }
            NodeAction::ReadPlatform(duty) => {
                if let Some(fleet) = &self.fleet {
                    fleet.set_duty(duty);
                }
            }
            NodeAction::Count(reason) => self.context.metrics.retry(reason),
            NodeAction::Note(note) => {
                if note == NodeNote::DrainBegun {
                    self.context.set_draining();
                }
                log_note(&note);
            }
            NodeAction::End => self.ended = true,
        }
    }

    /// Messages to one peer within a batch share a frame.
    fn queue_frame(&mut self, address: String, frame: PeerFrame) {
        match self.outgoing.get_mut(&address) {
            Some(queued) => queued.messages.extend(frame.messages),
            None => {
                self.outgoing.insert(address, frame);
            }
        }
    }

    fn send_frames(&mut self) {
        for (address, frame) in std::mem::take(&mut self.outgoing) {
            self.transport.send(&address, &frame);
        }
    }

    fn decide(&mut self, id: RequestId, decision: CallerDecision) {
        let last = !matches!(decision, CallerDecision::Dispatch(..));
        let delivered = self.callers.get(&id).is_some_and(|sender| sender.send(decision).is_ok());
        if last {
            self.callers.remove(&id);
        } else if !delivered {
            self.context.tell(NodeEvent::Cancelled(id));
        }
    }

    fn propose_table(&self, expected: u64, table: KeyTable) {
        let Some(store) = self.store.clone() else { return };
        let context = self.context.clone();
        actix_rt::spawn(async move {
            let bytes = serde_json::to_vec(&table).unwrap_or_default();
            let write = match store.put(TABLE_KEY, expected, bytes).await {
                Ok(PutOutcome::Stored(version)) => TableWrite::Stored(version, table),
                Ok(PutOutcome::Conflict) => TableWrite::ReadAgain,
                Err(error) => {
                    context.metrics.platform_error("put_table");
                    warn!("key_table_write_unclear", kv: { error = error.to_string() });
                    TableWrite::ReadAgain
                }
            };
            context.tell(NodeEvent::TableWritten(write));
        });
    }

    fn read_table(&self) {
        let Some(store) = self.store.clone() else { return };
        let context = self.context.clone();
        actix_rt::spawn(async move { read_table(store.as_ref(), &context).await });
    }
}

fn log_note(note: &NodeNote) {
    match note {
        NodeNote::ConfigAccepted(generation) => {
            info!("config_accepted", kv: { generation = *generation })
        }
        NodeNote::ConfigInvalid(generation, report) => {
            error!("config_invalid", kv: { generation = *generation, problems = report.to_string() });
        }
        NodeNote::PeerLost(peer) => warn!("peer_lost", kv: { vm = peer.vm.as_str() }),
        NodeNote::PeerReplaced(peer) => info!("peer_replaced", kv: { vm = peer.vm.as_str() }),
        NodeNote::TableKnown(version, slots) => {
            info!("key_table_known", kv: { version = *version, slots_held = *slots })
        }
        NodeNote::PoolWaits(pool) => {
            let ejected = pool.targets.iter().filter(|target| target.ejected).count();
            let leaving = pool.targets.iter().filter(|target| target.leaving).count();
            let slots: u32 = pool.targets.iter().map(|target| target.slots).sum();
            info!("pool_waits", kv: {
                pool = pool.id.as_str(), waiting = pool.waiting, in_flight = pool.in_flight, slots,
                targets = pool.targets.len(), ejected, leaving,
                lowest_open = pool.lowest_open.map_or(-1, i64::from)
            });
        }
        NodeNote::DrainBegun => info!("drain_begun"),
        NodeNote::DrainClosing => info!("drain_closing"),
    }
}
