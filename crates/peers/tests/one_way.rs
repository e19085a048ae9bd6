//! Checks that two daemons hear each other again after a connection between them died in one direction only.
//!
//! The failure: a daemon was frozen for longer than its peers' heartbeats count as due, while new connections to it
//! stalled as well. Once it ran again, the peers received its frames and so had no reason to redial. The daemon itself
//! received nothing, but held that its peers owed it nothing. Both sent into the dead connection for good.

mod support;

use rstest::rstest;

use support::{Faults, Pair, Period, DEAD_AFTER, HEARTBEAT_INTERVAL, MESH_LIMIT, STEP_MS};

/// Plays faults for every offset between the heartbeats of the two daemons.
fn check_all_phases(mesh_limit: usize, faults: &Faults, is_former_build: [bool; 2]) {
    for phase_ms in (0..HEARTBEAT_INTERVAL.as_millis() as u64).step_by(STEP_MS as usize) {
        let mut pair = Pair::new(mesh_limit, phase_ms, faults.clone());
        for (daemon, is_former_build) in pair.daemons.iter_mut().zip(is_former_build) {
            daemon.is_former_build = is_former_build;
        }
        pair.check();
    }
}

fn faults(frozen: [&[Period]; 2], stalled: [&[Period]; 2]) -> Faults {
    Faults { frozen: frozen.map(<[_]>::to_vec), stalled: stalled.map(<[_]>::to_vec) }
}

fn period(from: u64, until: u64) -> Period {
    Period { from, until }
}

/// A daemon runs for less than a heartbeat interval between two freezes; while it is frozen first, connections to it
/// stall until shortly before it runs again.
fn two_freezes_and_a_stall() -> Faults {
    faults([&[period(4_403, 6_741), period(6_800, 9_043)], &[]], [&[period(4_523, 6_632)], &[]])
}

#[rstest]
#[case::one_freeze(faults([&[period(4_403, 6_741)], &[]], [&[period(4_523, 6_735)], &[]]))]
#[case::two_freezes(two_freezes_and_a_stall())]
#[case::stall_until_the_second_freeze_ends(faults([&[period(4_403, 6_741), period(6_800, 9_043)], &[]], [&[period(4_523, 9_040)], &[]]))]
#[case::stall_across_a_wake(faults([&[period(4_403, 6_741)], &[]], [&[period(6_600, 6_900)], &[]]))]
#[case::stall_without_a_freeze(faults([&[], &[]], [&[period(4_000, 6_500)], &[]]))]
#[case::short_stall(faults([&[], &[]], [&[period(4_000, 4_020)], &[]]))]
#[case::stall_in_the_other_direction(faults([&[period(4_403, 6_741)], &[]], [&[], &[period(6_600, 6_900)]]))]
#[case::stall_in_both_directions(faults([&[period(4_403, 6_741)], &[]], [&[period(6_600, 6_745)], &[period(6_600, 6_900)]]))]
#[case::both_frozen(faults([&[period(4_403, 7_000)], &[period(4_500, 7_600)]], [&[period(6_500, 6_995)], &[period(7_000, 7_595)]]))]
#[case::one_after_the_other(faults([&[period(4_403, 7_000)], &[period(7_000, 9_500)]], [&[period(6_500, 6_995)], &[period(9_000, 9_495)]]))]
#[case::frozen_for_two_minutes(faults([&[period(4_403, 124_000)], &[]], [&[period(4_523, 123_995)], &[]]))]
#[case::frozen_until_the_peer_is_forgotten(faults([&[period(4_403, 704_000)], &[]], [&[period(4_523, 703_995)], &[]]))]
fn daemons_hear_each_other_after_faults(
    #[values(MESH_LIMIT, 1)] mesh_limit: usize,
    #[case] faults: Faults,
) {
    check_all_phases(mesh_limit, &faults, [false, false]);
}

#[rstest]
#[case::two_freezes(two_freezes_and_a_stall())]
#[case::one_freeze(faults([&[period(4_403, 6_741)], &[]], [&[period(4_523, 6_735)], &[]]))]
fn daemon_hears_a_peer_of_the_former_build_again(#[case] faults: Faults) {
    check_all_phases(MESH_LIMIT, &faults, [false, true]);
}

/// Where a peer has ended, its address is redialed, but no more often than once in each limit.
#[test]
fn peer_that_has_ended_is_redialed_once_in_each_limit() {
    let mut pair =
        Pair::new(MESH_LIMIT, 100, faults([&[], &[period(4_000, u64::MAX)]], [&[], &[]]));
    pair.run(0..64_000);
    let limits = 60_000 / DEAD_AFTER.as_millis() as u32;
    assert!(pair.redials() <= limits, "{} redials", pair.redials());
}
