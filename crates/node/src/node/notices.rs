//! What targets say of themselves: from the daemon that heard it to those that may schedule.
//!
//! The daemon that hears keeps to it by itself. The daemons that may schedule are told at once; those that come to schedule
//! are told by everyone, since those before them may have ended with what they knew.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: [`TargetGate`](curlewcleat_sched::TargetGate) for what is worth
//! telling, and for telling it again while it is heard.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, LimitReport, NoticeReport, PeerMessage, PoolId, PoolNotice, TargetLife, Uptime, VmId,
};

use super::Node;

/// Time for which those that come to schedule are told what a target said last.
const NOTICE_RETENTION: Duration = Duration::from_secs(600);

/// What targets have said to this daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedNotices {
    lives: BTreeMap<TargetLife, (PoolNotice, Uptime)>,
}

impl ReceivedNotices {
    fn record(&mut self, now: Uptime, notice: PoolNotice) {
        self.lives.retain(|_, (_, received)| now < *received + NOTICE_RETENTION);
        self.lives.insert(notice.report.life.clone(), (notice, now));
    }

    /// What still counts now.
    fn current(&self, now: Uptime) -> Vec<PoolNotice> {
        let received =
            self.lives.values().filter(|(_, received)| now < *received + NOTICE_RETENTION);
        received
            .map(|(notice, received)| with_added_age(notice, now.saturating_sub(*received)))
            .collect()
    }
}

/// A notice after some time.
fn with_added_age(notice: &PoolNotice, time: Duration) -> PoolNotice {
    let report = &notice.report;
    let limit = report.limit.map(|limit| LimitReport { age: limit.age + time, ..limit });
    let rest = report.rest.and_then(|rest| rest.checked_sub(time));
    let report = NoticeReport { limit, rest, ..report.clone() };
    PoolNotice { report, ..notice.clone() }
}

impl Node {
    /// A target has said something to this daemon.
    pub(super) fn own_notice_received(&mut self, pool: PoolId, report: NoticeReport) {
        let notice = PoolNotice { pool, report };
        self.notices.record(self.now, notice.clone());
        let me = self.options.me.vm.clone();
        let others = self.other_schedulers().into_iter().map(|daemon| daemon.vm);
        for vm in others.chain([me]).collect::<Vec<VmId>>() {
            self.post(&vm, PeerMessage::TargetNotice(notice.clone()));
        }
    }

    /// A daemon tells what a target has said to it.
    pub(super) fn peer_notice_received(&mut self, from: &VmId, notice: &PoolNotice) {
        if !self.active.pools.contains_key(&notice.pool) {
            return;
        }
        let now = self.now;
        let actions = self.pool(&notice.pool).noticed(now, from, &notice.report);
        self.send_answers(actions);
    }

    /// Daemons that may schedule from now on learn what targets have said to this one.
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

    /// Whether a target has said to any daemon that it leaves, also where the platform does not show it.
    pub(super) fn has_announced_leaving(&self, target: &str) -> bool {
        let states = self.pools.values().filter_map(|pool| pool.targets().get(target));
        states.into_iter().any(|state| state.word().is_leaving())
    }

    /// The part of the limits of a pool's targets that this daemon grants: none while another one is asked first.
    pub(super) fn update_rate_shares(&mut self) {
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            let (now, part) = (self.now, self.rate_share(&pool));
            self.pool(&pool).set_part(now, part);
        }
    }
}
