//! Costs of real daemons: idle, under requests, and with open streams.

use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use anyhow::Result;
use curlewcleat_core::hash_token;
use curlewcleat_standins::callers::{caller_client, CallerCall, CallerOutcome, CallerRecord};
use curlewcleat_standins::deployment::{get_text, Deployment};

/// Requests that each caller sends on each path.
const REQUESTS_PER_CALLER: usize = 300;

/// Processor time, memory and threads of a process.
struct ProcessCost {
    cpu_ms: u64,
    resident_bytes: u64,
    threads: u64,
}

/// A load of callers whose streams are open or whose requests wait.
#[derive(Clone, Copy)]
struct HeldLoad {
    pool: &'static str,
    count: usize,
    /// Tokens of each answer.
    tokens: u64,
}

/// Reads the cost of a process from `/proc`.
fn process_cost(id: u32) -> Result<ProcessCost> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let field =
        |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    // In the whole line, fields 14 and 15 are the processor time in ticks of 10 ms, 20 the threads, 24 the resident
    // pages.
    Ok(ProcessCost {
        cpu_ms: (field(11) + field(12)) * 10,
        resident_bytes: field(21) * 4_096,
        threads: field(17),
    })
}

/// Measures idle daemons by their number, then requests and streams.
pub async fn measure_daemons() -> Result<()> {
    println!("daemons | idle CPU of one (% of a core) | resident MB | threads | peer bytes/s out");
    for count in [2usize, 4, 8, 16] {
        let mut fleet = Deployment::start(&format!("slopes-{count}")).await?;
        fleet.target("service", &["--work-us", "1000"]).await?;
        fleet.daemons(count).await?;
        let text = "[tier t]\nrank = 0\n[pool p]\nkind = service\n";
        fleet.apply("all.ini", text)?;
        fleet.wait_for_peers(count - 1).await?;
        fleet.wait_for_key_table().await?;
        let id = fleet.daemons[0].process.id();
        let sent = sent_bytes(&fleet).await?;
        let before = process_cost(id)?;
        tokio::time::sleep(Duration::from_secs(4)).await;
        let after = process_cost(id)?;
        let sent = sent_bytes(&fleet).await? - sent;
        println!(
            "{count:>7} | {:>5.2} | {:>5.1} | {:>3} | {:>6}",
            (after.cpu_ms - before.cpu_ms) as f64 / 40.0,
            after.resident_bytes as f64 / 1e6,
            after.threads,
            sent / 4
        );
    }
    measure_requests().await
}

/// Measures requests and streams through real daemons.
pub async fn measure_requests() -> Result<()> {
    measure_load().await?;
    measure_streams().await
}

/// Returns the bytes that the first daemon has sent to its peers.
async fn sent_bytes(fleet: &Deployment) -> Result<u64> {
    let metrics = get_text(&fleet.daemons[0].operators, "/metrics").await?;
    let line = metrics.lines().find(|line| line.contains("peer_frames{kind=\"sent_bytes\"}"));
    Ok(line
        .and_then(|line| line.rsplit(' ').next())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0))
}

/// Measures requests through each of two daemons, and direct calls to the same service.
async fn measure_load() -> Result<()> {
    let mut fleet = Deployment::start("slopes-load").await?;
    fleet.target("service", &["--work-us", "1000", "--slots", "256"]).await?;
    fleet.daemons(2).await?;
    let hash: String = hash_token("t").bytes().iter().map(|byte| format!("{byte:02x}")).collect();
    let text = format!(
        "[tier t]\nrank = 0\n[account a]\ntoken_sha256 = {hash}\n[pool p]\nkind = service\n\
         [target s]\npool = p\naddress = {}\nvm = v\nslots = 256\n[rule r]\npath = /*\ntier = t\npool = p\n",
        fleet.targets[0].address
    );
    fleet.apply("all.ini", &text)?;
    fleet.wait_for_peers(1).await?;
    fleet.wait_for_key_table().await?;
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
            measure_path(&fleet, name, addresses, callers, keyed).await?;
        }
    }
    Ok(())
}

/// Measures the cost of a streamed token, an open stream and a waiting request.
async fn measure_streams() -> Result<()> {
    let fleet = stream_fleet().await?;
    println!("held | pool | resident bytes of the daemon for each | CPU us per token | CPU % of a core while held");
    for (pool, count, tokens) in [
        ("open", 250, 200),
        ("open", 500, 200),
        ("open", 1_000, 200),
        ("wait", 1_000, 1),
        ("wait", 2_000, 1),
    ] {
        hold(&fleet, HeldLoad { pool, count, tokens }).await?;
    }
    Ok(())
}

/// Starts a daemon, an engine with slots for every stream, and an engine with a single, slow slot.
async fn stream_fleet() -> Result<Deployment> {
    let mut fleet = Deployment::start("slopes-streams").await?;
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
    Ok(fleet)
}

/// Holds a load for some seconds and prints its cost.
async fn hold(fleet: &Deployment, load: HeldLoad) -> Result<()> {
    let HeldLoad { pool, count, tokens } = load;
    let id = fleet.daemons[0].process.id();
    let before = process_cost(id)?;
    let tasks = begin(load, &fleet.daemons[0].callers);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let held = process_cost(id)?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let busy = (process_cost(id)?.cpu_ms - held.cpu_ms) as f64 / 10.0;
    let mut per_token = 0.0;
    if pool == "open" {
        for task in tasks {
            anyhow::ensure!(
                task.await?.outcome == CallerOutcome::Complete,
                "slopes: a stream is not complete"
            );
        }
        let cpu_ms = process_cost(id)?.cpu_ms - before.cpu_ms;
        per_token = cpu_ms as f64 * 1e3 / (count as u64 * tokens) as f64;
    } else {
        tasks.iter().for_each(|task| task.abort());
    }
    let bytes = held.resident_bytes.saturating_sub(before.resident_bytes) / count as u64;
    println!("{count:>5} | {pool} | {bytes:>7} | {per_token:>5.1} | {busy:>5.1}");
    Ok(())
}

/// Starts the calls of a load without waiting for them.
fn begin(load: HeldLoad, address: &str) -> Vec<JoinHandle<CallerRecord>> {
    let HeldLoad { pool, count, tokens } = load;
    let start = |number| {
        let address = address.to_string();
        actix_rt::spawn(async move {
            let nonce = format!("{pool}-{number}");
            let call = CallerCall::engine(&format!("/{pool}"), "t", &nonce, "prompt", tokens);
            call.send(&caller_client(), &address).await
        })
    };
    (0..count).map(start).collect()
}

/// Sends requests of concurrent callers on one path, and prints throughput, latency and processor time.
async fn measure_path(
    fleet: &Deployment,
    name: &str,
    addresses: &[String],
    callers: usize,
    keyed: bool,
) -> Result<()> {
    let before = cpu_of_both(fleet)?;
    let started = Instant::now();
    let start = |caller: usize| {
        let address = addresses[caller % addresses.len()].clone();
        actix_rt::spawn(run_caller(address, format!("{name}-{caller}"), keyed))
    };
    let tasks: Vec<_> = (0..callers).map(start).collect();
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await?);
    }
    let elapsed = started.elapsed();
    times.sort();
    let requests = times.len();
    let sent = callers * REQUESTS_PER_CALLER;
    anyhow::ensure!(requests == sent, "slopes: {requests} of {sent} requests are complete");
    let after = cpu_of_both(fleet)?;
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

/// Returns the processor time of the two daemons in milliseconds.
fn cpu_of_both(fleet: &Deployment) -> Result<[u64; 2]> {
    Ok([
        process_cost(fleet.daemons[0].process.id())?.cpu_ms,
        process_cost(fleet.daemons[1].process.id())?.cpu_ms,
    ])
}

/// Sends requests one after the other, and returns the durations of those with a complete answer.
async fn run_caller(address: String, name: String, keyed: bool) -> Vec<Duration> {
    let client = caller_client();
    let mut times = Vec::new();
    for number in 0..REQUESTS_PER_CALLER {
        let nonce = format!("{name}-{number}-{}", uuid::Uuid::new_v4());
        let mut call = CallerCall::service("/v1/x", "t", &nonce);
        if keyed {
            call = call.header("Idempotency-Key", &nonce);
        }
        let record = call.send(&client, &address).await;
        if record.outcome == CallerOutcome::Complete {
            times.push(record.duration);
        }
    }
    times
}
