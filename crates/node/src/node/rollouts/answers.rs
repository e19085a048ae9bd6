//! The answers of targets that this daemon has observed during a roll-out: to the daemons that may schedule, and from them.
//!
//! Owns: what was observed here, until the roll-out ends. Relies on: the daemon's requests, which tell what they see at once.

use curlewcleat_core::{
    AnswerSample, DaemonId, PeerMessage, PoolId, RolloutAnswers, TargetVersion,
};
use curlewcleat_sched::PoolVersions;

use crate::node::Node;

/// Answers of versions in service that one report has at most: they are many, and stand for each other.
const OTHERS_PER_REPORT: usize = 16;
/// Answers that are kept for daemons that come to schedule.
const ANSWERS_KEPT: usize = 512;

/// Answers that this daemon has observed during one roll-out.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedAnswers {
    version: TargetVersion,
    /// How many have been dropped, and how many have been told.
    dropped: u64,
    sent_until: u64,
    /// How many of other versions have not been told.
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

    /// Those from a position on among all that were observed.
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
    /// A target has answered a request of this daemon.
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
            rollout.answered(self.now, &self.options.me, position, &[sample]);
        }
    }

    /// A peer tells what answers it has observed.
    pub(in crate::node) fn peer_answers_received(
        &mut self,
        from: &DaemonId,
        answers: &RolloutAnswers,
    ) {
        let versions = self.rollouts.pools.get_mut(&answers.pool);
        let rollout = versions.and_then(PoolVersions::rollout_mut);
        if let Some(rollout) = rollout.filter(|known| known.order().version == answers.version) {
            rollout.answered(self.now, from, answers.first, &answers.samples);
        }
    }

    /// Tells the daemons that may schedule what answers this one has observed since the last report.
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

    /// Daemons that may schedule from now on learn what answers this one has observed before.
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
