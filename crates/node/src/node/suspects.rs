//! Exchanges reports on features under which targets terminate with the other daemons.
//!
//! Each daemon keeps the whole set and evaluates it on its own. Updates are sent at once to the daemons that may
//! schedule. Each daemon also pulls what it lacks from the first of these every [`PULL_INTERVAL`], so that all
//! daemons know within two such intervals even if frames are lost. Features that were interrupted only once are sent
//! a few at a time. Daemons of an earlier version know whole requests only and have messages of their own.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `LethalRequests` for what each peer lacks.

use std::time::Duration;

use curlewcleat_core::{
    DaemonId, FeatureReport, FeaturesPush, PeerMessage, RequestFeature, SuspectReport,
    SuspectsPull, SuspectsPush, Uptime, VmId,
};
use curlewcleat_sched::{SuspectUpdates, UpdateScope};

use super::known_changes::KnownChanges;
use super::Node;

/// Interval between pulls. With the answer it takes a third of the users' shortest bound in which all daemons have to
/// know, three seconds, so that one pull may be lost.
const PULL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of daemons to pull from: two, so that one may fail.
const PULL_PEERS: usize = 2;

/// What this daemon knows of the changes at the daemons that it pulls from.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectPulls {
    /// Changes known of daemons that send reports on all kinds of features.
    features: KnownChanges,
    /// Changes known of daemons that send reports on whole requests only.
    requests: KnownChanges,
    last_pull: Option<Uptime>,
}

impl Node {
    /// Pulls from the first daemons that may schedule the reports, and the forms of streams, that this one lacks.
    pub(super) fn pull_suspects(&mut self) {
        let last_pull = self.lethal.pulls.last_pull;
        if last_pull.is_some_and(|last| self.now < last + PULL_INTERVAL) {
            return;
        }
        self.lethal.pulls.last_pull = Some(self.now);
        let me = &self.options.me;
        let others = self.all_pools_order.iter().filter(|daemon| *daemon != me);
        let pulled: Vec<DaemonId> = others.take(PULL_PEERS).cloned().collect();
        for daemon in pulled {
            self.pull_suspects_from(&daemon);
        }
        self.pull_stream_forms();
    }

    fn pull_suspects_from(&mut self, daemon: &DaemonId) {
        let known = self.lethal.pulls.features.of(daemon);
        if known == 0 {
            // The daemon may be of an earlier version.
            let known = self.lethal.pulls.requests.of(daemon);
            self.post(&daemon.vm, PeerMessage::SuspectsPull(SuspectsPull { known }));
        }
        self.post(&daemon.vm, PeerMessage::FeaturesPull(SuspectsPull { known }));
    }

    /// Answers a pull of a daemon of an earlier version if it has not pulled before or lacks any report.
    pub(super) fn suspects_pulled(&mut self, from: &VmId, pull: SuspectsPull) {
        let Some(updates) = self.updates_for(pull, UpdateScope::Requests) else { return };
        let reports = updates.reports.into_iter().filter_map(FeatureReport::request_report);
        let push = SuspectsPush { at: updates.next_change, requests: reports.collect() };
        self.post(from, PeerMessage::SuspectsPush(push));
    }

    /// Answers a pull if the peer has not pulled before or lacks any report.
    pub(super) fn features_pulled(&mut self, from: &VmId, pull: SuspectsPull) {
        let Some(updates) = self.updates_for(pull, UpdateScope::Features) else { return };
        let push = FeaturesPush { at: updates.next_change, features: updates.reports };
        self.post(from, PeerMessage::FeaturesPush(push));
    }

    fn updates_for(&self, pull: SuspectsPull, scope: UpdateScope) -> Option<SuspectUpdates> {
        let is_complete = pull.known >= self.lethal.requests.next_change();
        (!is_complete).then(|| self.lethal.requests.updates(self.now, pull.known, scope))
    }

    pub(super) fn suspects_pushed(&mut self, from: &DaemonId, push: SuspectsPush) {
        self.lethal.pulls.requests.record(from, push.at);
        self.merge_suspects(push.requests.into_iter().map(FeatureReport::from).collect());
    }

    pub(super) fn features_pushed(&mut self, from: &DaemonId, push: FeaturesPush) {
        self.lethal.pulls.features.record(from, push.at);
        self.merge_suspects(push.features);
    }

    /// Sends all reports to daemons that may schedule from now on: the earlier schedulers may have ended without
    /// passing them on, or may have been unable to reach the new ones.
    pub(super) fn send_suspects_to_new_schedulers(&mut self, before: &[DaemonId]) {
        let reports = self.lethal.requests.changes_since(self.now, 0);
        let receivers = self.new_schedulers(before);
        self.send_reports(&receivers, reports);
    }

    /// Sends the reports on these features to the daemons that may schedule.
    pub(super) fn send_suspects(&mut self, features: &[RequestFeature]) {
        let reports =
            features.iter().filter_map(|feature| self.lethal.requests.report(self.now, feature));
        let reports: Vec<FeatureReport> = reports.collect();
        let receivers: Vec<VmId> =
            self.other_schedulers().into_iter().map(|daemon| daemon.vm).collect();
        self.send_reports(&receivers, reports);
    }

    /// Sends reports, those on whole requests in the message that daemons of an earlier version know as well.
    fn send_reports(&mut self, receivers: &[VmId], reports: Vec<FeatureReport>) {
        let (shared, whole): (Vec<_>, Vec<_>) =
            reports.into_iter().partition(|report| report.feature.kind.is_shared());
        let requests: Vec<SuspectReport> =
            whole.into_iter().filter_map(FeatureReport::request_report).collect();
        for vm in receivers {
            if !requests.is_empty() {
                let push = SuspectsPush { at: 0, requests: requests.clone() };
                self.post(vm, PeerMessage::SuspectsPush(push));
            }
            if !shared.is_empty() {
                let push = FeaturesPush { at: 0, features: shared.clone() };
                self.post(vm, PeerMessage::FeaturesPush(push));
            }
        }
    }
}
