//! Reads and stores the versions at which the streams of each pool begin.
//!
//! Owns: nothing; these are the calls that the node requests. Relies on: the node, which decides on the versions.

use std::rc::Rc;

use curlewcleat_clock::Moment;
use curlewcleat_core::VersionHistory;
use curlewcleat_node::NodeEvent;
use curlewcleat_store::FleetPlatform;
use spdlog::prelude::*;

use super::BACK_OFF;
use crate::back_off::BackOff;
use crate::context::DaemonContext;

/// Reads the versions of all pools.
pub fn read_histories(platform: &Rc<dyn FleetPlatform>, context: &DaemonContext) {
    let (platform, context) = (Rc::clone(platform), context.clone());
    actix_rt::spawn(async move { list_histories(platform.as_ref(), &context).await });
}

/// Stores the versions of a pool, then reads those of all pools: this shows whether the write succeeded, even if the
/// answer to the write was lost.
pub fn write_history(
    platform: &Rc<dyn FleetPlatform>,
    context: &DaemonContext,
    history: VersionHistory,
) {
    let (platform, context) = (Rc::clone(platform), context.clone());
    actix_rt::spawn(async move {
        context.metrics.count_platform_call("write_stream_versions");
        info!("stream_versions", kv: {
            pool = history.pool.as_str(), splits = history.splits.len(),
            versions = slot_counts(&history),
            begun = history.begun.iter().map(|begun| begun.streams.len()).sum::<usize>()
        });
        if let Err(error) = platform.write_version_history(&history).await {
            BackOff::new(BACK_OFF).record_failure("write_stream_versions", &error, &context);
        }
        list_histories(platform.as_ref(), &context).await;
    });
}

async fn list_histories(platform: &dyn FleetPlatform, context: &DaemonContext) {
    let sent = Moment::now();
    context.metrics.count_platform_call("list_stream_versions");
    match platform.list_version_histories().await {
        Ok(list) => {
            for fault in &list.faults {
                warn!("stream_versions_unreadable", kv: { pool = fault.name.as_str() });
            }
            let unreadable = list.faults.iter().map(|fault| VersionHistory {
                pool: fault.name.clone(),
                is_unreadable: true,
                ..VersionHistory::default()
            });
            let histories = list.histories.into_iter().chain(unreadable).collect();
            let sent = context.uptime_at(sent);
            context.send_event(NodeEvent::VersionHistoriesRead { histories, sent });
        }
        Err(error) => {
            BackOff::new(BACK_OFF).record_failure("list_stream_versions", &error, context);
        }
    }
}

/// Returns the versions of the latest split with their numbers of slots.
fn slot_counts(history: &VersionHistory) -> String {
    let slots = history.splits.last().map_or(&[][..], |split| &split.slots);
    let runs = slots.chunk_by(|one, other| one == other);
    let counted =
        runs.filter_map(|same| Some(format!("{}x{}", same.len(), same.first()?.to_hex())));
    counted.collect::<Vec<_>>().join(" ")
}
