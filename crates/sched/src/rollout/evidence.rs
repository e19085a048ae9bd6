//! Decides whether the answers of a version show a fault of it.
//!
//! Inputs: the answers that all daemons observed during its trial, of its targets and of the others, in the same time
//! and for the same rules.
//!
//! The rule: over all rules and for each of them, over the whole trial and over its last [`RECENT`], the version is
//! faulty if
//! - *its answers fail* more often than chance allows at the failure rate of the others, also without its worst
//!   targets: one target that fails, terminates or is cut off does not show a fault of its version;
//! - *its targets are slower*: the median times of its targets are further above those of the others than the
//!   differences between targets of one version explain;
//! - *some of its answers take another time* than is usual at their own target, more of them than of the others.
//!
//! Times are compared as ratios; the time to the first part is divided by the estimated work. The times of one rule are
//! compared with those of the other rules at the same target, so that the speed of the target does not matter. A
//! version is sound only with enough answers of each rule that the pool has.
//!
//! Owns: the rule. Relies on: [`AnswerLog`] for the answers.

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_core::Uptime;

use super::measures::{sum, AnswerView, HitCount, MinimumAnswers, TargetTimes, TimeMeasure};
pub use super::samples::AnswerLog;
use super::samples::{LoggedAnswer, NameIndex};
use super::statistics::{binomial_tail, mean_and_deviation, median};

/// The last period of a trial that is evaluated separately, since a version may become faulty later.
const RECENT: Duration = Duration::from_millis(2_500);
/// Minimum number of answers for a version to be sound, and of answers of each rule that is not rare.
const MIN_ANSWERS: usize = 30;
const MIN_ANSWERS_OF_RULE: usize = 5;
/// A rule is rare if it has fewer than one in this many answers.
const RARE_RULE_DIVISOR: usize = 20;
/// Probability below which a difference does not count as chance; a trial is evaluated some hundred times.
const CHANCE_LIMIT: f64 = 1e-5;
/// The same without the worst targets.
const CHANCE_LIMIT_WITHOUT_WORST: f64 = 1e-3;
/// One in this many targets counts as a worst target.
const WORST_TARGETS_DIVISOR: usize = 4;
/// Minimum number of bad answers.
const MIN_BAD_ANSWERS: u64 = 4;
/// Factor by which a rate may exceed that of the others without a fault, and the minimum rates that are assumed.
const RATE_MARGIN: f64 = 1.5;
const MIN_FAILURE_RATE: f64 = 0.01;
const MIN_SLOW_RATE: f64 = 0.03;
/// Minimum share of the targets that is assumed to have answers that count against them.
const MIN_HIT_TARGETS_SHARE: f64 = 0.05;
/// Minimum answers of a target for its answers to be compared with its median, and for its median to be compared with
/// others.
const MIN_FOR_OUTLIERS: MinimumAnswers =
    MinimumAnswers { of_all: 3, of_rule: 1, of_other_rules: 2 };
const MIN_FOR_MEDIAN: MinimumAnswers = MinimumAnswers { of_all: 3, of_rule: 2, of_other_rules: 3 };
/// Minimum number of targets at which a rule must be slow relative to the other rules: the median of few answers at few
/// targets is a matter of chance.
const MIN_TARGETS_OF_RULE: usize = 4;
/// Share of the other targets whose median has to be known.
const KNOWN_MEDIANS_SHARE: (usize, usize) = (3, 4);
/// Minimum number of answers for the only target of a version to represent it.
const MIN_ANSWERS_OF_ONLY_TARGET: usize = 12;
/// Number of standard deviations above which a difference between targets does not count as chance, and the minimum
/// deviation that is assumed.
const DEVIATIONS_LIMIT: f64 = 4.0;
const MIN_DEVIATION: f64 = 0.3;

/// A fault of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VersionFault {
    /// Its answers fail.
    Failing,
    /// Its answers begin late, or its targets are slow overall.
    Late,
    /// The parts of its answers follow each other slowly.
    Slow,
}

impl VersionFault {
    /// Returns the code used in logs.
    pub fn code(self) -> &'static str {
        match self {
            VersionFault::Failing => "failing",
            VersionFault::Late => "late",
            VersionFault::Slow => "slow",
        }
    }
}

/// The verdict of the answers on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VersionVerdict {
    /// They show this fault.
    Faulty(VersionFault),
    /// They are enough, and show no fault.
    Sound,
    /// They are too few.
    Inconclusive,
}

/// Returns the fault of a version whose answers take longer by a measure.
fn fault_of(measure: TimeMeasure) -> VersionFault {
    match measure {
        TimeMeasure::First => VersionFault::Late,
        TimeMeasure::Part => VersionFault::Slow,
    }
}

/// Returns whether more answers count against some targets than against the others, also without the worst of them.
fn are_hit_more_often(trial: &mut [HitCount], others: &[HitCount], min_rate: f64) -> bool {
    let (observed, usual) = (sum(trial), sum(others));
    let share = (usual.hits + 1) as f64 / (usual.all + 2) as f64;
    let chance = (share * RATE_MARGIN).clamp(min_rate, 1.0);
    if observed.hits < MIN_BAD_ANSWERS
        || binomial_tail(observed.all, observed.hits, chance) >= CHANCE_LIMIT
    {
        return false;
    }
    if trial.len() < 2 {
        return observed.all >= MIN_ANSWERS_OF_ONLY_TARGET as u64;
    }
    trial.sort_by_key(|count| count.hits);
    let rest = sum(&trial[..trial.len() - trial.len().div_ceil(WORST_TARGETS_DIVISOR)]);
    let without_worst =
        rest.hits >= 2 && binomial_tail(rest.all, rest.hits, chance) < CHANCE_LIMIT_WITHOUT_WORST;
    without_worst || are_more_targets_hit(trial, others)
}

/// Returns whether more of the targets have answers that count against them than of the others.
fn are_more_targets_hit(trial: &[HitCount], others: &[HitCount]) -> bool {
    let hit = |counts: &[HitCount]| counts.iter().filter(|count| count.hits > 0).count() as u64;
    let usual = (hit(others) + 1) as f64 / (others.len() + 2) as f64;
    let chance = (usual * RATE_MARGIN).clamp(MIN_HIT_TARGETS_SHARE, 1.0);
    let observed = hit(trial);
    observed >= MIN_BAD_ANSWERS
        && binomial_tail(trial.len() as u64, observed, chance) < CHANCE_LIMIT_WITHOUT_WORST
}

/// Returns whether targets are slower than others, by the median of each.
fn are_slower(
    trial: &[TargetTimes],
    others: &[TargetTimes],
    rule: Option<NameIndex>,
    times: f64,
) -> bool {
    let of_all = if trial.len() == 1 { MIN_ANSWERS_OF_ONLY_TARGET } else { MIN_FOR_MEDIAN.of_all };
    let minimum = MinimumAnswers { of_all, ..MIN_FOR_MEDIAN };
    let medians = |targets: &[TargetTimes], minimum: MinimumAnswers| -> Vec<f64> {
        let known = targets.iter().filter_map(|target| target.of(rule, minimum));
        known.filter_map(|mut times| median(&mut times)).collect()
    };
    let (trial, known) = (medians(trial, minimum), medians(others, MIN_FOR_MEDIAN));
    if rule.is_none() && known.len() * KNOWN_MEDIANS_SHARE.1 < others.len() * KNOWN_MEDIANS_SHARE.0
    {
        // The targets whose medians are known first are the fastest.
        return false;
    }
    if rule.is_some() && trial.len() < MIN_TARGETS_OF_RULE {
        return false;
    }
    let Some(((observed, _), (usual, deviation))) =
        mean_and_deviation(&trial).zip(mean_and_deviation(&known))
    else {
        return false;
    };
    let inverse_counts = 1.0 / trial.len() as f64 + 1.0 / known.len() as f64;
    let chance = deviation.max(MIN_DEVIATION) * inverse_counts.sqrt() * DEVIATIONS_LIMIT;
    observed - usual > times.ln().max(chance)
}

/// Returns for each target the number of its answers, and of those that take another time than is usual there.
fn outliers_by_target(
    targets: &[TargetTimes],
    rule: Option<NameIndex>,
    measure: TimeMeasure,
) -> Vec<HitCount> {
    let count = |target: &TargetTimes| {
        let times = target.of(rule, MIN_FOR_OUTLIERS)?;
        // The median of the other rules is already subtracted from the times of one rule.
        let target_median = if rule.is_some() { 0.0 } else { median(&mut times.clone())? };
        let outliers = times.iter().filter(|time| measure.differs(**time - target_median));
        Some(HitCount { all: times.len() as u64, hits: outliers.count() as u64 })
    };
    targets.iter().filter_map(count).collect()
}

impl AnswerLog {
    /// Returns the current verdict on the version.
    pub fn verdict(&self, now: Uptime) -> VersionVerdict {
        let spans = [Duration::ZERO, now.saturating_sub(RECENT)];
        if let Some(fault) = spans.into_iter().find_map(|since| self.fault(since)) {
            return VersionVerdict::Faulty(fault);
        }
        match self.has_enough_answers() {
            true => VersionVerdict::Sound,
            false => VersionVerdict::Inconclusive,
        }
    }

    fn fault(&self, since: Uptime) -> Option<VersionFault> {
        let trial = AnswerView::new(self.trial().iter(), since);
        if trial.answers.len() < MIN_BAD_ANSWERS as usize {
            return None;
        }
        let others = AnswerView::new(self.others().iter(), since);
        let rules = (0..self.rules()).map(|rule| NameIndex::try_from(rule).ok());
        let scopes: Vec<Option<NameIndex>> = [None].into_iter().chain(rules).collect();
        let fails = |rule: &Option<NameIndex>| {
            let mut bad = trial.bad_by_target(*rule);
            are_hit_more_often(&mut bad, &others.bad_by_target(*rule), MIN_FAILURE_RATE)
        };
        if scopes.iter().any(fails) {
            return Some(VersionFault::Failing);
        }
        let measures = [TimeMeasure::First, TimeMeasure::Part];
        let is_slow = |measure: &TimeMeasure| is_slow(&trial, &others, &scopes, *measure);
        measures.into_iter().find(is_slow).map(fault_of)
    }

    /// Returns whether the version has answered enough requests of each rule.
    fn has_enough_answers(&self) -> bool {
        let by_rule = |answers: &VecDeque<LoggedAnswer>| {
            let mut counts = vec![0; self.rules()];
            let answers = answers.iter().filter(|answer| answer.is_answer());
            answers.for_each(|answer| counts[usize::from(answer.rule)] += 1);
            counts
        };
        let (trial, others): (Vec<usize>, Vec<usize>) =
            (by_rule(self.trial()), by_rule(self.others()));
        let rare_limit = others.iter().sum::<usize>() / RARE_RULE_DIVISOR;
        let mut counts_by_rule = trial.iter().zip(&others);
        let has_each_rule = counts_by_rule
            .all(|(tried, usual)| *usual <= rare_limit || *tried >= MIN_ANSWERS_OF_RULE);
        trial.iter().sum::<usize>() >= MIN_ANSWERS && has_each_rule
    }
}

/// Returns whether targets of the version are slower than the others, or some of their answers are.
fn is_slow(
    trial: &AnswerView<'_>,
    others: &AnswerView<'_>,
    scopes: &[Option<NameIndex>],
    measure: TimeMeasure,
) -> bool {
    let usual = others.usual(measure);
    let (trial, others) = (trial.times(measure, &usual), others.times(measure, &usual));
    scopes.iter().any(|rule| {
        let mut outliers = outliers_by_target(&trial, *rule, measure);
        are_slower(&trial, &others, *rule, measure.limits().0)
            || are_hit_more_often(
                &mut outliers,
                &outliers_by_target(&others, *rule, measure),
                MIN_SLOW_RATE,
            )
    })
}
