//! Exchanges the answers of targets that daemons observe during a rollout.
//!
//! Owns: the answers that were observed here, until the rollout ends. Relies on: the daemon's requests, which report
//! each observation at once.

use curlewcleat_core::{
    AnswerSample, DaemonId, PeerMessage, PoolId, RolloutAnswers, TargetVersion,
};
use curlewcleat_sched::PoolVersions;

use crate::node::Node;

/// Maximum number of answers of other versions in one report: these answers are many, and a sample of them represents
/// the rest.
const OTHERS_PER_REPORT: usize = 16;
/// Answers that are kept for daemons that become schedulers later.
const ANSWERS_KEPT: usize = 512;

/// Answers that this daemon has observed during one rollout.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedAnswers {
    version: TargetVersion,
    /// Number of answers that were dropped.
    dropped: u64,
    /// Position among all observed answers up to which they were sent.
    sent_until: u64,
    /// Answers of other versions since the last report.
    unsent_others: usize,
    samples: Vec<AnswerSample>,
}

impl ObservedAnswers {
    fn record(&mut self, sample: AnswerSample) -> bool {
        if sample.version.as_ref() != Some(&self.version) {
            self.unsent_others += 1;
            if self.unsent_others > OTHERS_PER_REPORT {
                return false;
            }
        }
        self.samples.push(sample);
        if self.samples.len() > ANSWERS_KEPT {
            self.samples.remove(0);
            self.dropped += 1;
        }
        true
    }

    /// Returns the kept answers from a position among all observed answers.
    fn since(&self, pool: &PoolId, position: u64) -> Option<RolloutAnswers> {
        let first = position.max(self.dropped);
        let skipped = usize::try_from(first - self.dropped).unwrap_or(usize::MAX);
        let samples = self.samples.get(skipped..).filter(|samples| !samples.is_empty())?.to_vec();
        Some(RolloutAnswers { pool: pool.clone(), version: self.version.clone(), first, samples })
    }

    fn total(&self) -> u64 {
        self.dropped + self.samples.len() as u64
    }
}

impl Node {
    /// Records the answer of a target to a request of this daemon.
    pub(in crate::node) fn answer_observed(&mut self, pool: PoolId, sample: AnswerSample) {
        let Some(rollout) = self.rollouts.pools.get_mut(&pool).and_then(PoolVersions::rollout_mut)
        else {
            return;
        };
        let version = rollout.order().version.clone();
        let observed = self.rollouts.observed.entry(pool).or_default();
        if observed.version != version {
            *observed = ObservedAnswers { version, ..ObservedAnswers::default() };
        }
        if observed.record(sample.clone()) {
            let position = observed.total() - 1;
            rollout.record_answers(self.now, &self.options.me, position, &[sample]);
        }
    }

    /// Records the answers that a peer has observed.
    pub(in crate::node) fn peer_answers_received(
        &mut self,
        from: &DaemonId,
        answers: &RolloutAnswers,
    ) {
        let versions = self.rollouts.pools.get_mut(&answers.pool);
        let rollout = versions.and_then(PoolVersions::rollout_mut);
        if let Some(rollout) = rollout.filter(|known| known.order().version == answers.version) {
            rollout.record_answers(self.now, from, answers.first, &answers.samples);
        }
    }

    /// Sends the answers observed since the last report to the daemons that may schedule.
    pub(super) fn report_answers(&mut self) {
        let mut reports = Vec::new();
        for (pool, observed) in &mut self.rollouts.observed {
            reports.extend(observed.since(pool, observed.sent_until));
            observed.sent_until = observed.total();
            observed.unsent_others = 0;
        }
        for daemon in self.other_schedulers() {
            for report in &reports {
                self.post(&daemon.vm, PeerMessage::RolloutAnswers(report.clone()));
            }
        }
        let under_way =
            |pool: &PoolId| self.rollouts.pools.get(pool).is_some_and(PoolVersions::is_under_way);
        let ended: Vec<PoolId> =
            self.rollouts.observed.keys().filter(|pool| !under_way(pool)).cloned().collect();
        ended.iter().for_each(|pool| drop(self.rollouts.observed.remove(pool)));
    }

    /// Sends all kept answers to daemons that may schedule from now on.
    pub(in crate::node) fn send_answers_to_new_schedulers(&mut self, before: &[DaemonId]) {
        let observed = self.rollouts.observed.iter();
        let reports: Vec<RolloutAnswers> =
            observed.filter_map(|(pool, observed)| observed.since(pool, 0)).collect();
        if reports.is_empty() {
            return;
        }
        for vm in self.new_schedulers(before) {
            for report in &reports {
                self.post(&vm, PeerMessage::RolloutAnswers(report.clone()));
            }
        }
    }
}
