//! Distributes the notices of targets from the daemon that receives them to those that may schedule.
//!
//! The receiving daemon applies a notice by itself and forwards it at once to the daemons that may schedule. Daemons
//! that become schedulers later are sent the notices by all daemons, since the earlier schedulers may have ended with
//! what they knew.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: [`TargetGate`](curlewcleat_sched::TargetGate) to decide
//! which notices need to be reported, and to report them again while they keep arriving.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, LimitReport, NoticeReport, PeerMessage, PoolId, PoolNotice, TargetInstance, Uptime,
    VmId,
};

use super::Node;

/// Time for which new schedulers are sent the last notice of a target.
const NOTICE_RETENTION: Duration = Duration::from_secs(600);

/// The latest notice of each target instance that this daemon has received.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedNotices {
    instances: BTreeMap<TargetInstance, (PoolNotice, Uptime)>,
}

impl ReceivedNotices {
    fn record(&mut self, now: Uptime, notice: PoolNotice) {
        self.instances.retain(|_, (_, received)| now < *received + NOTICE_RETENTION);
        self.instances.insert(notice.report.instance.clone(), (notice, now));
    }

    /// Returns the notices that are still valid now.
    fn current(&self, now: Uptime) -> Vec<PoolNotice> {
        let received =
            self.instances.values().filter(|(_, received)| now < *received + NOTICE_RETENTION);
        received
            .map(|(notice, received)| with_added_age(notice, now.saturating_sub(*received)))
            .collect()
    }
}

/// Returns a notice with its age increased and its rest shortened by `time`.
fn with_added_age(notice: &PoolNotice, time: Duration) -> PoolNotice {
    let report = &notice.report;
    let limit = report.limit.map(|limit| LimitReport { age: limit.age + time, ..limit });
    let rest = report.rest.and_then(|rest| rest.checked_sub(time));
    let report = NoticeReport { limit, rest, ..report.clone() };
    PoolNotice { report, ..notice.clone() }
}

impl Node {
    /// Records a notice that this daemon has received and forwards it to all schedulers.
    pub(super) fn own_notice_received(&mut self, pool: PoolId, report: NoticeReport) {
        let notice = PoolNotice { pool, report };
        self.notices.record(self.now, notice.clone());
        let me = self.options.me.vm.clone();
        let others = self.other_schedulers().into_iter().map(|daemon| daemon.vm);
        for vm in others.chain([me]).collect::<Vec<VmId>>() {
            self.post(&vm, PeerMessage::TargetNotice(notice.clone()));
        }
    }

    /// Applies a notice that a daemon has received, in the scheduler of its pool.
    pub(super) fn peer_notice_received(&mut self, from: &VmId, notice: &PoolNotice) {
        if !self.active.pools.contains_key(&notice.pool) {
            return;
        }
        let now = self.now;
        let actions = self.pool(&notice.pool).apply_notice_report(now, from, &notice.report);
        self.send_answers(actions);
    }

    /// Sends the notices that this daemon has received to daemons that may schedule from now on.
    pub(super) fn send_notices_to_new_schedulers(&mut self, before: &[DaemonId]) {
        let notices = self.notices.current(self.now);
        if notices.is_empty() {
            return;
        }
        for vm in self.new_schedulers(before) {
            for notice in &notices {
                self.post(&vm, PeerMessage::TargetNotice(notice.clone()));
            }
        }
    }

    /// Returns whether a target has announced to any daemon that it leaves, even if the platform does not show it.
    pub(super) fn has_announced_leaving(&self, target: &str) -> bool {
        let states = self.pools.values().filter_map(|pool| pool.targets().get(target));
        states.into_iter().any(|state| state.notices().is_leaving())
    }

    /// Updates the share of the limits of each pool's targets that this daemon grants: none while another daemon is
    /// first in the order of schedulers.
    pub(super) fn update_rate_shares(&mut self) {
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            let (now, share) = (self.now, self.rate_share(&pool));
            self.pool(&pool).set_rate_share(now, share);
        }
    }
}
