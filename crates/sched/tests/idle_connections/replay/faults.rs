//! What fails halfway through a replay.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{AttemptEnd, PermitHeld};
use curlewcleat_sched::{PoolScheduler, SchedulerAction};

use super::conditions::{pool, pool_options, target_id};
use super::{Fault, Replay, POOL};

impl Replay {
    pub(super) fn fail(&mut self, now: Duration, fault: Fault) -> Vec<SchedulerAction> {
        match fault {
            Fault::EntryDaemonsDie => self.restart_entries(now),
            Fault::TargetsRestart => self.restart_targets(now),
            Fault::SchedulerChanges => self.change_scheduler(now),
        }
    }

    fn restart_entries(&mut self, now: Duration) -> Vec<SchedulerAction> {
        let ended: BTreeSet<usize> = (0..self.options.entries).step_by(3).collect();
        self.idle.retain(|(entry, _), _| !ended.contains(entry));
        self.waiting.retain(|_, arrived| !ended.contains(&arrived.entry));
        for running in self.running.values_mut() {
            if ended.contains(&running.arrived.entry) {
                running.lost = true;
                self.in_flight[running.target] -= 1;
            }
        }
        let mut actions = Vec::new();
        for entry in ended {
            let daemon = self.daemon(entry);
            actions.extend(self.scheduler.remove_entry_daemon(now, &daemon));
            self.incarnations[entry] += 1;
        }
        actions
    }

    fn restart_targets(&mut self, now: Duration) -> Vec<SchedulerAction> {
        let ended: BTreeSet<usize> = (0..self.options.targets).step_by(3).collect();
        self.idle.retain(|(_, target), _| !ended.contains(target));
        ended.iter().for_each(|target| self.starts[*target] += 1);
        let failed = self.running.iter_mut().filter(|(_, running)| ended.contains(&running.target));
        let failed: Vec<u128> = failed
            .map(|(number, running)| {
                running.lost = true;
                self.in_flight[running.target] -= 1;
                *number
            })
            .collect();
        let pool = pool(&self.options, &self.starts);
        self.scheduler.configure(pool_options(&self.options), &pool);
        let ends = failed.into_iter();
        ends.flat_map(|number| self.return_permit(now, number, AttemptEnd::Failed)).collect()
    }

    fn change_scheduler(&mut self, now: Duration) -> Vec<SchedulerAction> {
        let options = pool_options(&self.options);
        let mut scheduler = PoolScheduler::new(POOL.to_string(), options.clone());
        scheduler.configure(options, &pool(&self.options, &self.starts));
        for (number, running) in self.running.iter().filter(|(_, running)| !running.lost) {
            assert!(running.sent <= now);
            let held =
                PermitHeld { request: self.request(*number), target: target_id(running.target) };
            scheduler.record_held_permit(now, self.daemon(running.arrived.entry), held);
        }
        self.scheduler = scheduler;
        let waiting: Vec<(u128, usize)> =
            self.waiting.iter().map(|(number, arrived)| (*number, arrived.entry)).collect();
        let mut actions = Vec::new();
        for (number, entry) in waiting {
            let (daemon, request) = (self.daemon(entry), self.request(number));
            actions.extend(self.scheduler.request_permit(now, daemon, request));
        }
        actions
    }
}
