//! The scheduler of a pool of streaming targets: which target gets a prompt, the order of requests, early refusals,
//! and the learned pace.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, LatencyObjectives, PermitDecision, PermitId, PermitRequest, PermitReturn,
    RefusalReason, RequestId, StreamTiming, TargetEntry, TargetId, TargetPool,
};
use curlewcleat_sched::{PoolOptions, PoolScheduler, SchedulerAction};
use rstest::rstest;

const POOL: &str = "engines";
const PAUSE_LIMIT: Duration = Duration::from_millis(400);
const FAST: &str = "fast";
const SLOW: &str = "slow";

/// The scheduler of one pool, and a clock.
struct PoolRun {
    scheduler: PoolScheduler,
    now: Duration,
    next: u128,
}

impl PoolRun {
    fn new(targets: &[&str], slots: u32) -> PoolRun {
        let options = PoolOptions { queue_limit: 1_000, age_per_work: 1, ..PoolOptions::default() };
        let mut scheduler = PoolScheduler::new(POOL.to_string(), options.clone());
        scheduler.configure(options, &pool(targets, slots));
        PoolRun { scheduler, now: Duration::from_secs(1), next: 0 }
    }

    fn request_permit(&mut self, request: PermitRequest) -> (u128, Vec<SchedulerAction>) {
        self.next += 1;
        let permit = permit(self.next);
        let actions =
            self.scheduler.request_permit(self.now, entry(), PermitRequest { permit, ..request });
        (self.next, actions)
    }

    fn end(&mut self, number: u128, end: AttemptEnd) -> Vec<SchedulerAction> {
        let returned = PermitReturn { permit: permit(number), pool: POOL.to_string(), end };
        self.scheduler.return_permit(self.now, &returned)
    }

    fn advance(&mut self, time: Duration) -> Vec<SchedulerAction> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += Duration::from_millis(20);
            actions.extend(self.scheduler.tick(self.now));
        }
        actions
    }

    /// Lets a target serve streams with this timing one by one, so that its pace is learned.
    fn learn_pace(&mut self, target: &str, others: &[&str], timing: StreamTiming) {
        for _ in 0..20 {
            let avoid = others.iter().map(|other| other.to_string()).collect();
            let (number, actions) = self.request_permit(PermitRequest { avoid, ..prompt(5_000) });
            assert_eq!(granted(&actions).get(&number).map(String::as_str), Some(target));
            self.now += timing.first + timing.rest;
            self.end(number, AttemptEnd::Streamed(timing));
        }
    }
}

fn pool(targets: &[&str], slots: u32) -> TargetPool {
    let entries = targets.iter().map(|id| {
        let entry =
            TargetEntry { id: id.to_string(), vm: id.to_string(), slots, ..TargetEntry::default() };
        (id.to_string(), entry)
    });
    TargetPool {
        id: POOL.to_string(),
        queue_limit: 1_000,
        cached_prefixes: 4,
        prompt_token_us: 100,
        output_token_us: 10_000,
        base_us: 5_000,
        resumable: true,
        reuse_connections: true,
        targets: entries.collect(),
        ..TargetPool::default()
    }
}

fn entry() -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation: 1 }
}

fn permit(number: u128) -> PermitId {
    PermitId { request: RequestId::from_u128(number), attempt: 0 }
}

/// A permit request with a prompt of `tokens` tokens and an output of a hundred.
fn prompt(tokens: u64) -> PermitRequest {
    PermitRequest {
        permit: permit(0),
        pool: POOL.to_string(),
        tier: 0,
        account: "a".to_string(),
        time_left: Duration::from_secs(15),
        objectives: LatencyObjectives {
            wait_limit: Duration::from_millis(1_600),
            forecast_limit: Duration::from_millis(480),
            first_part_by: Duration::from_millis(800),
            pause_limit: PAUSE_LIMIT,
            ..LatencyObjectives::default()
        },
        prompt_work: tokens * 100,
        output_work: 1_000_000,
        prefix: None,
        cost: 1,
        avoid: Vec::new(),
        version: None,
    }
}

/// A stream of 21 parts at a target that reads a token of the prompt in `read_us` and sends a part each `part_ms`,
/// with a longest pause of `pause_ms`.
fn timing(read_us: u64, part_ms: u64, pause_ms: u64) -> StreamTiming {
    StreamTiming {
        first: Duration::from_micros(5_000 * read_us),
        rest: Duration::from_millis(20 * part_ms),
        parts: 21,
        pause: Duration::from_millis(pause_ms),
    }
}

fn granted(actions: &[SchedulerAction]) -> BTreeMap<u128, TargetId> {
    let grants = actions.iter().filter_map(|action| match &action.answer.decision {
        PermitDecision::Granted(target) => {
            Some((action.answer.permit.request.as_u128(), target.clone()))
        }
        _ => None,
    });
    grants.collect()
}

fn refused(actions: &[SchedulerAction]) -> BTreeMap<u128, (RefusalReason, Option<Duration>)> {
    let refusals = actions.iter().filter_map(|action| match &action.answer.decision {
        PermitDecision::Refused(refusal) => {
            Some((action.answer.permit.request.as_u128(), (refusal.reason, refusal.retry_after)))
        }
        _ => None,
    });
    refusals.collect()
}

/// A pool of a fast and a slow target whose paces are learned.
fn learned_pool(slots: u32) -> PoolRun {
    let mut run = PoolRun::new(&[FAST, SLOW], slots);
    run.learn_pace(SLOW, &[FAST], timing(50, 70, 590));
    run.learn_pace(FAST, &[SLOW], timing(10, 16, 120));
    run.advance(Duration::from_millis(40));
    run
}

#[test]
fn faster_target_gets_the_prompt() {
    let mut run = learned_pool(2);
    let (number, actions) = run.request_permit(prompt(5_000));
    assert_eq!(granted(&actions).get(&number).map(String::as_str), Some(FAST));
}

#[rstest]
#[case::as_fast(timing(10, 17, 120), SLOW)]
#[case::half_as_fast(timing(20, 34, 120), SLOW)]
#[case::many_times_slower(timing(60, 110, 120), FAST)]
fn target_of_the_same_data_centre_is_preferred_unless_it_is_several_times_slower(
    #[case] near: StreamTiming,
    #[case] expected: &str,
) {
    let mut run = PoolRun::new(&[FAST, SLOW], 8);
    run.learn_pace(SLOW, &[FAST], near);
    run.learn_pace(FAST, &[SLOW], timing(10, 16, 120));
    let mut located = pool(&[FAST, SLOW], 8);
    located.targets.get_mut(FAST).expect("a target").data_centre = "there".to_string();
    located.targets.get_mut(SLOW).expect("a target").data_centre = "here".to_string();
    run.scheduler.configure(PoolOptions { age_per_work: 1, ..PoolOptions::default() }, &located);
    let here = BTreeMap::from([("e".to_string(), "here".to_string())]);
    run.scheduler.set_data_centres(here);
    run.advance(Duration::from_millis(100));
    let (number, actions) = run.request_permit(prompt(1_000));
    assert_eq!(granted(&actions).get(&number).map(String::as_str), Some(expected));
}

#[test]
fn long_prompt_waits_instead_of_stalling_the_streams_of_a_slow_target() {
    let mut run = learned_pool(1);
    run.request_permit(prompt(1_000));
    // The slow target gets a second slot, and has a stream in the first.
    let mut wider = pool(&[FAST, SLOW], 1);
    wider.targets.get_mut(SLOW).expect("the slow target").slots = 2;
    let (short, actions) = run.request_permit(prompt(1_000));
    assert_eq!(granted(&actions).get(&short).map(String::as_str), Some(SLOW));
    run.scheduler.configure(PoolOptions { age_per_work: 1, ..PoolOptions::default() }, &wider);
    let (long, actions) = run.request_permit(prompt(20_000));
    assert!(granted(&actions).is_empty() && refused(&actions).is_empty());
    // Once the objective of the first part has passed, the slow target is used.
    let later = run.advance(Duration::from_millis(900));
    assert_eq!(granted(&later).get(&long).map(String::as_str), Some(SLOW));
}

#[test]
fn wait_for_earlier_prompts_is_not_learned_as_time_of_the_prompt_itself() {
    let mut run = PoolRun::new(&[FAST], 8);
    run.learn_pace(FAST, &[], timing(10, 16, 120));
    // Eight prompts of 50 ms at once, repeatedly: the answer to the last one begins after 400 ms.
    for _ in 0..40 {
        let numbers: Vec<u128> = (0..8).map(|_| run.request_permit(prompt(5_000)).0).collect();
        run.now += Duration::from_millis(800);
        for (index, number) in numbers.iter().enumerate() {
            let first = Duration::from_millis(50 * (index as u64 + 1));
            let stream = StreamTiming { first, ..timing(10, 16, 120) };
            run.end(*number, AttemptEnd::Streamed(stream));
        }
    }
    let pace = run.scheduler.targets()[FAST].pace;
    let learned = pace.prompt_time(500_000).expect("a pace");
    assert!((30_000..=80_000).contains(&learned), "{learned} us for a prompt of 50 ms");
}

#[test]
fn free_slots_are_used_while_requests_wait_that_cannot_be_in_time() {
    let mut run = learned_pool(4);
    // By the learned paces no request can be in time; the waiting ones are served all the same.
    let waiting: Vec<u128> = (0..8).map(|_| run.request_permit(prompt(60_000)).0).collect();
    let later = run.advance(Duration::from_millis(1_000));
    let served: BTreeSet<u128> = granted(&later).into_keys().collect();
    assert!(run.scheduler.in_flight() >= 6, "{} of 8 slots", run.scheduler.in_flight());
    assert!(waiting.iter().filter(|number| served.contains(number)).count() >= 1);
}

#[test]
fn failing_target_is_not_chosen() {
    let mut run = learned_pool(4);
    for _ in 0..2 {
        let (number, _) = run.request_permit(prompt(1_000));
        run.end(number, AttemptEnd::Failed);
        let (number, _) =
            run.request_permit(PermitRequest { avoid: vec![SLOW.to_string()], ..prompt(1_000) });
        run.end(number, AttemptEnd::Failed);
    }
    let (number, actions) = run.request_permit(prompt(1_000));
    assert_eq!(granted(&actions).get(&number).map(String::as_str), Some(SLOW));
}

#[test]
fn request_that_would_wait_too_long_is_refused_at_once_and_sheds_no_tier() {
    let mut run = learned_pool(1);
    let mut refusals = Vec::new();
    for _ in 0..40 {
        let (_, actions) = run.request_permit(prompt(1_000));
        refusals.extend(refused(&actions).into_values());
    }
    assert!(!refusals.is_empty());
    let advice: BTreeSet<Duration> = refusals.iter().filter_map(|(_, advice)| *advice).collect();
    assert!(refusals.iter().all(|(reason, _)| *reason == RefusalReason::WaitTooLong));
    assert!(advice.iter().all(|advice| *advice <= Duration::from_millis(4_500)));
    assert_eq!(run.scheduler.level().lowest_open(), None);
}

/// A rule has four times the share of the next one, so that the next one is still served. Shorter requests of the next
/// rule do not change the shares, and a retry is served first.
#[test]
fn urgency_keeps_its_share_whatever_the_length_and_a_retry_is_served_first() {
    let mut run = learned_pool(1);
    run.request_permit(prompt(1_000));
    run.request_permit(prompt(1_000));
    let patient = |tokens: u64, urgency: u8, is_retry: bool| {
        let request = prompt(tokens);
        let objectives = LatencyObjectives { urgency, is_retry, ..LatencyObjectives::default() };
        PermitRequest { objectives, time_left: Duration::from_secs(600), ..request }
    };
    let mut work = BTreeMap::new();
    for _ in 0..40 {
        let (triage, _) = run.request_permit(patient(500, 1, false));
        work.insert(triage, (1, 500));
        let (review, _) = run.request_permit(patient(6_000, 0, false));
        work.insert(review, (0, 6_000));
    }
    let (retried, _) = run.request_permit(patient(6_000, 0, true));
    work.insert(retried, (0, 6_000));
    let mut order = Vec::new();
    while let Some(running) = run.scheduler.permits().keys().next().copied() {
        let next = run.end(running.request.as_u128(), AttemptEnd::Unused);
        order.extend(granted(&next).into_keys().filter(|number| work.contains_key(number)));
    }
    let reviews: Vec<u128> = order.iter().copied().filter(|number| work[number].0 == 0).collect();
    assert_eq!(reviews.first(), Some(&retried), "{order:?}");
    // While both wait, triages get a fifth of the work, and at most one request more.
    let last_triage = order.iter().rposition(|number| work[number].0 == 1).expect("triages");
    let shared = &order[..=last_triage];
    let of = |urgency: u8| -> u64 {
        shared
            .iter()
            .map(|number| work[number])
            .filter(|(rank, _)| *rank == urgency)
            .map(|(_, work)| work)
            .sum()
    };
    assert!(of(1) <= (of(0) + of(1)) / 5 + 500, "{} of {}", of(1), of(0) + of(1));
    assert_eq!(order.len(), work.len(), "all are served");
}

/// A retry has priority so that it meets its objective. One that is already late, or will be once its prompt
/// of 60 ms is read, has none.
#[test]
fn retry_that_cannot_be_in_time_has_no_priority() {
    let mut run = learned_pool(1);
    run.request_permit(prompt(1_000));
    run.request_permit(prompt(1_000));
    let retried = |first_part_by: Duration| {
        let objectives =
            LatencyObjectives { is_retry: true, first_part_by, ..LatencyObjectives::default() };
        PermitRequest { objectives, time_left: Duration::from_secs(600), ..prompt(6_000) }
    };
    let new = PermitRequest { time_left: Duration::from_secs(600), ..prompt(6_000) };
    let (new, _) = run.request_permit(new);
    let (late, _) = run.request_permit(retried(Duration::ZERO));
    let (hopeless, _) = run.request_permit(retried(Duration::from_millis(1)));
    let (in_time, _) = run.request_permit(retried(Duration::from_millis(400)));
    let mut order = Vec::new();
    while let Some(running) = run.scheduler.permits().keys().next().copied() {
        let next = run.end(running.request.as_u128(), AttemptEnd::Unused);
        order.extend(granted(&next).into_keys());
    }
    let position = |number: u128| order.iter().position(|other| *other == number);
    assert!(position(in_time) < position(new) && position(new) < position(late), "{order:?}");
    assert!(position(late) < position(hopeless) && position(in_time).is_some(), "{order:?}");
}

#[test]
fn answer_of_guessed_length_is_granted_if_it_may_end_in_time() {
    // No pace is known yet, and by the operator's estimates the answer would take forty seconds.
    let mut run = PoolRun::new(&[FAST], 2);
    let guessed = |output: u64| {
        let request = prompt(5_000);
        let objectives = LatencyObjectives { length_guessed: true, ..request.objectives };
        PermitRequest { objectives, output_work: output, ..request }
    };
    let (first, actions) = run.request_permit(guessed(40_000_000));
    assert!(granted(&actions).contains_key(&first));
    run.end(first, AttemptEnd::Unused);
    // Learned: 20 parts of 16 ms for a second of work, so that forty seconds of work take 13 s.
    run.learn_pace(FAST, &[], timing(10, 16, 120));
    let (long, actions) = run.request_permit(guessed(40_000_000));
    assert!(granted(&actions).contains_key(&long));
    run.end(long, AttemptEnd::Unused);
    let (endless, actions) = run.request_permit(guessed(400_000_000));
    assert_eq!(refused(&actions)[&endless].0, RefusalReason::DeadlineUnreachable);
}
