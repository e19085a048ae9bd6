//! Routes events between the state machines of one daemon and collects their actions.
//!
//! Owns: all state machines of one daemon. Relies on: its driver for clocks, messages and platform calls.

mod begun_lists;
mod configuration;
mod evacuations;
mod frames;
mod held_grants;
mod keys;
mod known_changes;
mod lethal;
mod loads;
mod members;
mod messages;
mod notices;
mod options;
mod own_tallies;
mod platform;
mod pulls;
mod relays;
mod requests;
mod rollouts;
mod standstill;
mod stop;
mod stored_forms;
mod stream_forms;
mod stream_hand_over;
mod stream_proofs;
mod stream_starts;
mod streams;
mod suspects;
mod take_ups;
mod time;
mod version_histories;
mod views;
mod warm_ups;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use curlewcleat_config::ConfigStore;
use curlewcleat_core::{
    ActiveConfig, ConfigBundle, DaemonId, DiscoveredTarget, PeerMessage, PoolId, Uptime, VmId,
    WallTime,
};
use curlewcleat_keys::KeyHolder;
use curlewcleat_sched::{
    AccountRates, DrainState, EntryRequests, LevelGuard, MemberView, PoolScheduler, ALL_POOLS,
};

use self::held_grants::HeldGrant;
use self::lethal::LethalExchange;
use self::loads::UnsentLoads;
use self::members::cached_order;
use self::notices::ReceivedNotices;
pub use self::options::NodeOptions;
use self::rollouts::RolloutExchange;
use self::standstill::Standstill;
use self::stop::HAND_OVER_ACK_WAIT;
use self::stream_forms::FormExchange;
use self::streams::StreamExchange;
use self::version_histories::HistoryExchange;
use crate::awaited_answer::AwaitedAnswer;
use crate::config_exchange::ConfigExchange;
use crate::evacuation_proof::EvacuationProof;
use crate::evacuation_view::EvacuationView;
use crate::event::{NodeAction, NodeEvent};
use crate::freshness::{PlatformFreshness, ReadRole};
use crate::target_view::TargetView;
use crate::vms::VmView;
use crate::warm_ups::WarmUps;

/// All state machines of one daemon.
pub struct Node {
    options: NodeOptions,
    members: MemberView,
    store: ConfigStore,
    /// The configuration in force, with the discovered targets added.
    active: Arc<ActiveConfig>,
    discovered: Vec<DiscoveredTarget>,
    targets: TargetView,
    evacuations: EvacuationView,
    evacuation_proof: EvacuationProof,
    /// Granted permits that wait for the evacuated data centres.
    held_grants: Vec<HeldGrant>,
    warm_ups: WarmUps,
    freshness: Option<PlatformFreshness>,
    read_role: ReadRole,
    key_holder: KeyHolder,
    rates: AccountRates,
    pools: BTreeMap<PoolId, PoolScheduler>,
    guards: BTreeMap<PoolId, LevelGuard>,
    entry: EntryRequests,
    lethal: LethalExchange,
    notices: ReceivedNotices,
    unsent_loads: UnsentLoads,
    rollouts: RolloutExchange,
    streams: StreamExchange,
    stream_forms: FormExchange,
    histories: HistoryExchange,
    drain: DrainState,
    vms: VmView,
    /// Reachable daemons that may take roles, including this one.
    eligible: Vec<DaemonId>,
    /// Order of schedulers that covers all pools together.
    all_pools_order: Vec<DaemonId>,
    configs: ConfigExchange,
    table_pull: AwaitedAnswer,
    targets_pull: AwaitedAnswer,
    /// Acknowledgement of the key records that this daemon hands over during its planned stop.
    hand_over_answer: AwaitedAnswer,
    /// Order of schedulers of each pool.
    scheduler_orders: BTreeMap<PoolId, Vec<DaemonId>>,
    table_absent: bool,
    proposal_pending: bool,
    last_heartbeat: Option<Uptime>,
    last_review: Uptime,
    last_expire: Uptime,
    /// The last time for which this daemon did not run.
    standstill: Option<Standstill>,
    now: Uptime,
    wall: WallTime,
    outbox: BTreeMap<VmId, Vec<PeerMessage>>,
    inbox: VecDeque<PeerMessage>,
    actions: Vec<NodeAction>,
}

impl Node {
    /// Returns a node without configuration, peers or targets.
    pub fn new(options: NodeOptions) -> Node {
        let me = options.me.clone();
        Node {
            members: MemberView::new(me.clone(), options.members.clone()),
            store: match options.freshness {
                Some(_) => ConfigStore::for_platform(),
                None => ConfigStore::default(),
            },
            active: Arc::default(),
            discovered: Vec::new(),
            targets: TargetView::default(),
            evacuations: EvacuationView::default(),
            evacuation_proof: EvacuationProof::within(options.evacuation_limit),
            held_grants: Vec::new(),
            warm_ups: WarmUps::default(),
            freshness: options
                .freshness
                .map(|limits| PlatformFreshness::new(limits, me.incarnation)),
            // Matches the tasks that read the platform, which start in this role.
            read_role: ReadRole::Reader,
            key_holder: KeyHolder::new(me.clone(), options.keys.clone()),
            rates: AccountRates::new(options.rate_margin),
            pools: BTreeMap::new(),
            guards: BTreeMap::new(),
            entry: EntryRequests::new(options.entry.clone()),
            lethal: LethalExchange::default(),
            notices: ReceivedNotices::default(),
            unsent_loads: UnsentLoads::default(),
            rollouts: RolloutExchange::default(),
            streams: StreamExchange::default(),
            stream_forms: FormExchange::default(),
            histories: HistoryExchange::default(),
            drain: DrainState::new(options.drain_grace, options.hand_over_limit),
            vms: VmView::default(),
            all_pools_order: vec![me.clone()],
            eligible: vec![me],
            configs: ConfigExchange::new(options.link_bytes_per_s),
            table_pull: AwaitedAnswer::default(),
            targets_pull: AwaitedAnswer::default(),
            hand_over_answer: AwaitedAnswer::new(HAND_OVER_ACK_WAIT),
            scheduler_orders: BTreeMap::new(),
            table_absent: false,
            proposal_pending: false,
            last_heartbeat: None,
            last_review: Duration::ZERO,
            last_expire: Duration::ZERO,
            standstill: None,
            now: Duration::ZERO,
            wall: Duration::ZERO,
            outbox: BTreeMap::new(),
            inbox: VecDeque::new(),
            actions: Vec::new(),
            options,
        }
    }

    /// Handles an event and returns the actions to perform, in order.
    pub fn handle(&mut self, now: Uptime, wall: WallTime, event: NodeEvent) -> Vec<NodeAction> {
        let stood_still = self.record_standstill(now);
        self.now = now;
        self.wall = wall;
        if stood_still {
            self.review_evacuations();
        }
        match event {
            NodeEvent::Tick => self.tick(),
            NodeEvent::PeerFrameReceived(frame) => self.peer_frame(frame),
            NodeEvent::Admit(spec) => self.admit(*spec),
            NodeEvent::RequestInterrupted(features, interruption) => {
                self.attempt_interrupted(&features, &interruption);
            }
            NodeEvent::AnswerEstablished(id) => self.answer_established(id),
            NodeEvent::NoticeReceived(pool, report) => self.own_notice_received(pool, report),
            NodeEvent::LoadStated { pool, instance, load, seen } => {
                self.load_stated(pool, instance, load, seen);
            }
            NodeEvent::BrittleChanged(pool, brittle) => {
                if self.active.pools.contains_key(&pool) {
                    self.pool(&pool).set_brittle(brittle);
                }
            }
            NodeEvent::RolloutsListed { rollouts, at, sent } => {
                self.rollouts_listed(rollouts, at, sent);
            }
            NodeEvent::AnswerObserved(pool, sample) => self.answer_observed(pool, *sample),
            NodeEvent::RefusalsRead(reports) => self.merge_suspects(reports),
            NodeEvent::StreamTalliesRead(tallies) => self.stream_tallies_read(tallies),
            NodeEvent::StoredFormsRead(forms) => self.stored_forms_read(forms),
            NodeEvent::StreamFormsStored(pool, forms) => self.stream_forms_stored(pool, forms),
            NodeEvent::RefusalStored(feature) => self.refusal_stored(&feature),
            NodeEvent::VersionHistoriesRead { histories, sent } => {
                self.histories_read(histories, sent);
            }
            NodeEvent::ClearSuspect(digest) => self.clear_suspect(&digest),
            NodeEvent::Finished(id, end) => self.request_finished(id, *end),
            NodeEvent::AttemptNotRun(id, end, retry) => self.attempt_not_run(id, end, retry),
            NodeEvent::Replacement(id, step) => self.replacement(id, step),
            NodeEvent::StreamBegun(id, pool, begun) => self.stream_begun(id, &pool, begun),
            NodeEvent::AnswerBegun(id) => self.entry.answer_begun(id),
            NodeEvent::CallerDisconnected(id) => {
                self.forget_take_up(id);
                let actions = self.entry.cancelled(id);
                self.perform(actions);
            }
            NodeEvent::ConfigRead(bundle) => self.config_offered(bundle),
            NodeEvent::ConfigDecoded(config) => self.decoded_config_offered(*config),
            NodeEvent::TableRead(read) => self.table_read(read),
            NodeEvent::TableWritten(write) => self.table_written(write),
            NodeEvent::TargetReported(pool, target, report) => {
                self.target_reported(&pool, &target, &report);
            }
            NodeEvent::TargetsListed(targets, at) => self.targets_listed(targets, at),
            NodeEvent::TargetsChanged { from, changes, at } => {
                self.targets_changed(from, changes, at);
            }
            NodeEvent::EvacuationsListed { list, sent } => self.evacuations_read(list, sent),
            NodeEvent::WarmUpLimitsRead(limits) => {
                self.warm_ups.set_limits(limits);
                self.apply_warm_ups();
            }
            NodeEvent::PlatformRead(sent) => self.platform_read(sent),
            NodeEvent::PlatformFailed => self.platform_failed(),
            NodeEvent::DaemonsListed(records) => self.daemons_listed(records),
            NodeEvent::SeedsChanged(addresses) => self.seeds_changed(addresses),
            NodeEvent::VmsRead(list) => self.vms_read(&list),
            NodeEvent::Drain => self.begin_drain(),
        }
        self.release_held_grants();
        self.run_inbox();
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<ActiveConfig> {
        Arc::clone(&self.active)
    }

    /// Returns the texts of the configuration in force.
    pub fn config_bundle(&self) -> Option<&ConfigBundle> {
        self.store.bundle()
    }

    /// Returns whether the health check succeeds.
    pub fn ready(&self) -> bool {
        self.drain.ready() && self.store.generation() > 0
    }

    /// Returns a copy of the scheduler of a pool, if this daemon has one.
    pub fn scheduler(&self, pool: &str) -> Option<PoolScheduler> {
        self.pools.get(pool).cloned()
    }

    /// Returns the daemons in the order in which they are preferred as schedulers, best first.
    pub fn scheduler_order(&self) -> &[DaemonId] {
        &self.all_pools_order
    }

    /// Returns the subject from which the order of schedulers of a pool is computed.
    fn scheduling_subject<'a>(&self, pool: &'a str) -> &'a str {
        match self.options.one_scheduler {
            true => ALL_POOLS,
            false => pool,
        }
    }
}
