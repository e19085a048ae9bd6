//! The demo: runs a mixed load with a burst against the example configuration of each of two users, with 3 daemons,
//! 4 engines and 2 services on loopback, and compares the ledgers of the targets with the outcomes of the callers.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use clap::Parser;
use curlewcleat_standins::deployment::Deployment;
use curlewcleat_standins::load::{report, LoadPlan, LoadStream};
use curlewcleat_standins::verdicts::{disagreements, read_ledgers};

/// Runs the demo; exits with 1 if ledgers and verdicts disagree.
#[derive(Parser)]
struct Arguments {
    /// Folder with the examples.
    #[arg(long, default_value = "examples")]
    examples: String,
    /// Seconds over which requests start, for each user.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// An example user: folder of the configuration, ids, pools and VMs of the targets, and the load.
struct ExampleUser {
    folder: &'static str,
    engines: [(&'static str, &'static str, &'static str); 4],
    services: [(&'static str, &'static str, &'static str); 2],
    streams: Vec<LoadStream>,
}

#[actix_rt::main]
async fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse();
    let mut agreed = true;
    for user in [sahel_volt(), atlas()] {
        agreed &= run(&arguments, &user).await.with_context(|| format!("demo: {}", user.folder))?;
    }
    Ok(if agreed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn run(arguments: &Arguments, user: &ExampleUser) -> Result<bool> {
    println!("== {} (seed {})", user.folder, arguments.seed);
    let mut fleet = Deployment::start(&format!("demo-{}", user.folder)).await?;
    for _ in &user.engines {
        fleet.target("engine", &["--prompt-token-us", "150", "--output-token-us", "12000"]).await?;
    }
    for _ in &user.services {
        fleet.target("service", &["--work-us", "20000"]).await?;
    }
    fleet.daemons(3).await?;
    apply_example(arguments, user, &fleet)?;
    fleet.wait_for_peers(2).await?;
    fleet.wait_for_key_table().await?;
    let plan = LoadPlan {
        seed: arguments.seed,
        duration: Duration::from_secs(arguments.seconds),
        burst: 3.0,
        streams: user.streams.clone(),
    };
    let entry_daemons: Vec<String> =
        fleet.daemons.iter().map(|daemon| daemon.callers.clone()).collect();
    let records = plan.run(&entry_daemons).await;
    let runs = read_ledgers(&fleet).await?;
    report(&plan, &records, &runs).print();
    let found = disagreements(&runs, &records);
    found.iter().for_each(|line| println!("DISAGREE: {line}"));
    println!(
        "ledgers and verdicts {}: {} requests, {} runs",
        agreement(&found),
        records.len(),
        runs.len()
    );
    Ok(found.is_empty())
}

fn agreement(found: &[String]) -> &'static str {
    if found.is_empty() {
        "agree"
    } else {
        "DISAGREE"
    }
}

/// Applies the user's configuration files with the stand-ins as targets.
fn apply_example(arguments: &Arguments, user: &ExampleUser, fleet: &Deployment) -> Result<()> {
    let folder = Path::new(&arguments.examples).join(user.folder);
    let mut targets = String::new();
    for (index, (id, pool, vm)) in user.engines.iter().chain(&user.services).enumerate() {
        let address = &fleet.targets[index].address;
        let slots = if index < user.engines.len() { 8 } else { 16 };
        targets.push_str(&format!(
            "[target {id}]\npool = {pool}\nvm = {vm}\naddress = {address}\nslots = {slots}\n\n"
        ));
    }
    let mut paths = vec![fleet.write_file("targets.ini", &targets)?];
    for name in ["tiers.ini", "accounts.ini", "pools.ini", "rules.ini"] {
        paths.push(folder.join(name).display().to_string());
    }
    let mut command = vec!["apply", "--wait", "--wait-seconds", "20"];
    command.extend(paths.iter().map(String::as_str));
    let (code, output) = fleet.tool(&command)?;
    print!("{output}");
    anyhow::ensure!(code == 0, "demo: apply ended with {code}");
    Ok(())
}

fn stream(tier: &str, path: &str, token: &str, rate_per_s: f64, timeout_s: u64) -> LoadStream {
    LoadStream {
        tier: tier.to_string(),
        path: path.to_string(),
        token: token.to_string(),
        rate_per_s,
        prompt_tokens: Some((20, 2_000)),
        output_tokens: (4, 100),
        prefixes: 0,
        keyed: false,
        timeout: Duration::from_secs(timeout_s),
    }
}

fn service(
    tier: &str,
    path: &str,
    token: &str,
    rate_per_s: f64,
    timeout_s: u64,
    keyed: bool,
) -> LoadStream {
    LoadStream { prompt_tokens: None, keyed, ..stream(tier, path, token, rate_per_s, timeout_s) }
}

fn sahel_volt() -> ExampleUser {
    ExampleUser {
        folder: "sahel-volt",
        engines: [
            ("engine-01", "assistant", "charguia-e1"),
            ("engine-02", "assistant", "ariana-e1"),
            ("engine-03", "assistant", "ben-arous-e1"),
            ("engine-04", "assistant", "la-marsa-e1"),
        ],
        services: [
            ("session-1", "sessions", "charguia-s1"),
            ("session-2", "sessions", "ariana-s1"),
        ],
        streams: vec![
            service("start-stop", "/v1/sessions/unlock", "sahel-roadside-app", 40.0, 2, true),
            stream("roadside", "/v1/assistant/triage", "sahel-roadside-app", 12.0, 5),
            stream("depot", "/v1/assistant/summaries", "sahel-depot-north", 12.0, 8),
            LoadStream {
                prompt_tokens: Some((100, 10_000)),
                prefixes: 5,
                ..stream("review", "/v1/assistant/disputes", "sahel-tariff-desk", 10.0, 10)
            },
        ],
    }
}

fn atlas() -> ExampleUser {
    ExampleUser {
        folder: "atlas",
        engines: [
            ("engine-01", "drafting", "sidi-maarouf-e1"),
            ("engine-02", "drafting", "ain-sebaa-e1"),
            ("engine-03", "drafting", "bouskoura-e1"),
            ("engine-04", "drafting", "maarif-e1"),
        ],
        services: [
            ("payroll-1", "payroll", "sidi-maarouf-p1"),
            ("payroll-2", "payroll", "ain-sebaa-p1"),
        ],
        streams: vec![
            service("closing", "/v1/payroll/declarations", "atlas-textile-mills", 30.0, 5, true),
            service("records", "/v1/payroll/payslips", "atlas-clinics", 40.0, 10, false),
            stream("officer", "/v1/drafting/replies", "atlas-payroll-officers", 14.0, 6),
            LoadStream {
                prompt_tokens: Some((1_000, 15_000)),
                prefixes: 6,
                ..stream("contracts", "/v1/drafting/contracts", "atlas-archive", 5.0, 10)
            },
        ],
    }
}
