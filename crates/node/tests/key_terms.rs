//! Key slots whose holder is taken for ended by a daemon that stood still.

mod support;

use std::time::Duration;

use curlewcleat_keys::KeyTable;
use curlewcleat_node::{ListedVm, NodeAction, NodeEvent, PlatformCall};
use rstest::rstest;

use support::{address, key_daemon, recorded, Fleet};

const DAEMONS: usize = 3;
/// Longer than a VM has to be off the list to count as ended.
const LONG: Duration = Duration::from_secs(12);

/// Returns a fleet whose last daemon holds all keys, and the daemon that proposes key tables.
fn fleet_with_keys() -> (Fleet, usize) {
    let mut fleet = Fleet::new(DAEMONS);
    let seeds: Vec<String> = (0..DAEMONS).map(address).collect();
    for index in 0..DAEMONS {
        fleet.daemons[index] = key_daemon(index, seeds.clone());
        fleet.event(index, recorded(DAEMONS));
    }
    fleet.run(Duration::from_secs(4));
    let proposer = fleet.leader();
    (fleet, proposer)
}

fn listed(vms: impl Iterator<Item = usize>) -> NodeEvent {
    NodeEvent::VmsRead(
        vms.map(|index| ListedVm { vm: format!("vm-{index}"), leaving: false }).collect(),
    )
}

/// Reads a list without the holder at the proposing daemon.
fn miss(fleet: &mut Fleet, proposer: usize, holder: usize) {
    fleet.event(proposer, listed((0..DAEMONS).filter(|index| *index != holder)));
}

/// Returns whether the daemon proposes another key table with its next tick.
fn proposes_table(fleet: &mut Fleet, index: usize) -> bool {
    let wall = Duration::from_secs(1_000) + fleet.now;
    let actions = fleet.daemons[index].node.handle(fleet.now, wall, NodeEvent::Tick);
    let is_proposal = |action: &NodeAction| {
        matches!(action, NodeAction::Platform(PlatformCall::ProposeTable(..)))
    };
    actions.iter().any(is_proposal)
}

/// Guards against keys that move away from a daemon that runs, since the one that proposes tables stood still.
#[rstest]
#[case::missing_once_before_it(Duration::ZERO)]
#[case::missing_for_long_before_it(LONG)]
fn keys_do_not_move_from_a_running_holder_after_a_standstill(#[case] missing: Duration) {
    let (mut fleet, proposer) = fleet_with_keys();
    let holder = (0..DAEMONS).find(|index| *index != proposer).expect("another");
    let holder_id = fleet.daemons[holder].node.status().me;
    let table = KeyTable::distribute(4, std::slice::from_ref(&holder_id));
    (0..DAEMONS).for_each(|index| {
        fleet.event(index, NodeEvent::TableRead(Some((1, table.clone()))));
        fleet.event(index, listed(0..DAEMONS));
    });
    miss(&mut fleet, proposer, holder);
    let end = fleet.now + missing;
    while fleet.now < end {
        fleet.run(Duration::from_secs(1));
        miss(&mut fleet, proposer, holder);
    }
    fleet.suspend(proposer);
    fleet.run(LONG);
    assert!(!proposes_table(&mut fleet, proposer), "the holder runs");
}

/// Keys of a holder that has ended move to another daemon all the same.
#[test]
fn keys_move_from_a_holder_that_has_ended() {
    let (mut fleet, proposer) = fleet_with_keys();
    let holder = (0..DAEMONS).find(|index| *index != proposer).expect("another");
    let holder_id = fleet.daemons[holder].node.status().me;
    let table = KeyTable::distribute(4, std::slice::from_ref(&holder_id));
    fleet.event(proposer, NodeEvent::TableRead(Some((1, table))));
    fleet.event(proposer, listed(0..DAEMONS));
    fleet.daemons[holder].cut = true;
    fleet.run(Duration::from_secs(4));
    let proposes = (0..120).any(|_| {
        miss(&mut fleet, proposer, holder);
        fleet.now += Duration::from_millis(100);
        proposes_table(&mut fleet, proposer)
    });
    assert!(proposes);
}
