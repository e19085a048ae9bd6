//! Polls the reports of targets whose pool this daemon schedules. Reports may be late, have gaps or be missing;
//! permits are granted all the same.
//!
//! Owns: the reads of targets' reports. Relies on: the node for the pools that this daemon schedules.

use std::time::Duration;

use actix_http::RequestHead;
use curlewcleat_core::{TargetEntry, TargetPool, TargetReport};
use curlewcleat_node::NodeEvent;
use curlewcleat_targets::{collect, ConnectionPool};
use futures_util::future::join_all;

use crate::context::DaemonContext;

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which reading a report is abandoned.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest report in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Starts the polling task on this arbiter.
pub fn poll_target_reports(context: DaemonContext) {
    actix_rt::spawn(async move {
        let connections = ConnectionPool::default();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let Some(status) = context.status().await else { return };
            let scheduled = status.pools.iter().filter(|pool| pool.scheduler == status.me.vm);
            let config = context.config();
            let pools = scheduled.filter_map(|pool| config.pools.get(&pool.id));
            join_all(pools.map(|pool| poll_pool(&context, &connections, pool))).await;
        }
    });
}

async fn poll_pool(context: &DaemonContext, connections: &ConnectionPool, pool: &TargetPool) {
    let Some(path) = &pool.report_path else { return };
    let reads = pool.targets.values().map(|target| async move {
        let read =
            tokio::time::timeout(REPORT_TIMEOUT, read_report(connections, target, path)).await;
        let report = read.ok().flatten();
        context.metrics.count_report(report.is_some());
        if let Some(report) = report {
            context.send_event(NodeEvent::TargetReported(
                pool.id.clone(),
                target.instance(),
                report,
            ));
        }
    });
    join_all(reads).await;
}

async fn read_report(
    connections: &ConnectionPool,
    target: &TargetEntry,
    path: &str,
) -> Option<TargetReport> {
    let mut head = RequestHead::default();
    head.uri = path.parse().ok()?;
    let connection = connections.connect_to(target, REPORT_TIMEOUT, None).await.ok()?;
    let answer = connection.exchange(head, ()).await.ok()?;
    let body = collect(answer.body, MAX_REPORT_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
