//! Builds the daemons, targets and messages that tests start with.

use std::time::Duration;

use curlewcleat_core::{
    DaemonId, DaemonRecord, DiscoveredTarget, Heartbeat, RequestId, TargetEntry,
};
use curlewcleat_keys::KeyHolderOptions;
use curlewcleat_node::{FreshnessLimits, Node, NodeEvent, NodeOptions, ReadRole};
use curlewcleat_sched::{EntryOptions, MemberOptions, RequestSpec, RolloutLimits};

use super::{Daemon, APPLY_LIMIT};

/// The share of requests that a version on trial may get.
pub const ROLLOUT_LIMITS: RolloutLimits = RolloutLimits { permille: 50, slack: 25 };

pub fn address(index: usize) -> String {
    format!("127.0.0.1:{}", 1_000 + index)
}

pub fn recorded(daemons: usize) -> NodeEvent {
    let record = |index| DaemonRecord {
        daemon: DaemonId { vm: format!("vm-{index}"), incarnation: 1 },
        address: address(index),
        capacity: 100,
    };
    NodeEvent::DaemonsListed((0..daemons).map(record).collect())
}

pub fn daemon(index: usize, seeds: Vec<String>) -> Daemon {
    daemon_behind(index, seeds, 1_000)
}

/// Returns a daemon with a link of `megabits` per second.
pub fn daemon_behind(index: usize, seeds: Vec<String>, megabits: u64) -> Daemon {
    with_node(Node::new(options(index, seeds, megabits)))
}

/// Returns a daemon that takes part in the table of key slots.
pub fn key_daemon(index: usize, seeds: Vec<String>) -> Daemon {
    with_node(Node::new(NodeOptions { key_slots: 4, ..options(index, seeds, 1_000) }))
}

/// Returns the daemon of a later process on the same VM, which starts now.
pub fn later_daemon(index: usize, seeds: Vec<String>, incarnation: u64, now: Duration) -> Daemon {
    let mut options = options(index, seeds, 1_000);
    options.me.incarnation = incarnation;
    options.members.started = incarnation;
    with_node(Node::new(options).starting_at(now))
}

/// Returns the CPU capacity of a VM of a mixed fleet, in percent of a core: few are strong.
pub fn mixed_fleet_capacity(index: usize) -> u32 {
    if index % 16 == 5 {
        50
    } else {
        12
    }
}

/// Returns a daemon of a mixed fleet with the given incarnation and start time in seconds.
pub fn mixed_fleet_daemon(
    index: usize,
    seeds: Vec<String>,
    incarnation: u64,
    started: u64,
) -> Daemon {
    let mut options = options(index, seeds, 1_000);
    options.me.incarnation = incarnation;
    options.members.capacity = mixed_fleet_capacity(index);
    options.members.started = started;
    with_node(Node::new(options))
}

/// Returns the daemons of a mixed fleet that the platform has recorded.
pub fn mixed_fleet_records(daemons: usize) -> NodeEvent {
    let record = |index| DaemonRecord {
        daemon: DaemonId { vm: format!("vm-{index}"), incarnation: 1 },
        address: address(index),
        capacity: mixed_fleet_capacity(index),
    };
    NodeEvent::DaemonsListed((0..daemons).map(record).collect())
}

fn with_node(node: Node) -> Daemon {
    Daemon {
        node,
        reaches_platform: true,
        reads_late: false,
        cut: false,
        drops_incoming: false,
        read_role: ReadRole::Reader,
        proved: None,
        tallies: Default::default(),
        stream_forms: Vec::new(),
        damaged_pools: Vec::new(),
        next_read: Duration::ZERO,
    }
}

fn options(index: usize, seeds: Vec<String>, megabits: u64) -> NodeOptions {
    NodeOptions {
        me: DaemonId { vm: format!("vm-{index}"), incarnation: 1 },
        members: MemberOptions {
            address: address(index),
            data_centre: "d".to_string(),
            seeds,
            suspect_after: Duration::from_secs(2),
            mesh_limit: 12,
            capacity: 100,
            started: 0,
        },
        keys: KeyHolderOptions::default(),
        key_slots: 0,
        entry: EntryOptions {
            answer_timeout: Duration::from_millis(30),
            answer_tries: 1,
            ..EntryOptions::default()
        },
        rate_margin: curlewcleat_sched::RateMargin::default(),
        one_scheduler: true,
        age_per_work: 32,
        uses_stated_loads: true,
        shares_stream_forms: true,
        books_returns: false,
        request_limit: 10_000,
        link_bytes_per_s: megabits * 1_000_000 / 8,
        freshness: Some(FreshnessLimits::within(APPLY_LIMIT)),
        evacuation_limit: Some(APPLY_LIMIT),
        rollout: Some(ROLLOUT_LIMITS),
        heartbeat_every: Duration::from_millis(500),
        drain_grace: Duration::from_secs(1),
        hand_over_limit: Duration::from_secs(1),
    }
}

/// Returns a heartbeat of the second daemon with this configuration generation.
pub fn heartbeat(generation: u64) -> Heartbeat {
    Heartbeat {
        address: address(1),
        data_centre: "d".to_string(),
        generation,
        table: 0,
        draining: false,
        stale: false,
        capacity: 100,
        started: 0,
        answer_wanted: false,
        known: Vec::new(),
    }
}

pub fn target(id: &str, leaving: bool) -> DiscoveredTarget {
    let entry = TargetEntry {
        id: id.to_string(),
        address: "127.0.0.1:1".to_string(),
        vm: id.to_string(),
        data_centre: "d".to_string(),
        slots: 4,
        start: None,
        version: None,
    };
    DiscoveredTarget { pool: "p".to_string(), entry, leaving, warm_up: None }
}

pub fn spec(number: u128) -> RequestSpec {
    RequestSpec {
        request: RequestId::from_u128(number),
        pool: "p".to_string(),
        account: "a".to_string(),
        time_left: Duration::from_secs(5),
        attempt_limit: Some(1),
        cost: 1,
        output_work: 1_000,
        ..RequestSpec::default()
    }
}
