//! Whether the daemons hear each other again at the end of a run. One that hears nobody schedules for
//! itself: its requests are served, and shared rates and slots are exceeded unseen.

use std::collections::BTreeSet;

use curlewcleat_standins::deployment::get_text;
use serde_json::Value;

use crate::fleet::SoakFleet;
use crate::judge::SoakFinding;

/// Each daemon that does not hear all others.
pub async fn unheard_peers(fleet: &SoakFleet) -> Vec<SoakFinding> {
    let mut findings = Vec::new();
    for daemon in &fleet.daemons {
        let heard = match get_text(&daemon.operators, "/status").await {
            Ok(text) => live_peers(&text),
            Err(error) => {
                let detail = format!("{} gives no status: {error}", daemon.name);
                findings.push(SoakFinding { promise: "every daemon tells its status", detail });
                continue;
            }
        };
        let others = fleet.daemons.iter().map(|other| &other.name);
        let unheard: Vec<&String> =
            others.filter(|name| **name != daemon.name && !heard.contains(*name)).collect();
        if !unheard.is_empty() {
            let detail = format!("{} does not hear {unheard:?}", daemon.name);
            let promise = "daemons hear each other once faults have ended";
            findings.push(SoakFinding { promise, detail });
        }
    }
    findings
}

/// Names of the peers that a status tells to be reachable.
fn live_peers(status: &str) -> BTreeSet<String> {
    let status: Value = serde_json::from_str(status).unwrap_or_default();
    let peers = status["peers"].as_array().into_iter().flatten();
    let live = peers.filter(|peer| peer["live"] == true);
    live.filter_map(|peer| peer["vm"].as_str().map(str::to_string)).collect()
}
