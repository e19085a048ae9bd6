//! Sends messages to peers and dispatches the received ones.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: nothing; transports may lose or delay frames.

use curlewcleat_core::{
    DaemonId, Heartbeat, KeyAnswer, KeyClaim, KeyDecision, PeerFrame, PeerMessage, PermitAnswer,
    PermitHeld, PermitRequest, PermitReturn, PoolId, ShedRequest, TargetInstance, TargetReport,
    VmId,
};
use curlewcleat_sched::{GuardStep, PoolScheduler, SchedulerAction};

use super::{cached_order, Node};
use crate::event::{NodeAction, NodeNote, PlatformCall};

impl Node {
    /// Queues a message to a daemon; a message to this daemon itself bypasses the network.
    pub(super) fn post(&mut self, vm: &VmId, message: PeerMessage) {
        if *vm == self.options.me.vm {
            self.inbox.push_back(message);
        } else {
            self.outbox.entry(vm.clone()).or_default().push(message);
        }
    }

    pub(super) fn run_inbox(&mut self) {
        let me = self.options.me.clone();
        while let Some(message) = self.inbox.pop_front() {
            self.message(&me, message);
        }
    }

    pub(super) fn peer_frame(&mut self, frame: PeerFrame) {
        if frame.from.vm == self.options.me.vm {
            return;
        }
        self.members.frame_received(self.now, &frame.from);
        for message in frame.messages {
            self.message(&frame.from, message);
            self.run_inbox();
        }
    }

    pub(super) fn message(&mut self, from: &DaemonId, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.heartbeat_received(from, &heartbeat),
            PeerMessage::StatePull(pull) => self.state_pulled(&from.vm, pull),
            PeerMessage::ConfigPush(bundle) => self.config_pushed(bundle),
            PeerMessage::TablePush(push) => self.table_pushed(push),
            PeerMessage::FreshnessQuery(query) => self.freshness_queried(&from.vm, query),
            PeerMessage::FreshnessAnswer(answer) => self.freshness_answered(from, &answer),
            PeerMessage::TargetsPull(known) => self.targets_pulled(&from.vm, known),
            PeerMessage::TargetsPush(push) => self.targets_pushed(&from.vm, push),
            PeerMessage::TargetInstancesPull(known) => {
                self.target_instances_pulled(&from.vm, known)
            }
            PeerMessage::TargetInstancesPush(instances) => {
                self.targets_pushed(&from.vm, instances.into_push());
            }
            PeerMessage::PermitRequest(request) if request.version.is_none() => {
                self.permit_requested(from, request)
            }
            PeerMessage::PermitRequest(request) => self.limited_permit_requested(from, request),
            PeerMessage::PermitAnswer(answer) => self.permit_answered(&from.vm, answer),
            PeerMessage::PermitReturn(returned) => self.permit_returned(&returned),
            PeerMessage::PermitHeld(held) => self.permit_held(from, held),
            PeerMessage::ShedRequest(request) => self.shed_requested(&from.vm, request),
            PeerMessage::ShedConfirm(pool, round) => {
                let actions = self.guards.entry(pool).or_default().confirmed(from, round);
                self.post_answers(actions);
            }
            PeerMessage::KeyClaim(claim) => self.key_claimed(&from.vm, &claim),
            PeerMessage::KeyAnswer(answer) => self.key_answered(answer),
            PeerMessage::KeyOutcome(outcome) => self.key_holder.outcome(self.wall, outcome),
            PeerMessage::KeyHandOver(hand_over) => {
                let slot = hand_over.slot;
                if self.key_holder.hand_over_received(hand_over) {
                    self.post(&from.vm, PeerMessage::KeyHandOverAck(slot));
                }
            }
            PeerMessage::KeyHandOverAck(slot) => self.key_holder.hand_over_acknowledged(from, slot),
            PeerMessage::ConfigPartPull(pull) => self.config_part_pulled(&from.vm, pull),
            PeerMessage::ConfigPart(part) => self.config_part_received(&from.vm, part),
            PeerMessage::SuspectsPull(pull) => self.suspects_pulled(&from.vm, pull),
            PeerMessage::TargetNotice(notice) => self.peer_notice_received(&from.vm, &notice),
            PeerMessage::SuspectsPush(push) => self.suspects_pushed(from, push),
            PeerMessage::FeaturesPull(pull) => self.features_pulled(&from.vm, pull),
            PeerMessage::FeaturesPush(push) => self.features_pushed(from, push),
            PeerMessage::TargetVersionsPull(known) => self.target_versions_pulled(&from.vm, known),
            PeerMessage::TargetVersionsPush(versions) => {
                self.targets_pushed(&from.vm, versions.into_push());
            }
            PeerMessage::EvacuationsPull(known) => self.evacuations_pulled(&from.vm, known),
            PeerMessage::EvacuationsPush(list) => self.evacuations_listed(list),
            PeerMessage::RolloutReport(report) => self.rollout_report_received(&report),
            PeerMessage::StreamsBegun(streams) => self.streams_reported(streams),
            PeerMessage::StreamQuery(query) => self.stream_queried(&from.vm, query),
            PeerMessage::StreamAnswer(answer) => self.stream_answered(&from.vm, answer),
            PeerMessage::VersionPermitRequest(request) => {
                self.limited_permit_requested(from, request.into_request());
            }
            PeerMessage::RolloutAnswers(answers) => self.peer_answers_received(from, &answers),
            PeerMessage::TargetLoads(pools) => self.loads_received(&pools),
            PeerMessage::StreamStart(start) => self.stream_start_received(start),
            PeerMessage::StreamProofQuery(query) => self.proof_queried(&from.vm, query),
            PeerMessage::StreamFormsReport(report) => self.stream_forms_reported(from, report),
            PeerMessage::StreamFormsPush(push) => self.stream_forms_pushed(from, push),
        }
    }

    /// Handles a permit request that its entry daemon has limited to a version. The first attempt of a request is limited
    /// only where it takes up a stream.
    fn limited_permit_requested(&mut self, from: &DaemonId, request: PermitRequest) {
        match request.permit.attempt {
            0 => self.take_up_requested(from, request),
            _ => self.permit_requested(from, request),
        }
    }

    /// Requests a permit from the scheduler of the pool.
    pub(super) fn request_pool_permit(&mut self, from: &DaemonId, request: PermitRequest) {
        if let Err(wait) = self.charge(&request) {
            return self.refuse_for_rate(from, &request, wait);
        }
        let now = self.now;
        let actions = self.pool(&request.pool.clone()).request_permit(now, from.clone(), request);
        self.send_answers(actions);
    }

    pub(super) fn target_reported(
        &mut self,
        pool: &PoolId,
        target: &TargetInstance,
        report: &TargetReport,
    ) {
        let now = self.now;
        let actions = self.pool(pool).apply_report(now, target, report);
        self.send_answers(actions);
    }

    fn permit_returned(&mut self, returned: &PermitReturn) {
        self.release_start(&returned.permit);
        self.forget_held_take_up(&returned.permit);
        let now = self.now;
        if let Some(charge) = self.pool(&returned.pool).charge_of_waiting(&returned.permit) {
            self.rates.refund(&charge.account, charge.cost);
        }
        let actions = self.pool(&returned.pool).return_permit(now, returned);
        self.send_answers(actions);
    }

    fn permit_held(&mut self, from: &DaemonId, held: PermitHeld) {
        let now = self.now;
        self.pool(&held.request.pool.clone()).record_held_permit(now, from.clone(), held);
    }

    fn shed_requested(&mut self, from: &VmId, request: ShedRequest) {
        let now = self.now;
        let actions = self.pool(&request.pool).shed_for_peer(now, request.tier);
        self.return_unused(&actions);
        // The guard does not apply here: these requests are shed for a round that a peer has already begun.
        self.post_answers(actions);
        self.post(from, PeerMessage::ShedConfirm(request.pool, request.round));
    }

    fn key_claimed(&mut self, from: &VmId, claim: &KeyClaim) {
        let decision = self.key_holder.claim(self.wall, claim);
        let answer = KeyAnswer { request: claim.request, decision };
        self.post(from, PeerMessage::KeyAnswer(answer));
    }

    pub(super) fn heartbeat_received(&mut self, from: &DaemonId, heartbeat: &Heartbeat) {
        let change = self.members.heartbeat_received(self.now, from, heartbeat);
        if change.newcomer {
            self.send_greeting(&heartbeat.address);
        }
        if let Some(ended) = change.ended {
            self.actions.push(NodeAction::Note(NodeNote::PeerReplaced(ended.clone())));
            self.entry_daemon_ended(&ended);
        }
        if change.returned {
            self.entry_daemon_returned(from);
        }
        self.entry.heartbeat_received(self.now, &from.vm);
        self.review_roles();
        self.config_advertised(&from.vm, heartbeat.generation);
        self.table_advertised(&from.vm, heartbeat.table);
    }

    /// Sends a heartbeat at once to a daemon that was not known, instead of with the next interval. Until the new
    /// daemon receives it, it sends its requests to daemons that may have ended.
    fn send_greeting(&mut self, address: &str) {
        let greeting = self.members.greeting(self.store.generation(), self.key_holder.version());
        self.send_heartbeat(address.to_string(), greeting);
    }

    pub(super) fn permit_answered(&mut self, from: &VmId, answer: PermitAnswer) {
        let awaits = self.may_await_target(&answer);
        if awaits && self.entry.await_target(self.now, from, answer.permit) {
            return;
        }
        let scheduler_orders = &self.scheduler_orders;
        let members = &self.members;
        let order = |pool: &str| cached_order(scheduler_orders, members, pool);
        let actions = self.entry.permit_answered(self.now, from, answer, &order);
        self.perform(actions);
    }

    pub(super) fn key_answered(&mut self, answer: KeyAnswer) {
        if matches!(answer.decision, KeyDecision::NotHolder(version) if version > self.key_holder.version())
        {
            self.actions.push(NodeAction::Platform(PlatformCall::ReadTable));
        }
        let scheduler_orders = &self.scheduler_orders;
        let members = &self.members;
        let actions = self
            .entry
            .key_answered(self.now, answer, &|pool| cached_order(scheduler_orders, members, pool));
        self.perform(actions);
    }

    /// Sends a scheduler's answers; refusals for lack of capacity pass the guard of their pool.
    pub(super) fn send_answers(&mut self, actions: Vec<SchedulerAction>) {
        self.return_unused(&actions);
        for action in actions {
            let pool = action.answer.pool.clone();
            let lowest = self.pools.get(&pool).map_or(0, PoolScheduler::lowest);
            let peers = self.other_schedulers();
            let step =
                self.guards.entry(pool.clone()).or_default().pass(self.now, action, lowest, &peers);
            self.apply_guard_step(&pool, step);
        }
    }

    /// Refunds the charges of refused requests to their accounts. Without the refund, an account at its rate is
    /// served 220,000 of the 324,000 units per second that it may use while its pool is overloaded: the rest is
    /// charged to requests that run nowhere.
    fn return_unused(&mut self, actions: &[SchedulerAction]) {
        for charge in actions.iter().filter_map(|action| action.unused.as_ref()) {
            self.rates.refund(&charge.account, charge.cost);
        }
    }

    pub(super) fn apply_guard_step(&mut self, pool: &PoolId, step: GuardStep) {
        self.post_answers(step.answers);
        let Some((tier, round, peers)) = step.raise else { return };
        for peer in peers {
            let request = ShedRequest { pool: pool.clone(), tier, round };
            self.post(&peer.vm, PeerMessage::ShedRequest(request));
        }
    }

    /// Returns the reachable daemons, other than this one, that may receive permit requests. They are few even in a
    /// large fleet: a refusal that waited for confirmation by hundreds of daemons would wait for the slowest of them.
    pub(super) fn other_schedulers(&self) -> Vec<DaemonId> {
        let others = self.all_pools_order.iter().filter(|daemon| **daemon != self.options.me);
        others.filter(|daemon| self.eligible.contains(daemon)).cloned().collect()
    }

    /// Returns the VMs of the other schedulers that are not in the earlier order `before`.
    pub(super) fn new_schedulers(&self, before: &[DaemonId]) -> Vec<VmId> {
        let others = self.other_schedulers().into_iter();
        others.filter(|daemon| !before.contains(daemon)).map(|daemon| daemon.vm).collect()
    }

    pub(super) fn post_answers(&mut self, actions: Vec<SchedulerAction>) {
        for action in actions {
            self.post(&action.entry.vm, PeerMessage::PermitAnswer(action.answer));
        }
    }

    /// Returns the scheduler of a pool. For a pool that is not known yet it creates one without targets.
    pub(super) fn pool(&mut self, pool: &PoolId) -> &mut PoolScheduler {
        self.pools
            .entry(pool.clone())
            .or_insert_with(|| PoolScheduler::new(pool.clone(), Default::default()))
    }
}
