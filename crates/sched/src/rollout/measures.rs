//! Groups answers by target for comparison: which failed, and how long they took.
//!
//! Owns: how failures are counted and times are scaled. Relies on: [`samples`](super::samples) for the answers.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{AnswerObservation, Uptime};

use super::samples::{LoggedAnswer, NameIndex};
use super::statistics::median;

/// Interrupted answers of one target within this time count as at most this many, since they have one cause.
const INTERRUPTION_SPAN: Duration = Duration::from_secs(1);
const INTERRUPTIONS_PER_SPAN: u64 = 2;
/// Work in microseconds that is added to the estimate of every answer, so that short ones do not look slow.
const WORK_BASE: f64 = 50_000.0;

/// A time of an answer that is compared.
#[derive(Clone, Copy, Debug)]
pub enum TimeMeasure {
    /// Until the first part, relative to the estimated work. A target that has just begun has read no prompt yet.
    First,
    /// Between two parts.
    Part,
}

impl TimeMeasure {
    /// Returns the ratios that count as slow: of a target's median, and of one answer relative to its target's median.
    pub fn limits(self) -> (f64, f64) {
        match self {
            TimeMeasure::First => (2.5, 3.0),
            TimeMeasure::Part => (1.6, 2.2),
        }
    }

    /// Returns whether an answer counts whose logarithmic distance from its target's median is `distance`. Of times
    /// between parts shorter ones count as well: if most answers of a target are slow, the fast ones are those that
    /// differ.
    pub fn differs(self, distance: f64) -> bool {
        let limit = self.limits().1.ln();
        match self {
            TimeMeasure::First => distance > limit,
            TimeMeasure::Part => distance.abs() > limit,
        }
    }

    /// Returns the logarithm of the time, `None` if the observation has none.
    fn of(self, answer: &LoggedAnswer) -> Option<f64> {
        let micros = |time: Duration| (time.as_micros() as f64).max(1.0);
        match (self, answer.observation) {
            (TimeMeasure::First, AnswerObservation::Begun(first)) => {
                Some((micros(first) / (answer.work as f64 + WORK_BASE)).ln())
            }
            (TimeMeasure::Part, AnswerObservation::Paced(part)) => Some(micros(part).ln()),
            _ => None,
        }
    }
}

/// Answers of one group in one period.
pub struct AnswerView<'a> {
    /// In the order in which they were recorded.
    pub answers: Vec<&'a LoggedAnswer>,
}

impl<'a> AnswerView<'a> {
    /// Returns the answers that were recorded at `since` or later.
    pub fn new(answers: impl Iterator<Item = &'a LoggedAnswer>, since: Uptime) -> AnswerView<'a> {
        AnswerView { answers: answers.filter(|answer| answer.at >= since).collect() }
    }

    /// Returns for each target the number of its answers of a rule, or of all rules, and of the bad ones.
    pub fn bad_by_target(&self, rule: Option<NameIndex>) -> Vec<HitCount> {
        let mut counts: BTreeMap<NameIndex, HitCount> = BTreeMap::new();
        let mut interruptions: BTreeMap<(NameIndex, u64), u64> = BTreeMap::new();
        let of_rule = |answer: &&&LoggedAnswer| rule.is_none_or(|rule| answer.rule == rule);
        for answer in self.answers.iter().filter(of_rule).filter(|answer| answer.is_answer()) {
            let count = counts.entry(answer.target).or_default();
            count.all += 1;
            match answer.observation {
                AnswerObservation::Broken => {
                    let span = answer.at.as_secs() / INTERRUPTION_SPAN.as_secs();
                    let interrupted = interruptions.entry((answer.target, span)).or_default();
                    *interrupted += 1;
                    count.hits += u64::from(*interrupted <= INTERRUPTIONS_PER_SPAN);
                }
                _ => count.hits += u64::from(answer.is_bad()),
            }
        }
        counts.into_values().collect()
    }

    /// Returns the times of each target, each minus the usual time of its rule.
    pub fn times(
        &self,
        measure: TimeMeasure,
        usual: &BTreeMap<NameIndex, f64>,
    ) -> Vec<TargetTimes> {
        let mut times: BTreeMap<NameIndex, TargetTimes> = BTreeMap::new();
        for answer in &self.answers {
            let Some((time, usual)) = measure.of(answer).zip(usual.get(&answer.rule)) else {
                continue;
            };
            times.entry(answer.target).or_default().0.push((answer.rule, time - usual));
        }
        times.into_values().collect()
    }

    /// Returns the median time of each rule.
    pub fn usual(&self, measure: TimeMeasure) -> BTreeMap<NameIndex, f64> {
        let mut times: BTreeMap<NameIndex, Vec<f64>> = BTreeMap::new();
        for answer in &self.answers {
            times.entry(answer.rule).or_default().extend(measure.of(answer));
        }
        let rule_median =
            |(rule, mut times): (NameIndex, Vec<f64>)| Some((rule, median(&mut times)?));
        times.into_iter().filter_map(rule_median).collect()
    }
}

/// Minimum number of answers for a target to be compared, over all rules or for one.
#[derive(Clone, Copy, Debug)]
pub struct MinimumAnswers {
    /// Over all rules.
    pub of_all: usize,
    /// Of one rule.
    pub of_rule: usize,
    /// Of the rules other than this one.
    pub of_other_rules: usize,
}

/// Times of one target with their rules.
#[derive(Clone, Debug, Default)]
pub struct TargetTimes(Vec<(NameIndex, f64)>);

impl TargetTimes {
    /// Returns its times, or those of one rule minus the median of the others; `None` if there are too few.
    pub fn of(&self, rule: Option<NameIndex>, minimum: MinimumAnswers) -> Option<Vec<f64>> {
        let Some(rule) = rule else {
            let times: Vec<f64> = self.0.iter().map(|(_, time)| *time).collect();
            return Some(times).filter(|times| times.len() >= minimum.of_all);
        };
        let (of_this_rule, others): (Vec<_>, Vec<_>) =
            self.0.iter().partition(|(other, _)| *other == rule);
        let mut others: Vec<f64> = others.into_iter().map(|(_, time)| time).collect();
        if of_this_rule.len() < minimum.of_rule || others.len() < minimum.of_other_rules {
            return None;
        }
        let usual = median(&mut others)?;
        Some(of_this_rule.into_iter().map(|(_, time)| time - usual).collect())
    }
}

/// Number of answers of a target, and of those that count against it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HitCount {
    /// All answers.
    pub all: u64,
    /// Answers that count against the target.
    pub hits: u64,
}

/// Returns the sum of the counts of all targets.
pub fn sum(counts: &[HitCount]) -> HitCount {
    counts.iter().fold(HitCount::default(), |sum, count| HitCount {
        all: sum.all + count.all,
        hits: sum.hits + count.hits,
    })
}
