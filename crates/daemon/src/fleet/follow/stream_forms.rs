//! Reads and stores what the streams of targets look like. A daemon reads it once, with its first configuration.
//!
//! Owns: nothing; these are the calls that the node requests. Relies on: the node, which learns the forms.

use std::rc::Rc;

use curlewcleat_core::{PoolId, SourceForm};
use curlewcleat_node::NodeEvent;
use curlewcleat_store::FleetPlatform;
use spdlog::prelude::*;

use super::BACK_OFF;
use crate::back_off::BackOff;
use crate::context::DaemonContext;

/// Reads the forms of all pools. If the platform does not answer, peers send the forms.
pub fn read_stream_forms(platform: &Rc<dyn FleetPlatform>, context: &DaemonContext) {
    let (platform, context) = (Rc::clone(platform), context.clone());
    actix_rt::spawn(async move {
        context.metrics.count_platform_call("list_stream_forms");
        match platform.list_stream_forms().await {
            Ok(list) => {
                for fault in &list.faults {
                    warn!("stream_forms_unreadable", kv: { pool = fault.name.as_str() });
                }
                context.send_event(NodeEvent::StoredFormsRead(list.forms));
            }
            Err(error) => {
                BackOff::new(BACK_OFF).record_failure("list_stream_forms", &error, &context);
            }
        }
    });
}

/// Stores the forms of a pool. If the platform does not answer, the node repeats the call.
pub fn write_stream_forms(
    platform: &Rc<dyn FleetPlatform>,
    context: &DaemonContext,
    pool: PoolId,
    forms: Vec<SourceForm>,
) {
    let (platform, context) = (Rc::clone(platform), context.clone());
    actix_rt::spawn(async move {
        context.metrics.count_platform_call("write_stream_forms");
        match platform.write_stream_forms(&pool, &forms).await {
            Ok(()) => context.send_event(NodeEvent::StreamFormsStored(pool, forms)),
            Err(error) => {
                BackOff::new(BACK_OFF).record_failure("write_stream_forms", &error, &context);
            }
        }
    });
}
