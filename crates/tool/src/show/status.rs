//! `show status`.
//!
//! Owns: table and summary of `show status`; the JSON is what the daemons answer. Relies on: the status of the daemons.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use anyhow::Result;
use serde_json::{json, Value};

use super::{exit_code, read_statuses, text};
use crate::arguments::Arguments;
use crate::{table, ToolExit};

/// Largest number of daemons that are printed one by one unless all are requested: a page of a terminal.
const ROWS_WITHOUT_SUMMARY: usize = 40;

/// Titles of the columns for each daemon.
const DAEMON_TITLES: [&str; 11] = [
    "DAEMON",
    "VM",
    "DATA CENTRE",
    "GENERATION",
    "STATE",
    "REQUESTS",
    "PEERS",
    "KEY SLOTS",
    "SCHEDULES",
    "EVACUATED",
    "ERROR",
];
/// Titles of the columns for each data centre.
const SUMMARY_TITLES: [&str; 7] =
    ["DATA CENTRE", "DAEMONS", "SERVING", "GENERATIONS", "REQUESTS", "SCHEDULERS", "EVACUATED"];

/// Prints the status of the daemons; of many, a summary by data centre and those that did not answer, unless `all` is
/// set.
pub(super) async fn show_status(arguments: &Arguments, all: bool) -> Result<ToolExit> {
    let statuses = read_statuses(arguments).await?;
    if arguments.json {
        println!("{}", json!(statuses));
        return Ok(exit_code(&statuses));
    }
    if all || statuses.len() <= ROWS_WITHOUT_SUMMARY {
        table::print(&DAEMON_TITLES, &statuses.iter().map(daemon_row).collect::<Vec<_>>());
        return Ok(exit_code(&statuses));
    }
    table::print(&SUMMARY_TITLES, &summary_rows(&statuses));
    let unreachable: Vec<Vec<String>> =
        statuses.iter().filter(|status| !status["error"].is_null()).map(error_row).collect();
    if !unreachable.is_empty() {
        println!();
        table::print(&["DAEMON", "ERROR"], &unreachable);
    }
    Ok(exit_code(&statuses))
}

fn daemon_row(status: &Value) -> Vec<String> {
    let live_peers = status["peers"]
        .as_array()
        .map_or(0, |peers| peers.iter().filter(|peer| peer["live"] == true).count());
    vec![
        text(&status["daemon"]),
        text(&status["vm"]),
        text(&status["data_centre"]),
        text(&status["generation"]),
        text(&status["drain"]),
        text(&status["requests"]),
        live_peers.to_string(),
        text(&status["key_slots"]),
        scheduled_pools(status).join(","),
        texts(&status["evacuated"]).join(","),
        text(&status["error"]),
    ]
}

fn error_row(status: &Value) -> Vec<String> {
    vec![text(&status["daemon"]), text(&status["error"])]
}

/// Returns the pools that a daemon schedules.
fn scheduled_pools(status: &Value) -> Vec<String> {
    let is_scheduled_here = |pool: &&Value| pool["scheduler"] == status["vm"];
    let pools = status["pools"].as_array().into_iter().flatten().filter(is_scheduled_here);
    pools.map(|pool| text(&pool["id"])).collect()
}

/// Returns a number of a daemon's status, 0 where its version does not report it.
fn number(value: &Value) -> u64 {
    // An earlier version shows as 0 in the table.
    value.as_u64().unwrap_or(0)
}

/// Returns the texts of a list; none if the value is no list.
fn texts(list: &Value) -> Vec<String> {
    list.as_array().into_iter().flatten().map(text).collect()
}

/// What the daemons of one data centre report together.
#[derive(Default)]
struct CentreSummary {
    daemons: usize,
    serving: usize,
    requests: u64,
    /// Number of daemons with each generation in force.
    generations: BTreeMap<u64, usize>,
    schedulers: BTreeSet<String>,
    /// Number of daemons that know each data centre to be evacuated.
    evacuated: BTreeMap<String, usize>,
}

impl CentreSummary {
    fn add(&mut self, status: &Value) {
        self.daemons += 1;
        self.serving += usize::from(status["drain"] == "serving");
        self.requests += number(&status["requests"]);
        *self.generations.entry(number(&status["generation"])).or_default() += 1;
        if !scheduled_pools(status).is_empty() {
            self.schedulers.insert(text(&status["vm"]));
        }
        for data_centre in texts(&status["evacuated"]) {
            *self.evacuated.entry(data_centre).or_default() += 1;
        }
    }

    fn row(&self, data_centre: &str) -> Vec<String> {
        let counted = |name: &dyn std::fmt::Display, count: usize| match count == self.daemons {
            true => name.to_string(),
            false => format!("{name} ({count})"),
        };
        let generations = self.generations.iter().map(|(number, count)| counted(number, *count));
        let evacuated = self.evacuated.iter().map(|(name, count)| counted(name, *count));
        vec![
            data_centre.to_string(),
            self.daemons.to_string(),
            self.serving.to_string(),
            generations.collect::<Vec<_>>().join(" "),
            self.requests.to_string(),
            self.schedulers.iter().cloned().collect::<Vec<_>>().join(" "),
            evacuated.collect::<Vec<_>>().join(" "),
        ]
    }
}

/// Returns a row for each data centre. A generation or an evacuation that not all daemons of the data centre report is
/// followed by the number of those that do. Daemons that did not answer are in no data centre.
fn summary_rows(statuses: &[Value]) -> Vec<Vec<String>> {
    let mut centres: BTreeMap<String, CentreSummary> = BTreeMap::new();
    for status in statuses.iter().filter(|status| status["error"].is_null()) {
        centres.entry(text(&status["data_centre"])).or_default().add(status);
    }
    centres.iter().map(|(data_centre, summary)| summary.row(data_centre)).collect()
}
