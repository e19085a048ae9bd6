//! Measures what one more target, waiting request, peer, account, key and configuration byte costs,
//! and what real daemons cost on this machine. docs/CAPACITY.md works from these figures.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use clap::Parser;
use curlewcleat_config::check_files;
use curlewcleat_core::{
    hash_token, AttemptEnd, ConfigBundle, DaemonId, Heartbeat, KeyClaim, KeyDecision, PeerFrame,
    PeerMessage, PermitAsk, PermitId, PermitReturn, RequestId,
};
use curlewcleat_keys::{KeyHome, KeyHomeOptions, KeyTable};
use curlewcleat_node::{Node, NodeEvent, NodeOptions};
use curlewcleat_peers::{decode_frame, encode_frame};
use curlewcleat_sched::{EntryOptions, MemberOptions, PoolScheduler};
use curlewcleat_standins::callers::{caller_client, CallerCall, CallerEnd};
use curlewcleat_standins::fleet::{get_text, Fleet};

/// Daemons up to which each sends every heartbeat to all others, as on a fleet.
const MESH_LIMIT: usize = 12;
const POOL: &str = "pool";

/// Measures slopes; build with `--release`.
#[derive(Parser)]
struct Arguments {
    /// Also start real daemons and measure them.
    #[arg(long)]
    processes: bool,
    /// Only requests through real daemons.
    #[arg(long)]
    load: bool,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    if arguments.load {
        return actix_rt::System::new().block_on(async {
            load().await?;
            streams().await
        });
    }
    targets();
    waiting();
    peers();
    sparse_peers();
    accounts()?;
    keys();
    codec();
    if arguments.processes {
        actix_rt::System::new().block_on(processes())?;
    }
    Ok(())
}

/// Mean time of one call over many.
fn time_each(count: u32, mut call: impl FnMut(u32)) -> Duration {
    let begun = Instant::now();
    (0..count).for_each(&mut call);
    begun.elapsed() / count
}

/// Resident bytes of this process.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4_096
}

fn daemon(index: usize) -> DaemonId {
    DaemonId { vm: format!("entry-{index:04}"), incarnation: index as u64 }
}

fn ask(number: u32, account: usize) -> PermitAsk {
    PermitAsk {
        permit: PermitId { request: RequestId::from_u128(u128::from(number) + 1), attempt: 0 },
        pool: POOL.to_string(),
        tier: (number % 4) as u8,
        account: format!("account-{account:04}"),
        cost: 1,
        aims: curlewcleat_core::ServiceAims::default(),
        time_left: Duration::from_secs(600),
        prompt_work: 10_000,
        output_work: 500_000,
        prefix: Some(u64::from(number % 50)),
        avoid: Vec::new(),
    }
}

fn configuration(targets: usize, accounts: usize) -> BTreeMap<String, String> {
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
        let hash = hash_token(&index.to_string());
        let hex: String = hash.bytes().iter().map(|byte| format!("{byte:02x}")).collect();
        account_text.push_str(&format!(
            "[account account-{index:04}]\ntoken_sha256 = {hex}\nqueue_limit = 1000000\n"
        ));
    }
    let files = [("all.ini", text), ("accounts.ini", account_text)];
    files.map(|(name, text)| (name.to_string(), text)).into()
}

fn node(index: usize) -> Node {
    node_in(index, usize::MAX)
}

/// A daemon whose heartbeats go to all others in a fleet up to `mesh_limit`.
fn node_in(index: usize, mesh_limit: usize) -> Node {
    Node::new(NodeOptions {
        me: daemon(index),
        members: MemberOptions {
            address: format!("10.1.{}.{}:7100", index / 250, index % 250 + 1),
            data_centre: "dc".to_string(),
            seeds: Vec::new(),
            suspect_after: Duration::from_secs(2),
            mesh_limit,
            capacity: 100,
            born: 0,
        },
        keys: KeyHomeOptions::default(),
        key_slots: 64,
        entry: EntryOptions::default(),
        rate_margin: curlewcleat_sched::RateMargin::default(),
        one_scheduler: false,
        age_per_work: 32,
        request_limit: 1_000_000,
        freshness: None,
        beat: Duration::from_millis(500),
        drain_grace: Duration::from_secs(2),
        hand_over_limit: Duration::from_secs(30),
    })
}

fn configured(targets: usize, accounts: usize) -> Node {
    let mut node = node(0);
    let files = configuration(targets, accounts);
    let bundle = ConfigBundle { generation: 1, files };
    node.handle(Duration::ZERO, Duration::from_secs(1), NodeEvent::ConfigRead(bundle));
    node
}

fn scheduler(targets: usize, accounts: usize) -> PoolScheduler {
    configured(targets, accounts).scheduler(POOL).expect("the pool is configured")
}

fn targets() {
    println!(
        "targets known | ask, grant and return of one permit (ns) | resident bytes per target"
    );
    for count in [16, 64, 128, 1_000, 10_000] {
        let before = resident();
        let mut scheduler = scheduler(count, 5);
        let bytes = (resident().saturating_sub(before)) / count as u64;
        let rounds = if count > 500 { 500 } else { 20_000 };
        let each = time_each(rounds, |number| {
            let ask = ask(number, 0);
            let permit = ask.permit;
            black_box(scheduler.ask(Duration::ZERO, daemon(1), ask));
            let end = AttemptEnd::Whole(Duration::from_millis(500));
            let back = PermitReturn { permit, pool: POOL.to_string(), end };
            black_box(scheduler.give_back(Duration::ZERO, &back));
        });
        println!("{count:>13} | {:>10} | {bytes:>8}", each.as_nanos());
    }
}

fn waiting() {
    println!("asks waiting | one more ask (ns) | one return with its grant (ns) | resident bytes per ask");
    for count in [1_000u32, 10_000, 50_000] {
        let mut scheduler = scheduler(64, 5);
        let before = resident();
        for number in 0..count + 512 {
            scheduler.ask(Duration::ZERO, daemon(1), ask(number, number as usize % 5));
        }
        let bytes = resident().saturating_sub(before) / u64::from(count);
        let more = time_each(1_000, |number| {
            black_box(scheduler.ask(Duration::ZERO, daemon(1), ask(count + 1_000 + number, 0)));
        });
        let held: Vec<PermitId> = scheduler.permits().keys().take(500).copied().collect();
        let back = time_each(held.len() as u32, |number| {
            let end = AttemptEnd::Whole(Duration::from_millis(500));
            let back = PermitReturn { permit: held[number as usize], pool: POOL.to_string(), end };
            black_box(scheduler.give_back(Duration::ZERO, &back));
        });
        println!("{count:>12} | {:>8} | {:>8} | {bytes:>6}", more.as_nanos(), back.as_nanos());
    }
}

fn beat_of(index: usize, known: usize) -> PeerFrame {
    beat_with(index, known, 100)
}

fn beat_with(index: usize, known: usize, capacity: u32) -> PeerFrame {
    let address = |index: usize| format!("10.1.{}.{}:7100", index / 250, index % 250 + 1);
    let beat = Heartbeat {
        stale: false,
        capacity,
        born: 0,
        answer_wanted: false,
        address: address(index),
        data_centre: "dc".to_string(),
        generation: 0,
        table: 0,
        draining: false,
        known: (0..known).map(address).collect(),
    };
    PeerFrame { from: daemon(index), messages: vec![PeerMessage::Heartbeat(beat)] }
}

fn peers() {
    println!("peers | one heartbeat taken (ns) | one beat made for all (us) | bytes of one frame | bytes/s out | tick (us)");
    for count in [6usize, 50, 200, 1_100] {
        let mut node = node(0);
        let wall = Duration::from_secs(1);
        let mut now = Duration::from_millis(1);
        for index in 1..=count {
            node.handle(now, wall, NodeEvent::Peer(beat_of(index, 4)));
        }
        let taken = time_each(200, |number| {
            let frame = beat_of(1 + number as usize % count, 4);
            black_box(node.handle(now, wall, NodeEvent::Peer(frame)));
        });
        now += Duration::from_millis(500);
        let begun = Instant::now();
        let actions = node.handle(now, wall, NodeEvent::Tick);
        let made = begun.elapsed();
        let frames: Vec<usize> = actions
            .iter()
            .filter_map(|action| match action {
                curlewcleat_node::NodeAction::Send(_, frame) => Some(encode_frame(frame).len()),
                _ => None,
            })
            .collect();
        let bytes: usize = frames.iter().sum();
        let tick = time_each(50, |_| {
            black_box(node.handle(now, wall, NodeEvent::Tick));
        });
        println!(
            "{count:>5} | {:>8} | {:>8} | {:>6} | {:>9} | {:>6}",
            taken.as_nanos(),
            made.as_micros(),
            frames.first().copied().unwrap_or(0),
            bytes * 2,
            tick.as_micros()
        );
    }
}

/// Heartbeats of a daemon that is no candidate, as they are sent on a fleet, where all others are heard.
fn sparse_peers() {
    println!("peers | heartbeats out a second | bytes out a second | the same of a candidate");
    for count in [6usize, 62, 200, 1_100] {
        let (frames, bytes) = sent_each_second(count, 200);
        let (candidate, _) = sent_each_second(count, 50);
        println!("{count:>5} | {frames:>8.1} | {bytes:>9.0} | {candidate:>8.1}");
    }
}

/// Frames and bytes that a daemon with 100 % of a core sends each second to peers with `capacity`.
fn sent_each_second(count: usize, capacity: u32) -> (f64, f64) {
    const SETTLED: u64 = 5;
    const MEASURED: u64 = 20;
    let mut node = node_in(0, MESH_LIMIT);
    let wall = Duration::from_secs(1);
    let (mut frames, mut bytes) = (0usize, 0usize);
    for step in 1..=(SETTLED + MEASURED) * 2 {
        let now = Duration::from_millis(step * 500);
        for index in 1..=count {
            node.handle(now, wall, NodeEvent::Peer(beat_with(index, 4, capacity)));
        }
        let actions = node.handle(now, wall, NodeEvent::Tick);
        if step <= SETTLED * 2 {
            continue;
        }
        for action in actions {
            if let curlewcleat_node::NodeAction::Send(_, frame) = action {
                frames += 1;
                bytes += encode_frame(&frame).len();
            }
        }
    }
    (frames as f64 / MEASURED as f64, bytes as f64 / MEASURED as f64)
}

fn accounts() -> Result<()> {
    println!("accounts | targets | configuration bytes | check (ms) | take in force (ms) | resident bytes");
    for (accounts, targets) in [(5, 22), (300, 1_000), (2_700, 1_000), (2_700, 10_000)] {
        let files = configuration(targets, accounts);
        let length: usize = files.values().map(String::len).sum();
        let begun = Instant::now();
        let checked = check_files(1, &files).context("the configuration is right")?;
        let check = begun.elapsed();
        black_box(checked);
        let before = resident();
        let begun = Instant::now();
        let node = configured(targets, accounts);
        let take = begun.elapsed();
        let bytes = resident().saturating_sub(before);
        black_box(&node);
        println!(
            "{accounts:>8} | {targets:>7} | {length:>9} | {:>7.2} | {:>7.2} | {bytes:>9}",
            check.as_secs_f64() * 1e3,
            take.as_secs_f64() * 1e3
        );
    }
    Ok(())
}

fn keys() {
    println!("keys held | one claim (ns) | resident bytes per key");
    for count in [10_000u32, 100_000, 400_000] {
        let mut home = KeyHome::new(
            daemon(0),
            KeyHomeOptions { key_limit: 10_000_000, ..KeyHomeOptions::default() },
        );
        home.table_read(1, KeyTable::deal(64, &[daemon(0)]));
        let before = resident();
        let wall = Duration::from_secs(1_000_000);
        let claim = |number: u32| KeyClaim {
            request: RequestId::from_u128(u128::from(number)),
            account: "account-0001".to_string(),
            key: format!("0190a5b8-0000-4000-8000-{number:012}"),
            attempt: None,
        };
        let each = time_each(count, |number| {
            let decision = home.claim(wall, &claim(number));
            assert_eq!(decision, KeyDecision::First);
        });
        let bytes = resident().saturating_sub(before) / u64::from(count);
        println!("{count:>9} | {:>8} | {bytes:>6}", each.as_nanos());
    }
}

fn codec() {
    let message = PeerMessage::PermitAsk(ask(1, 1));
    for count in [1usize, 8, 64] {
        let frame = PeerFrame { from: daemon(1), messages: vec![message.clone(); count] };
        let bytes = encode_frame(&frame);
        let each = time_each(20_000, |_| {
            let bytes = encode_frame(&frame);
            black_box(decode_frame(&bytes)).ok();
        });
        println!(
            "frame with {count} asks: {} bytes, encoded and decoded in {} ns",
            bytes.len(),
            each.as_nanos()
        );
    }
}

/// Processor time of a process in milliseconds, and its resident bytes and threads.
fn process_cost(id: u32) -> Result<(u64, u64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let field =
        |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    // Fields 14 and 15 of the whole line, in ticks of 10 ms; 20 is the threads, 24 the pages.
    Ok(((field(11) + field(12)) * 10, field(21) * 4_096, field(17)))
}

async fn processes() -> Result<()> {
    println!("daemons | idle CPU of one (% of a core) | resident MB | threads | peer bytes/s out");
    for count in [2usize, 4, 8, 16] {
        let mut fleet = Fleet::start(&format!("slopes-{count}")).await?;
        fleet.target("service", &["--work-us", "1000"]).await?;
        fleet.daemons(count).await?;
        let text = "[tier t]\nrank = 0\n[pool p]\nkind = service\n";
        fleet.apply("all.ini", text)?;
        fleet.peers_ready(count - 1).await?;
        fleet.key_table_ready().await?;
        let id = fleet.daemons[0].process.id();
        let sent = sent_bytes(&fleet).await?;
        let (before, ..) = process_cost(id)?;
        tokio::time::sleep(Duration::from_secs(4)).await;
        let (after, memory, threads) = process_cost(id)?;
        let sent = sent_bytes(&fleet).await? - sent;
        println!(
            "{count:>7} | {:>5.2} | {:>5.1} | {threads:>3} | {:>6}",
            (after - before) as f64 / 40.0,
            memory as f64 / 1e6,
            sent / 4
        );
    }
    load().await?;
    streams().await
}

async fn sent_bytes(fleet: &Fleet) -> Result<u64> {
    let metrics = get_text(&fleet.daemons[0].operators, "/metrics").await?;
    let line = metrics.lines().find(|line| line.contains("peer_frames{kind=\"sent_bytes\"}"));
    Ok(line
        .and_then(|line| line.rsplit(' ').next())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0))
}

/// Requests through one of two daemons against direct calls to the same service.
async fn load() -> Result<()> {
    let mut fleet = Fleet::start("slopes-load").await?;
    fleet.target("service", &["--work-us", "1000", "--slots", "256"]).await?;
    fleet.daemons(2).await?;
    let hash: String = hash_token("t").bytes().iter().map(|byte| format!("{byte:02x}")).collect();
    let text = format!(
        "[tier t]\nrank = 0\n[account a]\ntoken_sha256 = {hash}\n[pool p]\nkind = service\n\
         [target s]\npool = p\naddress = {}\nvm = v\nslots = 256\n[rule r]\npath = /*\ntier = t\npool = p\n",
        fleet.targets[0].address
    );
    fleet.apply("all.ini", &text)?;
    fleet.peers_ready(1).await?;
    fleet.key_table_ready().await?;
    println!(
        "path | callers | requests/s | p50 us | p99 us | daemon CPU us per request (each of two)"
    );
    for callers in [1usize, 16, 64] {
        let direct = [fleet.targets[0].address.clone()];
        let entries = [fleet.daemons[0].callers.clone()];
        let other = [fleet.daemons[1].callers.clone()];
        for (name, addresses, keyed) in [
            ("direct", &direct[..], false),
            ("daemon 0", &entries[..], false),
            ("daemon 1", &other[..], false),
            ("daemon 0, keyed", &entries[..], true),
        ] {
            one_path(&fleet, name, addresses, callers, keyed).await?;
        }
    }
    Ok(())
}

/// What a streamed token, an open stream and a waiting request cost a daemon.
async fn streams() -> Result<()> {
    let mut fleet = Fleet::start("slopes-streams").await?;
    fleet
        .target(
            "engine",
            &["--slots", "4000", "--output-token-us", "20000", "--prompt-token-us", "0"],
        )
        .await?;
    fleet
        .target(
            "engine",
            &["--slots", "1", "--output-token-us", "60000000", "--prompt-token-us", "0"],
        )
        .await?;
    fleet.daemons(1).await?;
    let hash: String = hash_token("t").bytes().iter().map(|byte| format!("{byte:02x}")).collect();
    let mut text =
        format!("[tier t]\nrank = 0\ndeadline = 10m\n[account a]\ntoken_sha256 = {hash}\n");
    for (index, (pool, slots)) in [("open", 4000), ("wait", 1)].into_iter().enumerate() {
        text.push_str(&format!(
            "[pool {pool}]\nkind = engine\nqueue_limit = 100000\noutput_token_us = 1\n[target {pool}]\npool = {pool}\n\
             address = {}\nvm = v\nslots = {slots}\n[rule {pool}]\npath = /{pool}\ntier = t\npool = {pool}\n",
            fleet.targets[index].address
        ));
    }
    fleet.apply("all.ini", &text)?;
    println!("held | of a kind | resident bytes of the daemon each | CPU us per token | CPU % of a core while held");
    for (kind, count, tokens) in [
        ("open", 250usize, 200u64),
        ("open", 500, 200),
        ("open", 1_000, 200),
        ("wait", 1_000, 1),
        ("wait", 2_000, 1),
    ] {
        let id = fleet.daemons[0].process.id();
        let (cpu, memory, _) = process_cost(id)?;
        let address = fleet.daemons[0].callers.clone();
        let tasks: Vec<_> = (0..count)
            .map(|number| {
                let address = address.clone();
                actix_rt::spawn(async move {
                    let nonce = format!("{kind}-{number}");
                    let call =
                        CallerCall::engine(&format!("/{kind}"), "t", &nonce, "prompt", tokens);
                    call.send(&caller_client(), &address).await
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let (held_cpu, held, _) = process_cost(id)?;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let busy = (process_cost(id)?.0 - held_cpu) as f64 / 10.0;
        let mut per_token = 0.0;
        if kind == "open" {
            for task in tasks {
                anyhow::ensure!(
                    task.await?.end == CallerEnd::Whole,
                    "slopes: a stream is not whole"
                );
            }
            per_token = (process_cost(id)?.0 - cpu) as f64 * 1e3 / (count as u64 * tokens) as f64;
        } else {
            tasks.iter().for_each(|task| task.abort());
        }
        let bytes = held.saturating_sub(memory) / count as u64;
        println!("{count:>5} | {kind} | {bytes:>7} | {per_token:>5.1} | {busy:>5.1}");
    }
    Ok(())
}

async fn one_path(
    fleet: &Fleet,
    name: &str,
    addresses: &[String],
    callers: usize,
    keyed: bool,
) -> Result<()> {
    const EACH: usize = 300;
    let before = [
        process_cost(fleet.daemons[0].process.id())?.0,
        process_cost(fleet.daemons[1].process.id())?.0,
    ];
    let begun = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|caller| {
            let address = addresses[caller % addresses.len()].clone();
            let name = name.to_string();
            actix_rt::spawn(async move {
                let client = caller_client();
                let mut times = Vec::new();
                for number in 0..EACH {
                    let nonce = format!("{name}-{caller}-{number}-{}", uuid::Uuid::new_v4());
                    let mut call = CallerCall::service("/v1/x", "t", &nonce);
                    if keyed {
                        call = call.header("Idempotency-Key", &nonce);
                    }
                    let record = call.send(&client, &address).await;
                    if record.end == CallerEnd::Whole {
                        times.push(record.took);
                    }
                }
                times
            })
        })
        .collect();
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await?);
    }
    let elapsed = begun.elapsed();
    times.sort();
    let requests = times.len();
    anyhow::ensure!(requests == callers * EACH, "slopes: {requests} of {} whole", callers * EACH);
    let after = [
        process_cost(fleet.daemons[0].process.id())?.0,
        process_cost(fleet.daemons[1].process.id())?.0,
    ];
    let cpu = |index: usize| (after[index] - before[index]) as f64 * 1e3 / requests as f64;
    println!(
        "{name:<16} | {callers:>3} | {:>7.0} | {:>6} | {:>6} | {:>5.0} {:>5.0}",
        requests as f64 / elapsed.as_secs_f64(),
        times[requests / 2].as_micros(),
        times[requests * 99 / 100].as_micros(),
        cpu(0),
        cpu(1)
    );
    Ok(())
}
