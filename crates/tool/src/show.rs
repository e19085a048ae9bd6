//! `show` and `history`.
//!
//! Owns: tables and JSON of `show` and `history`; the JSON keys are stable. Relies on: the status of the daemons, the
//! object API.

mod rollouts;
mod status;

use anyhow::{anyhow, bail, Result};
use curlewcleat_config::check_files;
use curlewcleat_store::{ObjectStore, VmState};
use futures_util::stream::{self, StreamExt};
use serde_json::{json, Value};

use crate::apply::{http_store, read_manifest, read_texts};
use crate::arguments::{Arguments, ShowArguments, ShowSubject};
use crate::{daemons, table, ToolExit};

/// Titles of the columns for each target.
const TARGET_TITLES: [&str; 10] = [
    "POOL",
    "TARGET",
    "IN FLIGHT",
    "SLOWNESS/1000",
    "LEAVING",
    "EJECTED",
    "LIMIT/S",
    "RESTS",
    "WARM-UP/S",
    "SCHEDULER",
];
/// Number of daemons whose status is read at the same time.
const READS_AT_ONCE: usize = 32;

/// `show`: prints the requested subject.
pub async fn show(arguments: &Arguments, options: &ShowArguments) -> Result<ToolExit> {
    match options.what {
        ShowSubject::Config => show_config(arguments).await,
        ShowSubject::Status => status::show_status(arguments, options.all).await,
        ShowSubject::Vms => show_vms(arguments).await,
        ShowSubject::Targets => show_targets(arguments).await,
        ShowSubject::Accounts => show_accounts(arguments).await,
        ShowSubject::Suspects => show_suspects(arguments).await,
        ShowSubject::Rollouts => rollouts::show_rollouts(arguments).await,
    }
}

/// `history`: prints the latest applies: generation, time, operator and files.
pub async fn history(arguments: &Arguments) -> Result<ToolExit> {
    // Before the first apply the history is empty.
    let manifest = read_manifest(&http_store(arguments)).await?.unwrap_or_default();
    if arguments.json {
        println!("{}", json!(manifest.history));
        return Ok(ToolExit::Done);
    }
    let rows = manifest.history.iter().map(|record| {
        vec![
            record.generation.to_string(),
            daemons::utc(record.applied_at),
            record.operator.clone(),
            record.files.join(", "),
        ]
    });
    table::print(&["GENERATION", "APPLIED", "OPERATOR", "FILES"], &rows.collect::<Vec<_>>());
    Ok(ToolExit::Done)
}

async fn show_config(arguments: &Arguments) -> Result<ToolExit> {
    let store = http_store(arguments);
    let Some(manifest) = read_manifest(&store).await? else {
        bail!("no configuration has been applied yet; apply one with `curlewcleat apply`")
    };
    let texts = read_texts(&store, &manifest).await?;
    if arguments.json {
        println!("{}", json!({ "generation": manifest.generation, "files": texts }));
        return Ok(ToolExit::Done);
    }
    println!("; generation {}", manifest.generation);
    for (name, text) in &texts {
        println!("; file {name}\n{text}");
    }
    Ok(ToolExit::Done)
}

async fn show_targets(arguments: &Arguments) -> Result<ToolExit> {
    let statuses = read_statuses(arguments).await?;
    let mut rows = Vec::new();
    let mut found = Vec::new();
    for status in &statuses {
        for pool in status["pools"].as_array().into_iter().flatten() {
            // Only the scheduler of a pool knows the requests in flight from all entry daemons.
            if pool["scheduler"] != status["vm"] {
                continue;
            }
            for target in pool["targets"].as_array().into_iter().flatten() {
                found.push(
                    json!({ "pool": pool["id"], "scheduler": status["vm"], "target": target }),
                );
                rows.push(target_row(status, pool, target));
            }
        }
    }
    if arguments.json {
        println!("{}", json!(found));
    } else {
        table::print(&TARGET_TITLES, &rows);
    }
    Ok(exit_code(&statuses))
}

fn target_row(status: &Value, pool: &Value, target: &Value) -> Vec<String> {
    vec![
        text(&pool["id"]),
        text(&target["id"]),
        format!("{}/{}", text(&target["in_flight"]), text(&target["slots"])),
        text(&target["slowness_permille"]),
        text(&target["leaving"]),
        text(&target["ejected"]),
        text(&target["limit_per_s"]),
        text(&target["rests"]),
        text(&target["warm_up_per_s"]),
        text(&status["vm"]),
    ]
}

async fn show_accounts(arguments: &Arguments) -> Result<ToolExit> {
    let store = http_store(arguments);
    let Some(manifest) = read_manifest(&store).await? else {
        bail!("no configuration has been applied yet; apply one with `curlewcleat apply`")
    };
    let config = check_files(manifest.generation, &read_texts(&store, &manifest).await?)?;
    if arguments.json {
        let accounts = config.accounts.values().map(|account| {
            json!({
                "id": account.id, "weight": account.weight, "rate_per_s": account.rate_per_s,
                "queue_limit": account.queue_limit,
            })
        });
        println!("{}", json!(accounts.collect::<Vec<_>>()));
        return Ok(ToolExit::Done);
    }
    let rows = config.accounts.values().map(|account| {
        let rate = account.rate_per_s.map_or("unlimited".to_string(), |rate| rate.to_string());
        vec![account.id.clone(), account.weight.to_string(), rate, account.queue_limit.to_string()]
    });
    table::print(&["ACCOUNT", "WEIGHT", "RATE/S", "QUEUE LIMIT"], &rows.collect::<Vec<_>>());
    Ok(ToolExit::Done)
}

async fn show_vms(arguments: &Arguments) -> Result<ToolExit> {
    let vms = http_store(arguments).vms().await?.vms;
    if arguments.json {
        println!("{}", json!(vms));
        return Ok(ToolExit::Done);
    }
    let rows = vms.iter().map(|vm| {
        let state = if vm.state == VmState::Live { "live" } else { "leaving" };
        vec![vm.vm.clone(), vm.data_centre.clone(), state.to_string()]
    });
    table::print(&["VM", "DATA CENTRE", "STATE"], &rows.collect::<Vec<_>>());
    Ok(ToolExit::Done)
}

/// Prints the features of requests that terminated targets, as known to the first daemon that answers; all daemons know
/// the same.
async fn show_suspects(arguments: &Arguments) -> Result<ToolExit> {
    let mut last_error =
        anyhow!("this command needs --daemons: operators' addresses of daemons as ip:port,ip:port");
    for daemon in &arguments.daemons {
        match daemons::suspects(daemon).await {
            Ok(suspects) => {
                print_suspects(arguments, &suspects);
                return Ok(ToolExit::Done);
            }
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

fn print_suspects(arguments: &Arguments, suspects: &Value) {
    if arguments.json {
        return println!("{suspects}");
    }
    let rows = suspects.as_array().into_iter().flatten().map(|suspect| {
        let targets = suspect["targets"].as_array().into_iter().flatten();
        let terminated = targets.filter(|target| target["ended"] == true);
        let terminated: Vec<String> = terminated.map(|target| text(&target["id"])).collect();
        vec![
            text(&suspect["digest"]),
            text(&suspect["refused"]),
            terminated.join(","),
            text(&suspect["kind"]),
        ]
    });
    table::print(&["DIGEST", "REFUSED", "ENDED TARGETS", "KIND"], &rows.collect::<Vec<_>>());
}

/// Reads the status of each daemon, some at a time; for a daemon that does not answer, the value holds the error
/// instead.
async fn read_statuses(arguments: &Arguments) -> Result<Vec<Value>> {
    if arguments.daemons.is_empty() {
        bail!("this command needs --daemons: operators' addresses of daemons as ip:port,ip:port");
    }
    let reads = arguments.daemons.iter().map(|daemon| read_status(daemon));
    Ok(stream::iter(reads).buffered(READS_AT_ONCE).collect().await)
}

async fn read_status(daemon: &str) -> Value {
    let mut status = match daemons::status(daemon).await {
        Ok(status) => status,
        Err(error) => json!({ "error": error.to_string() }),
    };
    status["daemon"] = json!(daemon);
    status
}

fn exit_code(statuses: &[Value]) -> ToolExit {
    let failed = statuses.iter().any(|status| !status["error"].is_null());
    if failed {
        ToolExit::Unreachable
    } else {
        ToolExit::Done
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
