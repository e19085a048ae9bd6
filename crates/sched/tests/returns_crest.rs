//! Refused callers find room when they return as advised after a crest, and take none from requests that are in time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, LatencyObjectives, PermitDecision, PermitId, PermitRequest, PermitReturn,
    RequestId, StreamTiming, TargetEntry, TargetPool, Uptime,
};
use curlewcleat_sched::{PoolOptions, PoolScheduler, SchedulerAction};

const POOL: &str = "p";
const SLOTS: u32 = 40;
const ACCOUNTS: usize = 4;
/// Time to the first part, and from there to the end; a slot serves one request in a second.
const FIRST: Duration = Duration::from_millis(50);
const REST: Duration = Duration::from_millis(950);
const OBJECTIVE: Duration = Duration::from_millis(400);
const CALLER_TIME: Duration = Duration::from_secs(15);
/// Callers return after no more than this part of the time that they have left.
const RETURN_DIVISOR: u32 = 3;
const STEP: Duration = Duration::from_millis(5);
const NOW: Uptime = Duration::from_secs(100);

/// A caller's request, which is retried once after a refusal.
#[derive(Clone, Copy)]
struct CrestCaller {
    account: usize,
    first_attempt: Uptime,
    is_retry: bool,
    /// Whether it repeats at once instead of waiting as it is told.
    is_hasty: bool,
}

/// Outcomes of the requests of a load.
#[derive(Debug, Default)]
struct CrestCount {
    in_time: u32,
    served: u32,
    refused_again: u32,
    hasty_served: u32,
}

/// A scheduler, callers, and a target that serves what is granted.
struct CrestRun {
    scheduler: PoolScheduler,
    books: bool,
    now: Uptime,
    callers: BTreeMap<u128, CrestCaller>,
    retries: BTreeMap<(Uptime, u128), CrestCaller>,
    ends: BTreeSet<(Uptime, u128)>,
    answered: BTreeSet<u128>,
    count: CrestCount,
}

fn scheduler(books: bool) -> PoolScheduler {
    let options = PoolOptions { age_per_work: 1, books_returns: books, ..PoolOptions::default() };
    let mut scheduler = PoolScheduler::new(POOL.to_string(), options.clone());
    let entry =
        TargetEntry { id: "t".into(), vm: "t".into(), slots: SLOTS, ..TargetEntry::default() };
    let targets = BTreeMap::from([("t".to_string(), entry)]);
    let pool = TargetPool { id: POOL.to_string(), targets, ..TargetPool::default() };
    scheduler.configure(options, &pool);
    scheduler
}

fn permit(number: u128) -> PermitId {
    PermitId { request: RequestId::from_u128(number), attempt: 0 }
}

impl CrestRun {
    fn new(books: bool) -> CrestRun {
        CrestRun {
            scheduler: scheduler(books),
            books,
            now: NOW,
            callers: BTreeMap::new(),
            retries: BTreeMap::new(),
            ends: BTreeSet::new(),
            answered: BTreeSet::new(),
            count: CrestCount::default(),
        }
    }

    fn send(&mut self, caller: CrestCaller) {
        // Ids that are spread like random ones, since they spread the retries.
        let number = (self.callers.len() as u128 + 1) * 7_919;
        self.callers.insert(number, caller);
        let passed = self.now - caller.first_attempt;
        // A caller that repeats at once has spent too little time to be taken for a retry.
        let is_retry = caller.is_retry && passed > CALLER_TIME / 20;
        let objectives = LatencyObjectives {
            wait_limit: OBJECTIVE,
            forecast_limit: if is_retry { OBJECTIVE } else { OBJECTIVE * 60 / 100 },
            first_part_by: if is_retry { OBJECTIVE.saturating_sub(passed) } else { OBJECTIVE },
            pause_limit: Duration::from_secs(1),
            length_guessed: true,
            is_retry,
            ..LatencyObjectives::default()
        };
        let request = PermitRequest {
            permit: permit(number),
            pool: POOL.to_string(),
            tier: 0,
            account: format!("a{}", caller.account),
            time_left: CALLER_TIME - passed,
            objectives,
            prompt_work: 50_000,
            output_work: 950_000,
            prefix: None,
            cost: 1,
            avoid: Vec::new(),
            version: None,
        };
        let entry = DaemonId { vm: "e".to_string(), incarnation: 1 };
        let actions = self.scheduler.request_permit(self.now, entry, request);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<SchedulerAction>) {
        for action in actions {
            let number = action.answer.permit.request.as_u128();
            let caller = self.callers[&number];
            match action.answer.decision {
                PermitDecision::Granted(_) => {
                    let waited = self.now + FIRST - caller.first_attempt;
                    self.count.in_time += u32::from(waited <= OBJECTIVE);
                    self.count.served += 1;
                    self.count.hasty_served += u32::from(caller.is_hasty);
                    self.ends.insert((self.now + FIRST + REST, number));
                    self.answered.insert(number);
                }
                PermitDecision::Refused(refusal) => {
                    self.answered.insert(number);
                    if caller.is_retry {
                        self.count.refused_again += 1;
                        continue;
                    }
                    let time_left = CALLER_TIME - (self.now - caller.first_attempt);
                    let told = refusal.retry_after.expect("a retry advice");
                    let wait = if caller.is_hasty { STEP } else { told };
                    let retry_at = self.now + wait.min(time_left / RETURN_DIVISOR);
                    let caller = CrestCaller { is_retry: true, ..caller };
                    self.retries.insert((retry_at, number), caller);
                }
                PermitDecision::Queued => {}
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some((due, number)) = self.ends.first().copied().filter(|end| end.0 <= self.now) {
            self.ends.remove(&(due, number));
            let timing = StreamTiming {
                first: FIRST,
                rest: REST,
                parts: 40,
                pause: Duration::from_millis(20),
            };
            let end = AttemptEnd::Streamed(timing);
            let returned = PermitReturn { permit: permit(number), pool: POOL.to_string(), end };
            let actions = self.scheduler.return_permit(self.now, &returned);
            self.apply(actions);
        }
        while let Some(first) = self.retries.first_entry().filter(|first| first.key().0 <= self.now)
        {
            let caller = first.remove();
            self.send(caller);
        }
        let actions = self.scheduler.tick(self.now);
        self.apply(actions);
    }

    /// Replaces the scheduler by another one that knows nothing. Entry daemons ask it again for what waits.
    fn change_scheduler(&mut self) {
        self.scheduler = scheduler(self.books);
        let unanswered: Vec<u128> =
            self.callers.keys().filter(|number| !self.answered.contains(number)).copied().collect();
        for number in unanswered {
            self.answered.insert(number);
            let caller = self.callers[&number];
            self.send(caller);
        }
    }

    /// Sends callers at the rates per second of each phase, of which every `hasty_every`th repeats at once, and runs
    /// until all have their answer. With `changes`, the scheduler changes when the first phase ends.
    fn run(mut self, phases: &[(u32, u64)], hasty_every: usize, changes: bool) -> CrestCount {
        let mut sent = 0;
        for (phase, (per_second, seconds)) in phases.iter().enumerate() {
            let end = self.now + Duration::from_secs(*seconds);
            let mut next = self.now;
            while self.now < end {
                while next <= self.now {
                    sent += 1;
                    let is_hasty = hasty_every > 0 && sent % hasty_every == 0;
                    let first_attempt = self.now;
                    let account = sent % ACCOUNTS;
                    self.send(CrestCaller { account, first_attempt, is_retry: false, is_hasty });
                    next += Duration::from_secs(1) / *per_second;
                }
                self.step();
            }
            if changes && phase == 0 {
                self.change_scheduler();
            }
        }
        let end = self.now + CALLER_TIME;
        while self.now < end {
            self.step();
        }
        assert_eq!(self.answered.len(), self.callers.len(), "every request has an answer");
        self.count
    }
}

/// A crest of nearly twice what the target serves for three seconds, and half of it afterwards.
const CREST: [(u32, u64); 2] = [(75, 3), (20, 8)];
/// Nearly twice what the target serves, and no end of it.
const FLOOD: [(u32, u64); 1] = [(75, 12)];

/// After a crest there is room for all that came during it. Without the book most returns are refused again: they come
/// while the crest lasts, and count as late.
#[test]
fn returns_after_a_crest_find_room() {
    let before = CrestRun::new(false).run(&CREST, 0, false);
    let after = CrestRun::new(true).run(&CREST, 0, false);
    assert!(after.refused_again * 2 <= before.refused_again, "{before:?} {after:?}");
    assert!(after.served > before.served, "{before:?} {after:?}");
    assert!(after.in_time >= before.in_time, "{before:?} {after:?}");
}

/// Returns take nothing from new requests that can be in time, also where demand does not fall.
#[test]
fn returns_take_nothing_from_requests_that_are_in_time() {
    let before = CrestRun::new(false).run(&FLOOD, 0, false);
    let after = CrestRun::new(true).run(&FLOOD, 0, false);
    assert!(after.in_time * 100 >= before.in_time * 98, "{before:?} {after:?}");
    assert!(after.served >= before.served, "{before:?} {after:?}");
}

/// A third of the callers repeats at once instead of waiting as told. They are served less than the others.
#[test]
fn callers_that_repeat_at_once_gain_nothing() {
    let sent_hasty = 75 * 3 / 3;
    let count = CrestRun::new(true).run(&[CREST[0], (1, 8)], 3, false);
    let others = count.served - count.hasty_served;
    assert!(count.hasty_served <= others / 2, "{count:?}, {sent_hasty} sent at once");
}

/// The book is lost with its scheduler at the height of the crest. Every request is answered all the same.
#[test]
fn scheduler_that_changes_during_a_crest_forgets_nobody() {
    let before = CrestRun::new(false).run(&CREST, 0, true);
    let after = CrestRun::new(true).run(&CREST, 0, true);
    assert!(after.served >= before.served, "{before:?} {after:?}");
    assert!(u64::from(after.refused_again) <= u64::from(before.refused_again), "{after:?}");
}
