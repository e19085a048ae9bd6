//! The requests that are refused for good, as the platform keeps them: read once at the start, so that daemons that
//! begin anew together know them.
//!
//! Owns: nothing; these are methods of [`FleetFollower`], and the calls that the node wants made. Relies on: the node for
//! which requests these are.

use std::rc::Rc;
use std::time::Duration;

use curlewcleat_core::{
    InterruptionKind, InterruptionReport, RequestDigest, RequestInterruption, SuspectReport,
    WallTime,
};
use curlewcleat_node::NodeEvent;
use curlewcleat_store::{FleetPlatform, StoredRefusal};

use super::{FleetFollower, BACK_OFF};
use crate::back_off::BackOff;
use crate::context::DaemonContext;

/// Time after which what the platform keeps counts no more, as with the daemons themselves.
const KEPT_FOR: Duration = Duration::from_secs(3_600);
/// What these entries are called in logs and metrics.
const ENTRY_KIND: &str = "refusal";

impl FleetFollower {
    /// Reads the refused requests; returns whether the platform has answered. Where it does not, peers tell of them.
    pub(super) async fn read_refusals(&self) -> bool {
        self.context.metrics.platform_call("list_refusals");
        match self.platform.list_refusals().await {
            Ok(list) => {
                let news = self.refusal_faults.borrow_mut().listed(list.faults);
                news.report(ENTRY_KIND, &self.context.metrics);
                let now = self.context.wall();
                let reports = list.refusals.into_iter().filter_map(|kept| report_of(kept, now));
                self.context.tell(NodeEvent::RefusalsRead(reports.collect()));
                true
            }
            Err(error) => {
                BackOff::new(BACK_OFF).failed("list_refusals", &error, &self.context);
                false
            }
        }
    }
}

/// What the platform keeps of a request, `None` where that is too old.
fn report_of(kept: StoredRefusal, now: WallTime) -> Option<SuspectReport> {
    let age = now.saturating_sub(kept.at);
    let report = |instance| {
        let interruption =
            RequestInterruption { instance, kind: InterruptionKind::Closed, begun: false };
        InterruptionReport { interruption, ended: true, age }
    };
    (age < KEPT_FOR).then(|| SuspectReport {
        digest: kept.digest,
        interruptions: kept.instances.into_iter().map(report).collect(),
        cleared: Vec::new(),
        stored: true,
    })
}

/// Has the platform keep that a request is refused; one that does not answer is asked again by the node.
pub fn store_refusal(
    platform: &Rc<dyn FleetPlatform>,
    context: &DaemonContext,
    report: SuspectReport,
) {
    let (platform, context) = (Rc::clone(platform), context.clone());
    actix_rt::spawn(async move {
        let digest = report.digest;
        let ended = report.interruptions.into_iter().filter(|report| report.ended);
        let instances = ended.map(|report| report.interruption.instance).collect();
        let refusal = StoredRefusal { digest, instances, at: context.wall() };
        context.metrics.platform_call("store_refusal");
        match platform.store_refusal(&refusal).await {
            Ok(()) => context.tell(NodeEvent::RefusalStored(digest)),
            Err(error) => BackOff::new(BACK_OFF).failed("store_refusal", &error, &context),
        }
    });
}

/// Has the platform keep no longer that a request is refused.
pub fn drop_refusal(
    platform: &Rc<dyn FleetPlatform>,
    context: &DaemonContext,
    digest: RequestDigest,
) {
    let (platform, context) = (Rc::clone(platform), context.clone());
    actix_rt::spawn(async move {
        context.metrics.platform_call("drop_refusal");
        if let Err(error) = platform.drop_refusal(&digest).await {
            BackOff::new(BACK_OFF).failed("drop_refusal", &error, &context);
        }
    });
}
