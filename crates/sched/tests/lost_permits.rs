//! Permits of entry daemons that seem lost: free at once, and counted again where the daemon was only not heard.

use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, LatencyObjectives, PermitDecision, PermitHeld, PermitId, PermitRequest,
    PermitReturn, RequestId, TargetEntry, TargetPool,
};
use curlewcleat_sched::{PoolOptions, PoolScheduler, SchedulerAction};

const POOL: &str = "pool";
const SLOTS: u32 = 4;
const NOW: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

fn entry(index: usize) -> DaemonId {
    DaemonId { vm: format!("e-{index}"), incarnation: 1 }
}

fn scheduler() -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL.to_string(), PoolOptions::default());
    let id = "t".to_string();
    let target =
        TargetEntry { id: id.clone(), vm: id.clone(), slots: SLOTS, ..TargetEntry::default() };
    let targets = [(id, target)].into();
    let pool = TargetPool { id: POOL.to_string(), targets, ..TargetPool::default() };
    scheduler.configure(PoolOptions::default(), &pool);
    scheduler
}

fn permit(number: u128) -> PermitId {
    PermitId { request: RequestId::from_u128(number), attempt: 0 }
}

fn permit_request(number: u128) -> PermitRequest {
    PermitRequest {
        permit: permit(number),
        pool: POOL.to_string(),
        tier: 0,
        account: "a".to_string(),
        cost: 1,
        objectives: LatencyObjectives { wait_limit: MINUTE, ..LatencyObjectives::default() },
        time_left: MINUTE,
        prompt_work: 0,
        output_work: 1_000,
        prefix: None,
        avoid: Vec::new(),
        version: None,
    }
}

fn permit_return(number: u128) -> PermitReturn {
    PermitReturn { permit: permit(number), pool: POOL.to_string(), end: AttemptEnd::Unused }
}

fn granted(actions: &[SchedulerAction]) -> Vec<PermitId> {
    let is_grant =
        |action: &&SchedulerAction| matches!(action.answer.decision, PermitDecision::Granted(_));
    actions.iter().filter(is_grant).map(|action| action.answer.permit).collect()
}

/// Returns a scheduler all of whose slots are in use through the first daemon.
fn full_scheduler() -> PoolScheduler {
    let mut scheduler = scheduler();
    for number in 1..=u128::from(SLOTS) {
        let actions = scheduler.request_permit(NOW, entry(1), permit_request(number));
        assert_eq!(granted(&actions), [permit(number)]);
    }
    scheduler
}

/// Guards against slots that are granted twice because a daemon that was not heard does not report its permits.
#[test]
fn permits_of_a_daemon_that_was_not_heard_take_their_slots_again() {
    let mut scheduler = full_scheduler();
    scheduler.entry_daemon_lost(NOW, &entry(1));
    assert_eq!(scheduler.in_flight(), 0);
    let sent_again = granted(&scheduler.entry_daemon_returned(NOW, &entry(1)));
    assert_eq!(sent_again, (1..=u128::from(SLOTS)).map(permit).collect::<Vec<_>>());
    let actions = scheduler.request_permit(NOW, entry(2), permit_request(10));
    assert!(granted(&actions).is_empty(), "{actions:?}");
    let actions = scheduler.return_permit(NOW, &permit_return(1));
    assert_eq!(granted(&actions), [permit(10)], "a slot is free");
}

/// Guards against slots that a daemon that has ended takes for ever.
#[test]
fn slots_of_a_lost_daemon_are_granted_to_others() {
    let mut scheduler = full_scheduler();
    scheduler.request_permit(NOW, entry(2), permit_request(10));
    let actions = scheduler.entry_daemon_lost(NOW, &entry(1));
    assert_eq!(granted(&actions), [permit(10)]);
}

/// Guards against permits that are counted again although they have ended, are reported anew, or are requested anew.
#[test]
fn permits_that_changed_while_their_daemon_was_lost_are_counted_once() {
    let mut scheduler = full_scheduler();
    scheduler.entry_daemon_lost(NOW, &entry(1));
    scheduler.return_permit(NOW, &permit_return(1));
    let held = PermitHeld { request: permit_request(2), target: "t".to_string() };
    scheduler.record_held_permit(NOW, entry(1), held);
    scheduler.request_permit(NOW, entry(1), permit_request(3));
    scheduler.entry_daemon_returned(NOW, &entry(1));
    let counted: Vec<PermitId> = scheduler.permits().keys().copied().collect();
    assert_eq!(counted, [permit(2), permit(3), permit(4)]);
    let actions = scheduler.request_permit(NOW, entry(2), permit_request(10));
    assert_eq!(granted(&actions), [permit(10)], "three slots are in use");
    let actions = scheduler.request_permit(NOW, entry(2), permit_request(11));
    assert!(granted(&actions).is_empty(), "{actions:?}");
}

/// Guards against permits of a process that has ended and of a daemon that is lost for good.
#[test]
fn permits_of_a_daemon_that_does_not_return_are_forgotten() {
    let mut scheduler = full_scheduler();
    scheduler.entry_daemon_lost(NOW, &entry(1));
    let later = scheduler.clone();
    scheduler.remove_entry_daemon(NOW, &entry(1));
    assert!(scheduler.entry_daemon_returned(NOW, &entry(1)).is_empty());

    let mut scheduler = later;
    scheduler.tick(NOW + MINUTE * 10);
    assert!(scheduler.entry_daemon_returned(NOW + MINUTE * 10, &entry(1)).is_empty());
    assert_eq!(scheduler.in_flight(), 0);
}

/// Guards against a second loss that forgets or repeats what the first one has kept.
#[test]
fn permits_are_counted_again_after_each_loss() {
    let mut scheduler = full_scheduler();
    for second in 1..=3 {
        let now = NOW * second;
        scheduler.entry_daemon_lost(now, &entry(1));
        assert_eq!(scheduler.in_flight(), 0);
        scheduler.entry_daemon_returned(now, &entry(1));
        assert_eq!(scheduler.in_flight() as u32, SLOTS);
    }
}
