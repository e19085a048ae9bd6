//! Reads and writes the platform's list of requests that are refused permanently. A daemon reads the list at its start,
//! so that the list outlives a restart of all daemons. That list may be some seconds old; a daemon that reads the
//! platform for others reads the newest one once and passes it on.
//!
//! Owns: nothing; these are methods of [`FleetFollower`] and the calls that the node requests. Relies on: the node,
//! which decides which requests are refused.

use std::rc::Rc;
use std::time::Duration;

use curlewcleat_core::{
    FeatureReport, InterruptionKind, InterruptionReport, RequestFeature, RequestInterruption,
    WallTime,
};
use curlewcleat_node::NodeEvent;
use curlewcleat_store::{FleetPlatform, ListAge, StoredRefusal};

use super::{FleetFollower, BACK_OFF};
use crate::back_off::BackOff;
use crate::context::DaemonContext;

/// Age from which a stored refusal is ignored, as it is by the daemons themselves.
const RETENTION: Duration = Duration::from_secs(3_600);
/// Kind of these entries in logs and metrics.
const ENTRY_KIND: &str = "refusal";

impl FleetFollower {
    /// Reads the refused requests. Returns whether the platform has answered; if it does not, peers send the list.
    pub(super) async fn read_refusals(&self, age: ListAge) -> bool {
        self.context.metrics.count_platform_call("list_refusals");
        match self.platform.list_refusals(age).await {
            Ok(list) => {
                let change = self.refusal_faults.borrow_mut().apply_list(list.faults);
                change.report(ENTRY_KIND, &self.context.metrics);
                let now = self.context.wall();
                let reports =
                    list.refusals.into_iter().filter_map(|refusal| suspect_report(refusal, now));
                self.context.send_event(NodeEvent::RefusalsRead(reports.collect()));
                true
            }
            Err(error) => {
                BackOff::new(BACK_OFF).record_failure("list_refusals", &error, &self.context);
                false
            }
        }
    }
}

/// Converts a stored refusal to a report, or returns `None` if it is too old.
fn suspect_report(refusal: StoredRefusal, now: WallTime) -> Option<FeatureReport> {
    let age = now.saturating_sub(refusal.at);
    let report = |instance| {
        let interruption =
            RequestInterruption { instance, kind: InterruptionKind::Closed, begun: false };
        InterruptionReport { interruption, ended: true, age }
    };
    (age < RETENTION).then(|| FeatureReport {
        feature: refusal.feature,
        interruptions: refusal.instances.into_iter().map(report).collect(),
        cleared: Vec::new(),
        stored: true,
        begun: None,
        others_begun: None,
    })
}

/// Stores on the platform that a request is refused. If the platform does not answer, the node retries the call.
pub fn store_refusal(
    platform: &Rc<dyn FleetPlatform>,
    context: &DaemonContext,
    suspect: FeatureReport,
) {
    let (platform, context) = (Rc::clone(platform), context.clone());
    actix_rt::spawn(async move {
        let feature = suspect.feature;
        let ended = suspect.interruptions.into_iter().filter(|report| report.ended);
        let instances = ended.map(|report| report.interruption.instance).collect();
        let refusal = StoredRefusal { feature, instances, at: context.wall() };
        context.metrics.count_platform_call("store_refusal");
        match platform.store_refusal(&refusal).await {
            Ok(()) => context.send_event(NodeEvent::RefusalStored(feature)),
            Err(error) => BackOff::new(BACK_OFF).record_failure("store_refusal", &error, &context),
        }
    });
}

/// Deletes the refusal of a request from the platform.
pub fn drop_refusal(
    platform: &Rc<dyn FleetPlatform>,
    context: &DaemonContext,
    feature: RequestFeature,
) {
    let (platform, context) = (Rc::clone(platform), context.clone());
    actix_rt::spawn(async move {
        context.metrics.count_platform_call("drop_refusal");
        if let Err(error) = platform.drop_refusal(&feature.digest).await {
            BackOff::new(BACK_OFF).record_failure("drop_refusal", &error, &context);
        }
    });
}
