//! Follows the evacuations: reads the list, watches for changes, reads the list again.
//!
//! Owns: nothing; these are methods of [`FleetFollower`]. Relies on: the node, which holds the evacuated data centres.

use std::future::pending;
use std::rc::Rc;

use curlewcleat_clock::Moment;
use curlewcleat_core::ObjectVersion;
use curlewcleat_node::NodeEvent;
use curlewcleat_store::{EntryFault, EvacuationEntries, FaultReason, Result};

use super::targets::wait_until_idle;
use super::watch_check::WatchCalls;
use super::{FleetFollower, BACK_OFF, MIN_CALL_INTERVAL, READER_PAUSE};
use crate::back_off::BackOff;

/// Names of the calls in logs and metrics.
const CALLS: WatchCalls = WatchCalls { watch: "watch_evacuations", check: "check_evacuations" };
/// Kind of these entries in logs and metrics.
const ENTRY_KIND: &str = "evacuation";

impl FleetFollower {
    /// Returns whether the platform has evacuations.
    pub(super) fn has_evacuations(&self) -> bool {
        self.context.settings.bounds.evacuation_limit.is_some()
    }

    /// While this daemon reads the platform: lists the evacuations, and again after each change and after an outage.
    pub(super) async fn follow_evacuations(self: Rc<Self>) {
        let mut role = self.signals.read_role();
        let mut back_off = BackOff::new(BACK_OFF);
        loop {
            if !self.wait_until_list_due(&mut role).await {
                continue;
            }
            match self.list_evacuations().await {
                Ok(at) => {
                    back_off.reset();
                    let watch = |after, limit| self.platform.watch_evacuations(after, limit);
                    tokio::select! {
                        () = self.wait_for_list_change(CALLS, at, watch) => {}
                        () = self.wait_for_recovery() => {}
                        () = self.signals.evacuation_read_requested() => continue,
                        () = wait_until_idle(&mut role) => {}
                    }
                }
                Err(error) => {
                    back_off.record_failure("list_evacuations", &error, &self.context);
                    back_off.wait_at_most(READER_PAUSE, pending()).await;
                }
            }
            tokio::time::sleep(MIN_CALL_INTERVAL).await;
        }
    }

    /// Reads the evacuations once, at the start of the daemon. If the platform does not answer, peers send the list.
    pub(super) async fn read_evacuations_at_start(&self) {
        if !self.has_evacuations() {
            return;
        }
        if let Err(error) = self.list_evacuations().await {
            BackOff::new(BACK_OFF).record_failure("list_evacuations", &error, &self.context);
        }
    }

    /// Reads the evacuations and passes them to the node. Returns the version of the list.
    async fn list_evacuations(&self) -> Result<ObjectVersion> {
        let sent = Moment::now();
        self.context.metrics.count_platform_call("list_evacuations");
        let EvacuationEntries { list, mut faults } = self.platform.list_evacuations().await?;
        faults.extend(self.unknown_data_centre_faults(list.data_centres.iter()));
        let change = self.evacuation_faults.borrow_mut().apply_list(faults);
        change.report(ENTRY_KIND, &self.context.metrics);
        let at = list.at;
        let sent = self.context.uptime_at(sent);
        self.context.send_event(NodeEvent::EvacuationsListed { list, sent });
        Ok(at)
    }

    /// Returns faults for the data centres in which no target is known.
    fn unknown_data_centre_faults<'n>(
        &self,
        names: impl Iterator<Item = &'n String>,
    ) -> Vec<EntryFault> {
        let config = self.context.config();
        let targets = || config.pools.values().flat_map(|pool| pool.targets.values());
        // Before the first target is known, no data centre is.
        if targets().next().is_none() {
            return Vec::new();
        }
        let is_known = |name: &str| targets().any(|target| target.data_centre == name);
        let fault = |name: &String| EntryFault {
            name: name.clone(),
            reason: FaultReason::DataCentre,
            detail: "no target is in this data centre".to_string(),
        };
        names.filter(|name| !is_known(name)).map(fault).collect()
    }
}
