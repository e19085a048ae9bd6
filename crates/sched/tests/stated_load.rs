//! Placement by the loads that targets state, replayed: a pool whose targets share their VMs with others and have slow
//! spells, shorter than an answer.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, LatencyObjectives, LoadReport, PermitDecision, PermitHeld, PermitId,
    PermitRequest, PermitReturn, RequestId, StatedLoad, StreamTiming, TargetEntry, TargetInstance,
    TargetNotice, TargetPool, TargetStart,
};
use curlewcleat_sched::{
    LoadBelief, PoolOptions, PoolScheduler, ReceivedNotice, SchedulerAction, TargetGate,
};
use rand::{rngs::StdRng, Rng, SeedableRng};
use rstest::rstest;

const POOL: &str = "engines";
const TARGETS: usize = 12;
const SLOTS: u32 = 8;
const STEP: Duration = Duration::from_millis(5);
/// Mean length of a slow spell, and of the time between two of them: a fifth of the targets is slow at any time.
const MEAN_SPELL: Duration = Duration::from_millis(600);
const MEAN_USUAL: Duration = Duration::from_millis(2_400);
const SLOW_PERCENT: u32 = 250;
const REQUESTS_PER_S: f64 = 40.0;
const PROMPT_TIME: Duration = Duration::from_millis(60);
const PART_TIME: Duration = Duration::from_millis(20);
const PARTS: u32 = 40;
/// Time within which callers expect the first part.
const OBJECTIVE: Duration = Duration::from_millis(200);
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

fn scheduler(targets: usize, slots: u32) -> PoolScheduler {
    let options = PoolOptions { queue_limit: 1_000, age_per_work: 1, ..PoolOptions::default() };
    let mut scheduler = PoolScheduler::new(POOL.to_string(), options.clone());
    let targets = (0..targets).map(|number| {
        let id = format!("t{number:02}");
        let entry = TargetEntry { id: id.clone(), vm: id.clone(), slots, ..TargetEntry::default() };
        (id, entry)
    });
    let pool = TargetPool {
        id: POOL.to_string(),
        queue_limit: 1_000,
        resumable: true,
        targets: targets.collect(),
        ..TargetPool::default()
    };
    scheduler.configure(options, &pool);
    scheduler
}

fn entry() -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation: 1 }
}

fn permit(number: u128) -> PermitId {
    PermitId { request: RequestId::from_u128(number), attempt: 0 }
}

fn request(number: u128) -> PermitRequest {
    PermitRequest {
        permit: permit(number),
        pool: POOL.to_string(),
        tier: 0,
        account: "a".to_string(),
        time_left: Duration::from_secs(15),
        objectives: LatencyObjectives {
            wait_limit: Duration::from_millis(1_600),
            forecast_limit: Duration::from_millis(480),
            first_part_by: OBJECTIVE,
            pause_limit: Duration::from_millis(400),
            ..LatencyObjectives::default()
        },
        prompt_work: 60_000,
        output_work: 800_000,
        prefix: None,
        cost: 1,
        avoid: Vec::new(),
        version: None,
    }
}

fn report(target: &str, load: StatedLoad, age: Duration) -> LoadReport {
    LoadReport::new(TargetInstance { id: target.to_string(), start: None }, load, age)
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

const NOW: Duration = Duration::from_secs(100);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn load(running: u32, slowness: u32) -> StatedLoad {
    StatedLoad { running, waiting: 0, slots: SLOTS, slowness_percent: Some(slowness) }
}

/// Returns the time that a second of work is expected to take at a target with this belief.
fn second_of_work(belief: &LoadBelief, now: Duration) -> u64 {
    belief.adjusted(now, 1_000_000, SLOTS)
}

/// Grants a permit, which is never returned.
fn grant(scheduler: &mut PoolScheduler, now: Duration, number: u128) -> Option<String> {
    let actions = scheduler.request_permit(now, entry(), request(number));
    actions.into_iter().find_map(|action| match action.answer.decision {
        PermitDecision::Granted(target) => Some(target),
        _ => None,
    })
}

/// Two daemons received unlike statements. The one received later counts, in whichever order they arrive.
#[rstest]
#[case::in_order([(300, 250), (100, 100)])]
#[case::older_one_last([(100, 100), (300, 250)])]
fn newest_of_unlike_statements_counts(#[case] statements: [(u64, u32); 2]) {
    let mut belief = LoadBelief::default();
    for (age, slowness) in statements {
        belief.apply(NOW, NOW - ms(age), &load(0, slowness), 0);
    }
    assert_eq!(belief.stated_slowness(NOW), Some((100, ms(100))));
}

/// A statement loses half of its weight in 300 ms and all of it in 1.5 s.
#[test]
fn statement_loses_its_weight_with_its_age() {
    let mut belief = LoadBelief::default();
    belief.apply(NOW, NOW, &load(0, 250), 0);
    let excess = |age| second_of_work(&belief, NOW + ms(age)) - 1_000_000;
    assert!((250_000..270_000).contains(&excess(0)), "{}", excess(0));
    assert_eq!(excess(300), excess(0) / 2);
    assert_eq!(excess(600), excess(0) / 4);
    assert!(excess(1_499) > 0);
    assert_eq!(excess(1_500), 0);
    assert_eq!(belief.stated_slowness(NOW + ms(1_500)), None);
}

/// A target states figures that no VM has. However fast it claims to be, it gains at most a tenth of a spell; however
/// slow, it loses no more than the rest of a spell.
#[test]
fn lie_has_a_bounded_effect() {
    for (slowness, range) in [(1, 950_000..1_000_000), (10_000, 1_000_001..1_433_001)] {
        let mut belief = LoadBelief::default();
        belief.apply(NOW, NOW, &load(0, slowness), 0);
        let expected = second_of_work(&belief, NOW);
        assert!(range.contains(&expected), "{slowness} %: {expected} us");
    }
}

/// A target always states the same, true or not: the learned pace already includes it.
#[rstest]
#[case::slow(250)]
#[case::fast(40)]
fn figure_that_never_changes_has_no_effect(#[case] slowness: u32) {
    let mut belief = LoadBelief::default();
    for step in 0..60 {
        let now = NOW + ms(100) * step;
        belief.apply(now, now, &load(0, slowness), 0);
    }
    let difference = second_of_work(&belief, NOW + ms(5_900)).abs_diff(1_000_000);
    assert!(difference < 5_000, "{difference} us");
}

/// One target states to be much faster than the others while many requests arrive before the next statement. They are
/// spread over the pool, by the learned pace and without it.
#[test]
fn requests_between_two_statements_do_not_all_go_to_the_fastest_target() {
    let mut scheduler = scheduler(TARGETS, 40);
    for number in 0..TARGETS {
        let slowness = if number == 0 { 100 } else { 250 };
        scheduler
            .apply_stated_load(NOW, &report(&format!("t{number:02}"), load(0, slowness), ms(50)));
    }
    let mut grants: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..48 {
        let target = grant(&mut scheduler, NOW, number).expect("free slots");
        *grants.entry(target).or_default() += 1;
    }
    assert_eq!(grants.len(), TARGETS, "{grants:?}");
    assert!(grants["t00"] > 48 / TARGETS, "the fastest one gets the most: {grants:?}");
    assert!(grants["t00"] <= 48 / 3, "{grants:?}");
}

/// The fastest target changes with each statement, ten times a second. No target gets most requests in its turn.
#[test]
fn figures_that_change_many_times_a_second_do_not_move_all_requests() {
    let mut scheduler = scheduler(TARGETS, 40);
    let mut most = 0;
    for turn in 0..2 * TARGETS {
        let now = NOW + ms(100) * turn as u32;
        for number in 0..TARGETS {
            let slowness = if number == turn % TARGETS { 100 } else { 250 };
            let id = format!("t{number:02}");
            scheduler.apply_stated_load(now, &report(&id, load(0, slowness), ms(0)));
        }
        let numbers = (0..120).map(|number| turn as u128 * 1_000 + number);
        let mut grants: BTreeMap<String, usize> = BTreeMap::new();
        for number in numbers.clone() {
            let target = grant(&mut scheduler, now, number).expect("free slots");
            *grants.entry(target).or_default() += 1;
        }
        most = most.max(*grants.values().max().expect("grants"));
        for number in numbers {
            let end = AttemptEnd::Unused;
            let returned = PermitReturn { permit: permit(number), pool: POOL.to_string(), end };
            scheduler.return_permit(now + ms(90), &returned);
        }
    }
    assert!(most <= 120 / 4, "{most} of 120 requests at one target");
}

/// A target runs eight requests of others. It gets one request until the statement is no longer believed.
#[test]
fn target_that_serves_others_gets_few_requests_while_its_statement_is_fresh() {
    let mut scheduler = scheduler(1, SLOTS);
    scheduler.apply_stated_load(NOW, &report("t00", load(8, 100), ms(100)));
    assert!(grant(&mut scheduler, NOW, 1).is_some(), "otherwise it could state nothing more");
    assert_eq!(grant(&mut scheduler, NOW, 2), None);
    let later = scheduler.tick(NOW + ms(1_399));
    assert!(later.is_empty(), "{later:?}");
    let later = scheduler.tick(NOW + ms(1_400));
    assert_eq!(later.len(), 1, "the statement is 1.5 s old");
}

/// Requests of this scheduler that had ended when their target's statement arrived are not those of others.
#[test]
fn own_requests_that_have_ended_are_not_attributed_to_others() {
    let mut scheduler = scheduler(1, SLOTS);
    scheduler.apply_stated_load(NOW, &report("t00", load(0, 100), ms(0)));
    for number in 0..6 {
        assert!(grant(&mut scheduler, NOW + ms(10), number).is_some());
    }
    for number in 0..6 {
        let returned = PermitReturn {
            permit: permit(number),
            pool: POOL.to_string(),
            end: AttemptEnd::Unused,
        };
        scheduler.return_permit(NOW + ms(1_000), &returned);
    }
    scheduler.apply_stated_load(NOW + ms(1_010), &report("t00", load(6, 100), ms(200)));
    assert_eq!(scheduler.targets()["t00"].external_load(NOW + ms(1_010)), 0);
}

/// A new scheduler learns of the statement before it learns which requests run for the schedulers' callers.
#[test]
fn new_scheduler_does_not_count_reported_requests_twice() {
    let mut scheduler = scheduler(1, SLOTS);
    scheduler.apply_stated_load(NOW, &report("t00", load(6, 100), ms(100)));
    assert_eq!(scheduler.targets()["t00"].external_load(NOW), 6);
    for number in 0..6 {
        let held = PermitHeld { request: request(number), target: "t00".to_string() };
        scheduler.record_held_permit(NOW, entry(), held);
    }
    assert_eq!(scheduler.targets()["t00"].external_load(NOW), 0);
    assert_eq!(scheduler.targets()["t00"].in_flight, 6);
}

/// A statement of an earlier instance of a target that has restarted tells nothing of the present one.
#[test]
fn statement_of_an_earlier_instance_is_ignored() {
    let mut scheduler = PoolScheduler::new(POOL.to_string(), PoolOptions::default());
    let start = |start| Some(TargetStart(start));
    let target = TargetEntry {
        id: "t".to_string(),
        slots: SLOTS,
        start: start(2),
        ..TargetEntry::default()
    };
    let targets = BTreeMap::from([("t".to_string(), target)]);
    let pool = TargetPool { id: POOL.to_string(), targets, ..TargetPool::default() };
    scheduler.configure(PoolOptions::default(), &pool);
    let stated = |start| {
        let instance = TargetInstance { id: "t".to_string(), start };
        LoadReport::new(instance, load(0, 250), ms(0))
    };
    scheduler.apply_stated_load(NOW, &stated(start(1)));
    assert_eq!(scheduler.targets()["t"].stated.stated_slowness(NOW), None);
    scheduler.apply_stated_load(NOW, &stated(start(2)));
    assert_eq!(scheduler.targets()["t"].stated.stated_slowness(NOW), Some((250, ms(0))));
}

/// A target states an unusable figure in each of its answers; the operators are told once for each of its instances.
#[test]
fn unusable_figures_are_reported_once_for_each_instance() {
    let mut gate = TargetGate::default();
    let instance = |start| TargetInstance { id: "t".to_string(), start: Some(TargetStart(start)) };
    assert!(gate.is_first_load_fault(NOW, &instance(1)));
    assert!(!gate.is_first_load_fault(NOW + ms(20), &instance(1)));
    let notice = ReceivedNotice { sent: NOW, notice: TargetNotice::default() };
    gate.apply_notice(NOW + ms(30), &instance(1), &notice);
    assert!(!gate.is_first_load_fault(NOW + ms(40), &instance(1)));
    assert!(gate.is_first_load_fault(NOW + ms(60), &instance(2)));
}
