//! `show rollouts`.
//!
//! Owns: table and JSON of `show rollouts`; the JSON keys are stable. Relies on: the status of rollouts from the
//! daemons; the daemon that decides a rollout has the most complete one.

use std::collections::BTreeMap;

use anyhow::{anyhow, Result};
use serde_json::Value;

use super::text;
use crate::arguments::Arguments;
use crate::{daemons, table, ToolExit};

/// Titles of the columns and the JSON keys of their values.
const COLUMNS: [(&str, &str); 8] = [
    ("POOL", "pool"),
    ("VERSION", "version"),
    ("STAGE", "stage"),
    ("AGE_MS", "age_ms"),
    ("TIME_MS", "time_ms"),
    ("TRIAL_REQUESTS", "trial_requests"),
    ("ANSWERS", "answers"),
    ("BAD", "bad_answers"),
];

/// Prints the rollouts; of each, the status from the daemon that has counted the most answers.
pub(super) async fn show_rollouts(arguments: &Arguments) -> Result<ToolExit> {
    let mut last_error =
        anyhow!("this command needs --daemons: operators' addresses of daemons as ip:port,ip:port");
    let mut by_pool: BTreeMap<String, Value> = BTreeMap::new();
    let mut any_answered = false;
    for daemon in &arguments.daemons {
        match daemons::rollouts(daemon).await {
            Ok(rollouts) => {
                any_answered = true;
                rollouts
                    .as_array()
                    .into_iter()
                    .flatten()
                    .for_each(|reported| keep_most_complete(&mut by_pool, reported));
            }
            Err(error) => last_error = error,
        }
    }
    if !any_answered {
        return Err(last_error);
    }
    let rollouts: Vec<Value> = by_pool.into_values().collect();
    if arguments.json {
        println!("{}", Value::Array(rollouts));
        return Ok(ToolExit::Done);
    }
    let rows = rollouts.iter().map(|rollout| COLUMNS.map(|(_, key)| text(&rollout[key])).to_vec());
    table::print(&COLUMNS.map(|(title, _)| title), &rows.collect::<Vec<_>>());
    Ok(ToolExit::Done)
}

/// Keeps a daemon's status of a rollout if it has counted more answers than the status kept so far.
fn keep_most_complete(by_pool: &mut BTreeMap<String, Value>, reported: &Value) {
    // A status without the number is the least complete.
    let answers = |rollout: &Value| rollout["answers"].as_u64().unwrap_or(0);
    let pool = text(&reported["pool"]);
    if by_pool.get(&pool).is_none_or(|kept| answers(kept) < answers(reported)) {
        by_pool.insert(pool, reported.clone());
    }
}
