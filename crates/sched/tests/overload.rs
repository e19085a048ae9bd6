//! A pool that gets more streams than it has slots for serves those that can begin in time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, LatencyObjectives, PermitDecision, PermitId, PermitRequest, PermitReturn,
    RequestId, StreamTiming, TargetEntry, TargetPool, Uptime,
};
use curlewcleat_sched::{PoolOptions, PoolScheduler, SchedulerAction};
use rstest::rstest;

const POOL: &str = "p";
const SLOTS: u32 = 8;
/// Time to the first part, and from there to the end.
const FIRST: Duration = Duration::from_millis(50);
const REST: Duration = Duration::from_millis(750);
/// Time from a caller's first attempt within which the first part is in time.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Time from a caller's first attempt to its deadline.
const CALLER_TIME: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(5);
const TEN_SECONDS: Duration = Duration::from_secs(10);

/// A caller's request, which is retried once after a refusal.
#[derive(Clone, Copy)]
struct LoadCaller {
    first_attempt: Uptime,
    is_retry: bool,
}

/// Outcomes of the requests of a load.
#[derive(Debug, Default)]
struct LoadCount {
    in_time: u32,
    late: u32,
    refused: u32,
}

/// A scheduler, callers, and a target that serves what is granted.
struct LoadRun {
    scheduler: PoolScheduler,
    now: Uptime,
    callers: BTreeMap<u128, LoadCaller>,
    retries: BTreeMap<(Uptime, u128), LoadCaller>,
    ends: BTreeSet<(Uptime, u128)>,
    count: LoadCount,
}

impl LoadRun {
    fn new() -> LoadRun {
        let mut scheduler = PoolScheduler::new(POOL.to_string(), PoolOptions::default());
        let entry =
            TargetEntry { id: "t".into(), vm: "t".into(), slots: SLOTS, ..TargetEntry::default() };
        let pool = TargetPool {
            id: POOL.to_string(),
            targets: BTreeMap::from([("t".to_string(), entry)]),
            ..TargetPool::default()
        };
        scheduler.configure(PoolOptions { age_per_work: 1, ..PoolOptions::default() }, &pool);
        LoadRun {
            scheduler,
            now: Duration::from_secs(100),
            callers: BTreeMap::new(),
            retries: BTreeMap::new(),
            ends: BTreeSet::new(),
            count: LoadCount::default(),
        }
    }

    fn send(&mut self, caller: LoadCaller) {
        // Ids that are spread like random ones, since they spread the retries.
        let number = (self.callers.len() as u128 + 1) * 7_919;
        self.callers.insert(number, caller);
        let passed = self.now - caller.first_attempt;
        let objectives = LatencyObjectives {
            wait_limit: OBJECTIVE,
            forecast_limit: if caller.is_retry { OBJECTIVE } else { OBJECTIVE * 60 / 100 },
            first_part_by: OBJECTIVE.saturating_sub(passed),
            pause_limit: Duration::from_secs(1),
            length_guessed: true,
            is_retry: caller.is_retry,
            ..LatencyObjectives::default()
        };
        let request = PermitRequest {
            permit: permit(number),
            pool: POOL.to_string(),
            tier: 0,
            account: "a".to_string(),
            time_left: CALLER_TIME - passed,
            objectives,
            prompt_work: 60_000,
            output_work: 800_000,
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
                    match waited <= OBJECTIVE {
                        true => self.count.in_time += 1,
                        false => self.count.late += 1,
                    }
                    self.ends.insert((self.now + FIRST + REST, number));
                }
                PermitDecision::Refused(_) if caller.is_retry => self.count.refused += 1,
                PermitDecision::Refused(refusal) => {
                    let retry_at = self.now + refusal.retry_after.expect("a retry advice");
                    let caller = LoadCaller { is_retry: true, ..caller };
                    self.retries.insert((retry_at, number), caller);
                }
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some((due, number)) = self.ends.first().copied() {
            if due > self.now {
                break;
            }
            self.ends.pop_first();
            let timing = StreamTiming {
                first: FIRST,
                rest: REST,
                parts: 40,
                pause: Duration::from_millis(20),
            };
            let returned = PermitReturn {
                permit: permit(number),
                pool: POOL.to_string(),
                end: AttemptEnd::Streamed(timing),
            };
            let actions = self.scheduler.return_permit(self.now, &returned);
            self.apply(actions);
        }
        while let Some(((due, _), caller)) = self.retries.first_key_value() {
            if *due > self.now {
                break;
            }
            let caller = *caller;
            self.retries.pop_first();
            self.send(caller);
        }
        let actions = self.scheduler.tick(self.now);
        self.apply(actions);
    }

    /// Sends a new caller each `gap` for `time`, and runs until all have their answer.
    fn run(mut self, gap: Duration, time: Duration) -> LoadCount {
        let (begin, mut next) = (self.now, self.now);
        while self.now < begin + time + CALLER_TIME {
            while next <= self.now && next < begin + time {
                self.send(LoadCaller { first_attempt: next, is_retry: false });
                next += gap;
            }
            self.step();
        }
        self.count
    }
}

fn permit(number: u128) -> PermitId {
    PermitId { request: RequestId::from_u128(number), attempt: 0 }
}

/// The target serves ten requests per second; callers arrive at two and four times that rate for ten seconds. If
/// late requests waited among the others, 68 and 57 answers would begin in time, and as many slots would
/// go to late requests.
#[rstest]
#[case::twice(Duration::from_millis(50))]
#[case::four_times(Duration::from_millis(25))]
fn slots_of_an_overloaded_pool_go_to_requests_that_can_be_in_time(#[case] gap: Duration) {
    let count = LoadRun::new().run(gap, TEN_SECONDS);
    assert!(count.in_time >= 95, "{count:?}");
}
