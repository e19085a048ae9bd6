//! The answers that daemons have seen during a roll-out, as the daemon that decides keeps them.
//!
//! Owns: the answers of one order, those of the version apart from the others. Relies on: daemons that number theirs, so that
//! what is told twice counts once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use curlewcleat_core::{AnswerSample, AnswerSight, DaemonId, TargetVersion, Uptime, WorkMicros};

/// Answers of the version that are kept; the oldest go first.
const TRIAL_LIMIT: usize = 4_096;
/// Answers of the others above which every second one is dropped: those that are left stand for all of the time.
const OTHERS_LIMIT: usize = 4_096;
/// Rules and targets that are told apart at most.
const NAMES_LIMIT: usize = 8_192;
/// Answers that take longer than all but one in this many are left out of what the longest take.
const LONGEST_OF: usize = 20;

/// Place of a rule or a target among those that are known.
pub type NamePlace = u16;

/// One answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LoggedAnswer {
    /// When it was heard of.
    pub at: Uptime,
    /// Its rule.
    pub rule: NamePlace,
    /// Its target.
    pub target: NamePlace,
    /// Estimated work until the first part.
    pub work: WorkMicros,
    /// What was seen.
    pub sight: AnswerSight,
}

impl LoggedAnswer {
    /// Whether it counts against its target.
    pub fn is_bad(&self) -> bool {
        matches!(self.sight, AnswerSight::Failed | AnswerSight::Broken)
    }

    /// Whether it counts as an answer: what is seen of one after its beginning does not count again.
    pub fn is_answer(&self) -> bool {
        self.is_bad() || matches!(self.sight, AnswerSight::Begun(_))
    }
}

/// Names by their places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct NameTable(BTreeMap<String, NamePlace>);

impl NameTable {
    /// The place of a name, `None` where there are too many.
    fn place(&mut self, name: &str) -> Option<NamePlace> {
        if let Some(place) = self.0.get(name) {
            return Some(*place);
        }
        let place =
            NamePlace::try_from(self.0.len()).ok().filter(|_| self.0.len() < NAMES_LIMIT)?;
        self.0.insert(name.to_string(), place);
        Some(place)
    }
}

/// The answers of one order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AnswerLog {
    trial: VecDeque<LoggedAnswer>,
    others: VecDeque<LoggedAnswer>,
    rules: NameTable,
    targets: NameTable,
    /// How many answers of each daemon are known.
    known: BTreeMap<DaemonId, u64>,
    /// Answers of the version that failed or broke off.
    bad: u64,
}

impl AnswerLog {
    /// What was seen of answers of the version.
    pub fn trial(&self) -> &VecDeque<LoggedAnswer> {
        &self.trial
    }

    /// The same of other versions.
    pub fn others(&self) -> &VecDeque<LoggedAnswer> {
        &self.others
    }

    /// Number of answers of the version.
    pub fn trial_answers(&self) -> usize {
        self.trial.iter().filter(|answer| answer.is_answer()).count()
    }

    /// Number of rules that are known.
    pub fn rules(&self) -> usize {
        self.rules.0.len()
    }

    /// Answers of the version that failed or broke off.
    pub fn bad(&self) -> u64 {
        self.bad
    }

    /// Takes answers in that a daemon has seen; `first` is the place of the first of them among all that it saw.
    pub fn take(
        &mut self,
        now: Uptime,
        version: &TargetVersion,
        from: &DaemonId,
        first: u64,
        samples: &[AnswerSample],
    ) {
        let known = self.known.get(from).copied().unwrap_or(0);
        // What is told again is left out.
        let again = usize::try_from(known.saturating_sub(first)).unwrap_or(usize::MAX);
        for sample in samples.iter().skip(again) {
            self.note(now, version, sample);
        }
        let until = first.saturating_add(samples.len() as u64);
        self.known.insert(from.clone(), known.max(until));
    }

    fn note(&mut self, now: Uptime, version: &TargetVersion, sample: &AnswerSample) {
        let places = self.rules.place(&sample.rule).zip(self.targets.place(&sample.target));
        let Some((rule, target)) = places else { return };
        let answer = LoggedAnswer { at: now, rule, target, work: sample.work, sight: sample.sight };
        if sample.version.as_ref() == Some(version) {
            self.bad += u64::from(answer.is_bad());
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

    /// How long the longest answers of the other versions take, but for the very longest.
    pub fn long_answer(&self) -> Duration {
        let times = self.others.iter().filter_map(|answer| match answer.sight {
            AnswerSight::Whole(took) => Some(took),
            _ => None,
        });
        let mut times: Vec<Duration> = times.collect();
        times.sort_unstable();
        let index = times.len() - times.len().div_ceil(LONGEST_OF);
        times.get(index).copied().unwrap_or_default()
    }
}
