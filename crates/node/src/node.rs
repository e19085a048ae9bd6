//! The node: routes events between the state machines and collects their actions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use curlewcleat_config::{ConfigStore, StoreChange};
use curlewcleat_core::{
    ActiveConfig, AttemptEnd, ConfigBundle, DaemonId, Heartbeat, KeyAnswer, KeyClaim, KeyDecision,
    KeyOutcome, LevelRaise, ObjectVersion, PeerFrame, PeerMessage, PermitAnswer, PoolId, Refusal,
    RefusalReason, RequestId, RetryReason, StatePull, TablePush, Uptime, VmId, WallTime,
};
use curlewcleat_keys::{KeyHome, KeyHomeOptions, KeyTable};
use curlewcleat_sched::{
    DrainInput, DrainPhase, DrainState, EntryAction, EntryOptions, EntryRequests, GuardStep,
    LevelGuard, MemberOptions, MemberView, PoolScheduler, RequestSpec, SchedulerAction,
};

use crate::event::{CallerDecision, ListedVm, NodeAction, NodeEvent, NodeNote, TableWrite};
use crate::status::{NodeStatus, PoolStatus, TargetStatus};
use crate::vms::VmView;
use crate::wiring::pool_options;

/// Subject by which the daemon is chosen that proposes key tables.
const TABLE_SUBJECT: &str = "key table";
/// Time after birth before a first key table is proposed, so that the peers are known.
const SETTLE: Duration = Duration::from_secs(2);
/// Time between looks whether the key table has to change, and between pulls.
const REVIEW: Duration = Duration::from_millis(500);
/// Time between clean-ups of old keys.
const EXPIRE: Duration = Duration::from_secs(10);
/// Share of the request limit that tiers below the top may use, in percent.
const LOWER_TIERS_PERCENT: usize = 90;

/// What a node is made with.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// This daemon.
    pub me: DaemonId,
    /// Peers.
    pub members: MemberOptions,
    /// Keys.
    pub keys: KeyHomeOptions,
    /// Slots of a key table that this node creates.
    pub key_slots: u16,
    /// Requests.
    pub entry: EntryOptions,
    /// Requests in progress at most.
    pub request_limit: usize,
    /// Time between heartbeats.
    pub beat: Duration,
    /// Time for the balancer to notice a failing health check.
    pub drain_grace: Duration,
    /// Time for which an unreachable platform may delay a planned stop.
    pub hand_over_limit: Duration,
}

/// All state machines of one daemon.
pub struct Node {
    options: NodeOptions,
    members: MemberView,
    store: ConfigStore,
    home: KeyHome,
    pools: BTreeMap<PoolId, PoolScheduler>,
    guards: BTreeMap<PoolId, LevelGuard>,
    entry: EntryRequests,
    drain: DrainState,
    vms: VmView,
    takers: Vec<DaemonId>,
    orders: BTreeMap<PoolId, Vec<DaemonId>>,
    table_absent: bool,
    proposing: bool,
    last_beat: Option<Uptime>,
    last_review: Uptime,
    last_expire: Uptime,
    now: Uptime,
    wall: WallTime,
    outbox: BTreeMap<VmId, Vec<PeerMessage>>,
    inbox: VecDeque<PeerMessage>,
    actions: Vec<NodeAction>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(options: NodeOptions) -> Node {
        let me = options.me.clone();
        Node {
            members: MemberView::new(me.clone(), options.members.clone()),
            store: ConfigStore::default(),
            home: KeyHome::new(me.clone(), options.keys.clone()),
            pools: BTreeMap::new(),
            guards: BTreeMap::new(),
            entry: EntryRequests::new(options.entry.clone()),
            drain: DrainState::new(options.drain_grace, options.hand_over_limit),
            vms: VmView::default(),
            takers: vec![me],
            orders: BTreeMap::new(),
            table_absent: false,
            proposing: false,
            last_beat: None,
            last_review: Duration::ZERO,
            last_expire: Duration::ZERO,
            now: Duration::ZERO,
            wall: Duration::ZERO,
            outbox: BTreeMap::new(),
            inbox: VecDeque::new(),
            actions: Vec::new(),
            options,
        }
    }

    /// Takes an event and gives the actions to perform, in order.
    pub fn handle(&mut self, now: Uptime, wall: WallTime, event: NodeEvent) -> Vec<NodeAction> {
        self.now = now;
        self.wall = wall;
        match event {
            NodeEvent::Tick => self.tick(),
            NodeEvent::Peer(frame) => self.peer_frame(frame),
            NodeEvent::Admit(spec) => self.admit(*spec),
            NodeEvent::Finished(id, verdict, end, answer) => {
                let actions = self.entry.finished(id, verdict, end, answer);
                self.perform(actions);
            }
            NodeEvent::NotRun(id, end, retry) => self.attempt_not_run(id, end, retry),
            NodeEvent::Cancelled(id) => {
                let actions = self.entry.cancelled(id);
                self.perform(actions);
            }
            NodeEvent::ConfigRead(bundle) => self.config_offered(bundle),
            NodeEvent::TableRead(read) => self.table_read(read),
            NodeEvent::TableWritten(write) => self.table_written(write),
            NodeEvent::TargetReported(pool, target, report) => {
                let actions = self.pool(&pool).reported(now, &target, &report);
                self.send_answers(actions);
            }
            NodeEvent::VmsRead(list) => self.vms_read(&list),
            NodeEvent::Drain => self.begin_drain(),
        }
        self.run_inbox();
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<ActiveConfig> {
        self.store.active()
    }

    /// Texts of the configuration in force.
    pub fn config_bundle(&self) -> Option<&ConfigBundle> {
        self.store.bundle()
    }

    /// Whether the health check succeeds.
    pub fn ready(&self) -> bool {
        self.drain.ready() && self.store.generation() > 0
    }

    /// Peer addresses in use.
    pub fn peer_addresses(&self) -> BTreeSet<String> {
        self.members.addresses()
    }

    /// A copy of the scheduler of a pool, where this daemon has one; for measurements.
    pub fn scheduler(&self, pool: &str) -> Option<PoolScheduler> {
        self.pools.get(pool).cloned()
    }

    /// A view for operators.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            me: self.options.me.clone(),
            generation: self.store.generation(),
            table: self.home.version(),
            key_slots: self.home.slots_held(),
            keys: self.home.keys(),
            requests: self.entry.len(),
            drain: self.drain.phase(),
            pools: self.pools.iter().map(|(id, pool)| self.pool_status(id, pool)).collect(),
            peers: self
                .members
                .peers()
                .iter()
                .map(|(vm, peer)| (vm.clone(), peer.clone()))
                .collect(),
        }
    }

    fn pool_status(&self, id: &PoolId, pool: &PoolScheduler) -> PoolStatus {
        let targets = pool.targets().iter().map(|(id, state)| TargetStatus {
            id: id.clone(),
            in_flight: state.in_flight,
            slots: state.slots,
            slowness: state.slowness(),
            leaving: state.leaving,
            ejected: state.ejected(),
        });
        PoolStatus {
            id: id.clone(),
            scheduler: self
                .members
                .scheduler_order(id)
                .first()
                .map(|daemon| daemon.vm.clone())
                .unwrap_or_default(),
            waiting: pool.waiting(),
            in_flight: pool.in_flight(),
            lowest_open: pool.level().lowest_open(),
            targets: targets.collect(),
        }
    }

    // Time.

    fn tick(&mut self) {
        for lost in self.members.tick(self.now) {
            self.actions.push(NodeAction::Note(NodeNote::PeerLost(lost.clone())));
            self.entry_ended(&lost);
        }
        self.review_takers();
        let orders = &self.orders;
        let members = &self.members;
        let actions = self.entry.tick(self.now, &|pool| order_of(orders, members, pool));
        self.perform(actions);
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            let actions = self
                .pools
                .get_mut(&pool)
                .map(|scheduler| scheduler.tick(self.now))
                .unwrap_or_default();
            self.send_answers(actions);
            let peers = self.other_takers();
            let step = self.guards.entry(pool.clone()).or_default().tick(self.now, &peers);
            self.take_guard_step(&pool, step);
        }
        self.beat();
        if self.now >= self.last_review + REVIEW {
            self.last_review = self.now;
            self.review_table();
        }
        if self.now >= self.last_expire + EXPIRE {
            self.last_expire = self.now;
            self.home.expire(self.wall);
        }
        self.step_drain();
    }

    fn beat(&mut self) {
        if self.last_beat.is_some_and(|last| self.now < last + self.options.beat) {
            return;
        }
        self.last_beat = Some(self.now);
        let beat = self.heartbeat();
        for address in self.members.addresses() {
            let messages = vec![PeerMessage::Heartbeat(beat.clone())];
            let frame = PeerFrame { from: self.options.me.clone(), messages };
            self.actions.push(NodeAction::Send(address, frame));
        }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.members.heartbeat(self.store.generation(), self.home.version())
    }

    // Callers' requests.

    fn admit(&mut self, spec: RequestSpec) {
        let id = spec.request;
        let top = spec.tier == self.store.active().top_rank();
        let limit = self.options.request_limit;
        let limit = if top { limit } else { limit * LOWER_TIERS_PERCENT / 100 };
        let reason = if !self.drain.admits() {
            Some(RefusalReason::Draining)
        } else if self.store.generation() == 0 {
            Some(RefusalReason::NoConfiguration)
        } else if self.entry.len() >= limit {
            Some(RefusalReason::EntryFull)
        } else {
            None
        };
        if let Some(reason) = reason {
            let refusal = Refusal::not_run(reason, Some(Duration::from_secs(1)));
            self.actions.push(NodeAction::Decide(id, CallerDecision::Refuse(refusal)));
            return;
        }
        let orders = &self.orders;
        let members = &self.members;
        let actions = self.entry.admit(self.now, spec, &|pool| order_of(orders, members, pool));
        self.perform(actions);
    }

    fn attempt_not_run(&mut self, id: RequestId, end: AttemptEnd, retry: RetryReason) {
        let orders = &self.orders;
        let members = &self.members;
        let actions =
            self.entry.not_run(self.now, id, end, retry, &|pool| order_of(orders, members, pool));
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::ClaimKey(claim) => self.send_claim(claim),
                EntryAction::ReportKey(outcome) => self.send_outcome(outcome),
                EntryAction::AskPermit(vm, ask) => self.post(&vm, PeerMessage::PermitAsk(ask)),
                EntryAction::ReturnPermit(vm, back) => {
                    self.post(&vm, PeerMessage::PermitReturn(back))
                }
                EntryAction::HoldPermit(vm, held) => self.post(&vm, PeerMessage::PermitHeld(held)),
                EntryAction::Dispatch { permit, target } => self.dispatch(permit, &target),
                EntryAction::Refuse(id, refusal) => {
                    self.actions.push(NodeAction::Decide(id, CallerDecision::Refuse(refusal)));
                }
                EntryAction::Replay(id, answer) => {
                    self.actions.push(NodeAction::Decide(id, CallerDecision::Replay(answer)));
                }
                EntryAction::Count(reason) => self.actions.push(NodeAction::Count(reason)),
            }
        }
    }

    fn dispatch(&mut self, permit: curlewcleat_core::PermitId, target: &str) {
        let config = self.store.active();
        let entry = config.pools.values().find_map(|pool| pool.targets.get(target)).cloned();
        match entry {
            Some(entry) => {
                self.actions.push(NodeAction::Decide(
                    permit.request,
                    CallerDecision::Dispatch(permit, entry),
                ));
            }
            // The scheduler has another generation than this daemon; nothing was sent anywhere.
            None => {
                self.attempt_not_run(permit.request, AttemptEnd::Unused, RetryReason::TargetUnknown)
            }
        }
    }

    fn send_claim(&mut self, claim: KeyClaim) {
        if let Some(holder) = self.home.holder_of(&claim).cloned() {
            self.post(&holder.vm, PeerMessage::KeyClaim(claim));
        }
    }

    fn send_outcome(&mut self, outcome: KeyOutcome) {
        if let Some(holder) = self.home.holder_of(&outcome.claim).cloned() {
            self.post(&holder.vm, PeerMessage::KeyOutcome(outcome));
        }
    }

    // Messages.

    /// Puts a message on its way; to this daemon itself without a frame.
    fn post(&mut self, vm: &VmId, message: PeerMessage) {
        if *vm == self.options.me.vm {
            self.inbox.push_back(message);
        } else {
            self.outbox.entry(vm.clone()).or_default().push(message);
        }
    }

    fn run_inbox(&mut self) {
        let me = self.options.me.clone();
        while let Some(message) = self.inbox.pop_front() {
            self.message(&me, message);
        }
    }

    /// Turns the outbox into one frame for each peer.
    fn flush(&mut self) {
        for (vm, messages) in std::mem::take(&mut self.outbox) {
            if let Some(address) = self.members.address_of(&vm) {
                let frame = PeerFrame { from: self.options.me.clone(), messages };
                self.actions.push(NodeAction::Send(address.to_string(), frame));
            }
        }
    }

    fn peer_frame(&mut self, frame: PeerFrame) {
        if frame.from.vm == self.options.me.vm {
            return;
        }
        for message in frame.messages {
            self.message(&frame.from, message);
            self.run_inbox();
        }
    }

    fn message(&mut self, from: &DaemonId, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(beat) => self.heard(from, &beat),
            PeerMessage::StatePull(pull) => self.state_pulled(&from.vm, pull),
            PeerMessage::ConfigPush(bundle) => self.config_offered(bundle),
            PeerMessage::TablePush(push) => {
                self.table_known(push.version, KeyTable { slots: push.slots })
            }
            PeerMessage::PermitAsk(ask) => {
                let now = self.now;
                let scheduler = self.pool(&ask.pool.clone());
                let actions = scheduler.ask(now, from.clone(), ask);
                self.send_answers(actions);
            }
            PeerMessage::PermitAnswer(answer) => self.permit_answered(&from.vm, answer),
            PeerMessage::PermitReturn(back) => {
                let now = self.now;
                let actions = self.pool(&back.pool.clone()).give_back(now, &back);
                self.send_answers(actions);
            }
            PeerMessage::PermitHeld(held) => {
                let now = self.now;
                self.pool(&held.ask.pool.clone()).hold(now, from.clone(), held);
            }
            PeerMessage::LevelRaise(raise) => {
                let now = self.now;
                let actions = self.pool(&raise.pool).shed_for_peer(now, raise.tier);
                // What is shed here is shed on behalf of a round that has begun already.
                self.post_answers(actions);
                self.post(&from.vm, PeerMessage::LevelConfirm(raise.pool, raise.round));
            }
            PeerMessage::LevelConfirm(pool, round) => {
                let actions = self.guards.entry(pool).or_default().confirmed(from, round);
                self.post_answers(actions);
            }
            PeerMessage::KeyClaim(claim) => {
                let decision = self.home.claim(self.wall, &claim);
                self.post(
                    &from.vm,
                    PeerMessage::KeyAnswer(KeyAnswer { request: claim.request, decision }),
                );
            }
            PeerMessage::KeyAnswer(answer) => self.key_answered(answer),
            PeerMessage::KeyOutcome(outcome) => self.home.outcome(self.wall, outcome),
            PeerMessage::KeyHandOver(hand_over) => {
                let slot = hand_over.slot;
                if self.home.hand_over_received(hand_over) {
                    self.post(&from.vm, PeerMessage::KeyHandOverAck(slot));
                }
            }
            PeerMessage::KeyHandOverAck(slot) => self.home.hand_over_acked(from, slot),
        }
    }

    fn heard(&mut self, from: &DaemonId, beat: &Heartbeat) {
        if let Some(ended) = self.members.heard(self.now, from, beat) {
            self.actions.push(NodeAction::Note(NodeNote::PeerReplaced(ended.clone())));
            self.entry_ended(&ended);
        }
        self.review_takers();
        if beat.generation > self.store.generation() || beat.table > self.home.version() {
            let pull =
                StatePull { generation: self.store.generation(), table: self.home.version() };
            self.post(&from.vm, PeerMessage::StatePull(pull));
        }
    }

    fn state_pulled(&mut self, from: &VmId, pull: StatePull) {
        if pull.generation < self.store.generation() {
            if let Some(bundle) = self.store.bundle().cloned() {
                self.post(from, PeerMessage::ConfigPush(bundle));
            }
        }
        if pull.table < self.home.version() {
            let slots = self.home.table().slots.clone();
            self.post(
                from,
                PeerMessage::TablePush(TablePush { version: self.home.version(), slots }),
            );
        }
    }

    fn permit_answered(&mut self, from: &VmId, answer: PermitAnswer) {
        let actions = self.entry.permit_answered(self.now, from, answer);
        self.perform(actions);
    }

    fn key_answered(&mut self, answer: KeyAnswer) {
        if matches!(answer.decision, KeyDecision::NotHolder(version) if version > self.home.version())
        {
            self.actions.push(NodeAction::ReadTable);
        }
        let orders = &self.orders;
        let members = &self.members;
        let actions =
            self.entry.key_answered(self.now, answer, &|pool| order_of(orders, members, pool));
        self.perform(actions);
    }

    /// Sends a scheduler's answers; refusals for want of capacity pass the guard of their pool.
    fn send_answers(&mut self, actions: Vec<SchedulerAction>) {
        for action in actions {
            let pool = action.answer.pool.clone();
            let lowest = self.pools.get(&pool).map_or(0, PoolScheduler::lowest);
            let peers = self.other_takers();
            let step =
                self.guards.entry(pool.clone()).or_default().pass(self.now, action, lowest, &peers);
            self.take_guard_step(&pool, step);
        }
    }

    fn take_guard_step(&mut self, pool: &PoolId, step: GuardStep) {
        self.post_answers(step.answers);
        let Some((tier, round, peers)) = step.raise else { return };
        for peer in peers {
            let raise = LevelRaise { pool: pool.clone(), tier, round };
            self.post(&peer.vm, PeerMessage::LevelRaise(raise));
        }
    }

    /// Reachable daemons other than this one that take roles.
    fn other_takers(&self) -> Vec<DaemonId> {
        self.takers.iter().filter(|taker| **taker != self.options.me).cloned().collect()
    }

    fn post_answers(&mut self, actions: Vec<SchedulerAction>) {
        for action in actions {
            self.post(&action.entry.vm, PeerMessage::PermitAnswer(action.answer));
        }
    }

    /// The scheduler of a pool; a pool that this daemon does not know yet has no targets.
    fn pool(&mut self, pool: &PoolId) -> &mut PoolScheduler {
        self.pools
            .entry(pool.clone())
            .or_insert_with(|| PoolScheduler::new(pool.clone(), Default::default()))
    }

    // Members.

    fn entry_ended(&mut self, daemon: &DaemonId) {
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            let now = self.now;
            let actions = self.pool(&pool).entry_gone(now, daemon);
            self.send_answers(actions);
        }
    }

    /// Moves asks to the right schedulers when the set of role takers has changed.
    fn review_takers(&mut self) {
        if !self.members.take_changed() {
            return;
        }
        let takers = self.members.role_takers();
        if takers == self.takers {
            return;
        }
        self.takers = takers;
        self.renew_orders();
        let orders = &self.orders;
        let members = &self.members;
        let actions =
            self.entry.schedulers_changed(self.now, &|pool| order_of(orders, members, pool));
        self.perform(actions);
    }

    fn renew_orders(&mut self) {
        let config = self.store.active();
        self.orders = config
            .pools
            .keys()
            .map(|pool| (pool.clone(), self.members.scheduler_order(pool)))
            .collect();
    }

    fn vms_read(&mut self, list: &[ListedVm]) {
        self.vms.read(self.now, list);
        let away = self.vms.away();
        for scheduler in self.pools.values_mut() {
            scheduler.set_away(away.clone());
        }
    }

    // Configuration.

    fn config_offered(&mut self, bundle: ConfigBundle) {
        let generation = bundle.generation;
        match self.store.offer(bundle) {
            StoreChange::Stale => {}
            StoreChange::Invalid(report) => {
                self.actions.push(NodeAction::Note(NodeNote::ConfigInvalid(generation, report)));
            }
            StoreChange::Accepted => {
                self.configure_pools();
                self.renew_orders();
                self.actions.push(NodeAction::Note(NodeNote::ConfigAccepted(generation)));
                self.actions.push(NodeAction::ConfigChanged);
            }
        }
    }

    fn configure_pools(&mut self) {
        let config = self.store.active();
        let away = self.vms.away();
        for (id, pool) in &config.pools {
            let scheduler = self.pool(id);
            scheduler.configure(pool_options(&config, pool), pool);
            scheduler.set_away(away.clone());
        }
        self.pools
            .retain(|id, scheduler| config.pools.contains_key(id) || scheduler.in_flight() > 0);
    }

    // Keys.

    fn table_read(&mut self, read: Option<(ObjectVersion, KeyTable)>) {
        self.proposing = false;
        match read {
            Some((version, table)) => self.table_known(version, table),
            None => self.table_absent = true,
        }
    }

    fn table_known(&mut self, version: ObjectVersion, table: KeyTable) {
        if version <= self.home.version() {
            return;
        }
        self.table_absent = false;
        self.home.table_read(version, table);
        self.actions.push(NodeAction::Note(NodeNote::TableKnown(version, self.home.slots_held())));
    }

    fn table_written(&mut self, write: TableWrite) {
        match write {
            TableWrite::Stored(version, table) => {
                self.proposing = false;
                self.table_known(version, table);
            }
            TableWrite::ReadAgain => self.actions.push(NodeAction::ReadTable),
        }
    }

    /// Proposes a key table where one is wanted.
    fn review_table(&mut self) {
        if self.proposing {
            return;
        }
        let proposal = if self.drain.phase() >= DrainPhase::Closing {
            self.home.handed_over()
        } else if self.home.version() == 0 {
            self.first_table()
        } else {
            self.changed_table()
        };
        if let Some(table) = proposal {
            self.proposing = true;
            self.actions.push(NodeAction::ProposeTable(self.home.version(), table));
        }
    }

    fn first_table(&self) -> Option<KeyTable> {
        let due = self.table_absent && self.now >= SETTLE && self.proposes_tables();
        due.then(|| KeyTable::deal(self.options.key_slots, &self.takers))
            .filter(|table| !table.slots.is_empty())
    }

    fn changed_table(&self) -> Option<KeyTable> {
        let mut gone = self.vms.gone(self.now, &self.options.me.vm);
        // A VM that still talks is not gone, whatever a list says.
        gone.retain(|vm| !self.members.peers().get(vm).is_some_and(|peer| peer.live));
        let own_earlier = self.home.table().slots.iter().any(|slot| {
            slot.holder.vm == self.options.me.vm
                && slot.holder.incarnation != self.options.me.incarnation
        });
        if !own_earlier && !self.proposes_tables() {
            return None;
        }
        self.home.reassign(&gone, &self.takers, self.wall)
    }

    fn proposes_tables(&self) -> bool {
        self.members.scheduler_order(TABLE_SUBJECT).first() == Some(&self.options.me)
    }

    // Planned stop.

    fn begin_drain(&mut self) {
        if self.drain.phase() == DrainPhase::Serving {
            self.drain.begin(self.now);
            self.members.set_draining();
            self.actions.push(NodeAction::Note(NodeNote::DrainBegun));
            self.last_beat = None;
            self.review_takers();
        }
    }

    fn step_drain(&mut self) {
        let before = self.drain.phase();
        let input = DrainInput { requests: self.entry.len(), slots_held: self.home.slots_held() };
        self.drain.tick(self.now, input);
        let phase = self.drain.phase();
        if phase == DrainPhase::Closing {
            let takers: Vec<DaemonId> = self.takers.clone();
            for (taker, hand_over) in self.home.hand_over(&takers) {
                self.post(&taker.vm, PeerMessage::KeyHandOver(hand_over));
            }
        }
        if before != phase {
            match phase {
                DrainPhase::Closing => self.actions.push(NodeAction::Note(NodeNote::DrainClosing)),
                DrainPhase::Ended => self.actions.push(NodeAction::End),
                _ => {}
            }
        }
    }
}

/// The cached order of schedulers of a pool.
fn order_of(
    orders: &BTreeMap<PoolId, Vec<DaemonId>>,
    members: &MemberView,
    pool: &str,
) -> Vec<DaemonId> {
    orders.get(pool).cloned().unwrap_or_else(|| members.scheduler_order(pool))
}
