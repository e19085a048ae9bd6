//! Counts what the callers of a play got.
//!
//! Owns: the counts by damage, by framing and by route. Relies on: [`DamageJudge`] for what is wrong.

use std::collections::BTreeMap;
use std::fmt;

use curlewcleat_standins::fleet::stream_damage::StreamDamage;

use crate::damage_callers::{AttemptResult, PlayedAttempt, PlayedStream};
use crate::damage_judge::{DamageJudge, StreamOutcome};

/// Samples of wrong streams that are kept.
const MAX_SAMPLES: usize = 5;

/// What callers got.
#[derive(Debug, Default)]
pub struct PlayCounts {
    pub streams: usize,
    /// Streams taken up that went on or ended.
    pub taken_up: usize,
    /// Pairs of events of one stream from different runs within one answer.
    pub moved: usize,
    /// Damaged answers of the streams.
    pub damaged: usize,
    pub outcomes: BTreeMap<StreamOutcome, usize>,
    /// Outcomes of the streams that met each damage.
    pub by_damage: BTreeMap<StreamDamage, BTreeMap<StreamOutcome, usize>>,
    /// Outcomes of the streams of each framing.
    pub by_framing: BTreeMap<&'static str, BTreeMap<StreamOutcome, usize>>,
    /// Outcomes of the streams of each route, by its prefix.
    pub by_route: BTreeMap<&'static str, BTreeMap<StreamOutcome, usize>>,
    pub samples: Vec<String>,
}

impl PlayCounts {
    /// Judges streams.
    pub fn of(judge: &DamageJudge, streams: &[PlayedStream]) -> PlayCounts {
        let mut counts = PlayCounts { streams: streams.len(), ..PlayCounts::default() };
        for stream in streams {
            let outcome = judge.judge(stream);
            counts.taken_up += take_ups(stream, |_| true);
            counts.moved += moves(stream, |_| true);
            *counts.outcomes.entry(outcome).or_default() += 1;
            let route = counts.by_route.entry(stream.route.prefix()).or_default();
            *route.entry(outcome).or_default() += 1;
            let framing = counts.by_framing.entry(framing_of(&stream.path)).or_default();
            *framing.entry(outcome).or_default() += 1;
            for run in judge.runs(stream) {
                counts.damaged += 1;
                *counts.by_damage.entry(run.damage).or_default().entry(outcome).or_default() += 1;
            }
            if matches!(outcome, StreamOutcome::Wrong(_)) && counts.samples.len() < MAX_SAMPLES {
                counts.samples.push(sample(stream, outcome, judge));
            }
        }
        counts
    }

    /// Returns the number of streams that reached their callers wrong.
    pub fn wrong(&self) -> usize {
        let wrong = |outcome: &StreamOutcome| matches!(outcome, StreamOutcome::Wrong(_));
        self.outcomes.iter().filter(|(outcome, _)| wrong(outcome)).map(|(_, count)| count).sum()
    }

    /// Adds the counts of another play.
    pub fn add(&mut self, other: PlayCounts) {
        self.streams += other.streams;
        self.taken_up += other.taken_up;
        self.moved += other.moved;
        self.damaged += other.damaged;
        add_outcomes(&mut self.outcomes, &other.outcomes);
        for (damage, outcomes) in &other.by_damage {
            add_outcomes(self.by_damage.entry(*damage).or_default(), outcomes);
        }
        for (framing, outcomes) in &other.by_framing {
            add_outcomes(self.by_framing.entry(framing).or_default(), outcomes);
        }
        for (route, outcomes) in &other.by_route {
            add_outcomes(self.by_route.entry(route).or_default(), outcomes);
        }
        self.samples.extend(other.samples);
    }
}

impl fmt::Display for PlayCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PlayCounts { streams, taken_up, moved, damaged, outcomes, .. } = self;
        writeln!(
            formatter,
            "{streams} streams, {taken_up} taken up, {moved} moved, {damaged} damaged answers, {outcomes:?}"
        )?;
        for (place, outcomes) in self.by_framing.iter().chain(&self.by_route) {
            writeln!(formatter, "  {place} {outcomes:?}")?;
        }
        for (damage, outcomes) in &self.by_damage {
            writeln!(formatter, "  {damage:?}: {outcomes:?}")?;
        }
        Ok(())
    }
}

/// Returns how the answers to requests of a path are framed.
fn framing_of(path: &str) -> &'static str {
    match path {
        path if path.contains("/measured/") => "measured",
        path if path.contains("/unframed/") => "unframed",
        _ => "chunked",
    }
}

/// Describes a stream that is wrong.
fn sample(stream: &PlayedStream, outcome: StreamOutcome, judge: &DamageJudge) -> String {
    let events = stream.events.iter().map(|event| {
        let (id, data) = (event.id.as_deref().unwrap_or("-"), event.data.split_once(' '));
        format!("{id}: {}", data.map_or(&*event.data, |(_, made_by)| made_by))
    });
    let events: Vec<String> = events.collect();
    let damages: Vec<StreamDamage> = judge.runs(stream).iter().map(|run| run.damage).collect();
    let (path, begun_as, attempts) = (&stream.path, &stream.begun_as, &stream.attempts);
    let attempts = attempts.iter().map(|attempt| {
        (attempt.events, attempt.result, attempt.ended.duration_since(attempt.began))
    });
    let attempts: Vec<_> = attempts.collect();
    format!("{outcome:?}: {path} {begun_as} {attempts:?} {damages:?} {events:?}")
}

fn add_outcomes(all: &mut BTreeMap<StreamOutcome, usize>, others: &BTreeMap<StreamOutcome, usize>) {
    others.iter().for_each(|(outcome, count)| *all.entry(*outcome).or_default() += count);
}

/// Returns how many attempts that are counted took the stream up and went on or ended.
pub fn take_ups(stream: &PlayedStream, is_counted: impl Fn(&PlayedAttempt) -> bool) -> usize {
    let begun = |two: &&[PlayedAttempt]| two[0].events > 0;
    let went_on = |two: &&[PlayedAttempt]| {
        two[1].events > two[0].events || two[1].result == AttemptResult::Complete
    };
    let attempts = stream.attempts.windows(2).filter(begun).filter(went_on);
    attempts.filter(|two| is_counted(&two[1])).count()
}

/// Returns how many times the run changed within answers of attempts that are counted.
pub fn moves(stream: &PlayedStream, is_counted: impl Fn(&PlayedAttempt) -> bool) -> usize {
    let run = |place: usize| stream.events[place].data.split(' ').nth(2);
    let begins = |place: usize| stream.attempts.iter().any(|attempt| attempt.events == place);
    let attempt = |place: usize| stream.attempts.iter().find(|attempt| attempt.events > place);
    let places = 1..stream.events.len().max(1);
    let moved = places.filter(|place| !begins(*place) && run(place - 1) != run(*place));
    moved.filter(|place| attempt(*place).is_some_and(&is_counted)).count()
}
