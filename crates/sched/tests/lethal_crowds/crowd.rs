//! The simulated engines, callers and faults.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use curlewcleat_core::{
    InterruptionKind, PoolHash, RequestFeature, RequestIdentity, RequestInterruption, SharedParts,
    TargetInstance, TargetStart,
};
use curlewcleat_sched::{InstancePresence, LethalOptions, LethalRequests, LethalVerdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::load::{CrowdCount, CrowdFaults};

const ENGINES: usize = 18;
const SLOTS_PER_ENGINE: usize = 7;
/// Time until the first part of a stream.
const FIRST_PART: Duration = Duration::from_millis(250);
const STEP: Duration = Duration::from_millis(20);
const DURATION: Duration = Duration::from_secs(120);
const RESTART_DELAY: Duration = Duration::from_millis(3_500);
/// New requests per step.
const ARRIVALS: f64 = 2.2;
/// Attempts at one request in all, by the system and its caller.
const ATTEMPT_LIMIT: u32 = 8;
/// Copies of a lethal request that its callers keep in progress.
pub const COPIES: usize = 3;

const POOL: &str = "p";
const ACCOUNTS: u64 = 5;
/// Numbers of different parts of the prompts: few that begin them, more that follow.
const SYSTEM_PARTS: u64 = 2;
const SUBJECT_PARTS: u64 = 30;
const LETHAL_PART: &str = "lethal";
/// Time from the first part of an answer after which it refutes interruptions of requests with the same parts.
const ESTABLISHED: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct CrowdRequest {
    features: Vec<RequestFeature>,
    lethal: bool,
    has_lethal_part: bool,
    attempts: u32,
    work: Duration,
    /// Time until the first part of its answer.
    first: Duration,
    /// Whether its answer has begun and gone on.
    established: bool,
}

#[derive(Clone, Default)]
struct CrowdEngine {
    instance: u64,
    terminated_at: Option<Duration>,
    running: Vec<(Duration, CrowdRequest)>,
}

/// A simulated load.
pub struct Crowd {
    random: StdRng,
    faults: CrowdFaults,
    now: Duration,
    lethal: LethalRequests,
    engines: Vec<CrowdEngine>,
    waiting: VecDeque<CrowdRequest>,
    /// Copies in progress of each lethal request.
    copies: BTreeMap<RequestFeature, usize>,
    next: u64,
    count: CrowdCount,
}

fn digest(number: u64) -> RequestFeature {
    let body = number.to_be_bytes();
    RequestIdentity { method: "POST", host: "h", path: "/p", caller: "a", body: &body }
        .digest()
        .into()
}

fn instance_of(index: usize, engine: &CrowdEngine) -> TargetInstance {
    TargetInstance { id: format!("i-{index}"), start: Some(TargetStart(engine.instance)) }
}

impl Crowd {
    pub fn new(seed: u64, faults: CrowdFaults) -> Crowd {
        let copies = (0..faults.lethal_requests).map(|index| (digest(u64::MAX - index as u64), 0));
        Crowd {
            random: StdRng::seed_from_u64(seed),
            faults,
            now: Duration::from_secs(10),
            lethal: LethalRequests::new(LethalOptions::default()),
            engines: vec![CrowdEngine::default(); ENGINES],
            waiting: VecDeque::new(),
            copies: copies.collect(),
            next: 0,
            count: CrowdCount::default(),
        }
    }

    pub fn run(mut self) -> CrowdCount {
        let until = self.now + DURATION;
        while self.now < until {
            self.now += STEP;
            self.arrive();
            self.send();
            self.serve();
            if self.random.random_bool(self.faults.terminations_per_s * STEP.as_secs_f64()) {
                let index = self.random.random_range(0..ENGINES);
                if self.engines[index].terminated_at.is_none() {
                    self.count.other_terminations += 1;
                    self.terminate(index);
                }
            }
            if self.random.random_bool(self.faults.resets_per_s * STEP.as_secs_f64()) {
                self.reset_connections();
            }
            self.restart_engines();
            self.review();
        }
        self.count
    }

    fn arrive(&mut self) {
        let more = self.random.random_bool(ARRIVALS.fract());
        for _ in 0..ARRIVALS as usize + usize::from(more) {
            self.next += 1;
            self.count.requests += 1;
            // Two of three requests are streams.
            let streams = self.random.random_bool(0.66);
            let work = if streams { 400..2_600 } else { 20..120 };
            let work = Duration::from_millis(self.random.random_range(work));
            let first = if streams { work.min(FIRST_PART) } else { work };
            let has_lethal_part = self.random.random_bool(self.faults.lethal_part_share);
            let work = if has_lethal_part { self.faults.lethal_work } else { work };
            let features = self.features(has_lethal_part);
            self.waiting.push_back(CrowdRequest {
                features,
                lethal: has_lethal_part,
                has_lethal_part,
                attempts: 0,
                work,
                first,
                established: false,
            });
        }
        for (digest, copies) in &mut self.copies {
            // Callers whose refusal states that a retry does not help still retry, less often.
            while *copies < COPIES && self.random.random_bool(0.2) {
                *copies += 1;
                let (work, first) = (self.faults.lethal_work, FIRST_PART);
                self.waiting.push_back(CrowdRequest {
                    features: vec![*digest],
                    lethal: true,
                    has_lethal_part: false,
                    attempts: 0,
                    work,
                    first,
                    established: false,
                });
            }
        }
    }

    /// Returns the features of a new request: the whole, and the shared parts of its prompt.
    fn features(&mut self, has_lethal_part: bool) -> Vec<RequestFeature> {
        let account = format!("account-{}", self.random.random_range(0..ACCOUNTS));
        let system = format!("system-{}", self.random.random_range(0..SYSTEM_PARTS));
        let subject = format!("subject-{}", self.random.random_range(0..SUBJECT_PARTS));
        let mut ids = vec![system.as_str(), subject.as_str()];
        if has_lethal_part {
            ids.insert(self.random.random_range(0..=ids.len()), LETHAL_PART);
        }
        let parts = SharedParts { pool: POOL, account: Some(&account), ids: &ids };
        [digest(self.next)].into_iter().chain(parts.features()).collect()
    }

    fn send(&mut self) {
        for _ in 0..self.waiting.len() {
            let Some(mut request) = self.waiting.pop_front() else { return };
            match self.lethal.verdict(self.now, &request.features) {
                LethalVerdict::Clear => {}
                verdict => {
                    self.refuse(&request, verdict);
                    continue;
                }
            }
            let free: Vec<usize> = (0..ENGINES)
                .filter(|index| {
                    let engine = &self.engines[*index];
                    engine.terminated_at.is_none() && engine.running.len() < SLOTS_PER_ENGINE
                })
                .collect();
            if free.is_empty() {
                self.waiting.push_front(request);
                return;
            }
            let index = free[self.random.random_range(0..free.len())];
            request.attempts += 1;
            self.engines[index].running.push((self.now + request.work, request));
        }
    }

    fn refuse(&mut self, request: &CrowdRequest, verdict: LethalVerdict) {
        if let Some(copies) = self.copies.get_mut(&request.features[0]) {
            *copies -= 1;
            return;
        }
        if request.has_lethal_part {
            return;
        }
        match verdict {
            LethalVerdict::Refused => self.count.refused += 1,
            _ => self.count.held += 1,
        }
    }

    fn serve(&mut self) {
        for index in 0..ENGINES {
            let now = self.now;
            let running = std::mem::take(&mut self.engines[index].running);
            let (done, running): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(until, _)| *until <= now);
            let lethal = done.iter().any(|(_, request)| request.lethal);
            self.engines[index].running = running;
            if lethal {
                // All requests there are interrupted, including those that were just done.
                self.engines[index].running.extend(done);
                self.count.terminations += 1;
                self.terminate(index);
                continue;
            }
            for (_, request) in done {
                self.lethal.record_served(now, &request.features[0]);
                self.record_begun(&request);
            }
            self.record_established(index);
        }
    }

    /// Records the answers of an engine that have begun and gone on.
    fn record_established(&mut self, index: usize) {
        let now = self.now;
        let mut running = std::mem::take(&mut self.engines[index].running);
        for (until, request) in &mut running {
            let begun = *until + request.first <= now + request.work;
            if begun
                && !request.established
                && now + request.work >= *until + request.first + ESTABLISHED
            {
                request.established = true;
                self.record_begun(request);
            }
        }
        self.engines[index].running = running;
    }

    fn record_begun(&mut self, request: &CrowdRequest) {
        self.lethal.record_begun(self.now, PoolHash::of(POOL), &request.features);
    }

    /// Closes a tenth of all connections; the engines keep running.
    fn reset_connections(&mut self) {
        for index in 0..ENGINES {
            let running = std::mem::take(&mut self.engines[index].running);
            let (reset, running) = running.into_iter().partition(|_| self.random.random_bool(0.1));
            self.engines[index].running = running;
            self.interrupt(index, reset);
        }
    }

    fn terminate(&mut self, index: usize) {
        self.engines[index].terminated_at = Some(self.now);
        let running = std::mem::take(&mut self.engines[index].running);
        self.interrupt(index, running);
    }

    /// Reports interrupted requests, which their callers repeat at once.
    fn interrupt(&mut self, index: usize, interrupted: Vec<(Duration, CrowdRequest)>) {
        let instance = instance_of(index, &self.engines[index]);
        for (until, mut request) in interrupted {
            let begun = self.now + request.work >= until + request.first;
            let interruption = RequestInterruption {
                instance: instance.clone(),
                kind: InterruptionKind::Closed,
                begun,
            };
            let features = match request.established {
                true => &request.features[..1],
                false => &request.features,
            };
            self.lethal.record_interruptions(self.now, features, &interruption);
            request.established = false;
            let repeats = request.lethal && !request.has_lethal_part;
            if request.attempts < ATTEMPT_LIMIT || repeats {
                self.waiting.push_back(request);
            }
        }
    }

    fn restart_engines(&mut self) {
        for engine in &mut self.engines {
            if engine
                .terminated_at
                .is_some_and(|terminated_at| self.now >= terminated_at + RESTART_DELAY)
            {
                engine.terminated_at = None;
                engine.instance += 1;
            }
        }
    }

    fn review(&mut self) {
        let present: Vec<TargetInstance> = self
            .engines
            .iter()
            .enumerate()
            .map(|(index, engine)| instance_of(index, engine))
            .collect();
        let presence = |instance: &TargetInstance| match present.contains(instance) {
            true => InstancePresence::Listed,
            false => InstancePresence::Unlisted,
        };
        self.lethal.review(self.now, ENGINES, &presence);
    }
}
