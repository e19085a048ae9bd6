//! The real scheduler behind the bench's border.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, PermitAsk, PermitDecision, PermitId, PermitReturn, RequestId,
    TargetEntry, TargetPool,
};
use curlewcleat_sched::{AccountLimit, PoolOptions, PoolScheduler, SchedulerAction};

use crate::fakes::TargetSpec;
use crate::run::{Placement, Policy};
use crate::trace::Job;

const POOL: &str = "pool";

/// Feeds requests to a [`PoolScheduler`].
pub struct OurScheduler {
    scheduler: PoolScheduler,
    attempts: BTreeMap<usize, (u32, Vec<String>)>,
    affinity: bool,
}

impl OurScheduler {
    /// Over these targets, with tiers 0 to `lowest` and accounts of equal weight.
    pub fn new(
        targets: &[TargetSpec],
        lowest: u8,
        accounts: usize,
        reserve_percent: u32,
    ) -> OurScheduler {
        let limits = (0..accounts).map(|account| (account.to_string(), AccountLimit::default()));
        let options = PoolOptions {
            age_per_work: 32,
            queue_limit: 2_000,
            reserve_percent,
            cached_prefixes: targets.first().map_or(0, |target| target.prefixes),
            top: 0,
            lowest,
            accounts: limits.collect(),
        };
        let mut scheduler = PoolScheduler::new(POOL.to_string(), options.clone());
        scheduler.configure(options, &pool(targets));
        OurScheduler { scheduler, attempts: BTreeMap::new(), affinity: true }
    }

    /// Without regard to prompt caches.
    pub fn without_affinity(mut self) -> OurScheduler {
        self.affinity = false;
        self
    }

    /// The scheduler.
    pub fn scheduler(&self) -> &PoolScheduler {
        &self.scheduler
    }

    fn permit(&self, job: usize) -> PermitId {
        let attempt = self.attempts.get(&job).map_or(0, |(attempt, _)| *attempt);
        PermitId { request: RequestId::from_u128(job as u128), attempt }
    }

    fn placements(actions: Vec<SchedulerAction>) -> Vec<Placement> {
        let placed = actions.into_iter().filter_map(|action| {
            let job = action.answer.permit.request.as_u128() as usize;
            match action.answer.decision {
                PermitDecision::Queued => None,
                PermitDecision::Granted(target) => {
                    Some(Placement::Send(job, target_number(&target)))
                }
                PermitDecision::Refused(refusal) => Some(Placement::Refuse(job, refusal.reason)),
            }
        });
        placed.collect()
    }
}

impl Policy for OurScheduler {
    fn name(&self) -> &'static str {
        if self.affinity {
            "curlewcleat"
        } else {
            "ours, no affinity"
        }
    }

    fn arrive(&mut self, now: Duration, job: &Job) -> Vec<Placement> {
        let avoid = self.attempts.get(&job.id).map(|(_, avoid)| avoid.clone()).unwrap_or_default();
        let ask = PermitAsk {
            permit: self.permit(job.id),
            pool: POOL.to_string(),
            tier: job.tier,
            account: job.account.to_string(),
            time_left: (job.at + job.deadline).saturating_sub(now),
            cost: 1,
            aims: curlewcleat_core::ServiceAims::default(),
            prompt_work: job.prompt,
            output_work: job.asked,
            prefix: job.prefix.filter(|_| self.affinity),
            avoid,
        };
        Self::placements(self.scheduler.ask(now, entry(job.entry), ask))
    }

    fn ended(
        &mut self,
        now: Duration,
        job: &Job,
        target: usize,
        took: Option<Duration>,
    ) -> Vec<Placement> {
        let end = match took {
            Some(took) => AttemptEnd::Whole(took),
            None if now >= job.at + job.deadline => AttemptEnd::Unused,
            None => AttemptEnd::Failed,
        };
        let back = PermitReturn { permit: self.permit(job.id), pool: POOL.to_string(), end };
        let actions = self.scheduler.give_back(now, &back);
        if end == AttemptEnd::Failed {
            let (attempt, avoid) = self.attempts.entry(job.id).or_default();
            *attempt += 1;
            avoid.push(target_name(target));
        }
        Self::placements(actions)
    }

    fn left(&mut self, now: Duration, job: &Job) -> Vec<Placement> {
        let end = AttemptEnd::Unused;
        let back = PermitReturn { permit: self.permit(job.id), pool: POOL.to_string(), end };
        Self::placements(self.scheduler.give_back(now, &back))
    }

    fn tick(&mut self, now: Duration) -> Vec<Placement> {
        Self::placements(self.scheduler.tick(now))
    }
}

fn entry(index: usize) -> DaemonId {
    DaemonId { vm: format!("entry-{index}"), incarnation: 1 }
}

fn target_name(index: usize) -> String {
    format!("t{index:05}")
}

fn target_number(name: &str) -> usize {
    name.trim_start_matches('t').parse().unwrap_or(0)
}

fn pool(targets: &[TargetSpec]) -> TargetPool {
    let entries = targets.iter().enumerate().map(|(index, target)| {
        let id = target_name(index);
        let entry = TargetEntry {
            id: id.clone(),
            vm: id.clone(),
            slots: target.slots,
            ..TargetEntry::default()
        };
        (id, entry)
    });
    TargetPool {
        id: POOL.to_string(),
        queue_limit: 2_000,
        cached_prefixes: 16,
        targets: entries.collect(),
        ..TargetPool::default()
    }
}
