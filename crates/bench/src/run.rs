//! Feeds a trace to a policy and counts what comes of it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use curlewcleat_core::RefusalReason;
use hdrhistogram::Histogram;

use crate::fakes::{FakeTarget, TargetSpec};
use crate::trace::Job;

/// Time between looks of a policy at the clock.
const TICK: Duration = Duration::from_millis(20);
/// Targets tried for one request.
const TRY_LIMIT: u8 = 2;
/// Longest time in milliseconds that a histogram holds.
const LONGEST_MS: u64 = 3_600_000;

/// What a policy does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Sends it to a target.
    Send(usize, usize),
    /// Refuses it.
    Refuse(usize, RefusalReason),
}

/// Decides where requests go.
pub trait Policy {
    /// Name for the tables.
    fn name(&self) -> &'static str;

    /// A request arrives.
    fn arrive(&mut self, now: Duration, job: &Job) -> Vec<Placement>;

    /// A request ended at a target: whole after a time, or failed.
    fn ended(
        &mut self,
        now: Duration,
        job: &Job,
        target: usize,
        took: Option<Duration>,
    ) -> Vec<Placement>;

    /// A caller left before its request was sent.
    fn left(&mut self, _now: Duration, _job: &Job) -> Vec<Placement> {
        Vec::new()
    }

    /// Time passes.
    fn tick(&mut self, _now: Duration) -> Vec<Placement> {
        Vec::new()
    }

    /// Requests that run or wait at each target, as reported late.
    fn report(&mut self, _loads: &[usize]) {}
}

/// What came of a tier.
#[derive(Debug)]
pub struct TierCounts {
    /// Requests offered.
    pub offered: u64,
    /// Whole and in time.
    pub goodput: u64,
    /// Waits before a target took them, in milliseconds.
    pub wait_ms: Histogram<u64>,
    /// Times to the first token, in milliseconds.
    pub first_ms: Histogram<u64>,
}

/// What came of a run.
#[derive(Debug)]
pub struct RunReport {
    /// By rank.
    pub tiers: BTreeMap<u8, TierCounts>,
    /// Prompt work computed for requests that did not end whole and in time.
    pub wasted_prefill: u64,
    /// Prompt work computed in all.
    pub total_prefill: u64,
    /// Refusals by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Share of goodput by account.
    pub accounts: BTreeMap<usize, (u64, u64)>,
    /// Time of each decision in nanoseconds.
    pub decision_ns: Histogram<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ended { job: usize, target: usize },
    Deadline { job: usize },
    Arrive { job: usize },
    Tick,
    Report,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobState {
    Waiting,
    At(usize),
    Done,
}

struct BenchRun<'a> {
    jobs: &'a [Job],
    targets: Vec<FakeTarget>,
    states: Vec<JobState>,
    tries: Vec<u8>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    report: RunReport,
}

/// Runs a trace. Load reports are `report_lag` old when a policy gets them.
pub fn run(
    jobs: &[Job],
    targets: &[TargetSpec],
    policy: &mut dyn Policy,
    report_lag: Duration,
) -> RunReport {
    let mut bench = BenchRun {
        jobs,
        targets: targets.iter().cloned().map(FakeTarget::new).collect(),
        states: vec![JobState::Waiting; jobs.len()],
        tries: vec![0; jobs.len()],
        events: BinaryHeap::new(),
        report: RunReport::empty(),
    };
    let mut pending =
        jobs.iter().map(|job| Reverse((job.at, Event::Arrive { job: job.id }))).collect();
    bench.events.append(&mut pending);
    bench.events.push(Reverse((TICK, Event::Tick)));
    bench.events.push(Reverse((report_lag, Event::Report)));
    let mut late_loads = vec![0; targets.len()];
    let mut open = jobs.len();
    while let Some(Reverse((now, event))) = bench.events.pop() {
        let begun = Instant::now();
        let placements = match event {
            Event::Arrive { job } => {
                bench.events.push(Reverse((now + jobs[job].deadline, Event::Deadline { job })));
                bench.report.offer(&jobs[job]);
                policy.arrive(now, &jobs[job])
            }
            Event::Ended { job, target } => bench.ended(now, job, target, policy),
            Event::Deadline { job } => bench.deadline(now, job, policy),
            Event::Tick => {
                if open > 0 {
                    bench.events.push(Reverse((now + TICK, Event::Tick)));
                }
                policy.tick(now)
            }
            Event::Report => {
                if open > 0 {
                    bench.events.push(Reverse((now + report_lag, Event::Report)));
                }
                policy.report(&late_loads);
                late_loads = bench.targets.iter().map(FakeTarget::load).collect();
                Vec::new()
            }
        };
        if matches!(event, Event::Arrive { .. }) {
            // Saturating, so that one pause of the machine cannot stop the run.
            bench.report.decision_ns.saturating_record(begun.elapsed().as_nanos() as u64);
        }
        bench.place(now, placements, policy);
        // Counting is dear, so it is done once a second of the trace.
        if event == Event::Report {
            open = bench.states.iter().filter(|state| **state != JobState::Done).count();
        }
        if open == 0 {
            break;
        }
    }
    bench.report
}

impl BenchRun<'_> {
    fn place(&mut self, now: Duration, placements: Vec<Placement>, policy: &mut dyn Policy) {
        let mut placements: std::collections::VecDeque<Placement> = placements.into();
        while let Some(placement) = placements.pop_front() {
            match placement {
                Placement::Refuse(job, reason) => {
                    if self.states[job] == JobState::Waiting {
                        self.states[job] = JobState::Done;
                        *self.report.refusals.entry(reason.code()).or_default() += 1;
                    }
                }
                Placement::Send(job, target) => {
                    if self.states[job] != JobState::Waiting {
                        continue;
                    }
                    if !self.targets[target].lives(now) && self.tries[job] >= TRY_LIMIT {
                        self.states[job] = JobState::Done;
                        *self.report.refusals.entry("connect_failed").or_default() += 1;
                        placements.extend(policy.ended(now, &self.jobs[job], target, None));
                        continue;
                    }
                    if !self.targets[target].lives(now) {
                        self.tries[job] += 1;
                        // The connection is refused; the policy may try another.
                        placements.extend(policy.ended(now, &self.jobs[job], target, None));
                        placements.extend(policy.arrive(now, &self.jobs[job]));
                        continue;
                    }
                    self.states[job] = JobState::At(target);
                    self.targets[target].accept(now, &self.jobs[job]);
                    self.note_start(now, job, target);
                }
            }
        }
    }

    /// Schedules the end of a request that has started.
    fn note_start(&mut self, now: Duration, job: usize, target: usize) {
        let Some(running) = self.targets[target].running.get(&job) else { return };
        self.events.push(Reverse((running.end, Event::Ended { job, target })));
        let arrived = self.jobs[job].at;
        if let Some(tier) = self.report.tiers.get_mut(&self.jobs[job].tier) {
            tier.wait_ms.saturating_record((now - arrived).as_millis() as u64);
            tier.first_ms.saturating_record((running.prefill_end - arrived).as_millis() as u64);
        }
    }

    fn ended(
        &mut self,
        now: Duration,
        job: usize,
        target: usize,
        policy: &mut dyn Policy,
    ) -> Vec<Placement> {
        let Some(running) = self.targets[target].running.get(&job) else { return Vec::new() };
        if running.end > now {
            return Vec::new();
        }
        if !self.targets[target].lives(now) {
            return self.fail(now, job, target, policy);
        }
        let took = now - running.begun;
        let prefill = running.prefill;
        self.targets[target].running.remove(&job);
        self.states[job] = JobState::Done;
        self.report.total_prefill += prefill;
        self.report.complete(&self.jobs[job]);
        self.next_inside(now, target);
        policy.ended(now, &self.jobs[job], target, Some(took))
    }

    /// The caller leaves: a request that runs is cancelled and its prompt work is wasted.
    fn deadline(&mut self, now: Duration, job: usize, policy: &mut dyn Policy) -> Vec<Placement> {
        match self.states[job] {
            JobState::Done => Vec::new(),
            JobState::Waiting => {
                self.states[job] = JobState::Done;
                policy.left(now, &self.jobs[job])
            }
            JobState::At(target) => self.fail(now, job, target, policy),
        }
    }

    fn fail(
        &mut self,
        now: Duration,
        job: usize,
        target: usize,
        policy: &mut dyn Policy,
    ) -> Vec<Placement> {
        self.states[job] = JobState::Done;
        self.targets[target].waiting.retain(|waiting| *waiting != job);
        if let Some(running) = self.targets[target].running.remove(&job) {
            let prefill = running.prefill_done(now);
            self.report.wasted_prefill += prefill;
            self.report.total_prefill += prefill;
        }
        self.next_inside(now, target);
        policy.ended(now, &self.jobs[job], target, None)
    }

    fn next_inside(&mut self, now: Duration, target: usize) {
        while self.targets[target].running.len() < self.targets[target].spec.slots as usize {
            let Some(next) = self.targets[target].waiting.pop_front() else { return };
            self.targets[target].start(now, &self.jobs[next]);
            self.note_start(now, next, target);
        }
    }
}

impl RunReport {
    fn empty() -> RunReport {
        RunReport {
            tiers: BTreeMap::new(),
            wasted_prefill: 0,
            total_prefill: 0,
            refusals: BTreeMap::new(),
            accounts: BTreeMap::new(),
            decision_ns: histogram(1_000_000_000),
        }
    }

    fn offer(&mut self, job: &Job) {
        let tier = self.tiers.entry(job.tier).or_insert_with(|| TierCounts {
            offered: 0,
            goodput: 0,
            wait_ms: histogram(LONGEST_MS),
            first_ms: histogram(LONGEST_MS),
        });
        tier.offered += 1;
        self.accounts.entry(job.account).or_default().0 += 1;
    }

    fn complete(&mut self, job: &Job) {
        if let Some(tier) = self.tiers.get_mut(&job.tier) {
            tier.goodput += 1;
        }
        self.accounts.entry(job.account).or_default().1 += 1;
    }

    /// Goodput of a tier as a share of what was offered.
    pub fn share(&self, tier: u8) -> f64 {
        self.tiers
            .get(&tier)
            .map_or(0.0, |counts| counts.goodput as f64 / counts.offered.max(1) as f64)
    }

    /// Goodput of all tiers as a share of what was offered.
    pub fn total_share(&self) -> f64 {
        let goodput: u64 = self.tiers.values().map(|tier| tier.goodput).sum();
        let offered: u64 = self.tiers.values().map(|tier| tier.offered).sum();
        goodput as f64 / offered.max(1) as f64
    }

    /// Goodput share of the worst and the best account.
    pub fn account_range(&self) -> (f64, f64) {
        let shares =
            self.accounts.values().map(|(offered, good)| *good as f64 / (*offered).max(1) as f64);
        shares.fold((1.0, 0.0), |(least, most): (f64, f64), share| {
            (least.min(share), most.max(share))
        })
    }
}

fn histogram(most: u64) -> Histogram<u64> {
    Histogram::new_with_bounds(1, most, 3)
        .unwrap_or_else(|error| panic!("bench: histogram: {error}"))
}
