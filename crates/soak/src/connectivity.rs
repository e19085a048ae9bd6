//! Checks that the daemons receive each other's heartbeats again at the end of a run. A daemon without live peers
//! schedules on its own: its requests are served, so that no other check detects that shared rates and slots are
//! exceeded.

use std::collections::BTreeSet;

use curlewcleat_standins::deployment::get_text;
use serde_json::Value;

use crate::checks::SoakViolation;
use crate::fleet::SoakFleet;

/// Largest fleet in which every daemon receives heartbeats of all others. In a larger fleet it receives those of the
/// daemons that may schedule and of those that send requests to it.
const FULL_MESH_LIMIT: usize = 12;

/// Returns a violation for each daemon that lacks a live peer; in a large fleet, for each one without any live peer.
pub async fn check_connectivity(fleet: &SoakFleet) -> Vec<SoakViolation> {
    let mut violations = Vec::new();
    for daemon in &fleet.daemons {
        let live = match get_text(&daemon.operators, "/status").await {
            Ok(text) => live_peers(&text),
            Err(error) => {
                let detail = format!("{} returns no status: {error}", daemon.name);
                violations
                    .push(SoakViolation { invariant: "every daemon returns its status", detail });
                continue;
            }
        };
        let others = fleet.daemons.iter().map(|other| &other.name);
        let missing: Vec<&String> =
            others.filter(|name| **name != daemon.name && !live.contains(*name)).collect();
        let enough = match fleet.daemons.len() <= FULL_MESH_LIMIT {
            true => missing.is_empty(),
            false => !live.is_empty(),
        };
        if !enough {
            let detail = format!("{} does not report {missing:?} as live", daemon.name);
            let invariant = "daemons reach each other once faults have ended";
            violations.push(SoakViolation { invariant, detail });
        }
    }
    violations
}

/// Returns the names of the peers that a status reports as live.
fn live_peers(status: &str) -> BTreeSet<String> {
    let status: Value = serde_json::from_str(status).unwrap_or_default();
    let peers = status["peers"].as_array().into_iter().flatten();
    let live = peers.filter(|peer| peer["live"] == true);
    live.filter_map(|peer| peer["vm"].as_str().map(str::to_string)).collect()
}
