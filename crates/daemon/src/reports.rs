//! Reads the reports of targets whose pool this daemon schedules. They may come late, with gaps, or
//! not at all; permits are given all the same.
//!
//! Owns: the reads of targets' reports. Relies on: the node for the pools that this daemon schedules.

use std::time::Duration;

use actix_http::RequestHead;
use curlewcleat_core::{TargetEntry, TargetPool, TargetReport};
use curlewcleat_node::NodeEvent;
use curlewcleat_targets::{collect, ConnectionPool};
use futures_util::future::join_all;

use crate::context::DaemonContext;

/// Time between reports.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Time after which a report is given up.
const REPORT_LIMIT: Duration = Duration::from_secs(2);
/// Longest report in bytes.
const REPORT_BYTES: usize = 64 << 10;

/// Starts the task on this arbiter.
pub fn follow_targets(context: DaemonContext) {
    actix_rt::spawn(async move {
        let connections = ConnectionPool::default();
        loop {
            tokio::time::sleep(REPORT_EVERY).await;
            let Some(status) = context.status().await else { return };
            let scheduled = status.pools.iter().filter(|pool| pool.scheduler == status.me.vm);
            let config = context.config();
            let pools = scheduled.filter_map(|pool| config.pools.get(&pool.id));
            join_all(pools.map(|pool| read_pool(&context, &connections, pool))).await;
        }
    });
}

async fn read_pool(context: &DaemonContext, connections: &ConnectionPool, pool: &TargetPool) {
    let Some(path) = &pool.report_path else { return };
    let reads = pool.targets.values().map(|target| async move {
        let read = tokio::time::timeout(REPORT_LIMIT, read_report(connections, target, path)).await;
        let report = read.ok().flatten();
        context.metrics.report(report.is_some());
        if let Some(report) = report {
            context.tell(NodeEvent::TargetReported(pool.id.clone(), target.instance(), report));
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
    let connection = connections.connect_to(target, REPORT_LIMIT).await.ok()?;
    let answer = connection.exchange(head, ()).await.ok()?;
    let body = collect(answer.body, REPORT_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
