//! The answers of targets that this daemon has seen during a roll-out: to the daemons that may schedule, and from them.
//!
//! Owns: what was seen here, until the roll-out ends. Relies on: the daemon's requests, which tell what they see at once.

use curlewcleat_core::{
    AnswerSample, DaemonId, PeerMessage, PoolId, RolloutAnswers, TargetVersion,
};
use curlewcleat_sched::PoolVersions;

use crate::node::Node;

/// Answers of versions in service that one report has at most: they are many, and stand for each other.
const OTHERS_PER_REPORT: usize = 16;
/// Answers that are kept for daemons that come to schedule.
const ANSWERS_KEPT: usize = 512;

/// Answers that this daemon has seen during one roll-out.
#[derive(Clone, Debug, Default)]
pub(super) struct SeenAnswers {
    version: TargetVersion,
    /// How many have been dropped, and how many have been told.
    dropped: u64,
    told: u64,
    /// How many of other versions have not been told.
    others: usize,
    samples: Vec<AnswerSample>,
}

impl SeenAnswers {
    fn note(&mut self, sample: AnswerSample) -> bool {
        if sample.version.as_ref() != Some(&self.version) {
            self.others += 1;
            if self.others > OTHERS_PER_REPORT {
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

    /// Those from a place on among all that were seen.
    fn since(&self, pool: &PoolId, place: u64) -> Option<RolloutAnswers> {
        let first = place.max(self.dropped);
        let skipped = usize::try_from(first - self.dropped).unwrap_or(usize::MAX);
        let samples = self.samples.get(skipped..).filter(|samples| !samples.is_empty())?.to_vec();
        Some(RolloutAnswers { pool: pool.clone(), version: self.version.clone(), first, samples })
    }

    fn seen(&self) -> u64 {
        self.dropped + self.samples.len() as u64
    }
}

impl Node {
    /// A target has answered a request of this daemon.
    pub(in crate::node) fn answer_seen(&mut self, pool: PoolId, sample: AnswerSample) {
        let Some(rollout) = self.rollouts.pools.get_mut(&pool).and_then(PoolVersions::rollout_mut)
        else {
            return;
        };
        let version = rollout.order().version.clone();
        let seen = self.rollouts.seen.entry(pool).or_default();
        if seen.version != version {
            *seen = SeenAnswers { version, ..SeenAnswers::default() };
        }
        if seen.note(sample.clone()) {
            let place = seen.seen() - 1;
            rollout.answered(self.now, &self.options.me, place, &[sample]);
        }
    }

    /// A peer tells what answers it has seen.
    pub(in crate::node) fn answers_told(&mut self, from: &DaemonId, answers: &RolloutAnswers) {
        let versions = self.rollouts.pools.get_mut(&answers.pool);
        let rollout = versions.and_then(PoolVersions::rollout_mut);
        if let Some(rollout) = rollout.filter(|known| known.order().version == answers.version) {
            rollout.answered(self.now, from, answers.first, &answers.samples);
        }
    }

    /// Tells the daemons that may schedule what answers this one has seen since the last report.
    pub(super) fn report_answers(&mut self) {
        let mut reports = Vec::new();
        for (pool, seen) in &mut self.rollouts.seen {
            reports.extend(seen.since(pool, seen.told));
            seen.told = seen.seen();
            seen.others = 0;
        }
        for daemon in self.other_schedulers() {
            for report in &reports {
                self.post(&daemon.vm, PeerMessage::RolloutAnswers(report.clone()));
            }
        }
        let under_way =
            |pool: &PoolId| self.rollouts.pools.get(pool).is_some_and(PoolVersions::is_under_way);
        let ended: Vec<PoolId> =
            self.rollouts.seen.keys().filter(|pool| !under_way(pool)).cloned().collect();
        ended.iter().for_each(|pool| drop(self.rollouts.seen.remove(pool)));
    }

    /// Daemons that may schedule from now on learn what answers this one has seen before.
    pub(in crate::node) fn tell_answers(&mut self, before: &[DaemonId]) {
        let seen = self.rollouts.seen.iter();
        let reports: Vec<RolloutAnswers> =
            seen.filter_map(|(pool, seen)| seen.since(pool, 0)).collect();
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
