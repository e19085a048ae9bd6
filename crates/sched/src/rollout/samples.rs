//! Keeps the answers that daemons observed during a rollout, at the daemon that decides.
//!
//! Owns: the answers of one order, those of the version separate from the others. Relies on: daemons that number their
//! answers, so that one that is reported twice counts once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use curlewcleat_core::{
    AnswerObservation, AnswerSample, DaemonId, TargetVersion, Uptime, WorkMicros,
};

/// Maximum number of answers of the version; the oldest are evicted first.
const TRIAL_LIMIT: usize = 4_096;
/// Number of answers of other versions above which every second one is dropped, so that the remaining ones still cover
/// the whole time.
const OTHERS_LIMIT: usize = 4_096;
/// Maximum number of rules, and of targets, that are distinguished.
const NAME_LIMIT: usize = 8_192;
/// One in this many answers, those that took longest, is left out of the time of the longest answers.
const LONGEST_OF: usize = 20;

/// Index of a rule or a target among the known ones.
pub type NameIndex = u16;

/// An observed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LoggedAnswer {
    /// When it was recorded.
    pub at: Uptime,
    /// Its rule.
    pub rule: NameIndex,
    /// Its target.
    pub target: NameIndex,
    /// Estimated work until the first part.
    pub work: WorkMicros,
    /// What was observed.
    pub observation: AnswerObservation,
}

impl LoggedAnswer {
    /// Returns whether it counts against its target.
    pub fn is_bad(&self) -> bool {
        matches!(self.observation, AnswerObservation::Failed | AnswerObservation::Broken)
    }

    /// Returns whether it counts as an answer: later observations of the same answer do not count again.
    pub fn is_answer(&self) -> bool {
        self.is_bad() || matches!(self.observation, AnswerObservation::Begun(_))
    }
}

/// Names and their indices.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct NameTable(BTreeMap<String, NameIndex>);

impl NameTable {
    /// Returns the index of a name, `None` if there are too many names.
    fn index_of(&mut self, name: &str) -> Option<NameIndex> {
        if let Some(index) = self.0.get(name) {
            return Some(*index);
        }
        let index = NameIndex::try_from(self.0.len()).ok().filter(|_| self.0.len() < NAME_LIMIT)?;
        self.0.insert(name.to_string(), index);
        Some(index)
    }
}

/// The answers of one order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AnswerLog {
    trial: VecDeque<LoggedAnswer>,
    others: VecDeque<LoggedAnswer>,
    rules: NameTable,
    targets: NameTable,
    /// Number of answers of each daemon that are known.
    known: BTreeMap<DaemonId, u64>,
    /// Number of answers of the version that failed or were interrupted.
    bad_answers: u64,
}

impl AnswerLog {
    /// Returns the observed answers of the version.
    pub fn trial(&self) -> &VecDeque<LoggedAnswer> {
        &self.trial
    }

    /// Returns the observed answers of other versions.
    pub fn others(&self) -> &VecDeque<LoggedAnswer> {
        &self.others
    }

    /// Returns the number of answers of the version.
    pub fn trial_answers(&self) -> usize {
        self.trial.iter().filter(|answer| answer.is_answer()).count()
    }

    /// Returns the number of known rules.
    pub fn rules(&self) -> usize {
        self.rules.0.len()
    }

    /// Returns the number of answers of the version that failed or were interrupted.
    pub fn bad_answers(&self) -> u64 {
        self.bad_answers
    }

    /// Records answers that a daemon observed; `first` is the position of the first of them among all that it observed.
    pub fn record_answers(
        &mut self,
        now: Uptime,
        version: &TargetVersion,
        from: &DaemonId,
        first: u64,
        samples: &[AnswerSample],
    ) {
        // A daemon that has not reported before starts at 0.
        let known = self.known.get(from).copied().unwrap_or(0);
        // Answers that were reported before are skipped.
        let already_known = usize::try_from(known.saturating_sub(first)).unwrap_or(usize::MAX);
        for sample in samples.iter().skip(already_known) {
            self.record(now, version, sample);
        }
        let until = first.saturating_add(samples.len() as u64);
        self.known.insert(from.clone(), known.max(until));
    }

    fn record(&mut self, now: Uptime, version: &TargetVersion, sample: &AnswerSample) {
        let indices = self.rules.index_of(&sample.rule).zip(self.targets.index_of(&sample.target));
        let Some((rule, target)) = indices else { return };
        let answer = LoggedAnswer {
            at: now,
            rule,
            target,
            work: sample.work,
            observation: sample.observation,
        };
        if sample.version.as_ref() == Some(version) {
            self.bad_answers += u64::from(answer.is_bad());
            self.trial.push_back(answer);
            if self.trial.len() > TRIAL_LIMIT {
                self.trial.pop_front();
            }
            return;
        }
        self.others.push_back(answer);
        if self.others.len() > OTHERS_LIMIT {
            let mut keep = false;
            self.others.retain(|_| {
                keep = !keep;
                keep
            });
        }
    }

    /// Returns the time of the longest answers of the other versions, except the one in [`LONGEST_OF`] that took
    /// longest.
    pub fn long_answer(&self) -> Duration {
        let times = self.others.iter().filter_map(|answer| match answer.observation {
            AnswerObservation::Whole(took) => Some(took),
            _ => None,
        });
        let mut times: Vec<Duration> = times.collect();
        times.sort_unstable();
        let index = times.len() - times.len().div_ceil(LONGEST_OF);
        // Without any answer there is no time.
        times.get(index).copied().unwrap_or_default()
    }
}
