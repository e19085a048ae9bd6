//! The scheduler of a pool: invariants under any order of events, and the rules for tiers, accounts
//! and failing targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, CacheEviction, DaemonId, PermitDecision, PermitId, PermitRequest, PermitReturn,
    RefusalReason, RequestId, TargetEntry, TargetInstance, TargetPool, TargetReport,
};
use curlewcleat_sched::{AccountLimit, PoolOptions, PoolScheduler, SchedulerAction};
use proptest::prelude::*;

const POOL: &str = "pool";

fn entry() -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation: 1 }
}

fn pool(targets: usize, slots: u32) -> TargetPool {
    let entries = (0..targets).map(|index| {
        let id = format!("t{index}");
        let entry = TargetEntry {
            id: id.clone(),
            vm: format!("vm{index}"),
            slots,
            ..TargetEntry::default()
        };
        (id, entry)
    });
    TargetPool {
        id: POOL.to_string(),
        cached_prefixes: 4,
        targets: entries.collect(),
        ..TargetPool::default()
    }
}

fn scheduler(options: PoolOptions, targets: usize, slots: u32) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL.to_string(), options.clone());
    scheduler.configure(options, &pool(targets, slots));
    scheduler
}

fn request(number: u128, tier: u8, account: &str, remaining: Duration) -> PermitRequest {
    PermitRequest {
        permit: PermitId { request: RequestId::from_u128(number), attempt: 0 },
        pool: POOL.to_string(),
        tier,
        account: account.to_string(),
        cost: 1,
        objectives: curlewcleat_core::LatencyObjectives::default(),
        time_left: remaining,
        prompt_work: 0,
        output_work: 100_000,
        prefix: None,
        avoid: Vec::new(),
        version: None,
    }
}

fn permit_return(number: u128, end: AttemptEnd) -> PermitReturn {
    let permit = PermitId { request: RequestId::from_u128(number), attempt: 0 };
    PermitReturn { permit, pool: POOL.to_string(), end }
}

fn granted(actions: &[SchedulerAction]) -> Vec<u128> {
    let grants = actions
        .iter()
        .filter(|action| matches!(action.answer.decision, PermitDecision::Granted(_)));
    grants.map(|action| action.answer.permit.request.as_u128()).collect()
}

fn refused(actions: &[SchedulerAction]) -> BTreeMap<u128, RefusalReason> {
    let refusals = actions.iter().filter_map(|action| match &action.answer.decision {
        PermitDecision::Refused(refusal) => {
            Some((action.answer.permit.request.as_u128(), refusal.reason))
        }
        _ => None,
    });
    refusals.collect()
}

const LONG: Duration = Duration::from_secs(60);

#[test]
fn higher_tier_is_served_first_and_lower_ones_are_evicted_for_it() {
    let mut scheduler = scheduler(PoolOptions { queue_limit: 2, ..PoolOptions::default() }, 1, 1);
    let now = Duration::ZERO;
    assert_eq!(granted(&scheduler.request_permit(now, entry(), request(1, 3, "a", LONG))), [1]);
    scheduler.request_permit(now, entry(), request(2, 3, "a", LONG));
    scheduler.request_permit(now, entry(), request(3, 2, "a", LONG));
    let actions = scheduler.request_permit(now, entry(), request(4, 0, "a", LONG));
    assert_eq!(refused(&actions), BTreeMap::from([(2, RefusalReason::ShedForHigherTier)]));
    let whole = AttemptEnd::Whole(Duration::from_millis(100));
    assert_eq!(granted(&scheduler.return_permit(now, &permit_return(1, whole))), [4]);
}

#[test]
fn shed_tier_is_refused_until_the_hold_ends_and_admitted_after_it() {
    let mut scheduler =
        scheduler(PoolOptions { queue_limit: 1, lowest: 1, ..PoolOptions::default() }, 1, 1);
    for number in 1..=3 {
        scheduler.request_permit(Duration::ZERO, entry(), request(number, 0, "a", LONG));
    }
    let shed = scheduler.request_permit(Duration::ZERO, entry(), request(9, 1, "a", LONG));
    assert_eq!(refused(&shed), BTreeMap::from([(9, RefusalReason::TierShed)]));
    let later = Duration::from_secs(2);
    scheduler.return_permit(later, &permit_return(1, AttemptEnd::Unused));
    scheduler.return_permit(later, &permit_return(2, AttemptEnd::Unused));
    scheduler.tick(later);
    assert_eq!(granted(&scheduler.request_permit(later, entry(), request(10, 1, "a", LONG))), [10]);
}

#[test]
fn flooding_account_does_not_delay_another() {
    let mut scheduler = scheduler(PoolOptions::default(), 1, 1);
    let now = Duration::ZERO;
    for number in 1..=50 {
        scheduler.request_permit(now, entry(), request(number, 1, "flood", LONG));
    }
    scheduler.request_permit(now, entry(), request(100, 1, "quiet", LONG));
    let whole = AttemptEnd::Whole(Duration::from_millis(100));
    let first = granted(&scheduler.return_permit(now, &permit_return(1, whole)));
    let second = granted(&scheduler.return_permit(now, &permit_return(first[0], whole)));
    assert!(first.contains(&100) || second.contains(&100), "{first:?} {second:?}");
}

#[test]
fn account_rate_is_enforced_and_the_refusal_states_when_to_retry() {
    let limit = AccountLimit { rate_per_s: Some(2), ..AccountLimit::default() };
    let accounts = BTreeMap::from([("a".to_string(), limit)]);
    let mut scheduler = scheduler(PoolOptions { accounts, ..PoolOptions::default() }, 4, 8);
    let now = Duration::ZERO;
    assert_eq!(granted(&scheduler.request_permit(now, entry(), request(1, 0, "a", LONG))), [1]);
    assert_eq!(granted(&scheduler.request_permit(now, entry(), request(2, 0, "a", LONG))), [2]);
    let third = scheduler.request_permit(now, entry(), request(3, 0, "a", LONG));
    assert_eq!(refused(&third), BTreeMap::from([(3, RefusalReason::AccountRate)]));
    let PermitDecision::Refused(refusal) = &third[0].answer.decision else { panic!() };
    let wait = refusal.retry_after.expect("a retry advice");
    assert_eq!(
        granted(&scheduler.request_permit(now + wait, entry(), request(4, 0, "a", LONG))),
        [4]
    );
}

/// Sends requests and fails those at `target` until it is ejected; returns the number of the next request.
fn fail_target(scheduler: &mut PoolScheduler, target: &str) -> u128 {
    for number in 1..200 {
        let actions =
            scheduler.request_permit(Duration::ZERO, entry(), request(number, 0, "a", LONG));
        let failed =
            matches!(&actions[0].answer.decision, PermitDecision::Granted(to) if to == target);
        let end =
            if failed { AttemptEnd::Failed } else { AttemptEnd::Whole(Duration::from_secs(1)) };
        scheduler.return_permit(Duration::ZERO, &permit_return(number, end));
        if scheduler.targets()[target].ejected() {
            return number + 1;
        }
    }
    panic!("{target} was never ejected")
}

#[test]
fn failing_target_is_ejected_and_tested_with_one_request_at_a_time() {
    let mut scheduler = scheduler(PoolOptions::default(), 2, 2);
    let next = fail_target(&mut scheduler, "t0");
    for number in next..next + 2 {
        let actions =
            scheduler.request_permit(Duration::ZERO, entry(), request(number, 0, "a", LONG));
        assert_eq!(actions[0].answer.decision, PermitDecision::Granted("t1".to_string()));
    }
    assert!(granted(&scheduler.request_permit(
        Duration::ZERO,
        entry(),
        request(900, 0, "a", LONG)
    ))
    .is_empty());
    let later = Duration::from_secs(3);
    assert_eq!(granted(&scheduler.tick(later)), [900], "tested after its ejection time");
    assert!(
        granted(&scheduler.request_permit(later, entry(), request(901, 0, "a", LONG))).is_empty(),
        "one at a time"
    );
    let whole = AttemptEnd::Whole(Duration::from_millis(100));
    assert_eq!(granted(&scheduler.return_permit(later, &permit_return(900, whole))), [901]);
}

#[test]
fn never_more_than_half_of_the_targets_are_ejected() {
    let mut scheduler = scheduler(PoolOptions::default(), 2, 8);
    for number in 1..=20 {
        scheduler.request_permit(Duration::ZERO, entry(), request(number, 0, "a", LONG));
        scheduler.return_permit(Duration::ZERO, &permit_return(number, AttemptEnd::Failed));
    }
    assert_eq!(scheduler.targets().values().filter(|target| target.ejected()).count(), 1);
    assert_eq!(
        granted(&scheduler.request_permit(Duration::ZERO, entry(), request(100, 0, "a", LONG))),
        [100]
    );
}

#[test]
fn slowness_learned_long_ago_does_not_cause_refusals_forever() {
    let mut scheduler = scheduler(PoolOptions::default(), 1, 4);
    let short = Duration::from_millis(300);
    for number in 1..=40 {
        scheduler.request_permit(Duration::ZERO, entry(), request(number, 0, "a", LONG));
        scheduler.return_permit(
            Duration::ZERO,
            &permit_return(number, AttemptEnd::Whole(Duration::from_secs(2))),
        );
    }
    // By the learned slowness, 100 ms of work take two seconds.
    let refusal =
        refused(&scheduler.request_permit(Duration::ZERO, entry(), request(100, 0, "a", short)));
    assert_eq!(refusal, BTreeMap::from([(100, RefusalReason::DeadlineUnreachable)]));
    for second in 1..=60 {
        scheduler.tick(Duration::from_secs(second));
    }
    let later = Duration::from_secs(60);
    assert_eq!(
        granted(&scheduler.request_permit(later, entry(), request(101, 0, "a", short))),
        [101]
    );
}

#[test]
fn requests_that_wait_for_a_faster_target_do_not_block_lower_tiers() {
    let mut scheduler = scheduler(PoolOptions::default(), 2, 1);
    // t0 is learned to be slow: 100 ms of work take twice as long there.
    assert_eq!(
        granted(&scheduler.request_permit(Duration::ZERO, entry(), request(1, 0, "a", LONG))),
        [1]
    );
    scheduler.return_permit(
        Duration::ZERO,
        &permit_return(1, AttemptEnd::Whole(Duration::from_secs(1))),
    );
    assert_eq!(scheduler.targets()["t0"].slowness(), 2_125);
    let fast_busy = scheduler.request_permit(Duration::ZERO, entry(), request(5_000, 0, "a", LONG));
    assert_eq!(granted(&fast_busy), [5_000]);
    // Twelve accounts of the top tier whose time is too short for the free target.
    for account in 0..12u128 {
        let request = request(6_000 + account, 0, &account.to_string(), Duration::from_millis(250));
        assert!(granted(&scheduler.request_permit(Duration::ZERO, entry(), request)).is_empty());
    }
    assert_eq!(scheduler.waiting(), 12);
    assert_eq!(
        granted(&scheduler.request_permit(Duration::ZERO, entry(), request(7_000, 2, "z", LONG))),
        [7_000]
    );
}

fn report(running: u32, evictions: &[(u64, u64)]) -> TargetReport {
    let evictions =
        evictions.iter().map(|(number, prefix)| CacheEviction { number: *number, prefix: *prefix });
    TargetReport { running, evictions: evictions.collect() }
}

#[test]
fn load_of_other_senders_counts_until_the_report_of_the_target_is_old() {
    let mut scheduler = scheduler(PoolOptions::default(), 1, 2);
    let target = TargetInstance { id: "t0".to_string(), start: None };
    scheduler.apply_report(Duration::ZERO, &target, &report(2, &[]));
    assert!(granted(&scheduler.request_permit(Duration::ZERO, entry(), request(1, 0, "a", LONG)))
        .is_empty());
    let later = Duration::from_secs(5);
    assert_eq!(granted(&scheduler.tick(later)), [1]);
    // A permit of this scheduler and one that has just ended do not count as load of others.
    scheduler.apply_report(later, &target, &report(1, &[]));
    scheduler.return_permit(later, &permit_return(1, AttemptEnd::Unused));
    scheduler.apply_report(later, &target, &report(1, &[]));
    assert_eq!(granted(&scheduler.request_permit(later, entry(), request(2, 0, "a", LONG))), [2]);
    assert_eq!(granted(&scheduler.request_permit(later, entry(), request(3, 0, "a", LONG))), [3]);
}

#[test]
fn cache_events_are_applied_once_and_a_gap_clears_the_prefixes() {
    let mut scheduler = scheduler(PoolOptions::default(), 1, 8);
    let target = TargetInstance { id: "t0".to_string(), start: None };
    scheduler.apply_report(Duration::ZERO, &target, &report(0, &[(1, 99)]));
    for prefix in 1..=3u64 {
        let request =
            PermitRequest { prefix: Some(prefix), ..request(u128::from(prefix), 0, "a", LONG) };
        scheduler.request_permit(Duration::ZERO, entry(), request);
    }
    let holds = |scheduler: &PoolScheduler| {
        (1..=3u64)
            .filter(|prefix| scheduler.targets()["t0"].prefixes.holds(*prefix))
            .collect::<Vec<_>>()
    };
    scheduler.apply_report(Duration::ZERO, &target, &report(0, &[(1, 99), (2, 1)]));
    assert_eq!(holds(&scheduler), [2, 3]);
    scheduler.apply_report(Duration::ZERO, &target, &report(0, &[(1, 2), (2, 3)]));
    assert_eq!(holds(&scheduler), [2, 3], "events that were already applied");
    scheduler.apply_report(Duration::ZERO, &target, &report(0, &[(5, 98)]));
    assert!(holds(&scheduler).is_empty(), "events 3 and 4 were lost");
}

#[derive(Clone, Debug)]
enum Step {
    Send(u8, u8, u16),
    Return(u8, bool),
    Repeat(u8),
    Advance(u16),
    EntryDaemonLeaves,
    VmLeaves(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u8..4, 0u8..3, 50u16..5_000).prop_map(|(tier, account, remaining)| Step::Send(tier, account, remaining)),
        3 => (any::<u8>(), any::<bool>()).prop_map(|(which, whole)| Step::Return(which, whole)),
        1 => any::<u8>().prop_map(Step::Repeat),
        1 => (1u16..2_000).prop_map(Step::Advance),
        1 => Just(Step::EntryDaemonLeaves),
        1 => any::<bool>().prop_map(Step::VmLeaves),
    ]
}

/// A pool under a sequence of steps, and the expected state of its requests.
struct PoolRun {
    scheduler: PoolScheduler,
    now: Duration,
    /// Number of requests sent so far; the latest has this number.
    sent: u128,
    tiers: BTreeMap<u128, u8>,
    /// Waiting requests.
    waiting: BTreeSet<u128>,
    /// Requests that have a permit.
    held: BTreeSet<u128>,
    /// Whether the VM of target t0 is leaving.
    leaving: bool,
}

impl PoolRun {
    fn new() -> PoolRun {
        let options = PoolOptions { queue_limit: 6, ..PoolOptions::default() };
        PoolRun {
            scheduler: scheduler(options, 2, 2),
            now: Duration::ZERO,
            sent: 0,
            tiers: BTreeMap::new(),
            waiting: BTreeSet::new(),
            held: BTreeSet::new(),
            leaving: false,
        }
    }

    /// Runs a step; returns the scheduler's actions, or `None` if there is nothing to check.
    fn run_step(&mut self, step: Step) -> Result<Option<Vec<SchedulerAction>>, TestCaseError> {
        let actions = match step {
            Step::Send(tier, account, remaining) => self.send(tier, account, remaining),
            Step::Return(which, whole) => {
                let Some(id) = self.held_request(which) else { return Ok(None) };
                self.return_permit_of(id, whole)
            }
            Step::Repeat(which) => {
                let Some(id) = self.held_request(which) else { return Ok(None) };
                self.check_repeated_request(id)?;
                return Ok(None);
            }
            Step::Advance(millis) => {
                self.now += Duration::from_millis(u64::from(millis));
                self.scheduler.tick(self.now)
            }
            Step::EntryDaemonLeaves => {
                self.waiting.clear();
                self.held.clear();
                self.scheduler.remove_entry_daemon(self.now, &entry())
            }
            Step::VmLeaves(leaves) => {
                self.set_leaving(leaves);
                return Ok(None);
            }
        };
        Ok(Some(actions))
    }

    fn send(&mut self, tier: u8, account: u8, remaining: u16) -> Vec<SchedulerAction> {
        self.sent += 1;
        self.tiers.insert(self.sent, tier);
        self.waiting.insert(self.sent);
        let remaining = Duration::from_millis(u64::from(remaining));
        let request = request(self.sent, tier, &account.to_string(), remaining);
        self.scheduler.request_permit(self.now, entry(), request)
    }

    fn held_request(&self, which: u8) -> Option<u128> {
        self.held.iter().nth(usize::from(which) % self.held.len().max(1)).copied()
    }

    fn return_permit_of(&mut self, id: u128, whole: bool) -> Vec<SchedulerAction> {
        self.held.remove(&id);
        let took = Duration::from_millis(100);
        let end = if whole { AttemptEnd::Whole(took) } else { AttemptEnd::Unused };
        self.scheduler.return_permit(self.now, &permit_return(id, end))
    }

    fn check_repeated_request(&mut self, id: u128) -> Result<(), TestCaseError> {
        let request = request(id, self.tiers[&id], "0", LONG);
        let again = self.scheduler.request_permit(self.now, entry(), request);
        prop_assert_eq!(granted(&again), vec![id], "a repeated request gets its grant again");
        Ok(())
    }

    fn set_leaving(&mut self, leaves: bool) {
        self.leaving = leaves;
        let vms = if leaves { BTreeSet::from(["vm0".to_string()]) } else { BTreeSet::new() };
        self.scheduler.set_leaving_vms(vms);
    }

    /// Checks each answer of the scheduler, and applies it to the expected state.
    fn check_actions(&mut self, actions: &[SchedulerAction]) -> Result<(), TestCaseError> {
        for id in refused(actions).keys() {
            prop_assert!(self.waiting.remove(id), "{} was refused and did not wait", id);
        }
        for action in actions {
            let id = action.answer.permit.request.as_u128();
            if let PermitDecision::Granted(target) = &action.answer.decision {
                // An old permit is confirmed by granting it again.
                let new = self.waiting.remove(&id);
                prop_assert!(new || self.held.contains(&id));
                let leaving = self.leaving && target == "t0";
                prop_assert!(!(new && leaving), "a leaving target got new work");
                self.held.insert(id);
            }
            if let Some(tier) = action.shed {
                let below = self.scheduler.has_waiting_below(tier);
                prop_assert!(!below, "a lower tier waits while {} is shed", tier);
            }
        }
        Ok(())
    }

    fn check_counts(&self) -> Result<(), TestCaseError> {
        let mut targets = self.scheduler.targets().values();
        prop_assert!(targets.all(|target| target.in_flight <= target.slots));
        prop_assert_eq!(self.scheduler.in_flight(), self.held.len());
        prop_assert_eq!(self.scheduler.waiting(), self.waiting.len());
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn slots_are_never_exceeded_and_each_request_is_answered_once(steps in prop::collection::vec(step(), 1..120)) {
        let mut run = PoolRun::new();
        for step in steps {
            let Some(actions) = run.run_step(step)? else { continue };
            run.check_actions(&actions)?;
            run.check_counts()?;
        }
    }
}

#[test]
fn request_is_admitted_while_a_new_scheduler_has_granted_nothing_yet() {
    let mut scheduler = scheduler(PoolOptions { queue_limit: 10, ..PoolOptions::default() }, 1, 1);
    let held = curlewcleat_core::PermitHeld {
        request: request(1, 0, "a", LONG),
        target: "t0".to_string(),
    };
    scheduler.record_held_permit(Duration::ZERO, entry(), held);
    scheduler.request_permit(Duration::ZERO, entry(), request(2, 0, "a", LONG));
    for step in 1..40 {
        scheduler.tick(Duration::from_millis(20) * step);
    }
    let actions =
        scheduler.request_permit(Duration::from_millis(800), entry(), request(3, 0, "a", LONG));
    assert_eq!(refused(&actions), BTreeMap::new());
}
