//! Placement by the loads that targets state, replayed: a pool whose targets share their VMs with others and have slow
//! spells, shorter than an answer.

mod stated_pool;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, PermitDecision, PermitId, PermitReturn, StatedLoad, StreamTiming,
};
use curlewcleat_sched::{PoolScheduler, SchedulerAction};
use rand::{rngs::StdRng, Rng, SeedableRng};
use rstest::rstest;

use stated_pool::{entry, ms, permit, report, request, scheduler, OBJECTIVE, POOL, SLOTS, TARGETS};

const STEP: Duration = Duration::from_millis(5);
/// Mean length of a slow spell, and of the time between two of them: a fifth of the targets is slow at any time.
const MEAN_SPELL: Duration = Duration::from_millis(600);
const MEAN_USUAL: Duration = Duration::from_millis(2_400);
const SLOW_PERCENT: u32 = 250;
const REQUESTS_PER_S: f64 = 40.0;
const PROMPT_TIME: Duration = Duration::from_millis(60);
const PART_TIME: Duration = Duration::from_millis(20);
const PARTS: u32 = 40;
/// Interval between two statements of a target.
const STATED_EVERY: Duration = Duration::from_millis(100);
const REPLAYED: Duration = Duration::from_secs(60);
const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

/// What a target states in the replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Statement {
    None,
    /// Three figures of this age.
    Counts(Duration),
    /// Four figures of this age.
    Slowness(Duration),
    /// Four figures of this age that always state the usual speed.
    AlwaysUsual(Duration),
}

/// A request at a target.
struct Stream {
    permit: PermitId,
    arrived: Duration,
    granted: Duration,
    prompt_left: Duration,
    part_left: Duration,
    first: Option<Duration>,
    last_part: Duration,
    parts: u32,
    pause: Duration,
}

struct Engine {
    is_slow: bool,
    until: Duration,
    streams: Vec<Stream>,
    /// What it states, by the time.
    stated: VecDeque<(Duration, StatedLoad)>,
}

impl Engine {
    fn percent(&self) -> u32 {
        if self.is_slow {
            SLOW_PERCENT
        } else {
            100
        }
    }

    /// Runs for one step. A prompt is read before the streams go on.
    fn run(&mut self, now: Duration) -> Vec<Stream> {
        let mut work = STEP * 100 / self.percent();
        while let Some(reading) = self.streams.iter_mut().find(|stream| stream.first.is_none()) {
            let read = reading.prompt_left.min(work);
            reading.prompt_left -= read;
            work -= read;
            if !reading.prompt_left.is_zero() {
                return Vec::new();
            }
            (reading.first, reading.last_part, reading.parts) = (Some(now), now, 1);
        }
        for stream in &mut self.streams {
            match stream.part_left.checked_sub(work) {
                Some(left) if !left.is_zero() => stream.part_left = left,
                _ => {
                    stream.part_left = PART_TIME;
                    stream.parts += 1;
                    stream.pause = stream.pause.max(now - stream.last_part);
                    stream.last_part = now;
                }
            }
        }
        let (ended, running) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream: &Stream| stream.parts >= PARTS);
        self.streams = running;
        ended
    }
}

/// The result of a replay.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    answers: usize,
    in_time: usize,
    /// The longest pause of each answer.
    pauses: Vec<Duration>,
    grants: Vec<String>,
}

impl Outcome {
    fn in_time_permille(&self) -> usize {
        self.in_time * 1_000 / self.answers
    }

    /// Returns the pause that one answer in a hundred exceeds.
    fn longest_pause(&self) -> Duration {
        let mut pauses = self.pauses.clone();
        pauses.sort();
        pauses[pauses.len() * 99 / 100]
    }
}

struct Replay {
    scheduler: PoolScheduler,
    random: StdRng,
    engines: BTreeMap<String, Engine>,
    arrived: BTreeMap<PermitId, Duration>,
    statement: Statement,
    now: Duration,
    outcome: Outcome,
}

impl Replay {
    fn new(seed: u64, statement: Statement) -> Replay {
        let engines = (0..TARGETS).map(|number| {
            let engine = Engine {
                is_slow: false,
                until: Duration::ZERO,
                streams: Vec::new(),
                stated: VecDeque::new(),
            };
            (format!("t{number:02}"), engine)
        });
        Replay {
            scheduler: scheduler(TARGETS, SLOTS),
            random: StdRng::seed_from_u64(seed),
            engines: engines.collect(),
            arrived: BTreeMap::new(),
            statement,
            now: Duration::from_secs(10),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let end = self.now + REPLAYED;
        let mut next_arrival = self.now;
        let mut number = 0;
        while self.now < end {
            self.now += STEP;
            self.change_speeds();
            self.run_engines();
            if self.now.as_millis().is_multiple_of(STATED_EVERY.as_millis()) {
                self.state_loads();
            }
            while next_arrival <= self.now {
                number += 1;
                let permit = permit(number);
                self.arrived.insert(permit, self.now);
                let actions = self.scheduler.request_permit(self.now, entry(), request(number));
                self.follow(&actions);
                next_arrival += exponential(&mut self.random, 1.0 / REQUESTS_PER_S);
            }
            if self.now.as_millis().is_multiple_of(20) {
                let actions = self.scheduler.tick(self.now);
                self.follow(&actions);
            }
        }
        self.outcome
    }

    fn change_speeds(&mut self) {
        for engine in self.engines.values_mut() {
            if self.now >= engine.until {
                engine.is_slow = !engine.is_slow;
                let mean = if engine.is_slow { MEAN_SPELL } else { MEAN_USUAL };
                engine.until = self.now + exponential(&mut self.random, mean.as_secs_f64());
            }
        }
    }

    fn run_engines(&mut self) {
        let mut ended = Vec::new();
        for engine in self.engines.values_mut() {
            ended.extend(engine.run(self.now));
        }
        for stream in ended {
            let first = stream.first.expect("a first part");
            self.outcome.answers += 1;
            self.outcome.in_time += usize::from(first - stream.arrived <= OBJECTIVE);
            self.outcome.pauses.push(stream.pause);
            let timing = StreamTiming {
                first: first - stream.granted,
                rest: stream.last_part - first,
                parts: stream.parts,
                pause: stream.pause,
            };
            let end = AttemptEnd::Streamed(timing);
            let returned = PermitReturn { permit: stream.permit, pool: POOL.to_string(), end };
            let actions = self.scheduler.return_permit(self.now, &returned);
            self.follow(&actions);
        }
    }

    /// Hands over what the targets stated as long ago as the statements are old.
    fn state_loads(&mut self) {
        let (age, has_slowness) = match self.statement {
            Statement::None => return,
            Statement::Counts(age) => (age, false),
            Statement::Slowness(age) | Statement::AlwaysUsual(age) => (age, true),
        };
        let always_usual = matches!(self.statement, Statement::AlwaysUsual(_));
        for (id, engine) in &mut self.engines {
            let load = StatedLoad {
                running: engine.streams.len() as u32,
                waiting: 0,
                slots: SLOTS,
                slowness_percent: has_slowness.then(|| {
                    if always_usual {
                        100
                    } else {
                        engine.percent()
                    }
                }),
            };
            engine.stated.push_back((self.now, load));
            while engine.stated.front().is_some_and(|(at, _)| *at + age <= self.now) {
                let (at, load) = engine.stated.pop_front().expect("a statement");
                let report = report(id, load, self.now - at);
                self.scheduler.apply_stated_load(self.now, &report);
            }
        }
    }

    fn follow(&mut self, actions: &[SchedulerAction]) {
        for action in actions {
            let permit = action.answer.permit;
            let target = match &action.answer.decision {
                PermitDecision::Granted(target) => target,
                PermitDecision::Refused(_) => {
                    self.outcome.answers += usize::from(self.arrived.remove(&permit).is_some());
                    continue;
                }
                _ => continue,
            };
            // A permit in use is confirmed by sending it again.
            let Some(arrived) = self.arrived.remove(&permit) else { continue };
            self.outcome.grants.push(target.clone());
            let stream = Stream {
                permit,
                arrived,
                granted: self.now,
                prompt_left: PROMPT_TIME,
                part_left: PART_TIME,
                first: None,
                last_part: Duration::ZERO,
                parts: 0,
                pause: Duration::ZERO,
            };
            self.engines.get_mut(target).expect("a target").streams.push(stream);
        }
    }
}

fn exponential(random: &mut StdRng, mean: f64) -> Duration {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean)
}

fn replay(seed: u64, statement: Statement) -> Outcome {
    Replay::new(seed, statement).run()
}

/// The sums over all seeds: answers in time of 1,000, and the pause that one answer in a hundred exceeds.
fn totals(statement: Statement) -> (usize, Duration) {
    let outcomes = SEEDS.map(|seed| replay(seed, statement));
    for (seed, outcome) in SEEDS.iter().zip(&outcomes) {
        let (in_time, pause) = (outcome.in_time_permille(), outcome.longest_pause());
        println!(
            "{statement:?}, seed {seed}: {in_time} of 1,000 in time, longest pauses {pause:?}"
        );
    }
    let in_time = outcomes.iter().map(Outcome::in_time_permille).sum();
    (in_time, outcomes.iter().map(Outcome::longest_pause).sum())
}

/// The pool under spells: statements that are not much older than a spell place requests better than the learned pace
/// alone.
#[rstest]
#[case::fresh(100)]
#[case::as_old_as_a_spell(600)]
fn statements_younger_than_a_spell_improve_on_the_learned_pace(#[case] age_ms: u64) {
    let (in_time, pause) = totals(Statement::Slowness(ms(age_ms)));
    let (learned_in_time, learned_pause) = totals(Statement::None);
    assert!(in_time > learned_in_time, "{in_time} and {learned_in_time}");
    assert!(pause < learned_pause, "{pause:?} and {learned_pause:?}");
}

/// A part of that gain comes from the grants counted since each statement. Fresh figures add to it.
#[test]
fn fresh_figures_gain_more_than_the_count_of_grants_alone() {
    let (in_time, pause) = totals(Statement::Slowness(ms(100)));
    let (counted_in_time, counted_pause) = totals(Statement::AlwaysUsual(ms(100)));
    assert!(in_time > counted_in_time, "{in_time} and {counted_in_time}");
    assert!(pause < counted_pause, "{pause:?} and {counted_pause:?}");
}

/// Statements older than anything that is believed, and statements without a slowness, change no grant.
#[rstest]
#[case::old(Statement::Slowness(Duration::from_secs(2)))]
#[case::very_old(Statement::Slowness(Duration::from_secs(6)))]
#[case::without_slowness(Statement::Counts(Duration::from_millis(100)))]
fn statement_that_is_old_or_lacks_a_slowness_changes_no_grant(#[case] statement: Statement) {
    for seed in SEEDS {
        assert_eq!(replay(seed, statement), replay(seed, Statement::None), "seed {seed}");
    }
}
