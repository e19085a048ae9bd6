//! A pool that gets more streams than it has slots for: who is served in time?

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
/// Time from a caller's first attempt to the first part that is in time.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Time that a caller gives.
const CALLER_TIME: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(5);
const TEN_SECONDS: Duration = Duration::from_secs(10);

/// A caller's request, which comes back once after a refusal.
#[derive(Clone, Copy)]
struct LoadCaller {
    first_attempt: Uptime,
    has_returned: bool,
}

/// What became of a load.
#[derive(Debug, Default)]
struct LoadCount {
    in_time: u32,
    late: u32,
    refused: u32,
}

/// A scheduler, callers, and a target that serves what is granted.
struct LoadPlay {
    scheduler: PoolScheduler,
    now: Uptime,
    callers: BTreeMap<u128, LoadCaller>,
    returns: BTreeMap<(Uptime, u128), LoadCaller>,
    ends: BTreeSet<(Uptime, u128)>,
    count: LoadCount,
}

impl LoadPlay {
    fn new() -> LoadPlay {
        let mut scheduler = PoolScheduler::new(POOL.to_string(), PoolOptions::default());
        let entry =
            TargetEntry { id: "t".into(), vm: "t".into(), slots: SLOTS, ..TargetEntry::default() };
        let pool = TargetPool {
            id: POOL.to_string(),
            targets: BTreeMap::from([("t".to_string(), entry)]),
            ..TargetPool::default()
        };
        scheduler.configure(PoolOptions { age_per_work: 1, ..PoolOptions::default() }, &pool);
        LoadPlay {
            scheduler,
            now: Duration::from_secs(100),
            callers: BTreeMap::new(),
            returns: BTreeMap::new(),
            ends: BTreeSet::new(),
            count: LoadCount::default(),
        }
    }

    fn ask(&mut self, caller: LoadCaller) {
        // Ids spread as drawn ones do, since they spread the returns.
        let number = (self.callers.len() as u128 + 1) * 7_919;
        self.callers.insert(number, caller);
        let passed = self.now - caller.first_attempt;
        let objectives = LatencyObjectives {
            wait_limit: OBJECTIVE,
            forecast_limit: if caller.has_returned { OBJECTIVE } else { OBJECTIVE * 60 / 100 },
            first_part_by: OBJECTIVE.saturating_sub(passed),
            pause_limit: Duration::from_secs(1),
            length_guessed: true,
            is_retry: caller.has_returned,
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
        };
        let entry = DaemonId { vm: "e".to_string(), incarnation: 1 };
        let actions = self.scheduler.request_permit(self.now, entry, request);
        self.take(actions);
    }

    fn take(&mut self, actions: Vec<SchedulerAction>) {
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
                PermitDecision::Refused(_) if caller.has_returned => self.count.refused += 1,
                PermitDecision::Refused(refusal) => {
                    let back = self.now + refusal.retry_after.expect("an advice");
                    let caller = LoadCaller { has_returned: true, ..caller };
                    self.returns.insert((back, number), caller);
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
            let seen = StreamTiming {
                first: FIRST,
                rest: REST,
                parts: 40,
                pause: Duration::from_millis(20),
            };
            let back = PermitReturn {
                permit: permit(number),
                pool: POOL.to_string(),
                end: AttemptEnd::Streamed(seen),
            };
            let actions = self.scheduler.give_back(self.now, &back);
            self.take(actions);
        }
        while let Some(((due, _), caller)) = self.returns.first_key_value() {
            if *due > self.now {
                break;
            }
            let caller = *caller;
            self.returns.pop_first();
            self.ask(caller);
        }
        let actions = self.scheduler.tick(self.now);
        self.take(actions);
    }

    /// A new caller each `gap`, for a time, and until all have their answer.
    fn run(mut self, gap: Duration, time: Duration) -> LoadCount {
        let (begin, mut next) = (self.now, self.now);
        while self.now < begin + time + CALLER_TIME {
            while next <= self.now && next < begin + time {
                self.ask(LoadCaller { first_attempt: next, has_returned: false });
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

/// The target serves ten requests a second; callers come twice, four times as often, for ten seconds. Where
/// those that are late already wait among the others, 68 and 57 answers begin in time, and as many slots
/// go to late ones.
#[rstest]
#[case::twice(Duration::from_millis(50))]
#[case::four_times(Duration::from_millis(25))]
fn slots_of_an_overloaded_pool_go_to_those_who_can_be_in_time(#[case] gap: Duration) {
    let count = LoadPlay::new().run(gap, TEN_SECONDS);
    assert!(count.in_time >= 95, "{count:?}");
}
