//! The preference for targets with an idle connection from the entry daemon: new connections, answers in time and
//! evenness of the load, and what happens when an assumed connection does not exist.

mod choice;
mod replay;

use std::time::Duration;

use curlewcleat_core::DaemonId;
use curlewcleat_sched::{limit_per_target, EntryNumbers, IdleConnections};
use rstest::rstest;

use self::replay::{replay, Content, Fault, ReplayOptions, ReplayResult};

/// Returns the results without and with the preference.
fn without_and_with(options: ReplayOptions) -> (ReplayResult, ReplayResult) {
    let without = replay(ReplayOptions { reuses_connections: false, ..options });
    let with = replay(options);
    println!(
        "{:?} load {} fault {:?}: opened {} of {} -> {} of {}, in time {:.4} -> {:.4}, mean time {:?} -> {:?}, \
         peak {} -> {}, work of a target {:.2}..{:.2} -> {:.2}..{:.2} of the mean",
        options.content,
        options.load,
        options.fault,
        without.opened,
        without.opened + without.reused,
        with.opened,
        with.opened + with.reused,
        without.in_time_share(),
        with.in_time_share(),
        without.mean_time(),
        with.mean_time(),
        peak(&without),
        peak(&with),
        work_range(&without).0,
        work_range(&without).1,
        work_range(&with).0,
        work_range(&with).1,
    );
    (without, with)
}

fn peak(result: &ReplayResult) -> u32 {
    result.peak.iter().copied().max().unwrap_or(0)
}

/// Returns the least and the most work of a target relative to the mean.
fn work_range(result: &ReplayResult) -> (f64, f64) {
    let work: Vec<f64> = result.work.iter().map(Duration::as_secs_f64).collect();
    let mean = work.iter().sum::<f64>() / work.len() as f64;
    let relative = work.iter().map(|work| work / mean);
    relative.fold((f64::MAX, 0.0), |(least, most), work| (least.min(work), work.max(most)))
}

#[rstest]
fn new_connections_are_halved_and_as_many_answers_are_in_time(
    #[values(Content::Records, Content::Streams)] content: Content,
    #[values(0.3, 0.7)] load: f64,
    #[values(1, 2)] seed: u64,
) {
    let (without, with) =
        without_and_with(ReplayOptions { content, load, seed, ..ReplayOptions::default() });
    assert!(with.opened_share() <= without.opened_share() / 2.0);
    assert!(with.in_time_share() >= without.in_time_share());
}

#[rstest]
fn overload_is_served_as_before(
    #[values(Content::Records, Content::Streams)] content: Content,
    #[values(1, 2)] seed: u64,
) {
    let (without, with) =
        without_and_with(ReplayOptions { content, load: 1.2, seed, ..ReplayOptions::default() });
    assert!(with.opened_share() <= without.opened_share());
    assert!(with.in_time_share() >= without.in_time_share() - 0.01);
}

/// Returns the share of all work that the busiest tenth of the targets do.
fn busiest_share(result: &ReplayResult) -> f64 {
    let mut work: Vec<f64> = result.work.iter().map(Duration::as_secs_f64).collect();
    work.sort_by(|one, other| other.total_cmp(one));
    let all: f64 = work.iter().sum();
    work[..work.len() / 10].iter().sum::<f64>() / all
}

#[rstest]
fn load_stays_even(
    #[values(Content::Records, Content::Streams)] content: Content,
    #[values(0.3, 0.7)] load: f64,
) {
    let seeds = 1..=4;
    let runs = seeds.map(|seed| {
        without_and_with(ReplayOptions { content, load, seed, ..ReplayOptions::default() })
    });
    let mut shares = (0.0, 0.0);
    for (without, with) in runs {
        shares.0 += busiest_share(&without) / 4.0;
        shares.1 += busiest_share(&with) / 4.0;
        assert!(peak(&with) <= peak(&without));
        assert!(work_range(&with).1 <= work_range(&without).1 + 0.75);
    }
    println!("{content:?} load {load}: busiest tenth {:.3} -> {:.3}", shares.0, shares.1);
    assert!(shares.1 <= shares.0 + 0.04);
}

/// Guards against work that stays at slow targets because entry daemons are connected to them.
#[rstest]
fn slow_targets_get_no_more_work_for_the_sake_of_connections(
    #[values(Content::Records, Content::Streams)] content: Content,
    #[values(0.3, 0.7)] load: f64,
) {
    let slow_targets = 30;
    let (without, with) =
        without_and_with(ReplayOptions { content, load, slow_targets, ..ReplayOptions::default() });
    let slow_share = |result: &ReplayResult| {
        let slow = result.work[..slow_targets].iter().sum::<Duration>();
        slow.as_secs_f64() / result.work.iter().sum::<Duration>().as_secs_f64()
    };
    println!("slow targets: {:.4} -> {:.4}", slow_share(&without), slow_share(&with));
    assert!(slow_share(&with) <= slow_share(&without) + 0.02);
    assert!(with.mean_time() <= without.mean_time().mul_f64(1.02));
    assert!(with.in_time_share() >= without.in_time_share() - 0.002);
}

#[rstest]
fn fault_costs_connections_and_no_answers(
    #[values(Content::Records, Content::Streams)] content: Content,
    #[values(Fault::EntryDaemonsDie, Fault::TargetsRestart, Fault::SchedulerChanges)] fault: Fault,
) {
    let options = ReplayOptions { content, load: 0.7, fault: Some(fault), ..Default::default() };
    let (without, with) = without_and_with(options);
    assert!(with.opened_share() <= without.opened_share() * 0.6);
    assert!(with.in_time_share() >= without.in_time_share() - 0.002);
}

#[rstest]
#[case::closes_connections_early(Duration::from_secs(2))]
#[case::closes_every_connection(Duration::ZERO)]
fn wrong_assumptions_cost_no_answers(
    #[case] idle_limit: Duration,
    #[values(Content::Records, Content::Streams)] content: Content,
    #[values(0.3, 0.7)] load: f64,
) {
    let options = ReplayOptions { content, load, idle_limit, ..ReplayOptions::default() };
    let (without, with) = without_and_with(options);
    assert!(with.opened_share() <= without.opened_share());
    assert!(with.in_time_share() >= without.in_time_share() - 0.002);
    assert!(with.mean_time() <= without.mean_time().mul_f64(1.01));
}

/// The digests are those of a scheduler that knows nothing of connections.
#[rstest]
#[case::records(Content::Records, 0.3, None, 6_802_425_632_712_645_254)]
#[case::streams(Content::Streams, 0.7, None, 13_075_951_368_949_101_126)]
#[case::overload(Content::Streams, 1.2, None, 17_162_904_399_701_740_317)]
#[case::restarts(Content::Records, 0.7, Some(Fault::TargetsRestart), 9_927_915_573_019_447_146)]
fn pool_without_reuse_gets_the_same_grants(
    #[case] content: Content,
    #[case] load: f64,
    #[case] fault: Option<Fault>,
    #[case] expected: u64,
) {
    let options =
        ReplayOptions { reuses_connections: false, content, load, fault, ..Default::default() };
    let result = replay(options);
    assert_eq!(digest(&result), expected, "{content:?} {load} {fault:?}");
}

/// Returns the FNV-1a digest of all grants.
fn digest(result: &ReplayResult) -> u64 {
    let text: String =
        result.grants.iter().map(|(number, target)| format!("{number} {target}\n")).collect();
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |digest, byte| {
        (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn daemon(number: u64) -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation: number }
}

const NOW: Duration = Duration::from_secs(100);

#[test]
fn connection_is_assumed_until_it_is_used_or_expires() {
    let mut numbers = EntryNumbers::default();
    let (one, other) = (numbers.assign(&daemon(1)), numbers.assign(&daemon(2)));
    let mut idle = IdleConnections::default();
    idle.record_idle(NOW, one, 8);
    assert!(idle.newest_since(NOW, one).is_some());
    assert!(idle.newest_since(NOW, other).is_none());
    idle.record_use(other);
    idle.record_use(one);
    assert!(idle.newest_since(NOW, one).is_none());
    idle.record_idle(NOW, one, 8);
    assert!(idle.newest_since(NOW + Duration::from_secs(9), one).is_some());
    assert!(idle.newest_since(NOW + Duration::from_secs(10), one).is_none());
}

#[test]
fn oldest_connections_are_forgotten_beyond_the_limit() {
    let mut numbers = EntryNumbers::default();
    let mut idle = IdleConnections::default();
    let limit = limit_per_target(3_000);
    for number in 0..1_000 {
        let entry = numbers.assign(&daemon(number));
        idle.record_idle(NOW + Duration::from_millis(number * 5), entry, limit);
    }
    assert_eq!(idle.len(), limit);
    let end = NOW + Duration::from_secs(5);
    let newest = numbers.get(&daemon(999)).expect("a number");
    let oldest = numbers.get(&daemon(0)).expect("a number");
    assert!(idle.newest_since(end, newest).is_some());
    assert!(idle.newest_since(end, oldest).is_none());
}

#[rstest]
#[case(60)]
#[case(3_000)]
#[case(100_000)]
fn connections_of_a_pool_are_bounded(#[case] targets: usize) {
    assert!((1..=128).contains(&limit_per_target(targets)));
    assert!(limit_per_target(targets) * targets <= 512 << 10);
}

#[test]
fn restarted_entry_daemon_has_no_connections() {
    let mut numbers = EntryNumbers::default();
    let first = numbers.assign(&daemon(1));
    numbers.remove(&daemon(1));
    assert_eq!(numbers.get(&daemon(1)), None);
    assert_ne!(numbers.assign(&daemon(1)), first);
}

#[test]
fn numbers_of_entry_daemons_are_bounded() {
    let mut numbers = EntryNumbers::default();
    let first = numbers.assign(&daemon(0));
    for number in 1..=4_096 {
        numbers.assign(&daemon(number));
    }
    assert_eq!(numbers.get(&daemon(0)), None);
    assert_ne!(numbers.assign(&daemon(0)), first);
}
