//! Merges the reports of other daemons and of the platform.
//!
//! Reports are sets: each may be lost, repeated, or arrive in any order and through any daemon.
//!
//! Owns: nothing; methods of [`LethalRequests`]. Relies on: `RecentlyServed` for the answers that this daemon knows and the
//! reporter may not.

use curlewcleat_core::{FeatureReport, RequestFeature, Uptime};

use super::suspect::SuspectFeature;
use super::{LethalOptions, LethalRequests};

impl LethalRequests {
    /// Merges the reports of another daemon or of the platform. Returns the features for which this daemon knows answers
    /// since the interruptions, which the reporters do not know.
    pub fn merge(&mut self, now: Uptime, reports: Vec<FeatureReport>) -> Vec<RequestFeature> {
        let mut cleared = Vec::new();
        let mut any_changed = false;
        for report in reports {
            let change = self.latest_change + 1;
            let feature = report.feature;
            let served = self.served.latest(&feature);
            let suspect = self.suspects.entry(feature).or_default();
            let (is_changed, is_cleared) = match feature.kind.is_shared() {
                true => merge_shared(suspect, now, &self.options, served, report),
                false => merge_request(suspect, now, &self.options, served, report),
            };
            if is_cleared {
                cleared.push(feature);
            }
            if is_changed || is_cleared {
                any_changed = true;
                self.record_change(change, feature);
            }
        }
        self.classify_if(any_changed);
        cleared
    }
}

/// Merges a report on a whole request, which this daemon served last at `served`. Returns whether the state changed, and
/// whether the reporter does not know that the request was served.
fn merge_request(
    suspect: &mut SuspectFeature,
    now: Uptime,
    options: &LethalOptions,
    served: Option<Uptime>,
    report: FeatureReport,
) -> (bool, bool) {
    let changed = suspect.merge(now, options, report);
    (changed, served.is_some_and(|served| suspect.clear_until(served)))
}

/// Merges a report on a shared feature, with which this daemon saw an answer begin last at `begun`. Returns whether the
/// state changed, and whether the reporter does not know of an answer.
fn merge_shared(
    suspect: &mut SuspectFeature,
    now: Uptime,
    options: &LethalOptions,
    begun: Option<Uptime>,
    report: FeatureReport,
) -> (bool, bool) {
    let recorded = begun.is_some_and(|begun| suspect.record_begun(begun, options));
    let is_refuted = suspect.refutes(now, options, &report);
    (suspect.merge(now, options, report) || recorded, is_refuted)
}
