//! Answers by target, as they are compared: what failed, and how long they took.
//!
//! Owns: how failures are counted and times are scaled. Relies on: [`samples`](super::samples) for the answers.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{AnswerSight, Uptime};

use super::samples::{LoggedAnswer, NamePlace};
use super::statistics::median;

/// Answers of one target that break off within this time count as this many: they have one cause.
const BREAK_SPAN: Duration = Duration::from_secs(1);
const BREAKS_PER_SPAN: u64 = 2;
/// Work that every answer has besides what is estimated, so that short ones do not look slow.
const WORK_BASE: f64 = 50_000.0;

/// A time of an answer that is compared.
#[derive(Clone, Copy, Debug)]
pub enum TimeMeasure {
    /// To the first part, by the estimated work. A target that has begun lately has read no prompt yet.
    First,
    /// Between two parts.
    Part,
}

impl TimeMeasure {
    /// How many times as long counts as slow: of a target's middle, and of one answer beside it.
    pub fn limits(self) -> (f64, f64) {
        match self {
            TimeMeasure::First => (2.5, 3.0),
            TimeMeasure::Part => (1.6, 2.2),
        }
    }

    /// Whether an answer counts that takes so much longer than its target's middle, or so much less: where most are slow
    /// the others are those that differ.
    pub fn differs(self, distance: f64) -> bool {
        let limit = self.limits().1.ln();
        match self {
            TimeMeasure::First => distance > limit,
            TimeMeasure::Part => distance.abs() > limit,
        }
    }

    /// The logarithm of the time, `None` where the sight tells none.
    fn of(self, answer: &LoggedAnswer) -> Option<f64> {
        let micros = |time: Duration| (time.as_micros() as f64).max(1.0);
        match (self, answer.sight) {
            (TimeMeasure::First, AnswerSight::Begun(first)) => {
                Some((micros(first) / (answer.work as f64 + WORK_BASE)).ln())
            }
            (TimeMeasure::Part, AnswerSight::Paced(part)) => Some(micros(part).ln()),
            _ => None,
        }
    }
}

/// Answers of one group in one time.
pub struct AnswerView<'a> {
    /// In the order in which they were heard of.
    pub answers: Vec<&'a LoggedAnswer>,
}

impl<'a> AnswerView<'a> {
    /// Those that were heard of since then.
    pub fn new(answers: impl Iterator<Item = &'a LoggedAnswer>, since: Uptime) -> AnswerView<'a> {
        AnswerView { answers: answers.filter(|answer| answer.at >= since).collect() }
    }

    /// By target: its answers of a rule, or of all, and those of them that are bad.
    pub fn bad_by_target(&self, rule: Option<NamePlace>) -> Vec<HitCount> {
        let mut counts: BTreeMap<NamePlace, HitCount> = BTreeMap::new();
        let mut breaks: BTreeMap<(NamePlace, u64), u64> = BTreeMap::new();
        let of_rule = |answer: &&&LoggedAnswer| rule.is_none_or(|rule| answer.rule == rule);
        for answer in self.answers.iter().filter(of_rule).filter(|answer| answer.is_answer()) {
            let count = counts.entry(answer.target).or_default();
            count.all += 1;
            match answer.sight {
                AnswerSight::Broken => {
                    let span = answer.at.as_secs() / BREAK_SPAN.as_secs();
                    let broken = breaks.entry((answer.target, span)).or_default();
                    *broken += 1;
                    count.hits += u64::from(*broken <= BREAKS_PER_SPAN);
                }
                _ => count.hits += u64::from(answer.is_bad()),
            }
        }
        counts.into_values().collect()
    }

    /// Times of its targets, each less what is usual for its rule.
    pub fn times(
        &self,
        measure: TimeMeasure,
        usual: &BTreeMap<NamePlace, f64>,
    ) -> Vec<TargetTimes> {
        let mut times: BTreeMap<NamePlace, TargetTimes> = BTreeMap::new();
        for answer in &self.answers {
            let Some((time, usual)) = measure.of(answer).zip(usual.get(&answer.rule)) else {
                continue;
            };
            times.entry(answer.target).or_default().0.push((answer.rule, time - usual));
        }
        times.into_values().collect()
    }

    /// The middle time of each rule.
    pub fn usual(&self, measure: TimeMeasure) -> BTreeMap<NamePlace, f64> {
        let mut times: BTreeMap<NamePlace, Vec<f64>> = BTreeMap::new();
        for answer in &self.answers {
            times.entry(answer.rule).or_default().extend(measure.of(answer));
        }
        let middle = |(rule, mut times): (NamePlace, Vec<f64>)| Some((rule, median(&mut times)?));
        times.into_iter().filter_map(middle).collect()
    }
}

/// Answers that a target needs to be compared, over all rules or of one.
#[derive(Clone, Copy, Debug)]
pub struct LeastAnswers {
    /// Over all rules.
    pub of_all: usize,
    /// Of one rule.
    pub of_rule: usize,
    /// Of other rules than this one.
    pub beside_rule: usize,
}

/// Times of one target with their rules.
#[derive(Clone, Debug, Default)]
pub struct TargetTimes(Vec<(NamePlace, f64)>);

impl TargetTimes {
    /// Its times, or those of one rule less the middle of the others; `None` where there are too few.
    pub fn of(&self, rule: Option<NamePlace>, least: LeastAnswers) -> Option<Vec<f64>> {
        let Some(rule) = rule else {
            let times: Vec<f64> = self.0.iter().map(|(_, time)| *time).collect();
            return Some(times).filter(|times| times.len() >= least.of_all);
        };
        let (own, others): (Vec<_>, Vec<_>) = self.0.iter().partition(|(other, _)| *other == rule);
        let mut others: Vec<f64> = others.into_iter().map(|(_, time)| time).collect();
        if own.len() < least.of_rule || others.len() < least.beside_rule {
            return None;
        }
        let usual = median(&mut others)?;
        Some(own.into_iter().map(|(_, time)| time - usual).collect())
    }
}

/// Answers of a target, and those of them that count against it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HitCount {
    /// All of them.
    pub all: u64,
    /// Those that count.
    pub hits: u64,
}

/// The counts of all targets together.
pub fn sum(counts: &[HitCount]) -> HitCount {
    counts.iter().fold(HitCount::default(), |sum, count| HitCount {
        all: sum.all + count.all,
        hits: sum.hits + count.hits,
    })
}
