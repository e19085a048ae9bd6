//! When a target with an idle connection is chosen, and when not.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, LatencyObjectives, PermitDecision, PermitId, PermitRequest, PermitReturn,
    RequestId, StreamTiming, TargetEntry, TargetPool, TargetStart,
};
use curlewcleat_sched::{PoolOptions, PoolScheduler};
use rstest::rstest;

const POOL: &str = "pool";
const FIRST: &str = "a";
const CONNECTED: &str = "b";
const WORK: Duration = Duration::from_millis(100);

/// The scheduler of two equal targets, of which the first is chosen unless something else matters.
struct ChoiceRun {
    scheduler: PoolScheduler,
    now: Duration,
    next: u128,
}

impl ChoiceRun {
    fn new(reuses_connections: bool) -> ChoiceRun {
        let options = PoolOptions { reuses_connections, ..PoolOptions::default() };
        let mut scheduler = PoolScheduler::new(POOL.to_string(), options.clone());
        scheduler.configure(options, &pool(1, ""));
        ChoiceRun { scheduler, now: Duration::from_secs(1), next: 0 }
    }

    /// Requests a permit; returns its target.
    fn grant(&mut self, entry: &DaemonId, request: PermitRequest) -> String {
        self.next += 1;
        let request = PermitRequest { permit: permit(self.next), ..request };
        let actions = self.scheduler.request_permit(self.now, entry.clone(), request);
        match &actions[0].answer.decision {
            PermitDecision::Granted(target) => target.clone(),
            decision => panic!("not granted: {decision:?}"),
        }
    }

    fn end(&mut self, end: AttemptEnd) {
        let returned = PermitReturn { permit: permit(self.next), pool: POOL.to_string(), end };
        self.scheduler.return_permit(self.now, &returned);
    }

    /// Lets the entry daemon run a request at the second target, which ends in this way.
    fn run_at_second(&mut self, end: AttemptEnd) {
        let avoid = vec![FIRST.to_string()];
        assert_eq!(self.grant(&entry(1), PermitRequest { avoid, ..request() }), CONNECTED);
        self.end(end);
    }
}

fn connected() -> ChoiceRun {
    let mut run = ChoiceRun::new(true);
    run.run_at_second(AttemptEnd::Whole(WORK));
    run
}

fn pool(start: u64, data_centre: &str) -> TargetPool {
    let target = |id: &str, start: u64, data_centre: &str| {
        let entry = TargetEntry {
            id: id.to_string(),
            vm: id.to_string(),
            data_centre: data_centre.to_string(),
            slots: 6,
            start: Some(TargetStart(start)),
            ..TargetEntry::default()
        };
        (id.to_string(), entry)
    };
    let here = if data_centre.is_empty() { "" } else { "here" };
    let targets = BTreeMap::from([target(FIRST, 1, here), target(CONNECTED, start, data_centre)]);
    TargetPool { id: POOL.to_string(), targets, ..TargetPool::default() }
}

fn entry(incarnation: u64) -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation }
}

fn permit(number: u128) -> PermitId {
    PermitId { request: RequestId::from_u128(number), attempt: 0 }
}

fn request() -> PermitRequest {
    PermitRequest {
        permit: permit(0),
        pool: POOL.to_string(),
        tier: 0,
        account: "a".to_string(),
        time_left: Duration::from_secs(15),
        objectives: LatencyObjectives::default(),
        prompt_work: 0,
        output_work: WORK.as_micros() as u64,
        prefix: None,
        cost: 1,
        avoid: Vec::new(),
        version: None,
    }
}

#[rstest]
#[case::whole(AttemptEnd::Whole(WORK), CONNECTED)]
#[case::unused(AttemptEnd::Unused, FIRST)]
#[case::failed(AttemptEnd::Failed, FIRST)]
fn target_is_preferred_after_a_complete_answer(#[case] end: AttemptEnd, #[case] expected: &str) {
    let mut run = ChoiceRun::new(true);
    run.run_at_second(end);
    assert_eq!(run.grant(&entry(1), request()), expected);
}

#[test]
fn connection_is_used_once() {
    let mut run = connected();
    assert_eq!(run.grant(&entry(1), request()), CONNECTED);
    assert_eq!(run.grant(&entry(1), request()), FIRST);
}

#[test]
fn connection_of_another_entry_daemon_does_not_matter() {
    assert_eq!(connected().grant(&entry(2), request()), FIRST);
}

#[test]
fn connection_is_forgotten_with_its_entry_daemon() {
    let mut run = connected();
    run.scheduler.remove_entry_daemon(run.now, &entry(1));
    assert_eq!(run.grant(&entry(1), request()), FIRST);
}

#[test]
fn connection_is_forgotten_with_its_target_instance() {
    let mut run = connected();
    let options = PoolOptions { reuses_connections: true, ..PoolOptions::default() };
    run.scheduler.configure(options, &pool(2, ""));
    assert_eq!(run.grant(&entry(1), request()), FIRST);
}

#[test]
fn connections_are_forgotten_when_reuse_is_switched_off() {
    let mut run = connected();
    run.scheduler.configure(PoolOptions::default(), &pool(1, ""));
    assert_eq!(run.grant(&entry(1), request()), FIRST);
}

#[test]
fn idle_connection_expires() {
    let mut run = connected();
    run.now += Duration::from_secs(10);
    assert_eq!(run.grant(&entry(1), request()), FIRST);
}

#[test]
fn more_loaded_target_is_not_preferred() {
    let mut run = connected();
    let avoid = vec![FIRST.to_string()];
    assert_eq!(run.grant(&entry(2), PermitRequest { avoid, ..request() }), CONNECTED);
    assert_eq!(run.grant(&entry(1), request()), FIRST);
}

#[rstest]
#[case::same("here", CONNECTED)]
#[case::other("there", FIRST)]
fn target_of_another_data_centre_is_not_preferred(
    #[case] data_centre: &str,
    #[case] expected: &str,
) {
    let mut run = connected();
    let options = PoolOptions { reuses_connections: true, ..PoolOptions::default() };
    run.scheduler.configure(options, &pool(1, data_centre));
    run.scheduler.set_data_centres(BTreeMap::from([("e".to_string(), "here".to_string())]));
    // Even the time of a new connection would make up for the longer time on the remote target.
    let short = PermitRequest { output_work: 100, ..request() };
    assert_eq!(run.grant(&entry(1), short), expected);
}

#[rstest]
#[case::about_as_fast(140, 15_000, CONNECTED)]
#[case::too_slow_for_the_deadline(140, 130, FIRST)]
#[case::slower(200, 15_000, FIRST)]
fn slower_target_is_not_preferred(
    #[case] took_ms: u64,
    #[case] time_left_ms: u64,
    #[case] expected: &str,
) {
    let mut run = ChoiceRun::new(true);
    run.run_at_second(AttemptEnd::Whole(Duration::from_millis(took_ms)));
    let time_left = Duration::from_millis(time_left_ms);
    assert_eq!(run.grant(&entry(1), PermitRequest { time_left, ..request() }), expected);
}

/// The second target takes 110 ms to the first part and the first one 100 ms, of two seconds in all.
#[rstest]
#[case::unnoticed(Duration::from_millis(400), CONNECTED)]
#[case::noticed(Duration::from_millis(120), FIRST)]
fn target_that_begins_noticeably_later_is_not_preferred(
    #[case] first_part_by: Duration,
    #[case] expected: &str,
) {
    let mut run = ChoiceRun::new(true);
    let objectives = LatencyObjectives { first_part_by, ..LatencyObjectives::default() };
    let stream = PermitRequest { prompt_work: 50_000, objectives, ..request() };
    let timing = |first_ms| StreamTiming {
        first: Duration::from_millis(first_ms),
        rest: Duration::from_millis(1_900),
        parts: 20,
        pause: Duration::from_millis(100),
    };
    for (other, first_ms) in [(CONNECTED, 100), (FIRST, 110)] {
        for _ in 0..20 {
            let avoid = vec![other.to_string()];
            run.grant(&entry(1), PermitRequest { avoid, ..stream.clone() });
            // By then the target has read the prompt.
            run.now += Duration::from_secs(2);
            run.end(AttemptEnd::Streamed(timing(first_ms)));
        }
        // Another entry daemon's requests leave no connection to the first target.
        if other == CONNECTED {
            run.scheduler.remove_entry_daemon(run.now, &entry(1));
        }
    }
    assert_eq!(run.grant(&entry(1), stream), expected);
}
