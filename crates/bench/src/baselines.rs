//! Ways to place requests that ours is compared with.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::run::{Placement, Policy};
use crate::trace::Job;

/// Any target.
pub struct RandomChoice {
    targets: usize,
    random: StdRng,
}

impl RandomChoice {
    /// Over so many targets.
    pub fn new(targets: usize, seed: u64) -> RandomChoice {
        RandomChoice { targets, random: StdRng::seed_from_u64(seed) }
    }
}

impl Policy for RandomChoice {
    fn name(&self) -> &'static str {
        "random"
    }

    fn arrive(&mut self, _: Duration, job: &Job) -> Vec<Placement> {
        vec![Placement::Send(job.id, self.random.random_range(0..self.targets))]
    }

    fn ended(&mut self, _: Duration, _: &Job, _: usize, _: Option<Duration>) -> Vec<Placement> {
        Vec::new()
    }
}

/// The target with the fewest requests of the entry itself.
pub struct LeastInFlight {
    in_flight: Vec<Vec<usize>>,
    random: StdRng,
}

impl LeastInFlight {
    /// For entries that do not know of each other.
    pub fn new(entries: usize, targets: usize, seed: u64) -> LeastInFlight {
        LeastInFlight {
            in_flight: vec![vec![0; targets]; entries],
            random: StdRng::seed_from_u64(seed),
        }
    }
}

impl Policy for LeastInFlight {
    fn name(&self) -> &'static str {
        "least in flight"
    }

    fn arrive(&mut self, _: Duration, job: &Job) -> Vec<Placement> {
        let own = &mut self.in_flight[job.entry];
        let least = own.iter().min().copied().unwrap_or(0);
        let tied: Vec<usize> = (0..own.len()).filter(|target| own[*target] == least).collect();
        let target = tied[self.random.random_range(0..tied.len())];
        own[target] += 1;
        vec![Placement::Send(job.id, target)]
    }

    fn ended(
        &mut self,
        _: Duration,
        job: &Job,
        target: usize,
        _: Option<Duration>,
    ) -> Vec<Placement> {
        let own = &mut self.in_flight[job.entry][target];
        *own = own.saturating_sub(1);
        Vec::new()
    }
}

/// The less loaded of two targets by late reports.
pub struct TwoChoices {
    loads: Vec<usize>,
    random: StdRng,
}

impl TwoChoices {
    /// Over so many targets.
    pub fn new(targets: usize, seed: u64) -> TwoChoices {
        TwoChoices { loads: vec![0; targets], random: StdRng::seed_from_u64(seed) }
    }
}

impl Policy for TwoChoices {
    fn name(&self) -> &'static str {
        "two choices, late"
    }

    fn arrive(&mut self, _: Duration, job: &Job) -> Vec<Placement> {
        let one = self.random.random_range(0..self.loads.len());
        let two = self.random.random_range(0..self.loads.len());
        let target = if self.loads[two] < self.loads[one] { two } else { one };
        vec![Placement::Send(job.id, target)]
    }

    fn ended(&mut self, _: Duration, _: &Job, _: usize, _: Option<Duration>) -> Vec<Placement> {
        Vec::new()
    }

    fn report(&mut self, loads: &[usize]) {
        self.loads = loads.to_vec();
    }
}

/// One queue before all targets, first come first served, without tiers.
pub struct FirstCome {
    slots: Vec<u32>,
    in_flight: Vec<u32>,
    queue: VecDeque<usize>,
}

impl FirstCome {
    /// Over targets with these slots.
    pub fn new(slots: Vec<u32>) -> FirstCome {
        FirstCome { in_flight: vec![0; slots.len()], slots, queue: VecDeque::new() }
    }

    fn grant(&mut self) -> Vec<Placement> {
        let mut placements = Vec::new();
        while let Some(job) = self.queue.front().copied() {
            let room = |target: &usize| self.in_flight[*target] < self.slots[*target];
            let open = (0..self.slots.len()).filter(room);
            let Some(target) = open.min_by_key(|target| self.in_flight[*target]) else { break };
            self.queue.pop_front();
            self.in_flight[target] += 1;
            placements.push(Placement::Send(job, target));
        }
        placements
    }
}

impl Policy for FirstCome {
    fn name(&self) -> &'static str {
        "one queue, no tiers"
    }

    fn arrive(&mut self, _: Duration, job: &Job) -> Vec<Placement> {
        self.queue.push_back(job.id);
        self.grant()
    }

    fn ended(
        &mut self,
        _: Duration,
        _: &Job,
        target: usize,
        _: Option<Duration>,
    ) -> Vec<Placement> {
        self.in_flight[target] = self.in_flight[target].saturating_sub(1);
        self.grant()
    }

    fn left(&mut self, _: Duration, job: &Job) -> Vec<Placement> {
        self.queue.retain(|waiting| *waiting != job.id);
        Vec::new()
    }
}
