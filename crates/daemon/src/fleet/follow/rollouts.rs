//! Follows the rollouts, which move pools to targets of other versions: reads the list, watches for changes, reads the
//! list again.
//!
//! Owns: nothing; these are methods of [`FleetFollower`] and the calls that the node requests. Relies on: the node,
//! which decides on the stage of each rollout.

use std::future::pending;
use std::rc::Rc;

use curlewcleat_clock::Moment;
use curlewcleat_core::RolloutWrite;
use curlewcleat_node::{NodeEvent, ReadRole};
use curlewcleat_store::FleetPlatform;

use super::watch_check::WatchCalls;
use super::{FleetFollower, BACK_OFF, MIN_CALL_INTERVAL, READER_PAUSE};
use crate::back_off::BackOff;
use crate::context::DaemonContext;

/// Names of the calls in logs and metrics.
const CALLS: WatchCalls = WatchCalls { watch: "watch_rollouts", check: "check_rollouts" };
/// Kind of these entries in logs and metrics.
const ENTRY_KIND: &str = "rollout";

impl FleetFollower {
    /// While this daemon reads the platform for others: lists the rollouts, and again after each change, after an
    /// outage and when the node requests it.
    pub(super) async fn follow_rollouts(self: Rc<Self>) {
        let mut role = self.signals.read_role();
        let mut back_off = BackOff::new(BACK_OFF);
        loop {
            // The sender lives as long as the process.
            let _ = role.wait_for(|role| *role == ReadRole::Reader).await;
            let sent = Moment::now();
            self.context.metrics.count_platform_call("list_rollouts");
            match self.platform.list_rollouts().await {
                Ok(list) => {
                    back_off.reset();
                    let change = self.rollout_faults.borrow_mut().apply_list(list.faults);
                    change.report(ENTRY_KIND, &self.context.metrics);
                    let sent = self.context.uptime_at(sent);
                    self.context.send_event(NodeEvent::RolloutsListed {
                        rollouts: list.rollouts,
                        at: list.version,
                        sent,
                    });
                    let watch = |after, limit| self.platform.watch_rollouts(after, limit);
                    tokio::select! {
                        () = self.wait_for_list_change(CALLS, list.version, watch) => {}
                        () = self.wait_for_recovery() => {}
                        () = self.signals.rollout_read_requested() => {}
                    }
                }
                Err(error) => {
                    back_off.record_failure("list_rollouts", &error, &self.context);
                    back_off.wait_at_most(READER_PAUSE, pending()).await;
                }
            }
            tokio::time::sleep(MIN_CALL_INTERVAL).await;
        }
    }
}

/// Writes the stage of a rollout to the platform, then requests a new list: it shows whether the write succeeded, even
/// if the answer to the write was lost.
pub fn write_rollout(
    platform: &Rc<dyn FleetPlatform>,
    context: &DaemonContext,
    write: RolloutWrite,
    request_read: impl FnOnce() + 'static,
) {
    let (platform, context) = (Rc::clone(platform), context.clone());
    actix_rt::spawn(async move {
        context.metrics.count_platform_call("write_rollout");
        if let Err(error) = platform.write_rollout(&write).await {
            BackOff::new(BACK_OFF).record_failure("write_rollout", &error, &context);
        }
        request_read();
    });
}
