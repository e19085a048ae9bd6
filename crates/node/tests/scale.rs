//! Counts what the daemons of fleets of several sizes send to each other, before three targets a daemon: at a common
//! start, while nothing changes, when the daemons that read the platform end, and when targets are released. What an
//! ordinary daemon sends must not grow with the fleet; what all send together may grow with the fleet only.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::DiscoveredTarget;
use rstest::rstest;

use support::{target, Fleet};

/// Bytes per second that an ordinary daemon may send without requests; see docs/CAPACITY.md.
const BYTES_PER_SECOND: usize = 4_096;
/// Targets for each daemon.
const TARGETS_PER_DAEMON: usize = 3;
/// Length of a target's entry in a list, rounded up.
const ENTRY_BYTES: usize = 120;

fn targets(daemons: usize, first: usize) -> Vec<DiscoveredTarget> {
    let ids = first..first + daemons * TARGETS_PER_DAEMON;
    ids.map(|index| target(&format!("target-{index}"), false)).collect()
}

/// Returns a fleet whose daemons have just started.
fn starting(daemons: usize) -> Fleet {
    let mut fleet = Fleet::mixed(daemons);
    fleet.targets = (targets(daemons, 0), 10);
    fleet.restart_byte_count();
    fleet
}

/// Runs the fleet for `time`; returns the bytes of each kind of message and the most that an ordinary daemon sent.
fn sent_in(fleet: &mut Fleet, time: Duration) -> (BTreeMap<&'static str, usize>, usize) {
    fleet.restart_byte_count();
    fleet.run(time);
    let candidates = fleet.candidates();
    let ordinary = fleet.bytes_of.iter().filter(|(index, _)| !candidates.contains(index));
    let most = ordinary.map(|(_, bytes)| *bytes).max().unwrap_or_default();
    println!(
        "{} daemons, {time:?}: {:?}, ordinary {most}",
        fleet.daemons.len(),
        fleet.bytes_of_kind
    );
    (fleet.bytes_of_kind.clone(), most)
}

fn of_kind(bytes: &BTreeMap<&'static str, usize>, kind: &str) -> usize {
    bytes.get(kind).copied().unwrap_or_default()
}

#[rstest]
#[case(30)]
#[case(100)]
#[case(300)]
fn ordinary_daemon_keeps_its_budget_of_bytes_in_fleets_of_any_size(#[case] daemons: usize) {
    let mut fleet = starting(daemons);
    fleet.run(Duration::from_secs(10));
    let (_, most) = sent_in(&mut fleet, Duration::from_secs(5));
    assert!(most <= 5 * BYTES_PER_SECOND, "{most} bytes in 5 s");
}

/// The new readers list the targets again. No other daemon needs more than what has changed, so that all lists together
/// are no longer than one.
#[rstest]
#[case(30)]
#[case(100)]
#[case(300)]
fn end_of_the_readers_sends_no_whole_lists(#[case] daemons: usize) {
    let mut fleet = starting(daemons);
    fleet.run(Duration::from_secs(6));
    for reader in fleet.readers() {
        fleet.daemons[reader].cut = true;
    }
    fleet.targets.1 += 50;
    let (bytes, _) = sent_in(&mut fleet, Duration::from_secs(6));
    let list = daemons * TARGETS_PER_DAEMON * ENTRY_BYTES;
    let sent = of_kind(&bytes, "targets");
    assert!(sent <= list, "{sent} bytes of lists, one is {list}");
}

/// A sixth of the targets is replaced. Each daemon gets each change about once.
#[rstest]
#[case(30)]
#[case(100)]
#[case(300)]
fn release_of_a_sixth_of_the_targets_sends_each_change_once(#[case] daemons: usize) {
    let mut fleet = starting(daemons);
    fleet.run(Duration::from_secs(6));
    let count = daemons * TARGETS_PER_DAEMON / 6;
    let (listed, at) = &mut fleet.targets;
    listed.drain(..count);
    let new = targets(daemons, 1_000_000).into_iter().take(count);
    listed.extend(new);
    *at += 2 * count as u64;
    let (bytes, _) = sent_in(&mut fleet, Duration::from_secs(6));
    let changes = daemons * count * 2 * ENTRY_BYTES;
    let sent = of_kind(&bytes, "targets");
    assert!(sent <= 2 * changes, "{sent} bytes, each change once is {changes}");
}
