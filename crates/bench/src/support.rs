//! Shared by the measurements: durations, memory, and configured nodes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use curlewcleat_core::{hash_token, ConfigBundle, DaemonId, PermitId, PermitRequest, RequestId};
use curlewcleat_keys::KeyHolderOptions;
use curlewcleat_node::{Node, NodeEvent, NodeOptions};
use curlewcleat_sched::{EntryOptions, MemberOptions};

/// Name of the configured pool.
pub const POOL: &str = "pool";

/// Returns the mean duration of a call over `count` calls.
pub fn time_each(count: u32, mut call: impl FnMut(u32)) -> Duration {
    let started = Instant::now();
    (0..count).for_each(&mut call);
    started.elapsed() / count
}

/// Returns the resident bytes of this process.
pub fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4_096
}

/// Returns the id of a daemon.
pub fn daemon(index: usize) -> DaemonId {
    DaemonId { vm: format!("entry-{index:04}"), incarnation: index as u64 }
}

/// Returns a permit request; its tier and prefix depend on its number.
pub fn permit_request(number: u32, account: usize) -> PermitRequest {
    PermitRequest {
        permit: PermitId { request: RequestId::from_u128(u128::from(number) + 1), attempt: 0 },
        pool: POOL.to_string(),
        tier: (number % 4) as u8,
        account: format!("account-{account:04}"),
        cost: 1,
        objectives: curlewcleat_core::LatencyObjectives::default(),
        time_left: Duration::from_secs(600),
        prompt_work: 10_000,
        output_work: 500_000,
        prefix: Some(u64::from(number % 50)),
        avoid: Vec::new(),
        version: None,
    }
}

/// Returns the files of a configuration with one pool.
pub fn configuration(targets: usize, accounts: usize) -> BTreeMap<String, String> {
    let mut text = String::from(
        "[tier t0]\nrank = 0\n[tier t1]\nrank = 1\n[tier t2]\nrank = 2\n[tier t3]\nrank = 3\n\
         [pool pool]\nkind = engine\nqueue_limit = 1000000\n[rule r]\npath = /*\ntier = t0\npool = pool\n",
    );
    for index in 0..targets {
        text.push_str(&format!(
            "[target t{index:05}]\npool = pool\naddress = 10.0.{}.{}:8000\nvm = v{index}\nslots = 8\n",
            index / 250,
            index % 250 + 1
        ));
    }
    let mut account_text = String::new();
    for index in 0..accounts {
        let hash = hash_token(index.to_string());
        let hex: String = hash.bytes().iter().map(|byte| format!("{byte:02x}")).collect();
        account_text.push_str(&format!(
            "[account account-{index:04}]\ntoken_sha256 = {hex}\nqueue_limit = 1000000\n"
        ));
    }
    let files = [("all.ini", text), ("accounts.ini", account_text)];
    files.map(|(name, text)| (name.to_string(), text)).into()
}

/// Returns a daemon that sends its heartbeats to all others.
pub fn node(index: usize) -> Node {
    node_in(index, usize::MAX)
}

/// Returns a daemon that sends its heartbeats to all others in a fleet of up to `mesh_limit` daemons.
pub fn node_in(index: usize, mesh_limit: usize) -> Node {
    Node::new(NodeOptions {
        me: daemon(index),
        members: MemberOptions {
            address: format!("10.1.{}.{}:7100", index / 250, index % 250 + 1),
            data_centre: "dc".to_string(),
            seeds: Vec::new(),
            suspect_after: Duration::from_secs(2),
            mesh_limit,
            capacity: 100,
            started: 0,
        },
        keys: KeyHolderOptions::default(),
        key_slots: 64,
        entry: EntryOptions::default(),
        rate_margin: curlewcleat_sched::RateMargin::default(),
        one_scheduler: false,
        age_per_work: 32,
        uses_stated_loads: false,
        shares_stream_forms: false,
        books_returns: false,
        request_limit: 1_000_000,
        link_bytes_per_s: 125_000_000,
        freshness: None,
        evacuation_limit: None,
        rollout: None,
        heartbeat_every: Duration::from_millis(500),
        drain_grace: Duration::from_secs(2),
        hand_over_limit: Duration::from_secs(30),
    })
}

/// Returns a daemon with a configuration in force.
pub fn configured(targets: usize, accounts: usize) -> Node {
    let mut node = node(0);
    let files = configuration(targets, accounts);
    let bundle = ConfigBundle { generation: 1, files };
    node.handle(Duration::ZERO, Duration::from_secs(1), NodeEvent::ConfigRead(bundle));
    node
}
