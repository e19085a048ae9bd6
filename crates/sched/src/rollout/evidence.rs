//! Do the answers of a version speak against it?
//!
//! Inputs: what all daemons saw of answers during its trial, of its targets and of the others, in the same time and for the
//! same rules.
//!
//! The rule: over all rules and for each of them, over the whole trial and over its last [`RECENT`], the version is faulty where
//! - *its answers fail* more often than chance allows at the share of the others, also without its worst targets: one target
//!   that fails, ends or is cut off says nothing of its version;
//! - *its targets are slower*: the middle times of its targets lie so far above those of the others as the differences
//!   between targets of one version do not explain;
//! - *some of its answers take another time* than is usual at their own target, more of them than of the others.
//!
//! Times are compared as ratios, the time to the first part by the estimated work. Those of one rule are compared with those
//! of the other rules at the same target, whose speed is then of no account. Nothing speaks for a version but enough answers
//! of each rule that the pool has.
//!
//! Owns: the rule. Relies on: [`AnswerLog`] for the answers.

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_core::Uptime;

use super::measures::{sum, AnswerView, HitCount, LeastAnswers, TargetTimes, TimeMeasure};
pub use super::samples::AnswerLog;
use super::samples::{LoggedAnswer, NamePlace};
use super::statistics::{binomial_tail, mean_and_deviation, median};

/// The last time of a trial that is looked at for itself, since a version may turn faulty later.
const RECENT: Duration = Duration::from_millis(2_500);
/// Answers of a version from which it can be called sound, and of each rule that is not rare.
const LEAST_ANSWERS: usize = 30;
const LEAST_OF_RULE: usize = 5;
/// A rule is rare that has fewer than one in this many answers.
const RARE_RULE: usize = 20;
/// Chance below which a difference is none of chance; the trial is judged some hundred times.
const CHANCE: f64 = 1e-5;
/// The same without the worst targets.
const CHANCE_WITHOUT_WORST: f64 = 1e-3;
/// The worst targets are one in this many.
const WORST_PART: usize = 4;
/// Least number of bad answers.
const LEAST_BAD: u64 = 4;
/// What the share of the others is exceeded by without a fault, and the least share that is expected.
const SHARE_MARGIN: f64 = 1.5;
const LEAST_FAILING: f64 = 0.01;
const LEAST_SLOW: f64 = 0.03;
/// Least part of the targets that is expected to have answers that count against them.
const LEAST_HIT_TARGETS: f64 = 0.05;
/// Answers of a target from which its middle is known, and from which its answers are compared with it.
const LEAST_FOR_ODD: LeastAnswers = LeastAnswers { of_all: 3, of_rule: 1, beside_rule: 2 };
const LEAST_FOR_MIDDLE: LeastAnswers = LeastAnswers { of_all: 3, of_rule: 2, beside_rule: 3 };
/// Targets at which a rule has to be slow beside the others: the middle of few answers at few targets is a matter of chance.
const LEAST_TARGETS_OF_RULE: usize = 4;
/// Part of the other targets whose middle has to be known.
const KNOWN_PART: (usize, usize) = (3, 4);
/// Answers from which the only target of a version stands for it.
const LEAST_OF_ONLY_TARGET: usize = 12;
/// Deviations above which a difference between targets is none of chance, and the least deviation that is assumed.
const DEVIATIONS: f64 = 4.0;
const LEAST_DEVIATION: f64 = 0.3;

/// What speaks against a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VersionFault {
    /// Its answers fail.
    Failing,
    /// Its answers begin late, or its targets are slow on the whole.
    Late,
    /// Its answers go on slowly.
    Slow,
}

impl VersionFault {
    /// The code used in logs.
    pub fn code(self) -> &'static str {
        match self {
            VersionFault::Failing => "failing",
            VersionFault::Late => "late",
            VersionFault::Slow => "slow",
        }
    }
}

/// What the answers say of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VersionVerdict {
    /// They speak against it.
    Faulty(VersionFault),
    /// They are enough, and do not.
    Sound,
    /// They are too few.
    Unproved,
}

/// What speaks against a version whose answers take longer by a measure.
fn fault_of(measure: TimeMeasure) -> VersionFault {
    match measure {
        TimeMeasure::First => VersionFault::Late,
        TimeMeasure::Part => VersionFault::Slow,
    }
}

/// Whether more answers of some targets count against them than of the others, also without the worst of them.
fn is_more_often(trial: &mut [HitCount], others: &[HitCount], least_share: f64) -> bool {
    let (seen, usual) = (sum(trial), sum(others));
    let share = (usual.hits + 1) as f64 / (usual.all + 2) as f64;
    let chance = (share * SHARE_MARGIN).clamp(least_share, 1.0);
    if seen.hits < LEAST_BAD || binomial_tail(seen.all, seen.hits, chance) >= CHANCE {
        return false;
    }
    if trial.len() < 2 {
        return seen.all >= LEAST_OF_ONLY_TARGET as u64;
    }
    trial.sort_by_key(|count| count.hits);
    let rest = sum(&trial[..trial.len() - trial.len().div_ceil(WORST_PART)]);
    let without_worst =
        rest.hits >= 2 && binomial_tail(rest.all, rest.hits, chance) < CHANCE_WITHOUT_WORST;
    without_worst || are_more_targets(trial, others)
}

/// Whether more of the targets have answers that count against them than of the others.
fn are_more_targets(trial: &[HitCount], others: &[HitCount]) -> bool {
    let hit = |counts: &[HitCount]| counts.iter().filter(|count| count.hits > 0).count() as u64;
    let usual = (hit(others) + 1) as f64 / (others.len() + 2) as f64;
    let chance = (usual * SHARE_MARGIN).clamp(LEAST_HIT_TARGETS, 1.0);
    let seen = hit(trial);
    seen >= LEAST_BAD && binomial_tail(trial.len() as u64, seen, chance) < CHANCE_WITHOUT_WORST
}

/// Whether targets are slower than others, by the middle of each.
fn are_slower(
    trial: &[TargetTimes],
    others: &[TargetTimes],
    rule: Option<NamePlace>,
    times: f64,
) -> bool {
    let of_all = if trial.len() == 1 { LEAST_OF_ONLY_TARGET } else { LEAST_FOR_MIDDLE.of_all };
    let least = LeastAnswers { of_all, ..LEAST_FOR_MIDDLE };
    let middles = |targets: &[TargetTimes], least: LeastAnswers| -> Vec<f64> {
        let known = targets.iter().filter_map(|target| target.of(rule, least));
        known.filter_map(|mut times| median(&mut times)).collect()
    };
    let (trial, known) = (middles(trial, least), middles(others, LEAST_FOR_MIDDLE));
    if rule.is_none() && known.len() * KNOWN_PART.1 < others.len() * KNOWN_PART.0 {
        // Those that are known first are the fastest.
        return false;
    }
    if rule.is_some() && trial.len() < LEAST_TARGETS_OF_RULE {
        return false;
    }
    let Some(((seen, _), (usual, deviation))) =
        mean_and_deviation(&trial).zip(mean_and_deviation(&known))
    else {
        return false;
    };
    let parts = 1.0 / trial.len() as f64 + 1.0 / known.len() as f64;
    let chance = deviation.max(LEAST_DEVIATION) * parts.sqrt() * DEVIATIONS;
    seen - usual > times.ln().max(chance)
}

/// By target: its answers, and those that take another time than is usual there.
fn odd_by_target(
    targets: &[TargetTimes],
    rule: Option<NamePlace>,
    measure: TimeMeasure,
) -> Vec<HitCount> {
    let count = |target: &TargetTimes| {
        let times = target.of(rule, LEAST_FOR_ODD)?;
        // Those of one rule are less the middle of the others already.
        let middle = if rule.is_some() { 0.0 } else { median(&mut times.clone())? };
        let odd = times.iter().filter(|time| measure.differs(**time - middle));
        Some(HitCount { all: times.len() as u64, hits: odd.count() as u64 })
    };
    targets.iter().filter_map(count).collect()
}

impl AnswerLog {
    /// What the answers say of the version by now.
    pub fn verdict(&self, now: Uptime) -> VersionVerdict {
        let spans = [Duration::ZERO, now.saturating_sub(RECENT)];
        if let Some(fault) = spans.into_iter().find_map(|since| self.fault(since)) {
            return VersionVerdict::Faulty(fault);
        }
        match self.is_enough() {
            true => VersionVerdict::Sound,
            false => VersionVerdict::Unproved,
        }
    }

    fn fault(&self, since: Uptime) -> Option<VersionFault> {
        let trial = AnswerView::new(self.trial().iter(), since);
        if trial.answers.len() < LEAST_BAD as usize {
            return None;
        }
        let others = AnswerView::new(self.others().iter(), since);
        let rules = (0..self.rules()).map(|rule| NamePlace::try_from(rule).ok());
        let scopes: Vec<Option<NamePlace>> = [None].into_iter().chain(rules).collect();
        let fails = |rule: &Option<NamePlace>| {
            let mut bad = trial.bad_by_target(*rule);
            is_more_often(&mut bad, &others.bad_by_target(*rule), LEAST_FAILING)
        };
        if scopes.iter().any(fails) {
            return Some(VersionFault::Failing);
        }
        let measures = [TimeMeasure::First, TimeMeasure::Part];
        let is_slow = |measure: &TimeMeasure| is_slow(&trial, &others, &scopes, *measure);
        measures.into_iter().find(is_slow).map(fault_of)
    }

    /// Whether the version has answered enough requests of each rule.
    fn is_enough(&self) -> bool {
        let by_rule = |answers: &VecDeque<LoggedAnswer>| {
            let mut counts = vec![0; self.rules()];
            let answers = answers.iter().filter(|answer| answer.is_answer());
            answers.for_each(|answer| counts[usize::from(answer.rule)] += 1);
            counts
        };
        let (trial, others): (Vec<usize>, Vec<usize>) =
            (by_rule(self.trial()), by_rule(self.others()));
        let rare = others.iter().sum::<usize>() / RARE_RULE;
        let mut each = trial.iter().zip(&others);
        let has_each = each.all(|(tried, usual)| *usual <= rare || *tried >= LEAST_OF_RULE);
        trial.iter().sum::<usize>() >= LEAST_ANSWERS && has_each
    }
}

/// Whether targets of the version are slower than the others, or some of their answers.
fn is_slow(
    trial: &AnswerView<'_>,
    others: &AnswerView<'_>,
    scopes: &[Option<NamePlace>],
    measure: TimeMeasure,
) -> bool {
    let usual = others.usual(measure);
    let (trial, others) = (trial.times(measure, &usual), others.times(measure, &usual));
    scopes.iter().any(|rule| {
        let mut odd = odd_by_target(&trial, *rule, measure);
        are_slower(&trial, &others, *rule, measure.limits().0)
            || is_more_often(&mut odd, &odd_by_target(&others, *rule, measure), LEAST_SLOW)
    })
}
