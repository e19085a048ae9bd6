//! Replays many entry daemons before many targets, with the connections that each entry daemon keeps.

mod conditions;
mod faults;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, LatencyObjectives, PermitDecision, PermitId, PermitRequest, PermitReturn,
    RequestId, StreamTiming,
};
use curlewcleat_sched::{PoolScheduler, SchedulerAction};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::conditions::{pool, pool_options};
pub use self::conditions::{Content, Fault, ReplayOptions, ReplayResult};

const POOL: &str = "pool";
/// Time for which the replay lasts.
const LENGTH: Duration = Duration::from_secs(60);
const TICK: Duration = Duration::from_millis(20);
const CONNECTION_TIME: Duration = Duration::from_millis(1);
#[derive(Clone, Debug)]
enum Event {
    Arrival,
    End(u128),
    Tick,
    Fault(Fault),
}

#[derive(Clone, Debug)]
struct Arrived {
    entry: usize,
    at: Duration,
}

#[derive(Clone, Debug)]
struct Running {
    arrived: Arrived,
    target: usize,
    sent: Duration,
    end: AttemptEnd,
    /// Whether its target or entry daemon has ended meanwhile.
    lost: bool,
}

pub struct Replay {
    options: ReplayOptions,
    scheduler: PoolScheduler,
    random: StdRng,
    events: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
    waiting: BTreeMap<u128, Arrived>,
    running: BTreeMap<u128, Running>,
    /// When each idle connection became idle, by entry daemon and target.
    idle: BTreeMap<(usize, usize), Vec<Duration>>,
    incarnations: Vec<u64>,
    starts: Vec<u64>,
    in_flight: Vec<u32>,
    result: ReplayResult,
}

/// Runs a replay.
pub fn replay(options: ReplayOptions) -> ReplayResult {
    let pool = pool(&options, &vec![1; options.targets]);
    let pool_options = pool_options(&options);
    let mut scheduler = PoolScheduler::new(POOL.to_string(), pool_options.clone());
    scheduler.configure(pool_options, &pool);
    let mut run = Replay {
        scheduler,
        random: StdRng::seed_from_u64(options.seed),
        events: BTreeMap::new(),
        scheduled: 0,
        waiting: BTreeMap::new(),
        running: BTreeMap::new(),
        idle: BTreeMap::new(),
        incarnations: vec![1; options.entries],
        starts: vec![1; options.targets],
        in_flight: vec![0; options.targets],
        result: ReplayResult {
            work: vec![Duration::ZERO; options.targets],
            peak: vec![0; options.targets],
            ..ReplayResult::default()
        },
        options,
    };
    run.run();
    run.result
}

fn permit(number: u128) -> PermitId {
    PermitId { request: RequestId::from_u128(number), attempt: 0 }
}

impl Replay {
    fn run(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrival);
        self.schedule(TICK, Event::Tick);
        if let Some(fault) = self.options.fault {
            self.schedule(LENGTH / 2, Event::Fault(fault));
        }
        while let Some(((now, _), event)) = self.events.pop_first() {
            let actions = match event {
                Event::Arrival => self.arrive(now),
                Event::End(number) => self.end(now, number),
                Event::Tick => self.tick(now),
                Event::Fault(fault) => self.fail(now, fault),
            };
            self.apply(now, actions);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    fn tick(&mut self, now: Duration) -> Vec<SchedulerAction> {
        if now < LENGTH || !self.running.is_empty() {
            self.schedule(now + TICK, Event::Tick);
        }
        self.scheduler.tick(now)
    }

    fn work(&self) -> Duration {
        match self.options.content {
            Content::Records => Duration::from_secs(1),
            Content::Streams => Duration::from_millis(2_200),
        }
    }

    fn objective(&self) -> Duration {
        match self.options.content {
            Content::Records => Duration::from_millis(2_500),
            Content::Streams => Duration::from_millis(800),
        }
    }

    fn arrive(&mut self, now: Duration) -> Vec<SchedulerAction> {
        let slots = (self.options.targets as u32 * self.options.slots) as f64;
        let per_s = self.options.load * slots / self.work().as_secs_f64();
        let gap = -(1.0 - self.random.random::<f64>()).ln() / per_s;
        let next = now + Duration::from_secs_f64(gap);
        if next < LENGTH {
            self.schedule(next, Event::Arrival);
        }
        self.result.requests += 1;
        let number = u128::from(self.result.requests);
        let entry = self.random.random_range(0..self.options.entries);
        self.waiting.insert(number, Arrived { entry, at: now });
        let request = self.request(number);
        self.scheduler.request_permit(now, self.daemon(entry), request)
    }

    fn request(&self, number: u128) -> PermitRequest {
        let (objective, prompt) = match self.options.content {
            Content::Records => (self.objective(), Duration::ZERO),
            Content::Streams => (self.objective(), Duration::from_millis(200)),
        };
        PermitRequest {
            permit: permit(number),
            pool: POOL.to_string(),
            tier: 0,
            account: "a".to_string(),
            time_left: Duration::from_secs(15),
            objectives: LatencyObjectives {
                wait_limit: objective,
                forecast_limit: objective * 6 / 10,
                first_part_by: objective,
                pause_limit: Duration::from_millis(400),
                ..LatencyObjectives::default()
            },
            prompt_work: prompt.as_micros() as u64,
            output_work: (self.work() - prompt).as_micros() as u64,
            prefix: None,
            cost: 1,
            avoid: Vec::new(),
            version: None,
        }
    }

    fn daemon(&self, entry: usize) -> DaemonId {
        DaemonId { vm: format!("e{entry:03}"), incarnation: self.incarnations[entry] }
    }

    fn apply(&mut self, now: Duration, actions: Vec<SchedulerAction>) {
        for action in actions {
            let number = action.answer.permit.request.as_u128();
            match action.answer.decision {
                PermitDecision::Granted(target) => self.send(now, number, &target),
                PermitDecision::Refused(_) => {
                    self.waiting.remove(&number);
                    self.result.refused += 1;
                }
                PermitDecision::Queued => {}
            }
        }
    }

    fn send(&mut self, now: Duration, number: u128, target: &str) {
        // The scheduler confirms permits that have been in use for long.
        let Some(arrived) = self.waiting.remove(&number) else { return };
        self.result.grants.push((number, target.to_string()));
        let target: usize = target[1..].parse().expect("the number of a target");
        let connecting = self.connect(now, arrived.entry, target);
        let slow = if target < self.options.slow_targets { 2 } else { 1 };
        let end = match self.options.content {
            Content::Records => {
                let took = self.vary(number, Duration::from_secs(1) * slow);
                AttemptEnd::Whole(connecting + took)
            }
            Content::Streams => AttemptEnd::Streamed(StreamTiming {
                first: connecting + self.vary(number, Duration::from_millis(200) * slow),
                rest: self.vary(number, Duration::from_millis(2_000) * slow),
                parts: 20,
                pause: self.vary(number, Duration::from_millis(100) * slow),
            }),
        };
        let (first, whole) = times(&end);
        if now + first <= arrived.at + self.objective() {
            self.result.in_time += 1;
        }
        self.result.time += now + whole - arrived.at;
        self.result.work[target] += whole;
        self.in_flight[target] += 1;
        self.result.peak[target] = self.result.peak[target].max(self.in_flight[target]);
        self.schedule(now + whole, Event::End(number));
        self.running.insert(number, Running { arrived, target, sent: now, end, lost: false });
    }

    /// Returns the time to connect: none on an idle connection.
    fn connect(&mut self, now: Duration, entry: usize, target: usize) -> Duration {
        let limit = self.options.idle_limit;
        let idle = self.idle.entry((entry, target)).or_default();
        idle.retain(|since| now - *since < limit);
        match idle.pop() {
            Some(_) => {
                self.result.reused += 1;
                Duration::ZERO
            }
            None => {
                self.result.opened += 1;
                CONNECTION_TIME
            }
        }
    }

    /// Varies a time by up to 30 %.
    fn vary(&self, number: u128, time: Duration) -> Duration {
        // The same for a request in each replay, wherever and whenever it runs.
        let mut random = StdRng::seed_from_u64(self.options.seed << 32 | number as u64);
        time.mul_f64(random.random_range(0.7..1.3))
    }

    fn end(&mut self, now: Duration, number: u128) -> Vec<SchedulerAction> {
        let Some(running) = self.running.remove(&number) else { return Vec::new() };
        if running.lost {
            return Vec::new();
        }
        self.in_flight[running.target] -= 1;
        self.idle.entry((running.arrived.entry, running.target)).or_default().push(now);
        self.return_permit(now, number, running.end)
    }

    fn return_permit(
        &mut self,
        now: Duration,
        number: u128,
        end: AttemptEnd,
    ) -> Vec<SchedulerAction> {
        let returned = PermitReturn { permit: permit(number), pool: POOL.to_string(), end };
        self.scheduler.return_permit(now, &returned)
    }
}

/// Returns the times to the first part and to the end of a complete answer.
fn times(end: &AttemptEnd) -> (Duration, Duration) {
    match end {
        AttemptEnd::Whole(took) => (*took, *took),
        AttemptEnd::Streamed(timing) => (timing.first, timing.first + timing.rest),
        _ => (Duration::ZERO, Duration::ZERO),
    }
}
