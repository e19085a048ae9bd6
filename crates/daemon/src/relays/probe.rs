//! Tries lost links to targets again, and all links when no target sends anything.
//!
//! Owns: the task. Relies on: [`TargetReach`](curlewcleat_sched::TargetReach) for what to try and when.

use std::time::Duration;

use curlewcleat_targets::connect_directly;

use crate::context::DaemonContext;

/// Interval at which the task looks for links to try while some are lost: the links come back one after the other.
const LOST_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which it looks while no link is lost.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a target has to accept a connection: many round trips between data centres.
const PROBE_LIMIT: Duration = Duration::from_millis(250);

/// Starts the task on this arbiter.
pub fn probe_lost_links(context: DaemonContext) {
    actix_rt::spawn(async move {
        loop {
            let interval =
                if context.reach.lost_links() > 0 { LOST_INTERVAL } else { IDLE_INTERVAL };
            tokio::time::sleep(interval).await;
            for address in context.reach.probes(context.uptime()) {
                actix_rt::spawn(probe(context.clone(), address));
            }
        }
    });
}

async fn probe(context: DaemonContext, address: String) {
    match connect_directly(&address, PROBE_LIMIT).await {
        Ok(_) => context.reach.connected(context.uptime(), &address),
        Err(_) => context.reach.connect_failed(context.uptime(), &address),
    }
}
